package pwrpc

import (
	"context"
	"sync"

	"connectrpc.com/connect"
)

// maxClients bounds the clients in a cache. A full cache is emptied, which closes no
// connections, because the connections belong to the HTTP client.
const maxClients = 4096

// ClientCache creates one client for each address and reuses it. It is safe for
// concurrent use.
type ClientCache[C any] struct {
	// NewClient creates the client of an address.
	NewClient func(address string) C

	mu        sync.Mutex
	byAddress map[string]C
}

// Get returns the cached client of an address, or creates it.
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

// CallUnary makes a unary call. Its error has a verdict, see FromConnectError.
func CallUnary[Req, Resp any](ctx context.Context, req *Req, call func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	resp, err := call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, FromConnectError(err)
	}
	return resp.Msg, nil
}

// CallStream starts a server stream and passes its messages to recv until the stream
// ends or recv returns an error, which CallStream returns as it is. An error of the
// stream has a verdict, see FromConnectError.
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
