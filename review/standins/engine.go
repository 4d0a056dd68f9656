package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// weightsVersion is the version of the weights of all stand-ins of model servers.
const weightsVersion = 1

// engineServer stands in for a model server. It streams a few events for each request that
// is meant for it and for its weights, and refuses others with 421 and without running them.
type engineServer struct {
	id, service, zone, address string
	rec                        *recorder
	born                       int64
	ran, misdirected           atomic.Int64
}

func newEngineServer(id, service, zone string, rec *recorder) (*engineServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &engineServer{
		id: id, service: service, zone: zone, address: l.Addr().String(), rec: rec,
		born: time.Now().UnixMilli(),
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// entry returns the server's row in the platform's store. It does not change while the server
// is well, so it is written once.
func (s *engineServer) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 16,
		"state": "ready", "cold-remaining-ms": 0, "sequence": 0, "born": s.born,
		"stage": "colocated", "models": []map[string]any{{"name": "m", "version": weightsVersion, "adapters": []string{}}},
	}
}

func (s *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	w.Header().Set("X-Instance-Id", s.id)
	expected, version := r.Header.Get("X-Expected-Instance"), r.Header.Get("X-Expected-Version")
	if expected != "" && expected != s.id || version != "" && version != strconv.Itoa(weightsVersion) {
		s.misdirected.Add(1)
		s.rec.logf("rejected  %s by %s with 421: expected instance %q, expected version %q", attempt, s.id, expected, version)
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("At-Server", s.address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.ran.Add(1)
	s.rec.logf("run       %s by %s", attempt, s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("X-Weight-Versions", strconv.Itoa(weightsVersion))
	for n := 1; n <= 4; n++ {
		time.Sleep(30 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, s.id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
