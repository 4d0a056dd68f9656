package pwmemory_test

import (
	"cmp"
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// The seed is fixed so that every run is reproducible. The flag -rapid.seed
// selects another seed.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

const (
	memoryTokens = 1000
	ownerTimeout = 10 * time.Second
)

// referenceLedger is the model that the ledger is compared with. It keeps every
// reservation ever made in one list and searches that list in each operation.
type referenceLedger struct {
	items    []*referenceItem
	lastSeen map[pwrequest.InstanceID]time.Time
}

// referenceItem is one reservation of a referenceLedger.
type referenceItem struct {
	pwmemory.Params
	fence         uint64
	held, started bool
	refusedUntil  time.Time // late messages are refused until then
}

// end ends it. Rounds up to its own are refused until its deadline, or for longer if
// an earlier round requires it.
func (n *referenceLedger) end(now time.Time, it *referenceItem) {
	it.held, it.refusedUntil = false, it.Deadline
	for _, o := range n.items {
		if o.Key == it.Key && !o.held && now.Before(o.refusedUntil) && o.refusedUntil.After(it.refusedUntil) {
			it.refusedUntil = o.refusedUntil
		}
	}
}

func (n *referenceLedger) heldTokens() (tokens int64) {
	for _, it := range n.items {
		if it.held {
			tokens += it.Tokens
		}
	}
	return tokens
}

// reserve returns the expected fencing token, or 0 for a new reservation, and whether
// the reservation is accepted.
func (n *referenceLedger) reserve(now time.Time, p pwmemory.Params) (fence uint64, ok bool) {
	replaced := &referenceItem{}
	for _, it := range n.items {
		switch {
		case it.Key != p.Key:
		case it.held && it.Round == p.Round:
			return it.fence, true
		case it.held && it.Round < p.Round:
			replaced = it
		case p.Round <= it.Round && (it.held || now.Before(it.refusedUntil)):
			return 0, false
		}
	}
	if p.Tokens <= 0 || !p.Deadline.After(now) || n.heldTokens()-replaced.Tokens+p.Tokens > memoryTokens {
		return 0, false
	}
	n.end(now, replaced)
	n.items = append(n.items, &referenceItem{Params: p, held: true})
	n.lastSeen[p.Owner] = now
	return 0, true
}

func (n *referenceLedger) expire(now time.Time) (count int) {
	for _, it := range n.items {
		dead := now.Sub(n.lastSeen[it.Owner]) >= ownerTimeout && (!it.started || it.Key.IsMember())
		if it.held && (dead || !now.Before(it.Deadline)) {
			n.end(now, it)
			count++
		}
	}
	return count
}

func (n *referenceLedger) find(k pwmemory.Key) *referenceItem {
	for _, it := range n.items {
		if it.held && it.Key == k {
			return it
		}
	}
	return nil
}

// TestLedgerMatchesReference guards against a ledger that counts a reservation twice,
// loses one or acts on a late message: after each operation it must agree with the
// reference ledger.
func TestLedgerMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		l := pwmemory.New(pwmemory.Config{MemoryTokens: memoryTokens, OwnerTimeout: ownerTimeout}, now)
		reference := &referenceLedger{lastSeen: map[pwrequest.InstanceID]time.Time{}}
		owners := rapid.SampledFrom([]pwrequest.InstanceID{"e1", "e2"})
		keys := rapid.SampledFrom([]pwmemory.Key{
			pwmemory.AttemptKey("a1"), pwmemory.AttemptKey("a2"),
			pwmemory.MemberKey("g1"),
		})
		newest := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"reserve": func(t *rapid.T) {
				p := pwmemory.Params{
					Key:      keys.Draw(t, "key"),
					Owner:    owners.Draw(t, "owner"),
					Tokens:   rapid.Int64Range(0, 600).Draw(t, "tokens"),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline")) * time.Second),
				}
				if p.Key.IsMember() {
					p.Round = rapid.Uint64Range(1, 4).Draw(t, "round")
				}
				fence, ok := reference.reserve(now, p)
				r, err := l.Reserve(now, p)
				if (err == nil) != ok || (ok && fence != 0 && r.Fence() != fence) {
					t.Fatalf("reserve gave %v, want ok %v with fence %d", err, ok, fence)
				}
				if ok && fence == 0 {
					if r.Fence() <= newest {
						t.Fatalf("fence %d after %d", r.Fence(), newest)
					}
					newest = r.Fence()
					reference.items[len(reference.items)-1].fence = newest
				}
			},
			"release": func(t *rapid.T) {
				if len(reference.items) == 0 {
					return
				}
				it := rapid.SampledFrom(reference.items).Draw(t, "item")
				if released := l.Release(now, it.Key, it.fence) != nil; released != it.held {
					t.Fatalf("release gave %v, want %v", released, it.held)
				}
				if it.held {
					reference.end(now, it)
				}
			},
			"start": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				it := cmp.Or(reference.find(k), &referenceItem{})
				if l.MarkStarted(k) != it.held {
					t.Fatalf("start must succeed only while held, want %v", it.held)
				}
				it.started = true
			},
			"heartbeat": func(t *rapid.T) {
				o := owners.Draw(t, "owner")
				l.RecordHeartbeat(now, o)
				reference.lastSeen[o] = now
			},
			"expire": func(t *rapid.T) {
				if got, want := len(l.Expire(now)), reference.expire(now); got != want {
					t.Fatalf("expired %d, want %d", got, want)
				}
			},
			"": func(t *rapid.T) {
				if l.TotalUsage().Tokens != reference.heldTokens() || l.TotalUsage().Tokens > memoryTokens {
					t.Fatalf("holds %d tokens, want %d", l.TotalUsage().Tokens, reference.heldTokens())
				}
			},
		})
	})
}
