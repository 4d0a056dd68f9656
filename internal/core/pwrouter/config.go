package pwrouter

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
)

// Defaults of a Config.
const (
	DefaultReportHalfLife         = 500 * time.Millisecond
	DefaultReportTimeout          = 10 * time.Second
	DefaultBaseEjection           = 500 * time.Millisecond
	DefaultMaxEjection            = 30 * time.Second
	DefaultFailureLimit           = 3
	DefaultFailurePenalty         = 20_000
	DefaultFailurePenaltyHalfLife = 3 * time.Second
	DefaultIsolationHold          = 2 * time.Second
	DefaultMinLongShare           = 0.05
	DefaultMaxLongShare           = 0.50
	DefaultLongShareWindow        = 5 * time.Second
	DefaultAffinityShare          = 0.5
	DefaultMaxPrefixes            = 10_000
	DefaultRemotePenalty          = 500
)

const (
	// maxProbes bounds the servers that one pick looks at. It exceeds the
	// subset of 48 agents, so that a pick within a subset looks at all of them.
	maxProbes = 64
	// maxLargeProbes bounds the servers drawn from a pool that is larger than
	// that. With one server in ten usable, a pick finds none in 3 of 100 cases.
	maxLargeProbes = 32
	// maxGroups bounds the indexes over (service, model, adapter, version, role).
	maxGroups = 256
	// maxHolders bounds the servers remembered for one prefix.
	maxHolders = 4
	// decodeWeight is the part of its tokens that a request counts as load after
	// its first token.
	decodeWeight = 0.05
	// minLongShare is the share of long prompts in the work below which their
	// zone is not kept clear of short ones.
	minLongShare = 0.01
	// chunkTokens is the size of a prefill chunk that a shorter prompt waits for.
	chunkTokens = 8192
	// maxSlowness bounds the factor by which a slow server's load counts, so
	// that it still receives some requests and can prove that it has recovered.
	maxSlowness = 8
	// slowTolerance is the ratio to the average pace below which a server isn't
	// treated as slow; prompts of one class differ by that much.
	slowTolerance = 1.5
	// Weights of a new sample in the pace of a server and of all servers.
	serverPaceWeight  = 0.2
	averagePaceWeight = 0.02
	// noCandidateDelay is the advised delay after a refusal: half the interval
	// of load reports.
	noCandidateDelay = 100 * time.Millisecond
	// maxHeldShare and maxHeld bound the servers of a group that are kept for
	// isolated requests. The bound is at least one server.
	maxHeldShare = 0.05
	maxHeld      = 4
	// capInterval is the time between two adaptations of the cap.
	capInterval = 250 * time.Millisecond
)

// Config configures a Router. Zero fields take their defaults.
type Config struct {
	// ReportHalfLife is the age at which a load report counts half as much as
	// a current one. Default 500 ms.
	ReportHalfLife time.Duration
	// ReportTimeout is the time without a report after which a server isn't
	// picked any more. Default 10 s.
	ReportTimeout time.Duration
	// BaseEjection and AsideMax bound the time for which an unreachable or
	// failing server is set aside; it doubles with each failure in a row.
	// Defaults 500 ms and 30 s.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// FailureLimit is the number of failed attempts in a row after which a
	// server is set aside. Default 3.
	FailureLimit int
	// FailurePenalty is the load that a failed attempt leaves behind in addition
	// to its own, and FailureHalfLife the time in which half of that load is
	// forgotten. Without it a server that fails quickly would always look the
	// least loaded. A short half-life suffices, because a server that keeps
	// failing is set aside. Defaults 20,000 and 3 s.
	FailurePenalty         int64
	FailurePenaltyHalfLife time.Duration
	// IsolationHold is the time for which a server receives no other work after
	// an isolated request has found no idle server. Each further isolated
	// request without a server extends it. Default 2 s.
	IsolationHold time.Duration
	// MinLongShare and LongMax bound the share of the servers that long prompts may
	// fill at once; LongWindow is the time constant with which the share
	// follows the demand. Defaults 0.05, 0.50 and 5 s.
	MinLongShare    float64
	MaxLongShare    float64
	LongShareWindow time.Duration
	// AffinityShare is the part of the prompt's tokens by which the load of a
	// server that holds the prefix may exceed the load of another. Default 0.5.
	AffinityShare float64
	// MaxPrefixes bounds the remembered prefixes. Default 10,000, about 1.3 MB: an
	// entry has one router for each of its services.
	MaxPrefixes int
	// RemotePenalty is the load that a server in another data centre counts in
	// addition. Default 500, for a crossing of about 1.5 ms.
	RemotePenalty int64
}

func (cfg Config) withDefaults() Config {
	pwdefault.SetUnlessPositive(&cfg.ReportHalfLife, DefaultReportHalfLife)
	pwdefault.SetUnlessPositive(&cfg.ReportTimeout, DefaultReportTimeout)
	pwdefault.SetUnlessPositive(&cfg.BaseEjection, DefaultBaseEjection)
	pwdefault.SetUnlessPositive(&cfg.MaxEjection, DefaultMaxEjection)
	pwdefault.SetUnlessPositive(&cfg.FailureLimit, DefaultFailureLimit)
	pwdefault.SetUnlessPositive(&cfg.FailurePenalty, DefaultFailurePenalty)
	pwdefault.SetUnlessPositive(&cfg.FailurePenaltyHalfLife, DefaultFailurePenaltyHalfLife)
	pwdefault.SetUnlessPositive(&cfg.IsolationHold, DefaultIsolationHold)
	pwdefault.SetUnlessPositive(&cfg.MinLongShare, DefaultMinLongShare)
	pwdefault.SetUnlessPositive(&cfg.MaxLongShare, DefaultMaxLongShare)
	pwdefault.SetUnlessPositive(&cfg.LongShareWindow, DefaultLongShareWindow)
	pwdefault.SetUnlessPositive(&cfg.AffinityShare, DefaultAffinityShare)
	pwdefault.SetUnlessPositive(&cfg.MaxPrefixes, DefaultMaxPrefixes)
	pwdefault.SetUnlessPositive(&cfg.RemotePenalty, DefaultRemotePenalty)
	cfg.MaxLongShare = min(1, cfg.MaxLongShare)
	cfg.MinLongShare = min(cfg.MinLongShare, cfg.MaxLongShare)
	return cfg
}
