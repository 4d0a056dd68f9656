package pwentry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Shutdown refuses new requests and waits until all admitted requests have ended. It
// returns the error of ctx if ctx ends first.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	if e.drained == nil {
		e.drained = make(chan struct{})
	}
	e.signalDrainedLocked()
	drained := e.drained
	e.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// errStopped is the cause with which calls end when EndRequests is called.
var errStopped = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseDraining, "entry was stopped before the request had ended")

// abortTimeDivisor bounds the time for the aborts of claims by a part of the time in which
// the requests must end.
const abortTimeDivisor = 2

// EndRequests fails the requests and calls that still run after Shutdown, so that their
// callers get an answer before the process ends. It waits until they have ended, and
// returns the error of ctx if ctx ends first. Half of the time until the deadline of ctx is
// for the aborts of claims.
func (e *Entry) EndRequests(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		defer time.AfterFunc(time.Until(deadline)/abortTimeDivisor, e.stopAborts).Stop()
	}
	e.stopCalls(errStopped)
	e.mu.Lock()
	running := slices.Collect(maps.Values(e.requests))
	e.mu.Unlock()
	for _, f := range running {
		f.fail(pwverdict.CauseDraining, "entry was stopped while the request was queued", errStopped.Detail())
	}
	return e.Shutdown(ctx)
}
