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
	p, err := do.Invoke[*peers](i)
	if err != nil {
		return nil, err
	}
	platform := do.MustInvoke[Platform](i)
	return pwduty.New(do.MustInvoke[*pwsettings.Settings](i).Instance, pwduty.Deps{
		Table:     platform.Table,
		Entry:     do.MustInvoke[*pwentry.Entry](i),
		Instances: do.MustInvoke[*instanceCache](i),
		Agents: connectAgents{
			client: p.client,
			scheme: p.scheme,
		},
		ConcurrentLoads: do.MustInvoke[*pwsettings.Settings](i).Platform.ConcurrentLoads,
		Observer:        do.MustInvoke[*pwobserve.Observer](i),
	}), nil
}

// connectAgents reaches agents over connect-go.
type connectAgents struct {
	client *http.Client
	scheme string
}

func (c connectAgents) rpc(address string) pwrpc.AgentServiceClient {
	return pwrpc.NewAgentServiceClient(c.client, c.scheme+"://"+address, connect.WithGRPC(), pwrpc.ClientOptions(maxAgentMessage))
}

// Order implements pwduty.AgentLink.
func (c connectAgents) Order(ctx context.Context, address string, req *pwrpc.OrderRequest) (*pwrpc.OrderResponse, error) {
	resp, err := c.rpc(address).Order(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, pwrpc.FromConnect(err)
	}
	return resp.Msg, nil
}

// Load implements pwduty.AgentLink. An agent sends the first report of a stream at
// once.
func (c connectAgents) Load(ctx context.Context, address string) (*pwrpc.LoadReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.rpc(address).WatchLoad(ctx, connect.NewRequest(&pwrpc.WatchLoadRequest{}))
	if err != nil {
		return nil, pwrpc.FromConnect(err)
	}
	defer func() { _ = stream.Close() }()
	if !stream.Receive() {
		return nil, pwrpc.FromConnect(stream.Err())
	}
	return stream.Msg(), nil
}
