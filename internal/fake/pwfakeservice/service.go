// Package pwfakeservice is a stand-in for a plain reservation service beside
// the model engines. Reserve must not be repeated and List may be; the service
// does not detect repetitions itself but counts them, so that a test can check
// that each idempotency key ran at most once.
//
// # Usage
//
//	s := pwfakeservice.New()
//	s.SetFault(pwfakeservice.FaultLostReply, 1)
//	status, body, err := s.Call(ctx, "reserve", "key-1", []byte(`{"item":"scaffold"}`))
//	// pwverdict.Of(err) == pwverdict.MayHaveRun, s.Runs("key-1") == 1
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

// Methods of the service. MethodReserve must not be repeated.
const (
	MethodReserve = "reserve"
	MethodList    = "list"
)

// Fault is a failure that the service can be told to show.
type Fault string

// Faults of the service.
const (
	// FaultSlow delays a call by the time of SetDelay.
	FaultSlow Fault = "slow"
	// FaultLostReply lets a call take effect and loses its reply.
	FaultLostReply Fault = "lost_reply"
	// FaultCrash ends a call before it takes effect, without a reply.
	FaultCrash Fault = "crash"
	// FaultDown refuses the connection.
	FaultDown Fault = "down"
)

// Unlimited keeps a fault on until it is set to 0.
const Unlimited = -1

const (
	maxBodyBytes    = 1 << 20
	maxReservations = 1 << 20
	defaultDelay    = 2 * time.Second
)

// Reservation is one entry of the list.
type Reservation struct {
	Number int             `json:"number"`
	Key    string          `json:"key"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Service is one stand-in service. Several backend servers share it when they
// are given the same one.
type Service struct {
	mu           sync.Mutex
	runs         map[string]int
	reservations []Reservation
	faults       map[Fault]int
	delay        time.Duration
	calls        int
}

// New returns a service without reservations and faults.
func New() *Service {
	return &Service{
		runs:   map[string]int{},
		faults: map[Fault]int{},
		delay:  defaultDelay,
	}
}

// SetFault makes the next n calls show the fault; Forever keeps it on and 0
// switches it off.
func (s *Service) SetFault(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[f] = n
}

// SetDelay sets the delay of FaultSlow.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Runs returns how often a reservation with the key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// AllRuns returns how often each key ran.
func (s *Service) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Calls returns how many calls arrived.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Call runs a method. An error means that no reply came; its verdict is
// NotRun only when the connection was refused.
func (s *Service) Call(ctx context.Context, method, key string, body []byte) (status int, reply []byte, err error) {
	if s.take(FaultDown) {
		return 0, nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "service refused the connection")
	}
	if s.take(FaultCrash) {
		return 0, nil, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "service ended without a reply")
	}
	if s.take(FaultSlow) {
		s.mu.Lock()
		delay := s.delay
		s.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			// The service does not notice that nobody waits any more.
			time.Sleep(delay)
		}
	}
	status, reply = s.apply(method, key, body)
	if s.take(FaultLostReply) {
		return 0, nil, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "service ended without a reply")
	}
	if err := ctx.Err(); err != nil {
		return 0, nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseOf(err), "reply came too late")
	}
	return status, reply, nil
}

func (s *Service) apply(method, key string, body []byte) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch method {
	case MethodReserve:
		if len(s.reservations) >= maxReservations {
			return http.StatusInsufficientStorage, encode(errorOf("service is full"))
		}
		if !json.Valid(body) {
			return http.StatusBadRequest, encode(errorOf("body is not valid JSON"))
		}
		s.runs[key]++
		r := Reservation{
			Number: len(s.reservations) + 1,
			Key:    key,
			// The caller reuses the memory of a body after the call.
			Body: bytes.Clone(body),
		}
		s.reservations = append(s.reservations, r)
		return http.StatusOK, encode(r)
	case MethodList:
		return http.StatusOK, encode(s.reservations)
	default:
		return http.StatusNotFound, encode(errorOf("method " + method + " does not exist"))
	}
}

// take consumes one use of a fault.
func (s *Service) take(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.faults[f]
	if n > 0 {
		s.faults[f] = n - 1
	}
	return n != 0
}

// Handler serves POST /{method}; the idempotency key is in the header of that
// name. A lost reply breaks the connection off.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{method}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, "body is too large", http.StatusRequestEntityTooLarge)
			return
		}
		status, reply, err := s.Call(r.Context(), r.PathValue("method"), r.Header.Get(pwengine.HeaderIdempotencyKey), body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(reply)
	})
	return mux
}

func errorOf(message string) pwengine.ErrorResponse {
	return pwengine.ErrorResponse{
		Error: pwengine.ErrorBody{
			Cause:   string(pwverdict.CauseBadRequest),
			Verdict: pwverdict.NotRun.String(),
			Message: message,
		},
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}
