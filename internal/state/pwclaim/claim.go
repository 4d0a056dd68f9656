// Package pwclaim implements the claim protocol for calls that must run at most
// once. Each pair of workspace and idempotency key has one row in the table. The
// row changes state only by conditional writes:
//
//	claimed(attempt, body hash) -> dispatched(attempt) -> done(result)
//	claimed(attempt, body hash) -> aborted(attempt)
//
// An entry claims the key for an attempt and then sends the attempt to one agent.
// Immediately before the agent calls the service, it moves the row to dispatched.
// It makes the call only if the table confirms that transition.
//
// # Usage
//
//	store := pwclaim.New(table, pwclaim.Config{})
//
//	// entry
//	outcome, err := store.Claim(ctx, key, sha256.Sum256(body), attempt)
//	if err == nil && outcome.Kind() == pwclaim.OutcomeGranted {
//		// send the attempt to one agent, once
//	}
//	aborted, err := store.Abort(ctx, key, attempt) // true: not_run may be reported
//
//	// agent
//	if err := store.Dispatch(ctx, key, attempt); err == nil {
//		// call the service, then
//		err = store.Finish(ctx, key, attempt, result, status)
//	}
//
// # Verdicts
//
// A verdict applies only to the call that returned it. An entry that sent an
// attempt and did not receive its outcome may report not_run only after Abort
// returned true, regardless of what a later call returns. not_run applies only to the
// submission that receives it: after an abort the caller may send the same key
// with the same body again, and that new attempt may run.
//
// # Lost replies and late writes
//
// A commit whose reply is lost may have taken effect, may take effect later, or may
// never take effect. Every write states the row version that it expects, so it
// takes effect only if the row has not changed in the meantime. The operations
// handle a lost reply as follows:
//
//   - Claim reads the row again. A repeated or late write stores the same attempt.
//     If Claim fails and its write takes effect later, the row is claimed by an
//     attempt that was never sent, and any other attempt may take it over.
//   - Dispatch reads the row again. The row must contain the random dispatch
//     identifier of this call of Dispatch. If Dispatch fails and its write takes
//     effect later, the row stays in dispatched although no agent calls the
//     service. The outcome is then may_have_run, which is always a correct answer.
//     Retract undoes such a write.
//   - Abort returns true only after it has read the row in aborted or its own write
//     was confirmed. A pending write of Dispatch expects an older version and has
//     no effect.
//   - Finish stores the same result with a repeated or late write. A row in done
//     never changes again.
//   - Sweep deletes a row only if it still has the version that was read as expired,
//     even if the delete takes effect late.
//
// The protocol relies on two properties: a read returns every write that was
// confirmed before it, and the retention time is longer than the delay of any late
// write.
//
// # A table from an older copy
//
// A table that comes back from an older copy lacks confirmed writes. Each store remembers
// the rows that it has written in the last minutes. It detects a row that cannot follow
// such a write, acts on the lost row and writes it again. A process that has written
// nothing to a key, and comes before those that have, does not notice the loss.
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
	// DefaultRetention is the time for which a row is kept after its last change.
	DefaultRetention = 7 * 24 * time.Hour
	// MinRetention is the smallest retention time. It is far longer than the delay
	// of any late write.
	MinRetention = time.Hour
	// DefaultTries is the largest number of writes that one operation sends.
	DefaultTries = 4
	// DefaultRetryDelay is the mean delay before the second retry. The first retry
	// follows without a delay.
	DefaultRetryDelay = 50 * time.Millisecond
	// MaxRetryDelay limits the mean delay, which doubles with each retry.
	MaxRetryDelay = time.Second
	// MaxKeyBytes is the largest size of a key. A key consists of a service, a
	// method and the caller's idempotency key.
	MaxKeyBytes = 512
	// MaxResultBytes is the largest result that is stored. Encoded in JSON, a result
	// takes four thirds of its size, which fits into a row. Of a larger result only
	// the status is stored.
	MaxResultBytes = 512 << 10

	// keyPrefix is the prefix of the table keys of all claim rows.
	keyPrefix = "claim/"
	// dispatchIDBytes is the size of the random identifier of a dispatch.
	dispatchIDBytes = 16
)

// Table is the subset of the table service that the protocol uses.
type Table interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
}

// Key identifies a call that must run at most once.
type Key struct {
	Workspace      pwrequest.WorkspaceID
	IdempotencyKey string
}

// tableKey returns the key of the row in the table. It escapes both parts, so that
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
	// Retention is the time for which a row is kept after its last change. It is
	// at least MinRetention.
	Retention time.Duration
	// Tries is the largest number of writes that one operation sends.
	Tries int
	// RetryDelay is the mean delay before the second retry of an operation. It
	// doubles with each further retry, up to MaxRetryDelay.
	RetryDelay time.Duration
	// TakeoverAfter is the age at which another attempt may take over a row in
	// claimed. 0 allows it immediately.
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

// State is the state of a claim row. The package comment shows the transitions
// of one attempt.
type State string

// States of a claim row.
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
	// BodyHash is the hexadecimal hash of the request body. It is empty if the row
	// was aborted before any attempt claimed it.
	BodyHash string `json:"body_hash,omitempty"`
	// DispatchID identifies the call of Dispatch that moved the row to dispatched.
	DispatchID    string    `json:"dispatch_id,omitempty"`
	Status        int       `json:"status,omitempty"`
	Result        []byte    `json:"result,omitempty"`
	ResultOmitted bool      `json:"result_omitted,omitempty"`
	ChangedAt     time.Time `json:"changed_at"`
}

// Record is a read-only view of the claim row of a key.
type Record struct {
	row row
}

// State returns the state of the row.
func (r Record) State() State { return r.row.State }

// Attempt returns the id of the attempt that made the last change.
func (r Record) Attempt() pwrequest.AttemptID { return r.row.Attempt }

// Status returns the status that the service returned. It is set for a row in done.
func (r Record) Status() int { return r.row.Status }

// Result returns the stored result of a row in done. The caller must not modify it.
func (r Record) Result() []byte { return r.row.Result }

// ResultOmitted reports whether the result was not stored because it was larger
// than MaxResultBytes.
func (r Record) ResultOmitted() bool { return r.row.ResultOmitted }

// ChangedAt returns the time of the last change, taken from the writer's clock.
func (r Record) ChangedAt() time.Time { return r.row.ChangedAt }

// Verdict returns whether the call ran, according to the state of the row. For a
// row in claimed it returns MayHaveRun, because the agent may dispatch the call at any
// moment.
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

// OutcomeKind distinguishes the outcomes of Claim.
type OutcomeKind uint8

// Kinds of outcomes. The zero value does not permit the attempt to be sent.
const (
	// OutcomeInProgress means that another attempt holds the key.
	OutcomeInProgress OutcomeKind = iota
	// OutcomeGranted means that this attempt holds the key and may be sent.
	OutcomeGranted
	// OutcomeAlreadyDone means that the call has run and the record has its result.
	OutcomeAlreadyDone
)

// String returns the name of the kind in logs.
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

// Outcome is the result of a successful Claim.
type Outcome struct {
	kind   OutcomeKind
	record Record
}

// Kind returns whether the attempt may be sent, and if not, why.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Record returns the claim row on which the outcome is based.
func (o Outcome) Record() Record { return o.record }

// Store runs the claim protocol on a table. It is safe for concurrent use.
type Store struct {
	table       Table
	cfg         Config
	unconfirmed unconfirmedDispatches
	confirmed   confirmedRows
}

// New returns a store whose claim rows are in the given table.
func New(table Table, cfg Config) *Store {
	return &Store{
		table: table,
		cfg:   cfg.withDefaults(),
	}
}

// Claim requests the right to send an attempt. Only one entry may claim a given
// attempt, and it may send the attempt once, only after OutcomeGranted. All errors
// have the verdict NotRun, because the attempt is then not sent. Their causes include
// CauseKeyReused if the key was used with another body, CauseConflict if the
// attempt was aborted, and CauseUnavailable if the table service does not respond.
func (s *Store) Claim(ctx context.Context, k Key, bodyHash [32]byte, attempt pwrequest.AttemptID) (Outcome, error) {
	hash := hex.EncodeToString(bodyHash[:])
	wrote := false
	last, err := s.updateRow(ctx, k, func(cur row) (row, bool, error) {
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
		write := false
		switch {
		case cur.State == "":
			write = true
		case cur.State == StateAborted && cur.Attempt == attempt:
			// An entry may have reported not_run for this attempt.
			return cur, false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseConflict,
				"attempt %q was aborted and cannot be claimed again", attempt)
		case cur.State == StateAborted:
			write = true
		case cur.State == StateClaimed && cur.Attempt != attempt:
			// An attempt that lost the row to another one during this call does
			// not take it back. Two entries would otherwise take the row from each
			// other in turns.
			write = !wrote && time.Since(cur.ChangedAt) >= s.cfg.TakeoverAfter
		}
		wrote = wrote || write
		return next, write, nil
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

// Abort moves the row to aborted unless the call has been dispatched. It returns
// true only if the row is confirmed to be in aborted. The attempt then never runs,
// and the caller may report not_run. It returns false without an error if the row
// is in dispatched or done, or is claimed by another attempt.
func (s *Store) Abort(ctx context.Context, k Key, attempt pwrequest.AttemptID) (aborted bool, err error) {
	return s.abort(ctx, k, attempt, func(row) bool { return false })
}

// Lookup returns the record of a key, or an error with CauseNotFound if the key has
// no row. All errors have the verdict MayHaveRun, because a failed lookup gives no
// information about the call.
func (s *Store) Lookup(ctx context.Context, k Key) (Record, error) {
	if err := k.validate(); err != nil {
		return Record{}, err
	}
	cur, _, _, err := s.readRow(ctx, k)
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

// Dispatch moves the row to dispatched. It returns nil only if the table confirms
// that this call of Dispatch moved the row. The agent then calls the service once;
// after any error it must not call the service.
//
// If an agent is restarted after Dispatch and dispatches again, it gets an error
// with MayHaveRun. An error with NotRun means that this call of Dispatch has not
// moved the row and never will. After an error with MayHaveRun the write may still
// take effect; Retract undoes it.
func (s *Store) Dispatch(ctx context.Context, k Key, attempt pwrequest.AttemptID) error {
	id := newDispatchID()
	_, err := s.updateRow(ctx, k, func(cur row) (row, bool, error) {
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
		s.unconfirmed.add(dispatchKey{
			key:     k,
			attempt: attempt,
		}, id)
	}
	return err
}

// Finish stores the result of a dispatched call. After an error the caller retries
// it until its deadline; a retry with the same result succeeds. A row in done never
// changes. All errors have the verdict MayHaveRun, because the service has been
// called.
func (s *Store) Finish(ctx context.Context, k Key, attempt pwrequest.AttemptID, result []byte, status int) error {
	omitted := len(result) > MaxResultBytes
	if omitted {
		result = nil
	}
	_, err := s.updateRow(ctx, k, func(cur row) (row, bool, error) {
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

// decideFunc examines the current row. It returns the next row and whether to write
// it, or an error that ends the operation.
type decideFunc func(cur row) (next row, write bool, err error)

// updateRow reads the row, passes it to decide and writes the row that decide
// returns. It returns the row after a confirmed write, or the row that was read if
// decide does not write. After a conflict or a lost reply it starts again with the
// read. The error has the verdict MayHaveRun if a write was sent whose outcome is
// not known.
func (s *Store) updateRow(ctx context.Context, k Key, decide decideFunc) (row, error) {
	if err := k.validate(); err != nil {
		return row{}, err
	}
	var lastErr error
	verdict := pwverdict.NotRun
	for try := 0; ; try++ {
		if try > 1 {
			if err := s.waitBackoff(ctx, try-1); err != nil {
				lastErr = err
				break
			}
		}
		cur, version, lost, err := s.readRow(ctx, k)
		if err != nil {
			lastErr = err
		} else {
			next, write, err := decide(cur)
			if err != nil || !write {
				if lost {
					// Other processes don't know of the lost row. If this write fails, the
					// next operation of this store on the key repeats it.
					_, _ = s.writeRow(ctx, k, cur, version)
				}
				return cur, err
			}
			if try == s.cfg.Tries {
				break
			}
			var confirmed bool
			confirmed, err = s.writeRow(ctx, k, next, version)
			if confirmed {
				return next, nil
			}
			if pwverdict.VerdictOf(err) != pwverdict.NotRun {
				verdict = pwverdict.MayHaveRun
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
	return row{}, pwverdict.Wrap(lastErr, verdict, cause, "claim row of key %q could not be changed", k.IdempotencyKey)
}

// readRow returns the row of a key and its version in the table. If the table has lost a row
// that this store has written, lost is set, and the row that the key must have is returned.
func (s *Store) readRow(ctx context.Context, k Key) (cur row, version uint64, lost bool, err error) {
	stored, err := s.table.Get(ctx, k.tableKey())
	switch {
	case err == nil:
		if cur, err = decodeRow(stored.Value); err != nil {
			return row{}, 0, false, err
		}
	case pwverdict.CauseOf(err) != pwverdict.CauseNotFound:
		return row{}, 0, false, err
	}
	if written, ok := s.confirmed.get(k.tableKey()); ok {
		if restored, lost := restoredRow(written, cur); lost {
			return restored, stored.Version, true, nil
		}
	}
	return cur, stored.Version, false, nil
}

func (s *Store) writeRow(ctx context.Context, k Key, next row, expectedVersion uint64) (confirmed bool, err error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseInternal, "claim row could not be encoded")
	}
	if _, err = s.table.Commit(ctx, pwtable.Write{
		Key:             k.tableKey(),
		Value:           value,
		ExpectedVersion: expectedVersion,
	}); err != nil {
		return false, err
	}
	s.confirmed.put(k.tableKey(), next)
	return true, nil
}

// waitBackoff waits for the jittered delay before retry n+1. The delay doubles with
// each n, starting at 1.
func (s *Store) waitBackoff(ctx context.Context, n int) error {
	d := min(s.cfg.RetryDelay<<min(n-1, 10), MaxRetryDelay)
	d = d/2 + mathrand.N(d)
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// errCorrupt is wrapped in the errors about a row that cannot be decoded.
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
	_, _ = rand.Read(b[:]) // documented to never return an error
	return hex.EncodeToString(b[:])
}

// withVerdict returns err with verdict v and the same cause.
func withVerdict(err error, v pwverdict.Verdict) error {
	if pwverdict.VerdictOf(err) == v {
		return err
	}
	return pwverdict.Wrap(err, v, pwverdict.CauseOf(err), "claim operation failed")
}
