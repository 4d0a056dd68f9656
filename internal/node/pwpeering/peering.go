// Package pwpeering exchanges the load that each process puts on the backend
// servers, over UDP. A message holds all that its sender has in flight, so that
// a lost message costs nothing but time, and messages that overtake each other
// are told apart by their number.
//
// # Usage
//
//	x := pwpeering.New(pwpeering.Config{Instance: "front-1", Address: "10.1.0.4:7340"}, view, obs)
//	go x.Run(ctx)
//	x.Notify()            // the load changed
//	x.Know("10.2.0.4:7340")
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
	// DefaultHeartbeat repeats the load for peers that lost a message.
	DefaultHeartbeat = 200 * time.Millisecond
	// DefaultPacePerPeer spreads the cost of changes: with more peers messages
	// become rarer.
	DefaultPacePerPeer = 600 * time.Microsecond
	// DefaultExpiry is the silence after which a peer gets messages only with
	// heartbeats, and is forgotten after forgetAfter.
	DefaultExpiry = 3 * time.Second
	forgetAfter   = 60 * time.Second
	maxPeers      = 1024
	maxMessage    = 60 << 10
	maxLoads      = 2000
	maxCrashes    = 32
	maxBudgets    = 64
	magic         = uint32(0x70776c32)
)

// Crash is a backend server that died under a request.
type Crash struct {
	// Fingerprint names the request's path, caller and body.
	Fingerprint uint64
	// Attempt names the attempt.
	Attempt uint64
	// AgeMS is how long ago it was, in milliseconds.
	AgeMS uint32
}

// BudgetUsage is what a process had of a service's requests and repeats lately.
type BudgetUsage struct {
	// Service is a hash of the service's name.
	Service  uint64
	Requests uint32
	Retries  uint32
}

// Message is what a peer says.
type Message struct {
	Loads   []pwfleet.ServerLoad
	Crashes []Crash
	Budgets []BudgetUsage
}

// View is the state that is exchanged.
type View interface {
	// OwnLoads returns what this process has in flight.
	OwnLoads() []pwfleet.ServerLoad
	// OwnBudgets returns what this process had of each service's repeats.
	OwnBudgets() []BudgetUsage
	// OwnCrashes returns the crashes that peers should know.
	OwnCrashes() []Crash
	// MergePeer takes over what a peer has in flight.
	MergePeer(peer string, m Message)
}

// Config configures an Exchange.
type Config struct {
	Instance string
	// Address is the UDP address to listen on, IP:PORT.
	Address     string
	Heartbeat   time.Duration
	PacePerPeer time.Duration
}

type peer struct {
	addr     netip.AddrPort
	heard    time.Time
	sequence uint64
	start    uint64
}

// Exchange sends and receives load messages.
type Exchange struct {
	cfg  Config
	view View
	obs  *pwobserve.Observer
	conn *net.UDPConn
	wake chan struct{}
	// start tells the incarnations of a process apart.
	start uint64

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// New returns an exchange that listens.
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
		cfg:   cfg,
		view:  view,
		obs:   obs,
		conn:  conn,
		wake:  make(chan struct{}, 1),
		start: uint64(time.Now().UnixNano()),
		peers: make(map[netip.AddrPort]*peer),
	}, nil
}

// AddPeer adds a peer by its address.
func (x *Exchange) AddPeer(address string) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || address == x.cfg.Address {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.peers[addr] == nil && len(x.peers) < maxPeers {
		x.peers[addr] = &peer{
			addr:  addr,
			heard: time.Now(),
		}
	}
}

// ActivePeers returns the number of peers that were heard lately.
func (x *Exchange) ActivePeers() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, p := range x.peers {
		if p.sequence > 0 && time.Since(p.heard) < DefaultExpiry {
			n++
		}
	}
	return n
}

// NotifyLoadChanged says that the load has changed.
func (x *Exchange) NotifyLoadChanged() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Run exchanges messages until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		// Closing ends the receiver; nothing is lost with the socket.
		_ = x.conn.Close()
	})
	defer stop()
	done := make(chan struct{})
	go x.loopReceive(ctx, done)
	x.loopSend(ctx)
	<-done
}

func (x *Exchange) loopSend(ctx context.Context) {
	beat := time.NewTicker(x.cfg.Heartbeat)
	defer beat.Stop()
	var sequence uint64
	var buf bytes.Buffer
	for {
		heartbeat := false
		select {
		case <-ctx.Done():
			return
		case <-x.wake:
		case <-beat.C:
			heartbeat = true
		}
		sequence++
		targets := x.targets(heartbeat)
		if len(targets) == 0 {
			continue
		}
		buf.Reset()
		if err := x.encode(&buf, sequence); err != nil {
			x.obs.Warn("encoding a load message", err)
			continue
		}
		for _, addr := range targets {
			// A message that is lost here is repeated with the next heartbeat.
			if _, err := x.conn.WriteToUDPAddrPort(buf.Bytes(), addr); err != nil {
				x.obs.Count("peer_send_errors", 1)
			}
		}
		x.obs.Count("peer_messages_sent", int64(len(targets)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(x.cfg.PacePerPeer * time.Duration(len(targets))):
		}
	}
}

func (x *Exchange) targets(heartbeat bool) []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(x.peers))
	for addr, p := range x.peers {
		silent := time.Since(p.heard)
		if silent > forgetAfter {
			delete(x.peers, addr)
			continue
		}
		if heartbeat || silent < DefaultExpiry {
			out = append(out, addr)
		}
	}
	return out
}

// header is the start of a message.
type header struct {
	Magic    uint32
	Start    uint64
	Sequence uint64
	Name     [64]byte
	Loads    uint16
	Crashes  uint16
	Budgets  uint16
}

// record is the load on one server.
type record struct {
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
		Magic:    magic,
		Start:    x.start,
		Sequence: sequence,
		Loads:    uint16(len(loads)),
		Crashes:  uint16(len(crashes)),
		Budgets:  uint16(len(budgets)),
	}
	copy(h.Name[:], x.cfg.Instance)
	if err := binary.Write(buf, binary.LittleEndian, &h); err != nil {
		return err
	}
	records := make([]record, len(loads))
	for i, l := range loads {
		records[i] = record{
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
	buf := make([]byte, maxMessage)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			x.obs.Warn("receiving load messages", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(x.cfg.Heartbeat):
			}
			continue
		}
		if err := x.receive(buf[:n], from); err != nil {
			x.obs.Count("peer_messages_bad", 1)
		}
	}
}

// receive takes one message over.
func (x *Exchange) receive(raw []byte, from netip.AddrPort) error {
	r := bytes.NewReader(raw)
	var h header
	if err := binary.Read(r, binary.LittleEndian, &h); err != nil {
		return err
	}
	if h.Magic != magic || h.Loads > maxLoads || h.Crashes > maxCrashes || h.Budgets > maxBudgets {
		return errMessage
	}
	records := make([]record, h.Loads)
	if err := binary.Read(r, binary.LittleEndian, records); err != nil {
		return err
	}
	crashes := make([]Crash, h.Crashes)
	if err := binary.Read(r, binary.LittleEndian, crashes); err != nil {
		return err
	}
	budgets := make([]BudgetUsage, h.Budgets)
	if err := binary.Read(r, binary.LittleEndian, budgets); err != nil {
		return err
	}
	if !x.fresh(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &h) {
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
	x.view.MergePeer(string(bytes.TrimRight(h.Name[:], "\x00")), Message{
		Loads:   loads,
		Crashes: crashes,
		Budgets: budgets,
	})
	return nil
}

// fresh notes a message and reports whether it is newer than the last one.
func (x *Exchange) fresh(from netip.AddrPort, h *header) bool {
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
	if h.Start == p.start && h.Sequence <= p.sequence {
		return false
	}
	p.start, p.sequence, p.heard = h.Start, h.Sequence, time.Now()
	return true
}

// MessageBytes returns the size of a message that tells the load on so many servers.
func MessageBytes(loads int) int {
	return binary.Size(header{}) + min(loads, maxLoads)*binary.Size(record{})
}
