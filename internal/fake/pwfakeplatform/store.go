package pwfakeplatform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
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

// stateTable is the name under which the store serves the rows of Store.Table.
const stateTable = "pomeloweir"

// maxStoreBody is the largest request body, in bytes, that the store reads.
const maxStoreBody = 16 << 20

// StoreFault is a failure that affects all calls to a Store.
type StoreFault string

// Faults of a Store.
const (
	// StoreFaultBusy refuses each call with status 503.
	StoreFaultBusy StoreFault = "busy"
	// StoreFaultNoResponse keeps each call waiting until its caller gives up.
	StoreFaultNoResponse StoreFault = "silent"
	// StoreFaultSlow adds a latency of 300 ms to each call.
	StoreFaultSlow StoreFault = "slow"
	// StoreFaultLostResponse carries out each call and breaks the connection before
	// the response.
	StoreFaultLostResponse StoreFault = "lost"
	// StoreFaultTruncatedResponse sends only the first half of each response body.
	StoreFaultTruncatedResponse StoreFault = "garbled"
)

// slowStoreLatency is the latency that StoreFaultSlow adds to each call.
const slowStoreLatency = 300 * time.Millisecond

// row is the JSON form of a row on the store's HTTP interface.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"record-version"`
	Removed bool   `json:"removed,omitempty"`
}

// Store is an in-memory fake of the platform's store, served over HTTP.
type Store struct {
	// Table holds the rows of the product's own state.
	Table *Table
	// Objects holds the objects of the product.
	Objects *ObjectStore

	mu               sync.Mutex
	rows             map[string]*row
	version          int64
	compactedVersion int64         // the feed can't start before this version
	changeSignal     chan struct{} // closed and replaced at each change of a row
	fault            StoreFault
	era              int64 // how often the store has come back from an older copy
	// clockOffset is added to the time of this process in each response.
	clockOffset time.Duration
}

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{
		Table:        NewTable(),
		Objects:      NewObjectStore(),
		rows:         make(map[string]*row),
		changeSignal: make(chan struct{}),
	}
}

// SetFault makes the fault affect all calls until it is set to "".
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetClockOffset sets the difference between the store's clock and the clock of
// this process.
func (s *Store) SetClockOffset(offset time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockOffset = offset
}

// PutInvalidRow writes a row whose value is not JSON, as a faulty writer might.
func (s *Store) PutInvalidRow(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putRow(&row{
		Table: table,
		Key:   key,
		Value: []byte("\x00not JSON"),
	})
}

// Compact drops the history of changes. A feed that asks for changes after an
// older version gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedVersion = s.version
}

// StoreCopy is a copy of the rows of a Store, without those of the state table.
type StoreCopy struct {
	rows    map[string]*row
	version int64
}

// Copy returns a copy of the store.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{
		rows:    maps.Clone(s.rows),
		version: s.version,
	}
}

// Restore brings the store back from a copy. It loses later changes, gives out their
// versions again, and states the next era. Restore returns a copy of the lost state.
func (s *Store) Restore(c StoreCopy) (lost StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = StoreCopy{
		rows:    s.rows,
		version: s.version,
	}
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.compactedVersion = min(s.compactedVersion, s.version)
	s.era++
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
	return lost
}

// WriteAgain writes the lost rows of a table again, as their writers do, unless they have
// changed since the store came back from the copy.
func (s *Store) WriteAgain(table string, lost, restoredFrom StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range lost.rows {
		if r.Table != table || s.rows[key] != restoredFrom.rows[key] || r == restoredFrom.rows[key] {
			continue
		}
		again := *r
		s.putRow(&again)
	}
}

// Put writes a row of a table other than the state table. A nil value removes the
// row.
func (s *Store) Put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putRow(&row{
		Table:   table,
		Key:     key,
		Value:   raw,
		Removed: value == nil,
	})
}

// putRow stores a row under the next version and wakes the feeds. The caller holds
// s.mu.
func (s *Store) putRow(r *row) {
	s.version++
	r.Version = s.version
	s.rows[r.Table+"\x00"+r.Key] = r
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// rowsAfter returns the rows of a table with a version greater than after, in the
// order of their versions. The caller holds s.mu.
func (s *Store) rowsAfter(table string, after int64, includeRemoved bool) []*row {
	var out []*row
	for _, r := range s.rows {
		if r.Table == table && r.Version > after && (includeRemoved || !r.Removed) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *row) int { return int(a.Version - b.Version) })
	return out
}

// ServeHTTP serves the calls of the platform adapter, subject to the fault that is
// set.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	switch fault {
	case StoreFaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreFaultNoResponse:
		<-r.Context().Done()
		return
	case StoreFaultSlow:
		time.Sleep(slowStoreLatency)
	case StoreFaultLostResponse:
		s.dispatch(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case StoreFaultTruncatedResponse:
		rec := httptest.NewRecorder()
		s.dispatch(rec, r)
		// A write error means that the caller has disconnected.
		_, _ = w.Write(rec.Body.Bytes()[:rec.Body.Len()/2])
		return
	}
	s.dispatch(w, r)
}

// dispatch carries out one call.
func (s *Store) dispatch(w http.ResponseWriter, r *http.Request) {
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	switch path {
	case "rows-get":
		s.handleGet(w, r)
	case "rows-feed":
		s.handleFeed(w, r)
	case "rows-tx":
		s.handleTransaction(w, r)
	case "blob-put":
		data, err := io.ReadAll(io.LimitReader(r.Body, maxStoreBody))
		if err == nil {
			err = s.Objects.Put(r.Context(), id, data)
		}
		writeResponse(w, nil, err)
	case "blob-get":
		data, err := s.Objects.Get(r.Context(), id)
		writeResponse(w, data, err)
	case "blob-drop":
		writeResponse(w, nil, s.Objects.Delete(r.Context(), id))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// writeResponse sends the response of a call. It breaks the connection when the error
// leaves open whether the call took effect, as a failing store would.
func writeResponse(w http.ResponseWriter, body []byte, err error) {
	switch e := pwverdict.AsError(err); {
	case err == nil:
		// A write error means that the caller has disconnected.
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

// handleGet returns rows in the order of their keys: a range of the state table or
// all rows of another table.
func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("table") == stateTable {
		rows, err := s.readStateRows(r.Context(), r.FormValue("from"), r.FormValue("target"), r.FormValue("limit"))
		if err != nil {
			writeResponse(w, nil, err)
			return
		}
		s.writeRows(w, rows, 0)
		return
	}
	s.mu.Lock()
	rows, version := s.rowsAfter(r.FormValue("table"), 0, false), s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b *row) int { return strings.Compare(a.Key, b.Key) })
	s.writeRows(w, rows, version)
}

// readStateRows returns up to limit rows of the state table whose keys are at least
// start and less than end.
func (s *Store) readStateRows(ctx context.Context, start, end, limit string) ([]*row, error) {
	n, err := strconv.Atoi(limit)
	if err != nil {
		return nil, err
	}
	stateRows, err := s.Table.Range(ctx, start, end, n)
	if err != nil {
		return nil, err
	}
	rows := make([]*row, 0, len(stateRows))
	for _, stateRow := range stateRows {
		rows = append(rows, &row{
			Table:   stateTable,
			Key:     stateRow.Key,
			Value:   stateRow.Value,
			Version: int64(stateRow.Version),
		})
	}
	return rows, nil
}

// handleTransaction applies a transaction to the state table if it has writes
// there, and to the other tables otherwise.
func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row  `json:"expected"`
		Writes   []*row `json:"writes"`
		Remove   []row  `json:"remove"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxStoreBody)).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expectedVersions := make(map[string]int64, len(tx.Expected))
	for _, e := range tx.Expected {
		expectedVersions[e.Table+"\x00"+e.Key] = e.Version
	}
	var stateWrites []pwtable.Write
	for _, e := range tx.Writes {
		if e.Table == stateTable {
			stateWrites = append(stateWrites, pwtable.Write{
				Key:             e.Key,
				Value:           e.Value,
				ExpectedVersion: uint64(expectedVersions[e.Table+"\x00"+e.Key]),
			})
		}
	}
	for _, e := range tx.Remove {
		if e.Table == stateTable {
			stateWrites = append(stateWrites, pwtable.Write{
				Key:             e.Key,
				ExpectedVersion: uint64(expectedVersions[e.Table+"\x00"+e.Key]),
				Delete:          true,
			})
		}
	}
	if len(stateWrites) > 0 {
		version, err := s.Table.Commit(r.Context(), stateWrites...)
		if err != nil {
			writeResponse(w, nil, err)
			return
		}
		s.writeRows(w, nil, int64(version))
		return
	}
	version, ok := s.commit(expectedVersions, tx.Writes, tx.Remove)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.writeRows(w, nil, version)
}

// commit applies all changes to tables other than the state table. It applies none
// and returns false if a row does not have its expected version.
func (s *Store) commit(expectedVersions map[string]int64, writes []*row, removals []row) (version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, expected := range expectedVersions {
		if current := s.rows[key]; current == nil && expected != 0 || current != nil && (current.Version != expected || current.Removed) {
			return 0, false
		}
	}
	for _, e := range writes {
		s.putRow(e)
	}
	for _, e := range removals {
		s.putRow(&row{
			Table:   e.Table,
			Key:     e.Key,
			Removed: true,
		})
	}
	return s.version, true
}

// handleFeed returns the rows that changed after a version. It waits for the first
// change up to the time that the caller asks for.
func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.FormValue("wait-ms"))
	if errors.Join(err, errWait) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		rows, version, changed := s.rowsAfter(r.FormValue("table"), after, true), s.version, s.changeSignal
		compacted, restored := after < s.compactedVersion || after > s.version, s.era != era
		s.mu.Unlock()
		if restored {
			panic(http.ErrAbortHandler)
		}
		switch {
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0:
			s.writeRows(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.writeRows(w, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeRows sends rows together with a version and the store's time.
func (s *Store) writeRows(w http.ResponseWriter, rows []*row, version int64) {
	s.mu.Lock()
	now := time.Now().Add(s.clockOffset)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if rows == nil {
		rows = []*row{}
	}
	// A write error means that the caller has disconnected. Its next call reads
	// the same rows.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows":           rows,
		"record-version": version,
		"has-more":       false,
		"now-ms":         now.UnixMilli(),
	})
}
