package pwagent

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// Handler returns the connect-go handler of an agent and the path prefix to mount it
// under.
func Handler(a *Agent, opts ...connect.HandlerOption) (string, http.Handler) {
	return pwrpc.NewAgentServiceHandler(&rpcServer{
		agent: a,
	}, opts...)
}

// rpcServer implements the RPC service of the agent.
type rpcServer struct {
	agent *Agent
}

// serveUnary adapts a unary method of the agent to connect-go.
func serveUnary[Req, Resp any](ctx context.Context, req *connect.Request[Req], call func(context.Context, *Req) (*Resp, error)) (*connect.Response[Resp], error) {
	resp, err := call(ctx, req.Msg)
	if err != nil {
		return nil, pwrpc.ToConnectError(err)
	}
	return connect.NewResponse(resp), nil
}

// serveStream adapts a streaming method of the agent to connect-go.
func serveStream[Req, Ev any](ctx context.Context, req *connect.Request[Req], s *connect.ServerStream[Ev], call func(context.Context, *Req, func(*Ev) error) error) error {
	if err := call(ctx, req.Msg, s.Send); err != nil {
		return pwrpc.ToConnectError(err)
	}
	return nil
}

func (s *rpcServer) Execute(ctx context.Context, req *connect.Request[pwrpc.ExecuteRequest], st *connect.ServerStream[pwrpc.AnswerEvent]) error {
	return serveStream(ctx, req, st, s.agent.Execute)
}

func (s *rpcServer) ReadAnswer(ctx context.Context, req *connect.Request[pwrpc.ReadAnswerRequest], st *connect.ServerStream[pwrpc.AnswerEvent]) error {
	return serveStream(ctx, req, st, s.agent.ReadAnswer)
}

func (s *rpcServer) WatchLoad(ctx context.Context, req *connect.Request[pwrpc.WatchLoadRequest], st *connect.ServerStream[pwrpc.LoadReport]) error {
	return serveStream(ctx, req, st, s.agent.WatchLoad)
}

func (s *rpcServer) Cancel(ctx context.Context, req *connect.Request[pwrpc.CancelRequest]) (*connect.Response[pwrpc.CancelResponse], error) {
	return serveUnary(ctx, req, s.agent.Cancel)
}

func (s *rpcServer) Call(ctx context.Context, req *connect.Request[pwrpc.CallRequest]) (*connect.Response[pwrpc.CallResponse], error) {
	return serveUnary(ctx, req, s.agent.Call)
}

func (s *rpcServer) ReserveMember(ctx context.Context, req *connect.Request[pwrpc.ReserveMemberRequest]) (*connect.Response[pwrpc.ReserveMemberResponse], error) {
	return serveUnary(ctx, req, s.agent.ReserveMember)
}

func (s *rpcServer) ReleaseMember(ctx context.Context, req *connect.Request[pwrpc.ReleaseMemberRequest]) (*connect.Response[pwrpc.ReleaseMemberResponse], error) {
	return serveUnary(ctx, req, s.agent.ReleaseMember)
}

func (s *rpcServer) RunSegment(ctx context.Context, req *connect.Request[pwrpc.RunSegmentRequest]) (*connect.Response[pwrpc.RunSegmentResponse], error) {
	return serveUnary(ctx, req, s.agent.RunSegment)
}

func (s *rpcServer) Order(ctx context.Context, req *connect.Request[pwrpc.OrderRequest]) (*connect.Response[pwrpc.OrderResponse], error) {
	return serveUnary(ctx, req, s.agent.Order)
}
