// Package pwpeer is the connection between any two processes of the system:
// the exchange of configuration changes, request records, and the question
// whether a change is in force.
//
// # Usage
//
//	path, handler := pwpeer.Handler(&pwpeer.Server{
//		Self:    self,
//		Node:    node,
//		Records: records,
//	})
//	mux.Handle(path, handler)
//
//	dialer := pwpeer.NewDialer(client, "https")
//	resp, err := dialer.Peer(instance).Exchange(ctx, request)
package pwpeer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// maxMessageBytes bounds one message. The largest carry changes.
const maxMessageBytes = 16 << 20

// GossipNode is what the server needs of the exchange.
type GossipNode interface {
	HandleExchange(ctx context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error)
	Get(key string) (pwchange.Change, bool)
}

// Records holds request records for other processes. Put never replaces a
// newer record with an older one.
type Records interface {
	Put(record *pwrpc.RequestRecord) error
	Get(id pwrequest.ID) (*pwrpc.RequestRecord, bool)
}

// Server answers the peers of one process.
type Server struct {
	Self   pwinstance.Instance
	Gossip GossipNode
	// Records is nil in a process that holds none.
	Records Records
}

// NewHandler serves peers by connect-go. It returns the path prefix to mount it
// under.
func NewHandler(s *Server) (string, http.Handler) {
	return pwrpc.NewPeerServiceHandler(s, pwrpc.HandlerOptions(maxMessageBytes))
}

// Exchange implements the peer service.
func (s *Server) Exchange(ctx context.Context, req *connect.Request[pwrpc.ExchangeRequest]) (*connect.Response[pwrpc.ExchangeResponse], error) {
	resp, err := s.Gossip.HandleExchange(ctx, req.Msg)
	if err != nil {
		return nil, pwrpc.ToConnectError(err)
	}
	return connect.NewResponse(resp), nil
}

// PutRecord implements the peer service.
func (s *Server) PutRecord(_ context.Context, req *connect.Request[pwrpc.PutRecordRequest]) (*connect.Response[pwrpc.PutRecordResponse], error) {
	if s.Records == nil || req.Msg.Record == nil {
		return nil, pwrpc.ToConnectError(errNoRecords)
	}
	if err := s.Records.Put(req.Msg.Record); err != nil {
		return nil, pwrpc.ToConnectError(err)
	}
	return connect.NewResponse(&pwrpc.PutRecordResponse{}), nil
}

var errNoRecords = pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "this process holds no request records")

// GetRecord implements the peer service.
func (s *Server) GetRecord(_ context.Context, req *connect.Request[pwrpc.GetRecordRequest]) (*connect.Response[pwrpc.GetRecordResponse], error) {
	if s.Records == nil {
		return nil, pwrpc.ToConnectError(errNoRecords)
	}
	rec, ok := s.Records.Get(pwrequest.ID(req.Msg.RequestId))
	return connect.NewResponse(&pwrpc.GetRecordResponse{
		Found:  ok,
		Record: rec,
	}), nil
}

// Holds implements the peer service.
func (s *Server) Holds(_ context.Context, req *connect.Request[pwrpc.HoldsRequest]) (*connect.Response[pwrpc.HoldsResponse], error) {
	c, ok := s.Gossip.Get(req.Msg.Key)
	return connect.NewResponse(&pwrpc.HoldsResponse{
		Instance:   string(s.Self.ID),
		DataCentre: string(s.Self.DataCentre),
		InForce:    ok && c.Sequence >= req.Msg.Sequence,
	}), nil
}

// Dialer reaches peers by connect-go.
type Dialer struct {
	clients pwrpc.ClientCache[*Client]
}

// NewDialer returns a dialer; scheme is "http" or "https".
func NewDialer(client connect.HTTPClient, scheme string) *Dialer {
	return &Dialer{
		clients: pwrpc.ClientCache[*Client]{
			NewClient: func(address string) *Client {
				return &Client{
					rpc: pwrpc.NewPeerServiceClient(client, scheme+"://"+address, pwrpc.ClientOptions(maxMessageBytes)),
				}
			},
		},
	}
}

// Peer implements pwgossip.Dialer.
func (d *Dialer) Peer(i pwinstance.Instance) pwgossip.Peer { return d.Client(i.Address) }

// Client returns the client of the process at an address.
func (d *Dialer) Client(address string) *Client { return d.clients.Get(address) }

// Client calls one peer. Its errors have a verdict.
type Client struct {
	rpc pwrpc.PeerServiceClient
}

// Exchange sends an exchange.
func (c *Client) Exchange(ctx context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error) {
	return pwrpc.CallUnary(ctx, req, c.rpc.Exchange)
}

// PutRecord stores a request record at the peer.
func (c *Client) PutRecord(ctx context.Context, r *pwrpc.RequestRecord) error {
	_, err := pwrpc.CallUnary(ctx, &pwrpc.PutRecordRequest{
		Record: r,
	}, c.rpc.PutRecord)
	return err
}

// GetRecord reads a request record of the peer; nil means that it has none.
func (c *Client) GetRecord(ctx context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error) {
	resp, err := pwrpc.CallUnary(ctx, &pwrpc.GetRecordRequest{
		RequestId: string(id),
	}, c.rpc.GetRecord)
	if err != nil || !resp.Found {
		return nil, err
	}
	return resp.Record, nil
}

// Holds asks whether the peer holds a change.
func (c *Client) Holds(ctx context.Context, key string, sequence uint64) (*pwrpc.HoldsResponse, error) {
	return pwrpc.CallUnary(ctx, &pwrpc.HoldsRequest{
		Key:      key,
		Sequence: sequence,
	}, c.rpc.Holds)
}
