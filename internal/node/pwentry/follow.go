package pwentry

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

const (
	// A follower looks the record up again after a broken stream, because
	// another attempt may have taken over.
	followDelay = 200 * time.Millisecond
	// followGrace is how long after the last sign of the request a follower
	// keeps trying.
	followGrace = 15 * time.Second
)

// follow returns a flight that reads the answer of a request that another
// entry runs or ran.
func (e *Entry) follow(rec *pwrpc.RequestRecord) *InFlightRequest {
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
	if f, ok := e.flights[r.ID()]; ok {
		return f
	}
	f := newFlight(e, r, "")
	f.current = pwrequest.AttemptID(rec.AttemptId)
	f.currentAddr = rec.AgentAddress
	e.flights[r.ID()] = f
	go (&follower{
		flight: f,
		record: rec,
	}).run()
	return f
}

// follower copies the answer of a request from its agent.
type follower struct {
	flight *InFlightRequest
	record *pwrpc.RequestRecord
	// brokenSince is when the newest attempt was found without an agent that
	// still runs it; the zero time means that it is not.
	brokenSince time.Time
}

func (w *follower) run() {
	f := w.flight
	ctx, cancel := context.WithDeadline(f.ctx, f.request.Deadline())
	defer cancel()
	for {
		ended, err := w.read(ctx)
		if w.brokenSince.IsZero() {
			w.brokenSince = time.Now()
		}
		switch {
		case ended != nil && !ended.ServerDied:
			f.end(ended.Reason, ended.Failure.Err())
			return
		case ctx.Err() != nil, time.Since(w.brokenSince) > followGrace:
			f.end("error", pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "the answer can no longer be read: %v", err))
			return
		}
		_ = sleep(ctx, f.entry.jitter(followDelay))
		if rec, err := f.entry.directory.Get(ctx, f.request.ID()); err == nil && rec != nil && rec.AttemptNumber >= w.record.AttemptNumber {
			if rec.AttemptNumber > w.record.AttemptNumber {
				w.brokenSince = time.Time{}
			}
			w.record = rec
			f.setCurrent(pwrequest.AttemptID(rec.AttemptId), rec.AgentAddress)
		}
	}
}

func (w *follower) read(ctx context.Context) (*pwrpc.Ended, error) {
	f := w.flight
	var ended *pwrpc.Ended
	err := f.entry.agents.Agent(w.record.AgentAddress).ReadAnswer(ctx, &pwrpc.ReadAnswerRequest{
		RequestId: w.record.RequestId,
		Workspace: w.record.Workspace,
		Offset:    int64(len(f.given())),
	}, func(ev *pwrpc.AnswerEvent) error {
		if ev.RequestId != w.record.RequestId {
			return nil
		}
		switch e := ev.Event.(type) {
		case *pwrpc.AnswerEvent_Tokens:
			w.brokenSince = time.Time{}
			return f.accept(f.CurrentAttempt(), e.Tokens.Offset, e.Tokens.Tokens)
		case *pwrpc.AnswerEvent_Ended:
			ended = e.Ended
		}
		return nil
	})
	return ended, err
}
