package pwgateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// Guards against a request that waits for an engine until it can't finish before the process
// ends, and against one that stops waiting without a shutdown.
func TestWaitEndsWhileRequestCanFinish(t *testing.T) {
	const wait = time.Minute
	for name, tc := range map[string]struct {
		// begin is when the shutdown begins, grace how long it lasts.
		begin, grace, need time.Duration
		want               time.Duration
	}{
		"no shutdown":           {begin: 2 * wait, grace: time.Second, need: time.Second, want: wait},
		"begins while it waits": {begin: 10 * time.Second, grace: 8 * time.Second, need: 3 * time.Second, want: 15 * time.Second},
		"needs more than all":   {begin: 10 * time.Second, grace: 8 * time.Second, need: 30 * time.Second, want: 10 * time.Second},
		"begun before":          {begin: 0, grace: 8 * time.Second, need: 3 * time.Second, want: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(Config{}, pwobserve.Discard())
				begin := func() { g.BeginShutdown(time.Now(), time.Now().Add(tc.grace)) }
				if tc.begin == 0 {
					begin()
				} else {
					time.AfterFunc(tc.begin, begin)
				}
				synctest.Wait()
				startedAt := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()
				ctx, cancel = g.shutdown.endBefore(ctx, func() time.Duration { return tc.need })
				defer cancel()
				<-ctx.Done()
				if got := time.Since(startedAt); got != tc.want {
					t.Errorf("the wait ends after %s, want %s", got, tc.want)
				}
				if errors.Is(context.Cause(ctx), errStopping) != (tc.want != wait) {
					t.Errorf("the wait ends with %v", context.Cause(ctx))
				}
				time.Sleep(3 * wait) // timers end
			})
		})
	}
}
