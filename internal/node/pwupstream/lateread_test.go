package pwupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout returns the TCP user timeout of a connection, or 0 if it can't be read.
func userTimeout(c net.Conn) time.Duration {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	var ms int
	controlErr := raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if controlErr != nil || err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// Load pattern: a server reads a long body late and then works on. Only while the body is
// unread may the connection be silent for longer: a server that is lost later must be noticed.
func TestUserTimeoutIsRaisedWhileBodyIsUnread(t *testing.T) {
	const bodyBytes = 8 << 20
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		time.Sleep(2 * DefaultUserTimeout)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
		time.Sleep(2 * DefaultUserTimeout)
		_, _ = io.WriteString(c, "cd")
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	c, err := New(Config{}).Get(ctx, l.Addr().String(), "a1")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	early := make(chan time.Duration, 1)
	time.AfterFunc(DefaultUserTimeout, func() { early <- userTimeout(c.netConn) })
	resp, err := c.Do(ctx, &Request{
		Method: http.MethodPost,
		Target: "/",
		Host:   "h.example",
		Header: http.Header{},
		Body:   make([]byte, bodyBytes),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if d := <-early; d <= DefaultUserTimeout {
		t.Errorf("the user timeout is %s while the body is unread", d)
	}
	time.Sleep(DefaultUserTimeout)
	if d := userTimeout(c.netConn); d != DefaultUserTimeout {
		t.Errorf("the user timeout is %s after the body was read, want %s", d, DefaultUserTimeout)
	}
	if b, err := io.ReadAll(resp.Body); string(b) != "abcd" || err != nil {
		t.Errorf("body %q with %v", b, err)
	}
	c.Release(resp)
}
