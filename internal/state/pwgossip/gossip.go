// Package pwgossip spreads configuration changes between the processes of a
// deployment. It has no sockets: the owner passes in a way to reach peers and
// hands incoming exchanges to HandleExchange.
//
// # Usage
//
//	node, err := pwgossip.New(pwgossip.Options{
//		Self:      self,
//		Log:       pwchange.NewLog(table),
//		Instances: list,
//		Dialer:    dialer,
//		OnChange:  func(keys []string) { /* read them with node.Get */ },
//	})
//	go node.Run(ctx)
//	node.Publish(change) // after pwchange.Log.Apply
//	if node.Isolated() {
//		// refuse new work
//	}
//
// # How a change spreads
//
// The accepting process pushes a change to FanOut random peers at once, and
// each process that learns it pushes it on once. Large values are announced
// by key hash first and sent only to peers that lack them. Each process
// compares a digest with one random peer every CompareInterval and exchanges
// what differs. The processes with the relay role also compare with the head
// row of the table every RelayInterval.
//
// # Isolation
//
// A process is isolated when for IsolationAfter it had no contact that left
// it up to date with the other side: neither a reading of the table's head,
// nor an exchange with a peer, in either direction, after which it holds
// everything that this peer holds. It is also isolated from its start until
// the first contact. An unreachable table alone isolates nobody, so serving
// goes on with the last known state. A group of processes that reach one
// another but nothing else is not isolated: it cannot be told from an outage
// of the table, and each side of a partition serves with its own servers.
//
// # Relay role
//
// The RelaysPerDataCentre processes with the highest rendezvous hash among
// the listed instances of a data centre read the table. The list lags, so a
// listed relay may be dead: when the state was not confirmed for
// takeoverAfter, the next processes in the order take part too, one after
// another, up to takeoverRanks and for takeoverHold. A process that never got
// an instance list has no peers and reads the table itself, at a lower rate.
package pwgossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// Defaults of Options.
const (
	DefaultFanOut              = 4
	DefaultCompareInterval     = 500 * time.Millisecond
	DefaultRelayInterval       = time.Second
	DefaultRelaysPerDataCentre = 2
	DefaultListInterval        = 10 * time.Second
	// DefaultIsolationAfter leaves one second of the 4 s within which a
	// process must stop sending new work to a data centre taken out.
	DefaultIsolationAfter = 3 * time.Second
	// DefaultViewSize is the number of peers that a process talks to. With
	// random views of 32 a process in no view at all is one in 10^14.
	DefaultViewSize = 32
)

// Peer is another process.
type Peer interface {
	Exchange(ctx context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error)
}

// Dialer reaches peers.
type Dialer interface {
	Peer(i pwinstance.Instance) Peer
}

// Instances is the platform's instance list.
type Instances interface {
	Instances(ctx context.Context) ([]pwinstance.Instance, error)
}

// ChangeLog is the part of pwchange.Log that the relay role reads.
type ChangeLog interface {
	Head(ctx context.Context) (pwchange.Head, error)
	ChangesSince(ctx context.Context, floor uint64) ([]pwchange.Change, error)
	Keys(ctx context.Context, after string) ([]pwchange.KeySequence, error)
	Change(ctx context.Context, sequence uint64) (pwchange.Change, error)
}

// Crashes carries crash counts along with exchanges.
type Crashes interface {
	// Collect returns up to limit counts that are worth sending.
	Collect(limit int) []*pwrpc.CrashCount
	// Merge takes over counts from a peer. They passed the size checks.
	Merge(counts []*pwrpc.CrashCount)
}

// Options configures a node. Zero values mean the defaults.
type Options struct {
	// Self is this process's line of the instance list.
	Self      pwinstance.Instance
	Log       ChangeLog
	Instances Instances
	Dialer    Dialer
	// Crashes may be nil.
	Crashes Crashes
	// OnChange is called with the keys of new changes, never concurrently. It
	// reads the values with Get, so that it never sees an older one last. It
	// must not call Publish or HandleExchange. It may be nil.
	OnChange func(keys []string)
	// Seed makes the random choices repeatable; 0 takes a random one.
	Seed uint64

	FanOut              int
	CompareInterval     time.Duration
	RelayInterval       time.Duration
	RelaysPerDataCentre int
	ListInterval        time.Duration
	IsolationAfter      time.Duration
	ViewSize            int
}

func (o Options) withDefaults() Options {
	o.Seed = lo.CoalesceOrEmpty(o.Seed, rand.Uint64())
	o.FanOut = lo.CoalesceOrEmpty(o.FanOut, DefaultFanOut)
	o.CompareInterval = lo.CoalesceOrEmpty(o.CompareInterval, DefaultCompareInterval)
	o.RelayInterval = lo.CoalesceOrEmpty(o.RelayInterval, DefaultRelayInterval)
	o.RelaysPerDataCentre = lo.CoalesceOrEmpty(o.RelaysPerDataCentre, DefaultRelaysPerDataCentre)
	o.ListInterval = lo.CoalesceOrEmpty(o.ListInterval, DefaultListInterval)
	o.IsolationAfter = lo.CoalesceOrEmpty(o.IsolationAfter, DefaultIsolationAfter)
	o.ViewSize = lo.CoalesceOrEmpty(o.ViewSize, DefaultViewSize)
	return o
}

// Node is one process's part in the exchange. Its methods may be called
// concurrently.
type Node struct {
	opts Options

	mu      sync.Mutex
	replica *pwchange.Replica
	view    *view
	rng     *rand.Rand

	notify sync.Mutex

	pusher   *pusher
	comparer *comparer
	relay    *relay
	seeder   *seeder

	// started and lastContact are Unix nanoseconds.
	started     atomic.Int64
	lastContact atomic.Int64
	handling    atomic.Int32
	counters    counters
}

type counters struct {
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	exchanges     atomic.Int64
	failures      atomic.Int64
	tableReads    atomic.Int64
}

// Stats counts what a node did since its start.
type Stats struct {
	// SentBytes and ReceivedBytes are sizes of encoded messages, without the
	// transport's headers.
	SentBytes     int64
	ReceivedBytes int64
	// Exchanges counts requests sent, Failures those without an answer.
	Exchanges int64
	Failures  int64
	// TableReads counts calls of the change log, failed ones included.
	TableReads int64
}

// Status tells how a node is connected and how old its state may be.
type Status struct {
	Instance      pwrequest.InstanceID
	Isolated      bool
	LastContactAt time.Time
	Head          uint64
	Keys          int
	Relay         bool
	Peers         int
	Freshness     pwchange.Freshness
	ListReadAt    time.Time
}

// Age returns how old the state may be at a time. ok is false when it was
// never compared with the table.
func (s Status) Age(now time.Time) (age time.Duration, ok bool) {
	if s.Freshness.ConfirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(s.Freshness.ConfirmedAt)), true
}

// New returns a node that does nothing until Run is called.
func New(opts Options) (*Node, error) {
	if opts.Self.ID == "" || opts.Log == nil || opts.Instances == nil || opts.Dialer == nil {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseInternal, "gossip needs Self.ID, Log, Instances and Dialer")
	}
	opts = opts.withDefaults()
	n := &Node{
		opts:    opts,
		replica: pwchange.NewReplica(),
		view:    newView(opts),
		rng:     rand.New(rand.NewPCG(opts.Seed, score(string(opts.Self.ID)))),
	}
	n.pusher = newPusher(n)
	n.comparer = &comparer{
		node:  n,
		slots: make(chan struct{}, maxComparing),
	}
	n.relay = &relay{node: n}
	n.seeder = &seeder{node: n}
	return n, nil
}

// Run exchanges changes until the context ends.
func (n *Node) Run(ctx context.Context) {
	n.started.CompareAndSwap(0, time.Now().UnixNano())
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.seeder.loop, n.comparer.loop, n.pusher.loop, n.relay.loop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Publish takes over changes that this process accepted and pushes them to
// peers at once.
func (n *Node) Publish(changes ...pwchange.Change) {
	n.learn(changes)
}

// Get returns the newest known change of a key.
func (n *Node) Get(key string) (pwchange.Change, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Get(key)
}

// Keys returns the known keys with a prefix, in sorted order.
func (n *Node) Keys(prefix string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Keys(prefix)
}

// Head returns the largest known sequence number.
func (n *Node) Head() uint64 { return n.digest().Head }

// Isolated reports whether this process is cut off; see the package comment.
func (n *Node) Isolated() bool {
	last := n.lastContact.Load()
	return last == 0 || time.Since(time.Unix(0, last)) > n.opts.IsolationAfter
}

// Status returns how the node is connected and how old its state may be.
func (n *Node) Status() Status {
	isolated := n.Isolated()
	last := n.lastContact.Load()
	if last == 0 {
		last = n.started.Load()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return Status{
		Instance:      n.opts.Self.ID,
		Isolated:      isolated,
		LastContactAt: time.Unix(0, last),
		Head:          n.replica.Digest().Head,
		Keys:          n.replica.Len(),
		Relay:         n.isRelay(time.Now()),
		Peers:         len(n.view.peers),
		Freshness:     n.replica.Freshness(),
		ListReadAt:    n.view.readAt,
	}
}

// Stats returns what the node did so far.
func (n *Node) Stats() Stats {
	return Stats{
		SentBytes:     n.counters.sentBytes.Load(),
		ReceivedBytes: n.counters.receivedBytes.Load(),
		Exchanges:     n.counters.exchanges.Load(),
		Failures:      n.counters.failures.Load(),
		TableReads:    n.counters.tableReads.Load(),
	}
}

func (n *Node) digest() pwchange.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Digest()
}

// maxPushKeys is the largest number of changes learned at once that are
// pushed on. More come only from a first synchronisation, where the peers
// have them already.
const maxPushKeys = 16

// learn merges changes, pushes new ones on and tells the subscriber. It
// returns the number of new changes.
func (n *Node) learn(changes []pwchange.Change) int {
	if len(changes) == 0 {
		return 0
	}
	n.mu.Lock()
	keys := n.replica.Merge(changes)
	n.mu.Unlock()
	if len(keys) == 0 {
		return 0
	}
	if len(keys) <= maxPushKeys {
		n.pusher.enqueue(keys)
	}
	if n.opts.OnChange != nil {
		n.notify.Lock()
		defer n.notify.Unlock()
		n.opts.OnChange(keys)
	}
	return len(keys)
}

// confirm records that a replica with the contents of d was complete at a
// time, as far as an instance knows. The clocks of other instances may be
// ahead, so the time is never later than now.
func (n *Node) confirm(d pwchange.Digest, at time.Time, by pwrequest.InstanceID) {
	if now := time.Now(); at.After(now) {
		at = now
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica.Confirm(d, at, string(by))
}

func (n *Node) contact() { n.lastContact.Store(time.Now().UnixNano()) }

// jitter returns a random duration from half of d to one and a half.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d/2 + time.Duration(n.rng.Int64N(int64(d)))
}

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
