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
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
)

const (
	// streamEvents is the number of events of a whole stream.
	streamEvents = 8
	// eventPause is the time between two events.
	eventPause = 15 * time.Millisecond
)

// ledger records what ran at all backend servers.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// backend is a stand-in of one backend server behind a fault proxy.
type backend struct {
	id      string
	service string
	zone    string
	address string
	ledger  *ledger
	store   *pwfakeplatform.Store
	srv     *http.Server
	proxy   *proxy
	born    int64
}

// startBackend starts a server and lists it.
func startBackend(ctx context.Context, id, service, zone string, l *ledger, s *pwfakeplatform.Store) (*backend, error) {
	b := &backend{
		id:      id,
		service: service,
		zone:    zone,
		ledger:  l,
		store:   s,
		born:    time.Now().UnixMilli(),
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
		// Serve always ends with an error; the end is wanted.
		_ = b.srv.Serve(lis)
	}()
	if b.proxy, err = startProxy(ctx, lis.Addr().String()); err != nil {
		return nil, err
	}
	b.address = b.proxy.address()
	b.list("ready")
	return b, nil
}

func (b *backend) list(state string) {
	b.store.Put("servers", b.id, map[string]any{
		"service":           b.service,
		"address":           b.address,
		"zone":              b.zone,
		"slots":             16,
		"state":             state,
		"cold-remaining-ms": 0,
		"sequence":          1,
		"born":              b.born,
	})
}

// crash ends the server at once; its entry lapses later.
func (b *backend) crash() {
	b.proxy.close()
	// Requests in flight are meant to be cut.
	_ = b.srv.Close()
}

// leave takes the server away as the platform announces it.
func (b *backend) leave() {
	b.list("draining")
}

// ServeHTTP answers a request.
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
	b.ledger.ran(id)
	h.Set("X-Response-Seal", "seal."+id)
	if r.Header.Get("X-Token-Counts") != "" {
		b.stream(w, r)
		return
	}
	time.Sleep(time.Duration(5+rand.IntN(30)) * time.Millisecond)
	// The caller checks the answer.
	_, _ = fmt.Fprintf(w, "%s %s %s", id, r.URL.Path, body)
}

func (b *backend) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= streamEvents; i++ {
		time.Sleep(eventPause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, r.Header.Get("X-Attempt-Id")); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// proxy stands between the entries and one backend server.
type proxy struct {
	lis    net.Listener
	target string

	mu     sync.Mutex
	conns  map[net.Conn]bool
	delay  time.Duration
	silent bool
	closed bool
}

// listen opens a port on loopback.
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

func (p *proxy) run(ctx context.Context, near net.Conn) {
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp4", p.target)
	if err != nil {
		// The server is gone; so is this connection.
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.pump(far, near, done)
	go p.pump(near, far, done)
	<-done
	p.drop(near, far)
}

func (p *proxy) pump(to, from net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for p.holds() {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(p.pause())
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) holds() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent && !p.closed
}

func (p *proxy) pause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

func (p *proxy) set(delay time.Duration, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.silent = delay, silent
}

func (p *proxy) drop(conns ...net.Conn) {
	for _, c := range conns {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		// A connection that is closed already stays so.
		_ = c.Close()
	}
}

// reset ends all connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// Without it the peer sees an orderly end, which is a fault as well.
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
	p.reset()
}

// configuration is what the operator writes.
func configuration(version int64, services []string) json.RawMessage {
	routes := make([]map[string]any, 0, 3)
	add := func(prefix, kind, service string, timeout int, more map[string]any) {
		r := map[string]any{
			"name": prefix, "host": "soak.example", "prefix": "/" + prefix + "/", "kind": kind, "service": service,
			"timeout-ms": timeout, "target-latency-ms": 300, "priority": 1, "attempts": 2,
		}
		for k, v := range more {
			r[k] = v
		}
		routes = append(routes, r)
	}
	add("note", "streaming", services[0], 8000, map[string]any{"resumable": true, "target-gap-ms": 250})
	add("book", "unsafe", services[1], 3000, nil)
	add("view", "safe", services[1], 3000, nil)
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
