package pwentry

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

const (
	// loadReportTimeout is the time without a load report after which an agent counts
	// as unreachable. Agents send a report at least every 2 s.
	loadReportTimeout = 5 * time.Second
	// minRedialDelay and maxRedialDelay bound the delay before a broken watch is opened again.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second
)

// loadWatcher receives the load reports of one agent.
type loadWatcher struct {
	entry    *Entry
	instance pwinstance.Instance
	ctx      context.Context
	stop     context.CancelFunc
}

// startLoadWatcher starts watching the load of an agent. The caller holds e.mu.
func (e *Entry) startLoadWatcher(i pwinstance.Instance) *loadWatcher {
	ctx, stop := context.WithCancel(e.lifetimeCtx)
	w := &loadWatcher{
		entry:    e,
		instance: i,
		ctx:      ctx,
		stop:     stop,
	}
	go w.run()
	return w
}

// run watches the load until the watcher is stopped. It opens broken watches again.
func (w *loadWatcher) run() {
	client := w.entry.agents.Agent(w.instance.Address)
	delay := minRedialDelay
	for w.ctx.Err() == nil {
		received := w.watch(client)
		if received {
			delay = minRedialDelay
		}
		w.entry.recordUnreachable(w.instance)
		if sleep(w.ctx, w.entry.jitter(delay)) != nil {
			return
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// watch reads one stream of load reports until it breaks or no report arrives for
// loadReportTimeout. It reports whether any arrived.
func (w *loadWatcher) watch(client AgentClient) bool {
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	timer := time.AfterFunc(loadReportTimeout, cancel)
	defer timer.Stop()
	received := false
	_ = client.WatchLoad(ctx, &pwrpc.WatchLoadRequest{
		Instance: string(w.entry.cfg.Instance),
	}, func(r *pwrpc.LoadReport) error {
		received = true
		timer.Reset(loadReportTimeout)
		w.entry.applyLoadReport(w.instance, r)
		return ctx.Err()
	})
	return received
}

// applyLoadReport updates the router with a load report and triggers a dispatch.
func (e *Entry) applyLoadReport(i pwinstance.Instance, r *pwrpc.LoadReport) {
	now := time.Now()
	e.mu.Lock()
	s := e.serviceLocked(i.Service)
	rep := pwrouter.Report{
		BackendServer:  i.BackendServer,
		Instance:       i.ID,
		Address:        i.Address,
		DataCentre:     i.DataCentre,
		Service:        i.Service,
		Models:         lo.Map(r.Models, func(m string, _ int) pwrequest.ModelID { return pwrequest.ModelID(m) }),
		Adapters:       lo.Map(r.LoadedAdapters, func(a *pwrpc.LoadedAdapter, _ int) string { return a.Adapter }),
		Versions:       modelVersions(r.LoadedModels),
		Role:           r.Role,
		InService:      r.InService,
		Running:        int(r.Running),
		RunningBound:   int(r.RunningBound),
		ReservedTokens: r.ReservedTokens,
		MemoryTokens:   r.MemoryTokens,
		RunningLong:    int(r.RunningLong),
		LongPrefill:    r.LongPrefill,
		SentAt:         time.UnixMilli(r.SentUnixMs),
		Incarnation:    r.Incarnation,
	}
	copy(rep.PendingPrefillTokens[:], r.PendingPrefillTokens)
	s.router.Upsert(now, rep)
	s.reports[i.BackendServer] = rep
	s.loadReports[i.BackendServer] = r
	e.mu.Unlock()
	e.requestDispatch()
}

// modelVersions returns the versions of the loaded models, without unknown ones.
func modelVersions(models []*pwrpc.LoadedModel) []string {
	return lo.FilterMap(models, func(m *pwrpc.LoadedModel, _ int) (string, bool) { return m.Version, m.Version != "" })
}

// applyAttemptLoad applies a load report that was sent with an event of an attempt. It
// ignores reports of servers that aren't watched.
func (e *Entry) applyAttemptLoad(service pwrequest.ServiceID, server pwrequest.BackendServerID, r *pwrpc.LoadReport) {
	e.mu.Lock()
	w, ok := e.loadWatchers[server]
	e.mu.Unlock()
	if ok && w.instance.Service == service {
		e.applyLoadReport(w.instance, r)
	}
}

// recordUnreachable records that the load watch of an agent broke, and drops the agent's
// load report.
func (e *Entry) recordUnreachable(i pwinstance.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.serviceLocked(i.Service)
	s.router.RecordUnreachable(time.Now(), i.BackendServer)
	delete(s.reports, i.BackendServer)
	delete(s.loadReports, i.BackendServer)
}

// jitter returns a random duration between d/2 and d.
func (e *Entry) jitter(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return d/2 + time.Duration(e.rnd.Int64N(int64(d/2)+1))
}

// sleep waits for d or until ctx ends, and returns the error of ctx in the latter case.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
