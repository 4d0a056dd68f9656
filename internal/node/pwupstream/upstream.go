// Package pwupstream pools HTTP/1.1 connections to backend servers. A connection
// carries one request at a time. It is reused only if the previous response was
// read completely, no bytes follow that response, and the server's keep-alive
// timeout is not about to expire.
//
// # Usage
//
//	pool := pwupstream.New(pwupstream.Config{})
//	conn, err := pool.Get(ctx, "10.1.0.4:8080", "request-1")
//	resp, err := conn.Do(ctx, req)
//	// read resp.Body to its end
//	conn.Release(resp)
//
// The verdict of an error states whether the request may have run: failures to
// connect are NotRun, failures after the first written byte are MayHaveRun.
package pwupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
)

// Defaults of a Config.
const (
	// DefaultDialTimeout is short, so that a SYN packet lost within a region delays a
	// request by less than a caller would notice.
	DefaultDialTimeout = 350 * time.Millisecond
	// DefaultIdleTimeout is how long a connection may be idle and still be reused
	// if the server sent no Keep-Alive timeout.
	DefaultIdleTimeout = 900 * time.Millisecond
	// DefaultUserTimeout is the TCP user timeout: the kernel closes a connection
	// whose sent bytes stay unacknowledged for this long.
	DefaultUserTimeout = 900 * time.Millisecond
	// DefaultMaxIdlePerServer bounds the idle connections to one server.
	DefaultMaxIdlePerServer = 16
	// keepAliveMargin is subtracted from the server's Keep-Alive timeout to allow
	// for network latency: the server may close the connection while a request is
	// in flight.
	keepAliveMargin = 400 * time.Millisecond
	// keepAliveInterval is the interval of the TCP keep-alive probes that detect
	// an unresponsive server while a request runs.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// writeDoneTimeout is how long Release waits for the goroutine that writes the
	// request to finish.
	writeDoneTimeout = 5 * time.Millisecond
	readBufferBytes  = 4 << 10
	// maxHeadBytes bounds the status lines and headers that are read for one response,
	// including those of the informational responses before it.
	maxHeadBytes = 32 << 10
	// maxCarriedIDs bounds the requests that one connection carries.
	maxCarriedIDs = 256
	// maxInformationalResponses bounds the informational (1xx) responses before a
	// response.
	maxInformationalResponses = 8
	// MaxDrainBytes bounds the rest of a body that Drain reads, and drainTimeout the
	// time that it takes. Beyond that, a new connection is cheaper.
	MaxDrainBytes = 16 << 10
	drainTimeout  = 250 * time.Millisecond
)

// Errors for responses that exceed a bound.
var (
	errHeadTooLarge      = fmt.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)
	errTooManyResponses  = fmt.Errorf("more than %d informational responses", maxInformationalResponses)
	errRemainderTooLarge = fmt.Errorf("the rest of the body exceeds %d bytes", MaxDrainBytes)
	// errEndBeforeRequest is returned for a response that ended with its connection before
	// the request was written whole.
	errEndBeforeRequest = errors.New("the connection ended before the request was written")
)

// headLimiter reads from a connection and bounds the bytes that are read while the head
// of a response is expected.
type headLimiter struct {
	r io.Reader
	// limited is set while a head is read; remaining is what it may still take.
	limited   bool
	remaining int
}

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// Config configures a Pool. Zero fields take their defaults.
type Config struct {
	DialTimeout      time.Duration
	IdleTimeout      time.Duration
	UserTimeout      time.Duration
	MaxIdlePerServer int
	// Dial opens a connection. The default opens a TCP connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds idle connections, grouped by server address.
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
	pwdefault.SetUnlessPositive(&cfg.MaxIdlePerServer, DefaultMaxIdlePerServer)
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
			Control: p.setUserTimeout,
		}
		p.cfg.Dial = dialer.DialContext
	}
	return p
}

// setUserTimeout sets the TCP user timeout of a new socket.
func (p *Pool) setUserTimeout(_, _ string, c syscall.RawConn) error {
	return setUserTimeout(c, p.cfg.UserTimeout)
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	return c.Control(func(fd uintptr) {
		// The error is ignored: without the option, the keep-alive probes still
		// detect an unresponsive server.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// Conn is one connection to a backend server.
type Conn struct {
	pool        *Pool
	addr        string
	netConn     net.Conn
	limiter     *headLimiter
	br          *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration
	reused      bool
	// carried holds the hashes of the ids of the requests that the connection has carried.
	carried []uint64
	// lateRead is set while a long body may be unread.
	lateRead *lateRead
	// writeDone is closed when the goroutine that writes the request has finished.
	// writeErr may be read only after that.
	writeDone chan struct{}
	writeErr  error
	// stopAbort detaches the connection from the context of its request. It reports
	// false if the context has already ended and closed the connection.
	stopAbort func() bool
}

// Reused reports whether Get took the connection from the pool.
func (c *Conn) Reused() bool { return c.reused }

// Get returns a reusable idle connection for a request with the given id, or opens a new
// one. A request without an id, "", gets a new one. Errors have the verdict NotRun.
func (p *Pool) Get(ctx context.Context, addr, id string) (*Conn, error) {
	for id != "" {
		c := p.popIdle(addr, id)
		if c == nil {
			break
		}
		if c.isReusable() {
			c.reused = true
			c.carried = append(c.carried, xxhash.Sum64String(id))
			return c, nil
		}
		c.Close()
	}
	conn, err := p.cfg.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable, "connecting to %s", addr)
	}
	limiter := &headLimiter{
		r: conn,
	}
	return &Conn{
		pool:        p,
		addr:        addr,
		netConn:     conn,
		limiter:     limiter,
		br:          bufio.NewReaderSize(limiter, readBufferBytes),
		idleTimeout: p.cfg.IdleTimeout,
		carried:     []uint64{xxhash.Sum64String(id)},
	}, nil
}

// popIdle removes and returns the idle connection that was used last, of those that have
// carried no request with the given id.
func (p *Pool) popIdle(addr, id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	hash := xxhash.Sum64String(id)
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.carried, hash) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Close closes the idle connections. Connections in use are closed when they are
// released.
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

// CloseExpired closes connections whose idle timeout has passed.
func (p *Pool) CloseExpired() {
	var closing []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) > c.idleTimeout {
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

// isReusable reports whether an idle connection is within its idle timeout, still
// open, and without unread bytes.
func (c *Conn) isReusable() bool {
	if time.Since(c.idleSince) > c.idleTimeout || c.br.Buffered() > 0 {
		return false
	}
	sysConn, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = n <= 0 && (errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EWOULDBLOCK))
		return true
	})
	return err == nil && noData
}

// Request is an HTTP request to a backend server.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// writeTo writes the request in HTTP/1.1 format. It does not normalise the
// caller's request target.
func (r *Request) writeTo(w io.Writer) error {
	bw := bufio.NewWriterSize(w, max(readBufferBytes, min(64<<10, len(r.Body)+2048)))
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

// Abort closes the network connection, which interrupts pending reads and writes.
// The caller of Do must still call Close.
func (c *Conn) Abort() {
	// Closing fails only if the connection is already closed.
	_ = c.netConn.Close()
}

// Do sends a request and returns the response as soon as its header has been read.
// If ctx ends before Release or Close is called, the connection is closed. Errors
// after the request was started have the verdict MayHaveRun.
func (c *Conn) Do(ctx context.Context, req *Request) (*http.Response, error) {
	c.stopAbort = context.AfterFunc(ctx, c.Abort)
	c.writeDone = make(chan struct{})
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.netConn.SetWriteDeadline(deadline); err != nil {
			return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable, "preparing the connection to %s", c.addr)
		}
	}
	// The request is written concurrently, because a server may respond before it
	// has read a long body.
	go c.writeRequest(req)
	if deadline, ok := ctx.Deadline(); ok && len(req.Body) > longBodyBytes {
		c.lateRead = c.startLateRead(time.Until(deadline))
	}
	return c.ReadResponse(req.Method)
}

func (c *Conn) writeRequest(req *Request) {
	defer close(c.writeDone)
	if c.writeErr = req.writeTo(c.netConn); c.writeErr != nil {
		// The request did not arrive, so the read of its response must not wait
		// indefinitely. The deadline leaves time to read an early response.
		_ = c.netConn.SetReadDeadline(time.Now().Add(keepAliveMargin))
	}
}

// ReadResponse reads the header of the next response on the connection and skips
// informational (1xx) responses. It fails when a head has no end within maxHeadBytes or when
// its status is none.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	c.limiter.limited, c.limiter.remaining = true, maxHeadBytes
	defer func() { c.limiter.limited = false }()
	for range maxInformationalResponses + 1 {
		resp, err := http.ReadResponse(c.br, &http.Request{
			Method: method,
		})
		if err != nil {
			return nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "reading the response of %s", c.addr)
		}
		if err := pwtransport.CheckStatus(resp.StatusCode); err != nil {
			return nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "reading the response of %s", c.addr)
		}
		if resp.StatusCode >= http.StatusOK {
			if !IsDelimited(resp) && resp.Body != http.NoBody {
				resp.Body = &unframedBody{
					ReadCloser: resp.Body,
					conn:       c,
				}
			}
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "%s switched protocols", c.addr)
		}
	}
	return nil, pwverdict.Wrap(errTooManyResponses, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "reading the response of %s", c.addr)
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader. It returns io.EOF only if the request was written whole. The
// kernel reports a reset once: when a write has got it, a read gets a plain end of the
// connection, as if the response were complete.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := b.conn.endWrite(); writeErr != nil {
			return n, errors.Join(errEndBeforeRequest, writeErr)
		}
	}
	return n, err
}

// endWrite ends a write of the request that is still waiting, and returns why the request
// was not written whole, or nil.
func (c *Conn) endWrite() error {
	// The error is ignored: setting a deadline fails only on a closed connection, on which
	// no write waits.
	_ = c.netConn.SetWriteDeadline(time.Unix(1, 0))
	<-c.writeDone
	return c.writeErr
}

// Drain reads the rest of a body that is not needed, after which the connection can
// carry another response. It fails when the rest exceeds MaxDrainBytes or takes longer
// than drainTimeout; the connection must then be closed.
func (c *Conn) Drain(resp *http.Response) error {
	if err := c.netConn.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxDrainBytes+1))
	if err != nil {
		return err
	}
	if n > MaxDrainBytes {
		return errRemainderTooLarge
	}
	return c.netConn.SetReadDeadline(time.Time{})
}

// Release returns the connection to the pool. The caller must have read resp.Body
// to its end. A connection that is not safe to reuse is closed instead.
func (c *Conn) Release(resp *http.Response) {
	if c.stopAbort != nil && !c.stopAbort() {
		c.Close()
		return
	}
	if !c.awaitWrite() {
		c.Close()
		return
	}
	if c.writeErr != nil || resp.Close || !IsDelimited(resp) || c.br.Buffered() > 0 || len(c.carried) >= maxCarriedIDs {
		c.Close()
		return
	}
	if err := c.netConn.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.idleTimeout = c.pool.cfg.IdleTimeout
	if d, ok := parseKeepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = max(0, d-keepAliveMargin)
	}
	if c.idleTimeout == 0 {
		c.Close()
		return
	}
	c.lateRead.stop()
	c.lateRead = nil
	c.idleSince = time.Now()
	c.pool.pushIdle(c)
}

// IsDelimited reports whether a response has a length or chunks, which show its end. Other
// responses end with their connection.
func IsDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// awaitWrite reports whether the goroutine that writes the request has finished.
// It waits briefly, because the response can arrive before that goroutine's last
// write returns.
func (c *Conn) awaitWrite() bool {
	select {
	case <-c.writeDone:
		return true
	case <-time.After(writeDoneTimeout):
		return false
	}
}

func (p *Pool) pushIdle(c *Conn) {
	p.mu.Lock()
	discard := p.closed || len(p.idle[c.addr]) >= p.cfg.MaxIdlePerServer
	if !discard {
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if discard {
		c.Close()
	}
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header.
func parseKeepAlive(header string) (time.Duration, bool) {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			return time.Duration(seconds) * time.Second, err == nil && seconds >= 0
		}
	}
	return 0, false
}

// Close closes the connection. Most servers cancel a request that is running on it.
func (c *Conn) Close() {
	if c.stopAbort != nil {
		c.stopAbort()
	}
	c.lateRead.stop()
	// A failed close needs no handling: the connection is not used any more.
	_ = c.netConn.Close()
}
