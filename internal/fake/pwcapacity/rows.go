package pwcapacity

import (
	"fmt"
	"slices"

	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdirectory"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
)

// Figures of a role.
const (
	figureMemory  = "memory"
	figureCore    = "processor"
	figureTraffic = "traffic"
	figureMessage = "messages"
	figureReads   = "table reads"
	figureWrites  = "table writes"
	figureObjects = "object writes"
)

// Classes of work. Control work is limited; the data path is the bytes of
// prompts and tokens and has no limit in the design.
const (
	classControl = "control"
	classData    = "data path"
	// classRequest is the control work of each request.
	classRequest = "control, by request"
	// classPart is contained in another row and not in the sums.
	classPart = "part of another row"
	// classDataPart is contained in another row of the data path.
	classDataPart = "part of a data path row"
)

// Roles.
const (
	roleGateway = "gateway"
	roleEntry   = "entry"
	roleAgent   = "agent"
	roleRelay   = "relay"
	roleLease   = "lease holder"
	roleTable   = "table service"
	roleObjects = "object store"
)

// Statuses of a projected value.
const (
	statusOK     = "ok"
	statusNear   = "near"
	statusBreaks = "BREAKS"
	statusNone   = "no limit"
)

// nearShare is the part of a limit from which a value counts as near.
const nearShare = 0.5

// maxMargin is the margin of a cost that is not measurable.
const maxMargin = 1e6

// Row is one cost of a role at the large size.
type Row struct {
	Role    string `json:"role"`
	Figure  string `json:"figure"`
	Class   string `json:"class"`
	Name    string `json:"name"`
	Formula string `json:"formula"`
	// Term names the measurement; the fit is repeated here.
	Term      string  `json:"term"`
	Slope     float64 `json:"slope"`
	SlopeUnit string  `json:"slope_unit"`
	Residual  float64 `json:"residual"`
	// Value is the projected figure: bytes, cores, bytes a second or
	// operations a second.
	Value float64 `json:"value"`
	// Limit is the limit of the sum of the figure; 0 means that the design
	// states none, which LimitText says.
	Limit     float64 `json:"limit"`
	LimitText string  `json:"limit_text"`
	// Margin is the limit divided by the value.
	Margin float64 `json:"margin"`
	Status string  `json:"status"`
	// Mechanism is the file that carries the cost, Bound the constant or
	// setting that bounds it, or why nothing does.
	Mechanism string `json:"mechanism"`
	Bound     string `json:"bound"`
}

// Sum is the sum of the rows of a figure.
type Sum struct {
	Role   string  `json:"role"`
	Figure string  `json:"figure"`
	Class  string  `json:"class"`
	Value  float64 `json:"value"`
	Limit  float64 `json:"limit"`
	Margin float64 `json:"margin"`
	Status string  `json:"status"`
}

func limitOf(role, figure, class string) (limit float64, text string) {
	if class == classData || class == classDataPart {
		return 0, "none stated for the data path"
	}
	switch figure {
	case figureMemory, figureHeap:
		return LimitBytes, "64 MB of a process"
	case figureCore:
		return LimitCore, "2.9 % of a core of a process"
	case figureTraffic:
		return LimitTraffic, "16 KB/s of a process"
	case figureMessage:
		return 0, "none stated; the bytes count as traffic"
	case figureReads:
		return LimitTableReads, "2,000 reads/s"
	default:
		if role == roleObjects {
			return LimitTableWrites, "300 writes/s, shared with the table"
		}
		return LimitTableWrites, "300 writes/s"
	}
}

// judge returns the margin and the status of a value.
func judge(value, limit float64) (margin float64, status string) {
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

// projection computes values at a size from the fitted terms.
type projection struct {
	s     Size
	terms map[string]*Term
	list  []Row
	err   error
}

func newProjection(s Size, terms map[string]*Term) *projection {
	return &projection{
		s:     s,
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

// slope returns the cost of one more of what a term counts, at least 0.
func (p *projection) slope(name string) float64 { return max(0, p.term(name).Slope) }

// at returns the cost of one operation at a size.
func (p *projection) at(name string, x float64) float64 { return p.term(name).At(x) }

// cores converts microseconds a second.
func cores(us float64) float64 { return us / 1e6 }

func (p *projection) add(role, figure, class, name, formula, term string, value float64, mechanism, bound string) {
	t := p.term(term)
	limit, text := limitOf(role, figure, class)
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
	r.Margin, r.Status = judge(value, limit)
	p.list = append(p.list, r)
}

// Files that carry the costs.
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

// rows returns the projection of every role.
func (p *projection) rows() []Row {
	p.gatewayRows()
	p.entryState()
	p.entryWork()
	p.entryTraffic()
	p.messages(roleEntry, p.s.Watches())
	p.entryData()
	p.agentRows()
	p.messages(roleAgent, p.s.Watchers())
	p.relayRows()
	p.platformRows()
	return p.list
}

func (p *projection) entryState() {
	s := p.s
	row := func(class, name, formula, term string, value float64, mechanism, bound string) {
		p.add(roleEntry, figureMemory, class, name, formula, term, value, mechanism, bound)
	}
	row(classControl, "known server reports", "slope * services * 48", "memory.server_report", p.slope("memory.server_report")*s.Watches(), fileRouter, "pwentry.defaultSubset 48 a service")
	row(classControl, "connections of watches, both ends", "slope * services * 48", "memory.watch", p.slope("memory.watch")*s.Watches(), fileWatcher, "pwentry.defaultSubset 48 a service")
	row(classRequest, "queued requests", "slope * requests/entries * queue seconds", "memory.entry_queued", p.slope("memory.entry_queued")*s.EntryRequests()*s.QueueSeconds, fileQueue, "pwdocument.Queue max_requests, default 2,000 a model")
	row(classPart, "queued request in the queue alone", "slope * requests/entries * queue seconds", "memory.queued_request", p.slope("memory.queued_request")*s.EntryRequests()*s.QueueSeconds, fileQueue, "pwdocument.Workspace max_queued, default 200")
	row(classRequest, "active workspaces", "slope * min(workspaces, queued requests)", "memory.queue_workspace", p.slope("memory.queue_workspace")*min(s.Workspaces, s.EntryRequests()*s.QueueSeconds), fileQueue, "no state for idle workspaces")
	row(classRequest, "running requests", "slope * requests/entries * seconds", "memory.entry_running", p.slope("memory.entry_running")*s.EntryRunning(), fileFlight, "pwrouter Report.RunningBound of the agents")
	row(classPart, "running requests in the router alone", "slope * requests/entries * seconds", "memory.running_in_router", p.slope("memory.running_in_router")*s.EntryRunning(), fileRouter, "pwrouter Report.RunningBound of the agents")
	row(classRequest, "ended requests kept", "slope * requests/entries * 60 s", "memory.entry_ended", p.slope("memory.entry_ended")*s.EntryRequests()*flightRetention, fileEntry, "pwentry.defaultFlightRetention 60 s")
	row(classRequest, "request records", "slope * 2 * requests/entries * (deadline + 60 s)", "memory.request_record", p.slope("memory.request_record")*min(pwdirectory.DefaultMaxRecords, recordCopies*s.EntryRequests()*(s.DeadlineSeconds+flightRetention)), fileDirectory, "pwdirectory.DefaultMaxRecords 100,000")
	row(classControl, "prompt prefixes", "slope * services * 10,000", "memory.prefix", p.slope("memory.prefix")*s.Services*pwrouter.DefaultMaxPrefixes, fileAffinity, "pwrouter.DefaultMaxPrefixes 10,000 a service")
	row(classControl, "crash counts of the last hour", "slope * failures an hour * attempts of a server", "memory.crash_count", p.slope("memory.crash_count")*s.CrashCounts(), fileQuarantine, "pwquarantine.DefaultRetention 1 h")
	row(classPart, "crash counts at their bound", "slope * 10,000", "memory.crash_count", p.slope("memory.crash_count")*pwquarantine.DefaultMaxFingerprints, fileQuarantine, "pwquarantine.DefaultMaxFingerprints 10,000, maxCrashes 16, maxBesides 256")
	row(classControl, "workspaces in parsed documents", "slope * workspaces", "memory.document", p.slope("memory.document")*s.Workspaces, fileDocument, "pwdocument.MaxWorkspaces 4,096 a service")
	p.copyState(roleEntry)
}

// copyState is what every process holds.
func (p *projection) copyState(role string) {
	s := p.s
	p.add(role, figureMemory, classControl, "copy of the documents", "slope * workspaces", "bytes.document", p.slope("bytes.document")*s.Workspaces, fileReplica, "pwchange.MaxTotalBytes 24 MiB")
	p.add(role, figureMemory, classControl, "copy of the marks", "slope * marks", "memory.known_key", p.slope("memory.known_key")*s.Marks, fileReplica, "pwchange.MaxKeys 20,000")
	p.add(role, figureMemory, classControl, "instance list", "slope * processes", "memory.instance_list", p.slope("memory.instance_list")*s.Processes(), fileProcess, "the list of the platform; not bounded")
}

func (p *projection) entryWork() {
	s := p.s
	row := func(class, name, formula, term string, us float64, mechanism, bound string) {
		p.add(roleEntry, figureCore, class, name, formula, term, cores(us), mechanism, bound)
	}
	q := s.EntryRequests()
	row(classRequest, "requests through the entry", "slope * requests/entries", "cpu.entry_request", p.slope("cpu.entry_request")*q, fileAttempt, "pwdocument.Queue max_requests, default 2,000 a model")
	row(classPart, "routing decisions", "cost(48) * requests/entries", "cpu.route", p.at("cpu.route", subset)*q, filePick, "pwrouter.maxProbes 64")
	row(classPart, "queue operations", "cost(active workspaces) * requests/entries", "cpu.queue", p.at("cpu.queue", q*s.QueueSeconds)*q, fileQueue, "O(log queued requests)")
	row(classControl, "load reports, both ends", "slope * services * 48 * 1/s", "cpu.watch", p.slope("cpu.watch")*s.Watches()*reportsPerSecond, fileWatcher, "pwagent.loadMinInterval 1 s")
	row(classPart, "load reports without the network", "cost(48) * services * 48 * 1/s", "cpu.load_report", p.at("cpu.load_report", subset)*s.Watches()*reportsPerSecond, fileWatcher, "pwagent.loadMinInterval 1 s")
	row(classRequest, "choice of the holders of records", "cost(entries) * requests/entries", "cpu.record_put_kept", p.at("cpu.record_put_kept", s.Entries)*q, fileDirectory, "two holders of each record")
	row(classRequest, "request records over the network", "cost * 2 * requests/entries", "cpu.record_wire", p.at("cpu.record_wire", s.Marks)*recordCopies*q, fileDirectory, "pwentry.recordTimeout 1 s")
	row(classControl, "choice of the subset", "cost(servers) * 0.2/s", "cpu.subset", p.at("cpu.subset", s.Servers)*entryListReads, fileSubset, "pwprocess.listInterval 5 s")
	row(classControl, "readings of the instance list", "cost(processes) * 0.1/s", "cpu.instance_list", p.at("cpu.instance_list", s.Processes())*gossipListReads, fileInstances, "pwgossip.DefaultListInterval 10 s; the entry uses the same reading")
	row(classControl, "documents that change", "cost(workspaces/services) * changes/s", "cpu.document", p.at("cpu.document", s.WorkspacesOfService())*s.ChangesPerSecond(), fileDocument, "pwdocument.MaxDocumentBytes 768 KiB")
	p.exchangeWork(roleEntry)
}

// exchangeWork is the work of the peer exchange in every process. A process
// asks twice a second and is asked as often; the cost has both ends.
func (p *projection) exchangeWork(role string) {
	us := p.at("cpu.exchange_wire", p.s.Marks) * comparesPerSecond
	p.add(role, figureCore, classControl, "comparisons with peers", "cost(keys) * 2/s", "cpu.exchange_wire", cores(us), fileExchange, "pwgossip.DefaultCompareInterval 500 ms")
	us = p.at("cpu.exchange", p.s.Marks) * comparesPerSecond
	p.add(role, figureCore, classPart, "comparisons without the network", "cost(keys) * 2/s", "cpu.exchange", cores(us), fileExchange, "pwgossip.DefaultCompareInterval 500 ms")
}

// exchangeTraffic is the traffic of the peer exchange in every process.
func (p *projection) exchangeTraffic(role string) {
	s := p.s
	p.add(role, figureTraffic, classControl, "comparisons with peers", "cost(keys) * (2 asked + 2 answered)/s", "bytes.exchange_wire", p.at("bytes.exchange_wire", s.Marks)*2*comparesPerSecond, fileExchange, "pwgossip.DefaultCompareInterval 500 ms")
	p.add(role, figureTraffic, classPart, "comparisons as messages alone", "cost(keys) * (2 asked + 2 answered)/s", "bytes.exchange", p.at("bytes.exchange", s.Marks)*2*comparesPerSecond, fileExchange, "pwgossip.DefaultCompareInterval 500 ms")
	p.add(role, figureTraffic, classPart, "comparisons in running fleets", "cost(processes)", "bytes.gossip", p.at("bytes.gossip", p.largest("bytes.gossip")), fileGossip, "pwgossip.DefaultCompareInterval 500 ms")
	p.add(role, figureTraffic, classControl, "announcements of changes", "cost(processes) * changes/s", "bytes.change_pushed", p.at("bytes.change_pushed", p.largest("bytes.change_pushed"))*s.ChangesPerSecond(), fileGossip, "pwgossip.DefaultFanOut 4")
	p.add(role, figureTraffic, classControl, "documents that change, received and passed on", "cost(workspaces/services) * 2 * changes/s", "bytes.document_pushed", p.at("bytes.document_pushed", s.WorkspacesOfService())*2*s.ChangesPerSecond(), fileCodec, "pwdocument.MaxDocumentBytes 768 KiB; a document is sent whole")
}

// largest returns the largest measured size of a term. A cost that becomes
// constant with the size is taken there.
func (p *projection) largest(name string) float64 {
	t := p.term(name)
	x := 0.0
	for _, pt := range t.Points {
		x = max(x, pt.X)
	}
	return x
}

func (p *projection) entryTraffic() {
	s := p.s
	row := func(name, formula, term string, value float64, mechanism, bound string) {
		p.add(roleEntry, figureTraffic, classControl, name, formula, term, value, mechanism, bound)
	}
	row("load reports", "slope * services * 48 * 1/s", "bytes.watch", p.slope("bytes.watch")*s.Watches()*reportsPerSecond, fileWatcher, "pwagent.loadMinInterval 1 s, pwentry.defaultSubset 48 a service")
	p.add(roleEntry, figureTraffic, classRequest, "request records", "cost * 4 * requests/entries", "bytes.record_wire", p.at("bytes.record_wire", s.Marks)*2*recordCopies*s.EntryRequests(), fileDirectory, "two holders of each record")
	row("readings of the instance list", "cost(processes) * 0.1/s", "bytes.instance_list", p.at("bytes.instance_list", s.Processes())*gossipListReads, fileInstances, "pwgossip.DefaultListInterval 10 s; the entry uses the same reading")
	row("crash counts in exchanges", "cost(attempts of a server) / 64 * messages/s with counts", "bytes.crash_counts", p.at("bytes.crash_counts", s.AgentRunning()-1)/maxCrashCounts*p.countMessages(), fileProcess, "one older count in each exchange; pwprocess.maxCrashCounts 16 for 15 s after a crash")
	p.add(roleEntry, figureTraffic, classRequest, "load beside accepted", "cost(1 model) * requests/entries", "bytes.report_message", p.at("bytes.report_message", 1)*s.EntryRequests(), fileAgent, "one with each accepted or refused attempt")
	p.exchangeTraffic(roleEntry)
}

// messages gives the messages of a process a second, in both directions.
func (p *projection) messages(role string, watches float64) {
	s := p.s
	row := func(class, name, formula, term string, value float64, mechanism, bound string) {
		p.add(role, figureMessage, class, name, formula, term, value, mechanism, bound)
	}
	row(classControl, "load reports", "slope * watches", "messages.watch", p.slope("messages.watch")*watches, fileWatcher, "pwagent.loadMinInterval 1 s, pwentry.defaultSubset 48 a service")
	row(classControl, "comparisons with peers, asked and answered", "cost(processes) * 2", "messages.gossip", p.at("messages.gossip", p.largest("messages.gossip"))*2, fileExchange, "pwgossip.DefaultCompareInterval 500 ms")
	// Every process passes each change on once to FanOut peers and receives as
	// many; a large value takes a second request.
	row(classControl, "changes passed on and received", "slope * 2 * 4 * changes/s", "table.writes_change", p.slope("table.writes_change")*2*pwgossip.DefaultFanOut*s.ChangesPerSecond(), fileGossip, "pwgossip.DefaultFanOut 4")
	if role == roleEntry {
		row(classRequest, "request records", "slope * 2 * requests/entries", "messages.record", p.slope("messages.record")*2*s.EntryRequests(), fileDirectory, "two holders of each record")
	}
}

// countMessages returns the messages with crash counts that an entry sends
// and receives a second: it sends counts in every exchange, and receives them
// only from other entries.
func (p *projection) countMessages() float64 {
	return 2 * comparesPerSecond * (1 + p.s.Entries/p.s.Processes())
}

func (p *projection) entryData() {
	s := p.s
	q := s.EntryRequests()
	prompt := p.at("bytes.prompt", s.PromptTokens)
	p.add(roleEntry, figureTraffic, classData, "prompts, in and out", "cost(prompt) * 2 * requests/entries", "bytes.prompt", prompt*2*q, fileAttempt, "pwdocument.Lengths max_prompt_tokens")
	p.add(roleEntry, figureTraffic, classData, "tokens from agents, one in an event", "cost(1) * tokens/entries", "bytes.token_event", p.at("bytes.token_event", 1)*s.EntryTokens(), fileAttempt, "pwdocument.Lengths max_output_tokens")
	p.add(roleEntry, figureCore, classData, "prompts", "cost(prompt) * requests/entries", "cpu.prompt", cores(p.at("cpu.prompt", s.PromptTokens)*q), fileAttempt, "pwdocument.Lengths max_prompt_tokens")
	p.add(roleEntry, figureCore, classData, "tokens, each as a message on a stream, both ends", "slope * tokens/entries", "cpu.watch", cores(p.slope("cpu.watch")*s.EntryTokens()), fileAttempt, "pwdocument.Lengths max_output_tokens")
	p.add(roleEntry, figureCore, classDataPart, "encoding and decoding of token events", "cost(1) * tokens/entries", "cpu.token_event", cores(p.at("cpu.token_event", 1)*s.EntryTokens()), fileAttempt, "pwdocument.Lengths max_output_tokens")
	p.add(roleEntry, figureMemory, classData, "prompts of running requests", "cost(prompt) * requests/entries * seconds", "bytes.prompt", prompt*s.EntryRunning(), fileFlight, "pwdocument.Lengths max_prompt_tokens")
	p.add(roleEntry, figureMemory, classData, "tokens of running and kept requests", "slope * tokens/entries * (seconds/2 + 60 s)", "memory.kept_token", p.slope("memory.kept_token")*s.EntryTokens()*(s.Seconds()/2+flightRetention), fileFlight, "pwentry.defaultFlightRetention 60 s; not bounded in bytes")
}

func (p *projection) agentRows() {
	s := p.s
	q, running := s.AgentRequests(), s.AgentRunning()
	p.add(roleAgent, figureMemory, classRequest, "running attempts", "slope * requests/servers * seconds", "memory.agent_running", p.slope("memory.agent_running")*running, fileAgent, "pwdocument.Running max_attempts")
	p.add(roleAgent, figureMemory, classControl, "connections of watches, both ends", "slope * services * 48 * entries/servers", "memory.watch", p.slope("memory.watch")*s.Watchers(), fileAgent, "pwentry.defaultSubset 48 a service; the agent has no bound of its own")
	p.copyState(roleAgent)
	p.add(roleAgent, figureCore, classRequest, "admissions", "cost(running) * requests/servers", "cpu.admission", cores(p.at("cpu.admission", running)*q), fileAdmission, "pwdocument.Running max_attempts")
	p.add(roleAgent, figureCore, classControl, "load reports, both ends", "slope * services * 48 * entries/servers * 1/s", "cpu.watch", cores(p.slope("cpu.watch")*s.Watchers()*reportsPerSecond), fileAgent, "pwagent.loadMinInterval 1 s")
	p.add(roleAgent, figureCore, classControl, "checks of the engine, both ends", "slope * 10/s", "cpu.engine_check", cores(p.slope("cpu.engine_check")*engineChecks), fileAgent, "pwagent.maintenanceInterval 100 ms")
	p.add(roleAgent, figureCore, classControl, "readings of the instance list", "cost(processes) * 0.1/s", "cpu.instance_list", cores(p.at("cpu.instance_list", s.Processes())*gossipListReads), fileInstances, "pwgossip.DefaultListInterval 10 s")
	p.exchangeWork(roleAgent)
	p.add(roleAgent, figureTraffic, classControl, "load reports", "slope * services * 48 * entries/servers * 1/s", "bytes.watch", p.slope("bytes.watch")*s.Watchers()*reportsPerSecond, fileAgent, "pwagent.loadMinInterval 1 s")
	p.add(roleAgent, figureTraffic, classControl, "readings of the instance list", "cost(processes) * 0.1/s", "bytes.instance_list", p.at("bytes.instance_list", s.Processes())*gossipListReads, fileInstances, "pwgossip.DefaultListInterval 10 s")
	p.add(roleAgent, figureTraffic, classControl, "checks of the engine", "slope * 10/s", "bytes.engine_check", p.slope("bytes.engine_check")*engineChecks, fileAgent, "pwagent.maintenanceInterval 100 ms")
	p.add(roleAgent, figureTraffic, classRequest, "load beside accepted", "cost(1 model) * requests/servers", "bytes.report_message", p.at("bytes.report_message", 1)*q, fileAgent, "one with each accepted or refused attempt")
	p.exchangeTraffic(roleAgent)
	tokens := s.Tokens / s.Servers
	p.add(roleAgent, figureTraffic, classData, "tokens to entries, one in an event", "cost(1) * tokens/servers", "bytes.token_event", p.at("bytes.token_event", 1)*tokens, fileAnswer, "pwagent.maxTokensPerEvent 1,024")
	p.add(roleAgent, figureTraffic, classData, "prompts", "cost(prompt) * requests/servers", "bytes.prompt", p.at("bytes.prompt", s.PromptTokens)*q, fileAgent, "pwprocess.maxAgentMessage 32 MiB")
	p.add(roleAgent, figureMemory, classData, "tokens of kept answers", "slope * tokens/servers * (seconds/2 + 300 s)", "memory.kept_token", p.slope("memory.kept_token")*tokens*(s.Seconds()/2+answerRetention), fileAnswer, "pwagent.defaultRetention 5 min; defaultMaxAnswerBytes 256 MiB counts the text only")
	p.add(roleAgent, figureCore, classData, "tokens, each as a message on a stream, both ends", "slope * tokens/servers", "cpu.watch", cores(p.slope("cpu.watch")*tokens), fileAnswer, "pwagent.maxTokensPerEvent 1,024")
}

func (p *projection) relayRows() {
	s := p.s
	read := p.at("bytes.document", s.WorkspacesOfService()) * s.ChangesPerSecond()
	p.add(roleRelay, figureTraffic, classControl, "documents read from the table, in addition", "cost(workspaces/services) * changes/s", "bytes.document", read, fileRelay, "pwgossip.pagesPerTick 16; rows are not compressed")
	p.add(roleRelay, figureCore, classControl, "decoding of documents from the table, in addition", "cost(workspaces/services) * changes/s", "cpu.document", cores(p.at("cpu.document", s.WorkspacesOfService())*s.ChangesPerSecond()), fileRelay, "pwgossip.DefaultRelayInterval 1 s")
	p.add(roleRelay, figureReads, classControl, "readings of the head by one data centre", "cost(processes), constant", "table.reads_relay", p.at("table.reads_relay", p.largest("table.reads_relay")), fileRelay, "pwgossip.DefaultRelaysPerDataCentre 2, DefaultRelayInterval 1 s")
}

func (p *projection) platformRows() {
	s := p.s
	read := func(name, formula, term string, value float64, mechanism, bound string) {
		p.add(roleTable, figureReads, classControl, name, formula, term, value, mechanism, bound)
	}
	write := func(name, formula, term string, value float64, mechanism, bound string) {
		p.add(roleTable, figureWrites, classControl, name, formula, term, value, mechanism, bound)
	}
	read("relays", "cost(processes) * data centres", "table.reads_relay", p.at("table.reads_relay", p.largest("table.reads_relay"))*s.DataCentres, fileRelay, "pwgossip.DefaultRelaysPerDataCentre 2")
	read("relays reading changes", "slope * relays * data centres * changes/s", "table.writes_change", p.slope("table.writes_change")*relays*s.DataCentres*s.ChangesPerSecond(), fileRelay, "one page of pwchange.MaxPage 64 rows a change")
	read("calls that run at most once", "slope * calls/s", "table.reads_once_call", p.slope("table.reads_once_call")*s.OnceCalls, fileClaim, "no bound on the rate of the calls")
	read("accepted changes", "slope * changes/s", "table.reads_change", p.slope("table.reads_change")*s.ChangesPerSecond(), fileLog, "pwchange.applyTries 10")
	write("calls that run at most once", "slope * calls/s", "table.writes_once_call", p.slope("table.writes_once_call")*s.OnceCalls, fileClaim, "no bound on the rate of the calls")
	write("accepted changes, commits of three rows", "slope * changes/s", "table.writes_change", p.slope("table.writes_change")*s.ChangesPerSecond(), fileLog, "pwchange.applyTries 10")
	perService := s.Servers / s.Services
	unwired := "not built yet: no process runs pwplacer.Placer; pwprocess would carry it"
	p.add(roleLease, figureMemory, classControl, "snapshot and planner of one service, in addition", "slope * servers/services", "memory.placement", p.slope("memory.placement")*perService, filePlacement, unwired)
	p.add(roleLease, figureCore, classControl, "plans of one service, in addition", "cost(servers/services) * 0.2/s", "cpu.placement", cores(p.at("cpu.placement", perService)*plans), filePlacer, unwired+"; pwplacer.DefaultInterval 5 s")
	p.add(roleLease, figureTraffic, classControl, "reports of all servers of one service, in addition", "slope * (servers/services - 48) * 0.5/s", "bytes.watch", p.slope("bytes.watch")*max(0, perService-subset)*idleReports, filePlacer, unwired+", with a watch of each server that reports every pwagent.loadMaxInterval 2 s")
	p.add(roleLease, figureWrites, classControl, "renewals", "slope * services * 0.3/s", "table.writes_lease", p.slope("table.writes_lease")*s.Services*leaseRenewals, fileLease, "not built yet: no process runs pwplacer.Placer; it renews at a third of pwlease.DefaultTerm 10 s")
	p.add(roleLease, figureReads, classControl, "renewals", "slope * services * 0.3/s", "table.reads_lease", p.slope("table.reads_lease")*s.Services*leaseRenewals, fileLease, "not built yet: no process runs pwplacer.Placer; it renews at a third of pwlease.DefaultTerm 10 s")
	p.add(roleObjects, figureObjects, classControl, "checkpoints", "cost(prompt) * group prompts/s", "objects.checkpoints", p.at("objects.checkpoints", groupTokens)*s.GroupPrompts, fileGroup, "pwgroup.DefaultSegmentTokens 50,000")
	p.add(roleObjects, figureTraffic, classData, "bytes of checkpoints", "cost(prompt) * group prompts/s", "objects.checkpoint_bytes", p.at("objects.checkpoint_bytes", groupTokens)*s.GroupPrompts, fileGroup, "pwgroup.DefaultSegmentTokens 50,000")
}

// sums adds the rows of each figure of each role. The limits hold for all
// control work together; the heap that the collector needs for its memory is
// given as well.
func sums(rows []Row) []Sum {
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
				out[i].Limit, _ = limitOf(role, figure, class)
			}
		}
		out[i].Value += value
	}
	for _, r := range rows {
		switch r.Class {
		case classControl, classRequest:
			add(r.Role, r.Figure, classControl, r.Value)
			if r.Figure == figureMemory {
				add(r.Role, figureHeap, classControl, collectorFactor*r.Value)
			}
			if r.Class == classRequest {
				add(r.Role, r.Figure, classRequest, r.Value)
			}
		case classData:
			add(r.Role, r.Figure, classData, r.Value)
		}
	}
	for i := range out {
		out[i].Margin, out[i].Status = judge(out[i].Value, out[i].Limit)
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
