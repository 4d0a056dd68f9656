// Package pwgossip spreads configuration changes between the processes of a
// deployment. It opens no sockets: the caller passes in a Dialer that reaches
// peers, and passes incoming exchanges to HandleExchange.
//
// # Usage
//
//	node, err := pwgossip.New(pwgossip.Options{
//		Self:      self,
//		Log:       pwchange.NewLog(table),
//		Instances: list,
//		Dialer:    dialer,
//		OnChange:  func(keys []string) { /* read the changes with node.Get */ },
//	})
//	go node.Run(ctx)
//	node.Publish(change) // after pwchange.Log.Apply
//	if node.Isolated() {
//		// refuse new work
//	}
//
// # How a change spreads
//
// The process that accepts a change pushes it to FanOut random peers at once.
// Each process that receives a new change pushes it on once. Large values are
// announced by key hash first and sent only to peers that lack them. Every
// CompareInterval, each process compares digests with one random peer and
// exchanges the changes that differ. The processes with the relay role also
// compare with the head row of the table every RelayInterval.
//
// # Isolation
//
// A process is isolated from its start until its first contact, and whenever it
// had no contact for IsolationAfter. A contact leaves the process up to date with
// the other side. It is either a reading of the table's head, or an exchange with a
// peer, in either direction, after which the process holds everything that the peer
// holds. An unreachable table alone isolates no process: all of them continue to
// serve with the last known state. A group of processes that reach one another but
// nothing else is not isolated either. It cannot be distinguished from an outage of
// the table, and each side of a partition serves with its own backend servers.
//
// # Relay role
//
// The RelaysPerDataCentre processes with the highest rendezvous hashes among the
// listed instances of a data centre read the table. The list lags behind, so a
// listed relay may be dead. Therefore, when the state has not been confirmed for
// takeoverAfter, the next processes in the order of their hashes take the role too,
// one after another, up to rank takeoverRanks. Each of them keeps the role for
// takeoverHold. A process that has never read an instance list has no peers and
// reads the table itself, at a lower rate.
//
// # Repair
//
// The table may come back from an older copy and lack changes that the processes hold.
// A relay that finds such changes writes them again, with sequence numbers above all
// that it knows, so that they replace the lost ones everywhere.
package pwgossip

import (
	"context"
	"math"
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
	// DefaultIsolationAfter leaves one second of the 4 s within which a process
	// must stop sending new work to a data centre that was taken out of service.
	DefaultIsolationAfter = 3 * time.Second
	// DefaultViewSize is the number of peers with which a process exchanges
	// changes. With random views of 32 peers, the probability that a process is
	// in no view at all is 1 in 10^14.
	DefaultViewSize = 32
)

// Peer is the client of another process.
type Peer interface {
	Exchange(ctx context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error)
}

// Dialer returns the client of a listed instance.
type Dialer interface {
	Peer(i pwinstance.Instance) Peer
}

// Instances reads the instance list of the platform.
type Instances interface {
	Instances(ctx context.Context) ([]pwinstance.Instance, error)
}

// ChangeLog is the part of pwchange.Log that processes with the relay role use.
type ChangeLog interface {
	Head(ctx context.Context) (pwchange.Head, error)
	ChangesSince(ctx context.Context, floor uint64) ([]pwchange.Change, error)
	Keys(ctx context.Context, after string) ([]pwchange.KeySequence, error)
	Change(ctx context.Context, sequence uint64) (pwchange.Change, error)
	// Repair writes a change again that the table has lost, with a sequence number greater
	// than known.
	Repair(ctx context.Context, lost pwchange.Change, known uint64) (pwchange.Change, error)
}

// Crashes provides the crash counts that are sent along with exchanges, and merges
// the received ones.
type Crashes interface {
	// Collect returns up to limit counts to send.
	Collect(limit int) []*pwrpc.CrashCount
	// Merge merges counts from a peer that have passed the checks on their size.
	Merge(counts []*pwrpc.CrashCount)
}

// Options configures a node. The numbers and durations that are zero take the
// defaults above.
type Options struct {
	// Self describes this process as the instance list would.
	Self      pwinstance.Instance
	Log       ChangeLog
	Instances Instances
	Dialer    Dialer
	// Crashes may be nil; then no crash counts are exchanged.
	Crashes Crashes
	// OnChange is called with the keys of new changes, never concurrently. It
	// must read the values with Get, so that the last value that it reads is the
	// newest. It must not call Publish or HandleExchange. It may be nil.
	OnChange func(keys []string)
	// Seed makes the random choices repeatable; 0 means a random seed.
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

// Node is the member of the gossip protocol in one process. It is safe for
// concurrent use.
type Node struct {
	opts Options

	mu      sync.Mutex
	replica *pwchange.Replica
	// unapplied holds the keys with changes that were merged, but for which OnChange has
	// not returned yet.
	unapplied map[string]*application
	view      *view
	rng       *rand.Rand

	// notifyMu serialises the calls of OnChange.
	notifyMu sync.Mutex

	pusher     *pusher
	comparer   *comparer
	relay      *relay
	listReader *listReader

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

// Stats holds the counters of a node since its start.
type Stats struct {
	// SentBytes and ReceivedBytes are sizes of encoded messages, without the
	// transport's headers.
	SentBytes     int64
	ReceivedBytes int64
	// Exchanges counts the requests sent, and Failures those without a valid
	// response.
	Exchanges int64
	Failures  int64
	// TableReads counts the calls of the change log, including failed ones.
	TableReads int64
}

// Status describes the connectivity of a node and the age of its state.
type Status struct {
	Instance pwrequest.InstanceID
	Isolated bool
	// LastContactAt is the time of the last contact, or that of the start before the
	// first contact.
	LastContactAt time.Time
	Head          uint64
	Keys          int
	Relay         bool
	Peers         int
	Freshness     pwchange.Freshness
	ListReadAt    time.Time
}

// Age returns how old the state may be at now. ok is false when the state was never
// compared with the table.
func (s Status) Age(now time.Time) (age time.Duration, ok bool) {
	if s.Freshness.ConfirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(s.Freshness.ConfirmedAt)), true
}

// New returns a node. It starts no exchanges before Run is called. Self.ID, Log,
// Instances and Dialer must be set.
func New(opts Options) (*Node, error) {
	if opts.Self.ID == "" || opts.Log == nil || opts.Instances == nil || opts.Dialer == nil {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseInternal, "gossip needs Self.ID, Log, Instances and Dialer")
	}
	opts = opts.withDefaults()
	n := &Node{
		opts:      opts,
		replica:   pwchange.NewReplica(),
		unapplied: make(map[string]*application),
		view:      newView(opts),
		rng:       rand.New(rand.NewPCG(opts.Seed, score(string(opts.Self.ID)))),
	}
	n.pusher = newPusher(n)
	n.comparer = &comparer{
		node:  n,
		slots: make(chan struct{}, maxConcurrentCompares),
	}
	n.relay = &relay{node: n}
	n.listReader = &listReader{node: n}
	return n, nil
}

// Run exchanges changes with peers and the table until the context ends.
func (n *Node) Run(ctx context.Context) {
	n.started.CompareAndSwap(0, time.Now().UnixNano())
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.listReader.loop, n.comparer.loop, n.pusher.loop, n.relay.loop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Publish merges changes that this process has accepted and pushes them to peers
// at once.
func (n *Node) Publish(changes ...pwchange.Change) {
	n.mergeChanges(changes)
}

// Get returns the newest known change of a key.
func (n *Node) Get(key string) (pwchange.Change, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Get(key)
}

// application is the state of a key while OnChange applies changes of it.
type application struct {
	// applied is the sequence number of the newest change that has been applied.
	applied uint64
	// calls is the number of calls of OnChange that are due or running.
	calls int
}

// InForce reports whether a change of a key, or a newer one, has been applied by OnChange.
func (n *Node) InForce(key string, sequence uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a, ok := n.unapplied[key]; ok {
		return a.applied >= sequence
	}
	c, ok := n.replica.Get(key)
	return ok && c.Sequence >= sequence
}

// changesSince returns the known changes with sequence numbers greater than floor, oldest
// first.
func (n *Node) changesSince(floor uint64) []pwchange.Change {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.ChangesSince(floor, math.MaxInt)
}

// Keys returns the known keys with a prefix, in sorted order.
func (n *Node) Keys(prefix string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Keys(prefix)
}

// Head returns the largest known sequence number.
func (n *Node) Head() uint64 { return n.digest().Head }

// Isolated reports whether this process is isolated as the package comment defines it.
func (n *Node) Isolated() bool {
	lastContact := n.lastContact.Load()
	return lastContact == 0 || time.Since(time.Unix(0, lastContact)) > n.opts.IsolationAfter
}

// Status returns the current status of the node.
func (n *Node) Status() Status {
	isolated := n.Isolated()
	lastContact := n.lastContact.Load()
	if lastContact == 0 {
		lastContact = n.started.Load()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return Status{
		Instance:      n.opts.Self.ID,
		Isolated:      isolated,
		LastContactAt: time.Unix(0, lastContact),
		Head:          n.replica.Digest().Head,
		Keys:          n.replica.Len(),
		Relay:         n.isRelay(time.Now()),
		Peers:         len(n.view.peers),
		Freshness:     n.replica.Freshness(),
		ListReadAt:    n.view.listReadAt,
	}
}

// Stats returns the current values of the counters.
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

// maxPushKeys is the largest number of changes merged at once that are pushed on,
// and the largest number in one push. Only a first synchronisation merges more, and
// then the peers already have the changes.
const maxPushKeys = 16

// mergeChanges merges changes, pushes the new ones on and passes their keys to
// OnChange. It returns the number of new changes.
func (n *Node) mergeChanges(changes []pwchange.Change) int {
	if len(changes) == 0 {
		return 0
	}
	keys := n.mergeUnapplied(changes)
	if len(keys) == 0 {
		return 0
	}
	if len(keys) <= maxPushKeys {
		n.pusher.enqueue(keys)
	}
	if n.opts.OnChange != nil {
		n.notifyMu.Lock()
		defer n.notifyMu.Unlock()
		reached := n.sequences(keys)
		n.opts.OnChange(keys)
		n.recordApplied(keys, reached)
	}
	return len(keys)
}

// mergeUnapplied merges changes and returns the keys of the new ones, which are unapplied
// until recordApplied is called.
func (n *Node) mergeUnapplied(changes []pwchange.Change) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.opts.OnChange == nil {
		return n.replica.Merge(changes)
	}
	before := make(map[string]uint64, len(changes))
	for _, c := range changes {
		old, _ := n.replica.Get(c.Key)
		before[c.Key] = old.Sequence
	}
	keys := n.replica.Merge(changes)
	for _, key := range keys {
		a, ok := n.unapplied[key]
		if !ok {
			a = &application{
				applied: before[key],
			}
			n.unapplied[key] = a
		}
		a.calls++
	}
	return keys
}

// sequences returns the sequence numbers of the newest changes of keys.
func (n *Node) sequences(keys []string) []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lo.Map(keys, func(key string, _ int) uint64 {
		c, _ := n.replica.Get(key)
		return c.Sequence
	})
}

// recordApplied records that a call of OnChange has applied the changes of keys up to the
// sequence numbers reached, or newer ones.
func (n *Node) recordApplied(keys []string, reached []uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, key := range keys {
		a := n.unapplied[key]
		a.applied = max(a.applied, reached[i])
		if a.calls--; a.calls == 0 {
			delete(n.unapplied, key)
		}
	}
}

// confirm records that, according to the instance by, a replica with the contents
// of d was complete at the given time. The clock of another instance may be ahead,
// so a time in the future is replaced by the current time.
func (n *Node) confirm(d pwchange.Digest, at time.Time, by pwrequest.InstanceID) {
	if now := time.Now(); at.After(now) {
		at = now
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica.Confirm(d, at, string(by))
}

// recordContact records a contact at the current time; see the package comment.
func (n *Node) recordContact() { n.lastContact.Store(time.Now().UnixNano()) }

// jitter returns a random duration between 0.5 d and 1.5 d.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d/2 + time.Duration(n.rng.Int64N(int64(d)))
}

// sleep waits for d, and returns false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
