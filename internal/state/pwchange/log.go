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

// Rows of the log in the table.
const (
	headRow   = "change/head"
	keyPrefix = "change/key/"
	logPrefix = "change/log/"
)

// Bounds of the work of one call.
const (
	// applyTries bounds the commits of one Apply. Other keys' changes move
	// the head row too, so a lost race on it alone is tried again.
	applyTries = 10
	// applyBackoff is the mean wait after a lost race, doubled each time.
	applyBackoff = 5 * time.Millisecond
	// recentProposals is the number of proposals that a key row remembers. A
	// repetition that comes later is answered with a conflict; it is never
	// applied, because its expected version is no longer current.
	recentProposals = 16
	// MaxPage is the largest number of rows in one read of the log.
	MaxPage = 64
	// MaxHistory is the largest number of changes that History returns.
	MaxHistory = 100
)

// Table is the part of the table service that the log needs.
type Table interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error)
}

// Log is the change log in the table.
type Log struct {
	table Table
}

// NewLog returns the log in a table.
func NewLog(t Table) *Log {
	return &Log{
		table: t,
	}
}

// Proposal is a change that somebody asks for.
type Proposal struct {
	Key string
	// Value is the document or mark; empty deletes the key.
	Value json.RawMessage
	// ExpectedSequence is the sequence number of the key's change that the author last
	// read; 0 means that the key must not exist yet.
	ExpectedSequence uint64
	Author           Author
	// ProposalID identifies the proposal; a repetition has the same one.
	ProposalID string
	// IsRetry is set by a caller that had an unknown outcome before. The error
	// then says NotRun only after the key's row has been read, because the
	// earlier call may have taken effect.
	IsRetry bool
}

// ConflictError tells that the key changed since the author read it. It is
// wrapped in an error with CauseConflict and NotRun.
type ConflictError struct {
	// NewestChange is the newest change of the key.
	NewestChange Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at sequence %d by %s", e.NewestChange.Key, e.NewestChange.Sequence, e.NewestChange.Author.Name)
}

// Head is the content of the head row.
type Head struct {
	Sequence uint64 `json:"sequence"`
	// Hash is the digest hash of a replica that holds everything.
	Hash       uint64 `json:"hash"`
	KeyCount   int    `json:"keys"`
	ValueBytes int    `json:"bytes"`
}

// Digest returns the digest of a replica that lacks nothing.
func (h Head) Digest() Digest {
	return Digest{
		Head: h.Sequence,
		Hash: h.Hash,
	}
}

// keyState is the content of a key row.
type keyState struct {
	Sequence uint64           `json:"sequence"`
	Recent   []recentProposal `json:"recent"`
}

type recentProposal struct {
	ID       string `json:"id"`
	Sequence uint64 `json:"sequence"`
}

// Apply writes a change in one transaction and returns it with its sequence
// number.
//
// The author's version must still be current, else the error has
// CauseConflict and wraps a ConflictError. A service document may be changed
// only by the team that owns it. After an error with MayHaveRun the same
// proposal can be applied again: it gets the sequence number of the first
// time and is not applied twice.
func (l *Log) Apply(ctx context.Context, p Proposal) (Change, error) {
	if err := p.validate(); err != nil {
		return Change{}, err
	}
	var compact bytes.Buffer
	if len(p.Value) > 0 {
		if err := json.Compact(&compact, p.Value); err != nil {
			return Change{}, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "value is not JSON")
		}
	}
	p.Value = compact.Bytes()
	// Once a reply was lost, only a read that finds the proposal, or a later
	// commit, can tell the outcome.
	verdict := lo.Ternary(p.IsRetry, pwverdict.MayHaveRun, pwverdict.NotRun)
	for try := range applyTries {
		if err := wait(ctx, try); err != nil {
			return Change{}, pwverdict.Wrap(err, verdict, pwverdict.CauseUnavailable, "change was not confirmed in time")
		}
		c, err := l.applyOnce(ctx, p)
		switch {
		case err == nil:
			return c, nil
		case pwverdict.CauseOf(err) == pwverdict.CauseConflict && !isFinal(err):
			// Another change was first. A lost commit fails for the same
			// reason, so it does no harm.
		case pwverdict.VerdictOf(err) == pwverdict.MayHaveRun:
			verdict = pwverdict.MayHaveRun
		case verdict == pwverdict.MayHaveRun && !isFinal(err):
			return Change{}, pwverdict.Wrap(err, verdict, pwverdict.CauseUnavailable, "outcome is unknown; apply the same proposal again")
		default:
			return Change{}, err
		}
	}
	return Change{}, pwverdict.New(verdict, pwverdict.CauseUnavailable,
		"change was not applied in %d tries; apply the same proposal again", applyTries)
}

// isFinal reports whether err refuses the proposal itself.
func isFinal(err error) bool {
	var c *ConflictError
	return errors.As(err, &c) || pwverdict.CauseOf(err) == CauseNotOwner || pwverdict.CauseOf(err) == CauseLogFull
}

func wait(ctx context.Context, try int) error {
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

func (l *Log) applyOnce(ctx context.Context, p Proposal) (Change, error) {
	// The head is read before the key, so that a key row that is newer than
	// the head makes the commit fail.
	var head Head
	headVersion, err := l.read(ctx, headRow, &head)
	if err != nil {
		return Change{}, err
	}
	var state keyState
	keyVersion, err := l.read(ctx, keyPrefix+p.Key, &state)
	if err != nil {
		return Change{}, err
	}
	if done, ok := lo.Find(state.Recent, func(r recentProposal) bool { return r.ID == p.ProposalID }); ok {
		c, err := l.change(ctx, done.Sequence)
		if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
			// Trim removed the row; the number is all that is left.
			return Change{
				Sequence:   done.Sequence,
				Key:        p.Key,
				ProposalID: p.ProposalID,
			}, nil
		}
		return c, err
	}
	var current Change
	if state.Sequence > 0 {
		if current, err = l.change(ctx, state.Sequence); err != nil {
			return Change{}, err
		}
	}
	if err := p.checkOwner(current); err != nil {
		return Change{}, err
	}
	if state.Sequence != p.ExpectedSequence {
		return Change{}, pwverdict.Wrap(&ConflictError{NewestChange: current}, pwverdict.NotRun, pwverdict.CauseConflict,
			"proposal expects sequence %d of %s", p.ExpectedSequence, p.Key)
	}
	c := Change{
		Sequence:         head.Sequence + 1,
		Key:              p.Key,
		Value:            p.Value,
		AcceptedUnixMS:   time.Now().UnixMilli(),
		PreviousSequence: state.Sequence,
		Author:           p.Author,
		ProposalID:       p.ProposalID,
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
	state.Recent = state.Recent[max(0, len(state.Recent)-recentProposals):]
	_, err = l.table.Commit(ctx,
		pwtable.Write{
			Key:             headRow,
			Value:           encode(head),
			ExpectedVersion: headVersion,
		},
		pwtable.Write{
			Key:             keyPrefix + p.Key,
			Value:           encode(state),
			ExpectedVersion: keyVersion,
		},
		pwtable.Write{
			Key:   logKey(c.Sequence),
			Value: encode(c),
		})
	return c, err
}

// validate checks the proposal without reading anything.
func (p Proposal) validate() error {
	bad := func(field, found, allowed string) error {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: found %s; allowed: %s", field, found, allowed)
	}
	if !ValidKey(p.Key) {
		return bad("key", fmt.Sprintf("%.80q", p.Key), "service/<name>, mark/data_centre/<name> or mark/backend_server/<name>")
	}
	for field, v := range map[string]string{"author.name": p.Author.Name, "author.team": p.Author.Team, "proposal_id": p.ProposalID} {
		if v == "" || len(v) > MaxNameBytes {
			return bad(field, fmt.Sprintf("%d bytes", len(v)), fmt.Sprintf("1 to %d bytes", MaxNameBytes))
		}
	}
	if limit := MaxValueBytes(p.Key); len(p.Value) > limit {
		return bad("value", fmt.Sprintf("%d bytes", len(p.Value)), fmt.Sprintf("at most %d bytes", limit))
	}
	if len(p.Value) == 0 {
		if p.ExpectedSequence == 0 {
			return bad("expect", "0", "the sequence of the change to delete")
		}
		return nil
	}
	if strings.HasPrefix(p.Key, pwdocument.KeyPrefix) {
		doc, err := pwdocument.Parse(p.Value)
		if err != nil {
			return err
		}
		if doc.Key() != p.Key {
			return bad("value.name", fmt.Sprintf("%q", doc.Name), "the name in the key "+p.Key)
		}
		return nil
	}
	if _, _, _, ok := ParseMark(Change{Key: p.Key, Value: p.Value}); !ok {
		return bad("value", "something else", "a mark")
	}
	return nil
}

// checkOwner lets only the owning team change a document. The owner of a new
// document must be the author's team; an owner may hand a document over.
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

// SetMark takes a target out of service or brings it back. It reads the
// current mark first, so two operators who set the same mark at the same time
// get one change and one conflict. A mark that already says the same is left
// as it is and returned.
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
	p.Value = encode(m)
	return l.Apply(ctx, p)
}

// NewestChange returns the newest change of a key, or an error with CauseNotFound.
func (l *Log) NewestChange(ctx context.Context, key string) (Change, error) {
	var state keyState
	if _, err := l.read(ctx, keyPrefix+key, &state); err != nil {
		return Change{}, err
	}
	if state.Sequence == 0 {
		return Change{}, pwverdict.New(pwverdict.Ran, pwverdict.CauseNotFound, "%s has no change", key)
	}
	return l.change(ctx, state.Sequence)
}

// History returns up to limit changes of a key, newest first.
func (l *Log) History(ctx context.Context, key string, limit int) ([]Change, error) {
	c, err := l.NewestChange(ctx, key)
	if err != nil {
		return nil, err
	}
	out := []Change{c}
	for c.PreviousSequence > 0 && len(out) < min(limit, MaxHistory) {
		c, err = l.change(ctx, c.PreviousSequence)
		if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
			break // Trim removed the older ones.
		}
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// Head returns the head row; it is zero before the first change.
func (l *Log) Head(ctx context.Context) (Head, error) {
	var h Head
	_, err := l.read(ctx, headRow, &h)
	return h, err
}

// ChangesSince returns up to MaxPage changes with a sequence number above floor, in
// order. It is one read.
func (l *Log) ChangesSince(ctx context.Context, floor uint64) ([]Change, error) {
	rows, err := l.table.List(ctx, logPrefix, logKey(floor), MaxPage)
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

// KeySequence is the newest sequence number of a key.
type KeySequence struct {
	Key      string
	Sequence uint64
}

// Keys returns up to MaxPage keys after the given one with their newest
// sequence numbers, in the order of the keys. It is one read.
func (l *Log) Keys(ctx context.Context, after string) ([]KeySequence, error) {
	rows, err := l.table.List(ctx, keyPrefix, keyPrefix+after, MaxPage)
	if err != nil {
		return nil, err
	}
	out := make([]KeySequence, 0, len(rows))
	for _, row := range rows {
		var s keyState
		if err := json.Unmarshal(row.Value, &s); err != nil {
			return nil, badRow(row.Key, err)
		}
		out = append(out, KeySequence{
			Key:      strings.TrimPrefix(row.Key, keyPrefix),
			Sequence: s.Sequence,
		})
	}
	return out, nil
}

// Change returns the change with a sequence number.
func (l *Log) Change(ctx context.Context, sequence uint64) (Change, error) {
	return l.change(ctx, sequence)
}

func (l *Log) change(ctx context.Context, sequence uint64) (Change, error) {
	row, err := l.table.Get(ctx, logKey(sequence))
	if err != nil {
		return Change{}, err
	}
	return decodeChange(row)
}

// Trim deletes up to MaxPage log rows that are older than keep and are no
// longer the newest of their key, starting after the given sequence number.
// It returns where to go on, or 0 at the end.
func (l *Log) Trim(ctx context.Context, after uint64, keep time.Duration) (next uint64, err error) {
	rows, err := l.table.List(ctx, logPrefix, logKey(after), MaxPage)
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	for _, row := range rows {
		c, err := decodeChange(row)
		if err != nil {
			return 0, err
		}
		if time.Since(c.AcceptedAt()) < keep {
			return 0, nil
		}
		next = c.Sequence
		var s keyState
		if _, err := l.read(ctx, keyPrefix+c.Key, &s); err != nil {
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

// read decodes a row into out and returns its version. A row that does not
// exist leaves out unchanged and has version 0.
func (l *Log) read(ctx context.Context, key string, out any) (uint64, error) {
	row, err := l.table.Get(ctx, key)
	if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return 0, badRow(key, err)
	}
	return row.Version, nil
}

func decodeChange(row pwtable.Row) (Change, error) {
	var c Change
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Change{}, badRow(row.Key, err)
	}
	return c, nil
}

func badRow(key string, err error) error {
	return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseInternal, "row %q cannot be read", key)
}

// logKey pads the number, so that the order of the keys is that of the
// sequence numbers.
func logKey(sequence uint64) string { return fmt.Sprintf("%s%020d", logPrefix, sequence) }

// encode marshals a value of this package, which cannot fail.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
