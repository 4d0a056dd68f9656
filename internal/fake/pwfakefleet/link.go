package pwfakefleet

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// dialer provides one entry with in-memory connections to the agents.
type dialer struct {
	fleet *Fleet
	entry int
	dc    pwrequest.DataCentre
}

// Agent implements pwentry.Dialer.
func (d *dialer) Agent(address string) pwentry.AgentClient {
	return &link{
		dialer:  d,
		address: address,
	}
}

// link carries the calls from one entry to one agent, with latency. Open calls fail when
// the agent ends, the path between the two is cut, or the entry ends the call's context.
type link struct {
	dialer  *dialer
	address string
}

// connect waits for the latency to the agent and returns the agent process, a context that
// ends when the agent ends or the path is cut, and a function that releases both.
func (l *link) connect(ctx context.Context) (*agentProcess, context.Context, context.CancelFunc, error) {
	f := l.dialer.fleet
	p, ok := f.agentProcessAt(l.address)
	if !ok || f.isCut(l.dialer.entry, l.address) {
		return nil, nil, nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "agent %s cannot be reached", l.address)
	}
	if err := f.delayMessage(ctx, l.dialer.dc, p.cfg.DataCentre); err != nil {
		return nil, nil, nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseOf(err), "call ended before it was sent")
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.ctx, cancel)
	unregister := f.cancelOnCut(l.dialer.entry, l.address, cancel)
	return p, ctx, func() {
		stop()
		unregister()
		cancel()
	}, nil
}

// isBroken reports whether the agent has ended or the path to it is cut.
func (l *link) isBroken(p *agentProcess) bool {
	return p.ctx.Err() != nil || l.dialer.fleet.isCut(l.dialer.entry, l.address)
}

var errPathBroken = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "connection to the agent broke")

// callUnary calls a method with one response, with latency in both directions.
func callUnary[Req, Resp any](ctx context.Context, l *link, req *Req, method func(*agentProcess) func(context.Context, *Req) (*Resp, error)) (*Resp, error) {
	p, ctx, done, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	defer done()
	call := &unaryCall[Req, Resp]{
		method: method(p),
		done:   make(chan struct{}),
	}
	go call.run(ctx, req)
	select {
	case <-call.done:
	case <-ctx.Done():
		// A client does not wait for a response after that; the agent may go on.
		return nil, errPathBroken
	}
	resp, err := call.resp, call.err
	if l.isBroken(p) {
		return nil, errPathBroken
	}
	if err != nil {
		return nil, err
	}
	if err := l.dialer.fleet.delayMessage(ctx, p.cfg.DataCentre, l.dialer.dc); err != nil {
		return nil, errPathBroken
	}
	return resp, nil
}

// unaryCall is a call of a method with one response. resp and err are set once done is
// closed.
type unaryCall[Req, Resp any] struct {
	method func(context.Context, *Req) (*Resp, error)
	resp   *Resp
	err    error
	done   chan struct{}
}

func (c *unaryCall[Req, Resp]) run(ctx context.Context, req *Req) {
	defer close(c.done)
	c.resp, c.err = c.method(ctx, req)
}

// delivery is a stream event on its way to the entry.
type delivery[Ev any] struct {
	event     *Ev
	arrivesAt time.Time
}

// streamBuffer bounds the number of events of a stream that are on their way.
const streamBuffer = 256

// callStream calls a method with a stream of events, and passes each event to recv when
// it arrives.
func callStream[Req, Ev any](ctx context.Context, l *link, req *Req, recv func(*Ev) error, method func(*agentProcess) func(context.Context, *Req, func(*Ev) error) error) error {
	p, ctx, done, err := l.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	s := &streamSender[Req, Ev]{
		ctx:     ctx,
		latency: l.dialer.fleet.latency(p.cfg.DataCentre, l.dialer.dc),
		events:  make(chan delivery[Ev], streamBuffer),
		result:  make(chan error, 1),
	}
	go s.run(req, method(p))
	for d := range s.events {
		if err := sleepUntil(ctx, d.arrivesAt); err != nil || l.isBroken(p) {
			return streamError(ctx, l, p)
		}
		if err := recv(d.event); err != nil {
			return err
		}
	}
	if l.isBroken(p) {
		return errPathBroken
	}
	return <-s.result
}

// streamError returns the reason why a stream ended: a broken path or the end of ctx.
func streamError(ctx context.Context, l *link, p *agentProcess) error {
	if l.isBroken(p) {
		return errPathBroken
	}
	return ctx.Err()
}

// streamSender runs the agent's side of a stream. It closes events when the method has
// returned its result.
type streamSender[Req, Ev any] struct {
	ctx     context.Context
	latency time.Duration
	events  chan delivery[Ev]
	result  chan error
}

func (s *streamSender[Req, Ev]) run(req *Req, method func(context.Context, *Req, func(*Ev) error) error) {
	defer close(s.events)
	s.result <- method(s.ctx, req, func(ev *Ev) error {
		select {
		case s.events <- delivery[Ev]{
			event:     ev,
			arrivesAt: time.Now().Add(s.latency),
		}:
			return nil
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	})
}

// sleepUntil waits until the given time or the end of ctx, whose error it returns.
func sleepUntil(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *link) Execute(ctx context.Context, req *pwrpc.ExecuteRequest, recv func(*pwrpc.AnswerEvent) error) error {
	return callStream(ctx, l, req, recv, func(p *agentProcess) func(context.Context, *pwrpc.ExecuteRequest, func(*pwrpc.AnswerEvent) error) error {
		return p.agent.Execute
	})
}

func (l *link) ReadAnswer(ctx context.Context, req *pwrpc.ReadAnswerRequest, recv func(*pwrpc.AnswerEvent) error) error {
	return callStream(ctx, l, req, recv, func(p *agentProcess) func(context.Context, *pwrpc.ReadAnswerRequest, func(*pwrpc.AnswerEvent) error) error {
		return p.agent.ReadAnswer
	})
}

func (l *link) WatchLoad(ctx context.Context, req *pwrpc.WatchLoadRequest, recv func(*pwrpc.LoadReport) error) error {
	return callStream(ctx, l, req, recv, func(p *agentProcess) func(context.Context, *pwrpc.WatchLoadRequest, func(*pwrpc.LoadReport) error) error {
		return p.agent.WatchLoad
	})
}

func (l *link) Cancel(ctx context.Context, req *pwrpc.CancelRequest) (*pwrpc.CancelResponse, error) {
	return callUnary(ctx, l, req, func(p *agentProcess) func(context.Context, *pwrpc.CancelRequest) (*pwrpc.CancelResponse, error) {
		return p.agent.Cancel
	})
}

func (l *link) Call(ctx context.Context, req *pwrpc.CallRequest) (*pwrpc.CallResponse, error) {
	return callUnary(ctx, l, req, func(p *agentProcess) func(context.Context, *pwrpc.CallRequest) (*pwrpc.CallResponse, error) {
		return p.agent.Call
	})
}

func (l *link) ReserveMember(ctx context.Context, req *pwrpc.ReserveMemberRequest) (*pwrpc.ReserveMemberResponse, error) {
	return callUnary(ctx, l, req, func(p *agentProcess) func(context.Context, *pwrpc.ReserveMemberRequest) (*pwrpc.ReserveMemberResponse, error) {
		return func(ctx context.Context, req *pwrpc.ReserveMemberRequest) (*pwrpc.ReserveMemberResponse, error) {
			resp, err := p.agent.ReserveMember(ctx, req)
			if err == nil && resp.Refusal == nil {
				l.dialer.fleet.recordMemberReservation(l.address)
			}
			return resp, err
		}
	})
}

func (l *link) ReleaseMember(ctx context.Context, req *pwrpc.ReleaseMemberRequest) (*pwrpc.ReleaseMemberResponse, error) {
	return callUnary(ctx, l, req, func(p *agentProcess) func(context.Context, *pwrpc.ReleaseMemberRequest) (*pwrpc.ReleaseMemberResponse, error) {
		return p.agent.ReleaseMember
	})
}

func (l *link) RunSegment(ctx context.Context, req *pwrpc.RunSegmentRequest) (*pwrpc.RunSegmentResponse, error) {
	return callUnary(ctx, l, req, func(p *agentProcess) func(context.Context, *pwrpc.RunSegmentRequest) (*pwrpc.RunSegmentResponse, error) {
		return p.agent.RunSegment
	})
}

// recordMemberReservation records that the agent at an address accepted a group member now.
func (f *Fleet) recordMemberReservation(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastMemberReservations[address] = time.Now()
}
