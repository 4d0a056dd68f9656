// Package pwoperator implements an entry's HTTP API for operators: service
// documents, out-of-service marks of data centres and backend servers,
// requests, and status.
//
// # Usage
//
//	api := pwentry.NewAPI(entry)
//	pwoperator.Register(api.Huma(), pwoperator.Deps{
//		Operators:   pwsecurity.NewOperatorAuthenticator(settings.Operators),
//		ChangeLog:   pwchange.NewLog(table),
//		Replica:     gossipNode,
//		Propagation: propagation,
//		Fleet:       fleet,
//		Requests:    requests,
//		Observer:    observer,
//	})
//
// # Authorisation
//
// Every operation requires an operator's credential as Authorization: Bearer.
// Every operator may view everything and may take data centres and backend
// servers out of service and bring them back, because whoever is on call must
// be able to do so. Only the team that owns a service may change its document
// or cancel its requests.
//
// # Idempotency
//
// Each change carries a proposal identifier. When the response to a change is
// lost, the client retries it with the same identifier and the field repeat set.
// The change takes effect at most once, and the retry gets the same response as
// the first attempt.
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

// PathPrefix is the prefix of the paths of all operations.
const PathPrefix = "/v1/operator"

const (
	// operationTimeout is the timeout of one operation. Most of the time of an
	// operation is spent waiting for the table service.
	operationTimeout = 10 * time.Second
	// maxDiffLines is the largest number of diff lines in a response.
	maxDiffLines = 200
)

// Authenticator authenticates operators by their credentials.
type Authenticator interface {
	// Authenticate returns the operator that the value of an Authorization
	// header belongs to, and false when it belongs to none.
	Authenticate(authorization string) (pwchange.Author, bool)
}

// ChangeLog is the log of configuration changes in the table service.
type ChangeLog interface {
	// Apply writes a change and returns it with its sequence number. The error
	// wraps a ConflictError if the expected version is no longer current.
	Apply(ctx context.Context, p pwchange.Proposal) (pwchange.Change, error)
	// SetMark takes a target out of service or brings it back. If the mark
	// already has that state, SetMark returns the change that set it.
	SetMark(ctx context.Context, t pwchange.TargetKind, name string, m pwchange.Mark, proposalID string) (pwchange.Change, error)
	// NewestChange returns the newest change of a key.
	NewestChange(ctx context.Context, key string) (pwchange.Change, error)
	// Change returns the change with a sequence number.
	Change(ctx context.Context, sequence uint64) (pwchange.Change, error)
	// History returns up to limit changes of a key, newest first.
	History(ctx context.Context, key string, limit int) ([]pwchange.Change, error)
}

// Replica is this process's copy of the newest change of each key. It is safe
// for concurrent use.
type Replica interface {
	// Get returns the newest change of a key.
	Get(key string) (pwchange.Change, bool)
	// Keys returns the sorted keys that have the prefix.
	Keys(prefix string) []string
	// Publish adds changes that this process has just accepted and pushes them
	// to the peers.
	Publish(changes ...pwchange.Change)
	// Status reports how this process is connected and how old the replica may
	// be.
	Status() pwgossip.Status
}

// ProcessStatus reports whether a change is in force in one process.
type ProcessStatus struct {
	Instance   pwrequest.InstanceID
	DataCentre pwrequest.DataCentre
	// InForce is true when the process holds the change or a newer change of
	// the same key. A larger sequence number of another key is not enough.
	InForce bool
	// RespondedAt is the time of the process's last response; zero if it never
	// responded.
	RespondedAt time.Time
}

// Propagation reports in which processes a change is in force.
type Propagation interface {
	// InForce returns the last answer of each known process about a change.
	InForce(ctx context.Context, key string, sequence uint64) ([]ProcessStatus, error)
}

// Server is one backend server as seen by this entry.
type Server struct {
	ID         pwrequest.BackendServerID
	Service    pwrequest.ServiceID
	DataCentre pwrequest.DataCentre
	// Leaving is true once the platform has announced the end of the instance.
	Leaving bool
	// Watched is true when this entry receives the server's load reports. An
	// entry watches a bounded subset of the fleet.
	Watched bool
	// SingleRequest is true while the server is reserved for one request that
	// crashed another backend server.
	SingleRequest bool
	// Report is the newest load report, or nil if there is none.
	Report *LoadReport
}

// LoadReport is a load report of an agent.
type LoadReport struct {
	// InService is false while the agent refuses new work.
	InService bool
	// Running is the number of running requests, of which RunningLong have long
	// prompts. RunningBound is the current limit of Running.
	Running      int
	RunningBound int
	RunningLong  int
	SentAt       time.Time
}

// Fleet lists the backend servers in this entry's instance list.
type Fleet interface {
	Servers() []Server
}

// RequestState is the state of one request, of any workspace.
type RequestState struct {
	ID        pwrequest.ID
	Service   pwrequest.ServiceID
	Workspace pwrequest.WorkspaceID
	Model     pwrequest.ModelID
	State     string
	// Tokens is the number of tokens generated so far.
	Tokens int64
	// Reason is why the answer ended; empty while the request runs.
	Reason        string
	Attempt       pwrequest.AttemptID
	BackendServer pwrequest.BackendServerID
	AdmittedAt    time.Time
	// Err is the error of a failed request.
	Err error
}

// Requests finds and cancels requests of any workspace, on this entry or on
// another one. For an unknown request, it returns an error with CauseNotFound.
type Requests interface {
	Request(ctx context.Context, id pwrequest.ID) (RequestState, error)
	// CancelRequest reports whether the request was still running.
	CancelRequest(ctx context.Context, id pwrequest.ID) (bool, error)
}

// Deps are the dependencies of the operators' API. All are required.
type Deps struct {
	Operators   Authenticator
	ChangeLog   ChangeLog
	Replica     Replica
	Propagation Propagation
	Fleet       Fleet
	Requests    Requests
	Observer    *pwobserve.Observer
}

// api implements the operations.
type api struct {
	Deps
	documents documentCache
}

// Register adds the operators' operations to an HTTP API.
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

// AuthHeader is the input of every operation that identifies the operator.
type AuthHeader struct {
	Authorization string `header:"Authorization" doc:"Bearer followed by the operator's credential."`
}

func (h AuthHeader) authorization() string { return h.Authorization }

// authenticatedInput is the input of an operation; it embeds AuthHeader.
type authenticatedInput interface{ authorization() string }

// register adds one operation. It wraps the handler with authentication, a
// timeout, and the conversion of errors to problem documents.
func register[In authenticatedInput, Out any](h huma.API, a *api, op huma.Operation, handler func(context.Context, pwchange.Author, In) (*Out, error)) {
	op.Path = PathPrefix + op.Path
	op.Tags = []string{"operators"}
	huma.Register(h, op, func(ctx context.Context, in *In) (*output[Out], error) {
		author, ok := a.Operators.Authenticate((*in).authorization())
		if !ok {
			return nil, pwproblem.FromError(pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnauthenticated,
				"the operator credential is missing or not valid; send it as Authorization: Bearer"))
		}
		ctx, cancel := context.WithTimeout(ctx, operationTimeout)
		defer cancel()
		out, err := handler(ctx, author, *in)
		if err != nil {
			if op.Method != http.MethodGet {
				a.Observer.Warn("operator's change was refused or failed", err, "operation", op.OperationID, "operator", author.Name, "team", author.Team)
			}
			return nil, newRefusal(err)
		}
		return &output[Out]{
			Body: *out,
		}, nil
	})
}

// output is the response of an operation. huma sends Body as JSON.
type output[T any] struct {
	Body T
}

// FieldProblem describes one invalid field of a document.
type FieldProblem struct {
	Path    string `json:"path" doc:"Field of the document."`
	Found   string `json:"found" doc:"What was found there."`
	Allowed string `json:"allowed" doc:"What is allowed there."`
}

// Refusal is the problem document of the operators' API.
type Refusal struct {
	pwproblem.Problem
	Fields []FieldProblem `json:"fields,omitempty" doc:"Faults of the document."`
	// The following fields are set when another change was accepted first.
	Current      *Change  `json:"current,omitempty" doc:"The version that is current now."`
	Diff         []string `json:"diff,omitempty" doc:"What the refused document would change in the current one."`
	ChangedSince []string `json:"changed_since,omitempty" doc:"What changed since the version that was expected."`
}

// conflictError reports that another change was accepted first. It carries what
// the client needs to prepare its change again.
type conflictError struct {
	err     error
	current pwchange.Change
	// diff lists what the refused change would change in the current version,
	// and changedSince what changed since the version that it expected.
	diff         []string
	changedSince []string
}

func (c *conflictError) Error() string { return c.err.Error() }
func (c *conflictError) Unwrap() error { return c.err }

// newRefusal converts an error to a problem document, with the invalid fields of
// a document or the details of a conflict if the error has them.
func newRefusal(err error) *Refusal {
	r := &Refusal{
		Problem: *pwproblem.FromError(err),
	}
	var fields pwschema.Problems
	if errors.As(err, &fields) {
		r.Fields = lo.Map(fields, func(p pwschema.Problem, _ int) FieldProblem { return FieldProblem(p) })
	}
	var c *conflictError
	if errors.As(err, &c) {
		current := newChange(c.current)
		r.Current = &current
		r.Diff = truncateLines(c.diff)
		r.ChangedSince = truncateLines(c.changedSince)
	}
	return r
}

// truncateLines cuts lines to maxDiffLines and replaces the rest by its count.
func truncateLines(lines []string) []string {
	if len(lines) <= maxDiffLines {
		return lines
	}
	rest := len(lines) - maxDiffLines
	return append(lines[:maxDiffLines:maxDiffLines], fmt.Sprintf("... and %d more", rest))
}

// Change describes one accepted change, without its value.
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

func newChange(c pwchange.Change) Change {
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

// ProposalFields are the fields of a change's request body that make it safe to
// retry.
type ProposalFields struct {
	ProposalID string `json:"proposal_id" minLength:"8" maxLength:"100" pattern:"^[A-Za-z0-9._-]+$" doc:"Identifier of the proposal; a repetition has the same one."`
	Repeat     bool   `json:"repeat,omitempty" doc:"Set when an earlier try had no answer."`
}

// Accepted is the response to an accepted change.
type Accepted struct {
	Change
	// SupersededBy is set in the response to a retry whose change was
	// accepted by the first attempt and has been replaced since.
	SupersededBy uint64 `json:"superseded_by,omitempty" doc:"Newer change of the key, when a repetition came late."`
	// Unchanged is true when the mark already had the requested state. Change
	// is then the change that set that state.
	Unchanged bool `json:"unchanged,omitempty" doc:"The mark already said the same; nothing was changed."`
}

// publishAccepted publishes an accepted change to this process and its peers
// and returns the response.
func (a *api) publishAccepted(ctx context.Context, author pwchange.Author, c pwchange.Change, isRetry bool) *Accepted {
	if c.AcceptedUnixMS > 0 { // Without a time, only the sequence number is known.
		a.Replica.Publish(c)
	}
	a.Observer.Info("operator's change was accepted", "operator", author.Name, "team", author.Team, "key", c.Key, "sequence", fmt.Sprint(c.Sequence))
	out := &Accepted{
		Change: newChange(c),
	}
	if isRetry {
		if current, err := a.ChangeLog.NewestChange(ctx, c.Key); err == nil && current.Sequence > c.Sequence {
			out.SupersededBy = current.Sequence
		}
	}
	return out
}

// acceptRetry returns the response to a retry: the change that the earlier
// attempt made, or err if the outcome of that attempt cannot be determined.
func (a *api) acceptRetry(ctx context.Context, author pwchange.Author, c pwchange.Change, err error) (*Accepted, error) {
	if err != nil {
		return nil, err
	}
	return a.publishAccepted(ctx, author, c, true), nil
}

// findEarlierChange searches the key's history for the change that an earlier
// attempt of a proposal made. The history is needed because the log remembers only
// the newest proposals of each key. found is false if the earlier attempt did not
// take effect; an error means that its outcome cannot be determined.
func (a *api) findEarlierChange(ctx context.Context, key, proposalID string) (c pwchange.Change, found bool, err error) {
	history, err := a.ChangeLog.History(ctx, key, pwchange.MaxHistory)
	if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
		return c, false, nil
	}
	if err != nil {
		return c, false, correctRetryVerdict(err, true)
	}
	c, found = lo.Find(history, func(c pwchange.Change) bool { return c.ProposalID == proposalID })
	if !found && history[len(history)-1].PreviousSequence > 0 {
		return c, false, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseConflict,
			"%s changed too often since the earlier try to tell its outcome; look at its state before you try again", key)
	}
	return c, found, nil
}

// correctRetryVerdict replaces the verdict not_run of a retry that did not reach
// the table service by may_have_run, because the first attempt may have taken
// effect.
func correctRetryVerdict(err error, isRetry bool) error {
	if isRetry && err != nil && pwverdict.CauseOf(err) == pwverdict.CauseUnavailable && pwverdict.VerdictOf(err) == pwverdict.NotRun {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "outcome of the earlier try is unknown; send the same proposal again")
	}
	return err
}
