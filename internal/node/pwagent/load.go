package pwagent

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// signalLoadChange makes WatchLoad send its next report early, and without delay when
// the agent has started or stopped accepting new work. The caller holds a.mu.
func (a *Agent) signalLoadChange() {
	close(a.loadChanged)
	a.loadChanged = make(chan struct{})
	if accepting := a.acceptsWork(); accepting != a.accepting {
		a.accepting = accepting
		close(a.acceptingChanged)
		a.acceptingChanged = make(chan struct{})
	}
}

// acceptsWork reports whether the agent accepts new work, regardless of the load.
// The caller holds a.mu.
func (a *Agent) acceptsWork() bool {
	return a.inService && !a.isolated && !a.draining && a.engineResponding
}

// Load returns the current load report of the backend server.
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
	return a.placement.addToReport(&pwrpc.LoadReport{
		Instance:             string(a.cfg.Instance),
		BackendServer:        string(a.cfg.BackendServer),
		DataCentre:           string(a.cfg.DataCentre),
		Service:              string(a.cfg.Service),
		Models:               models,
		Role:                 a.cfg.Role,
		InService:            a.acceptsWork(),
		Running:              int32(l.Running()),
		RunningBound:         int32(l.RunningBound()),
		ReservedTokens:       l.ReservedTokens(),
		MemoryTokens:         l.MemoryTokens(),
		PendingPrefillTokens: pending[:],
		LongPrefill:          a.runningSegments > 0 || pending[pwrequest.Long] > 0,
		RunningLong:          int32(l.RunningByClass(pwrequest.Long)),
		SentUnixMs:           now.UnixMilli(),
		Incarnation:          a.engineIncarnation,
	})
}

const (
	// loadMinInterval is the shortest time between two load reports. The reply to
	// each attempt carries the current load too, so a shorter interval would not
	// reduce the time to the first token.
	loadMinInterval = time.Second
	// loadMaxInterval is the longest time between two load reports, which also serve
	// as heartbeats.
	loadMaxInterval = 2 * time.Second
)

// WatchLoad sends load reports until ctx ends: every loadMaxInterval, earlier after a
// change, and without delay when the agent starts or stops accepting work. It also
// ends after a shutdown, because it would otherwise keep the connection open.
func (a *Agent) WatchLoad(ctx context.Context, req *pwrpc.WatchLoadRequest, send func(*pwrpc.LoadReport) error) error {
	for {
		a.RecordHeartbeat(pwrequest.InstanceID(req.Instance))
		a.mu.Lock()
		changed, acceptingChanged := a.loadChanged, a.acceptingChanged
		a.mu.Unlock()
		if err := send(a.Load()); err != nil {
			return err
		}
		if a.isDrained() {
			return nil
		}
		if !waitForSignal(ctx, loadMinInterval, acceptingChanged) {
			waitForSignal(ctx, loadMaxInterval-loadMinInterval, changed)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// waitForSignal waits until the channel is closed, d has passed or ctx ends. It
// reports whether the channel was closed.
func waitForSignal(ctx context.Context, d time.Duration, signal <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-signal:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}
