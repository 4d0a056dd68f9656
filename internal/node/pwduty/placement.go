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
	// loadReads bounds the load reports that are read at once from agents that
	// this entry does not watch, and loadReadTimeout the time of each.
	loadReads       = 32
	loadReadTimeout = time.Second
	// fullLoad is the work of a server whose attempts or memory are used up, and
	// targetLoad what the placement plans for each server. It leaves room for
	// the loss of one data centre of three.
	fullLoad   = 100.0
	targetLoad = 65.0
)

// placement gives the placer of one service what the entry knows, and passes
// its orders to the agents.
type placement struct {
	duties  *Duties
	service pwrequest.ServiceID
}

// ReadSnapshot implements pwplacer.Snapshots.
func (p *placement) ReadSnapshot(ctx context.Context) (pwplacement.Snapshot, error) {
	d := p.duties
	doc, ok := lo.Find(d.parts.Entry.Documents(), func(doc *pwdocument.Document) bool { return doc.Service() == p.service })
	if !ok {
		return pwplacement.Snapshot{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "service %q has no document", p.service)
	}
	in := pwplacement.Snapshot{
		Demand:         map[pwrequest.ModelID]float64{},
		ServerCapacity: targetLoad,
		MaxLoads:       d.parts.ConcurrentLoads,
	}
	for _, m := range doc.Models {
		in.Models = append(in.Models, pwplacement.Model{
			ID:          m.ID,
			Version:     m.ActiveVersion,
			MinReplicas: m.MinReplicas,
			Adapters:    lo.SliceToMap(m.Adapters, func(a pwdocument.Adapter) (string, string) { return a.ID, a.Version }),
		})
	}
	for _, r := range doc.Roles {
		in.Roles = append(in.Roles, pwplacement.RoleShare{
			Role:    string(r.Role),
			Percent: r.SharePercent,
		})
	}
	loads := p.loads(ctx)
	for _, i := range d.parts.Instances.Known() {
		switch r := loads[i.BackendServer]; {
		case i.Role != pwinstance.RoleAgent || r == nil:
		case i.Service == p.service:
			in.Servers = append(in.Servers, p.server(doc, i, r))
			addDemand(in.Demand, doc, r)
		default:
			// All services share the limit.
			in.MaxLoads -= len(r.LoadingModels)
		}
	}
	in.MaxLoads = max(in.MaxLoads, 0)
	return in, nil
}

// loads returns the reports that the entry has, and those of the service's
// agents outside the entry's subset, which it reads. A server without a report
// is left out, so it gets no order and does not count.
func (p *placement) loads(ctx context.Context) map[pwrequest.BackendServerID]*pwrpc.LoadReport {
	loads := p.duties.parts.Entry.Loads()
	var mu sync.Mutex
	var wg sync.WaitGroup
	free := make(chan struct{}, loadReads)
	for _, i := range p.duties.parts.Instances.Known() {
		if i.Role != pwinstance.RoleAgent || i.Service != p.service || p.duties.parts.Entry.Watches(i.BackendServer) {
			continue
		}
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			ctx, cancel := context.WithTimeout(ctx, loadReadTimeout)
			defer cancel()
			if r, err := p.duties.parts.Agents.Load(ctx, i.Address); err == nil {
				mu.Lock()
				defer mu.Unlock()
				loads[i.BackendServer] = r
			}
		})
	}
	wg.Wait()
	return loads
}

func (p *placement) server(doc *pwdocument.Document, i pwinstance.Instance, r *pwrpc.LoadReport) pwplacement.Server {
	version := func(m *pwrpc.LoadedModel) (pwrequest.ModelID, string) {
		id := pwrequest.ModelID(m.Model)
		return id, versionOf(doc, id, m.Version)
	}
	return pwplacement.Server{
		ID:         i.BackendServer,
		DataCentre: i.DataCentre,
		InService:  r.InService && !i.Leaving && !p.duties.parts.Entry.OutOfService(i.DataCentre, i.BackendServer),
		Slots:      int(r.ModelSlots),
		Models:     lo.SliceToMap(r.LoadedModels, version),
		Loading:    lo.SliceToMap(r.LoadingModels, version),
		Adapters:   lo.SliceToMap(r.LoadedAdapters, func(a *pwrpc.LoadedAdapter) (string, string) { return a.Adapter, a.Version }),
		Role:       lo.CoalesceOrEmpty(r.Role, string(pwdocument.RoleMixed)),
		Running:    int(r.Running),
	}
}

// versionOf returns the version of a loaded model. The agent does not know the
// version of a model that was loaded before it started; the first version that
// the document lists is assumed, so that a fleet as it was rented is left alone.
func versionOf(doc *pwdocument.Document, id pwrequest.ModelID, version string) string {
	if m, ok := doc.Model(id); ok && version == "" && len(m.Versions) > 0 {
		return m.Versions[0]
	}
	return version
}

// addDemand adds the use of a server, in percent, to the demand of its models.
// Reports do not tell which model an attempt uses, so each gets an equal part.
// Use cannot exceed a full server; a target that is too low therefore grows in
// several steps.
func addDemand(demand map[pwrequest.ModelID]float64, doc *pwdocument.Document, r *pwrpc.LoadReport) {
	use := float64(r.Running) / float64(max(doc.Running.MaxAttempts, 1))
	if r.MemoryTokens > 0 {
		use = max(use, float64(r.ReservedTokens)/float64(r.MemoryTokens))
	}
	for _, m := range r.LoadedModels {
		demand[pwrequest.ModelID(m.Model)] += fullLoad * use / float64(len(r.LoadedModels))
	}
}

// ExecuteOrder implements pwplacer.Orderer.
func (p *placement) ExecuteOrder(ctx context.Context, token uint64, o pwplacement.Order) error {
	agent, ok := lo.Find(p.duties.parts.Instances.Known(), func(i pwinstance.Instance) bool {
		return i.Role == pwinstance.RoleAgent && i.BackendServer == o.Server
	})
	if !ok {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "backend server %q is not in the instance list", o.Server)
	}
	resp, err := p.duties.parts.Agents.Order(ctx, agent.Address, &pwrpc.OrderRequest{
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
	what := lo.Compact([]string{string(o.Kind), string(o.Model), o.Adapter, o.Version, o.Role, fmt.Sprint("token=", token)})
	decision := pwobserve.Decision{
		Kind:    "place",
		Service: p.service,
		Choice:  o.Server,
		Reasons: strings.Join(what, " "),
	}
	if err != nil {
		decision.Verdict, decision.Cause = pwverdict.VerdictOf(err).String(), string(pwverdict.CauseOf(err))
	}
	p.duties.parts.Observer.LogDecision(decision)
}
