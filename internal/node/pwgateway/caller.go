package pwgateway

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsentBytes is how much of a stream the kernel takes beyond what the caller's receive
// window has room for.
const maxUnsentBytes = 16 << 10

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// WithCallerConn returns a context with the connection that a request arrives on. It is
// meant for http.Server.ConnContext. A Gateway uses it to find out whether the caller has
// closed the connection.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// hasCallerLeft reports whether the caller has closed its connection. The server cancels
// the context of the request too, but in a goroutine that may run only after the request
// was sent: a process that was stopped for seconds reads requests whose callers have left
// in the meantime.
func hasCallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EWOULDBLOCK), errors.Is(err, unix.EINTR):
		case err != nil, n == 0:
			closed = true
		}
	})
	return closed || err != nil
}

// resetOnClose makes the close of the caller's connection a reset, or an orderly end again.
// Without chunks or a length, an orderly end would be that of a whole response. It must be set
// before a response is written: the server itself closes the connection when a write fails.
func resetOnClose(ctx context.Context, reset bool) {
	if c, ok := ctx.Value(callerConnKey{}).(*net.TCPConn); ok {
		linger := -1
		if reset {
			linger = 0
		}
		// The caller may have closed the connection.
		_ = c.SetLinger(linger)
	}
}

// limitUnsent makes each write wait for the caller to read. The kernel's own limit is a part of
// a send buffer of megabytes: a caller that reads steadily, but more slowly than its stream
// arrives, would not show for seconds that it reads.
func limitUnsent(ctx context.Context) {
	c, ok := ctx.Value(callerConnKey{}).(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		// The connection is closed.
		return
	}
	// Where the option can't be set, the kernel's limit stays.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
