// Package pwpeering exchanges over UDP the load that each process puts on the
// backend servers, and maintains the list of processes in the store.
//
// A process tells the processes of its own cell, as pwcell divides them. A message holds
// the servers whose load has changed since the last one; once in fullInterval it holds
// all of them, which makes up for lost messages. Crashes of backend servers go to all
// processes, because their requests come again anywhere, and so do limits that servers of
// undivided services state. Sequence numbers identify messages that arrive out of order.
// Messages of processes that are not listed are not merged.
//
// # Usage
//
//	x := pwpeering.New(pwpeering.Config{Address: "10.1.0.4:7340"}, view, obs)
//	go x.Run(ctx)
//	x.SetPeers([]pwpeering.Peer{{Name: "front-2", Address: "10.2.0.4:7340"}})
//	x.NotifyLoadChanged()
package pwpeering

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwturn"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// Bounds and intervals.
const (
	// DefaultHeartbeat is the interval at which a message is sent even if the load has
	// not changed.
	DefaultHeartbeat = 200 * time.Millisecond
	// DefaultPacePerPeer is the pause per recipient after a message. It limits the
	// cost of changes: the more peers there are, the less often messages are sent.
	DefaultPacePerPeer = 600 * time.Microsecond
	// fullInterval is the interval of messages with the load on all servers.
	fullInterval = time.Second
	// ActiveTimeout is how long after its last message a peer counts as active.
	// Peers that are not active receive only heartbeats.
	ActiveTimeout = 3 * time.Second
	maxPeers      = 1024
)

// View provides the state that this process sends and receives the state of its peers.
type View interface {
	// Cell returns the cell of this process and the names of the other listed processes
	// in it.
	Cell() (own pwcell.Cell, peers map[string]bool)
	// OwnLoads returns the load that this process has in flight on each server.
	OwnLoads() []pwfleet.ServerLoad
	// OwnQueue returns the state of this process's queue.
	OwnQueue() pwturn.Report
	// OwnBudgets returns this process's recent use of each service's retry budget.
	OwnBudgets() []BudgetUsage
	// OwnCrashes returns the crashes to report to all peers, the most urgent first.
	OwnCrashes() []Crash
	// RecalledCrashes returns some older crashes in turn, for processes of the own cell
	// that started, or were cut off, when they were reported.
	RecalledCrashes() []Crash
	// OwnLimits returns the limits that servers state, for the own cell, and for all
	// processes if AllCells is set.
	OwnLimits() []pwfleet.LimitReport
	// MergePeer merges the load, the budget use, the crashes and the limits that a peer
	// reported.
	MergePeer(peer string, m Message)
}

// Config configures an Exchange.
type Config struct {
	// Address is the UDP address to listen on, IP:PORT.
	Address     string
	Heartbeat   time.Duration
	PacePerPeer time.Duration
	// Usage provides the demand of the workspaces; nil means that none is exchanged.
	Usage UsageView
	// OnUnknownSender is called for a message of a process that isn't listed; it may be
	// nil.
	OnUnknownSender func()
}

// Peer is another process that is listed.
type Peer struct {
	Name string
	// Address is its UDP address, IP:PORT.
	Address string
}

// peer is another process that exchanges messages with this one.
type peer struct {
	name        string
	lastSeen    time.Time
	incarnation uint64
	sequence    uint64
	// cell is what the last message of the peer states; it is not valid before the first.
	cell pwcell.Cell
	// needsFull is set until the peer was sent a message with all loads after it was
	// first heard.
	needsFull bool
	// usageIncarnation and usageSequence are those of the last usage message.
	usageIncarnation uint64
	usageSequence    uint64
}

func (p *peer) isActive() bool { return p.sequence > 0 && time.Since(p.lastSeen) < ActiveTimeout }

// Exchange sends and receives load messages.
type Exchange struct {
	cfg         Config
	view        View
	obs         *pwobserve.Observer
	conn        *net.UDPConn
	loadChanged chan struct{}
	incarnation uint64

	// sequence, sentLoads, fullSentAt and sentWaiting belong to loopSend. sentLoads holds
	// the loads that the last messages stated, sentWaiting whether they stated that long
	// prompts wait.
	sequence    uint64
	sentLoads   map[uint64]pwfleet.Load
	fullSentAt  time.Time
	sentWaiting bool
	// usageSentAt and usageSequence are those of the last usage message. They belong to loopSend
	// too. Usage messages have a sequence of their own, so that one that overtakes a load
	// message does not make it out of date.
	usageSentAt   time.Time
	usageSequence uint64

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// New returns an Exchange that listens on the configured address.
func New(cfg Config, view View, obs *pwobserve.Observer) (*Exchange, error) {
	pwdefault.SetUnlessPositive(&cfg.Heartbeat, DefaultHeartbeat)
	pwdefault.SetUnlessPositive(&cfg.PacePerPeer, DefaultPacePerPeer)
	addr, err := net.ResolveUDPAddr("udp4", cfg.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	x := newExchange(cfg, view, obs)
	x.conn = conn
	return x, nil
}

func newExchange(cfg Config, view View, obs *pwobserve.Observer) *Exchange {
	return &Exchange{
		cfg:         cfg,
		view:        view,
		obs:         obs,
		loadChanged: make(chan struct{}, 1),
		incarnation: uint64(time.Now().UnixNano()),
		sentLoads:   make(map[uint64]pwfleet.Load),
		peers:       make(map[netip.AddrPort]*peer),
	}
}

// SetPeers replaces the list of the other processes. It ignores invalid addresses, this
// process's own, and those beyond maxPeers. Processes that are heard stay, although their
// rows may have expired or be unreadable.
func (x *Exchange) SetPeers(list []Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	peers := make(map[netip.AddrPort]*peer, len(list))
	for _, l := range list {
		addr, err := netip.ParseAddrPort(l.Address)
		if err != nil || l.Address == x.cfg.Address || len(peers) >= maxPeers {
			continue
		}
		p := x.peers[addr]
		if p == nil || p.name != l.Name {
			p = &peer{
				name: l.Name,
			}
		}
		peers[addr] = p
	}
	for addr, p := range x.peers {
		if peers[addr] == nil && p.isActive() && len(peers) < maxPeers {
			peers[addr] = p
		}
	}
	x.peers = peers
}

// ActivePeers returns the number of peers that sent a message within ActiveTimeout.
func (x *Exchange) ActivePeers() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, p := range x.peers {
		if p.isActive() {
			n++
		}
	}
	return n
}

// NotifyLoadChanged triggers a message to the active peers. It does not block.
func (x *Exchange) NotifyLoadChanged() {
	select {
	case x.loadChanged <- struct{}{}:
	default:
	}
}

// Run sends and receives messages until ctx is cancelled, and closes the socket.
func (x *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		// Closing the socket unblocks the receive loop. A failed close has no effect.
		_ = x.conn.Close()
	})
	defer stop()
	done := make(chan struct{})
	go x.loopReceive(ctx, done)
	x.loopSend(ctx)
	<-done
}

func (x *Exchange) loopSend(ctx context.Context) {
	ticker := time.NewTicker(x.cfg.Heartbeat)
	defer ticker.Stop()
	for {
		heartbeat := false
		select {
		case <-ctx.Done():
			return
		case <-x.loadChanged:
		case <-ticker.C:
			heartbeat = true
		}
		sent := 0
		for _, d := range x.nextDatagrams(heartbeat) {
			for _, addr := range d.recipients {
				// A failed send is only counted: later messages repeat the load.
				if _, err := x.conn.WriteToUDPAddrPort(d.raw, addr); err != nil {
					x.obs.Count("peer_send_errors", 1)
				}
			}
			sent += len(d.recipients)
		}
		x.obs.Count("peer_messages_sent", int64(sent))
		select {
		case <-ctx.Done():
			return
		case <-time.After(x.cfg.PacePerPeer * time.Duration(sent)):
		}
	}
}

// datagram is an encoded message with the addresses that it is sent to.
type datagram struct {
	raw        []byte
	recipients []netip.AddrPort
}

// nextDatagrams returns the messages that are due: the changed loads for the processes
// of the own cell, as several messages if one can't hold them, and crashes for all
// others.
func (x *Exchange) nextDatagrams(heartbeat bool) []datagram {
	cell, listed := x.view.Cell()
	inCell, others, needsFull := x.recipients(cell, listed, heartbeat)
	m := Message{
		Full:  needsFull || time.Since(x.fullSentAt) >= fullInterval,
		Queue: x.view.OwnQueue(),
	}
	if m.Full {
		x.fullSentAt = time.Now()
		clear(x.sentLoads)
	}
	changed := x.changedLoads()
	var crashes []Crash
	if heartbeat {
		crashes = firstN(x.view.OwnCrashes(), MaxCrashes)
		recalled := firstN(x.view.RecalledCrashes(), MaxCrashes)
		m.Crashes = slices.Concat(firstN(crashes, MaxCrashes-len(recalled)), recalled)
		m.Budgets = firstN(x.view.OwnBudgets(), maxBudgets)
		m.Limits = firstN(x.view.OwnLimits(), MaxLimits)
	}
	if len(changed) == 0 && m.Queue.Waiting == x.sentWaiting && !m.Full && !heartbeat {
		return nil
	}
	x.sentWaiting = m.Queue.Waiting
	var out []datagram
	queue := m.Queue
	var limits []pwfleet.LimitReport
	if m.Full {
		limits = lo.Filter(m.Limits, func(l pwfleet.LimitReport, _ int) bool { return l.AllCells })
	}
	for {
		m.Loads = firstN(changed, maxLoads)
		changed = changed[len(m.Loads):]
		out = append(out, x.newDatagram(cell, m, inCell))
		if len(changed) == 0 {
			break
		}
		m = Message{
			Queue: queue,
		}
	}
	if heartbeat {
		out = append(out, x.usageDatagrams(cell, inCell)...)
	}
	if len(crashes)+len(limits) > 0 && len(others) > 0 {
		out = append(out, x.newDatagram(cell, Message{
			Crashes: crashes,
			Limits:  limits,
		}, others))
	}
	return out
}

func firstN[T any](list []T, n int) []T { return list[:min(len(list), n)] }

func (x *Exchange) newDatagram(cell pwcell.Cell, m Message, recipients []netip.AddrPort) datagram {
	x.sequence++
	return datagram{
		raw: encodeMessage(envelope{
			incarnation: x.incarnation,
			sequence:    x.sequence,
			cell:        cell,
		}, m),
		recipients: recipients,
	}
}

// changedLoads returns the loads that differ from sentLoads, and updates it. A load that
// has ended is returned as zero.
func (x *Exchange) changedLoads() []pwfleet.ServerLoad {
	loads := x.view.OwnLoads()
	var changed []pwfleet.ServerLoad
	current := make(map[uint64]pwfleet.Load, len(loads))
	for _, l := range loads {
		current[l.Server] = l.Load
		if x.sentLoads[l.Server] != l.Load {
			changed = append(changed, l)
		}
	}
	for server := range x.sentLoads {
		if _, ok := current[server]; !ok {
			changed = append(changed, pwfleet.ServerLoad{
				Server: server,
			})
		}
	}
	x.sentLoads = current
	return changed
}

// recipients returns the addresses of the processes of the own cell and, for a
// heartbeat, those of all others. Between heartbeats only active processes get messages.
// A process that states its cell in recent messages is believed; the list decides about
// others. needsFull is set if one of them has to be sent all loads.
func (x *Exchange) recipients(own pwcell.Cell, listed map[string]bool, heartbeat bool) (inCell, others []netip.AddrPort, needsFull bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	inCell = make([]netip.AddrPort, 0, len(listed))
	for addr, p := range x.peers {
		active := p.isActive()
		sharesCell := listed[p.name]
		if active {
			sharesCell = p.cell.Overlaps(own)
		}
		switch {
		case sharesCell && (active || heartbeat):
			inCell = append(inCell, addr)
			needsFull = needsFull || p.needsFull
			p.needsFull = false
		case !sharesCell && heartbeat:
			others = append(others, addr)
		}
	}
	return inCell, others, needsFull
}

func (x *Exchange) loopReceive(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, maxMessageBytes+1)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			x.obs.Warn("receiving a load message failed", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(x.cfg.Heartbeat):
			}
			continue
		}
		if err := x.handleMessage(buf[:n], from); err != nil {
			x.obs.Count("peer_messages_bad", 1)
		}
	}
}

// handleMessage decodes a message and merges it, unless it is out of date or its sender
// isn't listed. Of a process in another cell only the crashes and limits are merged.
func (x *Exchange) handleMessage(raw []byte, from netip.AddrPort) error {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if isUsage(raw) {
		return x.handleUsage(raw, from)
	}
	e, m, err := parseMessage(raw)
	if err != nil {
		return err
	}
	name, ok := x.acceptNewer(from, e)
	if !ok {
		return nil
	}
	if own, _ := x.view.Cell(); !e.cell.Overlaps(own) {
		if len(m.Crashes)+len(m.Limits) == 0 {
			return nil
		}
		x.view.MergePeer(name, Message{
			Crashes: m.Crashes,
			Limits:  m.Limits,
		})
		return nil
	}
	x.view.MergePeer(name, m)
	return nil
}

// acceptNewer returns the name of a message's sender. It returns false if the sender
// isn't listed or if the message isn't newer than the last one.
func (x *Exchange) acceptNewer(from netip.AddrPort, e envelope) (name string, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[from]
	if p == nil {
		x.obs.Count("peer_messages_unknown", 1)
		if x.cfg.OnUnknownSender != nil {
			x.cfg.OnUnknownSender()
		}
		return "", false
	}
	// An incarnation is a start time, so messages of an earlier one are late, unless the
	// peer is silent: it may have started again after its time of day was set back.
	if e.incarnation < p.incarnation && p.isActive() || e.incarnation == p.incarnation && e.sequence <= p.sequence {
		return "", false
	}
	if e.incarnation != p.incarnation || !p.isActive() {
		p.needsFull = true
	}
	p.incarnation, p.sequence, p.cell, p.lastSeen = e.incarnation, e.sequence, e.cell, time.Now()
	return p.name, true
}
