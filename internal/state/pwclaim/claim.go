// Package pwclaim holds the claim protocol for calls that must run at most
// once. Each (workspace, idempotency key) has one row in the table, which is
// changed only by conditional writes:
//
//	claimed(attempt, body hash) -> dispatched(attempt) -> done(result)
//	claimed(attempt, body hash) -> aborted(attempt)
//
// An entry claims the key for an attempt and then sends the attempt to one
// agent. The agent moves the row to dispatched immediately before it calls
// the service, and calls only if that step is confirmed.
//
// # Usage
//
//	store := pwclaim.New(table, pwclaim.Config{})
//
//	// entry
//	outcome, err := store.Claim(ctx, key, sha256.Sum256(body), attempt)
//	if err == nil && outcome.Kind() == pwclaim.Granted {
//		// send the attempt to one agent, once
//	}
//	aborted, err := store.Abort(ctx, key, attempt) // true: not_run may be said
//
//	// agent
//	if err := store.Dispatch(ctx, key, attempt); err == nil {
//		// call the service, then
//		err = store.Finish(ctx, key, attempt, result, status)
//	}
//
// # Verdicts
//
// A verdict concerns the one call that returned it. An entry that sent an
// attempt and did not get its outcome may say not_run only after Abort
// returned true, whatever a later call returns. not_run concerns the
// submission that gets it: after an abort the caller may send the same key
// again, with the same body, and that new attempt may run.
//
// # Lost replies and late writes
//
// A commit without a reply may have taken effect, may take effect later, or
// never. A write names the version of the row that it expects, so it can only
// take effect while nobody else has changed the row. For each step:
//
//   - Claim: the row is read again. A repeated or late write stores the same
//     attempt. If Claim fails and the write still lands, the row is claimed by
//     an attempt that was never sent, and any other attempt may take it over.
//   - Dispatch: the row is read again and must name this call of Dispatch by
//     its random dispatch identifier. If Dispatch fails and the write still
//     lands, the row stays in dispatched although nobody calls the service:
//     the outcome is may_have_run, which is never wrong. Retract undoes this.
//   - Abort: returns true only after it has seen the row in aborted. A pending
//     write of Dispatch expects the version before that and has no effect.
//   - Finish: a repeated or late write stores the same result. A row in done is
//     never changed again.
//   - sweep: a late delete expects the version that was seen to be expired.
//
// The protocol relies on reads that see every write confirmed before, and on
// the retention time being longer than the time a late write can take.
package pwclaim

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	mathrand "math/rand/v2"
	"net/url"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// Defaults of Config and limits.
const (
	// DefaultRetention is how long a row is kept after its last change.
	DefaultRetention = 7 * 24 * time.Hour
	// MinRetention is far longer than a late write can take.
	MinRetention = time.Hour
	// DefaultTries is the number of writes that one step sends at most.
	DefaultTries = 4
	// DefaultRetryDelay is the mean delay before the second repetition.
	DefaultRetryDelay = 50 * time.Millisecond
	// MaxRetryDelay bounds the doubled delay.
	MaxRetryDelay = time.Second
	// MaxKeyBytes is the largest key. It holds a service, a method and the
	// idempotency key of the caller.
	MaxKeyBytes = 512
	// MaxResultBytes is the largest result that is stored. In JSON it takes
	// four thirds of that, which fits into a row. A larger result is left out
	// and only its status is stored.
	MaxResultBytes = 512 << 10

	// keyPrefix starts the table keys of all claim rows.
	keyPrefix = "claim/"
	// dispatchIDBytes is the size of the random identifier of one dispatch.
	dispatchIDBytes = 16
)

// Table is the part of the table service that the protocol needs.
type Table interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
}

// Key identifies a call that runs at most once.
type Key struct {
	Workspace      pwrequest.WorkspaceID
	IdempotencyKey string
}

// tableKey returns the key of the row. Both parts are escaped, so that
// different keys never share a row.
func (k Key) tableKey() string {
	return keyPrefix + url.QueryEscape(string(k.Workspace)) + "/" + url.QueryEscape(k.IdempotencyKey)
}

func (k Key) validate() error {
	switch {
	case k.Workspace == "":
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "workspace of a claim is empty; it must be set")
	case k.IdempotencyKey == "" || len(k.IdempotencyKey) > MaxKeyBytes:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"idempotency key has %d bytes; allowed are 1 to %d", len(k.IdempotencyKey), MaxKeyBytes)
	}
	return nil
}

// Config holds the settings of a store. Zero values select the defaults.
type Config struct {
	// Retention is how long a row is kept after its last change.
	Retention time.Duration
	// Tries is the number of writes that one step sends at most.
	Tries int
	// RetryDelay is the mean delay before the second repetition of a step; it
	// doubles with each further one.
	RetryDelay time.Duration
	// TakeoverAfter is the age from which a row in claimed may be taken over
	// by another attempt. 0 allows it at once.
	TakeoverAfter time.Duration
}

func (c Config) withDefaults() Config {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	c.Retention = max(c.Retention, MinRetention)
	if c.Tries <= 0 {
		c.Tries = DefaultTries
	}
	if c.RetryDelay <= 0 {
		c.RetryDelay = DefaultRetryDelay
	}
	return c
}

// State is the state of a row.
type State string

// States of a row.
const (
	StateClaimed    State = "claimed"
	StateDispatched State = "dispatched"
	StateDone       State = "done"
	StateAborted    State = "aborted"
)

// row is the stored form of a claim. The zero value stands for a row that
// does not exist.
type row struct {
	State   State               `json:"state"`
	Attempt pwrequest.AttemptID `json:"attempt"`
	// BodyHash is in hexadecimal. It is empty after an abort without a claim.
	BodyHash string `json:"body_hash,omitempty"`
	// DispatchID names the call of Dispatch that moved the row.
	DispatchID    string    `json:"dispatch_id,omitempty"`
	Status        int       `json:"status,omitempty"`
	Result        []byte    `json:"result,omitempty"`
	ResultOmitted bool      `json:"result_omitted,omitempty"`
	ChangedAt     time.Time `json:"changed_at"`
}

// Record is what the table knows about a key.
type Record struct {
	row row
}

// State returns the state of the row.
func (r Record) State() State { return r.row.State }

// Attempt returns the attempt that made the last change.
func (r Record) Attempt() pwrequest.AttemptID { return r.row.Attempt }

// Status returns the service's status of a call that is done.
func (r Record) Status() int { return r.row.Status }

// Result returns the result of a call that is done. The caller must not
// change it.
func (r Record) Result() []byte { return r.row.Result }

// ResultOmitted reports whether the result was larger than MaxResultBytes and
// was not stored.
func (r Record) ResultOmitted() bool { return r.row.ResultOmitted }

// ChangedAt returns the time of the last change, by the writer's clock.
func (r Record) ChangedAt() time.Time { return r.row.ChangedAt }

// Verdict returns what is known about the call. A row in claimed gives
// MayHaveRun, because the agent may dispatch it at any moment.
func (r Record) Verdict() pwverdict.Verdict {
	switch r.row.State {
	case StateAborted:
		return pwverdict.NotRun
	case StateDone:
		return pwverdict.Ran
	default:
		return pwverdict.MayHaveRun
	}
}

// OutcomeKind is the kind of an outcome of Claim.
type OutcomeKind uint8

// Kinds of outcomes. The zero value permits nothing.
const (
	// OutcomeInProgress means that another attempt holds the key.
	OutcomeInProgress OutcomeKind = iota
	// OutcomeGranted means that this attempt holds the key and may be sent.
	OutcomeGranted
	// OutcomeAlreadyDone means that the record holds the stored result.
	OutcomeAlreadyDone
)

// String returns the name used in logs.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeGranted:
		return "granted"
	case OutcomeAlreadyDone:
		return "already_done"
	default:
		return "in_progress"
	}
}

// Outcome is the answer to Claim.
type Outcome struct {
	kind   OutcomeKind
	record Record
}

// Kind returns the kind of the outcome.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Record returns the row that the outcome is based on.
func (o Outcome) Record() Record { return o.record }

// Store runs the protocol on a table. It is safe for concurrent use.
type Store struct {
	table       Table
	cfg         Config
	unconfirmed unconfirmed
}

// New returns a store on the given table.
func New(table Table, cfg Config) *Store {
	return &Store{
		table: table,
		cfg:   cfg.withDefaults(),
	}
}

// Claim asks for the right to send an attempt. An attempt is claimed by one
// entry, and sent once and only after Granted. All errors have the verdict
// NotRun, because the attempt is then not sent: CauseKeyReused for another
// body, CauseUnavailable when the table service does not answer.
func (s *Store) Claim(ctx context.Context, k Key, bodyHash [32]byte, attempt pwrequest.AttemptID) (Outcome, error) {
	hash := hex.EncodeToString(bodyHash[:])
	wrote := false
	last, err := s.change(ctx, k, func(cur row) (row, bool, error) {
		next := row{
			State:     StateClaimed,
			Attempt:   attempt,
			BodyHash:  hash,
			ChangedAt: time.Now(),
		}
		if cur.BodyHash != "" && cur.BodyHash != hash {
			return cur, false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseKeyReused,
				"idempotency key %q was used with another body; use a new key for a new body", k.IdempotencyKey)
		}
		takeOver := false
		switch {
		case cur.State == "":
			takeOver = true
		case cur.State == StateAborted && cur.Attempt == attempt:
			// not_run may have been said for this attempt.
			return cur, false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseConflict,
				"attempt %q was aborted and cannot be claimed again", attempt)
		case cur.State == StateAborted:
			takeOver = true
		case cur.State == StateClaimed && cur.Attempt != attempt:
			// An attempt that has lost the row during this call does not take
			// it back: two entries would otherwise alternate.
			takeOver = !wrote && time.Since(cur.ChangedAt) >= s.cfg.TakeoverAfter
		}
		wrote = wrote || takeOver
		return next, takeOver, nil
	})
	if err != nil {
		return Outcome{}, withVerdict(err, pwverdict.NotRun)
	}
	o := Outcome{
		record: Record{
			row: last,
		},
	}
	switch {
	case last.State == StateClaimed && last.Attempt == attempt:
		o.kind = OutcomeGranted
	case last.State == StateDone:
		o.kind = OutcomeAlreadyDone
	}
	return o, nil
}

// Abort moves the row to aborted unless the call has been dispatched. It
// returns true only when the row is confirmed to be in aborted, so that the
// attempt never runs and not_run is true. It returns false without an error
// when the row was dispatched or belongs to another attempt.
func (s *Store) Abort(ctx context.Context, k Key, attempt pwrequest.AttemptID) (aborted bool, err error) {
	return s.abort(ctx, k, attempt, func(row) bool { return false })
}

// Lookup returns the record of a key. A row that does not exist gives
// CauseNotFound. Errors have the verdict MayHaveRun, because a failed lookup
// says nothing about the call.
func (s *Store) Lookup(ctx context.Context, k Key) (Record, error) {
	if err := k.validate(); err != nil {
		return Record{}, err
	}
	cur, _, err := s.read(ctx, k)
	if err != nil {
		return Record{}, withVerdict(err, pwverdict.MayHaveRun)
	}
	if cur.State == "" {
		return Record{}, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseNotFound,
			"idempotency key %q is not known; it was never used or its retention time is over", k.IdempotencyKey)
	}
	return Record{
		row: cur,
	}, nil
}

// Dispatch moves the row to dispatched. It returns nil only when the table
// confirms that this call made that step; the agent then calls the service
// once. After any error the agent must not call it. An agent that is restarted
// after Dispatch gets an error with MayHaveRun when it dispatches again.
// An error with NotRun means that this call of Dispatch has moved nothing and
// never will. After MayHaveRun the write may still land; Retract undoes it.
func (s *Store) Dispatch(ctx context.Context, k Key, attempt pwrequest.AttemptID) error {
	id := newDispatchID()
	_, err := s.change(ctx, k, func(cur row) (row, bool, error) {
		next := row{
			State:      StateDispatched,
			Attempt:    attempt,
			BodyHash:   cur.BodyHash,
			DispatchID: id,
			ChangedAt:  time.Now(),
		}
		switch {
		case cur.State == "":
			return cur, false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound,
				"idempotency key %q is not claimed", k.IdempotencyKey)
		case cur.Attempt != attempt || cur.State == StateAborted:
			return cur, false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseConflict,
				"row is %s by attempt %q, not claimed by %q", cur.State, cur.Attempt, attempt)
		case cur.State == StateClaimed:
			return next, true, nil
		case cur.State == StateDispatched && cur.DispatchID == id:
			return cur, false, nil
		case cur.State == StateDone:
			return cur, false, pwverdict.New(pwverdict.Ran, pwverdict.CauseConflict, "attempt %q is done", attempt)
		default:
			return cur, false, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInProgress,
				"attempt %q was dispatched by an earlier call", attempt)
		}
	})
	if pwverdict.VerdictOf(err) == pwverdict.MayHaveRun && err != nil {
		s.unconfirmed.add(unconfirmedKey{
			key:     k,
			attempt: attempt,
		}, id)
	}
	return err
}

// Finish stores the result of a dispatched call. The caller repeats it until
// its deadline; repetitions with the same result succeed. A row in done is
// never changed. All errors have the verdict MayHaveRun, because the service
// has been called.
func (s *Store) Finish(ctx context.Context, k Key, attempt pwrequest.AttemptID, result []byte, status int) error {
	omitted := len(result) > MaxResultBytes
	if omitted {
		result = nil
	}
	_, err := s.change(ctx, k, func(cur row) (row, bool, error) {
		next := row{
			State:         StateDone,
			Attempt:       attempt,
			BodyHash:      cur.BodyHash,
			DispatchID:    cur.DispatchID,
			Status:        status,
			Result:        result,
			ResultOmitted: omitted,
			ChangedAt:     time.Now(),
		}
		switch {
		case cur.State == StateDispatched && cur.Attempt == attempt:
			return next, true, nil
		case cur.State == StateDone && cur.Attempt == attempt && cur.Status == status && bytes.Equal(cur.Result, result):
			return cur, false, nil
		default:
			return cur, false, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseConflict,
				"result of attempt %q cannot be stored: row is %q by attempt %q", attempt, cur.State, cur.Attempt)
		}
	})
	if err != nil {
		return withVerdict(err, pwverdict.MayHaveRun)
	}
	return nil
}

// decision looks at the current row and returns the row to write, whether to
// write it, or the error that ends the step.
type decision func(cur row) (next row, write bool, err error)

// change reads the row, decides and writes until the decision writes nothing
// more, and returns the row that it then looked at. After a commit without a
// reply the row is read again. The error has MayHaveRun when a write was sent
// whose outcome is not known.
func (s *Store) change(ctx context.Context, k Key, decide decision) (row, error) {
	if err := k.validate(); err != nil {
		return row{}, err
	}
	var lastErr error
	uncertain := pwverdict.NotRun
	for try := 0; ; try++ {
		if try > 1 {
			if err := s.sleep(ctx, try-1); err != nil {
				lastErr = err
				break
			}
		}
		cur, version, err := s.read(ctx, k)
		if err != nil {
			lastErr = err
		} else {
			next, write, err := decide(cur)
			if err != nil || !write {
				return cur, err
			}
			if try == s.cfg.Tries {
				break
			}
			var confirmed bool
			confirmed, err = s.write(ctx, k, next, version)
			if confirmed {
				return next, nil
			}
			if pwverdict.VerdictOf(err) != pwverdict.NotRun {
				uncertain = pwverdict.MayHaveRun
			}
			lastErr = err
		}
		if try == s.cfg.Tries || ctx.Err() != nil {
			break
		}
	}
	cause := pwverdict.CauseOf(lastErr)
	if cause == pwverdict.CauseNotFound || cause == pwverdict.CauseInternal && !isCorrupt(lastErr) {
		cause = pwverdict.CauseUnavailable
	}
	return row{}, pwverdict.Wrap(lastErr, uncertain, cause, "claim row of key %q could not be changed", k.IdempotencyKey)
}

func (s *Store) read(ctx context.Context, k Key) (row, uint64, error) {
	stored, err := s.table.Get(ctx, k.tableKey())
	if err != nil {
		if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
			return row{}, 0, nil
		}
		return row{}, 0, err
	}
	cur, err := decodeRow(stored.Value)
	return cur, stored.Version, err
}

func (s *Store) write(ctx context.Context, k Key, next row, expect uint64) (confirmed bool, err error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseInternal, "claim row could not be encoded")
	}
	_, err = s.table.Commit(ctx, pwtable.Write{
		Key:             k.tableKey(),
		Value:           value,
		ExpectedVersion: expect,
	})
	return err == nil, err
}

// sleep waits for a jittered delay that doubles with n, from 1.
func (s *Store) sleep(ctx context.Context, n int) error {
	d := min(s.cfg.RetryDelay<<min(n-1, 10), MaxRetryDelay)
	d = d/2 + mathrand.N(d)
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// errCorrupt marks a row that cannot be decoded.
var errCorrupt = errors.New("claim row is not valid")

func isCorrupt(err error) bool { return errors.Is(err, errCorrupt) }

func decodeRow(value []byte) (row, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, pwverdict.Wrap(errors.Join(errCorrupt, err), pwverdict.NotRun, pwverdict.CauseInternal, "claim row could not be decoded")
	}
	switch r.State {
	case StateClaimed, StateDispatched, StateDone, StateAborted:
		return r, nil
	default:
		return row{}, pwverdict.Wrap(errCorrupt, pwverdict.NotRun, pwverdict.CauseInternal,
			"claim row has state %q; allowed are claimed, dispatched, done and aborted", r.State)
	}
}

func newDispatchID() string {
	var b [dispatchIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

// withVerdict returns err with another verdict and the same cause.
func withVerdict(err error, v pwverdict.Verdict) error {
	if pwverdict.VerdictOf(err) == v {
		return err
	}
	return pwverdict.Wrap(err, v, pwverdict.CauseOf(err), "claim step failed")
}
