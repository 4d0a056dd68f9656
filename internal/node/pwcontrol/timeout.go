package pwcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
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
	// begun is set, and turns marked, once the response begins to arrive.
	begun bool
	turns pwobserve.TurnMark
	obs   *pwobserve.Observer
}

type callTimerKey struct{}

// withCallTimeout returns a context that ends after timeout, or later as long as the source
// reports progress.
func (f *Follower[T]) withCallTimeout(ctx context.Context, timeout time.Duration) (context.Context, *callTimer) {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	t := &callTimer{
		cancel:   cancel,
		stall:    f.cfg.StallTimeout,
		obs:      f.obs,
		deadline: now.Add(timeout),
		latest:   now.Add(timeout + f.cfg.TransferTimeout),
	}
	t.timer = time.AfterFunc(timeout, cancel)
	return context.WithValue(ctx, callTimerKey{}, t), t
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
	if !t.begun {
		t.begun = true
		t.turns = t.obs.MarkTurns()
	}
	until := now.Add(t.stall)
	if until.After(t.latest) {
		until = t.latest
	}
	if until.After(t.deadline) {
		t.deadline = until
		t.timer.Reset(until.Sub(now))
	}
}

// observeTurns records how long other goroutines waited for a turn since the response began
// to arrive.
func (t *callTimer) observeTurns(cause string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begun {
		t.obs.ObserveTurns(cause, t.turns)
	}
}

func (t *callTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.cancel()
}
