package pwgateway_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/platform"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwgateway"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwupstream"
)

const (
	// smallMachineBytes is the memory of a small machine.
	smallMachineBytes = 136 << 20
	// smallSocketBytes is a small send buffer, so that a write blocks after few bytes.
	smallSocketBytes = 4 << 10
	// chunked stands for the size of a body that is sent in chunks.
	chunked = -1
)

// loopback is a gateway on the wall clock with TCP connections to its callers and servers.
type loopback struct {
	gateway *pwgateway.Gateway
	address string
	mu      sync.Mutex
	log     bytes.Buffer
}

// Write writes a line of the gateway's log.
func (l *loopback) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Write(p)
}

// count returns the number of times that the log holds a text.
func (l *loopback) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.log.String(), text)
}

// lines returns the lines of the log that hold a text.
func (l *loopback) lines(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(strings.Split(l.log.String(), "\n"), func(line string) bool { return !strings.Contains(line, text) })
}

// longestDelay returns the longest time by which a sleep was late until stop is closed.
func longestDelay(stop <-chan struct{}) time.Duration {
	const interval = 5 * time.Millisecond
	var longest time.Duration
	for {
		sleptAt := time.Now()
		select {
		case <-stop:
			return longest
		case <-time.After(interval):
			longest = max(longest, time.Since(sleptAt)-interval)
		}
	}
}

// newLoopback starts a gateway on a small machine in front of a server for each of the
// handlers, whose keys begin with the name of their service.
func newLoopback(t *testing.T, policy pwgateway.Policy, handlers map[string]http.HandlerFunc) *loopback {
	t.Helper()
	l := &loopback{}
	l.gateway = pwgateway.New(pwgateway.Config{
		Deployment: pwdeployment.Deployment{
			MemoryBytes: smallMachineBytes,
			Bounds: pwdeployment.Bounds{
				RetryWindow: 10 * time.Second,
				RetrySlack:  100,
			},
		},
		Codec:  platform.NewCodec(),
		Policy: policy,
		Upstream: pwupstream.Config{
			// Connecting is not what these tests are about, and takes long beside other load.
			DialTimeout: 10 * time.Second,
		},
	}, pwobserve.New(l, "", ""))
	large := engine
	large.Slots = 1000
	spec := pwcatalog.Spec{
		Version: 1,
		Routes: []pwcatalog.Route{
			newRoute("note", pwcatalog.Streaming, "model"),
			newRoute("book", pwcatalog.Unsafe, "desk"),
		},
		Services: []pwcatalog.Service{{
			Name:   "model",
			Engine: &large,
		}, {
			Name: "desk",
		}},
	}
	for _, key := range []string{"k1", "k2"} {
		spec.Workspaces = append(spec.Workspaces, pwcatalog.WorkspaceSpec{
			Workspace: pwcatalog.Workspace{
				Name: "workspace of " + key,
			},
			Keys: []string{key},
		})
	}
	l.gateway.SetCatalog(pwcatalog.New(spec))
	for id, h := range handlers {
		srv := httptest.NewUnstartedServer(h)
		l.address = start(t, srv)
		service, _, _ := strings.Cut(id, "-")
		l.gateway.ApplyServers([]pwcontrol.Item[pwcatalog.BackendServer]{{
			Key: id,
			Value: pwcatalog.BackendServer{
				ID:      id,
				Service: service,
				Address: l.address,
			},
		}}, time.Time{})
	}
	srv := httptest.NewUnstartedServer(l.gateway)
	srv.Config.ConnContext = pwgateway.WithCallerConn
	l.address = start(t, srv)
	go l.gateway.Run(t.Context())
	return l
}

// start starts a server with small send buffers and returns its address.
func start(t *testing.T, srv *httptest.Server) string {
	t.Helper()
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	srv.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = c.(*net.TCPConn).SetWriteBuffer(smallSocketBytes)
		}
	}
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String()
}

// open sends the head of a request on a new connection.
func (l *loopback) open(t *testing.T, id, key, path, proto string, timeout time.Duration, size int) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", l.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(c) })
	length := fmt.Sprintf("Content-Length: %d", size)
	if size == chunked {
		length = "Transfer-Encoding: chunked"
	}
	if _, err := fmt.Fprintf(c, "POST %s %s\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n"+
		"X-Token-Counts: 1000,100\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", path, proto, id, timeout.Milliseconds(), key, length); err != nil {
		t.Fatal(err)
	}
	return c
}

// finish sends a body and reads the response.
func finish(c net.Conn, body string) (status int, answer string, err error) {
	if err := c.SetDeadline(time.Now().Add(12 * time.Second)); err != nil {
		return 0, "", err
	}
	if _, err := io.WriteString(c, body); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// bookings answers short requests.
func bookings(w http.ResponseWriter, r *http.Request) {
	signed(w, r)
	_, _ = io.WriteString(w, "booked")
}

// signed sets the headers of a response to a request.
func signed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Seal", "seal")
}

// largeEvents streams large events until its caller leaves.
func largeEvents(running *atomic.Int64, count int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		signed(w, r)
		for i := 1; i <= count && r.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 16<<10)); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// Load pattern: hundreds of callers stop reading their streams. On a machine with 136 MB, the
// streams are ended and free their servers long before the deadline, no caller takes what it
// has for a whole stream, no server is blamed, and others are served as before.
func TestCallersThatStopReading(t *testing.T) {
	const unreadTimeout = 3 * time.Second
	var running atomic.Int64
	l := newLoopback(t, pwgateway.Policy{
		SlowReaders: pwgateway.SlowReaders{
			UnreadTimeout: unreadTimeout,
		},
	}, map[string]http.HandlerFunc{
		"model-1": largeEvents(&running, 1000),
		"model-2": largeEvents(&running, 1000),
		"desk-1":  bookings,
	})
	startedAt := time.Now()
	conns := make([]net.Conn, 300)
	for i := range conns {
		// Every other one knows no chunks.
		conns[i] = l.open(t, fmt.Sprintf("a%d", i), "k1", "/note/1", fmt.Sprintf("HTTP/1.%d", i%2), 10*time.Second, 0)
	}
	var memory uint64
	var slowest time.Duration
	stop := make(chan struct{})
	delays := make(chan time.Duration, 1)
	go func() { delays <- longestDelay(stop) }()
	for i := 0; running.Load() > 0 || i < 5; i++ {
		if time.Since(startedAt) > 8*time.Second {
			t.Fatalf("%d streams still run at their servers", running.Load())
		}
		time.Sleep(100 * time.Millisecond)
		sentAt := time.Now()
		c := l.open(t, fmt.Sprintf("b%d", i), "k2", "/book/1", "HTTP/1.1", time.Second, 0)
		if status, _, err := finish(c, ""); status != http.StatusOK || err != nil {
			t.Errorf("another caller got status %d with %v after %s: %q", status, err, time.Since(sentAt), l.lines(fmt.Sprintf(`"b%d"`, i)))
		}
		slowest = max(slowest, time.Since(sentAt))
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		memory = max(memory, m.HeapInuse+m.StackInuse)
	}
	close(stop)
	t.Logf("all ended after %s; memory %d MB, slowest other request %s; a sleep was late by %s",
		time.Since(startedAt), memory>>20, slowest, <-delays)
	// The gateway had to serve the others within their own deadline of a second. What comes on
	// top is their connecting and waiting for a processor, which takes long beside other load; a
	// caller that had to wait for a stream to end would wait nearly as long as an unread one lasts.
	if memory > smallMachineBytes || slowest > 2*unreadTimeout/3 {
		t.Errorf("the process used %d bytes, and another caller waited %s", memory, slowest)
	}
	if cut, blamed := l.count("does not read the stream"), l.count(`"server_suspect"`); cut != len(conns) || blamed != 0 {
		t.Errorf("%d streams were ended and servers blamed %d times, want %d and 0", cut, blamed, len(conns))
	}
	for i, c := range conns {
		if _, answer, err := finish(c, ""); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("caller %d read %d bytes to the end with %v", i, len(answer), err)
		}
	}
}

// Load pattern: a caller stops reading for longer than a silent server is given, and reads on.
// Its stream goes on at the same server.
func TestCallerThatPauses(t *testing.T) {
	var running atomic.Int64
	l := newLoopback(t, pwgateway.Policy{}, map[string]http.HandlerFunc{
		"model-1": largeEvents(&running, 400),
		"model-2": largeEvents(&running, 400),
	})
	c := l.open(t, "a1", "k1", "/note/1", "HTTP/1.1", 10*time.Second, 0)
	time.Sleep(2 * time.Second)
	_, answer, err := finish(c, "")
	if err != nil || !strings.HasPrefix(answer[strings.LastIndex(answer, "id: "):], "id: 400\n") {
		t.Errorf("the stream ended after %d bytes with %v", len(answer), err)
	}
	if sent, blamed := l.count(`"sent"`), l.count(`"server_suspect"`); sent != 1 || blamed != 0 {
		t.Errorf("%d sends and %d blamed servers, want 1 and 0", sent, blamed)
	}
}

// Guards against a cut response that looks whole to a caller which knows no chunks and reads
// late.
func TestUnreadResponseIsNotWhole(t *testing.T) {
	l := newLoopback(t, pwgateway.Policy{}, map[string]http.HandlerFunc{
		"desk-1": func(w http.ResponseWriter, r *http.Request) {
			signed(w, r)
			_, _ = w.Write(make([]byte, 1<<20))
		},
	})
	c := l.open(t, "a1", "k1", "/book/1", "HTTP/1.0", 1500*time.Millisecond, 0)
	time.Sleep(3 * time.Second)
	if status, answer, err := finish(c, ""); err == nil {
		t.Errorf("the caller got status %d and an orderly end after %d bytes", status, len(answer))
	}
}

// Load pattern: callers announce long bodies and send a few bytes. They hold little, so that
// others are served.
func TestCallersThatSendSlowly(t *testing.T) {
	l := newLoopback(t, pwgateway.Policy{}, map[string]http.HandlerFunc{
		"desk-1": bookings,
	})
	for i := range 60 {
		c := l.open(t, fmt.Sprintf("a%d", i), "k1", "/book/1", "HTTP/1.1", 10*time.Second, chunked)
		if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(200 * time.Millisecond)
	status, _, err := finish(l.open(t, "b1", "k2", "/book/1", "HTTP/1.1", 10*time.Second, chunked), "5\r\nhello\r\n0\r\n\r\n")
	if refused := l.count(`"refused"`); status != http.StatusOK || refused != 0 {
		t.Errorf("status %d with %v, %d refusals", status, err, refused)
	}
}

// Load pattern: memory is used up while callers send slowly. A refusal must not wait for the
// body that it refuses.
func TestRefusalDoesNotAwaitBody(t *testing.T) {
	l := newLoopback(t, pwgateway.Policy{
		MaxRequestMemory: 40 << 10, // for one request
		SlowReaders: pwgateway.SlowReaders{
			CallerShare:    1,
			WorkspaceShare: 1,
		},
	}, map[string]http.HandlerFunc{
		"desk-1": bookings,
	})
	l.open(t, "a1", "k1", "/book/1", "HTTP/1.1", 10*time.Second, 100)
	time.Sleep(100 * time.Millisecond)
	startedAt := time.Now()
	status, _, err := finish(l.open(t, "a2", "k1", "/book/1", "HTTP/1.1", 10*time.Second, 100), "")
	if status != http.StatusServiceUnavailable || time.Since(startedAt) > 2*time.Second {
		t.Errorf("status %d with %v after %s, want 503 at once", status, err, time.Since(startedAt))
	}
}

// Load pattern: a server reads a long upload late, or leaves it unread while it streams. The
// connection must last.
func TestServerThatReadsSlowly(t *testing.T) {
	upload := strings.Repeat("x", 3<<20)
	l := newLoopback(t, pwgateway.Policy{}, map[string]http.HandlerFunc{
		"desk-1": func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(2 * time.Second)
			if n, err := io.Copy(io.Discard, r.Body); n != int64(len(upload)) || err != nil {
				t.Errorf("the server got %d bytes with %v", n, err)
			}
			bookings(w, r)
		},
		"model-1": func(w http.ResponseWriter, r *http.Request) {
			rc := http.NewResponseController(w)
			_ = rc.EnableFullDuplex()
			signed(w, r)
			for i := 1; i <= 20; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
				_ = rc.Flush()
				time.Sleep(100 * time.Millisecond)
			}
		},
	})
	for path, want := range map[string]string{
		"/book/1": "booked",
		"/note/1": "id: 20\ndata: x\n\n",
	} {
		t.Run(path, func(t *testing.T) {
			c := l.open(t, "a"+path, "k1", path, "HTTP/1.1", 10*time.Second, len(upload))
			if status, answer, err := finish(c, upload); err != nil || !strings.HasSuffix(answer, want) {
				t.Errorf("status %d, answer %q with %v", status, answer, err)
			}
		})
	}
}

// Load pattern: two servers hold long uploads without reading them. What they hold stays
// bounded; others are refused as not run, and short requests are still served.
func TestBodiesHeldAtServersAreBounded(t *testing.T) {
	upload := strings.Repeat("x", 1<<20)
	var uploads [2]atomic.Int64
	done := make(chan struct{})
	hold := func(uploads *atomic.Int64) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength > 0 {
				uploads.Add(1)
				<-done
			}
			bookings(w, r)
		}
	}
	l := newLoopback(t, pwgateway.Policy{
		SlowReaders: pwgateway.SlowReaders{
			ServerBodyBytes: int64(2 * len(upload)),
		},
	}, map[string]http.HandlerFunc{
		"desk-1": hold(&uploads[0]),
		"desk-2": hold(&uploads[1]),
	})
	statuses := make(chan int)
	for i := range 8 {
		c := l.open(t, fmt.Sprintf("a%d", i), "k1", "/book/1", "HTTP/1.1", 10*time.Second, len(upload))
		go func() {
			status, _, _ := finish(c, upload)
			statuses <- status
		}()
	}
	for range 4 {
		if status := <-statuses; status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", status)
		}
	}
	if status, _, err := finish(l.open(t, "b1", "k2", "/book/1", "HTTP/1.1", time.Second, 0), ""); status != http.StatusOK {
		t.Errorf("a short request got status %d with %v", status, err)
	}
	close(done)
	for range 4 {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	if a, b := uploads[0].Load(), uploads[1].Load(); a != 2 || b != 2 {
		t.Errorf("the servers held %d and %d uploads, want 2 each", a, b)
	}
}

// Load pattern: a caller reads its stream steadily, but more slowly than the server sends it.
// With the send buffer that the kernel chooses, the stream must not be taken for unread.
func TestCallerThatReadsSlowly(t *testing.T) {
	const (
		// On loopback, a receive window of 64 KB opens again when it is empty.
		readBytes    = 16 << 10
		readInterval = 100 * time.Millisecond
		patience     = 1500 * time.Millisecond
	)
	var running atomic.Int64
	l := newLoopback(t, pwgateway.Policy{
		SlowReaders: pwgateway.SlowReaders{
			UnreadTimeout: patience,
		},
	}, map[string]http.HandlerFunc{
		"model-1": largeEvents(&running, 1000),
	})
	srv := httptest.NewUnstartedServer(l.gateway)
	srv.Config.ConnContext = pwgateway.WithCallerConn
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	l.address = srv.Listener.Addr().String()
	c := l.open(t, "a1", "k1", "/note/1", "HTTP/1.1", 10*time.Second, 0)
	buf := make([]byte, readBytes)
	for startedAt := time.Now(); time.Since(startedAt) < 4*patience; time.Sleep(readInterval) {
		if _, err := io.ReadFull(c, buf); err != nil {
			t.Fatal(err)
		}
	}
	if cut := l.count("does not read the stream"); cut != 0 {
		t.Error("the stream was ended although its caller reads on")
	}
}

// Load pattern: a server breaks many connections at once. The bodies of requests that have
// ended count as released, so that nothing may keep them, also not what follows the failure up.
func TestBodiesOfEndedRequestsAreFreed(t *testing.T) {
	const callers = 24
	upload := strings.Repeat("x", 1<<20)
	l := newLoopback(t, pwgateway.Policy{}, map[string]http.HandlerFunc{
		"desk-1": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		},
	})
	inUse := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := inUse()
	statuses := make(chan int)
	for i := range callers {
		c := l.open(t, fmt.Sprintf("a%d", i), "k1", "/book/1", "HTTP/1.1", 10*time.Second, len(upload))
		go func() {
			status, _, _ := finish(c, upload)
			closeConn(c)
			statuses <- status
		}()
	}
	for range callers {
		if status := <-statuses; status != http.StatusBadGateway {
			t.Errorf("status %d, want 502", status)
		}
	}
	if after := inUse(); after > before+callers*uint64(len(upload))/3 {
		t.Errorf("%d bytes are still in use after %d requests with %d bytes each", after-min(before, after), callers, len(upload))
	}
}
