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
	// resultBufferSize is the number of results that can wait for the coordinator.
	resultBufferSize = 64
	// longServersOnlyTime is how long a prompt that needs a group uses only servers that
	// may run long prompts. After that it may use any server, so that it doesn't wait
	// forever behind long prompts that need one server. In a small fleet, too few
	// servers may run long prompts for a group to form.
	longServersOnlyTime = 1 * time.Second
	// releaseRetryDelay is the delay between two attempts to release a member.
	releaseRetryDelay = 500 * time.Millisecond
	// checkpointTimeout bounds one write or read of a checkpoint.
	checkpointTimeout = 5 * time.Second
)

// groupCoordinator serves one prompt on a group of backend servers. It carries out the
// actions of the pwgroup state machine and passes their results back to it.
type groupCoordinator struct {
	inFlight  *InFlightRequest
	ctx       context.Context
	id        pwmemory.GroupID
	group     *pwgroup.Group
	results   chan groupResult
	finish    *pwgroup.Finish
	reason    string
	promptErr error // set if the prompt itself caused the failure
}

// groupResult is the result of a group action.
type groupResult struct {
	input pwgroup.Input
	// reason is why the answer ended. It is set with GenerationDone.
	reason string
	// promptErr is set if the prompt itself caused the failure.
	promptErr error
}

// attemptGroup makes an attempt of a prompt that is larger than one engine's memory.
func (f *InFlightRequest) attemptGroup(ctx context.Context) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := pwmemory.GroupID(newAttemptID())
	f.setCurrentAttempt(pwrequest.AttemptID(id), "")
	r := f.request
	g, err := pwgroup.New(f.groupConfig, pwgroup.Params{
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
	coordinator := &groupCoordinator{
		inFlight: f,
		ctx:      ctx,
		id:       id,
		group:    g,
		results:  make(chan groupResult, resultBufferSize),
	}
	coordinator.run()
	return coordinator.outcome()
}

// run passes inputs to the state machine until it finishes.
func (g *groupCoordinator) run() {
	g.handle(pwgroup.Candidates{
		List: g.inFlight.entry.groupCandidates(g.inFlight.request, g.group.MemberCount()),
	})
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := g.ctx.Done()
	for g.finish == nil {
		timer.Reset(time.Until(g.group.NextTick()))
		select {
		case res := <-g.results:
			g.reason = res.reason
			g.promptErr = res.promptErr
			g.handle(res.input)
		case <-timer.C:
			g.handle(pwgroup.Candidates{
				List: g.inFlight.entry.groupCandidates(g.inFlight.request, g.group.MemberCount()),
			})
		case <-done:
			done = nil
			g.handle(pwgroup.Cancelled{})
		}
	}
}

// handle passes one input to the state machine and starts the returned actions.
func (g *groupCoordinator) handle(in pwgroup.Input) {
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

func (g *groupCoordinator) outcome() outcome {
	f := g.inFlight
	switch {
	case g.promptErr != nil:
		return outcome{
			kind: pwrouter.Failed,
			err:  g.promptErr,
		}
	case g.finish.Err != nil:
		return outcome{
			kind: pwrouter.Failed,
			err:  g.finish.Err,
		}
	}
	go (&checkpointDeletion{
		inFlight: f,
	}).run()
	return outcome{
		kind:   pwrouter.Completed,
		reason: g.reason,
	}
}

// groupCandidates returns the servers that may become members of a group: at first only
// those that may run long prompts, if there are enough of them.
func (e *Entry) groupCandidates(r *pwrequest.Request, memberCount int) []pwgroup.Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[r.Service()]
	if !ok {
		return nil
	}
	longEligible := map[pwrequest.BackendServerID]bool{}
	for _, id := range s.router.LongEligibleServers(time.Now(), r) {
		longEligible[id] = true
	}
	var candidates, longCandidates []pwgroup.Candidate
	for id, rep := range s.reports {
		if !rep.InService || e.isOutOfService(rep) || !containsModel(rep.Models, r.Model()) {
			continue
		}
		c := pwgroup.Candidate{
			Server:     id,
			FreeTokens: rep.MemoryTokens - rep.ReservedTokens,
		}
		candidates = append(candidates, c)
		if longEligible[id] {
			longCandidates = append(longCandidates, c)
		}
	}
	if len(longCandidates) >= memberCount && time.Since(r.AdmittedAt()) < longServersOnlyTime {
		return longCandidates
	}
	return candidates
}

// isOutOfService reports whether a server or its data centre is marked out of service.
// The caller holds e.mu.
func (e *Entry) isOutOfService(rep pwrouter.Report) bool {
	return e.outOfService[Target{
		Scope: pwrouter.ScopeDataCentre,
		Name:  string(rep.DataCentre),
	}] || e.outOfService[Target{
		Scope: pwrouter.ScopeBackendServer,
		Name:  string(rep.BackendServer),
	}]
}

func containsModel(models []pwrequest.ModelID, id pwrequest.ModelID) bool {
	for _, model := range models {
		if model == id {
			return true
		}
	}
	return false
}

// agentAddress returns the address of a server's agent.
func (e *Entry) agentAddress(service pwrequest.ServiceID, server pwrequest.BackendServerID) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w, ok := e.loadWatchers[server]; ok {
		return w.instance.Address, true
	}
	if s, ok := e.services[service]; ok {
		rep, ok := s.reports[server]
		return rep.Address, ok
	}
	return "", false
}

// recordSegmentCrash counts the crash of a server that prefilled a segment, and reports
// whether the prompt must be stopped. Crashes are counted by segment: a prompt that
// crashes engines does so at the same segment again, while one that runs for a long time
// on several servers is also affected by unrelated crashes at different segments.
func (f *InFlightRequest) recordSegmentCrash(segment int, concurrent []uint64) bool {
	e := f.entry
	fingerprint := f.request.Fingerprint()
	segmentFingerprint := xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, fingerprint), uint64(segment)))
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.serviceLocked(f.request.Service())
	s.crashes.RecordCrash(now, segmentFingerprint, newAttemptID(), concurrent)
	if s.crashes.Decide(now, segmentFingerprint) != pwquarantine.Refused {
		return false
	}
	// The caller may submit the prompt again, so its own fingerprint must be refused too.
	for s.crashes.Decide(now, fingerprint) != pwquarantine.Refused {
		s.crashes.RecordCrash(now, fingerprint, newAttemptID(), nil)
	}
	return true
}

// quarantineError returns the error of a request that crashed too many servers.
func (e *Entry) quarantineError(r *pwrequest.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	err := e.serviceLocked(r.Service()).crashes.Refusal(time.Now(), r.Fingerprint())
	return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseQuarantined, "prompt was stopped because it crashed too many backend servers")
}
