package pwpeering

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// record of what was merged.
type memory struct {
	own     []pwfleet.ServerLoad
	crashes []Crash
	budgets []BudgetUsage
	merged  map[string]Message
	count   int
}

func (m *memory) OwnLoads() []pwfleet.ServerLoad { return m.own }
func (m *memory) OwnBudgets() []BudgetUsage      { return m.budgets }
func (m *memory) OwnCrashes() []Crash            { return m.crashes }
func (m *memory) MergePeer(peer string, msg Message) {
	m.merged[peer] = msg
	m.count++
}

func newExchange(name string, v View) *Exchange {
	return &Exchange{
		cfg: Config{
			Instance: name,
			Address:  "127.0.0.1:7000",
		},
		view:  v,
		obs:   pwobserve.Discard(),
		wake:  make(chan struct{}, 1),
		start: uint64(len(name)),
		peers: make(map[netip.AddrPort]*peer),
	}
}

var from = netip.MustParseAddrPort("127.0.0.1:7001")

func message(t *testing.T, x *Exchange, sequence uint64) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := x.encode(&buf, sequence); err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(buf.Bytes())
}

func TestLoadsArriveWhole(t *testing.T) {
	sender := &memory{
		own: []pwfleet.ServerLoad{{
			Server: pwfleet.HashServerID("e-1"),
			Load: pwfleet.Load{
				PrefillMS:     140.5,
				TightStreams:  3,
				MediumStreams: 2,
				Requests:      6,
				MemoryTokens:  180_000,
			},
		}},
		crashes: []Crash{{
			Fingerprint: 7,
			Attempt:     8,
			AgeMS:       9,
		}},
		budgets: []BudgetUsage{{
			Service:  3,
			Requests: 40,
			Retries:  2,
		}},
	}
	receiver := &memory{
		merged: make(map[string]Message),
	}
	x := newExchange("front-2", receiver)
	if err := x.receive(message(t, newExchange("front-1", sender), 1), from); err != nil {
		t.Fatal(err)
	}
	got := receiver.merged["front-1"]
	if len(got.Loads) != 1 || got.Loads[0] != sender.own[0] || len(got.Crashes) != 1 || got.Crashes[0] != sender.crashes[0] || len(got.Budgets) != 1 || got.Budgets[0] != sender.budgets[0] {
		t.Errorf("%+v, want %+v and %+v", got, sender.own, sender.crashes)
	}
	if x.ActivePeers() != 1 {
		t.Errorf("%d peers heard", x.ActivePeers())
	}
}

func TestOldMessagesAreIgnored(t *testing.T) {
	receiver := &memory{
		merged: make(map[string]Message),
	}
	x := newExchange("front-2", receiver)
	sender := newExchange("front-1", &memory{})
	for _, sequence := range []uint64{5, 5, 4, 6} {
		if err := x.receive(message(t, sender, sequence), from); err != nil {
			t.Fatal(err)
		}
	}
	if receiver.count != 2 {
		t.Errorf("%d messages taken, want 2", receiver.count)
	}
	sender.start++ // the peer has started again, and counts from the beginning
	if err := x.receive(message(t, sender, 1), from); err != nil || receiver.count != 3 {
		t.Errorf("%d messages taken, %v", receiver.count, err)
	}
}

func TestPeersAreBounded(t *testing.T) {
	x := newExchange("front-2", &memory{
		merged: make(map[string]Message),
	})
	for i := range maxPeers + 10 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
		x.AddPeer(addr.String())
		if err := x.receive(message(t, newExchange("front-1", &memory{}), 1), addr); err != nil {
			t.Fatal(err)
		}
	}
	x.AddPeer("not an address")
	x.AddPeer(x.cfg.Address)
	if len(x.peers) != maxPeers {
		t.Errorf("%d peers, want %d", len(x.peers), maxPeers)
	}
}

func TestSilentPeersGetOnlyHeartbeats(t *testing.T) {
	x := newExchange("front-2", &memory{})
	x.AddPeer(from.String())
	x.peers[from].heard = time.Now().Add(-DefaultExpiry)
	if n := len(x.targets(false)); n != 0 {
		t.Errorf("%d targets for a change", n)
	}
	if n := len(x.targets(true)); n != 1 {
		t.Errorf("%d targets for a heartbeat", n)
	}
	x.peers[from].heard = time.Now().Add(-2 * forgetAfter)
	if n := len(x.targets(true)); n != 0 || len(x.peers) != 0 {
		t.Errorf("%d targets, %d peers after a long silence", n, len(x.peers))
	}
}

func FuzzReceive(f *testing.F) {
	var buf bytes.Buffer
	sender := newExchange("front-1", &memory{
		own: []pwfleet.ServerLoad{{
			Server: 1,
		}},
	})
	if err := sender.encode(&buf, 1); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Add(buf.Bytes()[:20])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		receiver := &memory{
			merged: make(map[string]Message),
		}
		err := newExchange("front-2", receiver).receive(raw, from)
		if err != nil && receiver.count != 0 {
			t.Error("a malformed message was taken over")
		}
	})
}
