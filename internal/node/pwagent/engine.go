package pwagent

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// checkEngine reads the engine's load. A changed incarnation shows a restart, which
// is thus detected even if no attempt ran on the engine.
func (a *Agent) checkEngine(ctx context.Context) {
	if a.engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineCheckTimeout)
	defer cancel()
	load, err := a.engine.Load(ctx)
	if err != nil {
		a.handleUnresponsiveEngine()
		return
	}
	a.mu.Lock()
	restarted := a.engineIncarnation != 0 && load.Incarnation != a.engineIncarnation
	if restarted {
		a.resetPlacement()
	}
	a.engineIncarnation = load.Incarnation
	if restarted && a.crashHandled {
		// Load reports lag. This restart belongs to a crash that an attempt has
		// already reported, and the attempts started since then did not cause it.
		a.crashHandled, restarted = false, false
	}
	a.lastEngineReply = time.Now()
	recovered := !a.engineResponding
	a.engineResponding = true
	if recovered {
		a.signalLoadChange()
	}
	a.mu.Unlock()
	if restarted {
		a.handleEngineCrash(nil)
		a.mu.Lock()
		a.crashHandled = false
		a.mu.Unlock()
	}
}

// handleUnresponsiveEngine makes the agent refuse new work, and ends the running
// attempts once the engine has not replied for engineLostAfter.
func (a *Agent) handleUnresponsiveEngine() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engineResponding {
		a.engineResponding = false
		a.signalLoadChange()
	}
	if time.Since(a.lastEngineReply) < engineLostAfter {
		return
	}
	for _, t := range a.running {
		t.cancel(errEngineUnresponsive)
	}
}

var errEngineUnresponsive = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "backend server does not respond")

// handleEngineCrash ends every attempt that ran on the engine and returns the
// fingerprints of their requests. reporter is the attempt whose failure showed the
// crash, or nil; it ends itself.
func (a *Agent) handleEngineCrash(reporter *attempt) []uint64 {
	now := time.Now()
	a.mu.Lock()
	if reporter != nil {
		// Another attempt may have reported the crash, and may have ended, since the
		// reporter last looked.
		if crashed, concurrent := reporter.crash(); crashed {
			a.mu.Unlock()
			return concurrent
		}
	}
	a.admission.HandleEngineRestart(now)
	a.engineResponding = false // until the next successful check
	a.crashHandled = true
	a.signalLoadChange()
	running := slices.Collect(maps.Values(a.running))
	fingerprints := make([]uint64, 0, len(running))
	for _, t := range running {
		fingerprints = append(fingerprints, t.request.Fingerprint())
	}
	for _, t := range running {
		t.recordCrash(fingerprints)
	}
	a.discardMembers()
	a.mu.Unlock()
	for _, t := range running {
		if t != reporter {
			t.cancelCtx(errServerCrashed)
		}
	}
	a.obs.Warn("backend server crashed", errServerCrashed, "backend_server", string(a.cfg.BackendServer))
	return fingerprints
}

var errServerCrashed = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseEngineFailed, "backend server crashed")

// waitForEngineReply waits until the engine has replied to a check after the time
// since. The memory of cancelled work is not reused before, because an unresponsive
// engine may still hold it.
func (a *Agent) waitForEngineReply(since time.Time) {
	for {
		a.mu.Lock()
		replied := a.lastEngineReply.After(since)
		a.mu.Unlock()
		if replied || sleep(a.baseCtx, maintenanceInterval) != nil {
			return
		}
	}
}

// isServerCrash reports whether an engine's error shows that its server crashed.
func isServerCrash(err error) bool {
	var e *pwverdict.Error
	return errors.As(err, &e) && e.Cause() == pwverdict.CauseEngineFailed
}
