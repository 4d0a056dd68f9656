package pwentry

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

const (
	// followRetryDelay is the delay before a follower reads the record again after its
	// stream broke. The record may then name another attempt.
	followRetryDelay = 200 * time.Millisecond
	// followTimeout is how long a follower keeps trying while the latest attempt can't be
	// read.
	followTimeout = 15 * time.Second
)

// followRecord returns the in-flight request for a request that another entry admitted,
// and starts to copy its answer. A stopping entry doesn't, because it couldn't copy the
// whole answer.
func (e *Entry) followRecord(rec *pwrpc.RequestRecord) (*InFlightRequest, error) {
	r := pwrequest.New(pwrequest.Params{
		ID:         pwrequest.ID(rec.RequestId),
		Workspace:  pwrequest.WorkspaceID(rec.Workspace),
		Service:    pwrequest.ServiceID(rec.Service),
		Model:      pwrequest.ModelID(rec.Model),
		AdmittedAt: time.UnixMilli(rec.AdmittedUnixMs),
		Deadline:   time.UnixMilli(rec.ExpiresUnixMs),
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if f, ok := e.requests[r.ID()]; ok {
		return f, nil
	}
	if e.draining {
		return nil, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseDraining, "request runs at another entry, and this entry is shutting down; ask another one").
			WithRetryAfter(time.Second)
	}
	f := newInFlightRequest(e, r, "")
	f.mayHaveRun = true
	f.currentAttempt = pwrequest.AttemptID(rec.AttemptId)
	f.currentAddress = rec.AgentAddress
	e.requests[r.ID()] = f
	go (&follower{
		inFlight: f,
		record:   rec,
	}).run()
	return f, nil
}

// follower copies the answer of another entry's request from the agent that holds it.
type follower struct {
	inFlight *InFlightRequest
	record   *pwrpc.RequestRecord
	// brokenSince is when reading the latest attempt first failed without any tokens
	// received since. It is zero while the attempt can be read.
	brokenSince time.Time
}

// run reads the answer until it has ended or can no longer be read.
func (w *follower) run() {
	f := w.inFlight
	ctx, cancel := context.WithDeadline(f.ctx, f.request.Deadline())
	defer cancel()
	for {
		ended, err := w.readAnswer(ctx)
		if w.brokenSince.IsZero() {
			w.brokenSince = time.Now()
		}
		switch {
		case ended != nil && !ended.ServerDied:
			f.finish(ended.Reason, ended.Failure.Err())
			return
		case ctx.Err() != nil, time.Since(w.brokenSince) > followTimeout:
			f.finish("error", pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "the answer can no longer be read: %v", err))
			return
		}
		_ = sleep(ctx, f.entry.jitter(followRetryDelay))
		if rec, err := f.entry.directory.Get(ctx, f.request.ID()); err == nil && rec != nil && rec.AttemptNumber >= w.record.AttemptNumber {
			if rec.AttemptNumber > w.record.AttemptNumber {
				w.brokenSince = time.Time{}
			}
			w.record = rec
			f.setCurrentAttempt(pwrequest.AttemptID(rec.AttemptId), rec.AgentAddress)
		}
	}
}

// readAnswer reads the answer stream until it ends or breaks. It returns the end event,
// or nil if none arrived.
func (w *follower) readAnswer(ctx context.Context) (*pwrpc.Ended, error) {
	f := w.inFlight
	var ended *pwrpc.Ended
	err := f.entry.agents.Agent(w.record.AgentAddress).ReadAnswer(ctx, &pwrpc.ReadAnswerRequest{
		RequestId: w.record.RequestId,
		Workspace: w.record.Workspace,
		Offset:    int64(len(f.receivedTokens())),
	}, func(ev *pwrpc.AnswerEvent) error {
		if ev.RequestId != w.record.RequestId {
			return nil
		}
		switch e := ev.Event.(type) {
		case *pwrpc.AnswerEvent_Tokens:
			w.brokenSince = time.Time{}
			return f.appendTokens(f.CurrentAttempt(), e.Tokens.Offset, e.Tokens.Tokens)
		case *pwrpc.AnswerEvent_Ended:
			ended = e.Ended
		}
		return nil
	})
	return ended, err
}
