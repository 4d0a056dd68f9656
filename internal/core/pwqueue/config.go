package pwqueue

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Defaults of a Config.
const (
	DefaultWorkspaceRequests = 1_000
	DefaultTotalRequests     = 50_000
	DefaultWorkspaceTokens   = 20_000_000
	DefaultTotalTokens       = 400_000_000
	DefaultAgeingInterval    = 5 * time.Second
	DefaultMaxAgeingFactor   = 4.0
	DefaultRateWindow        = 10 * time.Second
	// DefaultMinCharge is about the cost of a call without a prompt. Without it a
	// workspace could send any number of such calls at no charge.
	DefaultMinCharge = 100
)

// Bounds of the retry delay in refusals. The lower one keeps callers from
// polling, the upper one keeps a stalled fleet's callers from staying away
// long after it has recovered.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// DefaultClassShares gives short prompts half of the dispatched token work
// while all classes wait, and the others a quarter each.
var DefaultClassShares = [pwrequest.ClassCount]float64{0.5, 0.25, 0.25}

// Config configures a Queue. Zero fields take their defaults.
type Config struct {
	// WorkspaceRequests and WorkspaceTokens bound what one workspace may have
	// queued. Defaults 1,000 requests and 20,000,000 tokens.
	WorkspaceRequests int
	WorkspaceTokens   int64
	// TotalRequests and TotalTokens bound the whole queue. Defaults 50,000
	// requests and 400,000,000 tokens. A workspace may also hold no more than
	// what is still free, so that a few flooding workspaces can't fill it.
	TotalRequests int
	TotalTokens   int64
	// ClassShares divides the dispatched token work between the length classes
	// that have waiting requests. Default DefaultClassShares.
	ClassShares [pwrequest.ClassCount]float64
	// AgeingInterval is the wait that counts as much as one step of priority
	// within a workspace. For each interval that a request has waited when it
	// is dispatched, the share of its class grows by the original share, up to
	// AgeingMax times. Defaults 5 s and 4.
	AgeingInterval  time.Duration
	MaxAgeingFactor float64
	// RateWindow is the time constant of the average service rate. Default 10 s.
	RateWindow time.Duration
	// MinCharge is the least charge for a request, in tokens. Default 100.
	MinCharge int64
}

func (cfg Config) withDefaults() Config {
	pwdefault.SetUnlessPositive(&cfg.WorkspaceRequests, DefaultWorkspaceRequests)
	pwdefault.SetUnlessPositive(&cfg.WorkspaceTokens, DefaultWorkspaceTokens)
	pwdefault.SetUnlessPositive(&cfg.TotalRequests, DefaultTotalRequests)
	pwdefault.SetUnlessPositive(&cfg.TotalTokens, DefaultTotalTokens)
	for _, share := range cfg.ClassShares {
		if !(share > 0) {
			cfg.ClassShares = DefaultClassShares
		}
	}
	pwdefault.SetUnlessPositive(&cfg.AgeingInterval, DefaultAgeingInterval)
	if cfg.MaxAgeingFactor < 1 {
		cfg.MaxAgeingFactor = DefaultMaxAgeingFactor
	}
	pwdefault.SetUnlessPositive(&cfg.RateWindow, DefaultRateWindow)
	pwdefault.SetUnlessPositive(&cfg.MinCharge, DefaultMinCharge)
	return cfg
}
