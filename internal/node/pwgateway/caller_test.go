package pwgateway_test

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/node/pwgateway"
)

// newConnPair returns both ends of a TCP connection on loopback.
func newConnPair(t *testing.T) (caller, server net.Conn) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeListener(l)
	if caller, err = (&net.Dialer{}).DialContext(t.Context(), "tcp4", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		closeConn(caller)
		closeConn(server)
	})
	return caller, server
}

// closeListener closes a listener that is not used any more.
func closeListener(l net.Listener) { _ = l.Close() }

// A process that was stopped for seconds reads requests whose callers have closed their
// connections in the meantime. It must not send them to a server, also if it handles them
// before net/http notices the close.
func TestRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	for name, leave := range map[string]func(caller net.Conn) error{
		"close": func(caller net.Conn) error { return caller.Close() },
		"reset": func(caller net.Conn) error {
			if err := caller.(*net.TCPConn).SetLinger(0); err != nil {
				return err
			}
			return caller.Close()
		},
		"stays": func(net.Conn) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			caller, server := newConnPair(t)
			if err := leave(caller); err != nil {
				t.Fatal(err)
			}
			if name != "stays" {
				// Blocks until the close has arrived; the byte stream stays at its end.
				if _, err := server.Read(make([]byte, 1)); err == nil {
					t.Fatal("the connection is not closed")
				}
			}
			f := newFixture(t, map[string]*backend{
				"desk-1": newBackend(respond(200, "", "view")),
			})
			f.settleTime = 0 // this test runs on the wall clock
			r := httptest.NewRequestWithContext(pwgateway.WithCallerConn(t.Context(), server), http.MethodGet, "/view/1", strings.NewReader(""))
			r.Host = "h.example"
			r.Header.Set("X-Attempt-Id", "a1")
			r.Header.Set("X-Deadline-Milliseconds", "10000")
			r.Header.Set("Authorization", "Bearer k1")
			if w, aborted := f.serve(r); aborted != (name != "stays") {
				t.Errorf("aborted %t with status %d", aborted, w.Code)
			}
			want := 0
			if name == "stays" {
				want = 1
			}
			if got := len(f.received()); got != want {
				t.Errorf("%d requests reached the server, want %d", got, want)
			}
		})
	}
}

// Guards against a stream that is cut and looks whole to callers without chunks, whose
// streams end with the connection.
func TestCutStreamIsResetForCallersWithoutChunks(t *testing.T) {
	f := newFixture(t, map[string]*backend{
		"model-1": newBackend(streamEvents(1, 3, "break")),
	})
	f.settleTime = 0 // this test runs on the wall clock
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{
		Handler:     f.gateway,
		ConnContext: pwgateway.WithCallerConn,
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(c)
	if _, err := io.WriteString(c, "POST /note/1 HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Milliseconds: 10000\r\n"+
		"X-Token-Counts: 1000,100\r\nAuthorization: Bearer k1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if raw, err := io.ReadAll(c); err == nil {
		t.Errorf("the caller got an orderly end after %q", raw)
	}
}
