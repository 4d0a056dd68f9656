package pwoperator

import (
	"cmp"
	"context"
	"errors"
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
	// maxServersPerPage is the largest number of backend servers in one page.
	maxServersPerPage = 1000
	// maxNamesInError is the largest number of known names in an error.
	maxNamesInError = 20
)

func (a *api) registerMarks(h huma.API) {
	register(h, a, huma.Operation{
		OperationID: "list-data-centres",
		Method:      http.MethodGet,
		Path:        "/data-centres",
		Summary:     "List the data centres with their in-service state",
	}, a.listDataCentres)
	register(h, a, huma.Operation{
		OperationID: "list-backend-servers",
		Method:      http.MethodGet,
		Path:        "/backend-servers",
		Summary:     "List the backend servers with their state and its reason",
	}, a.listBackendServers)
	register(h, a, huma.Operation{
		OperationID: "mark-data-centre",
		Method:      http.MethodPut,
		Path:        "/data-centres/{name}/mark",
		Summary:     "Take a data centre out of service or bring it back",
	}, func(ctx context.Context, author pwchange.Author, in markInput) (*Accepted, error) {
		return a.setMark(ctx, author, pwchange.TargetDataCentre, in)
	})
	register(h, a, huma.Operation{
		OperationID: "mark-backend-server",
		Method:      http.MethodPut,
		Path:        "/backend-servers/{name}/mark",
		Summary:     "Take a backend server out of service or bring it back",
	}, func(ctx context.Context, author pwchange.Author, in markInput) (*Accepted, error) {
		return a.setMark(ctx, author, pwchange.TargetBackendServer, in)
	})
	register(h, a, huma.Operation{
		OperationID: "view-in-force",
		Method:      http.MethodGet,
		Path:        "/in-force",
		Summary:     "View on how many data centres and processes a change is in force",
	}, a.viewInForce)
}

type markInput struct {
	AuthHeader
	Name string `path:"name" maxLength:"100" doc:"Name of the data centre or backend server."`
	Body struct {
		ProposalFields
		Out    bool   `json:"out" doc:"True to take out of service, false to bring back."`
		Reason string `json:"reason,omitempty" maxLength:"500" doc:"Why; required when taking out."`
		Force  bool   `json:"force,omitempty" doc:"Accept a name that this entry does not know."`
	}
}

func (a *api) setMark(ctx context.Context, author pwchange.Author, t pwchange.TargetKind, in markInput) (*Accepted, error) {
	if err := a.checkMarkInput(t, in); err != nil {
		return nil, err
	}
	if in.Body.Repeat {
		if earlier, found, err := a.findEarlierChange(ctx, pwchange.MarkKey(t, in.Name), in.Body.ProposalID); err != nil || found {
			return a.acceptRetry(ctx, author, earlier, err)
		}
	}
	c, err := a.ChangeLog.SetMark(ctx, t, in.Name, pwchange.Mark{
		OutOfService: in.Body.Out,
		Reason:       in.Body.Reason,
		Author:       author,
	}, in.Body.ProposalID)
	if err == nil {
		out := a.publishAccepted(ctx, author, c, in.Body.Repeat)
		out.Unchanged = c.ProposalID != in.Body.ProposalID
		return out, nil
	}
	var conflict *pwchange.ConflictError
	if errors.As(err, &conflict) {
		return nil, &conflictError{
			err: pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseConflict,
				"%s was changed by %s at the same time; look at its state before you try again", conflict.NewestChange.Key, conflict.NewestChange.Author.Name),
			current: conflict.NewestChange,
		}
	}
	return nil, correctRetryVerdict(err, in.Body.Repeat)
}

// checkMarkInput rejects a mark without a reason or with an unknown name. A mark
// of a misspelt name would otherwise be accepted and have no effect.
func (a *api) checkMarkInput(t pwchange.TargetKind, in markInput) error {
	if in.Body.Out && strings.TrimSpace(in.Body.Reason) == "" {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "reason: found nothing; allowed: text that tells others why")
	}
	if in.Body.Force {
		return nil
	}
	var known []string
	if t == pwchange.TargetDataCentre {
		known = lo.Map(a.dataCentres(), func(d DataCentre, _ int) string { return d.Name })
	} else {
		known = lo.Map(a.Fleet.Servers(), func(s Server, _ int) string { return string(s.ID) })
		known = append(known, sortedKeys(a.marks(t))...)
	}
	if slices.Contains(known, in.Name) {
		return nil
	}
	shown := lo.Uniq(known)
	slices.Sort(shown)
	more := ""
	if n := len(shown) - maxNamesInError; n > 0 {
		more = fmt.Sprintf(" and %d more", n)
		shown = shown[:maxNamesInError]
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "name: found %.100q; allowed: %s%s; force accepts a name that this entry does not know yet",
		in.Name, strings.Join(shown, ", "), more)
}

// markVersion is a parsed mark with the change that set it.
type markVersion struct {
	change pwchange.Change
	mark   pwchange.Mark
}

// marks returns the marks in the replica of one kind of target, by target name.
func (a *api) marks(t pwchange.TargetKind) map[string]markVersion {
	out := map[string]markVersion{}
	for _, c := range a.replicatedChanges(pwchange.MarkKey(t, "")) {
		if _, name, m, ok := pwchange.MarkInForce(c); ok {
			out[name] = markVersion{
				change: c,
				mark:   m,
			}
		}
	}
	return out
}

// outReason describes who took the target out of service, when and why.
func (m markVersion) outReason() string {
	return fmt.Sprintf("taken out by %s (%s) at %s: %s", m.mark.Author.Name, m.mark.Author.Team, formatTime(time.UnixMilli(m.mark.MarkedUnixMS)), m.mark.Reason)
}

// DataCentre is the state of one data centre.
type DataCentre struct {
	Name        string   `json:"name" doc:"Name of the data centre."`
	InService   bool     `json:"in_service" doc:"Whether it receives new work."`
	Reason      string   `json:"reason,omitempty" doc:"Why it is out of service, by whom and since when."`
	Sequence    uint64   `json:"sequence,omitempty" doc:"Sequence number of its newest mark."`
	Services    []string `json:"services" doc:"Services that run there."`
	Servers     int      `json:"backend_servers" doc:"Backend servers that this entry knows there."`
	Watched     int      `json:"watched" doc:"Those whose load reports this entry follows."`
	Reporting   int      `json:"reporting" doc:"Those whose load reports this entry has."`
	Running     int      `json:"running" doc:"Requests that run on the reporting servers."`
	RunningLong int      `json:"running_long" doc:"Long prompts among them."`
}

// DataCentreList lists the known data centres.
type DataCentreList struct {
	DataCentres []DataCentre `json:"data_centres" doc:"Data centres by name."`
	Freshness   Freshness    `json:"freshness" doc:"How old the list may be."`
}

func (a *api) listDataCentres(context.Context, pwchange.Author, listInput) (*DataCentreList, error) {
	return &DataCentreList{
		DataCentres: a.dataCentres(),
		Freshness:   a.freshness(),
	}, nil
}

// dataCentres returns the data centres that appear in a document, as the place
// of a server, or in a mark, sorted by name.
func (a *api) dataCentres() []DataCentre {
	all := map[string]*DataCentre{}
	get := func(name string) *DataCentre {
		if all[name] == nil {
			all[name] = &DataCentre{
				Name:      name,
				InService: true,
				Services:  []string{},
			}
		}
		return all[name]
	}
	documents := a.replicatedDocuments()
	for _, name := range sortedKeys(documents) {
		for _, c := range documents[name].doc.DataCentres {
			d := get(string(c.Name))
			d.Services = append(d.Services, name)
		}
	}
	for _, s := range a.Fleet.Servers() {
		d := get(string(s.DataCentre))
		d.Servers++
		d.Watched += lo.Ternary(s.Watched, 1, 0)
		if s.Report != nil {
			d.Reporting++
			d.Running += s.Report.Running
			d.RunningLong += s.Report.RunningLong
		}
	}
	for name, m := range a.marks(pwchange.TargetDataCentre) {
		d := get(name)
		d.InService = !m.mark.OutOfService
		d.Sequence = m.change.Sequence
		if m.mark.OutOfService {
			d.Reason = m.outReason()
		}
	}
	return lo.Map(sortedKeys(all), func(name string, _ int) DataCentre { return *all[name] })
}

// BackendServer is the state of one backend server.
type BackendServer struct {
	ID           string      `json:"id" doc:"Identifier of the backend server."`
	Service      string      `json:"service" doc:"Its service."`
	DataCentre   string      `json:"data_centre" doc:"Its data centre."`
	State        ServerState `json:"state" enum:"serving,warming_up,single_request,draining,out_of_service,leaving,silent,not_watched" doc:"Its state as this entry sees it."`
	Reason       string      `json:"reason,omitempty" doc:"Why it is in this state."`
	Watched      bool        `json:"watched" doc:"Whether this entry follows its load reports."`
	HasReport    bool        `json:"reports" doc:"Whether this entry has its load reports; without them the numbers are 0."`
	Running      int         `json:"running" doc:"Requests that run."`
	RunningBound int         `json:"running_bound" doc:"Current bound on running requests."`
	RunningLong  int         `json:"running_long" doc:"Long prompts among them."`
}

// ServerState is the state of a backend server.
type ServerState string

// Backend server states.
const (
	StateServing      ServerState = "serving"
	StateWarmingUp    ServerState = "warming_up"
	StateDraining     ServerState = "draining"
	StateOutOfService ServerState = "out_of_service"
	StateLeaving      ServerState = "leaving"
	StateSilent       ServerState = "silent"
	// StateSingleRequest means that the server is reserved for one request that
	// crashed another server.
	StateSingleRequest ServerState = "single_request"
	// StateNotWatched means that the server is outside this entry's subset.
	StateNotWatched ServerState = "not_watched"
)

// BackendServerList is one page of backend servers.
type BackendServerList struct {
	BackendServers []BackendServer `json:"backend_servers" doc:"Backend servers by identifier."`
	Next           string          `json:"next,omitempty" doc:"Where the next page starts."`
	Freshness      Freshness       `json:"freshness" doc:"How old the marks may be."`
}

type listServersInput struct {
	AuthHeader
	ID         string `query:"id" maxLength:"100" doc:"Only this server."`
	Service    string `query:"service" maxLength:"63" doc:"Only servers of this service."`
	DataCentre string `query:"data_centre" maxLength:"63" doc:"Only servers of this data centre."`
	After      string `query:"after" maxLength:"100" doc:"Only servers after this identifier."`
	Limit      int    `query:"limit" minimum:"1" maximum:"1000" default:"1000" doc:"Largest number of servers."`
}

func (a *api) listBackendServers(_ context.Context, _ pwchange.Author, in listServersInput) (*BackendServerList, error) {
	out := &BackendServerList{
		BackendServers: []BackendServer{},
		Freshness:      a.freshness(),
	}
	list := lo.Filter(a.Fleet.Servers(), func(s Server, _ int) bool {
		return (in.ID == "" || string(s.ID) == in.ID) && (in.Service == "" || string(s.Service) == in.Service) &&
			(in.DataCentre == "" || string(s.DataCentre) == in.DataCentre) && string(s.ID) > in.After
	})
	slices.SortFunc(list, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	if limit := min(in.Limit, maxServersPerPage); len(list) > limit {
		list = list[:limit]
		out.Next = string(list[limit-1].ID)
	}
	snap := a.takeSnapshot()
	for _, s := range list {
		state, reason := snap.serverState(s)
		b := BackendServer{
			ID:         string(s.ID),
			Service:    string(s.Service),
			DataCentre: string(s.DataCentre),
			State:      state,
			Reason:     reason,
			Watched:    s.Watched,
		}
		if s.Report != nil {
			b.HasReport = true
			b.Running, b.RunningBound, b.RunningLong = s.Report.Running, s.Report.RunningBound, s.Report.RunningLong
		}
		out.BackendServers = append(out.BackendServers, b)
	}
	return out, nil
}

// snapshot holds the documents and marks of one moment, from which the states of
// servers are derived.
type snapshot struct {
	now         time.Time
	documents   map[string]documentVersion
	centreMarks map[string]markVersion
	serverMarks map[string]markVersion
}

func (a *api) takeSnapshot() snapshot {
	return snapshot{
		now:         time.Now(),
		documents:   a.replicatedDocuments(),
		centreMarks: a.marks(pwchange.TargetDataCentre),
		serverMarks: a.marks(pwchange.TargetBackendServer),
	}
}

// outMark returns the mark that keeps a server out of service: its own or that of
// its data centre.
func (snap snapshot) outMark(s Server) (markVersion, bool) {
	if m, ok := snap.serverMarks[string(s.ID)]; ok && m.mark.OutOfService {
		return m, true
	}
	m, ok := snap.centreMarks[string(s.DataCentre)]
	return m, ok && m.mark.OutOfService
}

// fullBound returns the limit of running requests of a warm server of a service,
// or 0 if the service has no document.
func (snap snapshot) fullBound(id pwrequest.ServiceID) int {
	if d, ok := snap.documents[string(id)]; ok {
		return d.doc.Running.MaxAttempts
	}
	return 0
}

// serverState returns the state of one server and the reason for it. If several
// states apply, the first one in the order of the cases is returned.
func (snap snapshot) serverState(s Server) (ServerState, string) {
	m, markedOut := snap.outMark(s)
	fullBound := snap.fullBound(s.Service)
	switch {
	case markedOut && s.Report != nil && s.Report.Running > 0:
		return StateDraining, m.outReason()
	case markedOut:
		return StateOutOfService, m.outReason()
	case s.Leaving:
		return StateLeaving, "the platform has announced the end of its instance"
	case !s.Watched:
		return StateNotWatched, "another entry watches this server"
	case s.Report == nil:
		return StateSilent, "no load report; its agent or the network may be down"
	case !s.Report.InService:
		return StateOutOfService, "its agent refuses new work"
	case s.SingleRequest:
		return StateSingleRequest, "kept for one request that crashed another server"
	case s.Report.RunningBound < fullBound:
		return StateWarmingUp, fmt.Sprintf("bound is %d of %d requests", s.Report.RunningBound, fullBound)
	default:
		return StateServing, ""
	}
}

type inForceInput struct {
	AuthHeader
	Key      string `query:"key" required:"true" maxLength:"160" doc:"Key of the change."`
	Sequence uint64 `query:"sequence" required:"true" doc:"Sequence number of the change."`
}

// inactiveAfter is the time after which a process that does not respond is no longer
// waited for. Its peers and agents decide whether it is alive.
const inactiveAfter = 10 * time.Second

// InForce reports in how many data centres and processes a change is in force.
type InForce struct {
	Everywhere    bool     `json:"everywhere" doc:"The change is in force in every process that this entry hears from."`
	DataCentres   int      `json:"data_centres" doc:"Data centres in which it is in force in every process heard from."`
	OfDataCentres int      `json:"of_data_centres" doc:"Known data centres."`
	Processes     int      `json:"processes" doc:"Processes in which it is in force."`
	OfProcesses   int      `json:"of_processes" doc:"Processes heard from within 10 s."`
	Silent        int      `json:"silent" doc:"Known processes not heard from."`
	Waiting       []string `json:"waiting,omitempty" doc:"Data centres in which it is not yet in force."`
}

func (a *api) viewInForce(ctx context.Context, _ pwchange.Author, in inForceInput) (*InForce, error) {
	if !pwchange.ValidKey(in.Key) {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"key: found %.80q; allowed: service/<name>, mark/data_centre/<name> or mark/backend_server/<name>", in.Key)
	}
	list, err := a.Propagation.InForce(ctx, in.Key, in.Sequence)
	if err != nil {
		return nil, err
	}
	return countInForce(list, time.Now()), nil
}

// countInForce summarises the responses of the processes. A data centre in which no
// process responds counts as one in which the change is not in force.
func countInForce(list []ProcessStatus, now time.Time) *InForce {
	out := &InForce{}
	byCentre := lo.GroupBy(list, func(p ProcessStatus) string { return string(p.DataCentre) })
	out.OfDataCentres = len(byCentre)
	for _, name := range sortedKeys(byCentre) {
		responding, inForce := 0, 0
		for _, p := range byCentre[name] {
			switch {
			case now.Sub(p.RespondedAt) > inactiveAfter:
				out.Silent++
				continue
			case p.InForce:
				inForce++
			}
			responding++
		}
		out.Processes += inForce
		out.OfProcesses += responding
		if responding > 0 && inForce == responding {
			out.DataCentres++
		} else {
			out.Waiting = append(out.Waiting, name)
		}
	}
	out.Everywhere = out.DataCentres > 0 && out.DataCentres == out.OfDataCentres
	return out
}
