package pwfakeplatform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// PipeServer serves an HTTP handler over in-memory connections, so that a test in
// a synctest bubble needs no network.
type PipeServer struct {
	server   *http.Server
	listener *PipeListener
	client   *http.Client
	refusing atomic.Bool
}

// readHeaderTimeout bounds how long a connection may take to send a header.
const readHeaderTimeout = 10 * time.Second

// NewPipeServer starts a server for the handler. The caller must call Close.
func NewPipeServer(h http.Handler) *PipeServer {
	s := &PipeServer{
		server: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
		},
		listener: NewPipeListener(),
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

// Client returns an HTTP client that connects to the server, whatever the host
// of the URL.
func (s *PipeServer) Client() *http.Client { return s.client }

// RefuseConnections makes new connections fail and closes the idle ones, or
// accepts connections again.
func (s *PipeServer) RefuseConnections(refuse bool) {
	s.refusing.Store(refuse)
	s.client.CloseIdleConnections()
}

// Close stops the server and closes all connections.
func (s *PipeServer) Close() {
	s.client.CloseIdleConnections()
	_ = s.server.Close()
	_ = s.listener.Close()
}

func (s *PipeServer) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	if s.refusing.Load() {
		return nil, &net.OpError{
			Op:  "dial",
			Net: network,
			Err: net.ErrClosed,
		}
	}
	return s.listener.Dial(ctx)
}

// PipeListener is a net.Listener that accepts the server ends of in-memory pipes.
type PipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
}

// Dial opens a connection to the listener. It waits until the connection is accepted.
func (l *PipeListener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener. It waits for the next dialled connection.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener. In-memory connections have no address.
func (l *PipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// Close implements net.Listener. Repeated calls have no effect.
func (l *PipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}
