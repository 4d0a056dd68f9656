package pwfakeplatform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// stateTable is the table of the store that Store.Table holds.
const stateTable = "pomeloweir"

// maxStoreBody bounds one call.
const maxStoreBody = 16 << 20

// StoreFault is a failure of the whole store.
type StoreFault string

// Failures of the whole store.
const (
	StoreFaultBusy    StoreFault = "busy"
	StoreFaultNoReply StoreFault = "silent"
	// StoreFaultSlow answers each call late.
	StoreFaultSlow StoreFault = "slow"
	// StoreFaultLostReply carries calls out and loses their answers.
	StoreFaultLostReply StoreFault = "lost"
	// StoreFaultTruncatedReply answers with bytes that end in the middle.
	StoreFaultTruncatedReply StoreFault = "garbled"
)

// slowAnswer is the time that each call of a slow store takes.
const slowAnswer = 300 * time.Millisecond

// row is a row as the store spells it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"record-version"`
	Removed bool   `json:"removed,omitempty"`
}

// Store is a small stand-in of the platform's store, served over HTTP. Table
// holds the product's own state and Objects its objects, both with their faults.
type Store struct {
	Table   *Table
	Objects *ObjectStore

	mu      sync.Mutex
	rows    map[string]*row
	version int64
	history int64
	changed chan struct{}
	fault   StoreFault
	// clock is what the store's clock is off by.
	clock time.Duration
}

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{
		Table:   NewTable(),
		Objects: NewObjectStore(),
		rows:    make(map[string]*row),
		changed: make(chan struct{}),
	}
}

// SetFault makes all calls fail until it is set to "".
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetClockOffset makes the store's clock differ from that of this process.
func (s *Store) SetClockOffset(off time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = off
}

// PutInvalidRow writes a row whose value is not JSON, as another writer might.
func (s *Store) PutInvalidRow(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(&row{
		Table: table,
		Key:   key,
		Value: []byte("\x00not JSON"),
	})
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = s.version
}

// Put writes a row of another table; a nil value removes it.
func (s *Store) Put(table, key string, value any) {
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

func (s *Store) write(r *row) {
	s.version++
	r.Version = s.version
	s.rows[r.Table+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) since(table string, after int64, removed bool) []*row {
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
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case StoreFaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreFaultNoReply:
		<-r.Context().Done()
		return
	case StoreFaultSlow:
		time.Sleep(slowAnswer)
	case StoreFaultLostReply:
		s.serve(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case StoreFaultTruncatedReply:
		rec := httptest.NewRecorder()
		s.serve(rec, r)
		// The caller may have left.
		_, _ = w.Write(rec.Body.Bytes()[:rec.Body.Len()/2])
		return
	}
	s.serve(w, r)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	switch path {
	case "rows-get":
		s.get(w, r)
	case "rows-feed":
		s.feed(w, r)
	case "rows-tx":
		s.transact(w, r)
	case "blob-put":
		data, err := io.ReadAll(io.LimitReader(r.Body, maxStoreBody))
		if err == nil {
			err = s.Objects.Put(r.Context(), id, data)
		}
		finish(w, nil, err)
	case "blob-get":
		data, err := s.Objects.Get(r.Context(), id)
		finish(w, data, err)
	case "blob-drop":
		finish(w, nil, s.Objects.Delete(r.Context(), id))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// finish answers a call as the store does: without an answer where the caller
// can't know whether it took effect.
func finish(w http.ResponseWriter, body []byte, err error) {
	switch e := pwverdict.AsError(err); {
	case err == nil:
		// The caller may have left.
		_, _ = w.Write(body)
	case e.Verdict() == pwverdict.MayHaveRun:
		panic(http.ErrAbortHandler)
	case e.Cause() == pwverdict.CauseConflict:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.Cause() == pwverdict.CauseNotFound:
		w.WriteHeader(http.StatusNotFound)
	case e.Cause() == pwverdict.CauseBadRequest:
		w.WriteHeader(http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("table") == stateTable {
		rows, err := s.state(r.Context(), r.FormValue("from"), r.FormValue("target"), r.FormValue("limit"))
		if err != nil {
			finish(w, nil, err)
			return
		}
		s.answer(w, rows, 0)
		return
	}
	s.mu.Lock()
	rows, version := s.since(r.FormValue("table"), 0, false), s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b *row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, rows, version)
}

// state returns rows of the product's own state.
func (s *Store) state(ctx context.Context, from, target, limit string) ([]*row, error) {
	n, err := strconv.Atoi(limit)
	if err != nil {
		return nil, err
	}
	list, err := s.Table.Range(ctx, from, target, n)
	if err != nil {
		return nil, err
	}
	rows := make([]*row, 0, len(list))
	for _, l := range list {
		rows = append(rows, &row{
			Table:   stateTable,
			Key:     l.Key,
			Value:   l.Value,
			Version: int64(l.Version),
		})
	}
	return rows, nil
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row  `json:"expected"`
		Writes   []*row `json:"writes"`
		Remove   []row  `json:"remove"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxStoreBody)).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expect := make(map[string]int64, len(tx.Expected))
	for _, e := range tx.Expected {
		expect[e.Table+"\x00"+e.Key] = e.Version
	}
	var state []pwtable.Write
	for _, e := range tx.Writes {
		if e.Table == stateTable {
			state = append(state, pwtable.Write{
				Key:             e.Key,
				Value:           e.Value,
				ExpectedVersion: uint64(expect[e.Table+"\x00"+e.Key]),
			})
		}
	}
	for _, e := range tx.Remove {
		if e.Table == stateTable {
			state = append(state, pwtable.Write{
				Key:             e.Key,
				ExpectedVersion: uint64(expect[e.Table+"\x00"+e.Key]),
				Delete:          true,
			})
		}
	}
	if len(state) > 0 {
		version, err := s.Table.Commit(r.Context(), state...)
		if err != nil {
			finish(w, nil, err)
			return
		}
		s.answer(w, nil, int64(version))
		return
	}
	version, ok := s.commit(expect, tx.Writes, tx.Remove)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.answer(w, nil, version)
}

// commit applies all changes to other tables, or none if a row has another version.
func (s *Store) commit(expect map[string]int64, writes []*row, remove []row) (version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, want := range expect {
		if known := s.rows[key]; known == nil && want != 0 || known != nil && (known.Version != want || known.Removed) {
			return 0, false
		}
	}
	for _, e := range writes {
		s.write(e)
	}
	for _, e := range remove {
		s.write(&row{
			Table:   e.Table,
			Key:     e.Key,
			Removed: true,
		})
	}
	return s.version, true
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.FormValue("wait-ms"))
	if errors.Join(err, errWait) != nil {
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
			s.answer(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) answer(w http.ResponseWriter, rows []*row, version int64) {
	s.mu.Lock()
	now := time.Now().Add(s.clock)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if rows == nil {
		rows = []*row{}
	}
	// The caller may have left; its next call reads the same rows.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows":           rows,
		"record-version": version,
		"has-more":       false,
		"now-ms":         now.UnixMilli(),
	})
}
