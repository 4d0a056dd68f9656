package pwagent

import (
	"context"
)

// Shutdown makes the agent refuse new work and waits until its running work or ctx has
// ended.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.mu.Lock()
	a.draining = true
	a.signalLoadChange()
	if a.drained == nil {
		a.drained = make(chan struct{})
		a.closeDrainedIfIdle()
	}
	drained := a.drained
	a.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closeDrainedIfIdle completes a shutdown when no attempt, group member or call is left.
// The caller holds a.mu.
func (a *Agent) closeDrainedIfIdle() {
	if a.drained == nil || len(a.running) > 0 || len(a.members) > 0 || len(a.callSlots) > 0 {
		return
	}
	select {
	case <-a.drained:
	default:
		close(a.drained)
		a.signalLoadChange()
	}
}

// isDrained reports whether a shutdown has completed.
func (a *Agent) isDrained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drained == nil {
		return false
	}
	select {
	case <-a.drained:
		return true
	default:
		return false
	}
}
