package pwduty

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwplacement"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

const (
	// maxConcurrentLoadReads bounds the load reports that are read at once from agents
	// that this entry does not watch, and loadReadTimeout bounds the time of each read.
	maxConcurrentLoadReads = 32
	loadReadTimeout        = time.Second
	// fullLoadPercent is the load of a server whose attempts or memory are fully used.
	// targetLoadPercent is the load that the placement plans for each server; it
	// leaves capacity for the loss of one data centre of three.
	fullLoadPercent   = 100.0
	targetLoadPercent = 65.0
)

// placement provides the placer of one service with snapshots of the entry's view of
// the fleet, passes its orders to the agents and logs its decisions.
type placement struct {
	duties  *Duties
	service pwrequest.ServiceID
}

// ReadSnapshot implements pwplacer.SnapshotReader.
func (p *placement) ReadSnapshot(ctx context.Context) (pwplacement.Snapshot, error) {
	d := p.duties
	doc, ok := lo.Find(d.deps.Entry.Documents(), func(doc *pwdocument.Document) bool { return doc.Service() == p.service })
	if !ok {
		return pwplacement.Snapshot{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "service %q has no document", p.service)
	}
	snapshot := pwplacement.Snapshot{
		Demand:         map[pwrequest.ModelID]float64{},
		ServerCapacity: targetLoadPercent,
		MaxLoads:       d.deps.ConcurrentLoads,
	}
	for _, m := range doc.Models {
		snapshot.Models = append(snapshot.Models, pwplacement.Model{
			ID:          m.ID,
			Version:     m.ActiveVersion,
			MinReplicas: m.MinReplicas,
			Adapters:    lo.SliceToMap(m.Adapters, func(a pwdocument.Adapter) (string, string) { return a.ID, a.Version }),
		})
	}
	for _, r := range doc.Roles {
		snapshot.Roles = append(snapshot.Roles, pwplacement.RoleShare{
			Role:    string(r.Role),
			Percent: r.SharePercent,
		})
	}
	reports := p.loadReports(ctx)
	for _, i := range d.deps.Instances.Known() {
		switch r := reports[i.BackendServer]; {
		case i.Role != pwinstance.RoleAgent || r == nil:
		case i.Service == p.service:
			snapshot.Servers = append(snapshot.Servers, p.newServer(doc, i, r))
			addDemand(snapshot.Demand, doc, r)
		default:
			// All services share the limit on concurrent loads.
			snapshot.MaxLoads -= len(r.LoadingModels)
		}
	}
	snapshot.MaxLoads = max(snapshot.MaxLoads, 0)
	return snapshot, nil
}

// loadReports returns the load reports that the entry has received, and reads those of
// the service's agents outside the entry's subset. A server without a report is left
// out of the snapshot, so it gets no order and adds no capacity.
func (p *placement) loadReports(ctx context.Context) map[pwrequest.BackendServerID]*pwrpc.LoadReport {
	reports := p.duties.deps.Entry.Loads()
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentLoadReads)
	for _, i := range p.duties.deps.Instances.Known() {
		if i.Role != pwinstance.RoleAgent || i.Service != p.service || p.duties.deps.Entry.Watches(i.BackendServer) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, loadReadTimeout)
			defer cancel()
			if r, err := p.duties.deps.Agents.Load(ctx, i.Address); err == nil {
				mu.Lock()
				defer mu.Unlock()
				reports[i.BackendServer] = r
			}
		})
	}
	wg.Wait()
	return reports
}

// newServer converts an instance and its load report to a server of the snapshot.
func (p *placement) newServer(doc *pwdocument.Document, i pwinstance.Instance, r *pwrpc.LoadReport) pwplacement.Server {
	loadedVersion := func(m *pwrpc.LoadedModel) (pwrequest.ModelID, string) {
		id := pwrequest.ModelID(m.Model)
		return id, effectiveVersion(doc, id, m.Version)
	}
	return pwplacement.Server{
		ID:         i.BackendServer,
		DataCentre: i.DataCentre,
		InService:  r.InService && !i.Leaving && !p.duties.deps.Entry.OutOfService(i.DataCentre, i.BackendServer),
		Slots:      int(r.ModelSlots),
		Models:     lo.SliceToMap(r.LoadedModels, loadedVersion),
		Loading:    lo.SliceToMap(r.LoadingModels, loadedVersion),
		Adapters:   lo.SliceToMap(r.LoadedAdapters, func(a *pwrpc.LoadedAdapter) (string, string) { return a.Adapter, a.Version }),
		Role:       lo.CoalesceOrEmpty(r.Role, string(pwdocument.RoleMixed)),
		Running:    int(r.Running),
	}
}

// effectiveVersion returns the version of a loaded model. An agent reports no version
// for a model that was loaded before the agent started. The first version listed in
// the document is then assumed, so that a newly rented fleet gets no orders.
func effectiveVersion(doc *pwdocument.Document, id pwrequest.ModelID, version string) string {
	if m, ok := doc.Model(id); ok && version == "" && len(m.Versions) > 0 {
		return m.Versions[0]
	}
	return version
}

// addDemand adds the utilisation of a server, in percent, to the demand of its models.
// Reports do not contain the model of each attempt, so each loaded model gets an equal
// share. The utilisation cannot exceed that of a full server, so a number of replicas
// that is too low grows in several steps.
func addDemand(demand map[pwrequest.ModelID]float64, doc *pwdocument.Document, r *pwrpc.LoadReport) {
	utilisation := float64(r.Running) / float64(max(doc.Running.MaxAttempts, 1))
	if r.MemoryTokens > 0 {
		utilisation = max(utilisation, float64(r.ReservedTokens)/float64(r.MemoryTokens))
	}
	for _, m := range r.LoadedModels {
		demand[pwrequest.ModelID(m.Model)] += fullLoadPercent * utilisation / float64(len(r.LoadedModels))
	}
}

// ExecuteOrder implements pwplacer.OrderExecutor.
func (p *placement) ExecuteOrder(ctx context.Context, token uint64, o pwplacement.Order) error {
	agent, ok := lo.Find(p.duties.deps.Instances.Known(), func(i pwinstance.Instance) bool {
		return i.Role == pwinstance.RoleAgent && i.BackendServer == o.Server
	})
	if !ok {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "backend server %q is not in the instance list", o.Server)
	}
	resp, err := p.duties.deps.Agents.Order(ctx, agent.Address, &pwrpc.OrderRequest{
		Fence:   token,
		Kind:    string(o.Kind),
		Model:   string(o.Model),
		Adapter: o.Adapter,
		Version: o.Version,
		Role:    o.Role,
	})
	if err != nil {
		return err
	}
	return resp.GetRefusal().Err()
}

// RecordOrder implements pwplacer.Recorder.
func (p *placement) RecordOrder(token uint64, o pwplacement.Order, err error) {
	details := lo.Compact([]string{string(o.Kind), string(o.Model), o.Adapter, o.Version, o.Role, fmt.Sprint("token=", token)})
	decision := pwobserve.Decision{
		Kind:    "place",
		Service: p.service,
		Choice:  o.Server,
		Reasons: strings.Join(details, " "),
	}
	if err != nil {
		decision.Verdict, decision.Cause = pwverdict.VerdictOf(err).String(), string(pwverdict.CauseOf(err))
	}
	p.duties.deps.Observer.LogDecision(decision)
}
