package pwupstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// resetEarly serves one connection: it answers a request that it does not read, with the given
// head and the body "part", and resets the connection when reset is closed.
func resetEarly(l net.Listener, head string, reset <-chan struct{}) error {
	c, err := l.Accept()
	if err != nil {
		return err
	}
	_, writeErr := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\npart", head)
	<-reset
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	return errors.Join(writeErr, tcp.SetLinger(0), tcp.Close())
}

// Guards against a part of an answer that is taken as the whole: the server answers an upload at
// once and resets the connection. The kernel reports the reset only to the write that waits for
// room, after which the read sees a plain end.
func TestResetDuringUpload(t *testing.T) {
	for name, head := range map[string]string{
		"without a length": "",
		"with a length":    "Content-Length: 9\r\n",
		"in chunks":        "Transfer-Encoding: chunked\r\n\r\n9\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			reset, served := make(chan struct{}), make(chan error, 1)
			go func() { served <- resetEarly(l, head, reset) }()
			p := New(Config{})
			defer p.Close()
			c, err := p.Get(t.Context(), l.Addr().String(), nextID())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			resp, err := c.Do(t.Context(), &Request{ //nolint:bodyclose // the connection is closed
				Method: http.MethodPost,
				Target: "/a",
				Host:   "h",
				Header: http.Header{},
				Body:   make([]byte, 32<<20),
			})
			if err != nil {
				t.Fatal(err)
			}
			part := make([]byte, len("part"))
			if _, err := io.ReadFull(resp.Body, part); err != nil {
				t.Fatal(err)
			}
			close(reset)
			<-c.writeDone
			rest, err := io.ReadAll(resp.Body)
			if err == nil {
				t.Errorf("the answer %q counts as complete after the write failed with: %v", string(part)+string(rest), c.writeErr)
			}
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
	}
}
