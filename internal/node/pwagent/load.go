package pwagent

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// notifyLoad asks for a load report soon, or at once when the agent has begun or
// ceased to take new work. The caller holds a.mu.
func (a *Agent) notifyLoad() {
	close(a.loadChanged)
	a.loadChanged = make(chan struct{})
	if s := a.takesWork(); s != a.serving {
		a.serving = s
		close(a.turned)
		a.turned = make(chan struct{})
	}
}

// takesWork reports whether new work is accepted at all. The caller holds a.mu.
func (a *Agent) takesWork() bool {
	return a.inService && !a.isolated && !a.draining && a.engineUp
}

// Load returns the agent's current view of its backend server.
func (a *Agent) Load() *pwrpc.LoadReport {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.admission.Load(now)
	pending := l.PendingPrefillTokens()
	models := make([]string, 0, len(a.cfg.Models))
	for _, m := range a.cfg.Models {
		models = append(models, string(m))
	}
	return a.placed.report(&pwrpc.LoadReport{
		Instance:             string(a.cfg.Instance),
		BackendServer:        string(a.cfg.BackendServer),
		DataCentre:           string(a.cfg.DataCentre),
		Service:              string(a.cfg.Service),
		Models:               models,
		Role:                 a.cfg.Role,
		InService:            a.takesWork(),
		Running:              int32(l.Running()),
		RunningBound:         int32(l.RunningBound()),
		ReservedTokens:       l.ReservedTokens(),
		MemoryTokens:         l.MemoryTokens(),
		PendingPrefillTokens: pending[:],
		LongPrefill:          a.segments > 0 || pending[pwrequest.Long] > 0,
		RunningLong:          int32(l.RunningByClass(pwrequest.Long)),
		SentUnixMs:           now.UnixMilli(),
		Incarnation:          a.incarnation,
	})
}

const (
	// loadMinInterval is the shortest time between two load reports. The answer
	// to each attempt brings the current load too, so that a shorter interval
	// makes no first token earlier.
	loadMinInterval = time.Second
	// loadMaxInterval is the longest time; reports are also the heartbeat.
	loadMaxInterval = 2 * time.Second
)

// WatchLoad sends load reports until ctx ends: soon after a change, and
// regularly without one. It also ends after a shutdown, whose open connections
// it would otherwise keep alive.
func (a *Agent) WatchLoad(ctx context.Context, req *pwrpc.WatchLoadRequest, send func(*pwrpc.LoadReport) error) error {
	for {
		a.RecordHeartbeat(pwrequest.InstanceID(req.Instance))
		a.mu.Lock()
		changed, turned := a.loadChanged, a.turned
		a.mu.Unlock()
		if err := send(a.Load()); err != nil {
			return err
		}
		if a.shutDown() {
			return nil
		}
		if !wait(ctx, loadMinInterval, turned) {
			wait(ctx, loadMaxInterval-loadMinInterval, changed)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// wait waits for a time, and reports whether the channel was closed before.
func wait(ctx context.Context, d time.Duration, closed <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-closed:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}
