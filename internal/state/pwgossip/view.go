package pwgossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// Backoff of peers that do not respond.
const (
	firstPeerBackoff = 500 * time.Millisecond
	maxPeerBackoff   = 15 * time.Second
)

// view is the bounded set of peers with which a process exchanges changes. They
// are chosen from the instance list by rendezvous hashing, half of them in the data
// centre of the process and half in other data centres. If one half has too few
// instances, the other half is larger. The caller of the methods holds Node.mu.
type view struct {
	self     pwinstance.Instance
	size     int
	peers    []pwinstance.Instance
	failures map[pwrequest.InstanceID]peerFailure
	// rank is the position of this process in the order in which the processes of
	// its data centre take the relay role. It is valid when listReadAt is set.
	rank       int
	listReadAt time.Time
}

type peerFailure struct {
	count   int
	retryAt time.Time
}

func newView(o Options) *view {
	return &view{
		self:     o.Self,
		size:     o.ViewSize,
		failures: map[pwrequest.InstanceID]peerFailure{},
	}
}

// score returns the rendezvous hash of parts; the largest score ranks first.
func score(parts ...string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// update chooses the peers and the rank from a new instance list. An instance that
// is listed twice counts as leaving if either record is marked as leaving.
func (v *view) update(list []pwinstance.Instance, now time.Time) {
	leaving := map[pwrequest.InstanceID]bool{}
	for _, i := range list {
		leaving[i.ID] = leaving[i.ID] || i.Leaving
	}
	var local, remote []pwinstance.Instance
	seen := map[pwrequest.InstanceID]bool{v.self.ID: true}
	v.rank = 0
	ownScore := score("relay", string(v.self.DataCentre), string(v.self.ID))
	for _, i := range list {
		if seen[i.ID] || leaving[i.ID] {
			continue
		}
		seen[i.ID] = true
		if i.DataCentre != v.self.DataCentre {
			remote = append(remote, i)
			continue
		}
		local = append(local, i)
		if score("relay", string(i.DataCentre), string(i.ID)) > ownScore {
			v.rank++
		}
	}
	remoteCount := max(v.size/2, v.size-len(local))
	localCount := max(v.size/2, v.size-len(remote))
	v.peers = append(v.highestScored(local, localCount), v.highestScored(remote, remoteCount)...)
	inView := lo.SliceToMap(v.peers, func(i pwinstance.Instance) (pwrequest.InstanceID, bool) { return i.ID, true })
	v.failures = lo.PickBy(v.failures, func(id pwrequest.InstanceID, _ peerFailure) bool { return inView[id] })
	v.listReadAt = now
}

// highestScored returns up to n instances with the largest scores for this process.
func (v *view) highestScored(list []pwinstance.Instance, n int) []pwinstance.Instance {
	type scored struct {
		instance pwinstance.Instance
		score    uint64
	}
	all := lo.Map(list, func(i pwinstance.Instance, _ int) scored {
		return scored{
			instance: i,
			score:    score("view", string(v.self.ID), string(i.ID)),
		}
	})
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	return lo.Map(all[:min(len(all), n)], func(s scored, _ int) pwinstance.Instance { return s.instance })
}

// pick returns up to k random peers. It returns peers in backoff only when all of
// them are.
func (v *view) pick(k int, now time.Time, rng *rand.Rand) []pwinstance.Instance {
	ready := lo.Filter(v.peers, func(i pwinstance.Instance, _ int) bool { return !now.Before(v.failures[i.ID].retryAt) })
	if len(ready) == 0 {
		ready = slices.Clone(v.peers)
	}
	rng.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	return ready[:min(k, len(ready))]
}

// recordResult records whether a peer responded, and starts or extends its
// backoff when it did not.
func (v *view) recordResult(id pwrequest.InstanceID, ok bool, now time.Time, rng *rand.Rand) {
	if ok {
		delete(v.failures, id)
		return
	}
	f := v.failures[id]
	d := min(firstPeerBackoff<<min(f.count, 8), maxPeerBackoff)
	f.count++
	f.retryAt = now.Add(d/2 + time.Duration(rng.Int64N(int64(d))))
	v.failures[id] = f
}
