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
	// silentAfter is the time without a load report after which an agent
	// counts as unreachable; reports come at least every 2 s.
	silentAfter = 5 * time.Second
	// Redial delays after a failed watch.
	firstRedial = 100 * time.Millisecond
	maxRedial   = 5 * time.Second
)

// watcher follows the load reports of one agent.
type watcher struct {
	entry    *Entry
	instance pwinstance.Instance
	ctx      context.Context
	stop     context.CancelFunc
}

// startWatcher starts to follow an agent. The caller holds e.mu.
func (e *Entry) startWatcher(i pwinstance.Instance) *watcher {
	ctx, stop := context.WithCancel(e.baseCtx)
	w := &watcher{
		entry:    e,
		instance: i,
		ctx:      ctx,
		stop:     stop,
	}
	go w.run()
	return w
}

func (w *watcher) run() {
	client := w.entry.agents.Agent(w.instance.Address)
	delay := firstRedial
	for w.ctx.Err() == nil {
		got := w.watch(client)
		if got {
			delay = firstRedial
		}
		w.entry.agentSilent(w.instance)
		if sleep(w.ctx, w.entry.jitter(delay)) != nil {
			return
		}
		delay = min(2*delay, maxRedial)
	}
}

// watch follows one stream until it breaks or falls silent, and reports
// whether it brought anything.
func (w *watcher) watch(client AgentClient) bool {
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	silent := time.AfterFunc(silentAfter, cancel)
	defer silent.Stop()
	got := false
	_ = client.WatchLoad(ctx, &pwrpc.WatchLoadRequest{
		Instance: string(w.entry.cfg.Instance),
	}, func(r *pwrpc.LoadReport) error {
		got = true
		silent.Reset(silentAfter)
		w.entry.loadReported(w.instance, r)
		return ctx.Err()
	})
	return got
}

func (e *Entry) loadReported(i pwinstance.Instance, r *pwrpc.LoadReport) {
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
		Versions:       versions(r.LoadedModels),
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
	s.seen[i.BackendServer] = rep
	s.loads[i.BackendServer] = r
	e.mu.Unlock()
	e.notify()
}

// versions returns the known versions of the loaded models.
func versions(models []*pwrpc.LoadedModel) []string {
	return lo.FilterMap(models, func(m *pwrpc.LoadedModel, _ int) (string, bool) { return m.Version, m.Version != "" })
}

// freshLoad takes over the load that came with the answer to an attempt.
func (e *Entry) freshLoad(service pwrequest.ServiceID, server pwrequest.BackendServerID, r *pwrpc.LoadReport) {
	e.mu.Lock()
	w, ok := e.watchers[server]
	e.mu.Unlock()
	if ok && w.instance.Service == service {
		e.loadReported(w.instance, r)
	}
}

func (e *Entry) agentSilent(i pwinstance.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.serviceLocked(i.Service)
	s.router.RecordUnreachable(time.Now(), i.BackendServer)
	delete(s.seen, i.BackendServer)
	delete(s.loads, i.BackendServer)
}

// jitter returns a random duration between d/2 and d.
func (e *Entry) jitter(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return d/2 + time.Duration(e.rnd.Int64N(int64(d/2)+1))
}

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
