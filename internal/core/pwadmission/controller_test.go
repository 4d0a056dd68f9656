package pwadmission_test

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

// The seed is fixed so that every run is reproducible. The flag -rapid.seed
// selects another seed.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

// harness drives a controller in simulated time and keeps the last grant of
// each identifier.
type harness struct {
	*pwadmission.Controller
	now    time.Time
	grants map[string]pwadmission.Grant
}

func newHarness(cfg pwadmission.Config) *harness {
	now := time.Unix(1000, 0)
	return &harness{
		Controller: pwadmission.New(cfg, now),
		now:        now,
		grants:     map[string]pwadmission.Grant{},
	}
}

// warm raises the warm-up ramp to its full bound.
func (h *harness) warm() {
	for range 200 {
		h.now = h.now.Add(200 * time.Millisecond)
		h.ObserveStep(h.now, 40*time.Millisecond)
	}
}

// work describes an attempt or, if its identifier starts with "g", a group member.
type work struct {
	id, owner, request string
	tokens             int64
	age, timeout       time.Duration
	isolated           bool
	round              uint64
}

func (h *harness) isMember(id string) bool { return strings.HasPrefix(id, "g") }

func (h *harness) admit(w work) (pwadmission.Grant, error) {
	admitted, deadline := h.now.Add(-w.age), h.now.Add(w.timeout)
	var g pwadmission.Grant
	var err error
	if h.isMember(w.id) {
		g, err = h.ReserveMember(h.now, pwadmission.GroupMember{
			GroupID: pwmemory.GroupID(w.id), Round: w.round, Owner: pwrequest.InstanceID(w.owner),
			Tokens: w.tokens, AdmittedAt: admitted, Deadline: deadline,
		})
	} else {
		g, err = h.Admit(h.now, pwadmission.Attempt{
			ID: pwrequest.AttemptID(w.id), Owner: pwrequest.InstanceID(w.owner), Isolated: w.isolated, Deadline: deadline,
			Request: pwrequest.New(pwrequest.Params{
				ID: pwrequest.ID(w.request), PromptTokens: w.tokens, AdmittedAt: admitted,
			}),
		})
	}
	if err == nil {
		h.grants[w.id] = g
	}
	return g, err
}

func (h *harness) release(id string, fence uint64) bool {
	if h.isMember(id) {
		return h.ReleaseMember(h.now, pwmemory.GroupID(id), fence)
	}
	return h.Release(h.now, pwrequest.AttemptID(id), fence)
}

// TestScripts runs the scripts under testdata. The first line of each states the
// guarantee that it checks. A script starts with a cold server of default settings.
func TestScripts(t *testing.T) {
	pwscript.Walk(t, "testdata/scripts", func() pwscript.Handler {
		return newHarness(pwadmission.Config{}).command
	})
}

func (h *harness) command(c *pwscript.Command) []string {
	id := c.Name()
	w := work{
		id: id, owner: c.Text("owner", "e1"), request: c.Text("request", "r-"+id), tokens: c.Int("tokens", 0),
		age: c.Duration("age", 0), timeout: c.Duration("deadline", time.Minute),
		isolated: c.Bool("isolated", false), round: c.Uint("round", 1),
	}
	switch c.Verb() {
	case "new":
		*h = *newHarness(pwadmission.Config{
			SlotPercent: [3]int(append(lo.Map(c.Ints("slots"), func(n int64, _ int) int { return int(n) }), 0, 0, 0)),
			FullBound:   int(c.Int("full", 0)), StartBound: int(c.Int("start", 0)), MaxEndedRecords: int(c.Int("ended", 0)),
		})
	case "admit":
		g, err := h.admit(w)
		var v *pwverdict.Error
		switch {
		case errors.As(err, &v):
			return []string{fmt.Sprintf("%s %s, retry after %s", v.Verdict(), v.Cause(), v.RetryAfter())}
		case g.IsDuplicate():
			return []string{"duplicate"}
		}
		return []string{"ok"}
	case "first":
		h.RecordFirstToken(h.now, pwrequest.AttemptID(id), c.Duration("took", 0))
	case "release":
		return []string{fmt.Sprint(h.release(id, h.grants[id].Fence()))}
	case "cancel":
		return []string{fmt.Sprint(h.CancelMember(h.now, pwmemory.GroupID(id), w.round, h.now.Add(w.timeout)))}
	case "start":
		return []string{fmt.Sprint(h.MarkStarted(h.now, pwrequest.AttemptID(id)))}
	case "heartbeat":
		h.RecordHeartbeat(h.now, pwrequest.InstanceID(id))
	case "expire":
		return describe(h.Expire(h.now))
	case "restart":
		return describe(h.HandleEngineRestart(h.now))
	case "wait":
		h.now = h.now.Add(c.Duration("d", 0))
	case "warm":
		h.warm()
	case "slow":
		for range c.Int("n", 0) {
			h.ObserveStep(h.now, time.Second)
		}
	case "leave", "return":
		h.SetInService(h.now, c.Verb() == "return")
	case "drain":
		h.Drain()
	case "load":
		l := h.Load(h.now)
		pending := l.PendingPrefillTokens()
		return []string{fmt.Sprintf("running %d of %d, tokens %d of %d, short %d medium %d long %d, prefill %d", l.Running(), l.RunningBound(),
			l.ReservedTokens(), l.MemoryTokens(), l.RunningByClass(pwrequest.Short), l.RunningByClass(pwrequest.Medium),
			l.RunningByClass(pwrequest.Long), lo.Sum(pending[:]))}
	default:
		c.Fatalf("unknown command")
	}
	return nil
}

func describe(list []pwadmission.Expiry) []string {
	return lo.Map(list, func(e pwadmission.Expiry, _ int) string {
		return fmt.Sprintf("%s%s %s started=%v", e.AttemptID(), e.GroupID(), e.Reason(), e.Started())
	})
}

// TestReservationsDoNotLeak guards against leaked memory. Thousands of random
// restarts, cancellations and late, duplicate and lost messages are followed by
// owners that stop sending; every reservation must then expire. No admission on
// the way may exceed a bound.
func TestReservationsDoNotLeak(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		h := newHarness(pwadmission.Config{})
		model := map[string]work{} // the expected reservations
		var old []struct {
			id    string
			fence uint64
		}
		drop := func(list []pwadmission.Expiry) {
			for _, e := range list {
				delete(model, string(e.AttemptID())+string(e.GroupID()))
			}
		}
		for step := range 5000 {
			h.now = h.now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			id := fmt.Sprintf("%c%d", "agag"[rng.IntN(4)], rng.IntN(60)+step/20)
			owner := fmt.Sprintf("e%d", rng.IntN(4))
			switch rng.IntN(12) {
			case 0, 1, 2, 3: // a new or a duplicate message
				w := work{
					id: id, request: id, owner: owner, tokens: 1 + rng.Int64N(1<<(1+rng.IntN(19))), round: 1 + uint64(step/500),
					age: time.Duration(rng.IntN(20)) * time.Second, timeout: time.Duration(rng.IntN(90)) * time.Second, isolated: !h.isMember(id) && rng.IntN(50) == 0,
				}
				if g, err := h.admit(w); err == nil {
					if !g.IsDuplicate() {
						model[id] = w
					}
					old = append(old, struct {
						id    string
						fence uint64
					}{id, g.Fence()})
					if l := h.Load(h.now); !g.IsDuplicate() && (l.Running() > l.RunningBound() || l.ReservedTokens() > l.MemoryTokens()) {
						t.Fatalf("seed %d step %d: admitted beyond a bound: %+v", seed, step, l)
					}
				}
			case 4, 5, 6: // a release, often late or duplicate
				if len(old) > 0 {
					o := old[rng.IntN(len(old))]
					if h.release(o.id, o.fence) {
						delete(model, o.id)
					}
				}
			case 7:
				if h.CancelMember(h.now, pwmemory.GroupID(id), 1+uint64(step/500), h.now.Add(time.Minute)) {
					delete(model, id)
				}
			case 8:
				h.MarkStarted(h.now, pwrequest.AttemptID(id))
				h.RecordHeartbeat(h.now, pwrequest.InstanceID(owner))
			case 9:
				drop(h.Expire(h.now))
			case 10:
				h.ObserveStep(h.now, 40*time.Millisecond)
			case 11:
				if rng.IntN(100) == 0 {
					drop(h.HandleEngineRestart(h.now))
				}
			}
			held := int64(0)
			for w := range maps.Values(model) {
				held += w.tokens
				if w.isolated && len(model) > 1 {
					t.Fatalf("seed %d step %d: isolated %s runs beside others", seed, step, w.id)
				}
			}
			if l := h.Load(h.now); l.ReservedTokens() != held || l.Running() != len(model) {
				t.Fatalf("seed %d step %d: %+v, want %d tokens of %v", seed, step, l, held, slices.Sorted(maps.Keys(model)))
			}
		}
		h.now = h.now.Add(90 * time.Second)
		h.Expire(h.now)
		if l := h.Load(h.now); l.ReservedTokens() != 0 || l.Running() != 0 || l.PendingPrefillTokens() != [pwrequest.ClassCount]int64{} {
			t.Fatalf("seed %d: leaked %+v", seed, l)
		}
	}
}

// TestGuaranteedShares guards against an attempt that is refused although its class
// has not used up its guarantee. Random earlier attempts of all classes compete.
func TestGuaranteedShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(pwadmission.Config{})
		h.warm()
		lengths := []int64{10_000, 60_000, 120_000}
		used := [pwrequest.ClassCount]int64{}
		slots := [pwrequest.ClassCount]int{}
		memory, most := [pwrequest.ClassCount]int64{40_000, 20_000, 120_000}, [pwrequest.ClassCount]int{16, 1, 1}
		for i := range rapid.IntRange(1, 80).Draw(t, "count") {
			class := rapid.SampledFrom([]pwrequest.Class{pwrequest.Short, pwrequest.Medium, pwrequest.Long}).Draw(t, "class")
			low := []int64{1, 10_001, 100_001}[class]
			w := work{
				id: fmt.Sprint("a", i), request: fmt.Sprint("r", i), owner: "e1", timeout: time.Minute,
				tokens: rapid.Int64Range(low, lengths[class]).Draw(t, "tokens"),
				age:    time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * time.Second,
			}
			within := used[class]+w.tokens <= memory[class] && slots[class] < most[class]
			_, err := h.admit(w)
			if err != nil && within {
				t.Fatalf("%s attempt of %d tokens refused within its guarantee: %v", class, w.tokens, err)
			}
			if err == nil {
				used[class] += w.tokens
				slots[class]++
			}
		}
	})
}

func BenchmarkAdmitRelease(b *testing.B) {
	for _, held := range []int{0, 15, 16} { // 16 short attempts and 13 others fill the slots
		b.Run(fmt.Sprint("held=", held), func(b *testing.B) {
			h := newHarness(pwadmission.Config{})
			h.warm()
			for i := range held {
				for _, w := range []work{{id: fmt.Sprint("s", i), tokens: 1000}, {id: fmt.Sprint("m", i), tokens: 10_001}} {
					w.timeout = time.Hour
					_, _ = h.admit(w)
				}
			}
			ids := make([]pwrequest.AttemptID, 1<<16)
			for i := range ids {
				ids[i] = pwrequest.AttemptID(fmt.Sprint("a", i))
			}
			r := pwrequest.New(pwrequest.Params{ID: "r", PromptTokens: 1000})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := h.now.Add(time.Duration(i) * time.Millisecond)
				id := ids[i%len(ids)]
				g, err := h.Admit(now, pwadmission.Attempt{ID: id, Request: r, Owner: "e1", Deadline: now.Add(time.Second)})
				if (err == nil) != (held < 16) || (err == nil && !h.Release(now, id, g.Fence())) {
					b.Fatal(err)
				}
			}
		})
	}
}
