package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is one row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"record-version"`
	Removed bool   `json:"removed,omitempty"`
}

// store stands in for the platform's store: rows-get, rows-feed and rows-tx as
// PROTOCOL.md describes them. It answers every call and loses nothing.
type store struct {
	mu      sync.Mutex
	rows    map[string]*row
	version int64
	changed chan struct{}
	started time.Time
	address string
}

func newStore() (*store, error) {
	s := &store{
		rows:    make(map[string]*row),
		changed: make(chan struct{}),
		started: time.Now(),
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a row as the operator and the servers do. A nil value removes it. The return
// of put is the store's acknowledgement.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &row{Table: table, Key: key, Removed: value == nil}
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		r.Value = raw
	}
	s.version++
	s.set(r)
}

// set stores a row under the current version. The caller holds s.mu.
func (s *store) set(r *row) {
	r.Version = s.version
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) selectRows(keep func(*row) bool) []*row {
	out := []*row{}
	for _, r := range s.rows {
		if keep(r) {
			out = append(out, r)
		}
	}
	return out
}

func (s *store) write(w http.ResponseWriter, status int, rows []*row, version int64, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "record-version": version, "has-more": more,
		"now-ms": 1_000_000 + time.Since(s.started).Milliseconds(),
	})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/rows-get":
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), q.Get("limit"))
	case "/v1/rows-feed":
		s.feed(w, r, q.Get("table"), q.Get("after"), q.Get("wait-ms"))
	case "/v1/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, table, part, from, target, limitText string) {
	limit, err := strconv.Atoi(limitText)
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows := s.selectRows(func(r *row) bool {
		return r.Table == table && r.Part == part && !r.Removed && r.Key >= from && (target == "" || r.Key < target)
	})
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b *row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.write(w, http.StatusOK, rows[:min(limit, len(rows))], version, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table, afterText, waitText string) {
	after, errAfter := strconv.ParseInt(afterText, 10, 64)
	wait, errWait := strconv.Atoi(waitText)
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := s.selectRows(func(r *row) bool { return r.Table == table && r.Version > after })
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			slices.SortFunc(rows, func(a, b *row) int { return int(a.Version - b.Version) })
			s.write(w, http.StatusOK, rows, version, false)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.write(w, http.StatusOK, rows, version, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row  `json:"expected"`
		Writes   []*row `json:"writes"`
		Remove   []*row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range slices.Concat(tx.Writes, tx.Remove) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		current := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		if current == nil || current.Removed {
			current = &row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		if current.Version != e.Version {
			s.write(w, http.StatusPreconditionFailed, []*row{current}, s.version, false)
			return
		}
	}
	s.version++
	for _, e := range tx.Writes {
		s.set(e)
	}
	for _, e := range tx.Remove {
		s.set(&row{Table: e.Table, Part: e.Part, Key: e.Key, Removed: true})
	}
	s.write(w, http.StatusOK, []*row{}, s.version, false)
}
