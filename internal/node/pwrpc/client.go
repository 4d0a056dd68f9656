package pwrpc

import (
	"context"
	"sync"

	"connectrpc.com/connect"
)

// maxClients bounds the clients that a cache keeps; they hold no connections of
// their own.
const maxClients = 4096

// ClientCache keeps one client for each address.
type ClientCache[C any] struct {
	// NewClient returns the client of an address.
	NewClient func(address string) C

	mu        sync.Mutex
	byAddress map[string]C
}

// Get returns the client of an address.
func (c *ClientCache[C]) Get(address string) C {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.byAddress[address]; ok {
		return client
	}
	if c.byAddress == nil || len(c.byAddress) >= maxClients {
		c.byAddress = map[string]C{}
	}
	client := c.NewClient(address)
	c.byAddress[address] = client
	return client
}

// CallUnary makes one call and gives its error a verdict.
func CallUnary[Req, Resp any](ctx context.Context, req *Req, call func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	resp, err := call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, FromConnectError(err)
	}
	return resp.Msg, nil
}

// CallStream passes the events of a stream to recv until it ends, and gives its
// error a verdict. An error of recv ends it too.
func CallStream[Req, Ev any](ctx context.Context, req *Req, recv func(*Ev) error, call func(context.Context, *connect.Request[Req]) (*connect.ServerStreamForClient[Ev], error)) error {
	st, err := call(ctx, connect.NewRequest(req))
	if err != nil {
		return FromConnectError(err)
	}
	defer func() { _ = st.Close() }()
	for st.Receive() {
		if err := recv(st.Msg()); err != nil {
			return err
		}
	}
	return FromConnectError(st.Err())
}
