package pwcapacity

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
	"github.com/pomeloweir/pomeloweir/internal/state/pwplacer"
)

// Limits of section 4 of docs/design.md. Those on processor time, memory and traffic
// apply to the control work of one process.
const (
	LimitProcessor   = 0.029    // cores
	LimitMemory      = 64 << 20 // bytes
	LimitTraffic     = 16 << 10 // bytes per second
	LimitTableWrites = 300      // per second; the design states "several hundred"
	LimitTableReads  = 2000     // per second
)

// Size describes a deployment. Rates are per second. The values of the second group of
// fields are assumptions, because section 4 of the design does not state them.
type Size struct {
	Entries              float64 `json:"entries"`
	BackendServers       float64 `json:"backend_servers"`
	Accelerators         float64 `json:"accelerators"`
	RequestRate          float64 `json:"requests_per_s"`
	TokenRate            float64 `json:"tokens_per_s"`
	Workspaces           float64 `json:"workspaces"`
	Models               float64 `json:"models"`
	Regions              float64 `json:"regions"`
	DataCentres          float64 `json:"data_centres"`
	ChangesPerDay        float64 `json:"changes_per_day"`
	FailuresPerDay       float64 `json:"instance_failures_per_day"`
	RestartsPerDay       float64 `json:"restarts_per_day"`
	SecondsBetweenTokens float64 `json:"seconds_between_tokens"`

	// Services is the number of documents. There is one for each model, because a
	// document holds at most 4,096 workspaces.
	Services float64 `json:"services"`
	// Marks is the number of keys of marks: one for each backend server and each data
	// centre.
	Marks float64 `json:"marks"`
	// QueueSeconds is the mean time that a request is queued under ordinary load.
	QueueSeconds float64 `json:"queue_seconds"`
	// AtMostOnceCallRate is the rate of calls that run at most once.
	AtMostOnceCallRate float64 `json:"at_most_once_calls_per_s"`
	// GroupPromptRate is the rate of prompts that need a group of engines. One prompt
	// in fifty has more than 100,000 tokens, and one in a thousand of these exceeds the
	// memory of an engine.
	GroupPromptRate float64 `json:"group_prompts_per_s"`
	// MeanPromptTokens is the mean length of a prompt, in tokens of four bytes.
	MeanPromptTokens float64 `json:"mean_prompt_tokens"`
	// DeadlineSeconds is the deadline that a document sets by default for a request.
	DeadlineSeconds float64 `json:"deadline_seconds"`
}

// LargeSize returns the large deployment of section 4 of the design.
func LargeSize() Size {
	return Size{
		Entries:              640,
		BackendServers:       7_500,
		Accelerators:         60_000,
		RequestRate:          120_000,
		TokenRate:            34e6,
		Workspaces:           35_000,
		Models:               14,
		Regions:              3,
		DataCentres:          8,
		ChangesPerDay:        6_400,
		FailuresPerDay:       120,
		RestartsPerDay:       2_300,
		SecondsBetweenTokens: 0.056,
		Services:             14,
		Marks:                7_508,
		QueueSeconds:         1,
		AtMostOnceCallRate:   50,
		GroupPromptRate:      2.4,
		MeanPromptTokens:     11_000,
		DeadlineSeconds:      60,
	}
}

// Constants of other packages that the projection depends on. Those that a package does
// not export are repeated here, and a test compares them with the source. Rates are per
// second.
const (
	subsetSize              = 48  // pwentry.defaultSubset
	reportInterval          = 1.0 // pwagent.loadMinInterval, seconds
	instanceRefreshInterval = 5   // pwprocess.instanceRefreshInterval, seconds
	engineInterval          = 0.1 // pwagent.maintenanceInterval, seconds
	recordCopies            = 2   // pwdirectory.holders
	flightRetention         = 60  // pwentry.defaultFlightRetention, seconds
	answerRetention         = 300 // pwagent.defaultAnswerRetention, seconds
	takeoverRanks           = 8   // pwgossip.takeoverRanks
	maxTableBackoff         = 8   // pwgossip.maxTableBackoff, seconds
	fastCompareInterval     = 0.1 // pwgossip.fastCompareInterval, seconds
	maxConcurrentCompares   = 8   // pwgossip.maxConcurrentCompares
	exchangeTimeout         = 0.7 // pwgossip.exchangeTimeout, seconds
	unlistedFactor          = 3   // pwgossip.unlistedFactor
	minRedialDelay          = 0.1 // pwentry.minRedialDelay, seconds
	maxRedialDelay          = 5   // pwentry.maxRedialDelay, seconds

	relaysPerDataCentre = pwgossip.DefaultRelaysPerDataCentre
	maxCrashCounts      = pwgossip.MaxCrashCounts
	crashRetention      = float64(pwquarantine.DefaultRetention / time.Second)

	reportRate          = 1 / reportInterval
	comparisonRate      = float64(time.Second) / float64(pwgossip.DefaultCompareInterval)
	instanceRefreshRate = 1.0 / instanceRefreshInterval
	listReadRate        = float64(time.Second) / float64(pwgossip.DefaultListInterval)
	engineCheckRate     = 1 / engineInterval
	planRate            = float64(time.Second) / float64(pwplacer.DefaultInterval)
	// idleReportRate is 1 / pwagent.loadMaxInterval.
	idleReportRate = 0.5
	// leaseRenewalRate is the rate at which one lease is renewed: three times in its term.
	leaseRenewalRate = 3 * float64(time.Second) / float64(pwlease.DefaultTerm)

	// groupPromptTokens is the length of a prompt that runs on a group of engines.
	groupPromptTokens = 500e3
	// gcHeapFactor is the ratio of the heap to the live bytes at GOGC=100.
	gcHeapFactor = 2
	daySeconds   = 86_400
)

// Processes returns the number of all processes: entries and agents.
func (s Size) Processes() float64 { return s.Entries + s.BackendServers }

// EntryWatches returns the number of agents that an entry watches: a subset of each
// service, or all of its agents if it has fewer.
func (s Size) EntryWatches() float64 {
	return s.Services * min(subsetSize, s.BackendServers/s.Services)
}

// AgentWatches returns the number of entries that watch an agent.
func (s Size) AgentWatches() float64 { return s.EntryWatches() * s.Entries / s.BackendServers }

// EntryRequestRate returns the rate of requests at one entry.
func (s Size) EntryRequestRate() float64 { return s.RequestRate / s.Entries }

// AgentRequestRate returns the rate of requests at one agent.
func (s Size) AgentRequestRate() float64 { return s.RequestRate / s.BackendServers }

// EntryTokenRate returns the rate of tokens that one entry forwards.
func (s Size) EntryTokenRate() float64 { return s.TokenRate / s.Entries }

// RequestSeconds returns the mean duration of a running request.
func (s Size) RequestSeconds() float64 { return s.TokenRate / s.RequestRate * s.SecondsBetweenTokens }

// EntryRunningRequests returns the mean number of concurrent requests of one entry.
func (s Size) EntryRunningRequests() float64 { return s.EntryRequestRate() * s.RequestSeconds() }

// AgentRunningAttempts returns the mean number of concurrent attempts of one agent.
func (s Size) AgentRunningAttempts() float64 { return s.AgentRequestRate() * s.RequestSeconds() }

// ChangeRate returns the rate of configuration changes.
func (s Size) ChangeRate() float64 { return s.ChangesPerDay / daySeconds }

// WorkspacesPerService returns the number of workspaces in one document.
func (s Size) WorkspacesPerService() float64 { return s.Workspaces / s.Services }

// CrashCounts returns the number of crash counts that an entry holds: one for each attempt
// that ran on a server when it crashed, for the retention of one hour.
func (s Size) CrashCounts() float64 {
	return s.FailuresPerDay * crashRetention / daySeconds * s.AgentRunningAttempts()
}
