package pwentry

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwqueue"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// dispatch gives queued requests to backend servers while there are any that
// can take them.
func (e *Entry) dispatch(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		for m, q := range s.lanes {
			for _, r := range q.Expire(now) {
				if f, ok := e.flights[r.ID()]; ok {
					go f.expire()
				}
			}
			s.router.SetBacklog(s.id, m, q.Backlog())
			e.dispatchLane(now, s, q)
		}
	}
}

// dispatchLane empties a queue as far as possible. A class whose first request
// finds no server is passed over for this round, so that it does not hold back
// the others. A request that must run alone waits for an idle server and holds
// back nobody.
func (e *Entry) dispatchLane(now time.Time, s *service, q *pwqueue.Queue) {
	var waiting []*pwrequest.Request
	allowed := [pwrequest.ClassCount]bool{true, true, true}
	for {
		r, ok := q.PopAmong(now, allowed)
		if !ok {
			break
		}
		f, known := e.flights[r.ID()]
		if !known || f.Ended() {
			continue
		}
		decision := s.crashes.Decide(now, r.Fingerprint())
		if e.assign(now, s, f, decision) {
			continue
		}
		waiting = append(waiting, r)
		if decision != pwquarantine.Isolated {
			allowed[r.Class()] = false
		}
	}
	for _, r := range waiting {
		q.Requeue(now, r)
	}
}

// assign picks a backend server for the next attempt of f. The caller holds e.mu.
func (e *Entry) assign(now time.Time, s *service, f *InFlightRequest, decision pwquarantine.Decision) bool {
	r := f.request
	isolated := decision == pwquarantine.Isolated
	if decision == pwquarantine.Refused {
		f.assigned <- assignment{
			err: s.crashes.Refusal(now, r.Fingerprint()),
		}
		return true
	}
	if e.needsGroup(s, r) {
		f.assigned <- assignment{
			group: true,
		}
		return true
	}
	choice, err := s.router.Pick(now, r, pwrouter.PickOptions{
		Isolated:        isolated,
		Excluded:        f.excluded(now),
		LocalDataCentre: e.cfg.DataCentre,
	})
	if err != nil {
		f.noCandidate(err)
		return false
	}
	if isolated {
		s.router.RecordIsolatedStart(choice.Server(), r)
	} else {
		s.router.RecordStart(choice.Server(), r)
	}
	e.obs.Decision(pwobserve.Decision{
		Kind:      "route",
		Request:   r.ID(),
		Workspace: r.Workspace(),
		Service:   r.Service(),
		Choice:    choice.Server(),
		Reasons:   choice.LogDetail(),
	})
	f.assigned <- assignment{
		choice:   choice,
		isolated: isolated,
	}
	return true
}

// needsGroup reports whether a prompt exceeds the memory of every known server.
// The caller holds e.mu.
func (e *Entry) needsGroup(s *service, r *pwrequest.Request) bool {
	return s.doc != nil && r.MemoryTokens() > s.doc.MaxAttemptTokens()
}

// assignment tells a waiting flight where its next attempt runs, or that it
// must not run.
type assignment struct {
	choice   pwrouter.Choice
	isolated bool
	group    bool
	err      error
}

// prefillDone tells the router that an attempt has given its first token.
func (e *Entry) prefillDone(f *InFlightRequest, server pwrequest.BackendServerID) {
	e.mu.Lock()
	if s, ok := e.services[f.request.Service()]; ok {
		s.router.RecordFirstToken(server, f.request)
	}
	e.mu.Unlock()
	e.notify()
}

// finishedAt tells the router how an attempt ended.
func (e *Entry) finishedAt(f *InFlightRequest, server pwrequest.BackendServerID, o pwrouter.Outcome) {
	now := time.Now()
	e.mu.Lock()
	if s, ok := e.services[f.request.Service()]; ok {
		s.router.RecordEnd(now, server, f.request, o)
		if q, ok := s.lanes[f.request.Model()]; ok && o == pwrouter.Completed {
			q.RecordCompletion(now, f.request.MemoryTokens())
		}
	}
	e.mu.Unlock()
	e.notify()
}

// requeue puts a flight back into its queue without a second charge.
func (e *Entry) requeue(f *InFlightRequest) error {
	now := time.Now()
	e.mu.Lock()
	s, ok := e.services[f.request.Service()]
	if !ok || s.lanes[f.request.Model()] == nil {
		e.mu.Unlock()
		return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseNotFound, "service %q was removed", f.request.Service())
	}
	s.lanes[f.request.Model()].Requeue(now, f.request)
	e.mu.Unlock()
	e.notify()
	return nil
}
