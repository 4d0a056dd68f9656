package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a server has run.
type run struct {
	attempt, server, tenant, authorization string
	at                                     time.Time
}

// plainServer stands in for a server of a plain service. It runs what is meant for it,
// echoes the attempt's id and signs its responses.
type plainServer struct {
	id, service, zone, address string
	work                       time.Duration
	rec                        *recorder
	born                       int64

	mu   sync.Mutex
	runs []run
}

func newPlainServer(id, service, zone string, work time.Duration, rec *recorder) (*plainServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{
		id: id, service: service, zone: zone, address: l.Addr().String(), work: work, rec: rec,
		born: time.Now().UnixMilli(),
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// entry returns the server's row in the platform's store. It does not change while the server
// is well, so it is written once.
func (s *plainServer) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6,
		"state": "ready", "cold-remaining-ms": 0, "sequence": 0, "born": s.born,
	}
}

func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if attempt == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	got := run{
		attempt: attempt, server: s.id, tenant: r.Header.Get("X-Tenant"),
		authorization: r.Header.Get("Authorization"), at: time.Now(),
	}
	s.mu.Lock()
	s.runs = append(s.runs, got)
	s.mu.Unlock()
	s.rec.logf("run       %s %s %s by %s, X-Tenant %q, Authorization %q", attempt, r.Method, r.URL.Path, s.id, got.tenant, got.authorization)
	time.Sleep(s.work)
	body := fmt.Sprintf("%s did %s\n%s\n", s.id, attempt, strings.Repeat("x", 700))
	w.Header().Set("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// runsOf returns the runs of an attempt.
func runsOf(servers []*plainServer, attempt string) []run {
	var out []run
	for _, s := range servers {
		s.mu.Lock()
		for _, r := range s.runs {
			if r.attempt == attempt {
				out = append(out, r)
			}
		}
		s.mu.Unlock()
	}
	return out
}
