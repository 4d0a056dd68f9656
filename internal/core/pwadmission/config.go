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
	// DefaultMaxLong is the number of long attempts and group members at once.
	DefaultMaxLong = 2
	// DefaultClaimTimeout is how long a refused claim keeps space free. It is
	// longer than the largest backoff of pwgroup, so that the claim is still in
	// force at the next try.
	DefaultClaimTimeout = 5 * time.Second
	// DefaultClaimAge is the age from which a refused request also keeps space
	// free from short and medium attempts. A refused attempt usually finds
	// another server before, and space kept for it here would only be wasted.
	DefaultClaimAge = 2 * time.Second
)

// DefaultMemoryPercent guarantees each class a part of the memory. What short
// and medium prompts do not have guaranteed is the largest size of a long
// attempt or group member: 85 % of 400,000 tokens is 340,000, so that three
// engines hold a prompt of 1,000,000 tokens and its output.
var DefaultMemoryPercent = [pwrequest.ClassCount]int{10, 5, 30}

// DefaultSlotPercent guarantees each class a part of the attempts at once.
// Short prompts hold their slots only briefly and need the most. Medium and long
// ones get one slot of 32: each further slot that stays free for them is taken
// from the load that short ones can fill.
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
	// MaxLong is the largest number of long attempts and group members at once,
	// default 2.
	MaxLong int
	// OwnerTimeout is the time without a sign of life after which an owner
	// counts as dead, default 10 s.
	OwnerTimeout time.Duration
	// ClaimTimeout is how long the claim of a refused long attempt or group
	// member keeps space free, default 5 s.
	ClaimTimeout time.Duration
	// ClaimAge is the time since the admission of the request from which its
	// claim also applies to short and medium attempts beyond their guarantees,
	// default 10 s.
	ClaimAge time.Duration
	// MaxHoldTime bounds the time from admission to deadline, default 24 h.
	MaxHoldTime time.Duration
	// MaxEndedRecords is the number of ended attempts remembered, default 8192.
	MaxEndedRecords int
	// WarmUp sets the detection of a cold server; its bounds are taken from
	// FullBound and StartBound.
	WarmUp pwwarmup.Config
}

func (c Config) withDefaults() Config {
	c.MemoryTokens = cmp.Or(c.MemoryTokens, pwmemory.DefaultMemoryTokens)
	c.MemoryPercent = clampPercent(cmp.Or(c.MemoryPercent, DefaultMemoryPercent))
	c.SlotPercent = clampPercent(cmp.Or(c.SlotPercent, DefaultSlotPercent))
	c.MaxLong = cmp.Or(c.MaxLong, DefaultMaxLong)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, DefaultClaimTimeout)
	c.ClaimAge = cmp.Or(c.ClaimAge, DefaultClaimAge)
	c.WarmUp.FullBound = c.FullBound
	c.WarmUp.StartBound = c.StartBound
	return c
}

func clampPercent(p [pwrequest.ClassCount]int) [pwrequest.ClassCount]int {
	left := 100
	for i := range p {
		p[i] = min(max(p[i], 0), left)
		left -= p[i]
	}
	return p
}
