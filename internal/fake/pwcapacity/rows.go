package pwcapacity

import (
	"fmt"
	"slices"

	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdirectory"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
)

// Figures that are projected for a role.
const (
	figureMemory    = "memory"
	figureProcessor = "processor"
	figureTraffic   = "traffic"
	figureMessages  = "messages"
	figureReads     = "table reads"
	figureWrites    = "table writes"
	figureObjects   = "object writes"
)

// Classes of work. Control work has limits. The data path transports and stores prompts
// and tokens, and the design states no limit for it.
const (
	classControl = "control"
	classData    = "data path"
	// classRequest is control work that grows with the number of requests.
	classRequest = "control, by request"
	// classControlPart is control work that another row includes. The sums leave it out.
	classControlPart = "part of another row"
	// classDataPart is work of the data path that another row includes. The sums leave
	// it out.
	classDataPart = "part of a data path row"
)

// Roles whose costs are projected.
const (
	roleGateway      = "gateway"
	roleEntry        = "entry"
	roleAgent        = "agent"
	roleRelay        = "relay"
	roleLeaseHolder  = "lease holder"
	roleTableService = "table service"
	roleObjectStore  = "object store"
)

// Statuses of a projected value.
const (
	statusOK     = "ok"
	statusNear   = "near"
	statusBreaks = "BREAKS"
	statusNone   = "no limit"
)

// nearShare is the share of its limit above which a value has statusNear.
const nearShare = 0.5

// maxMargin is the largest margin. A cost that is too small to measure has this margin.
const maxMargin = 1e6

// Row is one cost of a role at the large size.
type Row struct {
	Role    string `json:"role"`
	Figure  string `json:"figure"`
	Class   string `json:"class"`
	Name    string `json:"name"`
	Formula string `json:"formula"`
	// Term is the name of the measured term. Slope, SlopeUnit and Residual repeat its fit.
	Term      string  `json:"term"`
	Slope     float64 `json:"slope"`
	SlopeUnit string  `json:"slope_unit"`
	Residual  float64 `json:"residual"`
	// Value is the projected figure in bytes, cores, bytes per second or operations
	// per second.
	Value float64 `json:"value"`
	// Limit applies to the sum of the figure. 0 means that the design states no limit;
	// LimitText describes the limit in either case.
	Limit     float64 `json:"limit"`
	LimitText string  `json:"limit_text"`
	// Margin is the limit divided by the value, at most maxMargin, and 0 without a limit.
	Margin float64 `json:"margin"`
	Status string  `json:"status"`
	// Mechanism is the path of the source file that causes the cost.
	Mechanism string `json:"mechanism"`
	// Bound names the constant or setting that bounds the cost, or says why it has no
	// bound.
	Bound string `json:"bound"`
}

// Sum is the sum of the rows of one figure, role and class.
type Sum struct {
	Role   string  `json:"role"`
	Figure string  `json:"figure"`
	Class  string  `json:"class"`
	Value  float64 `json:"value"`
	Limit  float64 `json:"limit"`
	Margin float64 `json:"margin"`
	Status string  `json:"status"`
}

// limitFor returns the limit of a figure, or 0, and a text that states it.
func limitFor(role, figure, class string) (limit float64, text string) {
	if class == classData || class == classDataPart {
		return 0, "none stated for the data path"
	}
	switch figure {
	case figureMemory, figureHeap:
		return LimitMemory, "64 MB of a process"
	case figureProcessor:
		return LimitProcessor, "2.9 % of a core of a process"
	case figureTraffic:
		return LimitTraffic, "16 KB/s of a process"
	case figureMessages:
		return 0, "none stated; the bytes count as traffic"
	case figureReads:
		return LimitTableReads, "2,000 reads/s"
	default:
		if role == roleObjectStore {
			return LimitTableWrites, "300 writes/s, shared with the table"
		}
		return LimitTableWrites, "300 writes/s"
	}
}

// checkLimit returns the margin and the status of a value. A limit of 0 means no limit.
func checkLimit(value, limit float64) (margin float64, status string) {
	switch {
	case limit == 0:
		return 0, statusNone
	case value <= 0:
		return maxMargin, statusOK
	case value > limit:
		status = statusBreaks
	case value > nearShare*limit:
		status = statusNear
	default:
		status = statusOK
	}
	return min(maxMargin, limit/value), status
}

// projection computes the costs at a size from the fitted terms. Its field err is set when
// a row needs a term that was not measured.
type projection struct {
	size  Size
	terms map[string]*Term
	rows  []Row
	err   error
}

func newProjection(s Size, terms map[string]*Term) *projection {
	return &projection{
		size:  s,
		terms: terms,
	}
}

func (p *projection) term(name string) Term {
	t, ok := p.terms[name]
	if !ok {
		p.err = fmt.Errorf("capacity: term %s was not measured", name)
		return Term{}
	}
	return *t
}

// slope returns the cost of one more unit of the variable of a term, at least 0.
func (p *projection) slope(name string) float64 { return max(0, p.term(name).Slope) }

// costAt returns the fitted cost of a term at the size x, at least 0.
func (p *projection) costAt(name string, x float64) float64 { return p.term(name).At(x) }

// cores converts microseconds of processor time per second to cores.
func cores(us float64) float64 { return us / 1e6 }

// addRow adds a row with the fit of its term, and with the margin and status of its value.
func (p *projection) addRow(role, figure, class, name, formula, term string, value float64, mechanism, bound string) {
	t := p.term(term)
	limit, text := limitFor(role, figure, class)
	r := Row{
		Role:      role,
		Figure:    figure,
		Class:     class,
		Name:      name,
		Formula:   formula,
		Term:      term,
		Slope:     t.Slope,
		SlopeUnit: t.Unit + " / " + t.Variable,
		Residual:  t.Residual,
		Value:     value,
		Limit:     limit,
		LimitText: text,
		Mechanism: mechanism,
		Bound:     bound,
	}
	r.Margin, r.Status = checkLimit(value, limit)
	p.rows = append(p.rows, r)
}

// Source files that cause the costs.
const (
	fileRouter     = "internal/core/pwrouter/router.go"
	filePick       = "internal/core/pwrouter/pick.go"
	fileSubset     = "internal/core/pwrouter/subset.go"
	fileAffinity   = "internal/core/pwrouter/affinity.go"
	fileQueue      = "internal/core/pwqueue/queue.go"
	fileQuarantine = "internal/core/pwquarantine/quarantine.go"
	fileAdmission  = "internal/core/pwadmission/controller.go"
	fileWatcher    = "internal/node/pwentry/watcher.go"
	fileEntry      = "internal/node/pwentry/entry.go"
	fileFlight     = "internal/node/pwentry/flight.go"
	fileAttempt    = "internal/node/pwentry/attempt.go"
	fileAgent      = "internal/node/pwagent/load.go"
	fileAnswer     = "internal/node/pwagent/answer.go"
	fileProcess    = "internal/node/pwprocess/process.go"
	fileDirectory  = "internal/state/pwdirectory/directory.go"
	fileReplica    = "internal/state/pwchange/replica.go"
	fileLog        = "internal/state/pwchange/log.go"
	fileDocument   = "internal/state/pwdocument/parse.go"
	fileGossip     = "internal/state/pwgossip/loops.go"
	fileCodec      = "internal/state/pwgossip/codec.go"
	fileExchange   = "internal/state/pwgossip/exchange.go"
	fileRelay      = "internal/state/pwgossip/relay.go"
	fileClaim      = "internal/state/pwclaim/claim.go"
	fileLease      = "internal/state/pwlease/lease.go"
	fileInstances  = "internal/node/pwpeering/directory.go"
	filePlacement  = "internal/core/pwplacement/placement.go"
	filePlacer     = "internal/state/pwplacer/placer.go"
	fileGroup      = "internal/core/pwgroup/group.go"
)

// projectRows returns the rows of all roles.
func (p *projection) projectRows() []Row {
	p.gatewayRows()
	p.entryMemoryRows()
	p.entryProcessorRows()
	p.entryTrafficRows()
	p.messageRows(roleEntry, p.size.EntryWatches())
	p.entryDataRows()
	p.agentRows()
	p.messageRows(roleAgent, p.size.AgentWatches())
	p.relayRows()
	p.platformRows()
	return p.rows
}

func (p *projection) entryMemoryRows() {
	s := p.size
	row := func(class, name, formula, term string, value float64, mechanism, bound string) {
		p.addRow(roleEntry, figureMemory, class, name, formula, term, value, mechanism, bound)
	}
	row(classControl, "known server reports", "slope * services * 48", "memory.server_report", p.slope("memory.server_report")*s.EntryWatches(), fileRouter, "pwentry.defaultSubset 48 a service")
	row(classControl, "connections of watches, both ends", "slope * services * 48", "memory.watch", p.slope("memory.watch")*s.EntryWatches(), fileWatcher, "pwentry.defaultSubset 48 a service")
	row(classRequest, "queued requests", "slope * requests/entries * queue seconds", "memory.entry_queued", p.slope("memory.entry_queued")*s.EntryRequestRate()*s.QueueSeconds, fileQueue, "pwdocument.Queue max_requests, default 2,000 a model")
	row(classControlPart, "queued request in the queue alone", "slope * requests/entries * queue seconds", "memory.queued_request", p.slope("memory.queued_request")*s.EntryRequestRate()*s.QueueSeconds, fileQueue, "pwdocument.Workspace max_queued, default 200")
	row(classRequest, "active workspaces", "slope * min(workspaces, queued requests)", "memory.queue_workspace", p.slope("memory.queue_workspace")*min(s.Workspaces, s.EntryRequestRate()*s.QueueSeconds), fileQueue, "no state for idle workspaces")
	row(classRequest, "running requests", "slope * requests/entries * seconds", "memory.entry_running", p.slope("memory.entry_running")*s.EntryRunningRequests(), fileFlight, "pwrouter Report.RunningBound of the agents")
	row(classControlPart, "running requests in the router alone", "slope * requests/entries * seconds", "memory.running_in_router", p.slope("memory.running_in_router")*s.EntryRunningRequests(), fileRouter, "pwrouter Report.RunningBound of the agents")
	row(classRequest, "ended requests kept", "slope * requests/entries * 60 s", "memory.entry_ended", p.slope("memory.entry_ended")*s.EntryRequestRate()*flightRetention, fileEntry, "pwentry.defaultFlightRetention 60 s")
	row(classRequest, "request records", "slope * 2 * requests/entries * (deadline + 60 s)", "memory.request_record", p.slope("memory.request_record")*min(pwdirectory.DefaultMaxRecords, recordCopies*s.EntryRequestRate()*(s.DeadlineSeconds+flightRetention)), fileDirectory, "pwdirectory.DefaultMaxRecords 100,000")
	row(classControl, "prompt prefixes", "slope * services * 10,000", "memory.prefix", p.slope("memory.prefix")*s.Services*pwrouter.DefaultMaxPrefixes, fileAffinity, "pwrouter.DefaultMaxPrefixes 10,000 a service")
	row(classControl, "crash counts of the last hour", "slope * failures an hour * attempts of a server", "memory.crash_count", p.slope("memory.crash_count")*s.CrashCounts(), fileQuarantine, "pwquarantine.DefaultRetention 1 h")
	row(classControlPart, "crash counts at their bound", "slope * 10,000", "memory.crash_count", p.slope("memory.crash_count")*pwquarantine.DefaultMaxFingerprints, fileQuarantine, "pwquarantine.DefaultMaxFingerprints 10,000, maxCrashes 16, maxNeighbours 256")
	row(classControl, "workspaces in parsed documents", "slope * workspaces", "memory.document", p.slope("memory.document")*s.Workspaces, fileDocument, "pwdocument.MaxWorkspaces 4,096 a service")
	p.replicaMemoryRows(roleEntry)
}

// replicaMemoryRows projects the memory of the replicated state and the instance list,
// which every process holds.
func (p *projection) replicaMemoryRows(role string) {
	s := p.size
	p.addRow(role, figureMemory, classControl, "copy of the documents", "slope * workspaces", "bytes.document", p.slope("bytes.document")*s.Workspaces, fileReplica, "pwchange.MaxTotalBytes 24 MiB")
	p.addRow(role, figureMemory, classControl, "copy of the marks", "slope * marks", "memory.known_key", p.slope("memory.known_key")*s.Marks, fileReplica, "pwchange.MaxKeys 20,000")
	p.addRow(role, figureMemory, classControl, "instance list", "slope * processes", "memory.instance_list", p.slope("memory.instance_list")*s.Processes(), fileProcess, "the list of the platform; not bounded")
}

func (p *projection) entryProcessorRows() {
	s := p.size
	row := func(class, name, formula, term string, us float64, mechanism, bound string) {
		p.addRow(roleEntry, figureProcessor, class, name, formula, term, cores(us), mechanism, bound)
	}
	requestRate := s.EntryRequestRate()
	row(classRequest, "requests through the entry", "slope * requests/entries", "cpu.entry_request", p.slope("cpu.entry_request")*requestRate, fileAttempt, "pwdocument.Queue max_requests, default 2,000 a model")
	row(classControlPart, "routing decisions", "cost(48) * requests/entries", "cpu.route", p.costAt("cpu.route", subsetSize)*requestRate, filePick, "pwrouter.maxProbes 64")
	row(classControlPart, "queue operations", "cost(active workspaces) * requests/entries", "cpu.queue", p.costAt("cpu.queue", requestRate*s.QueueSeconds)*requestRate, fileQueue, "O(log queued requests)")
	row(classControl, "load reports, both ends", "slope * services * 48 * 1/s", "cpu.watch", p.slope("cpu.watch")*s.EntryWatches()*reportRate, fileWatcher, "pwagent.loadMinInterval 1 s")
	row(classControlPart, "load reports without the network", "cost(48) * services * 48 * 1/s", "cpu.load_report", p.costAt("cpu.load_report", subsetSize)*s.EntryWatches()*reportRate, fileWatcher, "pwagent.loadMinInterval 1 s")
	row(classRequest, "choice of the holders of records", "cost(entries) * requests/entries", "cpu.record_put_kept", p.costAt("cpu.record_put_kept", s.Entries)*requestRate, fileDirectory, "two holders of each record")
	row(classRequest, "request records over the network", "cost * 2 * requests/entries", "cpu.record_wire", p.costAt("cpu.record_wire", s.Marks)*recordCopies*requestRate, fileDirectory, "pwentry.recordTimeout 1 s")
	row(classControl, "choice of the subset", "cost(servers) * 0.2/s", "cpu.subset", p.costAt("cpu.subset", s.BackendServers)*instanceRefreshRate, fileSubset, "pwprocess.instanceRefreshInterval 5 s")
	row(classControl, "readings of the instance list", "cost(processes) * 0.1/s", "cpu.instance_list", p.costAt("cpu.instance_list", s.Processes())*listReadRate, fileInstances, "pwgossip.DefaultListInterval 10 s; the entry uses the same reading")
	row(classControl, "documents that change", "cost(workspaces/services) * changes/s", "cpu.document", p.costAt("cpu.document", s.WorkspacesPerService())*s.ChangeRate(), fileDocument, "pwdocument.MaxDocumentBytes 768 KiB")
	p.exchangeProcessorRows(roleEntry)
}

// exchangeProcessorRows projects the processor time of the peer exchange, which every
// process runs. A process sends two comparisons a second and responds to as many; the
// measured cost includes both ends.
func (p *projection) exchangeProcessorRows(role string) {
	us := p.costAt("cpu.exchange_wire", p.size.Marks) * comparisonRate
	p.addRow(role, figureProcessor, classControl, "comparisons with peers", "cost(keys) * 2/s", "cpu.exchange_wire", cores(us), fileExchange, "pwgossip.DefaultCompareInterval 500 ms")
	us = p.costAt("cpu.exchange", p.size.Marks) * comparisonRate
	p.addRow(role, figureProcessor, classControlPart, "comparisons without the network", "cost(keys) * 2/s", "cpu.exchange", cores(us), fileExchange, "pwgossip.DefaultCompareInterval 500 ms")
}

// exchangeTrafficRows projects the traffic of the peer exchange, which every process runs.
func (p *projection) exchangeTrafficRows(role string) {
	s := p.size
	p.addRow(role, figureTraffic, classControl, "comparisons with peers", "cost(keys) * (2 asked + 2 answered)/s", "bytes.exchange_wire", p.costAt("bytes.exchange_wire", s.Marks)*2*comparisonRate, fileExchange, "pwgossip.DefaultCompareInterval 500 ms")
	p.addRow(role, figureTraffic, classControlPart, "comparisons as messages alone", "cost(keys) * (2 asked + 2 answered)/s", "bytes.exchange", p.costAt("bytes.exchange", s.Marks)*2*comparisonRate, fileExchange, "pwgossip.DefaultCompareInterval 500 ms")
	p.addRow(role, figureTraffic, classControlPart, "comparisons in running fleets", "cost(processes)", "bytes.gossip", p.costAt("bytes.gossip", p.largestSize("bytes.gossip")), fileGossip, "pwgossip.DefaultCompareInterval 500 ms")
	p.addRow(role, figureTraffic, classControl, "announcements of changes", "cost(processes) * changes/s", "bytes.change_pushed", p.costAt("bytes.change_pushed", p.largestSize("bytes.change_pushed"))*s.ChangeRate(), fileGossip, "pwgossip.DefaultFanOut 4")
	p.addRow(role, figureTraffic, classControl, "documents that change, received and passed on", "cost(workspaces/services) * 2 * changes/s", "bytes.document_pushed", p.costAt("bytes.document_pushed", s.WorkspacesPerService())*2*s.ChangeRate(), fileCodec, "pwdocument.MaxDocumentBytes 768 KiB; a document is sent whole")
}

// largestSize returns the largest measured size of a term. It is used for costs that
// become constant as the size grows.
func (p *projection) largestSize(name string) float64 {
	t := p.term(name)
	x := 0.0
	for _, pt := range t.Points {
		x = max(x, pt.X)
	}
	return x
}

func (p *projection) entryTrafficRows() {
	s := p.size
	row := func(name, formula, term string, value float64, mechanism, bound string) {
		p.addRow(roleEntry, figureTraffic, classControl, name, formula, term, value, mechanism, bound)
	}
	row("load reports", "slope * services * 48 * 1/s", "bytes.watch", p.slope("bytes.watch")*s.EntryWatches()*reportRate, fileWatcher, "pwagent.loadMinInterval 1 s, pwentry.defaultSubset 48 a service")
	p.addRow(roleEntry, figureTraffic, classRequest, "request records", "cost * 4 * requests/entries", "bytes.record_wire", p.costAt("bytes.record_wire", s.Marks)*2*recordCopies*s.EntryRequestRate(), fileDirectory, "two holders of each record")
	row("readings of the instance list", "cost(processes) * 0.1/s", "bytes.instance_list", p.costAt("bytes.instance_list", s.Processes())*listReadRate, fileInstances, "pwgossip.DefaultListInterval 10 s; the entry uses the same reading")
	row("crash counts in exchanges", "cost(attempts of a server) / 64 * messages/s with counts", "bytes.crash_counts", p.costAt("bytes.crash_counts", s.AgentRunningAttempts()-1)/maxCrashCounts*p.crashCountMessageRate(), fileProcess, "one older count in each exchange; pwprocess.maxCrashCounts 16 for 15 s after a crash")
	p.addRow(roleEntry, figureTraffic, classRequest, "load beside accepted", "cost(1 model) * requests/entries", "bytes.report_message", p.costAt("bytes.report_message", 1)*s.EntryRequestRate(), fileAgent, "one with each accepted or refused attempt")
	p.exchangeTrafficRows(roleEntry)
}

// messageRows projects the messages per second that a process sends and receives.
func (p *projection) messageRows(role string, watches float64) {
	s := p.size
	row := func(class, name, formula, term string, value float64, mechanism, bound string) {
		p.addRow(role, figureMessages, class, name, formula, term, value, mechanism, bound)
	}
	row(classControl, "load reports", "slope * watches", "messages.watch", p.slope("messages.watch")*watches, fileWatcher, "pwagent.loadMinInterval 1 s, pwentry.defaultSubset 48 a service")
	row(classControl, "comparisons with peers, asked and answered", "cost(processes) * 2", "messages.gossip", p.costAt("messages.gossip", p.largestSize("messages.gossip"))*2, fileExchange, "pwgossip.DefaultCompareInterval 500 ms")
	// Every process forwards each change once to FanOut peers and receives it as often.
	// A large value needs a second request.
	row(classControl, "changes passed on and received", "slope * 2 * 4 * changes/s", "table.writes_change", p.slope("table.writes_change")*2*pwgossip.DefaultFanOut*s.ChangeRate(), fileGossip, "pwgossip.DefaultFanOut 4")
	if role == roleEntry {
		row(classRequest, "request records", "slope * 2 * requests/entries", "messages.record", p.slope("messages.record")*2*s.EntryRequestRate(), fileDirectory, "two holders of each record")
	}
}

// crashCountMessageRate returns the rate of the messages with crash counts that an entry
// sends and receives. An entry sends counts in every exchange, but receives them only
// from other entries.
func (p *projection) crashCountMessageRate() float64 {
	return 2 * comparisonRate * (1 + p.size.Entries/p.size.Processes())
}

func (p *projection) entryDataRows() {
	s := p.size
	requestRate := s.EntryRequestRate()
	prompt := p.costAt("bytes.prompt", s.MeanPromptTokens)
	p.addRow(roleEntry, figureTraffic, classData, "prompts, in and out", "cost(prompt) * 2 * requests/entries", "bytes.prompt", prompt*2*requestRate, fileAttempt, "pwdocument.Lengths max_prompt_tokens")
	p.addRow(roleEntry, figureTraffic, classData, "tokens from agents, one in an event", "cost(1) * tokens/entries", "bytes.token_event", p.costAt("bytes.token_event", 1)*s.EntryTokenRate(), fileAttempt, "pwdocument.Lengths max_output_tokens")
	p.addRow(roleEntry, figureProcessor, classData, "prompts", "cost(prompt) * requests/entries", "cpu.prompt", cores(p.costAt("cpu.prompt", s.MeanPromptTokens)*requestRate), fileAttempt, "pwdocument.Lengths max_prompt_tokens")
	p.addRow(roleEntry, figureProcessor, classData, "tokens, each as a message on a stream, both ends", "slope * tokens/entries", "cpu.watch", cores(p.slope("cpu.watch")*s.EntryTokenRate()), fileAttempt, "pwdocument.Lengths max_output_tokens")
	p.addRow(roleEntry, figureProcessor, classDataPart, "encoding and decoding of token events", "cost(1) * tokens/entries", "cpu.token_event", cores(p.costAt("cpu.token_event", 1)*s.EntryTokenRate()), fileAttempt, "pwdocument.Lengths max_output_tokens")
	p.addRow(roleEntry, figureMemory, classData, "prompts of running requests", "cost(prompt) * requests/entries * seconds", "bytes.prompt", prompt*s.EntryRunningRequests(), fileFlight, "pwdocument.Lengths max_prompt_tokens")
	p.addRow(roleEntry, figureMemory, classData, "tokens of running and kept requests", "slope * tokens/entries * (seconds/2 + 60 s)", "memory.kept_token", p.slope("memory.kept_token")*s.EntryTokenRate()*(s.RequestSeconds()/2+flightRetention), fileFlight, "pwentry.defaultFlightRetention 60 s; not bounded in bytes")
}

func (p *projection) agentRows() {
	s := p.size
	requestRate, running := s.AgentRequestRate(), s.AgentRunningAttempts()
	p.addRow(roleAgent, figureMemory, classRequest, "running attempts", "slope * requests/servers * seconds", "memory.agent_running", p.slope("memory.agent_running")*running, fileAgent, "pwdocument.Running max_attempts")
	p.addRow(roleAgent, figureMemory, classControl, "connections of watches, both ends", "slope * services * 48 * entries/servers", "memory.watch", p.slope("memory.watch")*s.AgentWatches(), fileAgent, "pwentry.defaultSubset 48 a service; the agent has no bound of its own")
	p.replicaMemoryRows(roleAgent)
	p.addRow(roleAgent, figureProcessor, classRequest, "admissions", "cost(running) * requests/servers", "cpu.admission", cores(p.costAt("cpu.admission", running)*requestRate), fileAdmission, "pwdocument.Running max_attempts")
	p.addRow(roleAgent, figureProcessor, classControl, "load reports, both ends", "slope * services * 48 * entries/servers * 1/s", "cpu.watch", cores(p.slope("cpu.watch")*s.AgentWatches()*reportRate), fileAgent, "pwagent.loadMinInterval 1 s")
	p.addRow(roleAgent, figureProcessor, classControl, "checks of the engine, both ends", "slope * 10/s", "cpu.engine_check", cores(p.slope("cpu.engine_check")*engineCheckRate), fileAgent, "pwagent.maintenanceInterval 100 ms")
	p.addRow(roleAgent, figureProcessor, classControl, "readings of the instance list", "cost(processes) * 0.1/s", "cpu.instance_list", cores(p.costAt("cpu.instance_list", s.Processes())*listReadRate), fileInstances, "pwgossip.DefaultListInterval 10 s")
	p.exchangeProcessorRows(roleAgent)
	p.addRow(roleAgent, figureTraffic, classControl, "load reports", "slope * services * 48 * entries/servers * 1/s", "bytes.watch", p.slope("bytes.watch")*s.AgentWatches()*reportRate, fileAgent, "pwagent.loadMinInterval 1 s")
	p.addRow(roleAgent, figureTraffic, classControl, "readings of the instance list", "cost(processes) * 0.1/s", "bytes.instance_list", p.costAt("bytes.instance_list", s.Processes())*listReadRate, fileInstances, "pwgossip.DefaultListInterval 10 s")
	p.addRow(roleAgent, figureTraffic, classControl, "checks of the engine", "slope * 10/s", "bytes.engine_check", p.slope("bytes.engine_check")*engineCheckRate, fileAgent, "pwagent.maintenanceInterval 100 ms")
	p.addRow(roleAgent, figureTraffic, classRequest, "load beside accepted", "cost(1 model) * requests/servers", "bytes.report_message", p.costAt("bytes.report_message", 1)*requestRate, fileAgent, "one with each accepted or refused attempt")
	p.exchangeTrafficRows(roleAgent)
	tokens := s.TokenRate / s.BackendServers
	p.addRow(roleAgent, figureTraffic, classData, "tokens to entries, one in an event", "cost(1) * tokens/servers", "bytes.token_event", p.costAt("bytes.token_event", 1)*tokens, fileAnswer, "pwagent.maxTokensPerEvent 1,024")
	p.addRow(roleAgent, figureTraffic, classData, "prompts", "cost(prompt) * requests/servers", "bytes.prompt", p.costAt("bytes.prompt", s.MeanPromptTokens)*requestRate, fileAgent, "pwprocess.maxAgentMessage 32 MiB")
	p.addRow(roleAgent, figureMemory, classData, "tokens of kept answers", "slope * tokens/servers * (seconds/2 + 300 s)", "memory.kept_token", p.slope("memory.kept_token")*tokens*(s.RequestSeconds()/2+answerRetention), fileAnswer, "pwagent.defaultAnswerRetention 5 min; defaultMaxAnswerBytes 256 MiB counts the text only")
	p.addRow(roleAgent, figureProcessor, classData, "tokens, each as a message on a stream, both ends", "slope * tokens/servers", "cpu.watch", cores(p.slope("cpu.watch")*tokens), fileAnswer, "pwagent.maxTokensPerEvent 1,024")
}

func (p *projection) relayRows() {
	s := p.size
	read := p.costAt("bytes.document", s.WorkspacesPerService()) * s.ChangeRate()
	p.addRow(roleRelay, figureTraffic, classControl, "documents read from the table, in addition", "cost(workspaces/services) * changes/s", "bytes.document", read, fileRelay, "pwgossip.pagesPerTick 16; rows are not compressed")
	p.addRow(roleRelay, figureProcessor, classControl, "decoding of documents from the table, in addition", "cost(workspaces/services) * changes/s", "cpu.document", cores(p.costAt("cpu.document", s.WorkspacesPerService())*s.ChangeRate()), fileRelay, "pwgossip.DefaultRelayInterval 1 s")
	p.addRow(roleRelay, figureReads, classControl, "readings of the head by one data centre", "cost(processes), constant", "table.reads_relay", p.costAt("table.reads_relay", p.largestSize("table.reads_relay")), fileRelay, "pwgossip.DefaultRelaysPerDataCentre 2, DefaultRelayInterval 1 s")
}

func (p *projection) platformRows() {
	s := p.size
	read := func(name, formula, term string, value float64, mechanism, bound string) {
		p.addRow(roleTableService, figureReads, classControl, name, formula, term, value, mechanism, bound)
	}
	write := func(name, formula, term string, value float64, mechanism, bound string) {
		p.addRow(roleTableService, figureWrites, classControl, name, formula, term, value, mechanism, bound)
	}
	read("relays", "cost(processes) * data centres", "table.reads_relay", p.costAt("table.reads_relay", p.largestSize("table.reads_relay"))*s.DataCentres, fileRelay, "pwgossip.DefaultRelaysPerDataCentre 2")
	read("relays reading changes", "slope * relays * data centres * changes/s", "table.writes_change", p.slope("table.writes_change")*relaysPerDataCentre*s.DataCentres*s.ChangeRate(), fileRelay, "one page of pwchange.MaxPage 64 rows a change")
	read("calls that run at most once", "slope * calls/s", "table.reads_once_call", p.slope("table.reads_once_call")*s.AtMostOnceCallRate, fileClaim, "no bound on the rate of the calls")
	read("accepted changes", "slope * changes/s", "table.reads_change", p.slope("table.reads_change")*s.ChangeRate(), fileLog, "pwchange.maxApplyTries 10")
	write("calls that run at most once", "slope * calls/s", "table.writes_once_call", p.slope("table.writes_once_call")*s.AtMostOnceCallRate, fileClaim, "no bound on the rate of the calls")
	write("accepted changes, commits of three rows", "slope * changes/s", "table.writes_change", p.slope("table.writes_change")*s.ChangeRate(), fileLog, "pwchange.maxApplyTries 10")
	perService := s.BackendServers / s.Services
	notBuilt := "not built yet: no process runs pwplacer.Placer; pwprocess would carry it"
	p.addRow(roleLeaseHolder, figureMemory, classControl, "snapshot and planner of one service, in addition", "slope * servers/services", "memory.placement", p.slope("memory.placement")*perService, filePlacement, notBuilt)
	p.addRow(roleLeaseHolder, figureProcessor, classControl, "plans of one service, in addition", "cost(servers/services) * 0.2/s", "cpu.placement", cores(p.costAt("cpu.placement", perService)*planRate), filePlacer, notBuilt+"; pwplacer.DefaultInterval 5 s")
	p.addRow(roleLeaseHolder, figureTraffic, classControl, "reports of all servers of one service, in addition", "slope * (servers/services - 48) * 0.5/s", "bytes.watch", p.slope("bytes.watch")*max(0, perService-subsetSize)*idleReportRate, filePlacer, notBuilt+", with a watch of each server that reports every pwagent.loadMaxInterval 2 s")
	p.addRow(roleLeaseHolder, figureWrites, classControl, "renewals", "slope * services * 0.3/s", "table.writes_lease", p.slope("table.writes_lease")*s.Services*leaseRenewalRate, fileLease, "not built yet: no process runs pwplacer.Placer; it renews at a third of pwlease.DefaultTerm 10 s")
	p.addRow(roleLeaseHolder, figureReads, classControl, "renewals", "slope * services * 0.3/s", "table.reads_lease", p.slope("table.reads_lease")*s.Services*leaseRenewalRate, fileLease, "not built yet: no process runs pwplacer.Placer; it renews at a third of pwlease.DefaultTerm 10 s")
	p.addRow(roleObjectStore, figureObjects, classControl, "checkpoints", "cost(prompt) * group prompts/s", "objects.checkpoints", p.costAt("objects.checkpoints", groupPromptTokens)*s.GroupPromptRate, fileGroup, "pwgroup.DefaultSegmentTokens 50,000")
	p.addRow(roleObjectStore, figureTraffic, classData, "bytes of checkpoints", "cost(prompt) * group prompts/s", "objects.checkpoint_bytes", p.costAt("objects.checkpoint_bytes", groupPromptTokens)*s.GroupPromptRate, fileGroup, "pwgroup.DefaultSegmentTokens 50,000")
}

// sumRows adds up the rows by role, figure and class. A limit applies to all control work
// of a figure, including that of requests. For memory there is an additional sum with the
// heap that the garbage collector needs.
func sumRows(rows []Row) []Sum {
	var out []Sum
	add := func(role, figure, class string, value float64) {
		i := slices.IndexFunc(out, func(s Sum) bool { return s.Role == role && s.Figure == figure && s.Class == class })
		if i < 0 {
			i = len(out)
			out = append(out, Sum{
				Role:   role,
				Figure: figure,
				Class:  class,
			})
			if class != classRequest {
				out[i].Limit, _ = limitFor(role, figure, class)
			}
		}
		out[i].Value += value
	}
	for _, r := range rows {
		switch r.Class {
		case classControl, classRequest:
			add(r.Role, r.Figure, classControl, r.Value)
			if r.Figure == figureMemory {
				add(r.Role, figureHeap, classControl, gcHeapFactor*r.Value)
			}
			if r.Class == classRequest {
				add(r.Role, r.Figure, classRequest, r.Value)
			}
		case classData:
			add(r.Role, r.Figure, classData, r.Value)
		}
	}
	for i := range out {
		out[i].Margin, out[i].Status = checkLimit(out[i].Value, out[i].Limit)
		if out[i].Class == classRequest {
			out[i].Status = statusPart
		}
	}
	return out
}

const (
	figureHeap = "memory at GOGC=100"
	statusPart = "part of the sum"
)
