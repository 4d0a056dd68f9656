package pwoperator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
)

const (
	// staleStateAfter is the guaranteed time within which a change is in force
	// everywhere. A replica confirmed longer ago may lack a change.
	staleStateAfter = 4 * time.Second
	// staleReportAfter is three times the longest interval between load reports.
	staleReportAfter = 6 * time.Second
	// maxConditionServers is the largest number of servers that a condition lists.
	maxConditionServers = 5
)

func (a *api) registerStatus(h huma.API) {
	register(h, a, huma.Operation{
		OperationID: "view-status",
		Method:      http.MethodGet,
		Path:        "/status",
		Summary:     "View what is specified and what is observed, and why they differ",
	}, a.viewStatus)
}

// Freshness reports how old this entry's replica of documents and marks may be.
type Freshness struct {
	ConfirmedAt string `json:"confirmed_at,omitempty" doc:"Time as of which the copy is complete, RFC 3339."`
	ConfirmedBy string `json:"confirmed_by,omitempty" doc:"Instance that compared with the table service."`
	Stale       bool   `json:"stale" doc:"A change may be missing here."`
	Detail      string `json:"detail" doc:"The same in words."`
}

func (a *api) freshness() Freshness {
	f := a.Replica.Status().Freshness
	out := Freshness{
		ConfirmedAt: formatTime(f.ConfirmedAt),
		ConfirmedBy: f.ConfirmedBy,
	}
	age := time.Since(f.ConfirmedAt)
	switch {
	case f.ConfirmedAt.IsZero():
		out.Stale = true
		out.Detail = "this entry's state was never compared with the table service"
	case age > staleStateAfter:
		out.Stale = true
		out.Detail = fmt.Sprintf("this entry's state was last confirmed %s ago", age.Round(time.Second))
	default:
		out.Detail = "this entry's state is confirmed"
	}
	return out
}

// ConditionCode is a machine-readable reason why the observed state differs from
// the specified one.
type ConditionCode string

// Condition codes.
const (
	ConditionStaleState          ConditionCode = "stale_state"
	ConditionOutOfService        ConditionCode = "out_of_service"
	ConditionServersOutOfService ConditionCode = "servers_out_of_service"
	ConditionDraining            ConditionCode = "draining"
	ConditionLeaving             ConditionCode = "leaving"
	ConditionMissingServers      ConditionCode = "missing_servers"
	ConditionExtraServers        ConditionCode = "extra_servers"
	ConditionSilent              ConditionCode = "silent"
	ConditionRefusing            ConditionCode = "refusing"
	ConditionStaleReports        ConditionCode = "stale_reports"
	ConditionWarmingUp           ConditionCode = "warming_up"
	// ConditionIsolated means that the entry reaches neither its peers nor the
	// table service and refuses new work.
	ConditionIsolated ConditionCode = "isolated"
	// ConditionSingleRequest means that a server is reserved for one request
	// that crashed another server.
	ConditionSingleRequest ConditionCode = "single_request"
	// ConditionNotInForce means that some processes do not have a change yet.
	ConditionNotInForce ConditionCode = "not_in_force"
	// ConditionDataCentreSilent means that no process of a data centre responds.
	ConditionDataCentreSilent ConditionCode = "data_centre_silent"
	ConditionNotSpecified     ConditionCode = "not_specified"
)

// ConditionCodes returns all condition codes.
func ConditionCodes() []ConditionCode {
	return []ConditionCode{
		ConditionStaleState, ConditionOutOfService, ConditionServersOutOfService, ConditionDraining, ConditionLeaving,
		ConditionMissingServers, ConditionExtraServers, ConditionSilent, ConditionRefusing, ConditionStaleReports,
		ConditionWarmingUp, ConditionIsolated, ConditionNotSpecified, ConditionSingleRequest,
		ConditionNotInForce, ConditionDataCentreSilent,
	}
}

// Condition explains one difference between observed and specified state.
type Condition struct {
	Code           ConditionCode `json:"code" doc:"Machine-readable reason."`
	Detail         string        `json:"detail" doc:"The reason in words."`
	BackendServers []string      `json:"backend_servers,omitempty" doc:"Up to 5 of the backend servers concerned."`
}

// CentreStatus is the status of one service in one data centre.
type CentreStatus struct {
	Name      string `json:"name" doc:"Name of the data centre."`
	InService bool   `json:"in_service" doc:"Whether the data centre receives new work."`
	// Specified comes from the document; the other numbers are observed.
	Specified   int         `json:"specified" doc:"Backend servers in the document."`
	Listed      int         `json:"listed" doc:"Backend servers in the instance list."`
	Watched     int         `json:"watched" doc:"Those whose load reports this entry follows."`
	Serving     int         `json:"serving" doc:"Those that accept new work, of the watched ones."`
	Running     int         `json:"running" doc:"Requests that run on the watched servers."`
	RunningLong int         `json:"running_long" doc:"Long prompts among them."`
	Bound       int         `json:"bound" doc:"Requests that the serving servers accept at once now."`
	FullBound   int         `json:"full_bound" doc:"Requests that the watched servers accept at once when all are warm and in service."`
	Conditions  []Condition `json:"conditions" doc:"Why observed and specified differ."`
}

// ServiceStatus is the status of one service in all its data centres.
type ServiceStatus struct {
	Name        string         `json:"name" doc:"Name of the service."`
	Owner       string         `json:"owner" doc:"Team that owns it."`
	Kind        string         `json:"kind" doc:"What runs on the backend servers."`
	Sequence    uint64         `json:"sequence" doc:"Version of the document in force here."`
	DataCentres []CentreStatus `json:"data_centres" doc:"Its data centres."`
	// InForce is nil when this entry could not determine it.
	InForce    *InForce    `json:"in_force,omitempty" doc:"How far the document has come."`
	Conditions []Condition `json:"conditions" doc:"What concerns all its data centres."`
}

// Status is the status of all services as seen by one entry.
type Status struct {
	Freshness  Freshness       `json:"freshness" doc:"How old the documents and marks here may be."`
	Conditions []Condition     `json:"conditions" doc:"What concerns all services."`
	Services   []ServiceStatus `json:"services" doc:"Services by name."`
}

type statusInput struct {
	AuthHeader
	Service string `query:"service" maxLength:"63" doc:"Only this service."`
}

func (a *api) viewStatus(ctx context.Context, _ pwchange.Author, in statusInput) (*Status, error) {
	snap := a.takeSnapshot()
	out := &Status{
		Freshness:  a.freshness(),
		Conditions: []Condition{},
		Services:   []ServiceStatus{},
	}
	if out.Freshness.Stale {
		out.Conditions = append(out.Conditions, Condition{
			Code:   ConditionStaleState,
			Detail: out.Freshness.Detail + "; it goes on with what it has, and a change may be missing",
		})
	}
	out.Conditions = append(out.Conditions, a.connectivityConditions(ctx)...)
	byService := lo.GroupBy(a.Fleet.Servers(), func(s Server) string { return string(s.Service) })
	names := lo.Uniq(append(sortedKeys(snap.documents), sortedKeys(byService)...))
	slices.Sort(names)
	for _, name := range names {
		if in.Service == "" || in.Service == name {
			s := snap.serviceStatus(name, byService[name])
			if d, ok := snap.documents[name]; ok {
				s.InForce = a.changePropagation(ctx, d.change)
				s.Conditions = notInForceConditions(s.InForce, "version", d.change)
			}
			out.Services = append(out.Services, s)
		}
	}
	if in.Service != "" && len(out.Services) == 0 {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "no service %q; list them with service list", in.Service)
	}
	return out, nil
}

// connectivityConditions reports whether this entry is isolated, which data
// centres do not answer, and which data centre marks are not in force everywhere.
func (a *api) connectivityConditions(ctx context.Context) []Condition {
	var out []Condition
	if s := a.Replica.Status(); s.Isolated {
		out = append(out, Condition{
			Code:   ConditionIsolated,
			Detail: "this entry is cut off from its peers and the table service since " + formatTime(s.LastContactAt) + "; it refuses new work",
		})
	}
	var newest pwchange.Change
	for _, c := range a.replicatedChanges("") {
		if c.Sequence > newest.Sequence {
			newest = c
		}
	}
	if list, err := a.Propagation.InForce(ctx, newest.Key, newest.Sequence); err == nil && newest.Sequence > 0 {
		byCentre := lo.GroupBy(list, func(p ProcessStatus) string { return string(p.DataCentre) })
		for _, dc := range sortedKeys(byCentre) {
			if lo.EveryBy(byCentre[dc], func(p ProcessStatus) bool { return time.Since(p.RespondedAt) > inactiveAfter }) {
				out = append(out, Condition{
					Code:   ConditionDataCentreSilent,
					Detail: fmt.Sprintf("nothing is heard of %s in %s; it may be cut off and then serves with what it has", plural(len(byCentre[dc]), "process"), dc),
				})
			}
		}
	}
	marks := a.marks(pwchange.TargetDataCentre)
	for _, dc := range sortedKeys(marks) {
		out = append(out, notInForceConditions(a.changePropagation(ctx, marks[dc].change), "mark of "+dc+", version", marks[dc].change)...)
	}
	return out
}

// changePropagation returns where a change is in force, or nil if that cannot be
// determined.
func (a *api) changePropagation(ctx context.Context, c pwchange.Change) *InForce {
	list, err := a.Propagation.InForce(ctx, c.Key, c.Sequence)
	if err != nil {
		return nil
	}
	return countInForce(list, time.Now())
}

// notInForceConditions returns a condition if a change is not in force
// everywhere. label names the kind of change in the condition's detail.
func notInForceConditions(f *InForce, label string, c pwchange.Change) []Condition {
	if f == nil || f.Everywhere {
		return []Condition{}
	}
	return []Condition{{
		Code:   ConditionNotInForce,
		Detail: fmt.Sprintf("%s %d is in force on %d of %d data centres; waiting for %s", label, c.Sequence, f.DataCentres, f.OfDataCentres, strings.Join(f.Waiting, ", ")),
	}}
}

// serviceStatus compares one service in all its data centres with its document.
func (snap snapshot) serviceStatus(name string, servers []Server) ServiceStatus {
	d := snap.documents[name]
	out := ServiceStatus{
		Name:        name,
		Sequence:    d.change.Sequence,
		DataCentres: []CentreStatus{},
		Conditions:  []Condition{},
	}
	specified := map[string]int{}
	if d.doc != nil {
		out.Owner, out.Kind = d.doc.Owner, string(d.doc.Kind)
		for _, c := range d.doc.DataCentres {
			specified[string(c.Name)] = c.BackendServers
		}
	}
	byCentre := lo.GroupBy(servers, func(s Server) string { return string(s.DataCentre) })
	names := lo.Uniq(append(sortedKeys(specified), sortedKeys(byCentre)...))
	slices.Sort(names)
	for _, dc := range names {
		n, ok := specified[dc]
		out.DataCentres = append(out.DataCentres, snap.centreStatus(name, dc, n, ok, byCentre[dc]))
	}
	return out
}

// centreStatus compares one service in one data centre with its document.
// inDocument reports whether the document lists the data centre.
func (snap snapshot) centreStatus(service, dc string, specified int, inDocument bool, servers []Server) CentreStatus {
	out := CentreStatus{
		Name:       dc,
		InService:  true,
		Specified:  specified,
		Listed:     len(servers),
		Conditions: []Condition{},
	}
	fullBound := snap.fullBound(pwrequest.ServiceID(service))
	byState := map[ServerState][]Server{}
	var stale []Server
	for _, s := range servers {
		state, _ := snap.serverState(s)
		byState[state] = append(byState[state], s)
		if !s.Watched {
			continue
		}
		out.Watched++
		out.FullBound += fullBound
		if s.Report == nil {
			continue
		}
		out.Running += s.Report.Running
		out.RunningLong += s.Report.RunningLong
		if snap.now.Sub(s.Report.SentAt) > staleReportAfter {
			stale = append(stale, s)
		}
		if state == StateServing || state == StateWarmingUp {
			out.Serving++
			out.Bound += s.Report.RunningBound
		}
	}
	addCondition := func(code ConditionCode, servers []Server, detail string) {
		out.Conditions = append(out.Conditions, Condition{
			Code:           code,
			Detail:         detail,
			BackendServers: exampleServerIDs(servers),
		})
	}
	if m, ok := snap.centreMarks[dc]; ok && m.mark.OutOfService {
		out.InService = false
		addCondition(ConditionOutOfService, nil, m.outReason())
	} else if list := byState[StateOutOfService]; len(list) > 0 {
		snap.addOutOfService(list, addCondition)
	}
	if list := byState[StateDraining]; len(list) > 0 {
		addCondition(ConditionDraining, list, snap.drainDetail(service, list))
	}
	if list := byState[StateLeaving]; len(list) > 0 {
		addCondition(ConditionLeaving, list, plural(len(list), "server")+" will end soon: the platform has announced it")
	}
	switch {
	case !inDocument && snap.documents[service].doc == nil:
		addCondition(ConditionNotSpecified, servers, plural(len(servers), "server")+" of a service without a document; apply one or return the servers")
	case !inDocument:
		addCondition(ConditionNotSpecified, servers, plural(len(servers), "server")+" in a data centre that the document does not name")
	case len(servers) < specified:
		addCondition(ConditionMissingServers, nil, fmt.Sprintf("%d of %d servers are in the instance list; it may lag", len(servers), specified))
	case len(servers) > specified:
		addCondition(ConditionExtraServers, nil, fmt.Sprintf("%d servers are in the instance list, %d more than specified", len(servers), len(servers)-specified))
	}
	if list := byState[StateSilent]; len(list) > 0 {
		addCondition(ConditionSilent, list, plural(len(list), "server")+" without load reports; the agent or the network may be down")
	}
	if len(stale) > 0 {
		addCondition(ConditionStaleReports, stale, fmt.Sprintf("last report of %s is older than %s", plural(len(stale), "server"), staleReportAfter))
	}
	if list := byState[StateWarmingUp]; len(list) > 0 {
		bound := lo.SumBy(list, func(s Server) int { return s.Report.RunningBound })
		addCondition(ConditionWarmingUp, list, fmt.Sprintf("%s at %d of %d requests; the bound doubles after each interval with work and without slow steps", plural(len(list), "server"), bound, len(list)*fullBound))
	}
	if list := byState[StateSingleRequest]; len(list) > 0 {
		addCondition(ConditionSingleRequest, list, plural(len(list), "server")+" kept for a single request that crashed another server")
	}
	return out
}

// addOutOfService adds separate conditions for servers that are marked and for
// servers whose agent refuses new work without a mark.
func (snap snapshot) addOutOfService(list []Server, addCondition func(ConditionCode, []Server, string)) {
	marked, refusing := lo.FilterReject(list, func(s Server, _ int) bool {
		_, ok := snap.outMark(s)
		return ok
	})
	if len(marked) > 0 {
		m, _ := snap.outMark(marked[0])
		addCondition(ConditionServersOutOfService, marked, plural(len(marked), "server")+" out of service; the first "+m.outReason())
	}
	if len(refusing) > 0 {
		addCondition(ConditionRefusing, refusing, plural(len(refusing), "server")+" whose agent refuses new work; it may not have heard of a change, or is ending")
	}
}

// drainDetail describes the work that is left on draining servers.
func (snap snapshot) drainDetail(service string, list []Server) string {
	running := lo.SumBy(list, func(s Server) int { return s.Report.Running })
	long := lo.SumBy(list, func(s Server) int { return s.Report.RunningLong })
	limit := "the drain time"
	if d, ok := snap.documents[service]; ok {
		limit = d.doc.Drain.MigrateAfter().String()
	}
	return fmt.Sprintf("%s finish %s, %s among them; what runs longer than %s migrates",
		plural(len(list), "server"), plural(running, "request"), plural(long, "long prompt"), limit)
}

// exampleServerIDs returns the first identifiers of the servers in sorted order,
// at most maxConditionServers.
func exampleServerIDs(servers []Server) []string {
	ids := lo.Map(servers, func(s Server, _ int) string { return string(s.ID) })
	slices.Sort(ids)
	return ids[:min(len(ids), maxConditionServers)]
}
