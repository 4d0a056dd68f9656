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

// groupAction carries out one action of the state machine.
type groupAction struct {
	group  *groupRun
	action pwgroup.Action
}

func (t *groupAction) run() {
	switch a := t.action.(type) {
	case pwgroup.Reserve:
		t.group.post(groupResult{
			input: t.group.reserve(a),
		})
	case pwgroup.Release:
		t.group.release(a)
	case pwgroup.RunSegment:
		t.group.post(t.group.runSegment(a))
	case pwgroup.WriteCheckpoint:
		t.group.post(groupResult{
			input: t.group.writeCheckpoint(a),
		})
	case pwgroup.Generate:
		t.group.post(t.group.generate(a))
	}
}

// post hands a result to the coordinator; nobody waits for it after the end.
func (g *groupRun) post(res groupResult) {
	select {
	case g.in <- res:
	case <-g.ctx.Done():
		g.releaseLateGrant(res.input)
	}
}

// releaseLateGrant gives back a member that was granted after the coordinator
// had ended.
func (g *groupRun) releaseLateGrant(in pwgroup.Input) {
	if r, ok := in.(pwgroup.MemberReserved); ok {
		g.release(pwgroup.Release{
			Server: r.Server,
			Group:  g.id,
			Round:  r.Round,
			Fence:  r.Fence,
		})
	}
}

func (g *groupRun) client(server pwrequest.BackendServerID) (AgentClient, error) {
	addr, ok := g.flight.entry.addressOf(g.flight.request.Service(), server)
	if !ok {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "agent of %s is not known", server)
	}
	return g.flight.entry.agents.Agent(addr), nil
}

func (g *groupRun) reserve(a pwgroup.Reserve) pwgroup.Input {
	r := g.flight.request
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
		Owner:          string(g.flight.entry.cfg.Instance),
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
		g.flight.entry.obs.Decision(pwobserve.Decision{
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

// release repeats until the agent has answered; a lost release would hold the
// memory until the deadline of the request.
func (g *groupRun) release(a pwgroup.Release) {
	f := g.flight
	ctx, cancel := context.WithDeadline(f.entry.baseCtx, f.request.Deadline())
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
		if sleep(ctx, f.entry.jitter(releaseRetry)) != nil {
			return
		}
	}
}

func (g *groupRun) runSegment(a pwgroup.RunSegment) groupResult {
	failed := groupResult{
		input: pwgroup.SegmentFailed{
			Server:  a.Server,
			Fence:   a.Fence,
			Segment: a.Segment,
		},
	}
	client, err := g.client(a.Server)
	if err != nil {
		return failed
	}
	ctx, cancel := context.WithTimeout(g.ctx, g.flight.stallLimit())
	defer cancel()
	resp, err := client.RunSegment(ctx, &pwrpc.RunSegmentRequest{
		GroupId:        string(g.id),
		Fence:          a.Fence,
		Segment:        int32(a.Segment),
		Prompt:         g.flight.promptPart(a.Start, a.End),
		PromptTokens:   a.End - a.Start,
		KvHandles:      a.Handles,
		DeadlineUnixMs: g.flight.request.Deadline().UnixMilli(),
	})
	switch {
	case err != nil:
		return failed
	case resp.Refusal == nil:
		return groupResult{
			input: pwgroup.SegmentDone{
				Server:  a.Server,
				Fence:   a.Fence,
				Segment: a.Segment,
				Handle:  resp.KvHandle,
			},
		}
	case resp.ServerDied && g.flight.segmentCrashed(a.Segment, resp.ConcurrentFingerprints):
		return groupResult{
			input:   pwgroup.Cancelled{},
			refusal: g.flight.entry.quarantined(g.flight.request),
		}
	default:
		return failed
	}
}

// promptPart returns the text of the prompt tokens [start, end).
func (f *InFlightRequest) promptPart(start, end int64) string {
	n, total := int64(len(f.prompt)), f.request.PromptTokens()
	return f.prompt[n*start/total : n*end/total]
}

func (g *groupRun) generate(a pwgroup.Generate) groupResult {
	lost := groupResult{
		input: pwgroup.MemberLost{
			Server: a.Server,
			Fence:  a.Fence,
		},
	}
	addr, ok := g.flight.entry.addressOf(g.flight.request.Service(), a.Server)
	if !ok {
		return lost
	}
	o := g.flight.execute(g.ctx, addr, a.Server, &pwrpc.ExecuteRequest{
		KvHandles:  a.Handles,
		GroupId:    string(g.id),
		GroupFence: a.Fence,
	})
	if o.kind != pwrouter.Completed {
		return lost
	}
	return groupResult{
		input: pwgroup.GenerationDone{
			Server: a.Server,
			Fence:  a.Fence,
		},
		reason: o.reason,
	}
}
