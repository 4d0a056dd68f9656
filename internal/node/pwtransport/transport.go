// Package pwtransport builds the HTTP servers and clients of the system's
// processes, with limits on time, size and connections.
//
// # Usage
//
//	s := pwtransport.NewServer(handler, tlsConfig)
//	go pwtransport.Serve(s, listener)
//	err := s.Shutdown(ctx)
//
//	client := pwtransport.NewClient(tlsConfig)
//
// A nil TLS configuration means HTTP/2 without encryption, which is intended for
// loopback addresses and tests.
package pwtransport

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout is the longest time that a client may take to send a request
	// header.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the size of the largest request header.
	maxHeaderBytes = 64 << 10
	// maxStreams is the largest number of concurrent streams of one connection.
	maxStreams = 1024
	// dialTimeout is the timeout for connecting and for the TLS handshake. It is
	// short, so that a request whose server does not respond can still get its first
	// token from another server in time.
	dialTimeout = 2 * time.Second
	// pingIdleTime is the time without frames after which a connection is pinged,
	// and pingTimeout is the time to wait for the response. The pings detect
	// connections whose peer has vanished.
	pingIdleTime = 5 * time.Second
	pingTimeout  = 3 * time.Second
	// maxIdleConnsPerHost is the largest number of idle connections kept to one
	// peer.
	maxIdleConnsPerHost = 4
)

// serverProtocols returns the protocols of a server: HTTP/1, and HTTP/2 with TLS or,
// if cfg is nil, without encryption.
func serverProtocols(cfg *tls.Config) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(cfg != nil)
	p.SetUnencryptedHTTP2(cfg == nil)
	return p
}

// NewServer returns a server for a handler. It serves without TLS if cfg is nil.
func NewServer(h http.Handler, cfg *tls.Config) *http.Server {
	return &http.Server{
		Handler:           h,
		TLSConfig:         cfg,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         serverProtocols(cfg),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingIdleTime,
			PingTimeout:          pingTimeout,
		},
	}
}

// Serve accepts connections on a listener until the server is shut down. It uses TLS
// if the server has a TLS configuration.
func Serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// NewClient returns a client for calls to other processes. It connects without TLS
// if cfg is nil. The client sets no timeout for a call; callers set it by the
// context.
func NewClient(cfg *tls.Config) *http.Client {
	p := &http.Protocols{}
	p.SetHTTP2(cfg != nil)
	p.SetUnencryptedHTTP2(cfg == nil)
	return &http.Client{
		Transport: &http.Transport{
			Proxy: nil,
			DialContext: (&net.Dialer{
				Timeout: dialTimeout,
			}).DialContext,
			TLSClientConfig:        cfg,
			TLSHandshakeTimeout:    dialTimeout,
			MaxIdleConnsPerHost:    maxIdleConnsPerHost,
			MaxResponseHeaderBytes: maxHeaderBytes,
			IdleConnTimeout:        idleTimeout,
			Protocols:              p,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: pingIdleTime,
				PingTimeout:     pingTimeout,
			},
		},
	}
}
