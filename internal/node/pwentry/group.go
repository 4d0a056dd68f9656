package pwentry

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwgroup"
	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

const (
	// groupInputs bounds the events that wait for the coordinator.
	groupInputs = 64
	// zoneWait is how long a prompt that takes a group keeps to the servers for
	// long prompts. After that it may take any, so that it does not wait for
	// ever behind long prompts that need one server. A small fleet has too few
	// servers in the zone for a group at all.
	zoneWait = 1 * time.Second
	// releaseRetry is the delay between tries to release a member.
	releaseRetry = 500 * time.Millisecond
	// checkpointTimeout bounds one write or read of a checkpoint.
	checkpointTimeout = 5 * time.Second
)

// groupRun coordinates one prompt on a group of engines.
type groupRun struct {
	flight  *InFlightRequest
	ctx     context.Context
	id      pwmemory.GroupID
	group   *pwgroup.Group
	in      chan groupResult
	finish  *pwgroup.Finish
	reason  string
	refusal error // set when the prompt itself is at fault
}

// groupResult is the result of an action.
type groupResult struct {
	input pwgroup.Input
	// reason is set with Generated.
	reason string
	// refusal is set when the prompt itself is at fault.
	refusal error
}

// attemptGroup serves a prompt that is larger than one engine's memory.
func (f *InFlightRequest) attemptGroup(ctx context.Context) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := pwmemory.GroupID(newAttemptID())
	f.setCurrent(pwrequest.AttemptID(id), "")
	r := f.request
	g, err := pwgroup.New(f.groups, pwgroup.Params{
		ID:           id,
		PromptTokens: r.PromptTokens(),
		MaxTokens:    r.MaxTokens(),
		AdmittedAt:   r.AdmittedAt(),
		Deadline:     r.Deadline(),
		Seed:         xxhash.Sum64String(string(id)),
		Resume:       f.loadCheckpoint(ctx),
	}, time.Now())
	if err != nil {
		return outcome{
			kind: pwrouter.Failed,
			err:  err,
		}
	}
	run := &groupRun{
		flight: f,
		ctx:    ctx,
		id:     id,
		group:  g,
		in:     make(chan groupResult, groupInputs),
	}
	run.loop()
	return run.outcome()
}

func (g *groupRun) loop() {
	g.handle(pwgroup.Candidates{
		List: g.flight.entry.groupCandidates(g.flight.request, g.group.MemberCount()),
	})
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := g.ctx.Done()
	for g.finish == nil {
		timer.Reset(time.Until(g.group.NextTick()))
		select {
		case res := <-g.in:
			g.reason = res.reason
			g.refusal = res.refusal
			g.handle(res.input)
		case <-timer.C:
			g.handle(pwgroup.Candidates{
				List: g.flight.entry.groupCandidates(g.flight.request, g.group.MemberCount()),
			})
		case <-done:
			done = nil
			g.handle(pwgroup.Cancelled{})
		}
	}
}

// handle passes one input to the state machine and starts its actions.
func (g *groupRun) handle(in pwgroup.Input) {
	for _, a := range g.group.Handle(time.Now(), in) {
		switch a := a.(type) {
		case pwgroup.Finish:
			g.finish = &a
		default:
			go (&groupAction{
				group:  g,
				action: a,
			}).run()
		}
	}
}

func (g *groupRun) outcome() outcome {
	f := g.flight
	switch {
	case g.refusal != nil:
		return outcome{
			kind: pwrouter.Failed,
			err:  g.refusal,
		}
	case g.finish.Err != nil:
		return outcome{
			kind: pwrouter.Failed,
			err:  g.finish.Err,
		}
	}
	go (&checkpointDrop{
		flight: f,
	}).run()
	return outcome{
		kind:   pwrouter.Completed,
		reason: g.reason,
	}
}

// groupCandidates lists the servers that may become members.
func (e *Entry) groupCandidates(r *pwrequest.Request, members int) []pwgroup.Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[r.Service()]
	if !ok {
		return nil
	}
	inZone := map[pwrequest.BackendServerID]bool{}
	for _, id := range s.router.LongEligibleServers(time.Now(), r) {
		inZone[id] = true
	}
	var list, zone []pwgroup.Candidate
	for id, rep := range s.seen {
		if !rep.InService || e.outOfService(rep) || !containsModel(rep.Models, r.Model()) {
			continue
		}
		c := pwgroup.Candidate{
			Server:     id,
			FreeTokens: rep.MemoryTokens - rep.ReservedTokens,
		}
		list = append(list, c)
		if inZone[id] {
			zone = append(zone, c)
		}
	}
	if len(zone) >= members && time.Since(r.AdmittedAt()) < zoneWait {
		return zone
	}
	return list
}

// outOfService reports whether a mark excludes a server. The caller holds e.mu.
func (e *Entry) outOfService(rep pwrouter.Report) bool {
	return e.marks[Target{
		Scope: pwrouter.ScopeDataCentre,
		Name:  string(rep.DataCentre),
	}] || e.marks[Target{
		Scope: pwrouter.ScopeBackendServer,
		Name:  string(rep.BackendServer),
	}]
}

func containsModel(models []pwrequest.ModelID, m pwrequest.ModelID) bool {
	for _, have := range models {
		if have == m {
			return true
		}
	}
	return false
}

// addressOf returns the address of a server's agent.
func (e *Entry) addressOf(service pwrequest.ServiceID, server pwrequest.BackendServerID) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w, ok := e.watchers[server]; ok {
		return w.instance.Address, true
	}
	if s, ok := e.services[service]; ok {
		rep, ok := s.seen[server]
		return rep.Address, ok
	}
	return "", false
}

// segmentCrashed counts a death of a server that prefilled a segment, and
// reports whether the prompt is to be stopped. Deaths are counted by segment: a
// prompt that crashes engines does so at the same place again, while one that
// runs for long on several servers meets unrelated deaths at different places.
func (f *InFlightRequest) segmentCrashed(segment int, concurrent []uint64) bool {
	e := f.entry
	fp := f.request.Fingerprint()
	at := xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, fp), uint64(segment)))
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.serviceLocked(f.request.Service())
	s.crashes.RecordCrash(now, at, newAttemptID(), concurrent)
	if s.crashes.Decide(now, at) != pwquarantine.Refused {
		return false
	}
	// The caller may send the prompt again, so the whole prompt is stopped.
	for s.crashes.Decide(now, fp) != pwquarantine.Refused {
		s.crashes.RecordCrash(now, fp, newAttemptID(), nil)
	}
	return true
}

func (e *Entry) quarantined(r *pwrequest.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	err := e.serviceLocked(r.Service()).crashes.Refusal(time.Now(), r.Fingerprint())
	return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseQuarantined, "prompt was stopped")
}
