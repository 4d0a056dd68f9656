package pwgatewaycommand

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
)

// closePollInterval is how often a stopping process looks whether connections are left.
const closePollInterval = 20 * time.Millisecond

// connTracker knows the states of the connections of an http.Server. Server.Shutdown can't
// be used while callers have connections open: from then on the server drops each request
// that it reads, without an answer.
type connTracker struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
	// closing holds the connections that drain closes. A request that has arrived on one in
	// the meantime must not be passed on.
	closing map[net.Conn]bool
	// draining is set once connections are closed as they become idle.
	draining bool
	// dropped counts the requests that have arrived on such connections.
	dropped int
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// newConnTracker makes a server, which must not serve yet, track its connections.
func newConnTracker(srv *http.Server) *connTracker {
	t := &connTracker{
		states:  make(map[net.Conn]http.ConnState),
		closing: make(map[net.Conn]bool),
	}
	next, connContext := srv.Handler, srv.ConnContext
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && t.dropIfClosing(c) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(connContext(ctx, c), connKey{}, c)
	}
	srv.ConnState = t.track
	return t
}

// track records the state of a connection.
func (t *connTracker) track(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(t.states, c)
		delete(t.closing, c)
	default:
		t.states[c] = state
		t.closeIfIdle(c)
	}
}

// closeIfIdle closes a connection that has become idle while connections are drained. The
// caller holds mu.
func (t *connTracker) closeIfIdle(c net.Conn) {
	if t.draining && t.states[c] == http.StateIdle {
		t.closing[c] = true
		// The caller may have closed it.
		_ = c.Close()
	}
}

// dropIfClosing reports whether a connection on which a request has arrived is being closed,
// and counts the request as dropped if it is.
func (t *connTracker) dropIfClosing(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closing[c] {
		return false
	}
	t.dropped++
	return true
}

// addStateFields adds to log fields how many connections are open in each state, and how many
// requests were dropped.
func (t *connTracker) addStateFields(f log.Fields) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[http.ConnState]int)
	for _, state := range t.states {
		counts[state]++
	}
	f["unused_left"], f["active_left"], f["idle_left"] = counts[http.StateNew], counts[http.StateActive], counts[http.StateIdle]
	f["requests_dropped"] = t.dropped
}

// drain closes connections as they become idle after a request, until none is left or ctx
// ends. Those that have carried no request yet are left open: their callers are about to
// send one. It returns the number of connections that are left.
func (t *connTracker) drain(ctx context.Context) int {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for {
		n := t.closeIdle()
		if n == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return n
		case <-ticker.C:
		}
	}
}

// closeIdle closes the idle connections, also those that become idle later, and returns the
// number of the others.
func (t *connTracker) closeIdle() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	others := 0
	for c, state := range t.states {
		if state != http.StateIdle {
			others++
		}
		t.closeIfIdle(c)
	}
	return others
}
