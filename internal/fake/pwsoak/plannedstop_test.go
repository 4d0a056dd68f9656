package pwsoak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// Guards against streams that a stopping process takes late, because most of their route are
// short, and cuts at the end of its grace.
func TestPlannedStopCutsNoLateStream(t *testing.T) {
	const (
		callers = 4
		warmUp  = 3 * time.Second
		// All late streams come within latePeriod, and last lateEvents, which is more than is
		// left then.
		lateCallers = 8
		latePeriod  = 600 * time.Millisecond
		lateEvents  = 150
	)
	s := newSoak(Options{
		Binary:  buildBinary(t),
		Seed:    38,
		WorkDir: t.TempDir(),
		Entries: 1,
	})
	defer s.stop()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if err := s.start(ctx); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.runCaller(ctx, rand.New(rand.NewPCG(s.opts.Seed, uint64(100+i))))
		}()
	}
	sleep(ctx, warmUp)
	p := s.planStop(200 * time.Millisecond)
	for i := range lateCallers {
		c, ok := p.dial(ctx)
		if !ok {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { _ = c.Close() }()
			sleep(ctx, time.Until(p.beganAt.Add(earlyPeriod+latePeriod*time.Duration(i+1)/lateCallers)))
			p.send(ctx, c, bufio.NewReader(c), fmt.Sprint("late-", i), stopCall{
				events: lateEvents,
			})
		}()
	}
	p.stop(ctx)
	cancel()
	wg.Wait()
	for _, v := range s.report.Violations {
		t.Error(v)
	}
	if s.report.Served == 0 {
		t.Error("no request was served before the stop")
	}
}
