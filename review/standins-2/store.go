package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md shows it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"record-version"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps all history.
type store struct {
	addr string

	mu      sync.Mutex
	version int64
	rows    map[string]*row
	changes []*row
	changed chan struct{}
	start   time.Time
}

func newStore() *store {
	s := &store{rows: map[string]*row{}, changed: make(chan struct{}), start: time.Now()}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("store: %v", err)
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// put writes a row, or removes it if value is nil. When it returns, the write is acknowledged.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(table, "", key, value)
	s.signal()
}

func (s *store) putLocked(table, part, key string, value any) {
	s.version++
	r := &row{Table: table, Part: part, Key: key, Version: s.version}
	switch v := value.(type) {
	case nil:
		r.Removed = true
	case []byte:
		r.Value = v
	default:
		r.Value, _ = json.Marshal(v)
	}
	s.rows[table+"\x00"+part+"\x00"+key] = r
	s.changes = append(s.changes, r)
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["record-version"] = s.version
	body["now-ms"] = time.Since(s.start).Milliseconds() + 1000
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []*row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Removed && x.Key >= q.Get("from") &&
			(q.Get("target") == "" || x.Key < q.Get("target")) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	s.reply(w, 200, map[string]any{"rows": out, "has-more": more})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []*row{}
		for _, c := range s.changes {
			if c.Version > after && c.Table == q.Get("table") {
				out = append(out, c)
			}
		}
		if len(out) > 0 {
			s.reply(w, 200, map[string]any{"rows": out})
			s.mu.Unlock()
			return
		}
		ch := s.changed
		s.mu.Unlock()
		select {
		case <-ch:
		case <-timeout:
			s.mu.Lock()
			s.reply(w, 200, map[string]any{"rows": out})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected, Writes, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	bad := []*row{}
	for _, e := range t.Expected {
		cur := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		have := int64(0)
		if cur != nil && !cur.Removed {
			have = cur.Version
		}
		if have != e.Version {
			if cur != nil {
				bad = append(bad, cur)
			}
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": bad})
			return
		}
	}
	for _, x := range append(t.Writes, t.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, x := range t.Writes {
		s.putLocked(x.Table, x.Part, x.Key, x.Value)
	}
	for _, x := range t.Remove {
		s.putLocked(x.Table, x.Part, x.Key, nil)
	}
	s.signal()
	s.reply(w, 200, map[string]any{})
}
