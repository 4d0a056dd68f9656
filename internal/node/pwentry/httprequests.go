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

// RequestView is the response body that describes the state of a request.
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

// findRequest returns a request of the caller's workspace. It checks the credential with
// the document of the request's service only: the document of another team may name the
// same workspace, and the credentials in it must not give access to this one.
func (a *API) findRequest(ctx context.Context, in *requestInput) (*InFlightRequest, error) {
	if err := a.authenticateForAny(in.Caller); err != nil {
		return nil, ProblemOf(err)
	}
	id := pwrequest.ID(in.ID)
	f, err := a.entry.FindInAnyWorkspace(ctx, id)
	if err != nil {
		return nil, ProblemOf(err)
	}
	w, err := in.authenticate(a.documentOf(f.request.Service()))
	if err != nil || w != f.request.Workspace() {
		return nil, ProblemOf(errRequestNotFound(id))
	}
	return f, nil
}

func (a *API) viewRequest(ctx context.Context, in *requestInput) (*viewOutput, error) {
	f, err := a.findRequest(ctx, in)
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

// answerInput repeats the fields of requestInput instead of embedding it, because huma
// doesn't fill in an embedded struct of an unexported type. The credential would be
// missing.
type answerInput struct {
	Caller
	ID     string `path:"id" maxLength:"100" doc:"Request identifier, from the Pomeloweir-Request-Id header."`
	Offset int64  `query:"offset" minimum:"0" doc:"Number of tokens the caller already has."`
}

func (a *API) readAnswer(ctx context.Context, in *answerInput) (*huma.StreamResponse, error) {
	f, err := a.findRequest(ctx, &requestInput{
		Caller: in.Caller,
		ID:     in.ID,
	})
	if err != nil {
		return nil, err
	}
	out := &answerWriter{
		inFlight: f,
		model:    string(f.request.Model()),
		offset:   in.Offset,
	}
	return &huma.StreamResponse{
		Body: out.writeStream,
	}, nil
}

type cancelOutput struct {
	Body struct {
		Cancelled bool `json:"cancelled" doc:"False when the request had already ended."`
	}
}

func (a *API) cancelRequest(ctx context.Context, in *requestInput) (*cancelOutput, error) {
	f, err := a.findRequest(ctx, in)
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
