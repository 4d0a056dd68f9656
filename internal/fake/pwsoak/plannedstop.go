package pwsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lateCallers is the number of callers that open a connection lateBefore a planned stop and
	// first use it until lateAfter its grace. keptCallers is the number of those that use one
	// from keptBefore the first stop on until it is closed.
	lateCallers = 24
	lateBefore  = 100 * time.Millisecond
	lateAfter   = 200 * time.Millisecond
	keptCallers = 12
	keptBefore  = 600 * time.Millisecond
	// lossSlack is the time after the last byte of a request within which a stopping process
	// may close the connection without an answer, if it has not passed the request on.
	lossSlack = 200 * time.Millisecond
	// earlyPeriod and lastPart excuse a cut answer: the request was sent no later than
	// earlyPeriod after the stop began, and a backend server was still at work on it in the
	// last part of the grace, which is this share of it.
	earlyPeriod = 3 * time.Second
	lastPart    = 1.0 / 6
	// notReadyAfter is the time after which a stopping process must not be ready.
	notReadyAfter = time.Second
	// maxStops is the largest number of entries that are stopped, and of those whose open
	// connections are used.
	maxStops = 8
	// Streams have minEvents to maxEvents, and calls take minWork to maxWork milliseconds.
	minEvents = 3
	maxEvents = 400
	minWork   = 5
	maxWork   = 6000
	// tokensPerEvent is the number of tokens that an event holds at most.
	tokensPerEvent = 12
	// maxBodyPause and maxReadPause bound how long bodies and slow readers take.
	maxBodyPause = 2 * time.Second
	maxReadPause = 1500 * time.Millisecond
	// maxChangePause is the longest time between two changes during planned stops.
	maxChangePause = 500 * time.Millisecond
	// callTimeout is the time that these callers wait for an answer.
	callTimeout = 8 * time.Second
)

// plannedStop is a stop of one entry while nothing else is disturbed. Its time is zero if the
// entry is not stopped.
type plannedStop struct {
	soak    *soak
	entry   *entry
	beganAt time.Time
	grace   time.Duration
}

// checkPlannedWork stops entries in calm, in turn or at once, and starts them again, while
// signals, settings and configurations arrive. Callers go on using the open connections of an
// entry until its process has ended. Each request that it has passed on must get an answer,
// unless the rules excuse that it is cut.
func (s *soak) checkPlannedWork(ctx context.Context) {
	// A crash of a server would excuse answers that are cut.
	s.common.setCrashingPart("")
	s.putConfiguration(longTimeout)
	sleep(ctx, applyTimeout)
	stalled := s.server(modelServers + s.rng.IntN(deskServers))
	stalled.proxy.setStalled(true)
	defer stalled.proxy.setStalled(false)
	beganAt := time.Now().Add(keptBefore + lateBefore)
	stagger := time.Duration(s.rng.IntN(3)) * shutdownGrace / 4
	n := 1 + s.rng.IntN(min(maxStops, len(s.entries)))
	changes, cancel := context.WithTimeout(ctx, time.Duration(n-1)*stagger+shutdownGrace)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, k := range s.rng.Perm(len(s.entries)) {
		e := s.entries[k]
		if i < n {
			p := s.planStop(e, beganAt.Add(time.Duration(i)*stagger), shutdownGrace)
			wg.Go(func() { p.run(ctx) })
		} else if p := s.planStop(e, time.Time{}, 0); i < maxStops {
			wg.Go(func() { p.run(changes) })
		}
	}
	wg.Go(func() { s.changePlans(changes) })
}

// changePlans writes configurations and settings and signals entries that are ready, at
// random.
func (s *soak) changePlans(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 2))
	for ; ctx.Err() == nil; sleep(ctx, time.Duration(rng.Int64N(int64(maxChangePause)))) {
		e := s.entries[rng.IntN(len(s.entries))]
		change := rng.IntN(4)
		if change == 0 {
			s.putConfiguration([]time.Duration{plainTimeout, longTimeout}[rng.IntN(2)])
			continue
		}
		if change < 3 {
			if err := e.writeSettings(shutdownGrace, drainTimeout+time.Duration(rng.IntN(1000))*time.Millisecond); err != nil {
				s.recordViolation("failed to write the settings of entry %d: %v", e.index, err)
			}
		}
		// A process that starts may not handle the signal yet.
		if change > 1 && e.isReady(ctx) {
			s.signalEntry(e, syscall.SIGHUP)
		}
	}
}

// planStop plans the stop of an entry.
func (s *soak) planStop(e *entry, beganAt time.Time, grace time.Duration) *plannedStop {
	p := &plannedStop{
		soak:    s,
		entry:   e,
		beganAt: beganAt,
		grace:   grace,
	}
	e.planned.Store(p)
	return p
}

// run lets callers use the entry from now on and stops it when it is time. If it is not to be
// stopped, they use it until ctx ends.
func (p *plannedStop) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := func(n int, stream uint64, call func(context.Context, *rand.Rand)) {
		for i := range n {
			rng := rand.New(rand.NewPCG(p.soak.opts.Seed, stream+uint64(i+1000*p.entry.index)))
			wg.Go(func() { call(ctx, rng) })
		}
	}
	start(keptCallers, 300, p.runKeptCaller)
	if p.beganAt.IsZero() {
		return
	}
	sleep(ctx, time.Until(p.beganAt.Add(-lateBefore)))
	start(lateCallers, 200, p.runLateCaller)
	p.stop(ctx, rand.New(rand.NewPCG(p.soak.opts.Seed, uint64(400+1000*p.entry.index))))
}

// stop stops the entry when it is time, and starts it again. Further signals reach the
// stopping process.
func (p *plannedStop) stop(ctx context.Context, rng *rand.Rand) {
	sleep(ctx, time.Until(p.beganAt))
	proc := p.entry.cmd.Process
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		time.AfterFunc(time.Duration(rng.Int64N(int64(p.grace))), func() {
			// The process may have ended already.
			_ = proc.Signal(sig)
		})
	}
	time.AfterFunc(notReadyAfter, func() {
		if p.entry.isReady(ctx) {
			p.soak.recordViolation("entry %d is ready %s after the beginning of its planned stop", p.entry.index, notReadyAfter)
		}
	})
	p.soak.restartEntry(ctx, p.entry, syscall.SIGTERM, p.grace)
	if err := p.entry.awaitReady(ctx, startupTimeout); err != nil && ctx.Err() == nil {
		p.soak.recordViolation("%v", err)
	}
}

// dial opens a connection to the entry, which must not have been stopped.
func (p *plannedStop) dial(ctx context.Context) (net.Conn, bool) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", p.entry.callerAddress)
	if err != nil {
		p.soak.recordViolation("entry %d can't be reached before its stop: %v", p.entry.index, err)
		return nil, false
	}
	return c, true
}

// stopCall is a request during a planned stop.
type stopCall struct {
	path string
	// bodyPause is the time between the head and the body, and readPause that between the
	// head of the answer and the rest.
	bodyPause time.Duration
	readPause time.Duration
}

// heavyTailed returns a number from least to most, one in n of which reaches n times the
// least.
func heavyTailed(rng *rand.Rand, least, most float64) int {
	return int(min(most, least/(1-rng.Float64())))
}

// randomCall returns a stream, a call that may run only once, or one on a route that is about
// to be dropped.
func (s *soak) randomCall(rng *rand.Rand) stopCall {
	call := stopCall{}
	switch rng.IntN(6) {
	case 0:
		call.path = fmt.Sprintf("/%s/%d", versionRoute(s.version.Load()), heavyTailed(rng, minWork, maxWork))
	case 1:
		call.path = fmt.Sprintf("/book/%d", heavyTailed(rng, minWork, maxWork))
	default:
		call.path = fmt.Sprintf("/note%s%d", []string{"/", "/", "/", "/", wideStream, silentStream}[rng.IntN(6)], heavyTailed(rng, minEvents, maxEvents))
		if rng.IntN(4) == 0 {
			call.readPause = time.Duration(rng.Int64N(int64(maxReadPause)))
		}
	}
	if rng.IntN(4) == 0 {
		call.bodyPause = time.Duration(rng.Int64N(int64(maxBodyPause)))
	}
	return call
}

// runLateCaller opens a connection, waits, and sends one request.
func (p *plannedStop) runLateCaller(ctx context.Context, rng *rand.Rand) {
	c, ok := p.dial(ctx)
	if !ok {
		return
	}
	defer func() { _ = c.Close() }()
	sleep(ctx, time.Duration(rng.Int64N(int64(lateBefore+p.grace+lateAfter))))
	p.send(ctx, c, bufio.NewReader(c), fmt.Sprintf("late-%016x", rng.Uint64()), p.soak.randomCall(rng))
}

// runKeptCaller sends requests one after the other on one connection until it is closed, half
// of them at the very end of the answer before.
func (p *plannedStop) runKeptCaller(ctx context.Context, rng *rand.Rand) {
	c, ok := p.dial(ctx)
	if !ok {
		return
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for p.send(context.WithoutCancel(ctx), c, br, fmt.Sprintf("kept-%016x", rng.Uint64()), p.soak.randomCall(rng)) && ctx.Err() == nil {
		sleep(ctx, time.Duration(max(0, rng.IntN(20)-10))*time.Millisecond)
	}
}

// send sends a request on an open connection and checks that it is answered. It reports
// whether the connection may carry another one.
func (p *plannedStop) send(ctx context.Context, c net.Conn, br *bufio.Reader, id string, call stopCall) bool {
	body, headers := "body of "+id, ""
	if strings.HasPrefix(call.path, "/note/") {
		headers = fmt.Sprintf("X-Token-Counts: 3000,%d\r\n", tokensPerEvent*maxEvents)
	}
	p.soak.runs.recordOrigin(id, p.entry.index)
	sentAt := time.Now()
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n%sContent-Length: %d\r\n\r\n",
		call.path, id, callTimeout.Milliseconds(), headers, len(body)); err != nil {
		return false // closed as unused
	}
	sleep(ctx, call.bodyPause)
	if _, err := io.WriteString(c, body); err != nil {
		return false
	}
	allSentAt := time.Now()
	status, keep, got := 0, false, ""
	resp, err := http.ReadResponse(br, nil)
	if err == nil {
		status, keep = resp.StatusCode, !resp.Close
		sleep(ctx, call.readPause)
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		got = string(raw)
		_ = resp.Body.Close()
	}
	if ctx.Err() == nil {
		p.checkAnswered(call.path, id, status, sentAt, allSentAt, err)
		if bodyTime := allSentAt.Sub(sentAt); status == http.StatusRequestTimeout && bodyTime < plainTimeout {
			p.soak.recordViolation("%s %s was answered with 408 by entry %d, though its body was sent in %s", call.path, id, p.entry.index, bodyTime)
		}
		p.soak.checkResponse(call.path, id, body, status, got, err, false)
	}
	return keep && err == nil
}

// checkAnswered checks that a request to the entry, which was sent between two times, has just
// got a whole answer, unless the rules excuse that it has not.
func (p *plannedStop) checkAnswered(path, id string, status int, sentAt, allSentAt time.Time, err error) {
	if err == nil {
		return
	}
	p.soak.mu.Lock()
	p.soak.report.Cut++
	p.soak.mu.Unlock()
	runs, now := p.soak.runs.count(id), time.Now()
	lastAt := p.beganAt.Add(p.grace - time.Duration(lastPart*float64(p.grace)))
	switch {
	case runs == 0 && now.Sub(allSentAt) <= lossSlack:
		// The request has crossed the end of its connection.
	case now.Sub(sentAt) >= callTimeout:
	case runs > 0 && allSentAt.Before(p.beganAt.Add(earlyPeriod)) && now.After(lastAt) && p.soak.runs.workedAt(id, lastAt):
	default:
		p.soak.recordViolation("%s %s, sent %s after the beginning of the planned stop of entry %d (zero if %t), ended after %s with status %d, no whole answer and %d runs: %v",
			path, id, allSentAt.Sub(p.beganAt).Round(time.Millisecond), p.entry.index, p.beganAt.IsZero(), now.Sub(allSentAt).Round(time.Millisecond), status, runs, err)
	}
}
