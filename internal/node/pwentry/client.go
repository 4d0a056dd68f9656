package pwentry

import (
	"context"

	"connectrpc.com/connect"

	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// ConnectDialer is a Dialer whose clients use connect-go.
type ConnectDialer struct {
	clients pwrpc.ClientCache[AgentClient]
}

// NewConnectDialer returns a dialer that connects with scheme, "http" or "https".
func NewConnectDialer(client connect.HTTPClient, scheme string, opts ...connect.ClientOption) *ConnectDialer {
	return &ConnectDialer{
		clients: pwrpc.ClientCache[AgentClient]{
			NewClient: func(address string) AgentClient {
				return &agentClient{
					rpc: pwrpc.NewAgentServiceClient(client, scheme+"://"+address, opts...),
				}
			},
		},
	}
}

// Agent returns the client of the agent at an address.
func (d *ConnectDialer) Agent(address string) AgentClient { return d.clients.Get(address) }

type agentClient struct {
	rpc pwrpc.AgentServiceClient
}

func (c *agentClient) Execute(ctx context.Context, req *pwrpc.ExecuteRequest, recv func(*pwrpc.AnswerEvent) error) error {
	return pwrpc.CallStream(ctx, req, recv, c.rpc.Execute)
}

func (c *agentClient) ReadAnswer(ctx context.Context, req *pwrpc.ReadAnswerRequest, recv func(*pwrpc.AnswerEvent) error) error {
	return pwrpc.CallStream(ctx, req, recv, c.rpc.ReadAnswer)
}

func (c *agentClient) WatchLoad(ctx context.Context, req *pwrpc.WatchLoadRequest, recv func(*pwrpc.LoadReport) error) error {
	return pwrpc.CallStream(ctx, req, recv, c.rpc.WatchLoad)
}

func (c *agentClient) Cancel(ctx context.Context, req *pwrpc.CancelRequest) (*pwrpc.CancelResponse, error) {
	return pwrpc.CallUnary(ctx, req, c.rpc.Cancel)
}

func (c *agentClient) Call(ctx context.Context, req *pwrpc.CallRequest) (*pwrpc.CallResponse, error) {
	return pwrpc.CallUnary(ctx, req, c.rpc.Call)
}

func (c *agentClient) ReserveMember(ctx context.Context, req *pwrpc.ReserveMemberRequest) (*pwrpc.ReserveMemberResponse, error) {
	return pwrpc.CallUnary(ctx, req, c.rpc.ReserveMember)
}

func (c *agentClient) ReleaseMember(ctx context.Context, req *pwrpc.ReleaseMemberRequest) (*pwrpc.ReleaseMemberResponse, error) {
	return pwrpc.CallUnary(ctx, req, c.rpc.ReleaseMember)
}

func (c *agentClient) RunSegment(ctx context.Context, req *pwrpc.RunSegmentRequest) (*pwrpc.RunSegmentResponse, error) {
	return pwrpc.CallUnary(ctx, req, c.rpc.RunSegment)
}
