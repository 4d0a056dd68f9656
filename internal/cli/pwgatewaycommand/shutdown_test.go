package pwgatewaycommand

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/platform"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecatalog"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwgateway"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwupstream"
)

const (
	testGracePeriod = 8 * time.Second
	// promptRefusal is the longest time to the refusal of what can't finish.
	promptRefusal = 50 * time.Millisecond
	// silence is how long the backend server of the "pause" route sends nothing before its last
	// event: less than what makes callers leave, but more than the gateway waits outside of a
	// shutdown.
	silence = 1600 * time.Millisecond
)

// stopFixture is a gateway that is stopped while callers use it. The last part of a path
// is the time in milliseconds that the backend server takes.
type stopFixture struct {
	t        *testing.T
	process  *process
	server   *http.Server
	conns    *connTracker
	listener *pwfakeplatform.PipeListener
	startAt  time.Time
	// grace is the time from the beginning of the stop to the forced kill.
	grace time.Duration

	mu sync.Mutex
	// passedOn holds the ids of the requests that reached a backend server.
	passedOn map[string]int
}

func newStopFixture(t *testing.T) *stopFixture {
	t.Helper()
	f := newUnconfiguredStopFixture(t)
	f.configure()
	return f
}

func newUnconfiguredStopFixture(t *testing.T) *stopFixture {
	t.Helper()
	f := &stopFixture{
		t:        t,
		listener: pwfakeplatform.NewPipeListener(),
		grace:    testGracePeriod,
		passedOn: make(map[string]int),
	}
	deployment := pwdeployment.Deployment{
		Instance:    "front-1",
		DataCentre:  "hakata",
		MemoryBytes: 284 << 20,
		Bounds: pwdeployment.Bounds{
			StopGracePeriod:    testGracePeriod,
			RetryRatio:         0.2,
			RetryWindow:        10 * time.Second,
			RetrySlack:         100,
			MaxReservationTime: 20 * time.Second,
			ReleaseTimeout:     4 * time.Second,
			StallTimeout:       1500 * time.Millisecond,
		},
	}
	logs := pwobserve.NewAsyncWriter(io.Discard, pwobserve.DefaultBufferLines)
	t.Cleanup(func() { _ = logs.Close() })
	f.process = &process{
		deployment: deployment,
		bounds:     deployment.Bounds,
		obs:        pwobserve.New(logs, "front-1", "hakata"),
		logWriter:  logs,
		stopping:   make(chan struct{}),
		gateway: pwgateway.New(pwgateway.Config{
			Deployment: deployment,
			Codec:      platform.NewCodec(),
			Engines:    platform.NewEngineClient(),
			Upstream: pwupstream.Config{
				Dial: f.dialBackend,
			},
		}, pwobserve.Discard()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.process.gateway.Run(ctx)
	}()
	t.Cleanup(func() {
		time.Sleep(time.Minute) // probes and releases end
		cancel()
		<-done
	})
	f.server = f.process.newServer(f.process.gateway)
	f.conns = newConnTracker(f.server)
	serve(f.server, f.listener, make(chan error, 1))
	t.Cleanup(func() { _ = f.server.Close() })
	return f
}

func (f *stopFixture) configure() {
	engine := pwfakecatalog.Engine()
	route := func(name string, kind pwcatalog.Kind, service string) pwcatalog.Route {
		return pwcatalog.Route{
			Name:      name,
			Host:      "h.example",
			Prefix:    "/" + name + "/",
			Kind:      kind,
			Timeout:   time.Minute,
			Target:    20 * time.Second,
			TargetGap: 30 * time.Second,
			Attempts:  2,
			Resumable: kind == pwcatalog.Streaming,
			Shares: []pwcatalog.Share{{
				Service: service,
				Weight:  1,
			}},
		}
	}
	pause := route("pause", pwcatalog.Streaming, "model")
	pause.Target, pause.TargetGap = 300*time.Millisecond, 250*time.Millisecond
	once := route("once", pwcatalog.Streaming, "model")
	once.Resumable = false
	f.process.gateway.SetCatalog(pwcatalog.New(pwcatalog.Spec{
		Version: 1,
		Routes: []pwcatalog.Route{
			pause,
			route("note", pwcatalog.Streaming, "model"),
			once,
			route("book", pwcatalog.Unsafe, "desk"),
			route("view", pwcatalog.Safe, "desk"),
		},
		Services: []pwcatalog.Service{
			{
				Name:   "model",
				Engine: &engine,
			},
			{
				Name: "desk",
			},
		},
	}))
	var items []pwcontrol.Item[pwcatalog.BackendServer]
	for _, service := range []string{"model", "desk"} {
		items = append(items, pwcontrol.Item[pwcatalog.BackendServer]{
			Key: service,
			Value: pwcatalog.BackendServer{
				ID:         service,
				Service:    service,
				Address:    service,
				DataCentre: "hakata",
				Slots:      16,
			},
		})
	}
	f.process.gateway.ApplyServers(items, time.Time{})
}

func (f *stopFixture) dialBackend(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go f.serveBackend(far)
	return near, nil
}

// serveBackend serves the requests on one connection. Writes fail once the gateway has
// closed it.
func (f *stopFixture) serveBackend(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		f.mu.Lock()
		f.passedOn[id]++
		f.mu.Unlock()
		work := pathMillis(r.URL.Path)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\n", id)
		pauses := strings.HasPrefix(r.URL.Path, "/pause/")
		if !pauses && !strings.HasPrefix(r.URL.Path, "/note/") && !strings.HasPrefix(r.URL.Path, "/once/") {
			time.Sleep(work)
			if _, err := io.WriteString(c, head+"Content-Length: 4\r\n\r\ndone"); err != nil {
				return
			}
			continue
		}
		const events = 10
		for n := 1; n <= events; n++ {
			time.Sleep(work / events)
			if pauses && n == events {
				time.Sleep(silence)
			}
			ev := fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n)
			chunk := fmt.Sprintf("%x\r\n%s\r\n", len(ev), ev)
			if n == 1 {
				chunk = head + "Transfer-Encoding: chunked\r\n\r\n" + chunk
			}
			if n == events {
				chunk += "0\r\n\r\n"
			}
			if _, err := io.WriteString(c, chunk); err != nil {
				return
			}
		}
	}
}

// pathMillis returns the number of milliseconds at the end of a path.
func pathMillis(path string) time.Duration {
	ms, err := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:])
	if err != nil {
		panic(err)
	}
	return time.Duration(ms) * time.Millisecond
}

// stopCall is one request of a caller. Times count from the beginning of the stop.
type stopCall struct {
	path string
	// opened is when the connection is opened, sentAt when the request begins, and
	// bodyTime how long the caller takes to send its body. readAt is when it begins to read.
	opened, sentAt, bodyTime, readAt time.Duration
	deadline                         time.Duration
}

// stopResult is what a caller got.
type stopResult struct {
	status int
	// complete is set if the response was complete.
	complete   bool
	retryAfter string
	closes     bool
	// waited is the time from the last byte of the request to the response. answeredAt
	// counts from the beginning of the stop.
	waited, answeredAt time.Duration
	err                error
}

// run makes one call and returns its result.
func (f *stopFixture) run(id string, call stopCall) stopResult {
	time.Sleep(time.Until(f.startAt.Add(call.opened)))
	c, err := f.listener.Dial(f.t.Context())
	if err != nil {
		return stopResult{
			err: err,
		}
	}
	defer func() { _ = c.Close() }()
	time.Sleep(time.Until(f.startAt.Add(call.sentAt)))
	return f.exchange(c, bufio.NewReader(c), id, call)
}

// exchange sends one request on an open connection and reads the response.
func (f *stopFixture) exchange(c net.Conn, br *bufio.Reader, id string, call stopCall) (res stopResult) {
	const body = "prompt"
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nX-Token-Counts: 1000,100\r\nContent-Length: %d\r\n\r\n",
		call.path, id, call.deadline.Milliseconds(), len(body))
	sent := make(chan time.Time, 1)
	go func() {
		_, err := io.WriteString(c, head+body[:1])
		time.Sleep(call.bodyTime)
		if err == nil {
			_, _ = io.WriteString(c, body[1:])
		}
		sent <- time.Now()
	}()
	if call.readAt > 0 {
		time.Sleep(time.Until(f.startAt.Add(call.readAt)))
	}
	resp, err := http.ReadResponse(br, nil)
	now := time.Now()
	res.answeredAt = now.Sub(f.startAt)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	select {
	case at := <-sent:
		res.waited = now.Sub(at)
	default:
	}
	_, err = io.Copy(io.Discard, resp.Body)
	res.status, res.complete, res.err = resp.StatusCode, err == nil, err
	res.retryAfter, res.closes = resp.Header.Get("Retry-After"), resp.Close
	return res
}

// shutdown stops the gateway at startAt. When it returns, the process ends and its
// connections are closed.
func (f *stopFixture) shutdown() {
	time.Sleep(time.Until(f.startAt))
	f.process.shutdown(f.listener, f.server, f.conns)
	if d := time.Since(f.startAt); d >= f.grace {
		f.t.Errorf("the process ends after %s, the grace period is %s", d, f.grace)
	}
}

func (f *stopFixture) wasPassedOn(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.passedOn[id] > 0
}

// Guards against requests that a stopping gateway passes on and cuts at the end of its
// grace without an answer, among them requests that may run only once (LOST).
func TestStopAnswersWhatWasPassedOn(t *testing.T) {
	const (
		short  = 600 * time.Millisecond
		long   = 30 * time.Second
		before = -time.Second
		// late is shortly before the process stops listening. Connections without a
		// request are closed after defaultHeaderTimeout.
		late = notReadyPeriod - 100*time.Millisecond
	)
	for name, tc := range map[string]struct {
		call stopCall
		// known is a path whose requests have run before the stop.
		known string
		// status is the status that the caller must get; 0 stands for a stream that has
		// begun and is cut.
		status   int
		passedOn bool
	}{
		"unsafe, in flight, ends in the grace":   {call: stopCall{path: "/book/3000", opened: before, sentAt: before, deadline: long}, status: 200, passedOn: true},
		"unsafe, in flight, longer than grace":   {call: stopCall{path: "/book/20000", opened: before, sentAt: before, deadline: long}, status: 504, passedOn: true},
		"safe, in flight, longer than grace":     {call: stopCall{path: "/view/20000", opened: before, sentAt: before, deadline: long}, status: 504, passedOn: true},
		"stream without events, longer":          {call: stopCall{path: "/note/200000", opened: before, sentAt: before, deadline: long}, status: 504, passedOn: true},
		"stream, longer than grace":              {call: stopCall{path: "/note/20000", opened: before, sentAt: before, deadline: long}, passedOn: true},
		"stream, ends in the grace":              {call: stopCall{path: "/note/5000", opened: before, sentAt: before, deadline: long}, status: 200, passedOn: true},
		"unsafe, early, deadline in the grace":   {call: stopCall{path: "/book/50", opened: late, sentAt: 4 * time.Second, deadline: short}, status: 200, passedOn: true},
		"unsafe, late, known to be short":        {call: stopCall{path: "/book/50", opened: late, sentAt: 7 * time.Second, deadline: long}, known: "/book/60", status: 200, passedOn: true},
		"unsafe, late, never seen before":        {call: stopCall{path: "/book/50", opened: before, sentAt: 3 * time.Second, deadline: long}, status: 503},
		"unsafe, late, known to be long":         {call: stopCall{path: "/book/50", opened: late, sentAt: 6 * time.Second, deadline: long}, known: "/book/2000", status: 503},
		"unsafe, late, longer than expected":     {call: stopCall{path: "/book/5000", opened: late, sentAt: 6 * time.Second, deadline: long}, known: "/book/60", status: 504, passedOn: true},
		"unsafe, at the end":                     {call: stopCall{path: "/book/50", opened: late, sentAt: 7350 * time.Millisecond, deadline: short}, status: 503},
		"stream, late, known to be long":         {call: stopCall{path: "/note/3000", opened: late, sentAt: 5 * time.Second, deadline: long}, known: "/note/3000", status: 503},
		"stream, late, known to be short":        {call: stopCall{path: "/note/400", opened: late, sentAt: 4 * time.Second, deadline: long}, known: "/note/300", status: 503},
		"stream, late, longer than expected":     {call: stopCall{path: "/note/6000", opened: late, sentAt: 3 * time.Second, deadline: long}, known: "/note/300", status: 503},
		"stream, late, deadline in the grace":    {call: stopCall{path: "/note/400", opened: late, sentAt: 4 * time.Second, deadline: 3 * time.Second}, status: 200, passedOn: true},
		"stream that can't be resumed, late":     {call: stopCall{path: "/once/400", opened: late, sentAt: 4 * time.Second, deadline: long}, known: "/once/300", status: 503},
		"stream, early, body ends late":          {call: stopCall{path: "/note/400", opened: before, sentAt: time.Second, bodyTime: 3 * time.Second, deadline: long}, known: "/note/300", status: 503},
		"stream, in flight, server is silent":    {call: stopCall{path: "/pause/3000", opened: before, sentAt: before, deadline: long}, status: 200, passedOn: true},
		"stream, early, known to be short":       {call: stopCall{path: "/note/3000", opened: before, sentAt: time.Second, deadline: long}, known: "/note/3000", status: 200, passedOn: true},
		"new connection while it is not ready":   {call: stopCall{path: "/book/50", opened: time.Second, sentAt: time.Second, deadline: short}, status: 200, passedOn: true},
		"first used late":                        {call: stopCall{path: "/book/50", opened: 2 * time.Second, sentAt: 6500 * time.Millisecond, deadline: short}, status: 200, passedOn: true},
		"first used at the end":                  {call: stopCall{path: "/book/50", opened: late, sentAt: 7300 * time.Millisecond, deadline: short}, status: 503},
		"answer ready, caller reads at the end":  {call: stopCall{path: "/book/3000", opened: before, sentAt: before, readAt: 7550 * time.Millisecond, deadline: long}, status: 200, passedOn: true},
		"answer ready just before the end":       {call: stopCall{path: "/book/7500", opened: before, sentAt: -10 * time.Millisecond, deadline: long}, status: 200, passedOn: true},
		"slow body, ends after the grace":        {call: stopCall{path: "/book/50", opened: before, sentAt: before, bodyTime: 15 * time.Second, deadline: long}, status: 503},
		"slow body, begins late":                 {call: stopCall{path: "/book/50", opened: late, sentAt: 5 * time.Second, bodyTime: 15 * time.Second, deadline: long}, status: 503},
		"slow body, ends late, short deadline":   {call: stopCall{path: "/book/50", opened: late, sentAt: 5 * time.Second, bodyTime: 2 * time.Second, deadline: 2500 * time.Millisecond}, status: 200, passedOn: true},
		"slow body, ends late, never seen":       {call: stopCall{path: "/book/50", opened: before, sentAt: before, bodyTime: 7 * time.Second, deadline: long}, status: 503},
		"slow body, ends late, known to be long": {call: stopCall{path: "/view/50", opened: before, sentAt: before, bodyTime: 7 * time.Second, deadline: long}, known: "/view/2000", status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStopFixture(t)
				f.startAt = time.Now().Add(20 * time.Second)
				if tc.known != "" {
					if res := f.run("known", stopCall{
						path:     tc.known,
						opened:   -10 * time.Second,
						sentAt:   -10 * time.Second,
						deadline: long,
					}); res.status != 200 {
						t.Fatalf("the request before the stop got %+v", res)
					}
				}
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					f.shutdown()
				}()
				res := f.run("a1", tc.call)
				<-stopped
				if got := f.wasPassedOn("a1"); got != tc.passedOn {
					t.Errorf("passed on is %t, want %t", got, tc.passedOn)
				}
				if tc.status == 0 {
					if res.status != 200 || res.complete {
						t.Errorf("the caller got %+v, want a stream that is cut", res)
					}
					return
				}
				if res.status != tc.status || !res.complete {
					t.Fatalf("the caller got %+v, want a complete %d", res, tc.status)
				}
				if res.status == 503 && (res.retryAfter == "" || res.waited > promptRefusal) {
					t.Errorf("refused after %s with Retry-After %q, want at once with some", res.waited, res.retryAfter)
				}
				if res.answeredAt > 0 && res.status != 200 && !res.closes {
					t.Error("the response does not announce that the connection closes")
				}
			})
		})
	}
}

// Guards against requests on kept connections that a stopping gateway takes and does not
// answer. Each caller sends requests one after the other until the gateway closes its
// connection.
func TestStopAnswersKeptConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStopFixture(t)
		f.startAt = time.Now().Add(5 * time.Second)
		var wg sync.WaitGroup
		for n, path := range []string{"/book/20", "/book/300", "/book/900", "/view/40", "/view/1200", "/note/400", "/note/2500"} {
			for opened := -2 * time.Second; opened < 2500*time.Millisecond; opened += 250 * time.Millisecond {
				wg.Add(1)
				go func() {
					defer wg.Done()
					f.useUntilClosed(fmt.Sprintf("%d.%d", n, opened.Milliseconds()), path, opened)
				}()
			}
		}
		f.shutdown()
		wg.Wait()
	})
}

// useUntilClosed sends requests on one connection and checks that each one that was passed
// on was answered.
func (f *stopFixture) useUntilClosed(name, path string, opened time.Duration) {
	time.Sleep(time.Until(f.startAt.Add(opened)))
	c, err := f.listener.Dial(f.t.Context())
	if err != nil {
		return // closed
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s.%d", name, n)
		res := f.exchange(c, br, id, stopCall{
			path:     path,
			deadline: 10 * time.Second,
		})
		switch {
		case res.status == 0:
			if f.wasPassedOn(id) {
				f.t.Errorf("%s %s was passed on and got no answer: %v", path, id, res.err)
			}
			return
		case !res.complete, errors.Is(res.err, net.ErrClosed):
			f.t.Errorf("%s %s got %+v", path, id, res)
			return
		case res.closes:
			return
		}
		time.Sleep(pathMillis(path) / 2)
	}
}

// Guards against callers that hold memory of the gateway with bodies that do not arrive.
func TestSlowBodyIsRefusedAtTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStopFixture(t)
		f.startAt = time.Now()
		res := f.run("a1", stopCall{
			path:     "/book/50",
			bodyTime: 20 * time.Second,
			deadline: 2 * time.Second,
		})
		if res.status != http.StatusRequestTimeout || !res.closes || res.answeredAt != 2*time.Second || f.wasPassedOn("a1") {
			t.Errorf("the caller got %+v, want a 408 after 2s", res)
		}
		res = f.run("a2", stopCall{
			path:     "/book/5000",
			bodyTime: time.Second,
			deadline: 20 * time.Second,
		})
		if res.status != http.StatusOK {
			t.Errorf("after a body of 1s the caller got %+v, want a 200", res)
		}
	})
}

// Guards against a stop that goes by the grace of the start although the settings file has
// changed since: the forced kill then cuts what still runs, or requests are ended before the
// last sixth of the grace. The same holds for margins that don't fit a short grace.
func TestStopUsesNewestGrace(t *testing.T) {
	for name, tc := range map[string]struct {
		// settings are the lines of the settings file when the stop begins.
		settings string
		grace    time.Duration
	}{
		"unchanged": {settings: "bounds.grace-s=8", grace: 8 * time.Second},
		"shorter":   {settings: "bounds.grace-s=4", grace: 4 * time.Second},
		"longer":    {settings: "bounds.grace-s=12", grace: 12 * time.Second},
		"invalid":   {settings: "bounds.grace-s=soon", grace: testGracePeriod},
		"2 s":       {settings: "bounds.grace-s=2", grace: 2 * time.Second},
		"1 s":       {settings: "bounds.grace-s=1", grace: time.Second},
		"300 ms":    {settings: "bounds.grace-s=0.3", grace: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStopFixture(t)
				f.grace = tc.grace
				f.process.settingsPath = filepath.Join(t.TempDir(), "settings.conf")
				lines := "node=front-1\nip-address=10.1.0.40\nplatform.address=10.2.0.1:80\nlisten-addresses.front=10.1.0.40:80\ninternal-ports=1,2\n" + tc.settings
				if err := os.WriteFile(f.process.settingsPath, []byte(lines), 0o600); err != nil {
					t.Fatal(err)
				}
				f.startAt = time.Now().Add(20 * time.Second)
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					f.shutdown()
				}()
				res := f.run("a1", stopCall{
					path:     "/book/20000",
					opened:   -time.Second,
					sentAt:   -time.Second,
					deadline: 30 * time.Second,
				})
				<-stopped
				if lastSixth := tc.grace * 5 / 6; res.status != http.StatusGatewayTimeout || res.answeredAt < lastSixth || res.answeredAt >= tc.grace {
					t.Errorf("the caller got %+v, want a 504 between %s and %s", res, lastSixth, tc.grace)
				}
			})
		})
	}
}

// Guards against a process that is stopped before it has a configuration and leaves the requests
// in its listener's queue without an answer, or that goes on after the last connection.
func TestStopWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnconfiguredStopFixture(t)
		f.startAt = time.Now().Add(time.Second)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			f.shutdown()
		}()
		for n, sentAt := range []time.Duration{-500 * time.Millisecond, 0, 2 * time.Second} {
			res := f.run(fmt.Sprint("a", n), stopCall{
				path:     "/book/50",
				opened:   sentAt,
				sentAt:   sentAt,
				deadline: 30 * time.Second,
			})
			if res.status != http.StatusServiceUnavailable || !res.complete || res.retryAfter == "" || res.waited > promptRefusal {
				t.Errorf("the caller of %s got %+v, want a prompt 503 with Retry-After", sentAt, res)
			}
		}
		<-stopped
		if d := time.Since(f.startAt); d > notReadyPeriod+closePollInterval {
			t.Errorf("the process ends after %s without connections, want %s", d, notReadyPeriod)
		}
	})
}

// Guards against a stopping process that leaves a connection open after a stream that began
// before the stop: its caller would send the next request there, only to be refused.
func TestStopClosesConnectionsAsTheyBecomeIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStopFixture(t)
		f.startAt = time.Now().Add(2 * time.Second)
		go f.shutdown()
		time.Sleep(time.Until(f.startAt.Add(-time.Second)))
		c, err := f.listener.Dial(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		if res := f.exchange(c, br, "a1", stopCall{
			path:     "/note/5000",
			deadline: 10 * time.Second,
		}); res.status != http.StatusOK || !res.complete || res.closes {
			t.Fatalf("the caller got %+v, want a whole stream that doesn't announce the stop", res)
		}
		synctest.Wait()
		endedAt := time.Now()
		if _, err := br.ReadByte(); !errors.Is(err, io.EOF) || time.Since(endedAt) > 0 {
			t.Errorf("the connection ended after %s with %v, want an end at once", time.Since(endedAt), err)
		}
	})
}

// Guards against requests that arrive on a connection which is being closed and are passed
// on, although they can't be answered any more.
func TestRequestsOfClosingConnectionsAreDropped(t *testing.T) {
	srv := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			t.Error("the request was passed on")
		}),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return ctx },
	}
	conns := newConnTracker(srv)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conns.track(near, http.StateIdle)
	if n := conns.closeIdle(); n != 0 {
		t.Errorf("%d connections are left, want none", n)
	}
	defer func() {
		if err, ok := recover().(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			t.Errorf("the handler ended with %v, want an abort", err)
		}
		if conns.dropped != 1 {
			t.Errorf("%d requests counted as dropped, want 1", conns.dropped)
		}
	}()
	r := httptest.NewRequestWithContext(srv.ConnContext(t.Context(), near), http.MethodPost, "/", nil)
	srv.Handler.ServeHTTP(httptest.NewRecorder(), r)
}

// Guards against a handler that panics while a request runs and leaves no line in the log:
// its caller sees a connection that ends without an answer.
func TestPanicsOfHandlersAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		p := &process{
			obs:     pwobserve.New(&logged, "front-1", "hakata"),
			gateway: pwgateway.New(pwgateway.Config{}, pwobserve.Discard()),
		}
		srv := p.newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("out of order") }))
		srv.ConnContext = nil
		l := pwfakeplatform.NewPipeListener()
		serve(srv, l, make(chan error, 1))
		c, err := l.Dial(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, c) // ends with the connection
		_ = srv.Close()
		synctest.Wait()
		if !strings.Contains(logged.String(), "out of order") {
			t.Errorf("the log is %q, want the panic", logged.String())
		}
	})
}
