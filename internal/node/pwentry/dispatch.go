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

// dispatch fails the queued requests whose deadlines have passed and assigns others to
// backend servers, until no server has room for them.
func (e *Entry) dispatch(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		for m, q := range s.queues {
			for _, r := range q.Expire(now) {
				if f, ok := e.requests[r.ID()]; ok {
					go f.expire()
				}
			}
			s.router.SetBacklog(s.id, m, q.Backlog())
			e.dispatchQueue(now, s, q)
		}
	}
}

// dispatchQueue assigns as many requests of a queue as possible. If the first request of
// a length class finds no server, the class is skipped for the rest of this dispatch, so
// that it doesn't block the other classes. A request that must run isolated waits for an
// idle server and doesn't block its class. The caller holds e.mu.
func (e *Entry) dispatchQueue(now time.Time, s *service, q *pwqueue.Queue) {
	var unassigned []*pwrequest.Request
	allowedClasses := [pwrequest.ClassCount]bool{true, true, true}
	for {
		r, ok := q.PopAmong(now, allowedClasses)
		if !ok {
			break
		}
		f, known := e.requests[r.ID()]
		if !known || f.Ended() {
			continue
		}
		decision := s.crashes.Decide(now, r.Fingerprint())
		if e.assign(now, s, f, decision) {
			continue
		}
		unassigned = append(unassigned, r)
		if decision != pwquarantine.Isolated {
			allowedClasses[r.Class()] = false
		}
	}
	for _, r := range unassigned {
		q.Requeue(now, r)
	}
}

// assign sends f the assignment of its next attempt. It returns false if no backend
// server is available. The caller holds e.mu.
func (e *Entry) assign(now time.Time, s *service, f *InFlightRequest, decision pwquarantine.Decision) bool {
	r := f.request
	isolated := decision == pwquarantine.Isolated
	if decision == pwquarantine.Refused {
		f.assignments <- assignment{
			err: s.crashes.Refusal(now, r.Fingerprint()),
		}
		return true
	}
	if e.needsGroup(s, r) {
		f.assignments <- assignment{
			group: true,
		}
		return true
	}
	choice, err := s.router.Pick(now, r, pwrouter.PickOptions{
		Isolated:        isolated,
		Excluded:        f.excludedServers(now),
		LocalDataCentre: e.cfg.DataCentre,
	})
	if err != nil {
		f.setDispatchError(err)
		return false
	}
	if isolated {
		s.router.RecordIsolatedStart(choice.Server(), r)
	} else {
		s.router.RecordStart(choice.Server(), r)
	}
	e.obs.LogDecision(pwobserve.Decision{
		Kind:      "route",
		Request:   r.ID(),
		Workspace: r.Workspace(),
		Service:   r.Service(),
		Choice:    choice.Server(),
		Reasons:   choice.LogDetail(),
	})
	f.assignments <- assignment{
		choice:   choice,
		isolated: isolated,
	}
	return true
}

// needsGroup reports whether a request needs more memory than a single attempt may
// reserve by the service's document. The caller holds e.mu.
func (e *Entry) needsGroup(s *service, r *pwrequest.Request) bool {
	return s.doc != nil && r.MemoryTokens() > s.doc.MaxAttemptTokens()
}

// assignment states where the next attempt of a request runs, or with err that the
// request must not run.
type assignment struct {
	choice   pwrouter.Choice
	isolated bool
	group    bool // the attempt needs a group of servers; choice is empty
	err      error
}

// recordFirstToken records in the router that an attempt has returned its first token.
func (e *Entry) recordFirstToken(f *InFlightRequest, server pwrequest.BackendServerID) {
	e.mu.Lock()
	if s, ok := e.services[f.request.Service()]; ok {
		s.router.RecordFirstToken(server, f.request)
	}
	e.mu.Unlock()
	e.requestDispatch()
}

// recordAttemptEnd records in the router how an attempt on a server ended.
func (e *Entry) recordAttemptEnd(f *InFlightRequest, server pwrequest.BackendServerID, o pwrouter.Outcome) {
	now := time.Now()
	e.mu.Lock()
	if s, ok := e.services[f.request.Service()]; ok {
		s.router.RecordEnd(now, server, f.request, o)
		if q, ok := s.queues[f.request.Model()]; ok && o == pwrouter.Completed {
			q.RecordCompletion(now, f.request.MemoryTokens())
		}
	}
	e.mu.Unlock()
	e.requestDispatch()
}

// requeue puts a request back into its queue. Its workspace isn't charged for it
// again.
func (e *Entry) requeue(f *InFlightRequest) error {
	now := time.Now()
	e.mu.Lock()
	s, ok := e.services[f.request.Service()]
	if !ok || s.queues[f.request.Model()] == nil {
		e.mu.Unlock()
		return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseNotFound, "service %q was removed", f.request.Service())
	}
	s.queues[f.request.Model()].Requeue(now, f.request)
	e.mu.Unlock()
	e.requestDispatch()
	return nil
}
