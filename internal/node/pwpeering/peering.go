// Package pwpeering exchanges over UDP the load that each process puts on the
// backend servers, and maintains the list of processes in the store. Each message
// holds everything that its sender has in flight, so the next message makes up for a
// lost one. Sequence numbers identify messages that arrive out of order.
//
// # Usage
//
//	x := pwpeering.New(pwpeering.Config{Instance: "front-1", Address: "10.1.0.4:7340"}, view, obs)
//	go x.Run(ctx)
//	x.NotifyLoadChanged()
//	x.AddPeer("10.2.0.4:7340")
package pwpeering

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// Bounds and intervals.
const (
	// DefaultHeartbeat is the interval at which the load is sent even if it has not
	// changed, for peers that missed a message.
	DefaultHeartbeat = 200 * time.Millisecond
	// DefaultPacePerPeer is the pause per recipient after a message. It limits the
	// cost of changes: the more peers there are, the less often messages are sent.
	DefaultPacePerPeer = 600 * time.Microsecond
	// ActiveTimeout is how long after its last message a peer counts as active.
	// Peers that are not active receive only heartbeats.
	ActiveTimeout = 3 * time.Second
	// peerRetention is how long after its last message a peer is removed.
	peerRetention = 60 * time.Second
	maxPeers      = 1024
	// maxMessageBytes is the size of the receive buffer.
	maxMessageBytes = 60 << 10
	maxLoads        = 2000
	maxCrashes      = 32
	maxBudgets      = 64
	// messageMagic is the first field of every message.
	messageMagic = uint32(0x70776c32)
)

// Crash is a crash of a backend server while it processed a request.
type Crash struct {
	// Fingerprint is a hash of the request's path, caller and body.
	Fingerprint uint64
	// Attempt identifies the attempt.
	Attempt uint64
	// AgeMS is how long ago the crash was, in milliseconds.
	AgeMS uint32
}

// BudgetUsage is a process's recent use of the retry budget of a service: its requests
// and retries.
type BudgetUsage struct {
	// Service is a hash of the service's name.
	Service  uint64
	Requests uint32
	Retries  uint32
}

// Message is the decoded content of a load message.
type Message struct {
	Loads   []pwfleet.ServerLoad
	Crashes []Crash
	Budgets []BudgetUsage
}

// View provides the state that this process sends and receives the state of its peers.
type View interface {
	// OwnLoads returns the load that this process has in flight on each server.
	OwnLoads() []pwfleet.ServerLoad
	// OwnBudgets returns this process's recent use of each service's retry budget.
	OwnBudgets() []BudgetUsage
	// OwnCrashes returns the crashes to report to peers.
	OwnCrashes() []Crash
	// MergePeer merges the load, the budget use and the crashes that a peer reported.
	MergePeer(peer string, m Message)
}

// Config configures an Exchange.
type Config struct {
	// Instance is the name of this process.
	Instance string
	// Address is the UDP address to listen on, IP:PORT.
	Address     string
	Heartbeat   time.Duration
	PacePerPeer time.Duration
}

// peer is another process that exchanges load messages with this one.
type peer struct {
	addr        netip.AddrPort
	lastSeen    time.Time
	sequence    uint64
	incarnation uint64
}

// Exchange sends and receives load messages.
type Exchange struct {
	cfg         Config
	view        View
	obs         *pwobserve.Observer
	conn        *net.UDPConn
	loadChanged chan struct{}
	// incarnation is the start time of the process. A new value means that the
	// sequence numbers start again.
	incarnation uint64

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
	return &Exchange{
		cfg:         cfg,
		view:        view,
		obs:         obs,
		conn:        conn,
		loadChanged: make(chan struct{}, 1),
		incarnation: uint64(time.Now().UnixNano()),
		peers:       make(map[netip.AddrPort]*peer),
	}, nil
}

// AddPeer adds a peer, unless the address is invalid or this process's own, or the
// maximum number of peers is reached.
func (x *Exchange) AddPeer(address string) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || address == x.cfg.Address {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.peers[addr] == nil && len(x.peers) < maxPeers {
		x.peers[addr] = &peer{
			addr:     addr,
			lastSeen: time.Now(),
		}
	}
}

// ActivePeers returns the number of peers that sent a message within ActiveTimeout.
func (x *Exchange) ActivePeers() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, p := range x.peers {
		if p.sequence > 0 && time.Since(p.lastSeen) < ActiveTimeout {
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
	var sequence uint64
	var buf bytes.Buffer
	for {
		heartbeat := false
		select {
		case <-ctx.Done():
			return
		case <-x.loadChanged:
		case <-ticker.C:
			heartbeat = true
		}
		sequence++
		recipients := x.recipients(heartbeat)
		if len(recipients) == 0 {
			continue
		}
		buf.Reset()
		if err := x.encode(&buf, sequence); err != nil {
			x.obs.Warn("encoding a load message failed", err)
			continue
		}
		for _, addr := range recipients {
			// A failed send is only counted: the next heartbeat repeats the load.
			if _, err := x.conn.WriteToUDPAddrPort(buf.Bytes(), addr); err != nil {
				x.obs.Count("peer_send_errors", 1)
			}
		}
		x.obs.Count("peer_messages_sent", int64(len(recipients)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(x.cfg.PacePerPeer * time.Duration(len(recipients))):
		}
	}
}

// recipients removes peers whose retention has passed and returns the addresses to
// which the next message is sent.
func (x *Exchange) recipients(heartbeat bool) []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(x.peers))
	for addr, p := range x.peers {
		inactivity := time.Since(p.lastSeen)
		if inactivity > peerRetention {
			delete(x.peers, addr)
			continue
		}
		if heartbeat || inactivity < ActiveTimeout {
			out = append(out, addr)
		}
	}
	return out
}

// header is the fixed-size header of a message. It is followed by the load records,
// the crashes and the budgets, all in little-endian byte order.
type header struct {
	Magic       uint32
	Incarnation uint64
	Sequence    uint64
	Instance    [64]byte
	LoadCount   uint16
	CrashCount  uint16
	BudgetCount uint16
}

// loadRecord is the wire format of the load on one server.
type loadRecord struct {
	Server   uint64
	ReadMS   float32
	Tight    uint16
	Medium   uint16
	Requests uint16
	Memory   uint32
}

func (x *Exchange) encode(buf *bytes.Buffer, sequence uint64) error {
	loads := x.view.OwnLoads()
	loads = loads[:min(len(loads), maxLoads)]
	crashes := x.view.OwnCrashes()
	crashes = crashes[:min(len(crashes), maxCrashes)]
	budgets := x.view.OwnBudgets()
	budgets = budgets[:min(len(budgets), maxBudgets)]
	h := header{
		Magic:       messageMagic,
		Incarnation: x.incarnation,
		Sequence:    sequence,
		LoadCount:   uint16(len(loads)),
		CrashCount:  uint16(len(crashes)),
		BudgetCount: uint16(len(budgets)),
	}
	copy(h.Instance[:], x.cfg.Instance)
	if err := binary.Write(buf, binary.LittleEndian, &h); err != nil {
		return err
	}
	records := make([]loadRecord, len(loads))
	for i, l := range loads {
		records[i] = loadRecord{
			Server:   l.Server,
			ReadMS:   float32(l.PrefillMS),
			Tight:    uint16(l.TightStreams),
			Medium:   uint16(l.MediumStreams),
			Requests: uint16(l.Requests),
			Memory:   uint32(max(0, l.MemoryTokens)),
		}
	}
	if err := binary.Write(buf, binary.LittleEndian, records); err != nil {
		return err
	}
	if err := binary.Write(buf, binary.LittleEndian, crashes); err != nil {
		return err
	}
	return binary.Write(buf, binary.LittleEndian, budgets)
}

func (x *Exchange) loopReceive(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, maxMessageBytes)
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

// handleMessage decodes a message and merges it, unless it is out of date.
func (x *Exchange) handleMessage(raw []byte, from netip.AddrPort) error {
	r := bytes.NewReader(raw)
	var h header
	if err := binary.Read(r, binary.LittleEndian, &h); err != nil {
		return err
	}
	if h.Magic != messageMagic || h.LoadCount > maxLoads || h.CrashCount > maxCrashes || h.BudgetCount > maxBudgets {
		return errMalformedMessage
	}
	records := make([]loadRecord, h.LoadCount)
	if err := binary.Read(r, binary.LittleEndian, records); err != nil {
		return err
	}
	crashes := make([]Crash, h.CrashCount)
	if err := binary.Read(r, binary.LittleEndian, crashes); err != nil {
		return err
	}
	budgets := make([]BudgetUsage, h.BudgetCount)
	if err := binary.Read(r, binary.LittleEndian, budgets); err != nil {
		return err
	}
	if !x.acceptNewer(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &h) {
		return nil
	}
	loads := make([]pwfleet.ServerLoad, len(records))
	for i, rec := range records {
		loads[i] = pwfleet.ServerLoad{
			Server: rec.Server,
			Load: pwfleet.Load{
				PrefillMS:     float64(rec.ReadMS),
				TightStreams:  int(rec.Tight),
				MediumStreams: int(rec.Medium),
				Requests:      int(rec.Requests),
				MemoryTokens:  int64(rec.Memory),
			},
		}
	}
	x.view.MergePeer(string(bytes.TrimRight(h.Instance[:], "\x00")), Message{
		Loads:   loads,
		Crashes: crashes,
		Budgets: budgets,
	})
	return nil
}

// acceptNewer reports whether a message is newer than the last one of its sender, and
// records it if so.
func (x *Exchange) acceptNewer(from netip.AddrPort, h *header) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[from]
	if p == nil {
		if len(x.peers) >= maxPeers {
			return false
		}
		p = &peer{
			addr: from,
		}
		x.peers[from] = p
	}
	if h.Incarnation == p.incarnation && h.Sequence <= p.sequence {
		return false
	}
	p.incarnation, p.sequence, p.lastSeen = h.Incarnation, h.Sequence, time.Now()
	return true
}

// MessageBytes returns the size in bytes of a message with the load on that many
// servers and without crashes and budgets.
func MessageBytes(loads int) int {
	return binary.Size(header{}) + min(loads, maxLoads)*binary.Size(loadRecord{})
}
