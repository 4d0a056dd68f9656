package pwgossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// Durations and bounds of the loops.
const (
	// fastCompareInterval is the interval of comparisons while contact is missing, for
	// up to IsolationAfter. After that the process counts as isolated.
	fastCompareInterval = 100 * time.Millisecond
	// compareTries bounds the peers that are tried in one comparison.
	compareTries = 3
	// hedgeDelay is how long a comparison waits for a response before it tries
	// the next peer as well. Without it, processes that could still reach their
	// own data centre became isolated, because they waited for the timeouts of
	// random peers that a partition had cut off. pickAcrossDataCentres prevents
	// the same fault. Each of the two measures is enough in the partition script.
	hedgeDelay = 200 * time.Millisecond
	// maxConcurrentCompares bounds the concurrent exchanges of comparisons.
	maxConcurrentCompares = 8
	// listTimeout ends one read of the instance list.
	listTimeout = 5 * time.Second
	// maxConcurrentPushes bounds concurrent pushes. Changes that wait for a slot are
	// combined into one push.
	maxConcurrentPushes = 16
	// pushTries bounds the peers that are tried for one of the FanOut pushes.
	pushTries = 3
	// maxInlineBytes is the size of the largest value that is pushed without
	// announcing it first. Larger ones are announced, because a process receives
	// about FanOut pushes of each change.
	maxInlineBytes = 512
)

// listReader reads the instance list periodically.
type listReader struct {
	node *Node
}

func (l *listReader) loop(ctx context.Context) {
	n := l.node
	delay := n.opts.RelayInterval
	for {
		err := l.read(ctx)
		switch {
		case err == nil:
			delay = n.opts.RelayInterval
			if !sleep(ctx, n.jitter(n.opts.ListInterval)) {
				return
			}
		case sleep(ctx, n.jitter(delay)):
			delay = min(2*delay, n.opts.ListInterval)
		default:
			return
		}
	}
}

func (l *listReader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := l.node.opts.Instances.Instances(ctx)
	if err != nil {
		return err // The previous list stays in use.
	}
	if len(list) == 0 {
		return pwverdict.New(pwverdict.Ran, pwverdict.CauseUnavailable, "instance list is empty")
	}
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.node.view.update(list, time.Now())
	return nil
}

// comparer compares digests with a random peer periodically.
type comparer struct {
	node *Node
	// slots bounds concurrent exchanges.
	slots chan struct{}
	wg    sync.WaitGroup
}

func (c *comparer) loop(ctx context.Context) {
	defer c.wg.Wait()
	for sleep(ctx, c.node.jitter(c.interval(time.Now()))) {
		c.compare(ctx)
	}
}

// interval returns the time to the next comparison. It is fastCompareInterval before the
// first contact and from the second missed comparison on, but only within
// IsolationAfter of the start or the last contact.
func (c *comparer) interval(now time.Time) time.Duration {
	n := c.node
	sinceContact := now.Sub(time.Unix(0, max(n.lastContact.Load(), n.started.Load())))
	contactMissed := n.lastContact.Load() == 0 || sinceContact > 2*n.opts.CompareInterval
	if contactMissed && sinceContact < n.opts.IsolationAfter {
		return fastCompareInterval
	}
	return n.opts.CompareInterval
}

// compare reconciles with one random peer, and tries further ones when that peer
// fails or is slow.
func (c *comparer) compare(ctx context.Context) {
	result := make(chan error, compareTries)
	for _, peer := range c.node.pickAcrossDataCentres(compareTries) {
		select {
		case c.slots <- struct{}{}:
		default:
			return // Earlier exchanges occupy all slots.
		}
		x := &comparison{
			comparer: c,
			peer:     peer,
			result:   result,
		}
		c.wg.Go(func() { x.run(ctx) })
		select {
		case err := <-result:
			if err == nil {
				return
			}
		case <-time.After(hedgeDelay):
		case <-ctx.Done():
			return
		}
	}
}

// comparison is the reconciliation with one of the peers that compare tries.
type comparison struct {
	comparer *comparer
	peer     pwinstance.Instance
	result   chan<- error
}

func (x *comparison) run(ctx context.Context) {
	defer func() { <-x.comparer.slots }()
	x.result <- x.comparer.node.reconcile(ctx, x.peer)
}

// pickAcrossDataCentres returns up to k random peers. Of the first two peers, one is
// in the data centre of this process and one in another, if there are such peers.
func (n *Node) pickAcrossDataCentres(k int) []pwinstance.Instance {
	peers := n.pickPeers(n.opts.ViewSize)
	if len(peers) == 0 {
		return nil
	}
	isLocal := func(i pwinstance.Instance) bool { return i.DataCentre == n.opts.Self.DataCentre }
	for i := 1; i < len(peers); i++ {
		if isLocal(peers[i]) != isLocal(peers[0]) {
			peers[1], peers[i] = peers[i], peers[1]
			break
		}
	}
	return peers[:min(k, len(peers))]
}

func (n *Node) pickPeers(k int) []pwinstance.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.pick(k, time.Now(), n.rng)
}

// pusher sends new changes to random peers without delay.
type pusher struct {
	node *Node
	wake chan struct{}
	// slots bounds concurrent pushes.
	slots chan struct{}

	mu      sync.Mutex
	pending map[string]bool
}

func newPusher(n *Node) *pusher {
	return &pusher{
		node:    n,
		wake:    make(chan struct{}, 1),
		slots:   make(chan struct{}, maxConcurrentPushes),
		pending: map[string]bool{},
	}
}

// enqueue adds keys whose newest changes are to be pushed. pending needs no bound
// of its own, because it holds only keys of the replica.
func (p *pusher) enqueue(keys []string) {
	p.mu.Lock()
	for _, k := range keys {
		p.pending[k] = true
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// dequeue removes up to maxPushKeys pending keys and returns their changes.
func (p *pusher) dequeue() []pwchange.Change {
	p.mu.Lock()
	keys := lo.Keys(p.pending)
	slices.Sort(keys)
	keys = keys[:min(len(keys), maxPushKeys)]
	for _, k := range keys {
		delete(p.pending, k)
	}
	p.mu.Unlock()
	return lo.FilterMap(keys, func(k string, _ int) (pwchange.Change, bool) { return p.node.Get(k) })
}

func (p *pusher) loop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		for changes := p.dequeue(); len(changes) > 0; changes = p.dequeue() {
			peers := p.node.pickPeers(p.node.opts.FanOut * pushTries)
			for i := range min(p.node.opts.FanOut, len(peers)) {
				select {
				case p.slots <- struct{}{}:
				case <-ctx.Done():
					return
				}
				s := &push{
					pusher:  p,
					changes: changes,
					// The first FanOut peers are tried first. The others replace
					// peers that do not respond.
					peers: lo.Filter(peers, func(_ pwinstance.Instance, j int) bool { return j%p.node.opts.FanOut == i }),
				}
				wg.Go(func() { s.run(ctx) })
			}
		}
	}
}

// push sends one of the FanOut copies of new changes. It tries the peers in order
// until one responds.
type push struct {
	pusher  *pusher
	changes []pwchange.Change
	peers   []pwinstance.Instance
}

func (p *push) run(ctx context.Context) {
	defer func() { <-p.pusher.slots }()
	for _, peer := range p.peers {
		if p.send(ctx, peer) == nil || ctx.Err() != nil {
			return
		}
	}
}

// send sends small values directly. It announces large ones first, so that they
// are sent only to peers that lack them.
func (p *push) send(ctx context.Context, peer pwinstance.Instance) error {
	n := p.pusher.node
	small, large := lo.FilterReject(p.changes, func(c pwchange.Change, _ int) bool { return len(c.Value) <= maxInlineBytes })
	var held *pwchange.SequenceList
	if len(large) > 0 {
		held = announcement(large)
	}
	m, _, err := n.exchange(ctx, peer, small, held)
	if err != nil || len(m.wanted) == 0 {
		return err
	}
	_, _, err = n.exchange(ctx, peer, n.changesMissingAt(m), nil)
	return err
}
