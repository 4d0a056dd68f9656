package pwchange

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// Keys and key prefixes of the log's rows in the table.
const (
	headRow      = "change/head"
	keyRowPrefix = "change/key/"
	logRowPrefix = "change/log/"
)

// Limits of the work that one call does.
const (
	// maxApplyTries limits the commits that one Apply attempts. Changes of other
	// keys update the head row too, so a commit that only conflicts on the head
	// row is retried.
	maxApplyTries = 10
	// applyBackoff is the mean delay before the first retry; it doubles with each
	// further retry.
	applyBackoff = 5 * time.Millisecond
	// maxRecentProposals is the number of proposals that a key row records. A
	// retry of an older proposal fails with a conflict. It is never applied a
	// second time, because the key has changed since the version it expects.
	maxRecentProposals = 16
	// MaxPage is the largest number of rows in one read of the log.
	MaxPage = 64
	// MaxHistory is the largest number of changes that History returns per call.
	MaxHistory = 100
)

// Table is the subset of the table service that Log uses.
type Table interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error)
}

// Log reads and writes the change log in the table.
type Log struct {
	table Table
	// knownSequence returns the largest sequence number that this process has seen.
	knownSequence func() uint64
}

// NewLog returns the change log that is stored in table t.
func NewLog(t Table) *Log {
	return &Log{
		table:         t,
		knownSequence: func() uint64 { return 0 },
	}
}

// WithKnownSequence returns the same log, which gives new changes sequence numbers above
// those that known returns. The table may have come back from an older copy and lack
// changes that processes know.
func (l *Log) WithKnownSequence(known func() uint64) *Log {
	return &Log{
		table:         l.table,
		knownSequence: known,
	}
}

// Proposal is a requested change, which Apply accepts or rejects.
type Proposal struct {
	Key string
	// Value is the document or mark. An empty value deletes the key.
	Value json.RawMessage
	// ExpectedSequence is the sequence number of the key's change that the author
	// last read. 0 means that the key must not exist yet.
	ExpectedSequence uint64
	Author           Author
	// ProposalID identifies the proposal. A retry has the same id.
	ProposalID string
	// IsRetry must be set when an earlier call with this proposal had an unknown
	// outcome. Because that call may have taken effect, Apply then returns an
	// error with NotRun only after it has read the key's row.
	IsRetry bool
	// lost is the change that Repair writes again, or nil. known is its argument.
	lost  *Change
	known uint64
}

// ConflictError reports that the key has changed since the author read it. It is
// wrapped in an error with CauseConflict and NotRun.
type ConflictError struct {
	// NewestChange is the newest change of the key.
	NewestChange Change
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s has changed: its newest sequence number is %d, by %s", e.NewestChange.Key, e.NewestChange.Sequence, e.NewestChange.Author.Name)
}

// Head is the content of the head row.
type Head struct {
	// Sequence is the sequence number of the newest change.
	Sequence uint64 `json:"sequence"`
	// Hash is the digest hash of a complete replica.
	Hash     uint64 `json:"hash"`
	KeyCount int    `json:"keys"`
	// ValueBytes is the total size of the values of all newest changes.
	ValueBytes int `json:"bytes"`
}

// Digest returns the digest of a complete replica.
func (h Head) Digest() Digest {
	return Digest{
		Head: h.Sequence,
		Hash: h.Hash,
	}
}

// keyState is the content of a key row.
type keyState struct {
	// Sequence is the sequence number of the key's newest change.
	Sequence uint64 `json:"sequence"`
	// Recent lists the last maxRecentProposals applied proposals, oldest first.
	Recent []recentProposal `json:"recent"`
}

// recentProposal identifies an applied proposal of a key and its change.
type recentProposal struct {
	ID       string `json:"id"`
	Sequence uint64 `json:"sequence"`
}

// Apply writes a change in one transaction and returns it with its sequence
// number.
//
// The key's newest change must have the proposal's ExpectedSequence; otherwise
// the error has CauseConflict and wraps a ConflictError. Only the team that owns a
// service document may change it. After an error with MayHaveRun the caller can
// apply the same proposal again (see IsRetry): a proposal that has already taken
// effect is not applied a second time, and Apply returns the change with its
// original sequence number.
func (l *Log) Apply(ctx context.Context, p Proposal) (Change, error) {
	if err := p.validate(); err != nil {
		return Change{}, err
	}
	return l.apply(ctx, p)
}

// Repair writes a change again that the table lost when it came back from an older copy,
// with a new sequence number greater than known. If the table holds a newer change of the
// key, Repair changes nothing and returns that one.
func (l *Log) Repair(ctx context.Context, lost Change, known uint64) (Change, error) {
	id := lost.ProposalID
	if id == "" {
		// Changes that peers have sent lack the identifier.
		id = fmt.Sprintf("repair-%d", lost.Sequence)
	}
	return l.apply(ctx, Proposal{
		Key:        lost.Key,
		Value:      lost.Value,
		Author:     lost.Author,
		ProposalID: id,
		lost:       &lost,
		known:      known,
	})
}

// apply commits a proposal and retries commits that fail because of other changes.
func (l *Log) apply(ctx context.Context, p Proposal) (Change, error) {
	var compact bytes.Buffer
	if len(p.Value) > 0 {
		if err := json.Compact(&compact, p.Value); err != nil {
			return Change{}, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "value is not valid JSON")
		}
	}
	p.Value = compact.Bytes()
	// After a lost reply, only a read that finds the proposal in the key row, or a
	// later commit, reveals the outcome.
	verdict := lo.Ternary(p.IsRetry, pwverdict.MayHaveRun, pwverdict.NotRun)
	for try := range maxApplyTries {
		if err := waitBackoff(ctx, try); err != nil {
			return Change{}, pwverdict.Wrap(err, verdict, pwverdict.CauseUnavailable, "change was not confirmed in time")
		}
		c, err := l.applyOnce(ctx, p)
		switch {
		case err == nil:
			return c, nil
		case pwverdict.CauseOf(err) == pwverdict.CauseConflict && !isRejection(err):
			// Another change was committed first, so the commit is retried. An
			// earlier commit whose reply was lost expects the same outdated
			// versions: if it arrives later, it fails with a conflict as well.
		case pwverdict.VerdictOf(err) == pwverdict.MayHaveRun:
			verdict = pwverdict.MayHaveRun
		case verdict == pwverdict.MayHaveRun && !isRejection(err):
			return Change{}, pwverdict.Wrap(err, verdict, pwverdict.CauseUnavailable, "outcome is unknown; apply the same proposal again")
		default:
			return Change{}, err
		}
	}
	return Change{}, pwverdict.New(verdict, pwverdict.CauseUnavailable,
		"change was not applied in %d tries; apply the same proposal again", maxApplyTries)
}

// isRejection reports whether err rejects the proposal itself, so that a retry
// cannot succeed.
func isRejection(err error) bool {
	var c *ConflictError
	return errors.As(err, &c) || pwverdict.CauseOf(err) == CauseNotOwner || pwverdict.CauseOf(err) == CauseLogFull
}

// waitBackoff waits before the given try: not at all before the first one (0), and
// a jittered delay that doubles with each further one.
func waitBackoff(ctx context.Context, try int) error {
	if try == 0 {
		return ctx.Err()
	}
	mean := applyBackoff << (try - 1)
	select {
	case <-time.After(mean/2 + rand.N(mean)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// applyOnce reads the rows that the proposal depends on and attempts one commit.
func (l *Log) applyOnce(ctx context.Context, p Proposal) (Change, error) {
	// The head row is read before the key row. If the key changes between the two
	// reads, the head changes with it and the commit fails on the head's version.
	var head Head
	headVersion, err := l.readRow(ctx, headRow, &head)
	if err != nil {
		return Change{}, err
	}
	var state keyState
	keyVersion, err := l.readRow(ctx, keyRowPrefix+p.Key, &state)
	if err != nil {
		return Change{}, err
	}
	if p.lost != nil {
		if state.Sequence >= p.lost.Sequence {
			return l.readChange(ctx, state.Sequence)
		}
		p.ExpectedSequence = state.Sequence
	}
	if applied, ok := lo.Find(state.Recent, func(r recentProposal) bool { return r.ID == p.ProposalID }); ok {
		c, err := l.readChange(ctx, applied.Sequence)
		if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
			// Trim has deleted the change; only its sequence number is left.
			return Change{
				Sequence:   applied.Sequence,
				Key:        p.Key,
				ProposalID: p.ProposalID,
			}, nil
		}
		return c, err
	}
	var current Change
	if state.Sequence > 0 {
		if current, err = l.readChange(ctx, state.Sequence); err != nil {
			return Change{}, err
		}
	}
	if p.lost == nil {
		if err := p.checkOwner(current); err != nil {
			return Change{}, err
		}
	}
	if state.Sequence != p.ExpectedSequence {
		return Change{}, pwverdict.Wrap(&ConflictError{NewestChange: current}, pwverdict.NotRun, pwverdict.CauseConflict,
			"proposal expects sequence number %d of %s", p.ExpectedSequence, p.Key)
	}
	c := Change{
		Sequence:         max(head.Sequence, l.knownSequence(), p.known) + 1,
		Key:              p.Key,
		Value:            p.Value,
		AcceptedUnixMS:   time.Now().UnixMilli(),
		PreviousSequence: state.Sequence,
		Author:           p.Author,
		ProposalID:       p.ProposalID,
	}
	if p.lost != nil {
		c.AcceptedUnixMS = p.lost.AcceptedUnixMS
	}
	head.Sequence = c.Sequence
	head.Hash += entryHash(c.Key, c.Sequence) - entryHash(c.Key, state.Sequence)
	head.KeyCount += lo.Ternary(state.Sequence == 0, 1, 0)
	head.ValueBytes += len(c.Value) - len(current.Value)
	if head.KeyCount > MaxKeys || head.ValueBytes > MaxTotalBytes {
		return Change{}, pwverdict.New(pwverdict.NotRun, CauseLogFull, "log would hold %d keys and %d bytes; allowed: %d and %d",
			head.KeyCount, head.ValueBytes, MaxKeys, MaxTotalBytes)
	}
	state.Sequence = c.Sequence
	state.Recent = append(state.Recent, recentProposal{
		ID:       p.ProposalID,
		Sequence: c.Sequence,
	})
	state.Recent = state.Recent[max(0, len(state.Recent)-maxRecentProposals):]
	_, err = l.table.Commit(ctx,
		pwtable.Write{
			Key:             headRow,
			Value:           mustEncode(head),
			ExpectedVersion: headVersion,
		},
		pwtable.Write{
			Key:             keyRowPrefix + p.Key,
			Value:           mustEncode(state),
			ExpectedVersion: keyVersion,
		},
		pwtable.Write{
			Key:   logRowKey(c.Sequence),
			Value: mustEncode(c),
		})
	return c, err
}

// validate checks everything about the proposal that doesn't depend on the table.
func (p Proposal) validate() error {
	badField := func(field, found, allowed string) error {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: found %s; allowed: %s", field, found, allowed)
	}
	if !ValidKey(p.Key) {
		return badField("key", fmt.Sprintf("%.80q", p.Key), "service/<name>, mark/data_centre/<name> or mark/backend_server/<name>")
	}
	for field, v := range map[string]string{"author.name": p.Author.Name, "author.team": p.Author.Team, "proposal_id": p.ProposalID} {
		if v == "" || len(v) > MaxNameBytes {
			return badField(field, fmt.Sprintf("%d bytes", len(v)), fmt.Sprintf("1 to %d bytes", MaxNameBytes))
		}
	}
	if limit := MaxValueBytes(p.Key); len(p.Value) > limit {
		return badField("value", fmt.Sprintf("%d bytes", len(p.Value)), fmt.Sprintf("at most %d bytes", limit))
	}
	if len(p.Value) == 0 {
		if p.ExpectedSequence == 0 {
			return badField("expect", "0", "the sequence number of the change to delete")
		}
		return nil
	}
	if strings.HasPrefix(p.Key, pwdocument.KeyPrefix) {
		doc, err := pwdocument.Parse(p.Value)
		if err != nil {
			return err
		}
		if doc.Key() != p.Key {
			return badField("value.name", fmt.Sprintf("%q", doc.Name), "the name in the key "+p.Key)
		}
		return nil
	}
	if _, _, _, ok := ParseMark(Change{Key: p.Key, Value: p.Value}); !ok {
		return badField("value", fmt.Sprintf("%.80q", p.Value), "a mark")
	}
	return nil
}

// checkOwner rejects a change to a document by a team that does not own it. A new
// document must name the author's team as its owner. The owner may transfer a
// document to another team.
func (p Proposal) checkOwner(current Change) error {
	if !strings.HasPrefix(p.Key, pwdocument.KeyPrefix) {
		return nil
	}
	owner := ownerOf(current.Value)
	if owner == "" {
		owner = ownerOf(p.Value)
	}
	if owner != p.Author.Team {
		return pwverdict.New(pwverdict.NotRun, CauseNotOwner, "%s is owned by team %q; author %q is in team %q",
			p.Key, owner, p.Author.Name, p.Author.Team)
	}
	return nil
}

func ownerOf(document json.RawMessage) string {
	var d struct {
		Owner string `json:"owner"`
	}
	_ = json.Unmarshal(document, &d)
	return d.Owner
}

// SetMark takes a target out of service or brings it back. It reads the current
// mark first, so when two operators set the same mark at the same time, one gets
// the change and the other a conflict. If the current mark has the same
// OutOfService value, SetMark writes nothing and returns the existing change.
func (l *Log) SetMark(ctx context.Context, t TargetKind, name string, m Mark, proposalID string) (Change, error) {
	p := Proposal{
		Key:        MarkKey(t, name),
		Author:     m.Author,
		ProposalID: proposalID,
	}
	current, err := l.NewestChange(ctx, p.Key)
	if err != nil && pwverdict.CauseOf(err) != pwverdict.CauseNotFound {
		return Change{}, err
	}
	if err == nil {
		p.ExpectedSequence = current.Sequence
		if _, _, old, ok := ParseMark(current); ok && old.OutOfService == m.OutOfService && !current.Deleted() {
			return current, nil
		}
	}
	if m.MarkedUnixMS == 0 {
		m.MarkedUnixMS = time.Now().UnixMilli()
	}
	p.Value = mustEncode(m)
	return l.Apply(ctx, p)
}

// NewestChange returns the newest change of a key, or an error with CauseNotFound.
func (l *Log) NewestChange(ctx context.Context, key string) (Change, error) {
	var state keyState
	if _, err := l.readRow(ctx, keyRowPrefix+key, &state); err != nil {
		return Change{}, err
	}
	if state.Sequence == 0 {
		return Change{}, pwverdict.New(pwverdict.Ran, pwverdict.CauseNotFound, "%s has no change", key)
	}
	return l.readChange(ctx, state.Sequence)
}

// History returns up to limit changes of a key, newest first, but at most
// MaxHistory and only those that Trim has not deleted.
func (l *Log) History(ctx context.Context, key string, limit int) ([]Change, error) {
	c, err := l.NewestChange(ctx, key)
	if err != nil {
		return nil, err
	}
	out := []Change{c}
	for c.PreviousSequence > 0 && len(out) < min(limit, MaxHistory) {
		c, err = l.readChange(ctx, c.PreviousSequence)
		if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
			break // Trim has deleted the older changes.
		}
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// Head reads the head row. It returns the zero Head before the first change.
func (l *Log) Head(ctx context.Context) (Head, error) {
	var h Head
	_, err := l.readRow(ctx, headRow, &h)
	return h, err
}

// ChangesSince returns up to MaxPage changes whose sequence numbers are greater than
// floor, in ascending order. It makes one read request.
func (l *Log) ChangesSince(ctx context.Context, floor uint64) ([]Change, error) {
	rows, err := l.table.List(ctx, logRowPrefix, logRowKey(floor), MaxPage)
	if err != nil {
		return nil, err
	}
	out := make([]Change, 0, len(rows))
	for _, row := range rows {
		c, err := decodeChange(row)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// KeySequence pairs a key with the sequence number of its newest change.
type KeySequence struct {
	Key      string
	Sequence uint64
}

// Keys returns up to MaxPage keys that sort after the given one, in sorted order,
// each with its newest sequence number. It makes one read request.
func (l *Log) Keys(ctx context.Context, after string) ([]KeySequence, error) {
	rows, err := l.table.List(ctx, keyRowPrefix, keyRowPrefix+after, MaxPage)
	if err != nil {
		return nil, err
	}
	out := make([]KeySequence, 0, len(rows))
	for _, row := range rows {
		var s keyState
		if err := json.Unmarshal(row.Value, &s); err != nil {
			return nil, corruptRowError(row.Key, err)
		}
		out = append(out, KeySequence{
			Key:      strings.TrimPrefix(row.Key, keyRowPrefix),
			Sequence: s.Sequence,
		})
	}
	return out, nil
}

// Change returns the change with the given sequence number, or an error with
// CauseNotFound if there is none or Trim has deleted it.
func (l *Log) Change(ctx context.Context, sequence uint64) (Change, error) {
	return l.readChange(ctx, sequence)
}

func (l *Log) readChange(ctx context.Context, sequence uint64) (Change, error) {
	row, err := l.table.Get(ctx, logRowKey(sequence))
	if err != nil {
		return Change{}, err
	}
	return decodeChange(row)
}

// Trim examines up to MaxPage log rows after the given sequence number and deletes
// those that are older than retention and superseded by a newer change of their
// key. It returns the sequence number after which the next call continues, or 0
// when there is nothing more to trim.
func (l *Log) Trim(ctx context.Context, after uint64, retention time.Duration) (next uint64, err error) {
	rows, err := l.table.List(ctx, logRowPrefix, logRowKey(after), MaxPage)
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	for _, row := range rows {
		c, err := decodeChange(row)
		if err != nil {
			return 0, err
		}
		if time.Since(c.AcceptedAt()) < retention {
			return 0, nil
		}
		next = c.Sequence
		var s keyState
		if _, err := l.readRow(ctx, keyRowPrefix+c.Key, &s); err != nil {
			return 0, err
		}
		if s.Sequence <= c.Sequence {
			continue
		}
		if _, err := l.table.Commit(ctx, pwtable.Write{
			Key:             row.Key,
			ExpectedVersion: row.Version,
			Delete:          true,
		}); err != nil && pwverdict.CauseOf(err) != pwverdict.CauseConflict {
			return 0, err
		}
	}
	return next, nil
}

// readRow decodes a row into out and returns the row's version. If the row does
// not exist, it leaves out unchanged and returns version 0.
func (l *Log) readRow(ctx context.Context, key string, out any) (uint64, error) {
	row, err := l.table.Get(ctx, key)
	if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return 0, corruptRowError(key, err)
	}
	return row.Version, nil
}

func decodeChange(row pwtable.Row) (Change, error) {
	var c Change
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Change{}, corruptRowError(row.Key, err)
	}
	return c, nil
}

func corruptRowError(key string, err error) error {
	return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseInternal, "row %q cannot be decoded", key)
}

// logRowKey returns the key of a log row. The sequence number is zero-padded, so
// that rows sort by sequence number.
func logRowKey(sequence uint64) string { return fmt.Sprintf("%s%020d", logRowPrefix, sequence) }

// mustEncode marshals a value to JSON. It panics on an error, which cannot occur
// for the types of this package.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
