package pwupstream

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// longBodyBytes is the size from which a server may read a body late or slowly. Shorter
	// ones fit into the receive buffer of its connection.
	longBodyBytes = 16 << 10
	// lateReadChecks is how often within the TCP user timeout it is checked whether a body is
	// unread.
	lateReadChecks = 3
	// maxWindowProbes is the number of unanswered window probes from which the server is
	// taken for lost.
	maxWindowProbes = 2
)

// lateRead keeps a connection whose server leaves a long body unread, which may last as long
// as the request. When the receive window of a server is full, its kernel acknowledges nothing
// new, and the TCP user timeout would take it for lost although it answers the probes.
type lateRead struct {
	conn syscall.RawConn
	// timeout is the TCP user timeout of the connection, latest that of an unread body.
	timeout, latest time.Duration
	writeDone       <-chan struct{}

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	raised  bool
}

// startLateRead starts the checks of a connection, or returns nil if it is no TCP connection.
func (c *Conn) startLateRead(latest time.Duration) *lateRead {
	sysConn, ok := c.netConn.(syscall.Conn)
	if !ok || latest <= c.pool.cfg.UserTimeout {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	l := &lateRead{
		conn:      raw,
		timeout:   c.pool.cfg.UserTimeout,
		latest:    latest,
		writeDone: c.writeDone,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(l.interval(), l.check)
	return l
}

func (l *lateRead) interval() time.Duration { return l.timeout / lateReadChecks }

// check raises the user timeout while the body is unread, and sets it back afterwards.
func (l *lateRead) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	unread, sent, err := l.state()
	if err != nil {
		// The connection is closed, or its state can't be known; its timeout stays.
		return
	}
	l.raise(unread)
	if !sent {
		l.timer.Reset(l.interval())
	}
}

// state reports whether the server has a full receive window and answers, and whether it has
// received the whole body.
func (l *lateRead) state() (unread, sent bool, err error) {
	var info *unix.TCPInfo
	controlErr := l.conn.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err = errors.Join(controlErr, err); err != nil {
		return false, false, err
	}
	unread = info.Unacked == 0 && info.Notsent_bytes > 0 && info.Probes <= maxWindowProbes
	select {
	case <-l.writeDone:
		sent = info.Unacked == 0 && info.Notsent_bytes == 0
	default:
	}
	return unread, sent, nil
}

// raise sets the user timeout for an unread body, or sets it back. The caller holds mu.
func (l *lateRead) raise(unread bool) {
	if unread == l.raised {
		return
	}
	timeout := l.timeout
	if unread {
		timeout = l.latest
	}
	if setUserTimeout(l.conn, timeout) == nil {
		l.raised = unread
	}
}

// stop ends the checks and sets the user timeout back. It may be called on nil and repeatedly.
func (l *lateRead) stop() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.stopped = true
	l.timer.Stop()
	l.raise(false)
}
