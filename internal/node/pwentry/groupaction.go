package pwentry

import (
	"context"

	"github.com/pomeloweir/pomeloweir/internal/core/pwgroup"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// groupAction carries out one action of the pwgroup state machine.
type groupAction struct {
	group  *groupCoordinator
	action pwgroup.Action
}

func (t *groupAction) run() {
	switch a := t.action.(type) {
	case pwgroup.Reserve:
		t.group.deliver(groupResult{
			input: t.group.reserve(a),
		})
	case pwgroup.Release:
		t.group.release(a)
	case pwgroup.RunSegment:
		t.group.deliver(t.group.runSegment(a))
	case pwgroup.WriteCheckpoint:
		t.group.deliver(groupResult{
			input: t.group.writeCheckpoint(a),
		})
	case pwgroup.Generate:
		t.group.deliver(t.group.generate(a))
	}
}

// deliver passes a result to the coordinator. If the coordinator has ended, it drops the
// result and releases the member that the result reserved.
func (g *groupCoordinator) deliver(res groupResult) {
	select {
	case g.results <- res:
	case <-g.ctx.Done():
		g.releaseLateReservation(res.input)
	}
}

// releaseLateReservation releases a member whose reservation succeeded after the
// coordinator ended.
func (g *groupCoordinator) releaseLateReservation(in pwgroup.Input) {
	if r, ok := in.(pwgroup.MemberReserved); ok {
		g.release(pwgroup.Release{
			Server: r.Server,
			Group:  g.id,
			Round:  r.Round,
			Fence:  r.Fence,
		})
	}
}

// client returns the client of the agent of a backend server.
func (g *groupCoordinator) client(server pwrequest.BackendServerID) (AgentClient, error) {
	addr, ok := g.inFlight.entry.agentAddress(g.inFlight.request.Service(), server)
	if !ok {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "address of the agent of backend server %s is not known", server)
	}
	return g.inFlight.entry.agents.Agent(addr), nil
}

// reserve asks an agent to reserve memory for a member.
func (g *groupCoordinator) reserve(a pwgroup.Reserve) pwgroup.Input {
	r := g.inFlight.request
	client, err := g.client(a.Server)
	if err != nil {
		return pwgroup.MemberRefused{
			Server: a.Server,
			Round:  a.Round,
			Err:    pwverdict.AsError(err),
		}
	}
	resp, err := client.ReserveMember(g.ctx, &pwrpc.ReserveMemberRequest{
		GroupId:        string(a.Group),
		RequestId:      string(r.ID()),
		AttemptId:      string(g.id),
		Owner:          string(g.inFlight.entry.cfg.Instance),
		Workspace:      string(r.Workspace()),
		Service:        string(r.Service()),
		Model:          string(r.Model()),
		Tokens:         a.Tokens,
		DeadlineUnixMs: a.Deadline.UnixMilli(),
		AdmittedUnixMs: a.AdmittedAt.UnixMilli(),
		Round:          a.Round,
	})
	switch {
	case err != nil && pwverdict.VerdictOf(err) != pwverdict.NotRun:
		return pwgroup.ReserveUnanswered{
			Server: a.Server,
			Round:  a.Round,
		}
	case err == nil && resp.Refusal == nil:
		g.inFlight.entry.obs.LogDecision(pwobserve.Decision{
			Kind:      "route",
			Request:   r.ID(),
			Attempt:   pwrequest.AttemptID(g.id),
			Workspace: r.Workspace(),
			Service:   r.Service(),
			Choice:    a.Server,
			Reasons:   "group_member",
		})
		return pwgroup.MemberReserved{
			Server: a.Server,
			Round:  a.Round,
			Fence:  resp.Fence,
		}
	case err == nil:
		err = resp.Refusal.Err()
	}
	return pwgroup.MemberRefused{
		Server: a.Server,
		Round:  a.Round,
		Err:    pwverdict.AsError(err),
	}
}

// release repeats the release of a member until its agent confirms it. If the release
// were lost, the memory would be reserved until the deadline of the request.
func (g *groupCoordinator) release(a pwgroup.Release) {
	f := g.inFlight
	ctx, cancel := context.WithDeadline(f.entry.lifetimeCtx, f.request.Deadline())
	defer cancel()
	for {
		if client, err := g.client(a.Server); err == nil {
			_, err = client.ReleaseMember(ctx, &pwrpc.ReleaseMemberRequest{
				GroupId:        string(a.Group),
				Fence:          a.Fence,
				Round:          a.Round,
				DeadlineUnixMs: f.request.Deadline().UnixMilli(),
			})
			if err == nil {
				return
			}
		}
		if sleep(ctx, f.entry.jitter(releaseRetryDelay)) != nil {
			return
		}
	}
}

// runSegment prefills one segment of the prompt on a member.
func (g *groupCoordinator) runSegment(a pwgroup.RunSegment) groupResult {
	segmentFailed := groupResult{
		input: pwgroup.SegmentFailed{
			Server:  a.Server,
			Fence:   a.Fence,
			Segment: a.Segment,
		},
	}
	client, err := g.client(a.Server)
	if err != nil {
		return segmentFailed
	}
	ctx, cancel := context.WithTimeout(g.ctx, g.inFlight.stallLimit())
	defer cancel()
	resp, err := client.RunSegment(ctx, &pwrpc.RunSegmentRequest{
		GroupId:        string(g.id),
		Fence:          a.Fence,
		Segment:        int32(a.Segment),
		Prompt:         g.inFlight.promptRange(a.Start, a.End),
		PromptTokens:   a.End - a.Start,
		KvHandles:      a.Handles,
		DeadlineUnixMs: g.inFlight.request.Deadline().UnixMilli(),
	})
	switch {
	case err != nil:
		return segmentFailed
	case resp.Refusal == nil:
		return groupResult{
			input: pwgroup.SegmentDone{
				Server:  a.Server,
				Fence:   a.Fence,
				Segment: a.Segment,
				Handle:  resp.KvHandle,
			},
		}
	case resp.ServerDied && g.inFlight.recordSegmentCrash(a.Segment, resp.ConcurrentFingerprints):
		return groupResult{
			input:     pwgroup.Cancelled{},
			promptErr: g.inFlight.entry.quarantineError(g.inFlight.request),
		}
	default:
		return segmentFailed
	}
}

// promptRange returns the part of the prompt's text that stands for the tokens
// [start, end). It assumes that all tokens have the same length in bytes.
func (f *InFlightRequest) promptRange(start, end int64) string {
	n, total := int64(len(f.prompt)), f.request.PromptTokens()
	return f.prompt[n*start/total : n*end/total]
}

// generate generates the answer on the last member.
func (g *groupCoordinator) generate(a pwgroup.Generate) groupResult {
	memberLost := groupResult{
		input: pwgroup.MemberLost{
			Server: a.Server,
			Fence:  a.Fence,
		},
	}
	addr, ok := g.inFlight.entry.agentAddress(g.inFlight.request.Service(), a.Server)
	if !ok {
		return memberLost
	}
	o := g.inFlight.execute(g.ctx, addr, a.Server, &pwrpc.ExecuteRequest{
		KvHandles:  a.Handles,
		GroupId:    string(g.id),
		GroupFence: a.Fence,
	})
	if o.kind != pwrouter.Completed {
		return memberLost
	}
	return groupResult{
		input: pwgroup.GenerationDone{
			Server: a.Server,
			Fence:  a.Fence,
		},
		reason: o.reason,
	}
}
