package pwgateway_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
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
)

const (
	// smallMachineBytes is the memory of a small machine.
	smallMachineBytes = 136 << 20
	// smallSocketBytes is a small buffer of a socket, so that a write blocks after few bytes.
	smallSocketBytes = 4 << 10
)

// loopback is a gateway on the wall clock with TCP connections to its callers and servers.
type loopback struct {
	gateway *pwgateway.Gateway
	address string
	obs     *pwobserve.Observer
	log     *syncBuffer
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// find returns the first line that contains text.
func (b *syncBuffer) find(text string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.b.String()) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// newLoopback starts a gateway on a small machine in front of a server for each of the
// handlers, whose keys begin with the name of their service.
func newLoopback(t *testing.T, policy pwgateway.Policy, handlers map[string]http.HandlerFunc) *loopback {
	t.Helper()
	lines := &syncBuffer{}
	obs := pwobserve.New(lines, "", "")
	l := &loopback{
		log: lines,
		obs: obs,
		gateway: pwgateway.New(pwgateway.Config{
			Deployment: pwdeployment.Deployment{
				Instance:    "front-1",
				DataCentre:  "hakata",
				MemoryBytes: smallMachineBytes,
				Bounds: pwdeployment.Bounds{
					RetryRatio:         0.2,
					RetryWindow:        10 * time.Second,
					RetrySlack:         100,
					MaxReservationTime: 20 * time.Second,
					ReleaseTimeout:     4 * time.Second,
					StallTimeout:       1500 * time.Millisecond,
				},
			},
			Codec: platform.NewCodec(),
			Engines: &fakeEngines{
				held: make(map[string]int64),
			},
			Policy: policy,
		}, obs),
	}
	many := engine
	many.Slots = 1000
	l.gateway.SetCatalog(pwcatalog.New(pwcatalog.Spec{
		Version: 1,
		Routes: []pwcatalog.Route{
			newRoute("note", pwcatalog.Streaming, "model"),
			newRoute("book", pwcatalog.Unsafe, "desk"),
			newRoute("view", pwcatalog.Safe, "desk"),
		},
		Services: []pwcatalog.Service{
			{
				Name:   "model",
				Engine: &many,
			},
			{
				Name: "desk",
			},
		},
		Workspaces: []pwcatalog.WorkspaceSpec{
			{
				Workspace: pwcatalog.Workspace{
					Name: "ward-3",
				},
				Keys: []string{"k1"},
			},
			{
				Workspace: pwcatalog.Workspace{
					Name: "ward-4",
				},
				Keys: []string{"k2"},
			},
		},
	}))
	var items []pwcontrol.Item[pwcatalog.BackendServer]
	for id, h := range handlers {
		srv := httptest.NewUnstartedServer(h)
		srv.Config.ErrorLog = log.New(io.Discard, "", 0)
		srv.Config.ConnState = func(c net.Conn, state http.ConnState) {
			if state == http.StateNew {
				setBuffers(c)
			}
		}
		srv.Start()
		t.Cleanup(func() {
			srv.CloseClientConnections()
			srv.Close()
		})
		service, _, _ := strings.Cut(id, "-")
		items = append(items, pwcontrol.Item[pwcatalog.BackendServer]{
			Key: id,
			Value: pwcatalog.BackendServer{
				ID:         id,
				Service:    service,
				Address:    srv.Listener.Addr().String(),
				DataCentre: "hakata",
				Slots:      1000,
			},
		})
	}
	l.gateway.ApplyServers(items, time.Time{})
	srv := &http.Server{
		Handler: l.gateway,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			setBuffers(c)
			return pwgateway.WithCallerConn(ctx, c)
		},
		ErrorLog: log.New(io.Discard, "", 0),
	}
	callers, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.address = callers.Addr().String()
	go func() { _ = srv.Serve(callers) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.gateway.Run(ctx)
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		cancel()
		<-done
	})
	return l
}

// setBuffers makes the buffers of a socket small.
func setBuffers(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(smallSocketBytes)
	}
}

// open sends the head of a request on a new connection. A size below 0 stands for chunks.
func (l *loopback) open(t *testing.T, id, key, path, proto string, size int) (net.Conn, error) {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", l.address)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { closeConn(c) })
	length := "Content-Length: " + strconv.Itoa(size)
	if size < 0 {
		length = "Transfer-Encoding: chunked"
	}
	_, err = fmt.Fprintf(c, "POST %s %s\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: 10000\r\n"+
		"X-Token-Counts: 1000,100\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", path, proto, id, key, length)
	return c, err
}

// mustOpen is like open and ends the test after an error.
func (l *loopback) mustOpen(t *testing.T, id, key, path, proto string, size int) net.Conn {
	t.Helper()
	c, err := l.open(t, id, key, path, proto, size)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// view sends a short request and returns its status and how long it took.
func (l *loopback) view(t *testing.T, id, key string) (int, time.Duration) {
	t.Helper()
	startedAt := time.Now()
	c := l.mustOpen(t, id, key, "/view/1", "HTTP/1.0", 0)
	defer closeConn(c)
	raw, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := bytes.Cut(raw, []byte(" "))
	status, _, _ := bytes.Cut(rest, []byte(" "))
	n, err := strconv.Atoi(string(status))
	if err != nil {
		t.Fatalf("the response is %q", raw)
	}
	return n, time.Since(startedAt)
}

// metric returns the value of a counter or gauge, or 0.
func (l *loopback) metric(t *testing.T, name string) int64 {
	t.Helper()
	var b bytes.Buffer
	if err := l.obs.WriteMetrics(&b); err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(b.String()) {
		if f := strings.Fields(line); len(f) == 2 && strings.TrimSuffix(strings.TrimPrefix(f[0], "pomeloweir_"), "_total") == name {
			n, err := strconv.ParseInt(f[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	return 0
}

// signed writes the head of a response to a request.
func signed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Seal", "seal")
}

// viewServer answers short requests.
func viewServer(w http.ResponseWriter, r *http.Request) {
	signed(w, r)
	_, _ = io.WriteString(w, "view")
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
	const callers = 300
	var running atomic.Int64
	l := newLoopback(t, pwgateway.Policy{}, map[string]http.HandlerFunc{
		"model-1": largeEvents(&running, 1000),
		"model-2": largeEvents(&running, 1000),
		"desk-1":  viewServer,
	})
	conns := make([]net.Conn, callers)
	errs := make([]error, callers)
	var wg sync.WaitGroup
	startedAt := time.Now()
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			proto := "HTTP/1.1"
			if i%2 == 1 {
				proto = "HTTP/1.0" // without chunks
			}
			conns[i], errs[i] = l.open(t, fmt.Sprintf("a%d", i), "k1", "/note/1", proto, 0)
		}()
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	var memory, slowest int64
	for i := 0; running.Load() > 0 || i == 0; i++ {
		if time.Since(startedAt) > 8*time.Second {
			t.Fatalf("after %s, %d streams still run at their servers", time.Since(startedAt), running.Load())
		}
		time.Sleep(100 * time.Millisecond)
		status, d := l.view(t, fmt.Sprintf("v%d", i), "k2")
		if status != http.StatusOK {
			t.Errorf("another caller got status %d", status)
		}
		slowest = max(slowest, int64(d))
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		memory = max(memory, int64(m.HeapInuse+m.StackInuse))
	}
	t.Logf("all ended after %s; memory %d MB, slowest other request %s", time.Since(startedAt), memory>>20, time.Duration(slowest))
	if memory > smallMachineBytes {
		t.Errorf("the process used %d bytes, allowed are %d", memory, smallMachineBytes)
	}
	if time.Duration(slowest) > time.Second {
		t.Errorf("another caller waited %s", time.Duration(slowest))
	}
	if line := l.log.find("server_suspect"); line != "" {
		t.Errorf("a server was blamed: %s", line)
	}
	if n := l.metric(t, "streams_ended_unread"); n != callers {
		t.Errorf("%d streams were ended unread, want %d", n, callers)
	}
	for i, c := range conns {
		if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		br := bufio.NewReader(c)
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			continue // a reset may overtake the head
		}
		defer closeBody(resp)
		if _, err := io.Copy(io.Discard, resp.Body); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("caller %d read its stream to the end with %v", i, err)
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
	c := l.mustOpen(t, "a1", "k1", "/note/1", "HTTP/1.1", 0)
	time.Sleep(2 * time.Second)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(resp)
	body, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.HasPrefix(body[bytes.LastIndex(body, []byte("id: ")):], []byte("id: 400\n")) {
		t.Errorf("the stream ended after %d bytes with %v", len(body), err)
	}
	if sent, suspects := l.metric(t, "events_sent"), l.metric(t, "events_server_suspect"); sent != 1 || suspects != 0 {
		t.Errorf("%d sends and %d blamed servers, want 1 and 0", sent, suspects)
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
	c := l.mustOpen(t, "a1", "k1", "/view/1", "HTTP/1.0\r\nX-Deadline-Milliseconds: 1500\r\nX-Pad: x", 0)
	time.Sleep(3 * time.Second)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(resp)
	if n, err := io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK || err == nil {
		t.Errorf("the caller got status %d and an orderly end after %d bytes", resp.StatusCode, n)
	}
}

// Load pattern: callers announce long bodies and send a few bytes. They hold little, so that
// others are served.
func TestCallersThatSendSlowly(t *testing.T) {
	l := newLoopback(t, pwgateway.Policy{}, map[string]http.HandlerFunc{
		"desk-1": viewServer,
	})
	for i := range 60 {
		c := l.mustOpen(t, fmt.Sprintf("a%d", i), "k1", "/book/1", "HTTP/1.1", -1)
		if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(200 * time.Millisecond)
	c := l.mustOpen(t, "b1", "k2", "/book/1", "HTTP/1.1", -1)
	if _, err := io.WriteString(c, "5\r\nhello\r\n0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK || l.metric(t, "events_refused") != 0 {
		t.Errorf("status %d with %d refusals", resp.StatusCode, l.metric(t, "events_refused"))
	}
}

// closeBody closes the body of a response that is not used any more.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// Load pattern: memory is used up while callers send slowly. Refusals must not wait for their
// bodies.
func TestRefusalDoesNotAwaitBody(t *testing.T) {
	l := newLoopback(t, pwgateway.Policy{
		MaxRequestMemory: 64 << 10,
		SlowReaders: pwgateway.SlowReaders{
			CallerShare:    1,
			WorkspaceShare: 1,
		},
	}, map[string]http.HandlerFunc{
		"desk-1": viewServer,
	})
	for i := range 2 {
		l.mustOpen(t, fmt.Sprintf("a%d", i), "k1", "/book/1", "HTTP/1.1", 100)
	}
	time.Sleep(100 * time.Millisecond)
	startedAt := time.Now()
	c := l.mustOpen(t, "a2", "k1", "/book/1", "HTTP/1.1", 100)
	if err := c.SetReadDeadline(startedAt.Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
}

// Load pattern: a server reads a long upload slowly, or leaves it unread while it streams. The
// connection must last.
func TestServerThatReadsSlowly(t *testing.T) {
	const uploadBytes = 3 << 20
	upload := make([]byte, uploadBytes)
	l := newLoopback(t, pwgateway.Policy{}, map[string]http.HandlerFunc{
		"desk-1": func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(2 * time.Second)
			if n, err := io.Copy(io.Discard, r.Body); n != uploadBytes || err != nil {
				t.Errorf("the server got %d bytes with %v", n, err)
			}
			viewServer(w, r)
		},
		"model-1": func(w http.ResponseWriter, r *http.Request) {
			rc := http.NewResponseController(w)
			if err := rc.EnableFullDuplex(); err != nil {
				t.Error(err)
			}
			signed(w, r)
			for i := 1; i <= 20; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
				_ = rc.Flush()
				time.Sleep(100 * time.Millisecond)
			}
		},
	})
	for path, want := range map[string]string{
		"/book/1": "view",
		"/note/1": "id: 20\ndata: x\n\n",
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := l.mustOpen(t, "a"+path, "k1", path, "HTTP/1.1", uploadBytes)
			if _, err := c.Write(upload); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer closeBody(resp)
			body, err := io.ReadAll(resp.Body)
			if err != nil || !strings.HasSuffix(string(body), want) {
				t.Errorf("status %d, body %q with %v", resp.StatusCode, body, err)
			}
		})
	}
}

// Load pattern: two servers hold long uploads without reading them. What they hold stays
// bounded; others are refused as not run, and short requests are still served.
func TestBodiesHeldAtServersAreBounded(t *testing.T) {
	const uploadBytes = 1 << 20
	var mu sync.Mutex
	held := make(map[string]int64)
	var most int64
	done := make(chan struct{})
	hold := func(id string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			held[id] += r.ContentLength
			most = max(most, held[id])
			mu.Unlock()
			if r.ContentLength > 0 {
				<-done
			}
			viewServer(w, r)
		}
	}
	l := newLoopback(t, pwgateway.Policy{
		SlowReaders: pwgateway.SlowReaders{
			ServerBodyBytes: 2 * uploadBytes,
		},
	}, map[string]http.HandlerFunc{
		"desk-1": hold("desk-1"),
		"desk-2": hold("desk-2"),
	})
	statuses := make(chan int)
	for i := range 8 {
		c := l.mustOpen(t, fmt.Sprintf("a%d", i), "k1", "/book/1", "HTTP/1.1", uploadBytes)
		go func() {
			_, _ = c.Write(make([]byte, uploadBytes))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				statuses <- 0
				return
			}
			closeBody(resp)
			statuses <- resp.StatusCode
		}()
	}
	for range 4 {
		if status := <-statuses; status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", status)
		}
	}
	if status, _ := l.view(t, "v1", "k2"); status != http.StatusOK {
		t.Errorf("a short request got status %d", status)
	}
	close(done)
	for range 4 {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	if most > 2*uploadBytes {
		t.Errorf("a server held %d bytes, allowed are %d", most, 2*uploadBytes)
	}
}
