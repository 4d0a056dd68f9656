// Package pwpeer implements the RPCs between any two processes of the system: the
// exchange of configuration changes, the storage of request records, and the query
// whether a change is in force.
//
// # Usage
//
//	path, handler := pwpeer.NewHandler(&pwpeer.Server{
//		Self:    self,
//		Gossip:  node,
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
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// maxMessageBytes is the size of the largest message. The largest messages contain
// configuration changes.
const maxMessageBytes = 16 << 20

// GossipNode exchanges configuration changes with peers and knows which ones this process
// has applied.
type GossipNode interface {
	HandleExchange(ctx context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error)
	InForce(key string, sequence uint64) bool
}

// Records stores request records for other processes. Put never replaces a newer
// record with an older one.
type Records interface {
	Put(record *pwrpc.RequestRecord) error
	Get(id pwrequest.ID) (*pwrpc.RequestRecord, bool)
}

// Server implements the peer service of one process.
type Server struct {
	Self   pwinstance.Instance
	Gossip GossipNode
	// Records is nil in a process that stores no request records.
	Records Records
}

// NewHandler returns an HTTP handler for the peer service and the path prefix to
// mount it at.
func NewHandler(s *Server) (string, http.Handler) {
	return pwrpc.NewPeerServiceHandler(s, pwrpc.HandlerOptions(maxMessageBytes))
}

// Exchange implements the RPC that exchanges configuration changes.
func (s *Server) Exchange(ctx context.Context, req *connect.Request[pwrpc.ExchangeRequest]) (*connect.Response[pwrpc.ExchangeResponse], error) {
	resp, err := s.Gossip.HandleExchange(ctx, req.Msg)
	if err != nil {
		return nil, pwrpc.ToConnectError(err)
	}
	return connect.NewResponse(resp), nil
}

// PutRecord implements the RPC that stores a request record.
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

// GetRecord implements the RPC that reads a request record.
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

// Holds implements the RPC that reports whether a change or a newer one of the same
// key is in force in this process.
func (s *Server) Holds(_ context.Context, req *connect.Request[pwrpc.HoldsRequest]) (*connect.Response[pwrpc.HoldsResponse], error) {
	return connect.NewResponse(&pwrpc.HoldsResponse{
		Instance:   string(s.Self.ID),
		DataCentre: string(s.Self.DataCentre),
		InForce:    s.Gossip.InForce(req.Msg.Key, req.Msg.Sequence),
	}), nil
}

// Dialer creates and reuses clients for the peer service, one per address.
type Dialer struct {
	clients pwrpc.ClientCache[*Client]
}

// NewDialer returns a dialer that uses the given HTTP client; scheme is "http" or
// "https".
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

// Client calls the peer service of one process. Its errors have a verdict.
type Client struct {
	rpc pwrpc.PeerServiceClient
}

// Exchange exchanges configuration changes with the peer.
func (c *Client) Exchange(ctx context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error) {
	return pwrpc.CallUnary(ctx, req, c.rpc.Exchange)
}

// PutRecord stores a request record in the peer.
func (c *Client) PutRecord(ctx context.Context, r *pwrpc.RequestRecord) error {
	_, err := pwrpc.CallUnary(ctx, &pwrpc.PutRecordRequest{
		Record: r,
	}, c.rpc.PutRecord)
	return err
}

// GetRecord reads a request record from the peer. It returns nil if the peer does
// not have the record.
func (c *Client) GetRecord(ctx context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error) {
	resp, err := pwrpc.CallUnary(ctx, &pwrpc.GetRecordRequest{
		RequestId: string(id),
	}, c.rpc.GetRecord)
	if err != nil || !resp.Found {
		return nil, err
	}
	return resp.Record, nil
}

// Holds asks whether a change, or a newer one of the same key, is in force in the
// peer.
func (c *Client) Holds(ctx context.Context, key string, sequence uint64) (*pwrpc.HoldsResponse, error) {
	return pwrpc.CallUnary(ctx, &pwrpc.HoldsRequest{
		Key:      key,
		Sequence: sequence,
	}, c.rpc.Holds)
}
