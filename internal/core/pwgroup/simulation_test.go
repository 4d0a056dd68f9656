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
	// simWork is the longest time of one segment or generation, without deaths.
	simWork = time.Second
	// simDeadline leaves each group time to wait for the other one.
	simDeadline = 3 * time.Minute
)

// simulation runs groups against real controllers. Messages overtake each other
// and may be repeated or lost.
type simulation struct {
	*pwdelay.Scheduler
	agents map[pwrequest.BackendServerID]*pwadmission.Controller
	groups map[pwmemory.GroupID]*pwgroup.Group
	ended  map[pwmemory.GroupID]*pwgroup.Finish
	at     map[pwmemory.GroupID]time.Time
}

func (s *simulation) input(id pwmemory.GroupID, in pwgroup.Input) {
	g := s.groups[id]
	for _, a := range g.Handle(s.Now(), in) {
		s.perform(id, a)
	}
	if next := g.NextTick(); !g.Finished() {
		s.At(next, func() {
			if !g.Finished() && !s.Now().Before(g.NextTick()) {
				s.input(id, pwgroup.Tick{})
			}
		})
	}
}

func (s *simulation) perform(id pwmemory.GroupID, a pwgroup.Action) {
	reply := func(in pwgroup.Input) { s.Message(func() { s.input(id, in) }) }
	switch a := a.(type) {
	case pwgroup.Reserve:
		s.Message(func() {
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
		s.Message(func() {
			if a.Fence == 0 {
				s.agents[a.Server].CancelMember(s.Now(), a.Group, a.Round, s.Now().Add(simDeadline))
			} else {
				s.agents[a.Server].ReleaseMember(s.Now(), a.Group, a.Fence)
			}
		})
	case pwgroup.RunSegment:
		s.Within(simWork, func() {
			reply(pwgroup.SegmentDone{Server: a.Server, Fence: a.Fence, Segment: a.Segment, Handle: "kv"})
		})
	case pwgroup.WriteCheckpoint:
		s.Within(simWork, func() {
			s.input(id, pwgroup.CheckpointDone{SegmentCount: len(a.Checkpoint.Ends), Stored: !s.OneIn(4)})
		})
	case pwgroup.Generate:
		s.Within(simWork, func() { reply(pwgroup.GenerationDone{Server: a.Server, Fence: a.Fence}) })
	case pwgroup.Finish:
		s.ended[id] = &a
		s.at[id] = s.Now()
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

// simulate lets count groups of three members arrive within 100 ms on four
// servers, and the engines of some servers die if deaths is set.
func simulate(t *testing.T, seed uint64, count int, deaths bool) *simulation {
	s := &simulation{
		Scheduler: pwdelay.New(seed*10+uint64(count), time.Unix(1000, 0)),
		agents:    map[pwrequest.BackendServerID]*pwadmission.Controller{},
		groups:    map[pwmemory.GroupID]*pwgroup.Group{},
		ended:     map[pwmemory.GroupID]*pwgroup.Finish{},
		at:        map[pwmemory.GroupID]time.Time{},
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
				s.input(id, s.candidates())
			}
			c.Expire(s.Now())
			if deaths && s.Now().Before(start.Add(30*time.Second)) && s.OneIn(40) {
				for _, e := range c.HandleEngineRestart(s.Now()) {
					s.Message(func() { s.input(e.GroupID(), pwgroup.MemberLost{Server: server, Fence: e.Fence()}) })
				}
			}
			// The ticks end with the groups, so that what is left then is not
			// reclaimed at its deadline but was released.
			if len(s.ended) < count && s.Now().Before(start.Add(2*simDeadline)) {
				s.At(s.Now().Add(time.Second), tick)
			}
		}
		s.Within(time.Second, tick)
	}
	for i := range count {
		id := pwmemory.GroupID(fmt.Sprint("g", i))
		s.Within(100*time.Millisecond, func() {
			g, err := pwgroup.New(pwgroup.Config{SegmentTokens: 100_000}, pwgroup.Params{
				ID: id, PromptTokens: 1_000_000, MaxTokens: 1000, Seed: s.Uint64(),
				AdmittedAt: s.Now(), Deadline: start.Add(simDeadline),
			}, s.Now())
			if err != nil {
				t.Fatal(err)
			}
			s.groups[id] = g
			s.input(id, s.candidates())
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

// Guards against groups that deadlock or refuse each other for ever: whatever
// the order of their messages, all are served, one after the other. Three
// members of 340,000 tokens each exclude a second group on four servers.
func TestGroupsTogetherAreServed(t *testing.T) {
	for seed := range uint64(200) {
		for _, count := range []int{2, 3} {
			s := simulate(t, seed, count, false)
			for id := range s.groups {
				if f := s.ended[id]; f == nil || f.Err != nil {
					t.Fatalf("seed %d: group %s of %d: %+v", seed, id, count, f)
				}
			}
		}
	}
}

// Guards against memory that stays reserved, and groups that never end, when
// engines die while groups reserve and run.
func TestGroupsEndWhenEnginesDie(t *testing.T) {
	for seed := range uint64(200) {
		s := simulate(t, seed, 2, true)
		for id := range s.groups {
			if s.ended[id] == nil || s.at[id].After(time.Unix(1000, 0).Add(simDeadline)) {
				t.Fatalf("seed %d: group %s did not end in time", seed, id)
			}
		}
	}
}
