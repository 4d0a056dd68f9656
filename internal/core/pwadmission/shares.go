package pwadmission

import (
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// classAmounts holds an amount of one resource for each class, indexed by class.
type classAmounts [pwrequest.ClassCount]int64

// resource is the state of one bounded resource, memory or slots, during one
// admission decision. Each class may use its own guarantee and everything that is
// not part of an unused guarantee of another class.
type resource struct {
	limit      int64
	used       classAmounts
	guaranteed classAmounts
	// claimed is the amount kept free for the oldest refused long attempt or group
	// member.
	claimed int64
}

// fitResult is the result of a check whether an amount of a resource is available to a
// class: fitOK or the reason why it is not.
type fitResult uint8

const (
	fitOK fitResult = iota
	// fitExhausted means that the amount exceeds what is free.
	fitExhausted
	// fitGuaranteed means that the free amount is guaranteed to other classes.
	fitGuaranteed
	// fitClaimed means that the free amount is kept for an older claim.
	fitClaimed
)

// checkFit reports whether class c may take the amount n.
func (r *resource) checkFit(c pwrequest.Class, n int64) fitResult {
	total := int64(0)
	for _, u := range r.used {
		total += u
	}
	if total+n > r.limit {
		return fitExhausted
	}
	if total+n+r.unusedGuarantees(c, 0) > r.limit {
		return fitGuaranteed
	}
	// A claim does not reduce the guarantee of another class.
	if r.claimed == 0 || (c != pwrequest.Long && r.used[c]+n <= r.guaranteed[c]) {
		return fitOK
	}
	if total+n+r.claimed+r.unusedGuarantees(c, r.claimed) > r.limit {
		return fitClaimed
	}
	return fitOK
}

// unusedGuarantees sums the unused guarantees of the classes other than c and
// counts the claimed amount as used by the long class.
func (r *resource) unusedGuarantees(c pwrequest.Class, claimed int64) int64 {
	sum := int64(0)
	for d, g := range r.guaranteed {
		used := r.used[d]
		if pwrequest.Class(d) == pwrequest.Long {
			used += claimed
		}
		if pwrequest.Class(d) != c {
			sum += max(0, g-used)
		}
	}
	return sum
}

// maxAmount returns the largest amount that class c can hold: all that is not
// guaranteed to the other classes.
func (r *resource) maxAmount(c pwrequest.Class) int64 {
	n := r.limit
	for d, g := range r.guaranteed {
		if pwrequest.Class(d) != c {
			n -= g
		}
	}
	return n
}

// divideMemory returns the guaranteed memory of each class.
func divideMemory(limit int64, percent [pwrequest.ClassCount]int) classAmounts {
	var out classAmounts
	for c, p := range percent {
		out[c] = limit / 100 * int64(p)
	}
	return out
}

// minBoundForAllClasses is the bound from which every class has a guaranteed slot.
// Below it medium and long attempts compete for the slots that short attempts
// leave, because a guarantee of one slot each would leave nothing to the third
// class.
const minBoundForAllClasses = 4

// divideSlots returns the guaranteed slots of each class under a bound.
func divideSlots(bound int, percent [pwrequest.ClassCount]int) classAmounts {
	var out classAmounts
	if bound < minBoundForAllClasses {
		out[pwrequest.Short] = int64(min(bound*percent[pwrequest.Short]/100, bound-1))
		return out
	}
	left := int64(bound)
	for c, p := range percent {
		n := int64(bound * p / 100)
		if p > 0 {
			n = max(1, n)
		}
		out[c] = min(n, left)
		left -= out[c]
	}
	// A large percentage of short attempts must not take the only slot of a later
	// class.
	for c := range out {
		if percent[c] > 0 && out[c] == 0 && out[pwrequest.Short] > 1 {
			out[c]++
			out[pwrequest.Short]--
		}
	}
	return out
}
