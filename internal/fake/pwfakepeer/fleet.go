// Package pwfakepeer runs a fleet of gossip nodes in one process, with an
// in-memory network and instance list whose faults a test can switch on. It
// is meant for testing/synctest bubbles.
//
// # Usage
//
//	fleet := pwfakepeer.New(pwfakepeer.Options{
//		Nodes: 100,
//		Loss:  0.05,
//		Seed:  1,
//	})
//	defer fleet.Close()
//	fleet.StartAll()
//	change, err := fleet.Accept(ctx, 0, proposal)
//	took, ok := fleet.AwaitEverywhere(change, 4*time.Second)
package pwfakepeer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// One-way latencies of the network.
const (
	nearLatency = 200 * time.Microsecond
	farLatency  = 1500 * time.Microsecond
)

// tableLatency is the time of one table call.
const tableLatency = 5 * time.Millisecond

// dataCentres of the fleet; nodes are spread over them in turn.
var dataCentres = []pwrequest.DataCentre{"hakata", "dazaifu", "kurume"}

// DataCentreCount returns the number of data centres of a fleet.
func DataCentreCount() int { return len(dataCentres) }

// Options configures a fleet.
type Options struct {
	Nodes int
	// LossRate is the share of messages that are lost, from 0 to 1. Requests and
	// responses are lost independently.
	LossRate float64
	// Seed makes random choices repeatable, as far as the order of goroutines
	// allows.
	Seed uint64
}

// Fleet is a set of gossip nodes. Its methods may be called concurrently.
type Fleet struct {
	opts  Options
	table *pwfakeplatform.Table
	log   *pwchange.Log
	wg    sync.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	slots []*slot
	byID  map[pwrequest.InstanceID]*slot
	// list is what the instance list says; it changes only by StartAll and
	// SyncList, so that it lags.
	list       []pwinstance.Instance
	listDown   bool
	violations []string
}

// slot is the place of a node in the fleet, across restarts.
type slot struct {
	fleet *Fleet
	self  pwinstance.Instance
	// node and cancel are nil while the process is stopped.
	node   *pwgossip.Node
	cancel context.CancelFunc
	// noPeers and noTable cut the node off.
	noPeers, noTable bool
	// apart separates the node's side of a partition from the other.
	apart  bool
	starts int
	// seen is the newest sequence number of each key that the node's
	// subscriber read since its start, with the time.
	seen map[string]sighting
}

type sighting struct {
	sequence uint64
	at       time.Time
}

// New returns a fleet with all nodes stopped.
func New(o Options) *Fleet {
	table := pwfakeplatform.NewTable()
	table.SetLatency(tableLatency)
	f := &Fleet{
		opts:  o,
		table: table,
		log:   pwchange.NewLog(table),
		rng:   rand.New(rand.NewPCG(o.Seed, 0)),
		byID:  map[pwrequest.InstanceID]*slot{},
	}
	for i := range o.Nodes {
		f.slots = append(f.slots, &slot{
			fleet: f,
			self: pwinstance.Instance{
				ID:         pwrequest.InstanceID(fmt.Sprintf("node-%d", i)),
				DataCentre: dataCentres[i%len(dataCentres)],
				Address:    fmt.Sprintf("node-%d", i),
				Role:       pwinstance.RoleAgent,
			},
		})
		f.byID[f.slots[i].self.ID] = f.slots[i]
	}
	return f
}

// Table returns the table, to switch on faults and count calls.
func (f *Fleet) Table() *pwfakeplatform.Table { return f.table }

// Log returns the change log in the table.
func (f *Fleet) Log() *pwchange.Log { return f.log }

// Len returns the number of nodes, stopped ones included.
func (f *Fleet) Len() int { return len(f.slots) }

// StartAll starts every node and lists it.
func (f *Fleet) StartAll() {
	for i := range f.slots {
		f.Start(i)
	}
	f.SyncInstanceList()
}

// Start starts a node with empty state, or restarts it.
func (f *Fleet) Start(i int) {
	f.Stop(i)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.slots[i]
	s.starts++
	s.seen = map[string]sighting{}
	node, err := pwgossip.New(pwgossip.Options{
		Self:      s.self,
		Log:       pwchange.NewLog(&tableOf{slot: s}),
		Instances: s,
		Dialer:    s,
		OnChange:  s.observe,
		Seed:      f.opts.Seed + uint64(i*1000+s.starts),
	})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.node, s.cancel = node, cancel
	f.wg.Go(func() { node.Run(ctx) })
}

// Stop ends a node without notice. The instance list keeps it until SyncList.
func (f *Fleet) Stop(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.slots[i]
	if s.cancel != nil {
		s.cancel()
	}
	s.node, s.cancel = nil, nil
}

// Close stops all nodes and waits for them.
func (f *Fleet) Close() {
	for i := range f.slots {
		f.Stop(i)
	}
	f.wg.Wait()
}

// SyncInstanceList brings the instance list up to date.
func (f *Fleet) SyncInstanceList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = nil
	for _, s := range f.slots {
		if s.node != nil {
			f.list = append(f.list, s.self)
		}
	}
}

// SetInstanceListDown makes the instance list fail, or work again.
func (f *Fleet) SetInstanceListDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listDown = down
}

// SetIsolation separates a node from its peers, from the table, or from both.
func (f *Fleet) SetIsolation(i int, peers, table bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slots[i].noPeers, f.slots[i].noTable = peers, table
}

// SetPartition separates the nodes of a data centre from all others and from the
// table, but not from one another; or joins them again.
func (f *Fleet) SetPartition(dc int, apart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, s := range f.slots {
		if i%len(dataCentres) == dc {
			s.apart, s.noTable = apart, apart
		}
	}
}

// Node returns a node, or nil while it is stopped.
func (f *Fleet) Node(i int) *pwgossip.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slots[i].node
}

// ApplyProposal applies a proposal and publishes it at node i.
func (f *Fleet) ApplyProposal(ctx context.Context, i int, p pwchange.Proposal) (pwchange.Change, error) {
	c, err := f.log.Apply(ctx, p)
	if err == nil {
		f.Node(i).Publish(c)
	}
	return c, err
}

// SendExchange delivers a raw request to node i, as a peer of any version could.
func (f *Fleet) SendExchange(ctx context.Context, i int, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error) {
	return f.Node(i).HandleExchange(ctx, req)
}

// awaitStep is how often AwaitEverywhere looks.
const awaitStep = 10 * time.Millisecond

// AwaitPropagation waits until every running node that is not cut off has read
// a change or a newer one of its key, for at most limit. It returns the time
// from now to the last of them.
func (f *Fleet) AwaitPropagation(c pwchange.Change, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for {
		missing, last := f.missing(c)
		if missing == 0 {
			return max(0, last.Sub(start)), true
		}
		if time.Since(start) > limit {
			return time.Since(start), false
		}
		time.Sleep(awaitStep)
	}
}

func (f *Fleet) missing(c pwchange.Change) (n int, last time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.slots {
		switch got := s.seen[c.Key]; {
		case s.node == nil || s.noPeers && s.noTable:
		case got.sequence < c.Sequence:
			n++
		case got.at.After(last):
			last = got.at
		}
	}
	return n, last
}

// Violations lists every time that a node's subscriber read an older change
// after a newer one.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// observe is the subscriber of a node.
func (s *slot) observe(keys []string) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.node == nil {
		return
	}
	for _, k := range keys {
		c, _ := s.node.Get(k)
		if old := s.seen[k]; c.Sequence < old.sequence {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s went from %d to %d", s.self.ID, k, old.sequence, c.Sequence))
		}
		s.seen[k] = sighting{
			sequence: c.Sequence,
			at:       time.Now(),
		}
	}
}

// Instances returns the instance list.
func (s *slot) Instances(context.Context) ([]pwinstance.Instance, error) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.fleet.listDown {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "instance list is down")
	}
	return append([]pwinstance.Instance(nil), s.fleet.list...), nil
}

// Peer returns the way from this node to another one.
func (s *slot) Peer(i pwinstance.Instance) pwgossip.Peer {
	return &link{
		from: s,
		to:   i,
	}
}

type link struct {
	from *slot
	to   pwinstance.Instance
}

// Exchange carries a request over the network. A lost message shows as a
// timeout, a stopped process as a refused connection.
func (l *link) Exchange(ctx context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error) {
	f := l.from.fleet
	in := &pwrpc.ExchangeRequest{}
	if err := copyMessage(req, in); err != nil {
		return nil, err
	}
	if err := l.travel(ctx); err != nil {
		return nil, err
	}
	node := f.reach(l.to.ID)
	if node == nil {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "connection refused")
	}
	resp, err := node.HandleExchange(ctx, in)
	if err != nil {
		return nil, err
	}
	if err := l.travel(ctx); err != nil {
		return nil, err
	}
	out := &pwrpc.ExchangeResponse{}
	return out, copyMessage(resp, out)
}

func (l *link) travel(ctx context.Context) error {
	f := l.from.fleet
	f.mu.Lock()
	to := f.byID[l.to.ID]
	lost := f.rng.Float64() < f.opts.LossRate || l.from.noPeers || to.noPeers || l.from.apart != to.apart
	f.mu.Unlock()
	d := nearLatency
	if l.from.self.DataCentre != l.to.DataCentre {
		d = farLatency
	}
	if lost {
		<-ctx.Done()
	} else {
		time.Sleep(d)
	}
	if err := ctx.Err(); err != nil {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "peer did not answer in time")
	}
	return nil
}

func (f *Fleet) reach(id pwrequest.InstanceID) *pwgossip.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byID[id].node
}

// copyMessage sends a message through its wire format, so that two nodes
// never share memory.
func copyMessage(from, to proto.Message) error {
	data, err := proto.Marshal(from)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, to)
}

// tableOf is the table as one node reaches it.
type tableOf struct {
	slot *slot
}

func (t *tableOf) check(ctx context.Context) error {
	t.slot.fleet.mu.Lock()
	cut := t.slot.noTable
	t.slot.fleet.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return pwverdict.Wrap(ctx.Err(), pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "table service did not reply in time")
}

// Get implements pwchange.Table.
func (t *tableOf) Get(ctx context.Context, key string) (pwtable.Row, error) {
	if err := t.check(ctx); err != nil {
		return pwtable.Row{}, err
	}
	return t.slot.fleet.table.Get(ctx, key)
}

// List implements pwchange.Table.
func (t *tableOf) List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error) {
	if err := t.check(ctx); err != nil {
		return nil, err
	}
	return t.slot.fleet.table.List(ctx, prefix, after, limit)
}

// Commit implements pwchange.Table.
func (t *tableOf) Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error) {
	if err := t.check(ctx); err != nil {
		return 0, err
	}
	return t.slot.fleet.table.Commit(ctx, writes...)
}
