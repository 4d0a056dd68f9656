package pwgroup_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwgroup"
	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwdelay"
)

const (
	simServers = 4
	// simMaxWorkTime is the longest time of one segment or generation if no engine
	// dies.
	simMaxWorkTime = time.Second
	// simDeadline is long enough for each group to wait for the others.
	simDeadline = 3 * time.Minute
)

// simulation runs groups against admission controllers. Messages can be reordered,
// duplicated and lost.
type simulation struct {
	*pwdelay.Scheduler
	agents   map[pwrequest.BackendServerID]*pwadmission.Controller
	groups   map[pwmemory.GroupID]*pwgroup.Group
	outcomes map[pwmemory.GroupID]*pwgroup.Finish
	endedAt  map[pwmemory.GroupID]time.Time
}

func (s *simulation) deliver(id pwmemory.GroupID, in pwgroup.Input) {
	g := s.groups[id]
	for _, a := range g.Handle(s.Now(), in) {
		s.perform(id, a)
	}
	if next := g.NextTick(); !g.Finished() {
		s.ScheduleAt(next, func() {
			if !g.Finished() && !s.Now().Before(g.NextTick()) {
				s.deliver(id, pwgroup.Tick{})
			}
		})
	}
}

func (s *simulation) perform(id pwmemory.GroupID, a pwgroup.Action) {
	reply := func(in pwgroup.Input) { s.DeliverMessage(func() { s.deliver(id, in) }) }
	switch a := a.(type) {
	case pwgroup.Reserve:
		s.DeliverMessage(func() {
			g, err := s.agents[a.Server].ReserveMember(s.Now(), pwadmission.GroupMember{
				GroupID: a.Group, Round: a.Round, Owner: pwrequest.InstanceID("entry-" + id), Tokens: a.Tokens,
				AdmittedAt: a.AdmittedAt, Deadline: a.Deadline,
			})
			var refusal *pwverdict.Error
			switch {
			case s.OneIn(20): // the reply is lost
			case errors.As(err, &refusal):
				reply(pwgroup.MemberRefused{Server: a.Server, Round: a.Round, Err: refusal})
			default:
				reply(pwgroup.MemberReserved{Server: a.Server, Round: a.Round, Fence: g.Fence()})
			}
		})
	case pwgroup.Release:
		s.DeliverMessage(func() {
			if a.Fence == 0 {
				s.agents[a.Server].CancelMember(s.Now(), a.Group, a.Round, s.Now().Add(simDeadline))
			} else {
				s.agents[a.Server].ReleaseMember(s.Now(), a.Group, a.Fence)
			}
		})
	case pwgroup.RunSegment:
		s.ScheduleWithin(simMaxWorkTime, func() {
			reply(pwgroup.SegmentDone{Server: a.Server, Fence: a.Fence, Segment: a.Segment, Handle: "kv"})
		})
	case pwgroup.WriteCheckpoint:
		s.ScheduleWithin(simMaxWorkTime, func() {
			s.deliver(id, pwgroup.CheckpointDone{SegmentCount: len(a.Checkpoint.Ends), Stored: !s.OneIn(4)})
		})
	case pwgroup.Generate:
		s.ScheduleWithin(simMaxWorkTime, func() { reply(pwgroup.GenerationDone{Server: a.Server, Fence: a.Fence}) })
	case pwgroup.Finish:
		s.outcomes[id] = &a
		s.endedAt[id] = s.Now()
	}
}

func (s *simulation) candidates() (in pwgroup.Candidates) {
	for i := range simServers {
		server := pwrequest.BackendServerID(fmt.Sprint("b", i))
		l := s.agents[server].Load(s.Now())
		in.List = append(in.List, pwgroup.Candidate{Server: server, FreeTokens: l.MemoryTokens() - l.ReservedTokens()})
	}
	return in
}

// simulate starts count groups of three members within 100 ms on four servers. If
// engineFailures is set, some engines restart and lose their memory.
func simulate(t *testing.T, seed uint64, count int, engineFailures bool) *simulation {
	s := &simulation{
		Scheduler: pwdelay.New(seed*10+uint64(count), time.Unix(1000, 0)),
		agents:    map[pwrequest.BackendServerID]*pwadmission.Controller{},
		groups:    map[pwmemory.GroupID]*pwgroup.Group{},
		outcomes:  map[pwmemory.GroupID]*pwgroup.Finish{},
		endedAt:   map[pwmemory.GroupID]time.Time{},
	}
	start := s.Now()
	for i := range simServers {
		server := pwrequest.BackendServerID(fmt.Sprint("b", i))
		c := pwadmission.New(pwadmission.Config{}, s.Now())
		s.agents[server] = c
		var tick func()
		tick = func() {
			for id := range s.groups {
				c.RecordHeartbeat(s.Now(), pwrequest.InstanceID("entry-"+id))
				s.deliver(id, s.candidates())
			}
			c.Expire(s.Now())
			if engineFailures && s.Now().Before(start.Add(30*time.Second)) && s.OneIn(40) {
				for _, e := range c.HandleEngineRestart(s.Now()) {
					s.DeliverMessage(func() { s.deliver(e.GroupID(), pwgroup.MemberLost{Server: server, Fence: e.Fence()}) })
				}
			}
			// The ticks stop once all groups have ended, so that reservations cannot
			// expire afterwards: each group must have released its own.
			if len(s.outcomes) < count && s.Now().Before(start.Add(2*simDeadline)) {
				s.ScheduleAt(s.Now().Add(time.Second), tick)
			}
		}
		s.ScheduleWithin(time.Second, tick)
	}
	for i := range count {
		id := pwmemory.GroupID(fmt.Sprint("g", i))
		s.ScheduleWithin(100*time.Millisecond, func() {
			g, err := pwgroup.New(pwgroup.Config{SegmentTokens: 100_000}, pwgroup.Params{
				ID: id, PromptTokens: 1_000_000, MaxTokens: 1000, Seed: s.Uint64(),
				AdmittedAt: s.Now(), Deadline: start.Add(simDeadline),
			}, s.Now())
			if err != nil {
				t.Fatal(err)
			}
			s.groups[id] = g
			s.deliver(id, s.candidates())
		})
	}
	s.Run()
	for server, c := range s.agents {
		if l := c.Load(s.Now()); l.ReservedTokens() != 0 {
			t.Fatalf("seed %d: %s still holds %d tokens", seed, server, l.ReservedTokens())
		}
	}
	return s
}

// TestCompetingGroupsAreServed guards against groups that deadlock or starve each
// other: in any order of their messages, all are served one after the other. Three
// members of 340,000 tokens each leave no room for a second group on four servers.
func TestCompetingGroupsAreServed(t *testing.T) {
	for seed := range uint64(200) {
		for _, count := range []int{2, 3} {
			s := simulate(t, seed, count, false)
			for id := range s.groups {
				if f := s.outcomes[id]; f == nil || f.Err != nil {
					t.Fatalf("seed %d: group %s of %d: %+v", seed, id, count, f)
				}
			}
		}
	}
}

// TestGroupsEndAfterEngineFailures guards against memory that stays reserved and
// groups that never end when engines fail while groups reserve and run.
func TestGroupsEndAfterEngineFailures(t *testing.T) {
	for seed := range uint64(200) {
		s := simulate(t, seed, 2, true)
		for id := range s.groups {
			if s.outcomes[id] == nil || s.endedAt[id].After(time.Unix(1000, 0).Add(simDeadline)) {
				t.Fatalf("seed %d: group %s did not end in time", seed, id)
			}
		}
	}
}
