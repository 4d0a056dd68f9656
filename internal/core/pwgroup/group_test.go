package pwgroup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwgroup"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

func describe(a pwgroup.Action) string {
	switch a := a.(type) {
	case pwgroup.Reserve:
		return fmt.Sprintf("reserve %s round %d tokens %d", a.Server, a.Round, a.Tokens)
	case pwgroup.Release:
		return fmt.Sprintf("release %s round %d fence %d", a.Server, a.Round, a.Fence)
	case pwgroup.RunSegment:
		return fmt.Sprintf("segment %d on %s fence %d, tokens %d to %d, after %v", a.Segment, a.Server, a.Fence, a.Start, a.End, a.Handles)
	case pwgroup.WriteCheckpoint:
		return fmt.Sprintf("checkpoint %v %v", a.Checkpoint.Ends, a.Checkpoint.Handles)
	case pwgroup.Generate:
		return fmt.Sprintf("generate on %s fence %d, after %v", a.Server, a.Fence, a.Handles)
	case pwgroup.Finish:
		if a.Err != nil {
			return fmt.Sprintf("finish %s %s", a.Err.Verdict(), a.Err.Cause())
		}
	}
	return "finish"
}

// scriptedGroup is the group that a script drives. Inputs without a round or fence
// use those of the server's last reservation. Fencing tokens count from 1.
type scriptedGroup struct {
	*pwgroup.Group
	now            time.Time
	lastFence      uint64
	rounds, fences map[string]uint64
}

// TestScripts runs the scripts under testdata. The first line of each states the
// guarantee that it checks.
func TestScripts(t *testing.T) {
	pwscript.Walk(t, "testdata/scripts", func() pwscript.Handler {
		m := &scriptedGroup{now: time.Unix(1000, 0), rounds: map[string]uint64{}, fences: map[string]uint64{}}
		return m.command
	})
}

func (m *scriptedGroup) command(c *pwscript.Command) []string {
	if c.Verb() == "new" {
		p := pwgroup.Params{ID: "g", Deadline: m.now.Add(time.Minute), PromptTokens: c.Int("prompt", 0), MaxTokens: c.Int("output", 0)}
		p.Resume.Ends = c.Ints("resume")
		for i := range p.Resume.Ends {
			p.Resume.Handles = append(p.Resume.Handles, fmt.Sprint("old", i))
		}
		var err error
		if m.Group, err = pwgroup.New(pwgroup.Config{MaxLostMembers: 3, SegmentTokens: c.Int("segments", 0)}, p, m.now); err != nil {
			return []string{err.Error()}
		}
		return []string{fmt.Sprintf("%d members, %d segments", m.MemberCount(), m.SegmentCount())}
	}
	in := m.input(c)
	return lo.Map(m.Handle(m.now, in), func(a pwgroup.Action, _ int) string {
		if r, ok := a.(pwgroup.Reserve); ok {
			m.rounds[string(r.Server)] = r.Round
		}
		return describe(a)
	})
}

func (m *scriptedGroup) input(c *pwscript.Command) pwgroup.Input {
	name, server := c.Name(), pwrequest.BackendServerID(c.Name())
	round, fence := c.Uint("round", m.rounds[name]), c.Uint("fence", m.fences[name])
	segment, stored := int(c.Int("segment", 0)), c.Bool("stored", true)
	switch c.Verb() {
	case "candidates":
		var in pwgroup.Candidates
		for _, key := range c.Keys() {
			in.List = append(in.List, pwgroup.Candidate{Server: pwrequest.BackendServerID(key), FreeTokens: c.Int(key, 0)})
		}
		return in
	case "wait":
		m.now = m.now.Add(c.Duration("d", 0))
		return pwgroup.Tick{}
	case "tick":
		m.now = m.NextTick()
		return pwgroup.Tick{}
	case "reserved":
		if !c.HasArg("fence") {
			m.lastFence++
			fence = m.lastFence
		}
		m.fences[name] = fence
		return pwgroup.MemberReserved{Server: server, Round: round, Fence: fence}
	case "refused":
		err := pwverdict.New(pwverdict.NotRun, pwverdict.Cause(c.Text("cause", "memory_full")), "test")
		return pwgroup.MemberRefused{Server: server, Round: round, Err: err.WithRetryAfter(c.Duration("retry-after", 0))}
	case "no-reply":
		return pwgroup.ReserveUnanswered{Server: server, Round: round}
	case "done":
		return pwgroup.SegmentDone{Server: server, Fence: fence, Segment: segment, Handle: fmt.Sprint("kv", segment, name)}
	case "failed":
		return pwgroup.SegmentFailed{Server: server, Fence: fence, Segment: segment}
	case "dead":
		return pwgroup.MemberLost{Server: server, Fence: fence}
	case "checkpoint":
		return pwgroup.CheckpointDone{SegmentCount: segment, Stored: stored}
	case "generated":
		return pwgroup.GenerationDone{Server: server, Fence: fence}
	case "cancel":
		return pwgroup.Cancelled{}
	}
	c.Fatalf("unknown command")
	return nil
}
