package pwtransport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// errEndBeforeRequest is returned for a response that ended with its connection before the
// request was written whole.
var errEndBeforeRequest = errors.New("the connection ended before the request was written")

// CheckResponses returns a round tripper that fails for what is no response or no complete
// one: a status that is none (see StatusError), and an HTTP/1.1 response without a length
// whose connection ended before its request was written whole. The latter fails while its
// body is read. If next is an *http.Transport, a copy of it is used.
func CheckResponses(next http.RoundTripper) http.RoundTripper {
	if t, ok := next.(*http.Transport); ok {
		t = t.Clone()
		t.DialContext = checkedDial(t.DialContext)
		next = t
	}
	return &responseChecker{
		next: next,
	}
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checkedDial returns a dial function whose connections are checkedConns. A nil dial means
// that of the net package.
func checkedDial(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{
			Conn: c,
		}, nil
	}
}

// checkedConn is a connection that ends with an error, instead of io.EOF, when a write has
// failed or still waits, which is then ended. The kernel reports a reset once: when a write
// has got it, a read gets a plain end, which completes an HTTP/1.1 response without a length.
type checkedConn struct {
	net.Conn

	// mu is held while a write runs.
	mu       sync.Mutex
	writeErr error
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := c.endWrite(); writeErr != nil {
			return n, errors.Join(errEndBeforeRequest, writeErr)
		}
	}
	return n, err
}

// endWrite ends a write that is still waiting and returns why a write has failed, or nil.
func (c *checkedConn) endWrite() error {
	// The error is ignored: setting a deadline fails only on a closed connection, on which
	// no write waits.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

type responseChecker struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (c *responseChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	w := &requestWrite{}
	resp, err := c.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn:      w.begin,
		WroteRequest: w.end,
	})))
	if err != nil {
		return nil, err
	}
	if err := checkFinalStatus(resp.StatusCode); err != nil {
		// The body would hold the connection. Its rest is of no use.
		_ = resp.Body.Close()
		return nil, err
	}
	if resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		resp.Body = &unframedBody{
			ReadCloser: resp.Body,
			ctx:        r.Context(),
			write:      w,
		}
	}
	return resp, nil
}

// checkFinalStatus returns an error unless a status is that of a final response.
func checkFinalStatus(status int) error {
	if err := CheckStatus(status); err != nil {
		return err
	}
	if status < http.StatusOK {
		return fmt.Errorf("an informational response, %d, instead of a final one", status)
	}
	return nil
}

// requestWrite records how the write of a request ended on the connection that it was last
// sent on.
type requestWrite struct {
	mu    sync.Mutex
	ended bool
	err   error
	// done is closed when the write has ended. It is nil while the request has had no
	// connection, which a round tripper without connections never reports.
	done chan struct{}
}

func (w *requestWrite) begin(httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done, w.ended, w.err = make(chan struct{}), false, nil
}

func (w *requestWrite) end(info httptrace.WroteRequestInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done == nil || w.ended {
		return
	}
	w.ended, w.err = true, info.Err
	close(w.done)
}

// wait returns why the request was not written whole, or nil. A connection that has ended
// ends the write.
func (w *requestWrite) wait(ctx context.Context) error {
	w.mu.Lock()
	done := w.done
	w.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-done:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	ctx   context.Context
	write *requestWrite
}

// Read implements io.Reader. It returns io.EOF only if the request was written whole.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := b.write.wait(b.ctx); writeErr != nil {
			return n, errors.Join(errEndBeforeRequest, writeErr)
		}
	}
	return n, err
}
