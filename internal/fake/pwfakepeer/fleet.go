// Package pwfakepeer runs a fleet of real gossip nodes in one process. The network, the
// instance list and the table are in memory, and a test can inject faults into them. The
// fleet should run in a testing/synctest bubble.
//
// # Usage
//
//	fleet := pwfakepeer.New(pwfakepeer.Options{
//		Nodes: 100,
//		LossRate: 0.05,
//		Seed: 1,
//	})
//	defer fleet.Close()
//	fleet.StartAll()
//	change, err := fleet.ApplyProposal(ctx, 0, proposal)
//	took, ok := fleet.AwaitPropagation(change, 4*time.Second)
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

// One-way latencies between two nodes.
const (
	sameDataCentreLatency  = 200 * time.Microsecond
	crossDataCentreLatency = 1500 * time.Microsecond
)

// tableLatency is the duration of one table call.
const tableLatency = 5 * time.Millisecond

// dataCentres are the data centres of every fleet. Node i is in data centre i modulo
// their number.
var dataCentres = []pwrequest.DataCentre{"hakata", "dazaifu", "kurume"}

// DataCentreCount returns the number of data centres that the nodes of a fleet are
// spread over.
func DataCentreCount() int { return len(dataCentres) }

// Options configures a fleet.
type Options struct {
	// Nodes is the number of nodes.
	Nodes int
	// LossRate is the probability that a message is lost, from 0 to 1. Requests and
	// responses are lost independently.
	LossRate float64
	// Seed initialises the random choices. They are repeatable as long as goroutines run
	// in the same order.
	Seed uint64
}

// Fleet is a set of gossip nodes, numbered from 0. It is safe for concurrent use.
type Fleet struct {
	opts  Options
	table *pwfakeplatform.Table
	log   *pwchange.Log
	wg    sync.WaitGroup

	mu        sync.Mutex
	rng       *rand.Rand
	hosts     []*host
	hostsByID map[pwrequest.InstanceID]*host
	// listedInstances is the content of the instance list. Only StartAll and
	// SyncInstanceList change it, so it can be out of date.
	listedInstances  []pwinstance.Instance
	instanceListDown bool
	violations       []string
}

// host runs one node's process, and keeps the node's identity across restarts. It is the
// node's dialer and its client of the instance list.
type host struct {
	fleet *Fleet
	self  pwinstance.Instance
	// node and cancel are nil while the process is stopped.
	node   *pwgossip.Node
	cancel context.CancelFunc
	// A node that is isolated gets no response from its peers or from the table.
	isolatedFromPeers, isolatedFromTable bool
	// partitioned is true on one side of a network partition. Two nodes with different
	// values can't reach each other.
	partitioned bool
	startCount  int
	// observed holds, by key, the sequence number that the node's subscriber read last
	// since the node's start, and the time of that.
	observed map[string]observation
}

// observation is one read of a key by a node's subscriber.
type observation struct {
	sequence uint64
	readAt   time.Time
}

// New returns a fleet with all nodes stopped.
func New(o Options) *Fleet {
	table := pwfakeplatform.NewTable()
	table.SetLatency(tableLatency)
	f := &Fleet{
		opts:      o,
		table:     table,
		log:       pwchange.NewLog(table),
		rng:       rand.New(rand.NewPCG(o.Seed, 0)),
		hostsByID: map[pwrequest.InstanceID]*host{},
	}
	for i := range o.Nodes {
		f.hosts = append(f.hosts, &host{
			fleet: f,
			self: pwinstance.Instance{
				ID:         pwrequest.InstanceID(fmt.Sprintf("node-%d", i)),
				DataCentre: dataCentres[i%len(dataCentres)],
				Address:    fmt.Sprintf("node-%d", i),
				Role:       pwinstance.RoleAgent,
			},
		})
		f.hostsByID[f.hosts[i].self.ID] = f.hosts[i]
	}
	return f
}

// Table returns the table, on which the caller can inject faults and count calls.
func (f *Fleet) Table() *pwfakeplatform.Table { return f.table }

// Log returns the change log that is stored in the table.
func (f *Fleet) Log() *pwchange.Log { return f.log }

// Len returns the number of nodes, stopped ones included.
func (f *Fleet) Len() int { return len(f.hosts) }

// StartAll starts every node and brings the instance list up to date.
func (f *Fleet) StartAll() {
	for i := range f.hosts {
		f.Start(i)
	}
	f.SyncInstanceList()
}

// Start starts a node with empty state, or restarts it.
func (f *Fleet) Start(i int) {
	f.Stop(i)
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[i]
	h.startCount++
	h.observed = map[string]observation{}
	node, err := pwgossip.New(pwgossip.Options{
		Self:      h.self,
		Log:       pwchange.NewLog(&nodeTable{host: h}),
		Instances: h,
		Dialer:    h,
		OnChange:  h.recordChanges,
		Seed:      f.opts.Seed + uint64(i*1000+h.startCount),
	})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.node, h.cancel = node, cancel
	f.wg.Go(func() { node.Run(ctx) })
}

// Stop ends a node without a notice to its peers. The instance list contains it until
// SyncInstanceList.
func (f *Fleet) Stop(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[i]
	if h.cancel != nil {
		h.cancel()
	}
	h.node, h.cancel = nil, nil
}

// Close stops all nodes and waits until they have ended.
func (f *Fleet) Close() {
	for i := range f.hosts {
		f.Stop(i)
	}
	f.wg.Wait()
}

// SyncInstanceList updates the instance list to the running nodes.
func (f *Fleet) SyncInstanceList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listedInstances = nil
	for _, h := range f.hosts {
		if h.node != nil {
			f.listedInstances = append(f.listedInstances, h.self)
		}
	}
}

// SetInstanceListDown makes reads of the instance list fail, or succeed again.
func (f *Fleet) SetInstanceListDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instanceListDown = down
}

// SetIsolation disconnects a node from its peers, from the table, or from both. A false
// argument connects it again.
func (f *Fleet) SetIsolation(i int, fromPeers, fromTable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[i].isolatedFromPeers, f.hosts[i].isolatedFromTable = fromPeers, fromTable
}

// SetPartition disconnects the nodes of a data centre from all other nodes and from the
// table, but not from one another, or connects them again.
func (f *Fleet) SetPartition(dc int, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, h := range f.hosts {
		if i%len(dataCentres) == dc {
			h.partitioned, h.isolatedFromTable = partitioned, partitioned
		}
	}
}

// Node returns a node, or nil while it is stopped.
func (f *Fleet) Node(i int) *pwgossip.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[i].node
}

// ApplyProposal writes a proposal to the change log and publishes the change at node i.
func (f *Fleet) ApplyProposal(ctx context.Context, i int, p pwchange.Proposal) (pwchange.Change, error) {
	c, err := f.log.WithKnownSequence(f.Node(i).Head).Apply(ctx, p)
	if err == nil {
		f.Node(i).Publish(c)
	}
	return c, err
}

// SendExchange passes a request to node i as it is. It may be one that only a peer of
// another version sends.
func (f *Fleet) SendExchange(ctx context.Context, i int, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error) {
	return f.Node(i).HandleExchange(ctx, req)
}

// pollInterval is the time between two checks of AwaitPropagation.
const pollInterval = 10 * time.Millisecond

// AwaitPropagation waits until every running node has read change c or a newer change of
// its key. Nodes that are disconnected from both the peers and the table don't count. It
// returns the time until the last node read it, and false if that took longer than limit.
func (f *Fleet) AwaitPropagation(c pwchange.Change, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for {
		missing, lastRead := f.countMissing(c)
		if missing == 0 {
			return max(0, lastRead.Sub(start)), true
		}
		if time.Since(start) > limit {
			return time.Since(start), false
		}
		time.Sleep(pollInterval)
	}
}

// countMissing returns the number of nodes that have not read change c, and the time when
// the last of the other nodes read it.
func (f *Fleet) countMissing(c pwchange.Change) (n int, lastRead time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		switch read := h.observed[c.Key]; {
		case h.node == nil || h.isolatedFromPeers && h.isolatedFromTable:
		case read.sequence < c.Sequence:
			n++
		case read.readAt.After(lastRead):
			lastRead = read.readAt
		}
	}
	return n, lastRead
}

// Violations describes each read in which a node's subscriber got an older change of a
// key than before.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// recordChanges is the node's subscriber. It reads the changed keys and records them.
func (h *host) recordChanges(keys []string) {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.node == nil {
		return
	}
	for _, k := range keys {
		c, _ := h.node.Get(k)
		if previous := h.observed[k]; c.Sequence < previous.sequence {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s went from %d to %d", h.self.ID, k, previous.sequence, c.Sequence))
		}
		h.observed[k] = observation{
			sequence: c.Sequence,
			readAt:   time.Now(),
		}
	}
}

// Instances implements pwgossip.Instances.
func (h *host) Instances(context.Context) ([]pwinstance.Instance, error) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if h.fleet.instanceListDown {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "instance list is down")
	}
	return append([]pwinstance.Instance(nil), h.fleet.listedInstances...), nil
}

// Peer implements pwgossip.Dialer.
func (h *host) Peer(i pwinstance.Instance) pwgossip.Peer {
	return &peerClient{
		sender:   h,
		receiver: i,
	}
}

// peerClient sends exchanges from one node to another.
type peerClient struct {
	sender   *host
	receiver pwinstance.Instance
}

// Exchange sends a request over the network and returns the response. A lost message
// ends in a timeout, and a stopped process refuses the connection.
func (c *peerClient) Exchange(ctx context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error) {
	f := c.sender.fleet
	in := &pwrpc.ExchangeRequest{}
	if err := copyMessage(req, in); err != nil {
		return nil, err
	}
	if err := c.transmit(ctx); err != nil {
		return nil, err
	}
	node := f.runningNode(c.receiver.ID)
	if node == nil {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "connection refused")
	}
	resp, err := node.HandleExchange(ctx, in)
	if err != nil {
		return nil, err
	}
	if err := c.transmit(ctx); err != nil {
		return nil, err
	}
	out := &pwrpc.ExchangeResponse{}
	return out, copyMessage(resp, out)
}

// transmit takes the time that one message needs. If the message is lost, it blocks until
// ctx ends.
func (c *peerClient) transmit(ctx context.Context) error {
	f := c.sender.fleet
	f.mu.Lock()
	receiver := f.hostsByID[c.receiver.ID]
	lost := f.rng.Float64() < f.opts.LossRate || c.sender.isolatedFromPeers || receiver.isolatedFromPeers || c.sender.partitioned != receiver.partitioned
	f.mu.Unlock()
	latency := sameDataCentreLatency
	if c.sender.self.DataCentre != c.receiver.DataCentre {
		latency = crossDataCentreLatency
	}
	if lost {
		<-ctx.Done()
	} else {
		time.Sleep(latency)
	}
	if err := ctx.Err(); err != nil {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "peer did not answer in time")
	}
	return nil
}

// runningNode returns the node of an instance, or nil while it is stopped.
func (f *Fleet) runningNode(id pwrequest.InstanceID) *pwgossip.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hostsByID[id].node
}

// copyMessage copies a message by encoding and decoding it, so that two nodes never share
// memory.
func copyMessage(src, dst proto.Message) error {
	data, err := proto.Marshal(src)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, dst)
}

// nodeTable is one node's client of the table.
type nodeTable struct {
	host *host
}

// checkReachable blocks until ctx ends and returns a timeout error while the node is
// disconnected from the table.
func (t *nodeTable) checkReachable(ctx context.Context) error {
	t.host.fleet.mu.Lock()
	isolated := t.host.isolatedFromTable
	t.host.fleet.mu.Unlock()
	if !isolated {
		return nil
	}
	<-ctx.Done()
	return pwverdict.Wrap(ctx.Err(), pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "table service did not reply in time")
}

// Get implements pwchange.Table.
func (t *nodeTable) Get(ctx context.Context, key string) (pwtable.Row, error) {
	if err := t.checkReachable(ctx); err != nil {
		return pwtable.Row{}, err
	}
	return t.host.fleet.table.Get(ctx, key)
}

// List implements pwchange.Table.
func (t *nodeTable) List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error) {
	if err := t.checkReachable(ctx); err != nil {
		return nil, err
	}
	return t.host.fleet.table.List(ctx, prefix, after, limit)
}

// Commit implements pwchange.Table.
func (t *nodeTable) Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error) {
	if err := t.checkReachable(ctx); err != nil {
		return 0, err
	}
	return t.host.fleet.table.Commit(ctx, writes...)
}
