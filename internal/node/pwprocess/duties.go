package pwprocess

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/samber/do/v2"

	"github.com/pomeloweir/pomeloweir/internal/node/pwduty"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
)

func newDuties(i do.Injector) (*pwduty.Duties, error) {
	p, err := do.Invoke[*peerConnections](i)
	if err != nil {
		return nil, err
	}
	platform := do.MustInvoke[Platform](i)
	return pwduty.New(do.MustInvoke[*pwsettings.Settings](i).Instance, pwduty.Deps{
		Table:     platform.Table,
		Entry:     do.MustInvoke[*pwentry.Entry](i),
		Instances: do.MustInvoke[*instanceCache](i),
		Agents: connectAgentClient{
			httpClient: p.httpClient,
			scheme:     p.scheme,
		},
		ConcurrentLoads: do.MustInvoke[*pwsettings.Settings](i).Platform.ConcurrentLoads,
		Observer:        do.MustInvoke[*pwobserve.Observer](i),
	}), nil
}

// connectAgentClient sends the requests of the duties to agents over connect-go.
type connectAgentClient struct {
	httpClient *http.Client
	scheme     string
}

func (c connectAgentClient) newClient(address string) pwrpc.AgentServiceClient {
	return pwrpc.NewAgentServiceClient(c.httpClient, c.scheme+"://"+address, connect.WithGRPC(), pwrpc.ClientOptions(maxAgentMessage))
}

// Order implements pwduty.AgentClient.
func (c connectAgentClient) Order(ctx context.Context, address string, req *pwrpc.OrderRequest) (*pwrpc.OrderResponse, error) {
	resp, err := c.newClient(address).Order(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, pwrpc.FromConnectError(err)
	}
	return resp.Msg, nil
}

// Load implements pwduty.AgentClient. It reads the first report of a load stream, which
// an agent sends immediately.
func (c connectAgentClient) Load(ctx context.Context, address string) (*pwrpc.LoadReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.newClient(address).WatchLoad(ctx, connect.NewRequest(&pwrpc.WatchLoadRequest{}))
	if err != nil {
		return nil, pwrpc.FromConnectError(err)
	}
	defer func() { _ = stream.Close() }()
	if !stream.Receive() {
		return nil, pwrpc.FromConnectError(stream.Err())
	}
	return stream.Msg(), nil
}
