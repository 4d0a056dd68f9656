// Package pwfakeendless provides a backend server for tests that answers with bytes
// without an end, until its caller closes the connection.
//
// # Usage
//
//	s := &pwfakeendless.Server{Start: "HTTP/1.1 200 OK\r\n", Repeat: "X-A: b\r\n"}
//	client := &http.Client{Transport: &http.Transport{DialContext: s.Dial}}
//	// call the client, then check s.Taken() and s.Closed()
package pwfakeendless

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// requestBytes is the size of the reads of requests, which are discarded.
const requestBytes = 4 << 10

// Server answers a request with Start and then with Repeat, without end. Pause is the time
// before each repetition. It is safe for concurrent use.
type Server struct {
	Start  string
	Repeat string
	Pause  time.Duration

	taken  atomic.Int64
	closed atomic.Bool
}

// Taken returns the number of bytes that callers have taken.
func (s *Server) Taken() int64 { return s.taken.Load() }

// Closed reports whether a caller has closed its connection.
func (s *Server) Closed() bool { return s.closed.Load() }

// Dial opens an in-memory connection to the server.
func (s *Server) Dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.loopConn(far)
	return near, nil
}

func (s *Server) loopConn(c net.Conn) {
	if _, err := c.Read(make([]byte, requestBytes)); err != nil {
		return
	}
	go s.loopDiscard(c)
	s.Reply(c)
	// The pipe may be closed already.
	_ = c.Close()
}

// loopDiscard reads the rest of requests.
func (s *Server) loopDiscard(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// Reply writes the answer to c until that fails.
func (s *Server) Reply(c net.Conn) {
	defer s.closed.Store(true)
	next := s.Start
	for {
		n, err := io.WriteString(c, next)
		s.taken.Add(int64(n))
		if err != nil {
			return
		}
		next = s.Repeat
		time.Sleep(s.Pause)
	}
}
