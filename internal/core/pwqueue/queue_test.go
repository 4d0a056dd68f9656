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

// referenceQueue is the model that the queue is compared with. It has no indexes: every
// operation scans all requests, and the finish tags of idle workspaces are kept as long
// as their class has waiting requests.
type referenceQueue struct {
	cfg          Config
	items        []*item
	weights      map[pwrequest.WorkspaceID]float64
	finishTags   [pwrequest.ClassCount]map[pwrequest.WorkspaceID]float64
	virtualTimes [pwrequest.ClassCount]float64
	startTags    [pwrequest.ClassCount]float64
	virtualTime  float64
	seq          uint64
}

// head returns the request of a class that is popped next, or nil.
func (n *referenceQueue) head(class pwrequest.Class) *item {
	firsts := map[pwrequest.WorkspaceID]*item{}
	for _, it := range n.items {
		if f := firsts[it.r.Workspace()]; it.r.Class() == class && (f == nil || it.before(f)) {
			firsts[it.r.Workspace()] = it
		}
	}
	var best *item
	var bestStart float64
	for ws, it := range firsts {
		s := max(n.virtualTimes[class], n.finishTags[class][ws])
		if best == nil || s < bestStart || s == bestStart &&
			(it.requeued && !best.requeued || it.requeued == best.requeued && it.seq < best.seq) {
			best, bestStart = it, s
		}
	}
	return best
}

func (n *referenceQueue) insert(now, since time.Time, r *pwrequest.Request, weight float64, requeued bool) {
	c, ws := r.Class(), r.Workspace()
	if n.head(c) == nil {
		n.startTags[c] = max(n.startTags[c], n.virtualTime)
	}
	n.weights[ws] = weight
	n.seq++
	n.items = append(n.items, &item{
		r:            r,
		seq:          n.seq,
		waitingSince: since,
		orderTime:    now.Add(-time.Duration(r.Priority()) * n.cfg.AgeingInterval),
		tokens:       max(n.cfg.MinCharge, r.MemoryTokens()),
		requeued:     requeued,
	})
}

func (n *referenceQueue) fits(r *pwrequest.Request) bool {
	var count int
	var workspaceTokens, totalTokens int64
	for _, it := range n.items {
		totalTokens += it.tokens
		if it.r.Workspace() == r.Workspace() {
			count++
			workspaceTokens += it.tokens
		}
	}
	free, freeTokens, work := n.cfg.TotalRequests-len(n.items), n.cfg.TotalTokens-totalTokens, max(n.cfg.MinCharge, r.MemoryTokens())
	return free >= 1 && freeTokens >= work && count < min(n.cfg.WorkspaceRequests, free) &&
		(count == 0 || workspaceTokens+work <= min(n.cfg.WorkspaceTokens, freeTokens))
}

func (n *referenceQueue) remove(it *item) {
	for i, o := range n.items {
		if o == it {
			n.items = append(n.items[:i:i], n.items[i+1:]...)
		}
	}
	if c := it.r.Class(); n.head(c) == nil {
		n.finishTags[c], n.virtualTimes[c] = map[pwrequest.WorkspaceID]float64{}, 0
	}
	if len(n.items) == 0 {
		n.virtualTime, n.startTags, n.weights = 0, [pwrequest.ClassCount]float64{}, map[pwrequest.WorkspaceID]float64{}
	}
}

func (n *referenceQueue) ageingFactor(d time.Duration) float64 {
	return min(n.cfg.MaxAgeingFactor, 1+max(0, d.Seconds()/n.cfg.AgeingInterval.Seconds()))
}

func (n *referenceQueue) pop(now time.Time, allowed [pwrequest.ClassCount]bool) *pwrequest.Request {
	var best *item
	for c, ok := range allowed {
		if it := n.head(pwrequest.Class(c)); ok && it != nil && (best == nil || n.startTags[c] < n.startTags[best.r.Class()]) {
			best = it
		}
	}
	if best == nil {
		return nil
	}
	c, ws := best.r.Class(), best.r.Workspace()
	n.virtualTime = max(n.virtualTime, n.startTags[c])
	n.startTags[c] += float64(best.tokens) / n.cfg.ClassShares[c] / n.ageingFactor(now.Sub(best.waitingSince))
	for o := range n.startTags {
		if it := n.head(pwrequest.Class(o)); it != nil {
			n.startTags[o] = max(n.startTags[o], n.virtualTime-float64(it.tokens)/n.cfg.ClassShares[o])
		}
	}
	n.virtualTimes[c] = max(n.virtualTimes[c], n.finishTags[c][ws])
	n.finishTags[c][ws] = n.virtualTimes[c] + float64(best.tokens)/n.weights[ws]
	n.remove(best)
	return best.r
}

// TestQueueMatchesReference guards against indexes that lose, repeat or reorder
// requests, compared with the reference queue.
func TestQueueMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			WorkspaceRequests: 8,
			TotalRequests:     12,
			WorkspaceTokens:   700_000,
			TotalTokens:       1_500_000,
		}.withDefaults()
		q := New(cfg)
		reference := &referenceQueue{
			cfg:        cfg,
			weights:    map[pwrequest.WorkspaceID]float64{},
			finishTags: [pwrequest.ClassCount]map[pwrequest.WorkspaceID]float64{{}, {}, {}},
		}
		now := epoch
		var popped []*pwrequest.Request
		check := func(op string, got, want *pwrequest.Request) {
			if got != want {
				t.Fatalf("%s: got %v, reference %v", op, got, want)
			}
			if got != nil {
				popped = append(popped, got)
			}
		}
		push := func(t *rapid.T) {
			r := pwrequest.New(pwrequest.Params{
				ID:           pwrequest.ID(fmt.Sprintf("r%d", reference.seq)),
				Workspace:    pwrequest.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "ws")),
				PromptTokens: rapid.SampledFrom([]int64{0, 1_000, 8_000, 50_000, 250_000}).Draw(t, "prompt"),
				Priority:     rapid.IntRange(0, 1).Draw(t, "priority"),
				AdmittedAt:   now,
				Deadline:     now.Add(rapid.SampledFrom([]time.Duration{3 * time.Second, time.Hour}).Draw(t, "deadline")),
			})
			// The weight of a workspace is constant, because the queue drops the
			// weight of a workspace without requests.
			weight := map[pwrequest.WorkspaceID]float64{"a": 1, "b": 1, "c": 2, "d": 4}[r.Workspace()]
			err := q.Push(now, r, weight)
			if (err == nil) != reference.fits(r) {
				t.Fatalf("push: got error %v, reference admits: %v", err, reference.fits(r))
			}
			if err == nil {
				reference.insert(now, now, r, weight, false)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": push,
			// Further names for push make it more frequent, so that bounds are reached.
			"pushMore": push,
			"pushMost": push,
			"pop": func(t *rapid.T) {
				r, _ := q.Pop(now)
				check("pop", r, reference.pop(now, [pwrequest.ClassCount]bool{true, true, true}))
			},
			"popClass": func(t *rapid.T) {
				c := pwrequest.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				r, _ := q.PopClass(now, c)
				var allowed [pwrequest.ClassCount]bool
				allowed[c] = true
				check("popClass", r, reference.pop(now, allowed))
			},
			"requeue": func(t *rapid.T) {
				if len(popped) == 0 {
					t.Skip()
				}
				r := popped[len(popped)-1]
				popped = popped[:len(popped)-1]
				c, work := r.Class(), float64(max(cfg.MinCharge, r.MemoryTokens()))
				weight, ok := reference.weights[r.Workspace()]
				if q.workspaces[r.Workspace()] == nil || !ok {
					weight = 1
				}
				reference.startTags[c] = max(reference.virtualTime, reference.startTags[c]-work/cfg.ClassShares[c]/reference.ageingFactor(now.Sub(r.AdmittedAt())))
				reference.finishTags[c][r.Workspace()] -= work / weight
				reference.insert(now, r.AdmittedAt(), r, weight, true)
				q.Requeue(now, r)
			},
			"cancel": func(t *rapid.T) {
				if len(reference.items) == 0 {
					t.Skip()
				}
				it := rapid.SampledFrom(reference.items).Draw(t, "item")
				reference.remove(it)
				if !q.Cancel(it.r.ID()) || q.Cancel(it.r.ID()) {
					t.Fatalf("cancel %s: want true once", it.r.ID())
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "steps")) * 500 * time.Millisecond)
				expired := map[*pwrequest.Request]bool{}
				for _, it := range append([]*item(nil), reference.items...) {
					if !now.Before(it.r.Deadline()) {
						expired[it.r] = true
						reference.remove(it)
					}
				}
				for _, r := range q.Expire(now) {
					if !expired[r] {
						t.Fatalf("expire: returned %s before its deadline", r.ID())
					}
					delete(expired, r)
				}
				if len(expired) > 0 {
					t.Fatalf("expire: %d requests past their deadline weren't returned", len(expired))
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(reference.items) {
					t.Fatalf("length %d, reference %d", q.Len(), len(reference.items))
				}
				if q.Len() == 0 && (q.WorkspaceCount() != 0 || q.Backlog() != [pwrequest.ClassCount]int64{}) {
					t.Fatalf("an empty queue keeps a backlog or state, %d workspaces", q.WorkspaceCount())
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

// In the benchmarks, one operation is a Pop and a Push with two requests waiting per
// workspace.
func BenchmarkQueue10(b *testing.B)    { benchmarkQueue(b, 10) }
func BenchmarkQueue35000(b *testing.B) { benchmarkQueue(b, 35_000) }
