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
	// first use it in its grace.
	lateCallers = 12
	// lossSlack is the time after the last byte of a request within which a stopping process
	// may close the connection without an answer, if it has not passed the request on.
	lossSlack = 200 * time.Millisecond
)

// plannedStop is a stop of one entry while nothing else is disturbed.
type plannedStop struct {
	soak  *soak
	entry *entry
}

// checkPlannedStop stops an entry in calm and starts it again. Callers go on using its open
// connections until the process has ended. Each request that it has passed on must get an
// answer.
func (s *soak) checkPlannedStop(ctx context.Context) {
	p := &plannedStop{
		soak:  s,
		entry: s.entries[s.rng.IntN(len(s.entries))],
	}
	s.store.Put("op", "config", configuration(s.version.Add(1), longTimeout))
	sleep(ctx, applyTimeout)
	s.stopping.Store(p.entry)
	defer s.stopping.Store(nil)
	stalled := s.server(modelServers + s.rng.IntN(deskServers))
	stalled.proxy.setStalled(true)
	defer stalled.proxy.setStalled(false)
	var wg sync.WaitGroup
	for i := range lateCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.runLateCaller(ctx, rand.New(rand.NewPCG(s.opts.Seed, uint64(200+i))))
		}()
	}
	sleep(ctx, 100*time.Millisecond)
	s.restartEntry(ctx, p.entry, syscall.SIGTERM)
	wg.Wait()
}

// runLateCaller opens a connection, waits, and sends one request, the body of which may take
// a while.
func (p *plannedStop) runLateCaller(ctx context.Context, rng *rand.Rand) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", p.entry.callerAddress)
	if err != nil {
		p.soak.recordViolation("entry %d can't be reached before its stop: %v", p.entry.index, err)
		return
	}
	defer func() { _ = c.Close() }()
	sleep(ctx, time.Duration(rng.Int64N(int64(shutdownGrace))))
	id := fmt.Sprintf("late-%016x", rng.Uint64())
	body := "body of " + id
	p.soak.runs.recordOrigin(id, p.entry.index)
	if _, err := fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: 8000\r\nContent-Length: %d\r\n\r\n", id, len(body)); err != nil {
		return // closed as unused
	}
	if rng.IntN(2) == 0 {
		sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
	}
	if _, err := io.WriteString(c, body); err != nil {
		return
	}
	sentAt := time.Now()
	status := 0
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if ctx.Err() == nil {
		p.soak.checkAnswered(p.entry, "book", id, status, sentAt, err)
	}
}

// checkAnswered checks that a request to an entry in its planned stop got an answer, unless
// the entry closed its connection at once and did not pass it on.
func (s *soak) checkAnswered(e *entry, route, id string, status int, sentAt time.Time, err error) {
	if err == nil || s.stopping.Load() != e {
		return
	}
	waited, runs := time.Since(sentAt), s.runs.count(id)
	switch {
	case status != 0 && route == "note":
		// A stream that lasts longer than the grace is cut, and can be resumed.
	case runs > 0 || waited > lossSlack:
		s.recordViolation("%s %s: a planned stop of entry %d ended the request after %s without an answer, and %d runs: %v",
			route, id, e.index, waited.Round(time.Millisecond), runs, err)
	}
}
