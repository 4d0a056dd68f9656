package pwentry

import (
	"context"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

type callInput struct {
	Caller
	Service        string `path:"service" maxLength:"63" doc:"Service name."`
	Method         string `path:"method" maxLength:"63" doc:"Method name."`
	IdempotencyKey string `header:"Idempotency-Key" maxLength:"100" doc:"Required for methods that may not be repeated."`
	DeadlineMS     int64  `header:"Pomeloweir-Deadline-Ms" minimum:"0" doc:"Milliseconds the call may take; default from the service's document."`
	RawBody        []byte `contentType:"application/json"`
}

type callOutput struct {
	Status      int
	RequestID   string `header:"Pomeloweir-Request-Id"`
	Replayed    bool   `header:"Pomeloweir-Replayed"`
	ContentType string `header:"Content-Type"`
	Body        []byte
}

func (a *API) callMethod(ctx context.Context, in *callInput) (*callOutput, error) {
	w, err := in.authenticate(a.documentOf(pwrequest.ServiceID(in.Service)))
	if err != nil {
		return nil, ProblemOf(err)
	}
	res, err := a.entry.Call(ctx, Call{
		Workspace:      w,
		Service:        pwrequest.ServiceID(in.Service),
		Method:         in.Method,
		Body:           in.RawBody,
		IdempotencyKey: in.IdempotencyKey,
		Deadline:       deadlineFromMS(in.DeadlineMS),
	})
	if err != nil {
		return nil, ProblemOf(err)
	}
	return &callOutput{
		Status:      res.Status,
		RequestID:   string(res.RequestID),
		Replayed:    res.Replayed,
		ContentType: "application/json",
		Body:        res.Body,
	}, nil
}

type viewCallInput struct {
	Caller
	Service string `path:"service" maxLength:"63" doc:"Service name."`
	Method  string `path:"method" maxLength:"63" doc:"Method name."`
	Key     string `path:"key" maxLength:"100" doc:"Idempotency key of the call."`
}

type viewCallOutput struct {
	Body struct {
		State   string `json:"state" enum:"claimed,dispatched,done,aborted" doc:"State of the claim."`
		Verdict string `json:"verdict" enum:"not_run,may_have_run,ran" doc:"Whether the call may have run."`
		Status  int    `json:"status,omitempty" doc:"Status code of the plain service's response."`
		Result  string `json:"result,omitempty" doc:"Body of the plain service's response."`
	}
}

func (a *API) viewCall(ctx context.Context, in *viewCallInput) (*viewCallOutput, error) {
	w, err := in.authenticate(a.documentOf(pwrequest.ServiceID(in.Service)))
	if err != nil {
		return nil, ProblemOf(err)
	}
	rec, err := a.entry.LookupCall(ctx, Call{
		Workspace:      w,
		Service:        pwrequest.ServiceID(in.Service),
		Method:         in.Method,
		IdempotencyKey: in.Key,
	})
	if err != nil {
		return nil, ProblemOf(err)
	}
	out := &viewCallOutput{}
	out.Body.State = string(rec.State())
	out.Body.Verdict = rec.Verdict().String()
	out.Body.Status = rec.Status()
	out.Body.Result = string(rec.Result())
	return out, nil
}
