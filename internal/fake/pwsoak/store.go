package pwsoak

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"record-version"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a small stand-in of the platform's store.
type store struct {
	mu      sync.Mutex
	rows    map[string]*row
	version int64
	history int64
	changed chan struct{}
	// fault is "", "busy" or "silent".
	fault string
}

func newStore() *store {
	return &store{
		rows:    make(map[string]*row),
		changed: make(chan struct{}),
	}
}

func (s *store) setFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// compact drops the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = s.version
}

// put writes a row; a nil value removes it.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(&row{
		Table:   table,
		Key:     key,
		Value:   raw,
		Removed: value == nil,
	})
}

func (s *store) write(r *row) {
	s.version++
	r.Version = s.version
	s.rows[r.Table+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) since(table string, after int64, removed bool) []*row {
	var out []*row
	for _, r := range s.rows {
		if r.Table == table && r.Version > after && (removed || !r.Removed) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *row) int { return int(a.Version - b.Version) })
	return out
}

// ServeHTTP answers the calls that the adapter makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "silent":
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.mu.Lock()
		rows, version := s.since(r.FormValue("table"), 0, false), s.version
		s.mu.Unlock()
		slices.SortFunc(rows, func(a, b *row) int { return strings.Compare(a.Key, b.Key) })
		answer(w, rows, version)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		var tx struct {
			Writes []*row `json:"writes"`
		}
		if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		for _, r := range tx.Writes {
			s.write(r)
		}
		version := s.version
		s.mu.Unlock()
		answer(w, nil, version)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.FormValue("wait-ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, version, lost, changed := s.since(r.FormValue("table"), after, true), s.version, after < s.history, s.changed
		s.mu.Unlock()
		switch {
		case lost:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0:
			answer(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, rows []*row, version int64) {
	w.Header().Set("Content-Type", "application/json")
	if rows == nil {
		rows = []*row{}
	}
	// The caller may have left; its next call reads the same rows.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows":           rows,
		"record-version": version,
		"has-more":       false,
		"now-ms":         time.Now().UnixMilli(),
	})
}
