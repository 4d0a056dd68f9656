package pwoverload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandHalfLife is the time after which an offered request counts half. It is
	// shorter than a request holds its slot, so that a workspace that grows is seen
	// before it has taken them all.
	demandHalfLife = 500 * time.Millisecond
	// prefillHalfLife is the same for prefill. Long prompts are few, and the prefill of one may
	// be many times that of another.
	prefillHalfLife = 4 * time.Second
	// maxWorkspaces bounds the workspaces that are kept.
	maxWorkspaces = 1024
	// MaxReported bounds the workspaces of a report.
	MaxReported = 24
	// maxPeers bounds the peers whose reports are kept.
	maxPeers = 1024
	// levelInterval is how often the levels are computed again.
	levelInterval = 100 * time.Millisecond
)

// Usage is what a workspace has lately asked of one process.
type Usage struct {
	// Workspace is a hash of the workspace's name.
	Workspace uint64
	// Requests holds the requests a second of each class.
	Requests [classCount]float64
	// PrefillMS is their prefill, in milliseconds a second.
	PrefillMS float64
}

// demand is what a workspace has lately asked for, as decaying sums.
type demand struct {
	requests  [classCount]float64
	prefillMS float64
	at        time.Time
}

// perSecond and prefillPerSecond turn a decaying sum into a rate.
const (
	perSecond        = math.Ln2 / (float64(demandHalfLife) / float64(time.Second))
	prefillPerSecond = math.Ln2 / (float64(prefillHalfLife) / float64(time.Second))
)

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.at); !d.at.IsZero() && elapsed > 0 {
		f := math.Exp2(-float64(elapsed) / float64(demandHalfLife))
		for i := range d.requests {
			d.requests[i] *= f
		}
		d.prefillMS *= math.Exp2(-float64(elapsed) / float64(prefillHalfLife))
	}
	d.at = now
}

// workspace is a workspace that offers requests to this process.
type workspace struct {
	hash uint64
	demand
	// credit is what the shares of earlier requests of a class add up to, less one for each
	// that was admitted.
	credit [classCount]float64
}

// take admits a request if the shares of its workspace's requests add up to one.
func (w *workspace) take(class Class, share float64) bool {
	credit := &w.credit[min(class, Long)]
	if *credit += share; *credit < 1 {
		return false
	}
	*credit--
	return true
}

type report struct {
	list       []Usage
	receivedAt time.Time
}

// capacity is what the engines can give to all workspaces, and what a request takes of it.
type capacity struct {
	// slots is a number of slots, prefillMS milliseconds of prefill a second.
	slots     float64
	prefillMS float64
	// holdSeconds is how long a request of each class holds its slot.
	holdSeconds [classCount]float64
	processes   int
}

func (c *Controller) capacity(r Room) capacity {
	out := capacity{
		slots:     c.cfg.SlotShare * float64(r.Slots),
		prefillMS: c.cfg.PrefillShare * float64(r.Engines) * 1000,
		processes: r.Processes,
	}
	for class := range out.holdSeconds {
		out.holdSeconds[class] = c.holds[class].ms() / 1000
	}
	return out
}

// usage holds the demand of the workspaces, of this process and of its peers.
type usage struct {
	own     map[uint64]*workspace
	reports map[string]report
	// slotLevel and prefillLevel are the most that a workspace gets of each; total holds
	// the demand of all processes. They are computed at levelsAt.
	slotLevel    float64
	prefillLevel float64
	total        map[uint64]amounts
	levelsAt     time.Time
}

// amounts is a demand in slots and in milliseconds of prefill a second.
type amounts struct {
	slots     float64
	prefillMS float64
}

func newUsage() usage {
	return usage{
		own:     make(map[uint64]*workspace),
		reports: make(map[string]report),
		total:   make(map[uint64]amounts),
	}
}

// offer counts a request. The credit of a new workspace is drawn: many processes would
// otherwise each admit its first request.
func (u *usage) offer(now time.Time, o Offer, draw func() float64) *workspace {
	w := u.own[o.Workspace]
	if w == nil {
		w = &workspace{
			hash: o.Workspace,
			credit: [classCount]float64{
				Short: draw(),
				Long:  draw(),
			},
		}
		if len(u.own) >= maxWorkspaces {
			u.evict(now)
		}
		u.own[o.Workspace] = w
	}
	w.decay(now)
	w.requests[min(o.Class, Long)]++
	w.prefillMS += max(0, o.PrefillMS)
	return w
}

// evict removes the workspaces with the least demand, a quarter of all.
func (u *usage) evict(now time.Time) {
	list := u.byDemand(now)
	for _, w := range list[len(list)*3/4:] {
		delete(u.own, w.hash)
	}
}

// byDemand returns the workspaces of this process, the heaviest first.
func (u *usage) byDemand(now time.Time) []*workspace {
	list := make([]*workspace, 0, len(u.own))
	for _, w := range u.own {
		w.decay(now)
		list = append(list, w)
	}
	weight := func(w *workspace) float64 { return w.requests[Short] + w.requests[Long] + w.prefillMS/1000 }
	slices.SortFunc(list, func(a, b *workspace) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.hash, b.hash))
	})
	return list
}

// Usage returns the demand of the heaviest workspaces, for the other processes.
func (c *Controller) Usage(now time.Time) []Usage {
	list := c.usage.byDemand(now)
	out := make([]Usage, 0, min(len(list), MaxReported))
	for _, w := range list[:min(len(list), MaxReported)] {
		item := Usage{
			Workspace: w.hash,
			PrefillMS: w.prefillMS * prefillPerSecond,
		}
		for class, n := range w.requests {
			item.Requests[class] = n * perSecond
		}
		out = append(out, item)
	}
	return out
}

// MergeUsage replaces the report of a peer. The list must not be changed afterwards.
func (c *Controller) MergeUsage(now time.Time, peer string, list []Usage) {
	if _, known := c.usage.reports[peer]; !known && len(c.usage.reports) >= maxPeers {
		return
	}
	c.usage.reports[peer] = report{
		list:       list[:min(len(list), MaxReported)],
		receivedAt: now,
	}
}

// refresh computes the levels if they are out of date.
func (u *usage) refresh(now time.Time, c capacity, expiry time.Duration) {
	if elapsed := now.Sub(u.levelsAt); u.levelsAt.IsZero() || elapsed < 0 || elapsed >= levelInterval {
		u.computeLevels(now, c, expiry)
	}
}

// exceeds reports whether the demand exceeds the slots or the prefill.
func (u *usage) exceeds(now time.Time, c capacity, expiry time.Duration) bool {
	u.refresh(now, c, expiry)
	return !math.IsInf(u.slotLevel, 1) || !math.IsInf(u.prefillLevel, 1)
}

// share returns which part of a workspace's requests is admitted: of the short ones by its
// slots, of the long ones by its prefill.
func (u *usage) share(now time.Time, w *workspace, o Offer, c capacity, expiry time.Duration) float64 {
	u.refresh(now, c, expiry)
	total, known := u.total[w.hash]
	if !known {
		return 1
	}
	if o.Class == Long {
		return part(u.prefillLevel, total.prefillMS)
	}
	return part(u.slotLevel, total.slots)
}

func part(level, demand float64) float64 {
	if demand <= level {
		return 1
	}
	return level / demand
}

// computeLevels adds up the demand of all processes and divides the capacity. Processes that
// are not heard are taken to be offered as much as the others.
func (u *usage) computeLevels(now time.Time, c capacity, expiry time.Duration) {
	u.levelsAt = now
	clear(u.total)
	for name, r := range u.reports {
		if age := now.Sub(r.receivedAt); age < 0 || age > expiry {
			delete(u.reports, name)
		}
	}
	heardShare := min(1, float64(1+len(u.reports))/float64(max(1, c.processes)))
	for _, w := range u.own {
		w.decay(now)
		requests := w.requests
		for class := range requests {
			requests[class] *= perSecond
		}
		u.add(w.hash, requests, w.prefillMS*prefillPerSecond, c, 1/heardShare)
	}
	for _, r := range u.reports {
		for _, item := range r.list {
			u.add(item.Workspace, item.Requests, item.PrefillMS, c, 1/heardShare)
		}
	}
	slots, prefill := make([]float64, 0, len(u.total)), make([]float64, 0, len(u.total))
	for _, a := range u.total {
		slots = append(slots, a.slots)
		prefill = append(prefill, a.prefillMS)
	}
	u.slotLevel = level(slots, c.slots)
	u.prefillLevel = level(prefill, c.prefillMS)
}

// add adds the demand of one process. What it states beyond the capacity of all engines is
// not believed.
func (u *usage) add(hash uint64, requests [classCount]float64, prefillMS float64, c capacity, scale float64) {
	a, known := u.total[hash]
	if !known && len(u.total) >= maxWorkspaces {
		return
	}
	slots := 0.0
	for class, n := range requests {
		slots += n * c.holdSeconds[class]
	}
	const maxExcess = 32
	a.slots += bounded(slots*scale, maxExcess*c.slots)
	a.prefillMS += bounded(prefillMS*scale, maxExcess*c.prefillMS)
	u.total[hash] = a
}

// bounded returns x within 0 and limit, and 0 for what is no number.
func bounded(x, limit float64) float64 {
	if math.IsNaN(x) {
		return 0
	}
	return max(0, min(limit, x))
}

// level returns the max-min fair level: the demands, each cut to the level, add up to the
// capacity. It is infinite if all demands fit.
func level(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		n := float64(len(demands) - i)
		if d*n >= capacity {
			return max(0, capacity) / n
		}
		capacity -= d
	}
	return math.Inf(1)
}
