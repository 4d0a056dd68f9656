package pwsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lateCallers is the number of callers that open a connection before a planned stop and
	// first use it in its grace. keptCallers is the number of those that use one before the
	// stop and go on until it is closed.
	lateCallers = 24
	keptCallers = 12
	// lossSlack is the time after the last byte of a request within which a stopping process
	// may close the connection without an answer, if it has not passed the request on.
	lossSlack = 200 * time.Millisecond
	// earlyPeriod and lastPart excuse a cut answer: the request was sent no later than
	// earlyPeriod after the stop began, and a backend server was still at work on it in the
	// last part of the grace.
	earlyPeriod = 3 * time.Second
	lastPart    = shutdownGrace / 6
	// maxStopEvents is the number of events of the longest streams during a planned stop, and
	// maxShortEvents that of all but one in longOneIn.
	maxStopEvents  = 280
	maxShortEvents = 20
	longOneIn      = 6
	// tokensPerEvent is the number of tokens that an event holds at most.
	tokensPerEvent = 12
	// callTimeout is the time that these callers wait for an answer.
	callTimeout = 8 * time.Second
)

// plannedStop is a stop of one entry while nothing else is disturbed.
type plannedStop struct {
	soak    *soak
	entry   *entry
	beganAt time.Time
}

// checkPlannedStop stops an entry in calm and starts it again. Callers go on using its open
// connections until the process has ended. Each request that it has passed on must get an
// answer, unless the rules excuse that it is cut.
func (s *soak) checkPlannedStop(ctx context.Context) {
	const keptBefore, lateBefore = 600 * time.Millisecond, 100 * time.Millisecond
	s.store.Put("op", "config", configuration(s.version.Add(1), longTimeout))
	sleep(ctx, applyTimeout)
	p := s.planStop(keptBefore + lateBefore)
	stalled := s.server(modelServers + s.rng.IntN(deskServers))
	stalled.proxy.setStalled(true)
	defer stalled.proxy.setStalled(false)
	var wg sync.WaitGroup
	start := func(n int, seed uint64, run func(context.Context, *rand.Rand)) {
		for i := range n {
			wg.Add(1)
			go func() {
				defer wg.Done()
				run(ctx, rand.New(rand.NewPCG(s.opts.Seed, seed+uint64(i))))
			}()
		}
	}
	start(keptCallers, 300, p.runKeptCaller)
	sleep(ctx, keptBefore)
	start(lateCallers, 200, p.runLateCaller)
	p.stop(ctx)
	wg.Wait()
}

// planStop plans the stop of a random entry.
func (s *soak) planStop(after time.Duration) *plannedStop {
	p := &plannedStop{
		soak:    s,
		entry:   s.entries[s.rng.IntN(len(s.entries))],
		beganAt: time.Now().Add(after),
	}
	s.stopping.Store(p)
	return p
}

// stop stops the entry when it is time, and starts it again.
func (p *plannedStop) stop(ctx context.Context) {
	sleep(ctx, time.Until(p.beganAt))
	p.soak.restartEntry(ctx, p.entry, syscall.SIGTERM)
	p.soak.stopping.Store(nil)
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
	// events is the number of events of a stream, or 0 for a call that may run only once.
	events int
	// bodyPause is the time between the head and the body.
	bodyPause time.Duration
}

// randomCall returns a call that may run only once or a stream, which is most often short.
func randomCall(rng *rand.Rand) stopCall {
	switch {
	case rng.IntN(3) == 0:
		return stopCall{}
	case rng.IntN(longOneIn) > 0:
		return stopCall{
			events: 1 + rng.IntN(maxShortEvents),
		}
	default:
		return stopCall{
			events: 1 + rng.IntN(maxStopEvents),
		}
	}
}

// runLateCaller opens a connection, waits, and sends one request, the body of which may take
// a while.
func (p *plannedStop) runLateCaller(ctx context.Context, rng *rand.Rand) {
	c, ok := p.dial(ctx)
	if !ok {
		return
	}
	defer func() { _ = c.Close() }()
	sleep(ctx, time.Duration(rng.Int64N(int64(shutdownGrace))))
	call := randomCall(rng)
	if rng.IntN(2) == 0 {
		call.bodyPause = time.Duration(rng.Int64N(int64(time.Second)))
	}
	p.send(ctx, c, bufio.NewReader(c), fmt.Sprintf("late-%016x", rng.Uint64()), call)
}

// runKeptCaller sends requests one after the other on one connection until it is closed.
func (p *plannedStop) runKeptCaller(ctx context.Context, rng *rand.Rand) {
	c, ok := p.dial(ctx)
	if !ok {
		return
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for p.send(ctx, c, br, fmt.Sprintf("kept-%016x", rng.Uint64()), randomCall(rng)) && ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.IntN(10))*time.Millisecond)
	}
}

// send sends a request on an open connection and checks that it is answered. It reports
// whether the connection may carry another one.
func (p *plannedStop) send(ctx context.Context, c net.Conn, br *bufio.Reader, id string, call stopCall) bool {
	body := "body of " + id
	route, path, headers := "book", "/book/x", ""
	if call.events > 0 {
		route, path = "note", fmt.Sprintf("/note/%d", call.events)
		headers = fmt.Sprintf("X-Token-Counts: 3000,%d\r\n", tokensPerEvent*maxStopEvents)
	}
	p.soak.runs.recordOrigin(id, p.entry.index)
	sentAt := time.Now()
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n%sContent-Length: %d\r\n\r\n",
		path, id, callTimeout.Milliseconds(), headers, len(body)); err != nil {
		return false // closed as unused
	}
	sleep(ctx, call.bodyPause)
	if _, err := io.WriteString(c, body); err != nil {
		return false
	}
	status, keep := 0, false
	resp, err := http.ReadResponse(br, nil)
	if err == nil {
		status, keep = resp.StatusCode, !resp.Close
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if ctx.Err() == nil {
		p.checkAnswered(route, id, status, sentAt, time.Since(sentAt)-call.bodyPause, err)
	}
	return keep && err == nil
}

// checkAnswered checks that a request to the entry, the last byte of which was sent some time
// ago, has got a whole answer, unless the rules excuse that it has not.
func (p *plannedStop) checkAnswered(route, id string, status int, sentAt time.Time, waited time.Duration, err error) {
	if err == nil {
		return
	}
	runs := p.soak.runs.count(id)
	switch {
	case runs == 0 && waited <= lossSlack:
		// The request has crossed the end of its connection.
	case waited >= callTimeout:
	case runs > 0 && sentAt.Before(p.beganAt.Add(earlyPeriod)) && p.soak.runs.workedAt(id, p.beganAt.Add(shutdownGrace-lastPart)):
	default:
		p.soak.recordViolation("%s %s, sent %s after the beginning of the planned stop of entry %d, ended after %s with status %d, no whole answer and %d runs: %v",
			route, id, sentAt.Sub(p.beganAt).Round(time.Millisecond), p.entry.index, waited.Round(time.Millisecond), status, runs, err)
	}
}
