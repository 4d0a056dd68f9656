// Package pwfakeservice is a fake of a plain service, as opposed to a model service, that
// takes reservations. Its method "reserve" is not repeatable, its method "list" is. The
// service does not reject repeated reservations but counts them, so that a test can check
// that the reservation of each idempotency key ran at most once.
//
// # Usage
//
//	s := pwfakeservice.New()
//	s.SetFault(pwfakeservice.FaultLostResponse, 1)
//	status, body, err := s.Call(ctx, "reserve", "key-1", []byte(`{"item":"scaffold"}`))
//	// pwverdict.VerdictOf(err) == pwverdict.MayHaveRun, s.Runs("key-1") == 1
//	http.ListenAndServe(addr, s.Handler())
package pwfakeservice

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// Methods of the service. MethodReserve is not repeatable, MethodList is.
const (
	MethodReserve = "reserve"
	MethodList    = "list"
)

// Fault is a failure that SetFault injects.
type Fault string

// Faults of the service.
const (
	// FaultSlow delays a call by the time that SetDelay sets, 2 s by default.
	FaultSlow Fault = "slow"
	// FaultLostResponse runs a call but sends no response.
	FaultLostResponse Fault = "lost_reply"
	// FaultCrash ends a call before it runs, without a response.
	FaultCrash Fault = "crash"
	// FaultDown refuses the connection.
	FaultDown Fault = "down"
)

// Unlimited is the number of calls with which SetFault keeps a fault on until it is changed.
const Unlimited = -1

const (
	maxBodyBytes    = 1 << 20
	maxReservations = 1 << 20
	defaultDelay    = 2 * time.Second
)

// Reservation is one entry of the response of MethodList.
type Reservation struct {
	Number int             `json:"number"`
	Key    string          `json:"key"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Service is one fake service. Several backend servers can share it.
type Service struct {
	mu           sync.Mutex
	runs         map[string]int // runs of MethodReserve by idempotency key
	reservations []Reservation
	faults       map[Fault]int // number of calls to come that have the fault
	delay        time.Duration
	callCount    int
}

// New returns a service without reservations and faults.
func New() *Service {
	return &Service{
		runs:   map[string]int{},
		faults: map[Fault]int{},
		delay:  defaultDelay,
	}
}

// SetFault applies the fault to the next n calls. Unlimited keeps it on, and 0 switches it
// off.
func (s *Service) SetFault(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[f] = n
}

// SetDelay sets the time by which FaultSlow delays a call.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Runs returns how often the reservation with the key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// AllRuns returns how often the reservation of each key ran.
func (s *Service) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Calls returns the number of calls that ran, of any method.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// Call runs a method. An error means that there was no response; its verdict is NotRun only if
// the connection was refused.
func (s *Service) Call(ctx context.Context, method, key string, body []byte) (status int, response []byte, err error) {
	if s.consumeFault(FaultDown) {
		return 0, nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "service refused the connection")
	}
	if s.consumeFault(FaultCrash) {
		return 0, nil, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "service ended without a reply")
	}
	if s.consumeFault(FaultSlow) {
		s.mu.Lock()
		delay := s.delay
		s.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			// The service does not detect that its caller no longer waits, so the call runs
			// nevertheless.
			time.Sleep(delay)
		}
	}
	status, response = s.runMethod(method, key, body)
	if s.consumeFault(FaultLostResponse) {
		return 0, nil, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "service ended without a reply")
	}
	if err := ctx.Err(); err != nil {
		return 0, nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseOf(err), "reply came after the end of the call")
	}
	return status, response, nil
}

// runMethod runs a method and returns the status and body of its response.
func (s *Service) runMethod(method, key string, body []byte) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCount++
	switch method {
	case MethodReserve:
		if len(s.reservations) >= maxReservations {
			return http.StatusInsufficientStorage, encodeJSON(errorResponse("service holds the maximum number of reservations"))
		}
		if !json.Valid(body) {
			return http.StatusBadRequest, encodeJSON(errorResponse("body is not valid JSON"))
		}
		s.runs[key]++
		r := Reservation{
			Number: len(s.reservations) + 1,
			Key:    key,
			// The caller may reuse the memory of the body after the call.
			Body: bytes.Clone(body),
		}
		s.reservations = append(s.reservations, r)
		return http.StatusOK, encodeJSON(r)
	case MethodList:
		return http.StatusOK, encodeJSON(s.reservations)
	default:
		return http.StatusNotFound, encodeJSON(errorResponse("method " + method + " does not exist"))
	}
}

// consumeFault reports whether the current call has the fault, and counts the call against
// the number of calls that SetFault set.
func (s *Service) consumeFault(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.faults[f]
	if n > 0 {
		s.faults[f] = n - 1
	}
	return n != 0
}

// Handler serves POST /{method} over HTTP, with the key in the Idempotency-Key header. If
// Call returns an error, the handler aborts the connection without a response.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{method}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, "body is too large", http.StatusRequestEntityTooLarge)
			return
		}
		status, response, err := s.Call(r.Context(), r.PathValue("method"), r.Header.Get(pwengine.HeaderIdempotencyKey), body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(response)
	})
	return mux
}

func errorResponse(message string) pwengine.ErrorResponse {
	return pwengine.ErrorResponse{
		Error: pwengine.ErrorBody{
			Cause:   string(pwverdict.CauseBadRequest),
			Verdict: pwverdict.NotRun.String(),
			Message: message,
		},
	}
}

func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}
