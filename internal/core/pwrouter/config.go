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
	// maxProbes is the largest number of servers that one probe of a pool checks,
	// and the size up to which a pool is searched in full. It exceeds the subset
	// of 48 servers that an entry connects to, so that a pick within a subset
	// checks all of them.
	maxProbes = 64
	// maxLargePoolProbes is the number of random servers checked in a pool larger
	// than maxProbes. If one server in ten is usable, 3 of 100 probes find none.
	maxLargePoolProbes = 32
	// maxGroups is the largest number of indexes, one for each combination of
	// service, model, adapter, version and role in use.
	maxGroups = 256
	// maxPrefixServers is the largest number of servers recorded for one prefix.
	maxPrefixServers = 4
	// decodeWeight is the fraction of its tokens that an attempt counts as load
	// after its first token.
	decodeWeight = 0.05
	// longDemandThreshold is the fraction of long prompts in the demanded work
	// below which short prompts also use the servers eligible for long ones.
	longDemandThreshold = 0.01
	// chunkTokens is the size of a prefill chunk that a shorter prompt waits for.
	chunkTokens = 8192
	// maxSlowdown bounds the factor by which the load of a slow server is
	// multiplied. A bounded factor lets the server receive some requests, which
	// show when it has recovered.
	maxSlowdown = 8
	// slowdownTolerance is the slowdown up to which a server isn't treated as
	// slow. Prompts of one class differ by that much in their time per token.
	slowdownTolerance = 1.5
	// slowdownSampleWeight and timePerTokenSampleWeight are the weights of a new
	// sample in the moving averages of one server's slowdown and of the time per
	// token of all servers.
	slowdownSampleWeight     = 0.2
	timePerTokenSampleWeight = 0.02
	// noCandidateRetryAfter is the retry delay in a refusal without a candidate:
	// half the interval of load reports.
	noCandidateRetryAfter = 100 * time.Millisecond
	// maxHeldShare and maxHeldServers bound the servers of a group that are held
	// for isolated requests. At least one server may be held.
	maxHeldShare   = 0.05
	maxHeldServers = 4
	// longShareInterval is the shortest time between two updates of a group's
	// share for long prompts.
	longShareInterval = 250 * time.Millisecond
)

// Config configures a Router. Zero fields take their defaults.
type Config struct {
	// ReportHalfLife is the age at which a load report counts half as much as
	// a current one. Default 500 ms.
	ReportHalfLife time.Duration
	// ReportTimeout is the age of the last report from which a server is no longer
	// picked. Default 10 s.
	ReportTimeout time.Duration
	// BaseEjection and MaxEjection bound the time for which an unreachable,
	// crashed or failing server is ejected, which means that it isn't picked. The
	// time doubles with each consecutive ejection. Defaults 500 ms and 30 s.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// FailureLimit is the number of consecutive failed attempts after which a
	// server is ejected. Default 3.
	FailureLimit int
	// FailurePenalty is the load, in tokens, that a failed attempt adds to its
	// server on top of the attempt's own tokens, and FailurePenaltyHalfLife the
	// time in which the added load halves. Without the penalty, a server that
	// fails quickly would always look the least loaded. A short half-life
	// suffices, because a server that keeps failing is ejected. Defaults 20,000
	// and 3 s.
	FailurePenalty         int64
	FailurePenaltyHalfLife time.Duration
	// IsolationHold is the time for which a server is held for isolated requests
	// after one of them has found no idle server. Each further isolated request
	// that finds none extends the time. Default 2 s.
	IsolationHold time.Duration
	// MinLongShare and MaxLongShare bound the share of the servers that may run
	// long prompts at once. LongShareWindow is the time constant with which the
	// share follows the demand. Defaults 0.05, 0.50 and 5 s.
	MinLongShare    float64
	MaxLongShare    float64
	LongShareWindow time.Duration
	// AffinityShare is the fraction of the prompt's tokens by which the load of a
	// server with the prefix in its cache may exceed the load of the best other
	// candidate. Default 0.5.
	AffinityShare float64
	// MaxPrefixes is the largest number of prefixes that the router remembers. The
	// default of 10,000 takes about 1.3 MB. It is that low because an entry has
	// one router for each of its services.
	MaxPrefixes int
	// RemotePenalty is the load, in tokens, that is added to a server in another
	// data centre. The default of 500 stands for a network latency of about 1.5 ms
	// between data centres.
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
