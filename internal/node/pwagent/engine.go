package pwagent

import (
	"context"
	"errors"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// checkEngine compares the engine's incarnation with the last one seen, so
// that a restart between two attempts is noticed.
func (a *Agent) checkEngine(ctx context.Context) {
	if a.engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineCheckTimeout)
	defer cancel()
	load, err := a.engine.Load(ctx)
	if err != nil {
		a.engineSilent()
		return
	}
	a.mu.Lock()
	restarted := a.incarnation != 0 && load.Incarnation != a.incarnation
	if restarted {
		a.forgetOrders()
	}
	a.incarnation = load.Incarnation
	if restarted && a.deathKnown {
		// Load reports lag: this is the restart after a death that an attempt
		// has already revealed, and the attempts since then are innocent.
		a.deathKnown, restarted = false, false
	}
	a.engineSeen = time.Now()
	changed := !a.engineUp
	a.engineUp = true
	if changed {
		a.notifyLoad()
	}
	a.mu.Unlock()
	if restarted {
		a.engineDied("")
		a.mu.Lock()
		a.deathKnown = false
		a.mu.Unlock()
	}
}

// engineSilent refuses new work for an engine that does not answer, and gives
// up its running attempts when that lasts.
func (a *Agent) engineSilent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engineUp {
		a.engineUp = false
		a.notifyLoad()
	}
	if time.Since(a.engineSeen) < engineLostAfter {
		return
	}
	for _, t := range a.running {
		t.cancel(errEngineSilent)
	}
}

var errEngineSilent = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "backend server does not answer")

// engineDied ends every attempt that ran on the engine. except is the attempt
// whose own failure revealed the death; it ends itself.
func (a *Agent) engineDied(except pwrequest.AttemptID) []uint64 {
	now := time.Now()
	a.mu.Lock()
	a.admission.HandleEngineRestart(now)
	a.engineUp = false // until the next check that it answers
	a.deathKnown = true
	a.notifyLoad()
	var lost []*attempt
	var fingerprints []uint64
	for id, t := range a.running {
		fingerprints = append(fingerprints, t.request.Fingerprint())
		if id != except {
			lost = append(lost, t)
		}
	}
	a.dropMembers()
	a.mu.Unlock()
	for _, t := range lost {
		t.died(fingerprints)
	}
	a.obs.Warn("backend server died", errServerDied, "backend_server", string(a.cfg.BackendServer))
	return fingerprints
}

var errServerDied = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseEngineFailed, "backend server died")

// awaitEngine waits until the engine has answered since a time, so that the
// memory of cancelled work is not given to others while a silent engine may
// still hold it.
func (a *Agent) awaitEngine(since time.Time) {
	for {
		a.mu.Lock()
		answered := a.engineSeen.After(since)
		a.mu.Unlock()
		if answered || sleep(a.baseCtx, maintenanceInterval) != nil {
			return
		}
	}
}

func isServerDeath(err error) bool {
	var e *pwverdict.Error
	return errors.As(err, &e) && e.Cause() == pwverdict.CauseEngineFailed
}
