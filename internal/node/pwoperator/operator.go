// Package pwoperator is the operators' HTTP interface of an entry: documents,
// marks of data centres and backend servers, requests and status.
//
// # Usage
//
//	api := pwentry.NewAPI(entry)
//	pwoperator.Register(api.Huma(), pwoperator.Deps{
//		Operators: pwsecurity.NewOperators(settings.Operators),
//		Changes:   pwchange.NewLog(table),
//		Copy:      gossip,
//		Reach:     reach,
//		Fleet:     entry,
//		Requests:  entry,
//		Observer:  observer,
//	})
//
// # Who may do what
//
// Every operation needs an operator's credential as Authorization: Bearer.
// Every operator may look at everything and may take data centres and backend
// servers out of service and bring them back, because the person on duty has
// to. Only the team that owns a service may change its document or cancel its
// requests.
//
// # Repetition
//
// A change carries a proposal identifier. After a lost reply the same change
// is sent again with the same identifier and repeat set; it takes effect at
// most once, and the answer is that of the first time.
package pwoperator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwproblem"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwschema"
)

// PathPrefix starts the paths of all operations.
const PathPrefix = "/v1/operator"

const (
	// operationTimeout bounds one operation, most of which is waiting for the
	// table service.
	operationTimeout = 10 * time.Second
	// maxDiffLines bounds the lines of a difference in an answer.
	maxDiffLines = 200
)

// Authenticator recognises operators.
type Authenticator interface {
	// Authenticate takes the value of an Authorization header.
	Authenticate(authorization string) (pwchange.Author, bool)
}

// ChangeLog is the change log in the table service.
type ChangeLog interface {
	Apply(ctx context.Context, p pwchange.Proposal) (pwchange.Change, error)
	SetMark(ctx context.Context, t pwchange.TargetKind, name string, m pwchange.Mark, proposalID string) (pwchange.Change, error)
	NewestChange(ctx context.Context, key string) (pwchange.Change, error)
	Change(ctx context.Context, sequence uint64) (pwchange.Change, error)
	History(ctx context.Context, key string, limit int) ([]pwchange.Change, error)
}

// Replica is this process's copy of the newest changes. It is safe for
// concurrent use.
type Replica interface {
	Get(key string) (pwchange.Change, bool)
	// Keys returns the held keys with a prefix, in sorted order.
	Keys(prefix string) []string
	// Publish takes over changes that this process has just accepted and
	// pushes them to the peers.
	Publish(changes ...pwchange.Change)
	Status() pwgossip.Status
}

// ProcessStatus tells whether a change is in force in one process.
type ProcessStatus struct {
	Instance   pwrequest.InstanceID
	DataCentre pwrequest.DataCentre
	// InForce is set when the process holds the change or a newer one of the
	// same key. Holding a larger sequence number of another key is not enough.
	InForce bool
	// AnsweredAt is when the process last said so.
	AnsweredAt time.Time
}

// Propagation tells how far a change has come.
type Propagation interface {
	// InForce returns what the known processes last said about a change.
	InForce(ctx context.Context, key string, sequence uint64) ([]ProcessStatus, error)
}

// Server is one backend server as this entry knows it.
type Server struct {
	ID         pwrequest.BackendServerID
	Service    pwrequest.ServiceID
	DataCentre pwrequest.DataCentre
	// Leaving is set when the platform has announced the instance's end.
	Leaving bool
	// Watched is set when this entry follows the server's load reports. An
	// entry follows a bounded subset of the fleet.
	Watched bool
	// SingleRequest is set while the server is kept for one request that
	// crashed another backend server.
	SingleRequest bool
	// Report is the newest load report, or nil when there is none.
	Report *LoadReport
}

// LoadReport is a load report of an agent.
type LoadReport struct {
	// InService is false while the agent refuses new work.
	InService    bool
	Running      int
	RunningBound int
	RunningLong  int
	SentAt       time.Time
}

// Fleet lists the backend servers that this entry knows.
type Fleet interface {
	Servers() []Server
}

// RequestState is the state of one request.
type RequestState struct {
	ID            pwrequest.ID
	Service       pwrequest.ServiceID
	Workspace     pwrequest.WorkspaceID
	Model         pwrequest.ModelID
	State         string
	Tokens        int64
	Reason        string
	Attempt       pwrequest.AttemptID
	BackendServer pwrequest.BackendServerID
	AdmittedAt    time.Time
	Err           error
}

// Requests finds and cancels requests of any workspace, here or on another
// entry. An unknown request gives an error with CauseNotFound.
type Requests interface {
	Request(ctx context.Context, id pwrequest.ID) (RequestState, error)
	// CancelRequest reports whether the request still ran.
	CancelRequest(ctx context.Context, id pwrequest.ID) (bool, error)
}

// Deps are the collaborators of the interface; all are required.
type Deps struct {
	Operators   Authenticator
	ChangeLog   ChangeLog
	Replica     Replica
	Propagation Propagation
	Fleet       Fleet
	Requests    Requests
	Observer    *pwobserve.Observer
}

// api serves the operations.
type api struct {
	Deps
	documents documentCache
}

// Register adds the operations to an HTTP interface.
func Register(h huma.API, deps Deps) {
	pwproblem.Install()
	a := &api{
		Deps: deps,
	}
	a.registerDocuments(h)
	a.registerMarks(h)
	a.registerRequests(h)
	a.registerStatus(h)
}

// AuthHeader is the part of every request that says who sends it.
type AuthHeader struct {
	Authorization string `header:"Authorization" doc:"Bearer followed by the operator's credential."`
}

func (o AuthHeader) authorization() string { return o.Authorization }

type authorized interface{ authorization() string }

// register adds one operation: it authenticates, bounds the time, and turns
// errors into problem documents.
func register[In authorized, Out any](h huma.API, a *api, op huma.Operation, run func(context.Context, pwchange.Author, In) (*Out, error)) {
	op.Path = PathPrefix + op.Path
	op.Tags = []string{"operators"}
	huma.Register(h, op, func(ctx context.Context, in *In) (*body[Out], error) {
		who, ok := a.Operators.Authenticate((*in).authorization())
		if !ok {
			return nil, pwproblem.FromError(pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnauthenticated,
				"the operator credential is missing or not valid; send it as Authorization: Bearer"))
		}
		ctx, cancel := context.WithTimeout(ctx, operationTimeout)
		defer cancel()
		out, err := run(ctx, who, *in)
		if err != nil {
			if op.Method != http.MethodGet {
				a.Observer.Warn("operator's change was refused or failed", err, "operation", op.OperationID, "operator", who.Name, "team", who.Team)
			}
			return nil, refusalOf(err)
		}
		return &body[Out]{
			Body: *out,
		}, nil
	})
}

type body[T any] struct {
	Body T
}

// FieldProblem is one fault of a document.
type FieldProblem struct {
	Path    string `json:"path" doc:"Field of the document."`
	Found   string `json:"found" doc:"What was found there."`
	Allowed string `json:"allowed" doc:"What is allowed there."`
}

// Refusal is the problem document of the operators' interface.
type Refusal struct {
	pwproblem.Problem
	Fields []FieldProblem `json:"fields,omitempty" doc:"Faults of the document."`
	// The following fields are set when somebody else made a change first.
	Current      *Change  `json:"current,omitempty" doc:"The version that is current now."`
	Diff         []string `json:"diff,omitempty" doc:"What the refused document would change in the current one."`
	ChangedSince []string `json:"changed_since,omitempty" doc:"What changed since the version that was expected."`
}

// conflict is a lost race with what the loser needs to go on.
type conflict struct {
	err          error
	current      pwchange.Change
	diff         []string
	changedSince []string
}

func (c *conflict) Error() string { return c.err.Error() }
func (c *conflict) Unwrap() error { return c.err }

func refusalOf(err error) *Refusal {
	r := &Refusal{
		Problem: *pwproblem.FromError(err),
	}
	var fields pwschema.Problems
	if errors.As(err, &fields) {
		r.Fields = lo.Map(fields, func(p pwschema.Problem, _ int) FieldProblem { return FieldProblem(p) })
	}
	var c *conflict
	if errors.As(err, &c) {
		current := changeOf(c.current)
		r.Current = &current
		r.Diff = bounded(c.diff)
		r.ChangedSince = bounded(c.changedSince)
	}
	return r
}

func bounded(lines []string) []string {
	if len(lines) <= maxDiffLines {
		return lines
	}
	rest := len(lines) - maxDiffLines
	return append(lines[:maxDiffLines:maxDiffLines], fmt.Sprintf("... and %d more", rest))
}

// Change describes one accepted change.
type Change struct {
	Key        string `json:"key" doc:"Key of the change."`
	Sequence   uint64 `json:"sequence" doc:"Sequence number; the version to expect in the next change."`
	Previous   uint64 `json:"previous,omitempty" doc:"Sequence number of the key's previous change."`
	Operator   string `json:"operator,omitempty" doc:"Operator who made the change."`
	Team       string `json:"team,omitempty" doc:"Team of the operator."`
	AcceptedAt string `json:"accepted_at,omitempty" doc:"Time of acceptance, RFC 3339."`
	ProposalID string `json:"proposal_id,omitempty" doc:"Identifier of the proposal."`
	Deleted    bool   `json:"deleted,omitempty" doc:"The key was deleted."`
}

func changeOf(c pwchange.Change) Change {
	out := Change{
		Key:        c.Key,
		Sequence:   c.Sequence,
		Previous:   c.PreviousSequence,
		Operator:   c.Author.Name,
		Team:       c.Author.Team,
		ProposalID: c.ProposalID,
		Deleted:    c.Deleted(),
	}
	if c.AcceptedUnixMS > 0 {
		out.AcceptedAt = formatTime(c.AcceptedAt())
	}
	return out
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// ProposalFields is the part of every change that makes its repetition safe.
type ProposalFields struct {
	ProposalID string `json:"proposal_id" minLength:"8" maxLength:"100" pattern:"^[A-Za-z0-9._-]+$" doc:"Identifier of the proposal; a repetition has the same one."`
	Repeat     bool   `json:"repeat,omitempty" doc:"Set when an earlier try had no answer."`
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Change
	// SupersededBy is set when a repetition finds that its change was
	// accepted the first time and replaced since.
	SupersededBy uint64 `json:"superseded_by,omitempty" doc:"Newer change of the key, when a repetition came late."`
	// Unchanged is set when a mark already said the same; the change is then
	// the earlier one.
	Unchanged bool `json:"unchanged,omitempty" doc:"The mark already said the same; nothing was changed."`
}

// accepted puts an accepted change in force and describes it.
func (a *api) accepted(ctx context.Context, who pwchange.Author, c pwchange.Change, repeat bool) *Accepted {
	if c.AcceptedUnixMS > 0 { // Without a time only the number is known.
		a.Replica.Publish(c)
	}
	a.Observer.Info("operator's change was accepted", "operator", who.Name, "team", who.Team, "key", c.Key, "sequence", fmt.Sprint(c.Sequence))
	out := &Accepted{
		Change: changeOf(c),
	}
	if repeat {
		if now, err := a.ChangeLog.NewestChange(ctx, c.Key); err == nil && now.Sequence > c.Sequence {
			out.SupersededBy = now.Sequence
		}
	}
	return out
}

// acceptedEarlier answers a repetition with the change of the earlier try.
func (a *api) acceptedEarlier(ctx context.Context, who pwchange.Author, c pwchange.Change, err error) (*Accepted, error) {
	if err != nil {
		return nil, err
	}
	return a.accepted(ctx, who, c, true), nil
}

// earlier looks for the change of an earlier try in the history, because the
// log remembers only the newest proposals of each key. found is false when the
// earlier try did not take effect; an error means that this cannot be told.
func (a *api) earlier(ctx context.Context, key, proposalID string) (c pwchange.Change, found bool, err error) {
	list, err := a.ChangeLog.History(ctx, key, pwchange.MaxHistory)
	if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
		return c, false, nil
	}
	if err != nil {
		return c, false, unknownAfterRepeat(err, true)
	}
	c, found = lo.Find(list, func(c pwchange.Change) bool { return c.ProposalID == proposalID })
	if !found && list[len(list)-1].PreviousSequence > 0 {
		return c, false, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseConflict,
			"%s changed too often since the earlier try to tell its outcome; look at its state before you try again", key)
	}
	return c, found, nil
}

// unknownAfterRepeat corrects the verdict of a repetition that did not reach
// the table: the first try may have taken effect.
func unknownAfterRepeat(err error, repeat bool) error {
	if repeat && err != nil && pwverdict.CauseOf(err) == pwverdict.CauseUnavailable && pwverdict.VerdictOf(err) == pwverdict.NotRun {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "outcome of the earlier try is unknown; send the same proposal again")
	}
	return err
}
