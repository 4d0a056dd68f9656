package pwfakeplatform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// PipeServer serves a handler over in-memory connections, so that a test in a
// synctest bubble needs no network.
type PipeServer struct {
	server   *http.Server
	listener *pipeListener
	client   *http.Client
	refused  atomic.Bool
}

// readHeaderTimeout bounds how long a connection may take to send a header.
const readHeaderTimeout = 10 * time.Second

// NewPipeServer starts a server. End it with Close.
func NewPipeServer(h http.Handler) *PipeServer {
	s := &PipeServer{
		server: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
		},
		listener: &pipeListener{
			conns:  make(chan net.Conn),
			closed: make(chan struct{}),
		},
	}
	s.client = &http.Client{
		Transport: &http.Transport{
			DialContext: s.dial,
		},
	}
	go s.run()
	return s
}

func (s *PipeServer) run() { _ = s.server.Serve(s.listener) }

// Client returns a client whose connections all lead to the server.
func (s *PipeServer) Client() *http.Client { return s.client }

// RefuseConnections makes new connections fail; open ones that are idle are closed.
func (s *PipeServer) RefuseConnections(on bool) {
	s.refused.Store(on)
	s.client.CloseIdleConnections()
}

// Close ends the server and all connections.
func (s *PipeServer) Close() {
	s.client.CloseIdleConnections()
	_ = s.server.Close()
	_ = s.listener.Close()
}

func (s *PipeServer) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	if s.refused.Load() {
		return nil, &net.OpError{
			Op:  "dial",
			Net: network,
			Err: net.ErrClosed,
		}
	}
	client, server := net.Pipe()
	select {
	case s.listener.conns <- server:
		return client, nil
	case <-s.listener.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener hands the server's ends of pipes to the HTTP server.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}
