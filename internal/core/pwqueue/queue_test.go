package pwqueue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

func init() { pwscript.FixSeed() }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// naive is the queue's definition without indexes: every operation scans all
// requests, and the tags of idle workspaces are kept while their class waits.
type naive struct {
	cfg     Config
	items   []*item
	weights map[pwrequest.WorkspaceID]float64
	finish  [pwrequest.ClassCount]map[pwrequest.WorkspaceID]float64
	vtimes  [pwrequest.ClassCount]float64
	starts  [pwrequest.ClassCount]float64
	vtime   float64
	seq     uint64
}

// head returns the next request of a class, or nil.
func (n *naive) head(class pwrequest.Class) *item {
	firsts := map[pwrequest.WorkspaceID]*item{}
	for _, it := range n.items {
		if f := firsts[it.r.Workspace()]; it.r.Class() == class && (f == nil || it.before(f)) {
			firsts[it.r.Workspace()] = it
		}
	}
	var best *item
	var bestStart float64
	for ws, it := range firsts {
		s := max(n.vtimes[class], n.finish[class][ws])
		if best == nil || s < bestStart || s == bestStart &&
			(it.requeued && !best.requeued || it.requeued == best.requeued && it.seq < best.seq) {
			best, bestStart = it, s
		}
	}
	return best
}

func (n *naive) insert(now, since time.Time, r *pwrequest.Request, weight float64, requeued bool) {
	c, ws := r.Class(), r.Workspace()
	if n.head(c) == nil {
		n.starts[c] = max(n.starts[c], n.vtime)
	}
	n.weights[ws] = weight
	n.seq++
	n.items = append(n.items, &item{
		r:        r,
		seq:      n.seq,
		since:    since,
		rank:     now.Add(-time.Duration(r.Priority()) * n.cfg.AgeingInterval),
		work:     max(n.cfg.MinCharge, r.MemoryTokens()),
		requeued: requeued,
	})
}

func (n *naive) fits(r *pwrequest.Request) bool {
	var count int
	var mine, all int64
	for _, it := range n.items {
		all += it.work
		if it.r.Workspace() == r.Workspace() {
			count++
			mine += it.work
		}
	}
	free, freeTokens, work := n.cfg.TotalRequests-len(n.items), n.cfg.TotalTokens-all, max(n.cfg.MinCharge, r.MemoryTokens())
	return free >= 1 && freeTokens >= work && count < min(n.cfg.WorkspaceRequests, free) &&
		(count == 0 || mine+work <= min(n.cfg.WorkspaceTokens, freeTokens))
}

func (n *naive) remove(it *item) {
	for i, o := range n.items {
		if o == it {
			n.items = append(n.items[:i:i], n.items[i+1:]...)
		}
	}
	if c := it.r.Class(); n.head(c) == nil {
		n.finish[c], n.vtimes[c] = map[pwrequest.WorkspaceID]float64{}, 0
	}
	if len(n.items) == 0 {
		n.vtime, n.starts, n.weights = 0, [pwrequest.ClassCount]float64{}, map[pwrequest.WorkspaceID]float64{}
	}
}

func (n *naive) boost(d time.Duration) float64 {
	return min(n.cfg.MaxAgeingFactor, 1+max(0, d.Seconds()/n.cfg.AgeingInterval.Seconds()))
}

func (n *naive) pop(now time.Time, allowed [pwrequest.ClassCount]bool) *pwrequest.Request {
	var best *item
	for c, ok := range allowed {
		if it := n.head(pwrequest.Class(c)); ok && it != nil && (best == nil || n.starts[c] < n.starts[best.r.Class()]) {
			best = it
		}
	}
	if best == nil {
		return nil
	}
	c, ws := best.r.Class(), best.r.Workspace()
	n.vtime = max(n.vtime, n.starts[c])
	n.starts[c] += float64(best.work) / n.cfg.ClassShares[c] / n.boost(now.Sub(best.since))
	for o := range n.starts {
		if it := n.head(pwrequest.Class(o)); it != nil {
			n.starts[o] = max(n.starts[o], n.vtime-float64(it.work)/n.cfg.ClassShares[o])
		}
	}
	n.vtimes[c] = max(n.vtimes[c], n.finish[c][ws])
	n.finish[c][ws] = n.vtimes[c] + float64(best.work)/n.weights[ws]
	n.remove(best)
	return best.r
}

// TestQueueMatchesNaive guards against an index that loses, repeats or
// reorders requests compared with a plain scan.
func TestQueueMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			WorkspaceRequests: 8,
			TotalRequests:     12,
			WorkspaceTokens:   700_000,
			TotalTokens:       1_500_000,
		}.withDefaults()
		q := New(cfg)
		n := &naive{
			cfg:     cfg,
			weights: map[pwrequest.WorkspaceID]float64{},
			finish:  [pwrequest.ClassCount]map[pwrequest.WorkspaceID]float64{{}, {}, {}},
		}
		now := epoch
		var popped []*pwrequest.Request
		check := func(op string, got, want *pwrequest.Request) {
			if got != want {
				t.Fatalf("%s: got %v, naive %v", op, got, want)
			}
			if got != nil {
				popped = append(popped, got)
			}
		}
		push := func(t *rapid.T) {
			r := pwrequest.New(pwrequest.Params{
				ID:           pwrequest.ID(fmt.Sprintf("r%d", n.seq)),
				Workspace:    pwrequest.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "ws")),
				PromptTokens: rapid.SampledFrom([]int64{0, 1_000, 8_000, 50_000, 250_000}).Draw(t, "prompt"),
				Priority:     rapid.IntRange(0, 1).Draw(t, "priority"),
				AdmittedAt:   now,
				Deadline:     now.Add(rapid.SampledFrom([]time.Duration{3 * time.Second, time.Hour}).Draw(t, "deadline")),
			})
			// One weight for each workspace, because the queue forgets the
			// weight of an idle one.
			weight := map[pwrequest.WorkspaceID]float64{"a": 1, "b": 1, "c": 2, "d": 4}[r.Workspace()]
			err := q.Push(now, r, weight)
			if (err == nil) != n.fits(r) {
				t.Fatalf("push: got %v, naive fits %v", err, n.fits(r))
			}
			if err == nil {
				n.insert(now, now, r, weight, false)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": push,
			// The same again, so that bounds are reached.
			"pushMore": push,
			"pushMost": push,
			"pop": func(t *rapid.T) {
				r, _ := q.Pop(now)
				check("pop", r, n.pop(now, [pwrequest.ClassCount]bool{true, true, true}))
			},
			"popClass": func(t *rapid.T) {
				c := pwrequest.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				r, _ := q.PopClass(now, c)
				var allowed [pwrequest.ClassCount]bool
				allowed[c] = true
				check("popClass", r, n.pop(now, allowed))
			},
			"requeue": func(t *rapid.T) {
				if len(popped) == 0 {
					t.Skip()
				}
				r := popped[len(popped)-1]
				popped = popped[:len(popped)-1]
				c, work := r.Class(), float64(max(cfg.MinCharge, r.MemoryTokens()))
				weight, ok := n.weights[r.Workspace()]
				if q.workspaces[r.Workspace()] == nil || !ok {
					weight = 1
				}
				n.starts[c] = max(n.vtime, n.starts[c]-work/cfg.ClassShares[c]/n.boost(now.Sub(r.AdmittedAt())))
				n.finish[c][r.Workspace()] -= work / weight
				n.insert(now, r.AdmittedAt(), r, weight, true)
				q.Requeue(now, r)
			},
			"cancel": func(t *rapid.T) {
				if len(n.items) == 0 {
					t.Skip()
				}
				it := rapid.SampledFrom(n.items).Draw(t, "item")
				n.remove(it)
				if !q.Cancel(it.r.ID()) || q.Cancel(it.r.ID()) {
					t.Fatalf("cancel %s: want true once", it.r.ID())
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "steps")) * 500 * time.Millisecond)
				late := map[*pwrequest.Request]bool{}
				for _, it := range append([]*item(nil), n.items...) {
					if !now.Before(it.r.Deadline()) {
						late[it.r] = true
						n.remove(it)
					}
				}
				for _, r := range q.Expire(now) {
					if !late[r] {
						t.Fatalf("expire: %s isn't late", r.ID())
					}
					delete(late, r)
				}
				if len(late) > 0 {
					t.Fatalf("expire: %d late requests left", len(late))
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(n.items) {
					t.Fatalf("length %d, naive %d", q.Len(), len(n.items))
				}
				if q.Len() == 0 && (q.WorkspaceCount() != 0 || q.Backlog() != [pwrequest.ClassCount]int64{}) {
					t.Fatalf("an empty queue keeps %d workspaces", q.WorkspaceCount())
				}
			},
		})
	})
}

func benchmarkQueue(b *testing.B, workspaces int) {
	q := New(Config{TotalRequests: 4 * workspaces, TotalTokens: 1 << 40})
	rs := make([]*pwrequest.Request, 0, 2*workspaces)
	for i := range 2 * workspaces {
		rs = append(rs, pwrequest.New(pwrequest.Params{
			ID:           pwrequest.ID(fmt.Sprint("r", i)),
			Workspace:    pwrequest.WorkspaceID(fmt.Sprint("w", i%workspaces)),
			PromptTokens: int64(1000 + i%1000),
			Deadline:     epoch.Add(time.Hour + time.Duration(i)*time.Millisecond),
		}))
		if err := q.Push(epoch, rs[i], 1); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		r, _ := q.Pop(epoch)
		if err := q.Push(epoch, r, 1); err != nil {
			b.Fatal(err)
		}
	}
}

// One operation is a Pop and a Push with two requests waiting per workspace.
func BenchmarkQueue10(b *testing.B)    { benchmarkQueue(b, 10) }
func BenchmarkQueue35000(b *testing.B) { benchmarkQueue(b, 35_000) }
