package pwoperator

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwproblem"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
)

func (a *api) registerRequests(h huma.API) {
	register(h, a, huma.Operation{
		OperationID: "operator-view-request",
		Method:      http.MethodGet,
		Path:        "/requests/{id}",
		Summary:     "View the state of a request of any workspace",
	}, a.viewRequest)
	register(h, a, huma.Operation{
		OperationID: "operator-cancel-request",
		Method:      http.MethodDelete,
		Path:        "/requests/{id}",
		Summary:     "Cancel a request of a service of one's own team",
	}, a.cancelRequest)
}

type requestInput struct {
	AuthHeader
	ID string `path:"id" maxLength:"100" doc:"Request identifier."`
}

// Request is the state of one request, without its text.
type Request struct {
	ID            string             `json:"id" doc:"Request identifier."`
	Service       string             `json:"service" doc:"Its service."`
	Workspace     string             `json:"workspace" doc:"Its workspace."`
	Model         string             `json:"model,omitempty" doc:"Its model."`
	State         string             `json:"state" doc:"State of the request."`
	Tokens        int64              `json:"tokens" doc:"Tokens generated so far."`
	Reason        string             `json:"reason,omitempty" doc:"Why the answer ended."`
	Attempt       string             `json:"attempt,omitempty" doc:"Current attempt."`
	BackendServer string             `json:"backend_server,omitempty" doc:"Backend server of the current attempt."`
	AdmittedAt    string             `json:"admitted_at" doc:"Time of admission, RFC 3339."`
	Problem       *pwproblem.Problem `json:"problem,omitempty" doc:"Why the request failed."`
}

func (a *api) viewRequest(ctx context.Context, _ pwchange.Author, in requestInput) (*Request, error) {
	s, err := a.Requests.Request(ctx, pwrequest.ID(in.ID))
	if err != nil {
		return nil, err
	}
	out := &Request{
		ID:            string(s.ID),
		Service:       string(s.Service),
		Workspace:     string(s.Workspace),
		Model:         string(s.Model),
		State:         s.State,
		Tokens:        s.Tokens,
		Reason:        s.Reason,
		Attempt:       string(s.Attempt),
		BackendServer: string(s.BackendServer),
		AdmittedAt:    formatTime(s.AdmittedAt),
	}
	if s.Err != nil {
		out.Problem = pwproblem.FromError(s.Err)
	}
	return out, nil
}

// Cancelled is the answer to a cancellation.
type Cancelled struct {
	Cancelled bool `json:"cancelled" doc:"False when the request had already ended."`
}

func (a *api) cancelRequest(ctx context.Context, who pwchange.Author, in requestInput) (*Cancelled, error) {
	s, err := a.Requests.Request(ctx, pwrequest.ID(in.ID))
	if err != nil {
		return nil, err
	}
	if s.Service == "" {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "service of request %s is not known here; cancel it through the entry that runs it", in.ID)
	}
	if owner := a.ownerOf(string(s.Service)); owner != who.Team {
		return nil, pwverdict.New(pwverdict.NotRun, pwchange.CauseNotOwner, "request %s is of service %s, which is owned by team %q; operator %q is in team %q",
			in.ID, s.Service, owner, who.Name, who.Team)
	}
	ok, err := a.Requests.CancelRequest(ctx, pwrequest.ID(in.ID))
	if err != nil {
		return nil, err
	}
	a.Observer.Info("operator cancelled a request", "operator", who.Name, "team", who.Team, "request", in.ID)
	return &Cancelled{
		Cancelled: ok,
	}, nil
}
