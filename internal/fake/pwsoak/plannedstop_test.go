package pwsoak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// startedEntry returns a run with one entry, and a context in which callers have used it for a
// while.
func startedEntry(t *testing.T) (*soak, context.Context) {
	t.Helper()
	const (
		callers = 4
		warmUp  = 3 * time.Second
	)
	s := newSoak(Options{
		Binary:  buildBinary(t),
		Seed:    38,
		WorkDir: t.TempDir(),
		Entries: 1,
	})
	t.Cleanup(s.stop)
	ctx, cancel := context.WithCancel(t.Context())
	if err := s.start(ctx); err != nil {
		cancel()
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		for _, v := range s.report.Violations {
			t.Error(v)
		}
		if s.report.Served == 0 {
			t.Error("no request was served before the stop")
		}
		checkLogEndsRequests(t, filepath.Join(s.entries[0].dir, "log"))
	})
	for i := range callers {
		rng := rand.New(rand.NewPCG(s.opts.Seed, uint64(100+i)))
		wg.Go(func() { s.runCaller(ctx, rng) })
	}
	sleep(ctx, warmUp)
	return s, ctx
}

// checkLogEndsRequests checks that the log has a line of the end of each request that the
// first process in it has passed on.
func checkLogEndsRequests(t *testing.T, path string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	running := make(map[string]bool)
	for text := range bytes.Lines(raw) {
		var line struct {
			Message string `json:"message"`
			Fields  struct {
				Request      string `json:"request"`
				LinesDropped int    `json:"lines_dropped"`
			} `json:"fields"`
		}
		if err := json.Unmarshal(text, &line); err != nil {
			t.Fatalf("%v: %s", err, text)
		}
		switch line.Message {
		case "sent":
			running[line.Fields.Request] = true
		case "answered", "refused", "cut", "caller_left":
			delete(running, line.Fields.Request)
		case "stop":
			if len(running) > 0 || line.Fields.LinesDropped > 0 {
				t.Errorf("%d requests have no end in the log, %d lines were dropped: %v", len(running), line.Fields.LinesDropped, running)
			}
			return
		}
	}
	t.Error("the log has no end of the process")
}

// stopUnderStreams stops the entry while streams of some events come at intervals, the first
// one some time after the beginning.
func (p *plannedStop) stopUnderStreams(ctx context.Context, streams, events int, first, interval time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range streams {
		c, ok := p.dial(ctx)
		if !ok {
			continue
		}
		wg.Go(func() {
			defer func() { _ = c.Close() }()
			sleep(ctx, time.Until(p.beganAt.Add(first+time.Duration(i)*interval)))
			p.send(ctx, c, bufio.NewReader(c), fmt.Sprint("stream-", i), stopCall{
				path: fmt.Sprint("/note/", events),
			})
		})
	}
	p.stop(ctx, rand.New(rand.NewPCG(p.soak.opts.Seed, 400)))
}

// Guards against streams that a stopping process takes late, because most of their route are
// short, and cuts at the end of its grace.
func TestPlannedStopCutsNoLateStream(t *testing.T) {
	t.Parallel()
	s, ctx := startedEntry(t)
	p := s.planStop(s.entries[0], time.Now().Add(200*time.Millisecond), shutdownGrace)
	// Each stream lasts longer than what is left when it comes.
	p.stopUnderStreams(ctx, 8, 150, earlyPeriod+75*time.Millisecond, 75*time.Millisecond)
}

// Guards against a stop that goes by the grace of the start although the settings file has
// changed without a signal: streams are cut too soon, or the process outlives the grace.
func TestPlannedStopUsesChangedGrace(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{3 * time.Second, 8 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			s, ctx := startedEntry(t)
			p := s.planStop(s.entries[0], time.Now().Add(300*time.Millisecond), grace)
			if err := s.entries[0].writeSettings(grace, drainTimeout); err != nil {
				t.Fatal(err)
			}
			// The streams of the longer grace end before its last part.
			p.stopUnderStreams(ctx, 4, 350, -200*time.Millisecond, 50*time.Millisecond)
		})
	}
}
