package pwtransport

import (
	"errors"
	"io"
	"net"
	"testing"
)

// Guards against a reset that a read sees as the plain end of the connection, because the
// kernel has reported it to a write.
func TestResetReportedToWriteEndsReads(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := checkedDial(nil)(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 32<<20))
		written <- err
	}()
	if _, err := io.ReadFull(far, make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	tcp, ok := far.(*net.TCPConn)
	if !ok {
		t.Fatal("not a TCP connection")
	}
	if err := errors.Join(tcp.SetLinger(0), tcp.Close()); err != nil {
		t.Fatal(err)
	}
	if err := <-written; err == nil {
		t.Fatal("the write succeeded")
	}
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("the read ended with %v, want the reset", err)
	}
}
