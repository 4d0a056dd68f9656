package pwadmission

import (
	"cmp"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwwarmup"
)

// Defaults of Config.
const (
	// DefaultMaxLong is the number of long attempts and group members that may run
	// concurrently.
	DefaultMaxLong = 2
	// DefaultClaimTimeout is how long the claim of a refused request keeps space
	// free. It is longer than the largest backoff of pwgroup, so that the claim is
	// still active at the next attempt.
	DefaultClaimTimeout = 5 * time.Second
	// DefaultClaimAge is the age from which a refused request also keeps space
	// free from short and medium attempts. A younger request usually finds another
	// server, and space kept free for it here would be wasted.
	DefaultClaimAge = 2 * time.Second
)

// DefaultMemoryPercent is the part of the memory guaranteed to each class. The
// memory that is not guaranteed to short and medium attempts is the largest size
// of a long attempt or group member: 85 % of 400,000 tokens is 340,000, so that
// three engines hold a prompt of 1,000,000 tokens and its output.
var DefaultMemoryPercent = [pwrequest.ClassCount]int{10, 5, 30}

// DefaultSlotPercent is the part of the concurrent attempts guaranteed to each
// class. Short attempts hold a slot only briefly and need the most slots. Medium
// and long attempts get one slot of 32 each: every further slot kept free for them
// reduces the short load that the server can carry.
var DefaultSlotPercent = [pwrequest.ClassCount]int{50, 3, 3}

// Config sets the bounds of one backend server. Zero values take the defaults;
// percentages are clamped so that the sum over the classes is at most 100.
type Config struct {
	// MemoryTokens is the engine's memory in tokens, default 400,000.
	MemoryTokens int64
	// FullBound is the bound of a warm server in attempts, default 32.
	FullBound int
	// StartBound is the bound of a cold server in attempts, default 2.
	StartBound int
	// MemoryPercent is the guaranteed part of the memory for each class,
	// indexed by class. All zero takes DefaultMemoryPercent.
	MemoryPercent [pwrequest.ClassCount]int
	// SlotPercent is the guaranteed part of the current bound for each class,
	// indexed by class. All zero takes DefaultSlotPercent.
	SlotPercent [pwrequest.ClassCount]int
	// MaxLong is the largest number of concurrent long attempts and group members,
	// default 2.
	MaxLong int
	// OwnerTimeout is the time without a heartbeat after which an owner counts as
	// dead, default 10 s.
	OwnerTimeout time.Duration
	// ClaimTimeout is how long the claim of a refused long attempt or group
	// member keeps space free, default 5 s.
	ClaimTimeout time.Duration
	// ClaimAge is the time since the admission of the request from which its
	// claim also applies to short and medium attempts beyond their guarantees,
	// default 2 s.
	ClaimAge time.Duration
	// MaxHoldTime is the longest time from admission to deadline, default 24 h.
	MaxHoldTime time.Duration
	// MaxEndedRecords is the number of records of ended reservations kept, default
	// 8192.
	MaxEndedRecords int
	// WarmUp configures the detection of a cold server. FullBound and StartBound
	// above replace its bounds.
	WarmUp pwwarmup.Config
}

func (c Config) withDefaults() Config {
	c.MemoryTokens = cmp.Or(c.MemoryTokens, pwmemory.DefaultMemoryTokens)
	c.MemoryPercent = clampPercentages(cmp.Or(c.MemoryPercent, DefaultMemoryPercent))
	c.SlotPercent = clampPercentages(cmp.Or(c.SlotPercent, DefaultSlotPercent))
	c.MaxLong = cmp.Or(c.MaxLong, DefaultMaxLong)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, DefaultClaimTimeout)
	c.ClaimAge = cmp.Or(c.ClaimAge, DefaultClaimAge)
	c.WarmUp.FullBound = c.FullBound
	c.WarmUp.StartBound = c.StartBound
	return c
}

func clampPercentages(p [pwrequest.ClassCount]int) [pwrequest.ClassCount]int {
	left := 100
	for i := range p {
		p[i] = min(max(p[i], 0), left)
		left -= p[i]
	}
	return p
}
