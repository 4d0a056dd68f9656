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

// Times and bounds of the loops.
const (
	// hurryInterval is the time between comparisons while contact is missing
	// but the process is not isolated yet.
	hurryInterval = 100 * time.Millisecond
	// compareTries bounds the peers tried in one comparison.
	compareTries = 3
	// hedgeDelay is the wait for an answer before the next peer is tried too.
	// Waiting for the timeouts of random peers that a partition has cut off
	// made processes isolated that still reached their own data centre; see
	// also spread. Each of the two measures is enough in the partition script.
	hedgeDelay = 200 * time.Millisecond
	// maxComparing bounds concurrent exchanges of comparisons.
	maxComparing = 8
	// listTimeout ends one reading of the instance list.
	listTimeout = 5 * time.Second
	// maxPushing bounds concurrent pushes. Changes that wait are combined.
	maxPushing = 16
	// pushTries bounds the peers tried for one of the FanOut pushes.
	pushTries = 3
	// inlineBytes is the largest value that is pushed without asking first. A
	// process receives about FanOut pushes of each change.
	inlineBytes = 512
)

// seeder reads the instance list.
type seeder struct {
	node *Node
}

func (s *seeder) loop(ctx context.Context) {
	n := s.node
	delay := n.opts.RelayInterval
	for {
		err := s.read(ctx)
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

func (s *seeder) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := s.node.opts.Instances.Instances(ctx)
	if err != nil {
		return err // The last list stays in use.
	}
	if len(list) == 0 {
		return pwverdict.New(pwverdict.Ran, pwverdict.CauseUnavailable, "instance list is empty")
	}
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.node.view.update(list, time.Now())
	return nil
}

// comparer compares digests with one random peer at a time.
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

// interval is short from the second missed comparison until the process is
// isolated, and after its start.
func (c *comparer) interval(now time.Time) time.Duration {
	n := c.node
	since := now.Sub(time.Unix(0, max(n.lastContact.Load(), n.started.Load())))
	missed := n.lastContact.Load() == 0 || since > 2*n.opts.CompareInterval
	if missed && since < n.opts.IsolationAfter {
		return hurryInterval
	}
	return n.opts.CompareInterval
}

// compare tries one peer, and further ones when it fails or is slow.
func (c *comparer) compare(ctx context.Context) {
	done := make(chan error, compareTries)
	for _, to := range c.node.spread(compareTries) {
		select {
		case c.slots <- struct{}{}:
		default:
			return // Earlier exchanges still run.
		}
		x := &comparison{
			comparer: c,
			to:       to,
			done:     done,
		}
		c.wg.Go(func() { x.run(ctx) })
		select {
		case err := <-done:
			if err == nil {
				return
			}
		case <-time.After(hedgeDelay):
		case <-ctx.Done():
			return
		}
	}
}

// comparison is the exchange with one of the peers of a comparison.
type comparison struct {
	comparer *comparer
	to       pwinstance.Instance
	done     chan<- error
}

func (x *comparison) run(ctx context.Context) {
	defer func() { <-x.comparer.slots }()
	x.done <- x.comparer.node.reconcile(ctx, x.to)
}

// spread picks k random peers, the second one from the other side (this data
// centre or the rest) than the first, if there is one.
func (n *Node) spread(k int) []pwinstance.Instance {
	peers := n.pick(n.opts.ViewSize)
	if len(peers) == 0 {
		return nil
	}
	near := func(i pwinstance.Instance) bool { return i.DataCentre == n.opts.Self.DataCentre }
	for i := 1; i < len(peers); i++ {
		if near(peers[i]) != near(peers[0]) {
			peers[1], peers[i] = peers[i], peers[1]
			break
		}
	}
	return peers[:min(k, len(peers))]
}

func (n *Node) pick(k int) []pwinstance.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.pick(k, time.Now(), n.rng)
}

// pusher sends new changes to random peers at once.
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
		slots:   make(chan struct{}, maxPushing),
		pending: map[string]bool{},
	}
}

// enqueue adds keys whose newest changes shall be pushed. There are never
// more than the replica has.
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

// take removes up to maxPushKeys pending keys and returns their changes.
func (p *pusher) take() []pwchange.Change {
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
		for changes := p.take(); len(changes) > 0; changes = p.take() {
			peers := p.node.pick(p.node.opts.FanOut * pushTries)
			for i := range min(p.node.opts.FanOut, len(peers)) {
				select {
				case p.slots <- struct{}{}:
				case <-ctx.Done():
					return
				}
				s := &push{
					pusher:  p,
					changes: changes,
					// The first FanOut peers are tried first; the others are
					// replacements for those that do not answer.
					peers: lo.Filter(peers, func(_ pwinstance.Instance, j int) bool { return j%p.node.opts.FanOut == i }),
				}
				wg.Go(func() { s.run(ctx) })
			}
		}
	}
}

// push is one of the FanOut copies of new changes.
type push struct {
	pusher  *pusher
	changes []pwchange.Change
	peers   []pwinstance.Instance
}

func (s *push) run(ctx context.Context) {
	defer func() { <-s.pusher.slots }()
	for _, to := range s.peers {
		if s.send(ctx, to) == nil || ctx.Err() != nil {
			return
		}
	}
}

// send pushes small values directly, and announces large ones first so that
// they are sent only to peers that lack them.
func (s *push) send(ctx context.Context, to pwinstance.Instance) error {
	n := s.pusher.node
	small, large := lo.FilterReject(s.changes, func(c pwchange.Change, _ int) bool { return len(c.Value) <= inlineBytes })
	var held *pwchange.SequenceList
	if len(large) > 0 {
		held = announcement(large)
	}
	m, _, err := n.call(ctx, to, small, held)
	if err != nil || len(m.wanted) == 0 {
		return err
	}
	_, _, err = n.call(ctx, to, n.missingAt(m), nil)
	return err
}
