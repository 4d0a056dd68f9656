// Package pwupstream keeps the connections to backend servers. A connection
// carries one request at a time. It is reused only after a complete answer with
// nothing behind it, and not near the end of the time that the server keeps
// idle connections.
//
// # Usage
//
//	pool := pwupstream.New(pwupstream.Config{})
//	conn, err := pool.Get(ctx, "10.1.0.4:8080")
//	resp, err := conn.Do(ctx, req)
//	// read resp.Body to its end
//	conn.Release(resp)
//
// Errors say whether the request may have run: dialling and a refused
// connection are NotRun, everything after the first written byte is MayHaveRun.
package pwupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Defaults of a Config.
const (
	// DefaultDialTimeout covers a lost opening packet within a region no longer
	// than a caller would notice.
	DefaultDialTimeout = 350 * time.Millisecond
	// DefaultIdleTimeout is the age up to which a connection of a server that
	// states no Keep-Alive time is reused.
	DefaultIdleTimeout = 900 * time.Millisecond
	// DefaultUserTimeout ends a connection whose bytes are not acknowledged.
	DefaultUserTimeout = 900 * time.Millisecond
	// DefaultMaxIdle bounds the idle connections to one server.
	DefaultMaxIdle = 16
	// keepAliveMargin is kept from the time that a server states, for bytes in flight.
	keepAliveMargin = 400 * time.Millisecond
	// keepAliveInterval finds servers that fell silent while a request runs.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// writeSettle is the time that the writer of a request has to notice its end.
	writeSettle = 5 * time.Millisecond
	readBuffer  = 4 << 10
)

// Config configures a Pool. Zero fields take their defaults.
type Config struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	UserTimeout time.Duration
	MaxIdle     int
	// Dial makes connections; the default makes TCP connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds the idle connections by address.
type Pool struct {
	cfg Config

	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	pwdefault.SetUnlessPositive(&cfg.DialTimeout, DefaultDialTimeout)
	pwdefault.SetUnlessPositive(&cfg.IdleTimeout, DefaultIdleTimeout)
	pwdefault.SetUnlessPositive(&cfg.UserTimeout, DefaultUserTimeout)
	pwdefault.SetUnlessPositive(&cfg.MaxIdle, DefaultMaxIdle)
	p := &Pool{
		cfg:  cfg,
		idle: make(map[string][]*Conn),
	}
	if cfg.Dial == nil {
		dialer := &net.Dialer{
			Timeout: cfg.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveInterval,
				Interval: keepAliveInterval,
				Count:    keepAliveProbes,
			},
			Control: p.control,
		}
		p.cfg.Dial = dialer.DialContext
	}
	return p
}

// control sets the time after which unacknowledged bytes end the connection.
func (p *Pool) control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the option only the keep-alive probes find a silent server.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.cfg.UserTimeout.Milliseconds()))
	})
}

// Conn is one connection to a backend server.
type Conn struct {
	pool    *Pool
	addr    string
	c       net.Conn
	br      *bufio.Reader
	idleAt  time.Time
	maxIdle time.Duration
	reused  bool
	// written is closed when the request has been written whole.
	written  chan struct{}
	writeErr error
	stop     func() bool
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Get returns an idle connection or makes a new one. Its errors are NotRun.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		if c.sound() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	conn, err := p.cfg.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable, "connecting to %s", addr)
	}
	return &Conn{
		pool:    p,
		addr:    addr,
		c:       conn,
		br:      bufio.NewReaderSize(conn, readBuffer),
		maxIdle: p.cfg.IdleTimeout,
	}, nil
}

func (p *Pool) takeIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// Close closes the idle connections; those in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = make(map[string][]*Conn), true
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.Close()
		}
	}
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	var closing []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleAt) > c.maxIdle {
				closing = append(closing, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// sound reports whether an idle connection is still open, silent and young.
func (c *Conn) sound() bool {
	if time.Since(c.idleAt) > c.maxIdle || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = n <= 0 && (errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EWOULDBLOCK))
		return true
	})
	return err == nil && silent
}

// Request is what is sent to a backend server.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// writeTo spells the request. The caller's target is kept to the letter.
func (r *Request) writeTo(w io.Writer) error {
	bw := bufio.NewWriterSize(w, max(readBuffer, min(64<<10, len(r.Body)+2048)))
	if _, err := fmt.Fprintf(bw, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host); err != nil {
		return err
	}
	if err := r.Header.Write(bw); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		if _, err := fmt.Fprintf(bw, "Content-Length: %d\r\n", len(r.Body)); err != nil {
			return err
		}
	}
	if _, err := bw.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := bw.Write(r.Body); err != nil {
		return err
	}
	return bw.Flush()
}

// Abort ends reads and writes at once; the caller of Do still has to Close.
func (c *Conn) Abort() {
	// A connection that can't be closed is closed already.
	_ = c.c.Close()
}

// Do sends a request and returns the head of the answer. The end of ctx closes
// the connection until Release or Close. Its errors are MayHaveRun.
func (c *Conn) Do(ctx context.Context, req *Request) (*http.Response, error) {
	c.stop = context.AfterFunc(ctx, c.Abort)
	c.written = make(chan struct{})
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.c.SetWriteDeadline(deadline); err != nil {
			return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable, "preparing the connection to %s", c.addr)
		}
	}
	// A server may answer before it has read a long body.
	go c.write(req)
	return c.ReadResponse(req.Method)
}

func (c *Conn) write(req *Request) {
	defer close(c.written)
	if c.writeErr = req.writeTo(c.c); c.writeErr != nil {
		// Ends a read that waits for an answer to a request that never arrived.
		_ = c.c.SetReadDeadline(time.Now().Add(keepAliveMargin))
	}
}

// ReadResponse reads the head of the next answer on the connection.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{
			Method: method,
		})
		if err != nil {
			return nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "reading the answer of %s", c.addr)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "%s switched protocols", c.addr)
		}
	}
}

// Release gives the connection back after resp's body was read to its end.
func (c *Conn) Release(resp *http.Response) {
	if c.stop != nil && !c.stop() {
		c.Close()
		return
	}
	if !c.wrote() {
		c.Close()
		return
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if c.writeErr != nil || resp.Close || !framed || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	if err := c.c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.maxIdle = c.pool.cfg.IdleTimeout
	if d, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.maxIdle = max(0, d-keepAliveMargin)
	}
	if c.maxIdle == 0 {
		c.Close()
		return
	}
	c.idleAt = time.Now()
	c.pool.put(c)
}

// wrote reports whether the request has been written whole. The answer may be
// here a moment before the writer knows.
func (c *Conn) wrote() bool {
	select {
	case <-c.written:
		return true
	case <-time.After(writeSettle):
		return false
	}
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	full := p.closed || len(p.idle[c.addr]) >= p.cfg.MaxIdle
	if !full {
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if full {
		c.Close()
	}
}

// keepAlive returns the time in a Keep-Alive header.
func keepAlive(header string) (time.Duration, bool) {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			return time.Duration(seconds) * time.Second, err == nil && seconds >= 0
		}
	}
	return 0, false
}

// Close ends the connection; a request on it is dropped by most servers.
func (c *Conn) Close() {
	if c.stop != nil {
		c.stop()
	}
	// Nothing is waiting for this connection any more, and closing has no other effect.
	_ = c.c.Close()
}
