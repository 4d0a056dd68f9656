package pwsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
)

const (
	// streamEvents is the number of events in a complete stream, unless its path ends with
	// another number.
	streamEvents = 8
	// eventPause is the time between two events of a stream.
	eventPause = 15 * time.Millisecond
	// silentStream and wideStream in a path ask for a stream that is silent for silence
	// half-way, and for one whose events have wideEventBytes.
	silentStream   = "/silent/"
	wideStream     = "/wide/"
	silence        = time.Second
	wideEventBytes = 4 << 10
	// unframedOneIn is the number of streams of which one ends with its connection.
	unframedOneIn = 10
)

// runCounter counts how often each request ran, by attempt id, over all backend
// servers, and holds where and when callers sent it.
type runCounter struct {
	mu      sync.Mutex
	counts  map[string]int
	origins map[string]origin
	// running counts the runs of a request that have not ended, endedAt holds when its last
	// run ended.
	running map[string]int
	endedAt map[string]time.Time
}

func newRunCounter() *runCounter {
	return &runCounter{
		counts:  make(map[string]int),
		origins: make(map[string]origin),
		running: make(map[string]int),
		endedAt: make(map[string]time.Time),
	}
}

// origin is the index of the entry that a caller sent a request to, and when.
type origin struct {
	entry  int
	sentAt time.Time
}

func (c *runCounter) recordOrigin(id string, entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.origins[id] = origin{
		entry:  entry,
		sentAt: time.Now(),
	}
}

func (c *runCounter) origin(id string) (entry int, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.origins[id]
	return o.entry, o.sentAt
}

// begin counts a run of a request and returns a function that records its end.
func (c *runCounter) begin(id string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[id]++
	c.running[id]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.running[id]--
		c.endedAt[id] = time.Now()
	}
}

// workedAt reports whether a backend server was still at work on a request at a time. If that
// is still to come, it was not.
func (c *runCounter) workedAt(id string, t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().After(t) && (c.running[id] > 0 || c.endedAt[id].After(t))
}

func (c *runCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[id]
}

// conditions are what the backend servers of a run have in common: a part of prompts
// under which they crash, and what they have to do with it.
type conditions struct {
	mu sync.Mutex
	// crashingPart is the part, or "".
	crashingPart string
	// reached holds when requests with the part reached servers.
	reached []time.Time
	// onCrash is called when a server has crashed under the part.
	onCrash func(b *backend)
}

// reach records that a request reached a server and reports whether it crashes it.
func (c *conditions) reach(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashingPart == "" || !strings.Contains(r.Header.Get("X-Prompt-Prefix"), c.crashingPart+":") {
		return false
	}
	c.reached = append(c.reached, time.Now())
	return true
}

func (c *conditions) setCrashingPart(part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashingPart = part
}

func (c *conditions) part() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashingPart
}

// reachedSince counts the requests with the part that reached servers since a time.
func (c *conditions) reachedSince(from time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.reached {
		if at.After(from) {
			n++
		}
	}
	return n
}

// backend is a fake backend server behind a fault-injecting proxy.
type backend struct {
	id        string
	service   string
	zone      string
	address   string
	runs      *runCounter
	store     *pwfakeplatform.Store
	srv       *http.Server
	proxy     *proxy
	startedMS int64
	common    *conditions

	mu sync.Mutex
	// limit is the number of requests a second that the server states to take, or 0 for
	// no limit. arrivals holds when requests reached it while it stated one.
	limit    float64
	arrivals []time.Time
	// leaving makes the server state that it leaves, rest that it wants no requests for so
	// long from an entry, all of whose requests it then rejects.
	leaving bool
	rest    time.Duration
	// told holds what the server stated to each entry, by the entry's index.
	told map[int]*statement
}

// statement is what a server stated to one entry, and what it got from it since.
type statement struct {
	// leavingAt is when an answer that the server leaves was first complete. Requests that
	// callers sent later than drainTimeout after it count in late.
	leavingAt time.Time
	late      int
	// restAt and restUntil bound the rest. Requests that arrive within it, but restGrace
	// after its beginning, count in early.
	restAt    time.Time
	restUntil time.Time
	early     int
}

// startBackend starts a backend server and its proxy, and publishes the server as
// ready in the platform's store.
func startBackend(ctx context.Context, id, service, zone string, runs *runCounter, store *pwfakeplatform.Store, common *conditions) (*backend, error) {
	b := &backend{
		common:    common,
		id:        id,
		service:   service,
		zone:      zone,
		runs:      runs,
		store:     store,
		startedMS: time.Now().UnixMilli(),
		told:      make(map[int]*statement),
	}
	lis, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	b.srv = &http.Server{
		Handler:           b,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() {
		// Serve always returns an error; here it returns after a deliberate close.
		_ = b.srv.Serve(lis)
	}()
	if b.proxy, err = startProxy(ctx, lis.Addr().String()); err != nil {
		return nil, err
	}
	b.address = b.proxy.address()
	b.publishState("ready")
	return b, nil
}

// publishState writes the server's row, with the given state, to the platform's store.
func (b *backend) publishState(state string) {
	b.store.Put("servers", b.id, map[string]any{
		"service":           b.service,
		"address":           b.address,
		"zone":              b.zone,
		"slots":             16,
		"state":             state,
		"cold-remaining-ms": 0,
		"sequence":          1,
		"born":              b.startedMS,
	})
}

// crash stops the server immediately. Its row stays in the platform's store until
// the caller removes it.
func (b *backend) crash() {
	b.proxy.close()
	// Close, unlike Shutdown, cuts the requests in flight, as a crash does.
	_ = b.srv.Close()
}

// startDraining publishes that the server is draining, which the platform does before
// it takes a server away.
func (b *backend) startDraining() {
	b.setLeaving()
	b.publishState("draining")
}

// setLeaving makes the server state in its answers that it leaves.
func (b *backend) setLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// setRest makes the server reject requests and ask for rest, or serve again if it is 0.
func (b *backend) setRest(rest time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rest = rest
	clear(b.told)
}

// breaches returns the largest numbers of requests that one entry sent although the server
// had stated that it leaves, and during its rest.
func (b *backend) breaches() (late, early int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, st := range b.told {
		late, early = max(late, st.late), max(early, st.early)
	}
	return late, early
}

// countAndReject counts a request against what the server has stated to the entry that
// sent it. It rejects the request, and returns true, if the server wants rest.
func (b *backend) countAndReject(w http.ResponseWriter, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, sentAt := b.runs.origin(id)
	st := b.told[entry]
	if st == nil {
		st = &statement{}
		b.told[entry] = st
	}
	now := time.Now()
	if !st.leavingAt.IsZero() && sentAt.Sub(st.leavingAt) > drainTimeout {
		st.late++
	}
	if now.Before(st.restUntil) && now.Sub(st.restAt) > restGrace {
		st.early++
	}
	if b.rest <= 0 {
		return false
	}
	if !now.Before(st.restUntil) {
		st.restAt, st.early = now, 0
	}
	st.restUntil = now.Add(b.rest)
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", fmt.Sprintf("%.3f", b.rest.Seconds()))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// recordLeft records that an answer is complete which stated that the server leaves.
func (b *backend) recordLeft(h http.Header, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, _ := b.runs.origin(id)
	if st := b.told[entry]; h.Get("Server-Leaving") != "" && st != nil && st.leavingAt.IsZero() {
		st.leavingAt = time.Now()
	}
}

// ServeHTTP rejects a request meant for another instance with 421; otherwise it counts
// the run and responds with the attempt id, the path and the body, or with a stream.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	if r.URL.Path == "/v1/order" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != b.id {
		h.Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.countAndReject(w, id) {
		return
	}
	defer b.runs.begin(id)()
	b.addStatements(h)
	defer b.recordLeft(h, id)
	h.Set("X-Response-Seal", "seal."+id)
	if r.Header.Get("X-Token-Counts") != "" {
		b.serveStream(w, r)
		return
	}
	time.Sleep(time.Duration(lastNumber(r.URL.Path, 5+rand.IntN(30))) * time.Millisecond)
	// A failed write cuts the response; checkResponse detects that.
	_, _ = fmt.Fprintf(w, "%s %s %s", id, r.URL.Path, body)
}

// setLimit makes the server state a limit, or none if it is 0.
func (b *backend) setLimit(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit, b.arrivals = perSecond, nil
}

// addStatements adds to the headers of an answer what the server states: that it leaves, and
// its limit, for which it records the arrival.
func (b *backend) addStatements(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		h.Set("Server-Leaving", "1")
	}
	if b.limit > 0 {
		h.Set("Server-Limit", fmt.Sprint(b.limit))
		b.arrivals = append(b.arrivals, time.Now())
	}
}

// arrivedSince counts the requests that reached the server since a time and after it had
// stated its limit.
func (b *backend) arrivedSince(from time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, at := range b.arrivals {
		if at.After(from) {
			n++
		}
	}
	return n
}

// lastNumber returns the number with which a path ends, which is that of the events of a
// stream, or the milliseconds that a call takes.
func lastNumber(path string, otherwise int) int {
	if n, err := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:]); err == nil {
		return n
	}
	return otherwise
}

// event returns an event of the stream that answers a request.
func event(path, id string, i int) string {
	if strings.Contains(path, wideStream) {
		id += strings.Repeat(".", wideEventBytes)
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, id)
}

// serveStream sends the events after Last-Event-Id, up to the last one. Some streams have
// no chunks and end with their connection, some are silent for a while half-way. The server
// crashes instead of the first event if the prompt has the crashing part.
func (b *backend) serveStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	if rand.IntN(unframedOneIn) == 0 {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if b.common.reach(r) {
		time.Sleep(eventPause)
		b.crash()
		b.common.onCrash(b)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	n := lastNumber(r.URL.Path, streamEvents)
	for i := last + 1; i <= n; i++ {
		time.Sleep(eventPause)
		if i == n/2 && strings.Contains(r.URL.Path, silentStream) {
			time.Sleep(silence)
		}
		if _, err := io.WriteString(w, event(r.URL.Path, r.Header.Get("X-Attempt-Id"), i)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// proxy relays connections from the entries to one backend server, and can stall or reset
// them, or replace responses.
type proxy struct {
	lis    net.Listener
	target string

	mu      sync.Mutex
	conns   map[net.Conn]bool
	stalled bool
	// endless replaces responses by a head without an end. mostEndless is the largest
	// number of bytes that one connection took of it.
	endless     bool
	mostEndless int64
	closed      bool
}

// listen listens on a free loopback port.
func listen(ctx context.Context) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp4", "127.0.0.1:0")
}

func startProxy(ctx context.Context, target string) (*proxy, error) {
	lis, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		lis:    lis,
		target: target,
		conns:  make(map[net.Conn]bool),
	}
	go p.loop(ctx)
	return p, nil
}

func (p *proxy) address() string { return p.lis.Addr().String() }

func (p *proxy) loop(ctx context.Context) {
	for {
		c, err := p.lis.Accept()
		if err != nil {
			return
		}
		go p.run(ctx, c)
	}
}

func (p *proxy) run(ctx context.Context, clientConn net.Conn) {
	serverConn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", p.target)
	if err != nil {
		// The server has stopped: close the client's connection too.
		_ = clientConn.Close()
		return
	}
	p.mu.Lock()
	p.conns[clientConn], p.conns[serverConn] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.relayBytes(serverConn, clientConn, false, done)
	go p.relayBytes(clientConn, serverConn, true, done)
	<-done
	p.closeConns(clientConn, serverConn)
}

func (p *proxy) relayBytes(to, from net.Conn, responses bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for p.isStalled() {
			time.Sleep(5 * time.Millisecond)
		}
		if responses && p.isEndless() {
			p.writeEndless(to)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) isStalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalled && !p.closed
}

func (p *proxy) isEndless() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endless && !p.closed
}

func (p *proxy) setEndless(endless bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endless = endless
}

// writeEndless writes a head without an end until the connection is closed.
func (p *proxy) writeEndless(to net.Conn) {
	next := "HTTP/1.1 200 OK\r\n"
	filler := strings.Repeat("X-Filler: 0123456789abcdef\r\n", 512)
	var total int64
	for {
		n, err := io.WriteString(to, next)
		total += int64(n)
		p.mu.Lock()
		p.mostEndless = max(p.mostEndless, total)
		p.mu.Unlock()
		if err != nil {
			return
		}
		next = filler
	}
}

// takenEndless returns the largest number of bytes that one connection took of a head
// without an end.
func (p *proxy) takenEndless() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mostEndless
}

func (p *proxy) setStalled(stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = stalled
}

func (p *proxy) closeConns(conns ...net.Conn) {
	for _, c := range conns {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		// The connection may be closed already.
		_ = c.Close()
	}
}

// resetConns closes all connections with a TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// A linger time of 0 makes Close send a reset. If this fails, the peer sees an
			// orderly close, which is a fault as well.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.lis.Close()
	p.resetConns()
}

// configuration returns the operator's configuration: a resumable streaming route to
// the first service, and an unsafe and a safe route to the second. A further route is
// only in this version.
func configuration(version int64, plainTimeout time.Duration) json.RawMessage {
	services := []string{"model", "desk"}
	routes := make([]map[string]any, 0, 4)
	addRoute := func(prefix, kind, service string, timeout int, extra map[string]any) {
		r := map[string]any{
			"name": prefix, "host": "soak.example", "prefix": "/" + prefix + "/", "kind": kind, "service": service,
			"timeout-ms": timeout, "target-latency-ms": 300, "priority": 1, "attempts": 2,
		}
		for k, v := range extra {
			r[k] = v
		}
		routes = append(routes, r)
	}
	addRoute("note", "streaming", services[0], 8000, map[string]any{"resumable": true, "target-gap-ms": 250})
	addRoute("book", "unsafe", services[1], int(plainTimeout.Milliseconds()), nil)
	addRoute("view", "safe", services[1], int(plainTimeout.Milliseconds()), nil)
	addRoute(versionRoute(version), "safe", services[1], int(plainTimeout.Milliseconds()), nil)
	raw, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": services[0], "engine": map[string]any{
				"slots": 16, "kv-cache-tokens": 232000, "stride": 43, "step_ms": 1.02, "per_seq_ms": 0.002,
				"context_per_k": 0.004, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048,
			}},
			{"name": services[1]},
		},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 10000},
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// versionRoute returns the name of the route that only one version of the configuration has.
func versionRoute(version int64) string { return fmt.Sprint("v", version) }
