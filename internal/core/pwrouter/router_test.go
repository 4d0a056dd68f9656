package pwrouter

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

func init() { pwscript.FixSeed() }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func report(id, dc string, sent time.Time) Report {
	return Report{
		BackendServer: pwrequest.BackendServerID(id),
		DataCentre:    pwrequest.DataCentre(dc),
		Service:       "svc",
		Models:        []pwrequest.ModelID{"m"},
		MemoryTokens:  400_000,
		SentAt:        sent,
	}
}

// naive decides by a scan of all servers which ones a pick may return.
type naive struct {
	rt      *Router
	reports map[pwrequest.BackendServerID]Report
	out     map[string]bool
	running map[pwrequest.BackendServerID]map[pwrequest.ID]*pwrequest.Request
	others  map[pwrequest.BackendServerID][3]int64
}

func (n *naive) upsert(rep Report) {
	id := rep.BackendServer
	old, ok := n.reports[id]
	if ok && (rep.Incarnation < old.Incarnation || rep.Incarnation == old.Incarnation && !rep.SentAt.After(old.SentAt)) {
		return
	}
	n.reports[id] = rep
	var own [3]int64
	for _, r := range n.running[id] {
		own = [3]int64{own[0] + 1, own[1] + r.MemoryTokens(), own[2] + map[bool]int64{true: 1}[r.Class() == pwrequest.Long]}
	}
	n.others[id] = [3]int64{max(0, int64(rep.Running)-own[0]), max(0, rep.ReservedTokens-own[1]), max(0, int64(rep.RunningLong)-own[2])}
}

// state returns the running attempts, reserved tokens and long prompts.
func (n *naive) state(id pwrequest.BackendServerID) (running int, tokens, long int64) {
	o := n.others[id]
	running, tokens, long = int(o[0]), o[1], o[2]
	for _, r := range n.running[id] {
		running++
		tokens += r.MemoryTokens()
		if r.Class() == pwrequest.Long {
			long++
		}
	}
	return running, tokens, long
}

// allowed returns the servers that may be picked, and of them those that a
// short prompt must prefer.
func (n *naive) allowed(now time.Time, r *pwrequest.Request, opts PickOptions, limit int) (all, free []pwrequest.BackendServerID) {
	var usable []*server
	with := 0
	for id, rep := range n.reports {
		s := n.rt.servers[id]
		if rep.Service == r.Service() && slices.Contains(rep.Models, r.Model()) &&
			(r.Adapter() == "" || slices.Contains(rep.Adapters, r.Adapter())) &&
			(opts.Role == "" || rep.Role == opts.Role) && rep.InService && !s.stale &&
			!n.out[string(id)] && !n.out[string(rep.DataCentre)] && !now.Before(s.asideUntil) {
			if now.Before(s.heldUntil) && !opts.Isolated {
				continue
			}
			usable = append(usable, s)
		}
	}
	slices.SortFunc(usable, (*server).compareRank)
	zone := map[pwrequest.BackendServerID]bool{}
	for _, s := range usable {
		if now.Before(s.heldUntil) {
			continue
		}
		if _, _, long := n.state(s.id); long > 0 {
			with++
		}
		zone[s.id] = len(zone) < limit
	}
	for _, s := range usable {
		rep := n.reports[s.id]
		running, tokens, long := n.state(s.id)
		bound := rep.RunningBound
		if s.probation {
			bound = min(1, bound)
		}
		if zone[s.id] && long == 0 && bound >= 2 && r.Class() != pwrequest.Long && !opts.Isolated {
			bound--
		}
		ok := running < bound && s.isolated == 0 && tokens+r.MemoryTokens() <= rep.MemoryTokens &&
			!slices.Contains(opts.Excluded, s.id) && now.Sub(s.receivedAt) < n.rt.cfg.ReportTimeout &&
			(!opts.Isolated || running == 0) &&
			(r.Class() != pwrequest.Long || long > 0 || zone[s.id] && with < limit)
		if ok {
			all = append(all, s.id)
			if !s.longPrefill() {
				free = append(free, s.id)
			}
		}
	}
	return all, free
}

// TestPickMatchesNaive guards against indexes that offer a server which a
// plain filter excludes, or miss one that it allows.
func TestPickMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rt := New(Config{}, rand.New(rand.NewPCG(1, 2)))
		n := &naive{
			rt:      rt,
			reports: map[pwrequest.BackendServerID]Report{},
			out:     map[string]bool{},
			running: map[pwrequest.BackendServerID]map[pwrequest.ID]*pwrequest.Request{},
			others:  map[pwrequest.BackendServerID][3]int64{},
		}
		now, seq := epoch, 0
		servers := []string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"}
		server := func(t *rapid.T) string { return rapid.SampledFrom(servers).Draw(t, "server") }
		upsert := func(t *rapid.T) {
			rep := report(server(t), rapid.SampledFrom([]string{"d0", "d1"}).Draw(t, "dc"),
				now.Add(-time.Duration(rapid.IntRange(0, 2).Draw(t, "late"))*time.Second))
			rep.RunningBound = rapid.IntRange(0, 4).Draw(t, "bound")
			rep.Running = rapid.IntRange(0, 3).Draw(t, "running")
			rep.RunningLong = rapid.IntRange(0, 1).Draw(t, "long")
			rep.ReservedTokens = rapid.Int64Range(0, 300_000).Draw(t, "reserved")
			rep.InService = rapid.IntRange(0, 9).Draw(t, "in") > 0
			rep.Incarnation = uint64(rapid.IntRange(0, 9).Draw(t, "incarnation") / 9)
			rep.Adapters = [][]string{nil, {"a"}}[rapid.IntRange(0, 1).Draw(t, "adapter")]
			rep.Role = rapid.SampledFrom([]string{"", "x"}).Draw(t, "role")
			rt.Upsert(now, rep)
			n.upsert(rep)
		}
		pick := func(t *rapid.T) {
			seq++
			r := pwrequest.New(pwrequest.Params{
				ID:           pwrequest.ID(fmt.Sprint("r", seq)),
				Service:      "svc",
				Model:        "m",
				Adapter:      rapid.SampledFrom([]string{"", "", "a"}).Draw(t, "adapter"),
				PromptTokens: rapid.SampledFrom([]int64{1_000, 50_000, 150_000, 300_000}).Draw(t, "prompt"),
				PrefixHash:   rapid.Uint64Range(0, 3).Draw(t, "prefix"),
			})
			opts := PickOptions{
				Isolated: rapid.IntRange(0, 5).Draw(t, "isolated") == 0,
				Role:     rapid.SampledFrom([]string{"", "", "x"}).Draw(t, "role"),
				Excluded: []pwrequest.BackendServerID{pwrequest.BackendServerID(server(t))},
			}
			rt.advance(now)
			g := rt.groupOf(groupKey{
				service: "svc",
				model:   "m",
				adapter: r.Adapter(),
				role:    opts.Role,
			})
			g.adapt(now)
			all, free := n.allowed(now, r, opts, g.cap)
			c, err := rt.Pick(now, r, opts)
			switch {
			case err != nil && (pwverdict.VerdictOf(err) != pwverdict.NotRun || pwverdict.CauseOf(err) != pwverdict.CauseNoCandidate):
				t.Fatalf("refusal: %v", err)
			case err != nil && len(all) > 0, err == nil && !slices.Contains(all, c.Server()):
				t.Fatalf("picked %q (%v), naive allows %v", c.Server(), err, all)
			case r.Class() == pwrequest.Short && !opts.Isolated && len(free) > 0 && !slices.Contains(free, c.Server()):
				t.Fatalf("short prompt beside a long one on %q, free of them: %v", c.Server(), free)
			case len(g.order) >= 2 && (g.cap < 1 || g.cap >= len(g.order)):
				t.Fatalf("cap %d with %d servers", g.cap, len(g.order))
			}
			if err != nil {
				return
			}
			if opts.Isolated {
				rt.RecordIsolatedStart(c.Server(), r)
			} else {
				rt.RecordStart(c.Server(), r)
			}
			if n.running[c.Server()] == nil {
				n.running[c.Server()] = map[pwrequest.ID]*pwrequest.Request{}
			}
			n.running[c.Server()][r.ID()] = r
		}
		t.Repeat(map[string]func(*rapid.T){
			"upsert":     upsert,
			"upsertMore": upsert,
			"pick":       pick,
			"pickMore":   pick,
			"pickMost":   pick,
			"finish": func(t *rapid.T) {
				id := pwrequest.BackendServerID(server(t))
				if len(n.running[id]) == 0 {
					t.Skip()
				}
				rid := slices.Min(slices.Collect(maps.Keys(n.running[id])))
				rt.RecordEnd(now, id, n.running[id][rid], Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
				rt.RecordEnd(now, id, n.running[id][rid], Completed)
				delete(n.running[id], rid)
			},
			"mark": func(t *rapid.T) {
				scope := Scope(rapid.IntRange(0, 1).Draw(t, "scope"))
				name := map[Scope]string{ScopeDataCentre: "d0", ScopeBackendServer: "s1"}[scope]
				in := rapid.Bool().Draw(t, "in")
				rt.SetInService(scope, name, in)
				n.out[name] = !in
			},
			"unreachable": func(t *rapid.T) { rt.RecordUnreachable(now, pwrequest.BackendServerID(server(t))) },
			"remove": func(t *rapid.T) {
				id := pwrequest.BackendServerID(server(t))
				rt.Remove(id)
				delete(n.reports, id)
				delete(n.running, id)
				delete(n.others, id)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "steps")) * 100 * time.Millisecond)
				rt.advance(now)
			},
			"": func(t *rapid.T) {
				for id, s := range rt.servers {
					if running, tokens, _ := n.state(id); s.running() != running || s.reserved() != tokens {
						t.Fatalf("%s: %d running, %d reserved; naive %d, %d", id, s.running(), s.reserved(), running, tokens)
					}
				}
			},
		})
	})
}

// TestSubset guards against subsets that leave servers unused or that change
// as a whole when one server leaves.
func TestSubset(t *testing.T) {
	var servers []pwrequest.BackendServerID
	for i := range 400 {
		servers = append(servers, pwrequest.BackendServerID(fmt.Sprint("s", i)))
	}
	used := map[pwrequest.BackendServerID]int{}
	for i := range 100 {
		self := pwrequest.InstanceID(fmt.Sprint("entry", i))
		a := Subset(self, servers, 48)
		b := Subset(self, slices.DeleteFunc(slices.Clone(servers), func(id pwrequest.BackendServerID) bool { return id == a[0] }), 48)
		if len(a) != 48 || !slices.Equal(a[1:], b[:47]) {
			t.Fatalf("%s: the subset changed by more than the server that left", self)
		}
		for _, id := range a {
			used[id]++
		}
	}
	// 12 expected; a server used by none of 100 entries has a probability of 4e-6.
	if len(used) != len(servers) {
		t.Fatalf("only %d of %d servers are used", len(used), len(servers))
	}
}
