package pwcontrol

import (
	"context"
	"sync"
	"time"
)

// callTimer ends a call that has got no response within its timeout, or whose response
// stands still.
type callTimer struct {
	cancel context.CancelFunc
	stall  time.Duration

	mu       sync.Mutex
	timer    *time.Timer
	deadline time.Time
	// latest is when the call ends even if its response still arrives.
	latest time.Time
}

type callTimerKey struct{}

// withCallTimeout returns a context that ends after timeout, or later as long as the source
// reports progress.
func (f *Follower[T]) withCallTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	t := &callTimer{
		cancel:   cancel,
		stall:    f.cfg.StallTimeout,
		deadline: now.Add(timeout),
		latest:   now.Add(timeout + f.cfg.TransferTimeout),
	}
	t.timer = time.AfterFunc(timeout, cancel)
	return context.WithValue(ctx, callTimerKey{}, t), t.stop
}

// ReportProgress states that part of the response to a call with this context has arrived.
// A source that reports progress has a short timeout for a store that does not respond, and
// still gets a long response through a slow link.
func ReportProgress(ctx context.Context) {
	if t, ok := ctx.Value(callTimerKey{}).(*callTimer); ok {
		t.extend(time.Now())
	}
}

func (t *callTimer) extend(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(t.stall)
	if until.After(t.latest) {
		until = t.latest
	}
	if until.After(t.deadline) {
		t.deadline = until
		t.timer.Reset(until.Sub(now))
	}
}

func (t *callTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.cancel()
}
