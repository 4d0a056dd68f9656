package pwcapacity

import (
	"github.com/pomeloweir/pomeloweir/internal/core/pwretry"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdirectory"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// Scenario is a fault or an overload, with its effect on the figures of the system.
type Scenario struct {
	Name  string `json:"name"`
	Peaks []Peak `json:"peaks"`
}

// Peak compares the largest value of a figure in a scenario with its ordinary value.
type Peak struct {
	Figure        string  `json:"figure"`
	Unit          string  `json:"unit"`
	OrdinaryValue float64 `json:"ordinary"`
	PeakValue     float64 `json:"peak"`
	// Limit is 0 if the design states no limit.
	Limit  float64 `json:"limit"`
	Status string  `json:"status"`
	// Bound names the constant or setting that bounds the peak.
	Bound string `json:"bound"`
}

// Assumed sizes of the scenarios.
const (
	rackServers      = 40
	rackEntries      = 4
	partitionSeconds = 300
	outageSeconds    = 3600
)

// scenarios returns the projected scenarios. rows are those of the ordinary load.
func (p *projection) scenarios(rows []Row) []Scenario {
	s := p.size
	return []Scenario{
		p.lossScenario("rack lost (40 servers and 4 entries)", rackServers/s.BackendServers, rackEntries/s.Entries, rows),
		p.lossScenario("data centre lost", 1/s.DataCentres, 1/s.DataCentres, rows),
		p.lossScenario("region lost", 1/s.Regions, 1/s.Regions, rows),
		p.partitionScenario(),
		p.restartScenario(),
		p.outageScenario(),
		p.overloadScenario(),
	}
}

// overloadScenario projects an overload that fills every queue of an entry.
func (p *projection) overloadScenario() Scenario {
	s := p.size
	queueLimits := (&pwdocument.Document{}).WithDefaults().Queue
	queued := s.Services * float64(queueLimits.MaxRequests)
	queuedTokens := s.Services * float64(queueLimits.MaxTokens)
	ordinaryQueued := s.EntryRequestRate() * s.QueueSeconds
	return Scenario{
		Name: "more load than the servers can take, for minutes",
		Peaks: []Peak{
			newPeak("queued requests of an entry", "requests", ordinaryQueued, queued, 0, "pwdocument.Queue max_requests, default 2,000 a model; requests that would miss their deadline are refused first"),
			newPeak("memory of queued requests", "B", p.slope("memory.entry_queued")*ordinaryQueued, p.slope("memory.entry_queued")*queued, LimitMemory, "pwdocument.Queue max_requests, default 2,000 a model"),
			newPeak("memory of their prompts (data path)", "B", p.costAt("bytes.prompt", s.MeanPromptTokens)*ordinaryQueued, p.slope("bytes.prompt")*queuedTokens, 0, "pwdocument.Queue max_tokens, default 200,000,000 a model"),
			newPeak("queue operations of a request", "us", p.costAt("cpu.queue", ordinaryQueued), p.costAt("cpu.queue", s.Workspaces), 0, "O(log queued requests)"),
			newPeak("running attempts of an agent", "attempts", s.AgentRunningAttempts(), 4096, 4096, "pwdocument.Running max_attempts, at most 4,096"),
		},
	}
}

func newPeak(figure, unit string, ordinary, highest, limit float64, bound string) Peak {
	_, status := checkLimit(highest, limit)
	return Peak{
		Figure:        figure,
		Unit:          unit,
		OrdinaryValue: ordinary,
		PeakValue:     highest,
		Limit:         limit,
		Status:        status,
		Bound:         bound,
	}
}

// controlSum returns the control work of a figure, including that of requests.
func controlSum(rows []Row, role, figure string) (value float64) {
	for _, r := range rows {
		if r.Role == role && r.Figure == figure && (r.Class == classControl || r.Class == classRequest) {
			value += r.Value
		}
	}
	return value
}

// lossScenario projects the loss of a share of the servers and entries. The total load
// stays the same, so each remaining process has more of it, and the lost attempts run
// again.
func (p *projection) lossScenario(name string, serverShare, entryShare float64, rows []Row) Scenario {
	s := p.size
	requestRate := s.EntryRequestRate() / (1 - entryShare)
	lostAttempts := s.EntryRunningRequests() * serverShare
	retrySeconds := lostAttempts / (pwretry.DefaultRatio * requestRate)
	heldRecords := recordCopies * requestRate * (s.DeadlineSeconds + flightRetention)
	ordinaryCores := controlSum(rows, roleEntry, figureProcessor)
	coresPerRequest := cores(p.slope("cpu.entry_request") + p.costAt("cpu.record_put", s.Processes()) + p.costAt("cpu.record_wire", s.Marks)*recordCopies)
	lostWatches := s.EntryWatches() * serverShare
	runningAttempts := s.AgentRunningAttempts() / (1 - serverShare)
	answerBytes := p.slope("memory.kept_token") * s.TokenRate / (s.BackendServers * (1 - serverShare)) * (s.RequestSeconds()/2 + answerRetention)
	return Scenario{
		Name: name,
		Peaks: []Peak{
			newPeak("requests of an entry", "1/s", s.EntryRequestRate(), requestRate, 0, "pwdocument.Queue max_requests; requests beyond the rate are refused with not_run"),
			newPeak("attempts that run again, of an entry", "attempts", 0, lostAttempts, 0, "pwdocument.Retry budget_percent 10 of recent requests, budget_floor 3"),
			newPeak("time until they have run again", "s", 0, retrySeconds, s.DeadlineSeconds, "pwdocument.Retry budget_percent 10, max_attempts 4; the deadline of the request"),
			newPeak("control processor time of an entry", "cores", ordinaryCores, ordinaryCores+coresPerRequest*(requestRate*(1+pwretry.DefaultRatio)-s.EntryRequestRate()), LimitProcessor, "pwdocument.Retry budget_percent 10"),
			newPeak("request records of an entry", "records", recordCopies*s.EntryRequestRate()*(s.DeadlineSeconds+flightRetention), heldRecords, pwdirectory.DefaultMaxRecords, "pwdirectory.DefaultMaxRecords 100,000; more are not stored"),
			newPeak("watches that an entry dials again", "1/s", 0, lostWatches/maxRedialDelay, 0, "pwentry.maxRedialDelay 5 s with jitter; later the next reading of the instance list"),
			newPeak("running attempts of an agent", "attempts", s.AgentRunningAttempts(), runningAttempts, 4096, "pwdocument.Running max_attempts, at most 4,096"),
			newPeak("kept answers of an agent (data path)", "B", answerBytes*(1-serverShare), answerBytes, 0, "pwagent.defaultMaxAnswerBytes 256 MiB of text"),
		},
	}
}

// partitionScenario projects a partition between the regions of several minutes. The side
// that reaches the table accepts changes, and the other regions receive them afterwards.
func (p *projection) partitionScenario() Scenario {
	s := p.size
	missedChanges := s.ChangeRate() * partitionSeconds
	documentBytes := p.costAt("bytes.document_pushed", s.WorkspacesPerService())
	reads := p.costAt("table.reads_relay", p.largestSize("table.reads_relay")) * s.DataCentres
	return Scenario{
		Name: "regions partitioned for 5 minutes",
		Peaks: []Peak{
			newPeak("changes that a cut-off region lacks", "changes", 0, missedChanges, 0, "none is accepted there without the table"),
			newPeak("bytes that a process pulls when it heals", "B", 0, missedChanges*documentBytes, 0, "pwgossip.batchBytes 256 KiB a message, reconcileRounds 64"),
			newPeak("the same over the 4 s of the bound", "B/s", 0, missedChanges*documentBytes/4, LimitTraffic, "pwgossip.batchBytes 256 KiB a message; the limit is that of an ordinary second"),
			newPeak("bytes of a full comparison, when an old change is missing", "B", 0, p.costAt("bytes.gap", s.Marks), 0, "pwchange.MaxKeys 20,000; pwgossip.firstWindow 64 is compared before"),
			newPeak("readings of the table", "1/s", reads, takeoverRanks*s.DataCentres, LimitTableReads, "pwgossip.takeoverRanks 8 a data centre, takeoverHold 30 s"),
			newPeak("failed exchanges of a process", "1/s", 0, maxConcurrentCompares/exchangeTimeout, 0, "pwgossip.maxConcurrentCompares 8 at once, pwgossip.exchangeTimeout 700 ms; pwgossip.firstPeerBackoff 500 ms to pwgossip.maxPeerBackoff 15 s"),
			newPeak("requests of an entry", "1/s", s.EntryRequestRate(), s.EntryRequestRate(), 0, "each region serves its own callers"),
		},
	}
}

// restartScenario projects a simultaneous restart of all agents of a data centre, which
// lose their state.
func (p *projection) restartScenario() Scenario {
	s := p.size
	agents := s.BackendServers / s.DataCentres
	firstSyncBytes := p.costAt("bytes.first_sync", s.Marks) + s.Services*p.costAt("bytes.document_pushed", s.WorkspacesPerService())
	listBytes := p.costAt("bytes.instance_list", s.Processes())
	servedBytes := firstSyncBytes * agents / (s.Processes() - agents)
	syncMicroseconds := p.costAt("cpu.first_sync", s.Marks)
	return Scenario{
		Name: "all agents of a data centre restart at once",
		Peaks: []Peak{
			newPeak("first synchronisation of an agent", "B", 0, firstSyncBytes, 24<<20, "pwchange.MaxTotalBytes 24 MiB"),
			newPeak("bytes sent by each other process", "B", 0, servedBytes, 0, "pwgossip.maxConcurrentRequests 64 exchanges at once, batchBytes 256 KiB a message"),
			newPeak("the same over the 4 s of the bound", "B/s", 0, servedBytes/4, LimitTraffic, "pwgossip.maxConcurrentRequests 64; the limit is that of an ordinary second"),
			newPeak("processor time of a first synchronisation, both ends", "s", 0, syncMicroseconds/1e6, 0, "pwgossip.reconcileRounds 64"),
			newPeak("exchanges started by an agent until its first contact", "1/s", comparisonRate, 1/fastCompareInterval, 0, "pwgossip.fastCompareInterval 100 ms, until pwgossip.DefaultIsolationAfter 3 s"),
			newPeak("readings of the instance list, in bytes", "B/s", listBytes*s.Processes()*listReadRate, listBytes*(s.Processes()*listReadRate+agents), 0, "every agent reads at its start; the first reading has no jitter"),
			newPeak("readings of the table", "1/s", p.costAt("table.reads_relay", p.largestSize("table.reads_relay"))*s.DataCentres, agents/unlistedFactor+relaysPerDataCentre*s.DataCentres, LimitTableReads, "pwgossip.unlistedFactor 3, until the first reading of the instance list"),
			newPeak("watches that an entry dials again", "1/s", 0, s.EntryWatches()/s.DataCentres/minRedialDelay, 0, "pwentry.minRedialDelay 100 ms to maxRedialDelay 5 s with jitter"),
			newPeak("watches that an agent accepts again", "watches", s.AgentWatches(), s.AgentWatches(), 0, "pwentry.defaultSubset 48 a service; the agent has no bound of its own"),
			newPeak("attempts that run again, of an entry", "attempts", 0, s.EntryRunningRequests()/s.DataCentres, 0, "pwdocument.Retry budget_percent 10; StartBound 2 of each cold server"),
		},
	}
}

// outageScenario projects an outage of the table service of one hour, and the recovery.
func (p *projection) outageScenario() Scenario {
	s := p.size
	reads := p.costAt("table.reads_relay", p.largestSize("table.reads_relay")) * s.DataCentres
	readers := takeoverRanks * s.DataCentres
	callWrites := p.slope("table.writes_once_call") * s.AtMostOnceCallRate
	firstSyncBytes := p.costAt("bytes.first_sync", s.Marks) + s.Services*p.costAt("bytes.document_pushed", s.WorkspacesPerService())
	return Scenario{
		Name: "table service down for an hour, and back",
		Peaks: []Peak{
			newPeak("attempted readings of the table", "1/s", reads, readers/maxTableBackoff, LimitTableReads, "pwgossip.maxTableBackoff 8 s with jitter, takeoverRanks 8 a data centre"),
			newPeak("readings of the table when it returns", "1/s", reads, readers+reads, LimitTableReads, "pwgossip.takeoverRanks 8 a data centre for takeoverHold 30 s"),
			newPeak("changes that wait for its return", "changes", 0, 0, 0, "a change is refused at once; operators send it again"),
			newPeak("refused changes in the hour", "changes", 0, s.ChangeRate()*outageSeconds, 0, "pwchange.maxApplyTries 10"),
			newPeak("refused calls that run at most once", "1/s", 0, s.AtMostOnceCallRate, 0, "refused with not_run before anything is sent; tries of pwclaim.DefaultTries 4"),
			newPeak("writes when every refused call of 10 s returns in one second", "1/s", callWrites, callWrites+10*callWrites, LimitTableWrites, "no bound on the rate of the calls; the retry delay of the refusal spreads them"),
			newPeak("processes that start in the hour", "processes", 0, (s.RestartsPerDay+s.FailuresPerDay)*outageSeconds/daySeconds, 0, "each takes its peers' state"),
			newPeak("bytes that such a process pulls", "B", 0, firstSyncBytes, 24<<20, "pwchange.MaxTotalBytes 24 MiB"),
		},
	}
}
