package pwentry

import (
	"context"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

type requestInput struct {
	Caller
	ID string `path:"id" maxLength:"100" doc:"Request identifier, from the Pomeloweir-Request-Id header."`
}

// RequestView is the state of a request.
type RequestView struct {
	ID       string   `json:"id" doc:"Request identifier."`
	State    string   `json:"state" enum:"queued,running,complete,failed" doc:"State of the request."`
	Tokens   int64    `json:"tokens" doc:"Tokens generated so far."`
	Reason   string   `json:"reason,omitempty" doc:"Why the answer ended: stop, length or cancelled."`
	Problem  *Problem `json:"problem,omitempty" doc:"Why the request failed."`
	Admitted string   `json:"admitted" doc:"Time of admission, RFC 3339."`
}

type viewOutput struct {
	Body RequestView
}

// find returns a request whose workspace the caller's credential belongs to in
// the document of the request's own service. Another team's document may name
// the same workspace, and its credentials must not open this one.
func (a *API) find(ctx context.Context, in *requestInput) (*InFlightRequest, error) {
	if err := a.checkAny(in.Caller); err != nil {
		return nil, ProblemOf(err)
	}
	id := pwrequest.ID(in.ID)
	f, err := a.entry.FindInAnyWorkspace(ctx, id)
	if err != nil {
		return nil, ProblemOf(err)
	}
	w, err := in.authenticate(a.document(f.request.Service()))
	if err != nil || w != f.request.Workspace() {
		return nil, ProblemOf(errNoRequest(id))
	}
	return f, nil
}

func (a *API) view(ctx context.Context, in *requestInput) (*viewOutput, error) {
	f, err := a.find(ctx, in)
	if err != nil {
		return nil, err
	}
	s := f.Status()
	v := RequestView{
		ID:       in.ID,
		State:    s.State,
		Tokens:   s.Tokens,
		Reason:   s.Reason,
		Admitted: s.AdmittedAt.UTC().Format(time.RFC3339Nano),
	}
	if s.Err != nil {
		v.Problem = ProblemOf(s.Err)
	}
	return &viewOutput{
		Body: v,
	}, nil
}

// answerInput repeats the fields of requestInput: an embedded struct whose type
// is not exported is not filled in, so that no credential would arrive.
type answerInput struct {
	Caller
	ID     string `path:"id" maxLength:"100" doc:"Request identifier, from the Pomeloweir-Request-Id header."`
	Offset int64  `query:"offset" minimum:"0" doc:"Number of tokens the caller already has."`
}

func (a *API) answer(ctx context.Context, in *answerInput) (*huma.StreamResponse, error) {
	f, err := a.find(ctx, &requestInput{
		Caller: in.Caller,
		ID:     in.ID,
	})
	if err != nil {
		return nil, err
	}
	out := &answerWriter{
		flight: f,
		model:  string(f.request.Model()),
		offset: in.Offset,
	}
	return &huma.StreamResponse{
		Body: out.stream,
	}, nil
}

type cancelOutput struct {
	Body struct {
		Cancelled bool `json:"cancelled" doc:"False when the request had already ended."`
	}
}

func (a *API) cancel(ctx context.Context, in *requestInput) (*cancelOutput, error) {
	f, err := a.find(ctx, in)
	if err != nil {
		return nil, err
	}
	ok, err := a.entry.Cancel(ctx, f.request.ID(), f.request.Workspace())
	if err != nil {
		return nil, ProblemOf(err)
	}
	out := &cancelOutput{}
	out.Body.Cancelled = ok
	return out, nil
}
