package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	id, server, tenant string
	begun              time.Time
	expected           string
}

// ledger records the runs at all servers.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if r.id == id {
			n++
		}
	}
	return n
}

// server is a stand-in for a backend server: a plain one, or an engine that streams.
type server struct {
	id, service, zone, addr string
	engine                  bool
	slots                   int
	work                    time.Duration
	events                  int
	gap                     time.Duration
	runs                    *ledger
	srv                     *http.Server
	born                    int64

	mu      sync.Mutex
	busy    int
	tickets map[string]int64
}

func startServer(st *store, runs *ledger, id, service, zone string, engine bool) *server {
	s := &server{id: id, service: service, zone: zone, engine: engine, slots: 16, work: 15 * time.Millisecond,
		events: 12, gap: 40 * time.Millisecond, runs: runs, born: time.Now().UnixMilli(), tickets: map[string]int64{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("server: %v", err)
	}
	s.addr = l.Addr().String()
	s.srv = &http.Server{Handler: s, IdleTimeout: 5 * time.Second, MaxHeaderBytes: 1 << 20}
	go func() { _ = s.srv.Serve(l) }()
	s.publish(st, "ready")
	return s
}

func (s *server) publish(st *store, state string) {
	st.put("servers", s.id, map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1",
		"slots": s.slots, "state": state, "cold-remaining-ms": 0, "sequence": 1, "born": s.born})
}

func (s *server) notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP runs a request as PROTOCOL.md describes it.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if e := r.Header.Get("X-Expected-Instance"); e != "" && e != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/v1/order" {
		s.order(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		s.notRun(w, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	full := s.busy >= 3*s.slots
	if !full {
		s.busy++
	}
	s.mu.Unlock()
	if full {
		s.notRun(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { s.mu.Lock(); s.busy--; s.mu.Unlock() }()
	s.runs.add(run{id: id, server: s.id, tenant: r.Header.Get("X-Tenant"), begun: time.Now(), expected: r.Header.Get("X-Expected-Instance")})
	w.Header().Set("X-Response-Seal", "seal."+id)
	if !s.engine {
		time.Sleep(s.work)
		_, _ = fmt.Fprintf(w, "%s %s %d", id, r.URL.RequestURI(), len(body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	time.Sleep(s.work)
	for i := last + 1; i <= s.events; i++ {
		if i > last+1 {
			time.Sleep(s.gap)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, ID string
		Tokens        int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o.Operation {
	case "reserve":
		s.tickets[o.ID] = o.Tokens
	case "release":
		delete(s.tickets, o.ID)
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"free":100000}`)
}

// readEvents returns the ids of the events of a stream and whether it ended as complete.
func readEvents(body io.Reader) (ids []int, err error) {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 1<<16), 1<<20)
	for sc.Scan() {
		if v, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			n, _ := strconv.Atoi(v)
			ids = append(ids, n)
		}
	}
	return ids, sc.Err()
}
