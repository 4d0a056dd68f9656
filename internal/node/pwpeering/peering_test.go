package pwpeering

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// fakeView records the messages that were merged.
type fakeView struct {
	loads      []pwfleet.ServerLoad
	crashes    []Crash
	budgets    []BudgetUsage
	merged     map[string]Message
	mergeCount int
}

func (m *fakeView) OwnLoads() []pwfleet.ServerLoad { return m.loads }
func (m *fakeView) OwnBudgets() []BudgetUsage      { return m.budgets }
func (m *fakeView) OwnCrashes() []Crash            { return m.crashes }
func (m *fakeView) MergePeer(peer string, msg Message) {
	m.merged[peer] = msg
	m.mergeCount++
}

func newExchange(name string, v View) *Exchange {
	return &Exchange{
		cfg: Config{
			Instance: name,
			Address:  "127.0.0.1:7000",
		},
		view:        v,
		obs:         pwobserve.Discard(),
		loadChanged: make(chan struct{}, 1),
		incarnation: uint64(len(name)),
		peers:       make(map[netip.AddrPort]*peer),
	}
}

var senderAddr = netip.MustParseAddrPort("127.0.0.1:7001")

func encodeMessage(t *testing.T, x *Exchange, sequence uint64) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := x.encode(&buf, sequence); err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(buf.Bytes())
}

func TestMessageRoundTrip(t *testing.T) {
	sender := &fakeView{
		loads: []pwfleet.ServerLoad{{
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
	receiver := &fakeView{
		merged: make(map[string]Message),
	}
	x := newExchange("front-2", receiver)
	if err := x.handleMessage(encodeMessage(t, newExchange("front-1", sender), 1), senderAddr); err != nil {
		t.Fatal(err)
	}
	got := receiver.merged["front-1"]
	if len(got.Loads) != 1 || got.Loads[0] != sender.loads[0] || len(got.Crashes) != 1 || got.Crashes[0] != sender.crashes[0] || len(got.Budgets) != 1 || got.Budgets[0] != sender.budgets[0] {
		t.Errorf("message is %+v, want loads %+v and crashes %+v", got, sender.loads, sender.crashes)
	}
	if x.ActivePeers() != 1 {
		t.Errorf("%d active peers, want 1", x.ActivePeers())
	}
}

func TestStaleMessagesAreIgnored(t *testing.T) {
	receiver := &fakeView{
		merged: make(map[string]Message),
	}
	x := newExchange("front-2", receiver)
	sender := newExchange("front-1", &fakeView{})
	for _, sequence := range []uint64{5, 5, 4, 6} {
		if err := x.handleMessage(encodeMessage(t, sender, sequence), senderAddr); err != nil {
			t.Fatal(err)
		}
	}
	if receiver.mergeCount != 2 {
		t.Errorf("%d messages merged, want 2", receiver.mergeCount)
	}
	sender.incarnation++ // the peer has restarted, and its sequence numbers start again
	if err := x.handleMessage(encodeMessage(t, sender, 1), senderAddr); err != nil || receiver.mergeCount != 3 {
		t.Errorf("%d messages merged with error %v, want 3", receiver.mergeCount, err)
	}
}

func TestPeersAreBounded(t *testing.T) {
	x := newExchange("front-2", &fakeView{
		merged: make(map[string]Message),
	})
	for i := range maxPeers + 10 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
		x.AddPeer(addr.String())
		if err := x.handleMessage(encodeMessage(t, newExchange("front-1", &fakeView{}), 1), addr); err != nil {
			t.Fatal(err)
		}
	}
	x.AddPeer("not an address")
	x.AddPeer(x.cfg.Address)
	if len(x.peers) != maxPeers {
		t.Errorf("%d peers, want %d", len(x.peers), maxPeers)
	}
}

func TestInactivePeersGetOnlyHeartbeats(t *testing.T) {
	x := newExchange("front-2", &fakeView{})
	x.AddPeer(senderAddr.String())
	x.peers[senderAddr].lastSeen = time.Now().Add(-ActiveTimeout)
	if n := len(x.recipients(false)); n != 0 {
		t.Errorf("%d recipients of a change, want 0", n)
	}
	if n := len(x.recipients(true)); n != 1 {
		t.Errorf("%d recipients of a heartbeat, want 1", n)
	}
	x.peers[senderAddr].lastSeen = time.Now().Add(-2 * peerRetention)
	if n := len(x.recipients(true)); n != 0 || len(x.peers) != 0 {
		t.Errorf("%d recipients and %d peers after peerRetention, want none", n, len(x.peers))
	}
}

func FuzzReceive(f *testing.F) {
	var buf bytes.Buffer
	sender := newExchange("front-1", &fakeView{
		loads: []pwfleet.ServerLoad{{
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
		receiver := &fakeView{
			merged: make(map[string]Message),
		}
		err := newExchange("front-2", receiver).handleMessage(raw, senderAddr)
		if err != nil && receiver.mergeCount != 0 {
			t.Error("a malformed message was merged")
		}
	})
}
