package pwpeering

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwoverload"
	"github.com/pomeloweir/pomeloweir/internal/core/pwturn"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// fakeView records the messages that were merged.
type fakeView struct {
	cell       pwcell.Cell
	peers      map[string]bool
	loads      []pwfleet.ServerLoad
	crashes    []Crash
	recalled   []Crash
	limits     []pwfleet.LimitReport
	budgets    []BudgetUsage
	queue      pwturn.Report
	merged     map[string]Message
	mergeCount int
}

func newFakeView() *fakeView {
	return &fakeView{
		cell:   pwcell.Whole(),
		peers:  make(map[string]bool),
		merged: make(map[string]Message),
	}
}

func (v *fakeView) Cell() (pwcell.Cell, map[string]bool) { return v.cell, v.peers }
func (v *fakeView) OwnLoads() []pwfleet.ServerLoad       { return slices.Clone(v.loads) }
func (v *fakeView) OwnQueue() pwturn.Report              { return v.queue }
func (v *fakeView) OwnBudgets() []BudgetUsage            { return v.budgets }
func (v *fakeView) OwnCrashes() []Crash                  { return v.crashes }
func (v *fakeView) RecalledCrashes() []Crash             { return v.recalled }
func (v *fakeView) OwnLimits() []pwfleet.LimitReport     { return v.limits }
func (v *fakeView) MergePeer(peer string, msg Message) {
	v.merged[peer] = msg
	v.mergeCount++
}

// node is an exchange without a socket.
type node struct {
	*Exchange
	view *fakeView
	addr netip.AddrPort
}

// newNodes returns exchanges "front-1" and so on, which list each other and share the
// only cell.
func newNodes(n int) []*node {
	var out []*node
	var list []Peer
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
		v := newFakeView()
		out = append(out, &node{
			Exchange: newExchange(Config{
				Address: addr.String(),
			}, v, pwobserve.Discard()),
			view: v,
			addr: addr,
		})
		list = append(list, Peer{
			Name:    fmt.Sprint("front-", i+1),
			Address: addr.String(),
		})
	}
	for i, x := range out {
		x.SetPeers(list)
		for j, p := range list {
			if i != j {
				x.view.peers[p.Name] = true
			}
		}
	}
	return out
}

// send delivers the messages of one node that are due and returns their total size, once
// for each recipient.
func send(t *testing.T, from *node, heartbeat bool, to ...*node) (size int) {
	t.Helper()
	for _, d := range from.nextDatagrams(heartbeat) {
		size += len(d.raw) * len(d.recipients)
		for _, n := range to {
			if !slices.Contains(d.recipients, n.addr) {
				continue
			}
			if err := n.handleMessage(d.raw, from.addr); err != nil {
				t.Fatal(err)
			}
		}
	}
	return size
}

func load(server string, requests int) pwfleet.ServerLoad {
	return pwfleet.ServerLoad{
		Server: pwfleet.HashServerID(server),
		Load: pwfleet.Load{
			PrefillMS:     140.5,
			TightStreams:  requests,
			MediumStreams: 2,
			Requests:      requests,
			MemoryTokens:  180 << 10,
		},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	synctest.Test(t, testMessageRoundTrip)
}

func testMessageRoundTrip(t *testing.T) {
	nodes := newNodes(2)
	v := nodes[0].view
	v.loads = []pwfleet.ServerLoad{load("e-1", 6)}
	v.limits = []pwfleet.LimitReport{
		{
			Server:    4,
			Stated:    true,
			PerSecond: 1.375,
			StatedAt:  time.Now().Add(-1500 * time.Millisecond),
			Sends:     6,
		},
		{
			Server:   5,
			Stated:   true,
			Lifted:   true,
			StatedAt: time.Now(),
		},
	}
	v.crashes = []Crash{{
		Kind:        ClearedPart,
		Depth:       2,
		Fingerprint: 7,
		Attempt:     8,
		AgeMS:       9,
	}}
	v.budgets = []BudgetUsage{{
		Service:  3,
		Requests: 40,
		Retries:  2,
	}}
	v.queue = pwturn.Report{
		Waiting:   true,
		Rank:      1300 * time.Millisecond,
		PrefillMS: 3200,
	}
	send(t, nodes[0], true, nodes[1])
	got := nodes[1].view.merged["front-1"]
	if !got.Full || got.Queue != v.queue || !slices.Equal(got.Loads, v.loads) || !slices.Equal(got.Crashes, v.crashes) || !slices.Equal(got.Budgets, v.budgets) ||
		!slices.Equal(got.Limits, v.limits) {
		t.Errorf("message is %+v, want all loads %+v, crashes %+v, budgets %+v and limits %+v", got, v.loads, v.crashes, v.budgets, v.limits)
	}
	if nodes[1].ActivePeers() != 1 {
		t.Errorf("%d active peers, want 1", nodes[1].ActivePeers())
	}
}

// Between two messages with all loads, only the servers whose load has changed are sent.
func TestOnlyChangedLoadsAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(2)
		a, b := nodes[0], nodes[1]
		for i := range 30 {
			a.view.loads = append(a.view.loads, load(fmt.Sprint("e-", i), 1))
		}
		send(t, a, true, b)
		send(t, b, true, a)
		send(t, a, true, b) // all loads again, since front-2 was heard for the first time
		a.view.loads[3] = load("e-3", 2)
		a.view.loads = a.view.loads[:29]
		size := send(t, a, false, b)
		got := b.view.merged["front-1"]
		slices.SortFunc(got.Loads, func(a, b pwfleet.ServerLoad) int { return b.Requests - a.Requests })
		want := []pwfleet.ServerLoad{load("e-3", 2), {
			Server: pwfleet.HashServerID("e-29"),
		}}
		if got.Full || !slices.Equal(got.Loads, want) || size != MessageBytes(2) {
			t.Errorf("message of %d bytes is %+v, want %+v", size, got, want)
		}
		if size := send(t, a, false, b); size != 0 {
			t.Errorf("%d bytes are sent without a change", size)
		}
		a.view.queue.Waiting = true
		if size := send(t, a, false, b); size != MessageBytes(0) || !b.view.merged["front-1"].Queue.Waiting {
			t.Errorf("%d bytes are sent when the first prompt has to wait, want %d", size, MessageBytes(0))
		}
		if size := send(t, a, true, b); size != MessageBytes(0) {
			t.Errorf("a heartbeat has %d bytes, want %d", size, MessageBytes(0))
		}
		time.Sleep(fullInterval)
		send(t, a, true, b)
		if got := b.view.merged["front-1"]; !got.Full || len(got.Loads) != 29 {
			t.Errorf("message after %s has %d loads, want all 29", fullInterval, len(got.Loads))
		}
	})
}

// Guards against messages whose number grows with the fleet: recalled crashes and limits
// of engines go to the processes of the own cell only, new crashes and limits of plain
// services to all. New crashes don't crowd out recalled ones.
func TestRecalledCrashesStayInCell(t *testing.T) {
	nodes := newNodes(3)
	a, inCell, other := nodes[0], nodes[1], nodes[2]
	for i, n := range nodes {
		n.view.cell = pwcell.Cell{
			Index: i / 2,
			Count: 2,
		}
	}
	delete(a.view.peers, "front-3")
	a.view.recalled = []Crash{{
		Kind:        StoredPart,
		Depth:       3,
		Fingerprint: 7,
		Attempt:     8,
		AgeMS:       90_000,
	}}
	send(t, a, true, inCell, other)
	if got := inCell.view.merged["front-1"].Crashes; !slices.Equal(got, a.view.recalled) {
		t.Errorf("the peer in the cell got %+v", got)
	}
	if other.view.mergeCount != 0 {
		t.Errorf("the other cell got %+v", other.view.merged)
	}
	a.fullSentAt = time.Time{}
	a.view.limits = []pwfleet.LimitReport{
		{
			Server: 1,
			Sends:  3,
		},
		{
			Server:   2,
			Sends:    4,
			AllCells: true,
		},
	}
	send(t, a, true, inCell, other)
	if got, gotOther := inCell.view.merged["front-1"].Limits, other.view.merged["front-1"].Limits; len(got) != 2 || len(gotOther) != 1 || gotOther[0].Server != 2 {
		t.Errorf("limits %+v, and for the other cell %+v", got, gotOther)
	}
	a.view.crashes = make([]Crash, 2*MaxCrashes)
	send(t, a, true, inCell, other)
	if got := inCell.view.merged["front-1"].Crashes; len(got) != MaxCrashes || got[MaxCrashes-1] != a.view.recalled[0] {
		t.Errorf("the peer in the cell got %+v", got)
	}
	if got := other.view.merged["front-1"].Crashes; len(got) != MaxCrashes || slices.Contains(got, a.view.recalled[0]) {
		t.Errorf("the other cell got %+v", got)
	}
}

// More loads than one message holds are sent in several, all below the usual MTU.
func TestManyLoadsAreSplit(t *testing.T) {
	nodes := newNodes(2)
	a := nodes[0]
	a.view.crashes = make([]Crash, 2*MaxCrashes)
	a.view.budgets = make([]BudgetUsage, 2*maxBudgets)
	a.view.limits = make([]pwfleet.LimitReport, 2*MaxLimits)
	for i := range 3*maxLoads + 1 {
		a.view.loads = append(a.view.loads, load(fmt.Sprint("e-", i), 1))
	}
	loads := 0
	for i, d := range a.nextDatagrams(true) {
		_, m, err := parseMessage(d.raw)
		if err != nil {
			t.Fatal(err)
		}
		if m.Full != (i == 0) || len(d.raw) > 1400 {
			t.Errorf("message %d has %d bytes, full %v", i, len(d.raw), m.Full)
		}
		loads += len(m.Loads)
	}
	if loads != len(a.view.loads) {
		t.Errorf("%d loads were sent, want %d", loads, len(a.view.loads))
	}
}

// deliverEmpty delivers a message without loads.
func deliverEmpty(t *testing.T, from, to *node, incarnation, sequence uint64) {
	t.Helper()
	raw := encodeMessage(envelope{
		incarnation: incarnation,
		sequence:    sequence,
		cell:        pwcell.Whole(),
	}, Message{})
	if err := to.handleMessage(raw, from.addr); err != nil {
		t.Fatal(err)
	}
}

func TestStaleMessagesAreIgnored(t *testing.T) {
	nodes := newNodes(2)
	receiver := nodes[1].view
	deliver := func(incarnation, sequence uint64) { deliverEmpty(t, nodes[0], nodes[1], incarnation, sequence) }
	for _, sequence := range []uint64{5, 5, 4, 6} {
		deliver(1, sequence)
	}
	if receiver.mergeCount != 2 {
		t.Errorf("%d messages merged, want 2", receiver.mergeCount)
	}
	deliver(2, 1) // the peer has restarted, and its sequence numbers start again
	if receiver.mergeCount != 3 {
		t.Errorf("%d messages merged after a restart, want 3", receiver.mergeCount)
	}
	deliver(1, 9) // a message from before the restart, replayed
	if receiver.mergeCount != 3 {
		t.Errorf("%d messages merged after a replay, want 3", receiver.mergeCount)
	}
}

// Guards against a process that its peers never hear again, because the time of day had
// jumped ahead when it started before.
func TestRestartWithEarlierClockIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(2)
		receiver := nodes[1].view
		deliver := func(incarnation, sequence uint64) { deliverEmpty(t, nodes[0], nodes[1], incarnation, sequence) }
		deliver(9, 50)
		for sequence := uint64(1); sequence < 100; sequence++ {
			time.Sleep(DefaultHeartbeat)
			deliver(7, sequence)
		}
		if receiver.mergeCount < 50 {
			t.Errorf("%d of 100 messages merged, want those from %s after the last one of the earlier run", receiver.mergeCount, ActiveTimeout)
		}
		before := receiver.mergeCount
		time.Sleep(ActiveTimeout)
		deliver(7, 20)
		if receiver.mergeCount != before {
			t.Error("a replayed message was merged")
		}
	})
}

// A message from an address that no listed process has is not merged, but triggers a
// reading of the list.
func TestUnknownSenderIsNotMerged(t *testing.T) {
	nodes := newNodes(2)
	receiver := nodes[1]
	reads := 0
	receiver.cfg.OnUnknownSender = func() { reads++ }
	raw := nodes[0].nextDatagrams(true)[0].raw
	if err := receiver.handleMessage(raw, netip.MustParseAddrPort("127.0.0.9:7000")); err != nil {
		t.Fatal(err)
	}
	if receiver.view.mergeCount != 0 || reads != 1 {
		t.Errorf("%d messages merged and %d readings of the list, want 0 and 1", receiver.view.mergeCount, reads)
	}
}

func TestPeersAreBounded(t *testing.T) {
	x := newNodes(1)[0]
	list := []Peer{
		{Name: "invalid", Address: "not an address"},
		{Name: "self", Address: x.cfg.Address},
	}
	for i := range maxPeers + 10 {
		list = append(list, Peer{
			Name:    fmt.Sprint(i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000).String(),
		})
	}
	x.SetPeers(list)
	if len(x.peers) != maxPeers {
		t.Errorf("%d peers, want %d", len(x.peers), maxPeers)
	}
	x.SetPeers(list[:3])
	if len(x.peers) != 1 {
		t.Errorf("%d peers after the list became shorter, want 1", len(x.peers))
	}
}

// A list without a process that is heard may come from a store whose clock has jumped, so
// that all rows look expired.
func TestHeardProcessOutlivesItsRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(2)
		send(t, nodes[1], true, nodes[0])
		nodes[0].SetPeers(nil)
		if n := nodes[0].ActivePeers(); n != 1 {
			t.Errorf("%d active peers after an empty list, want 1", n)
		}
		time.Sleep(ActiveTimeout)
		nodes[0].SetPeers(nil)
		if n := len(nodes[0].peers); n != 0 {
			t.Errorf("%d peers after %s without a message, want none", n, ActiveTimeout)
		}
	})
}

func TestInactivePeersGetOnlyHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(2)
		a, b := nodes[0], nodes[1]
		recipients := func(heartbeat bool) int {
			inCell, _, _ := a.recipients(a.view.cell, a.view.peers, heartbeat)
			return len(inCell)
		}
		if n := recipients(false); n != 0 {
			t.Errorf("%d recipients of a change before the peer was heard, want 0", n)
		}
		send(t, b, true, a)
		if n := recipients(false); n != 1 {
			t.Errorf("%d recipients of a change, want 1", n)
		}
		time.Sleep(ActiveTimeout)
		if n := recipients(false); n != 0 {
			t.Errorf("%d recipients of a change after %s, want 0", n, ActiveTimeout)
		}
		if n := recipients(true); n != 1 {
			t.Errorf("%d recipients of a heartbeat, want 1", n)
		}
	})
}

// Processes tell only those of their own cell about their load, but all about crashes,
// and one that states another cell than the list gives it is believed.
func TestLoadsStayInTheCell(t *testing.T) {
	nodes := newNodes(4)
	for i, n := range nodes {
		n.view.cell = pwcell.Cell{
			Index: i / 2,
			Count: 2,
		}
		n.view.peers = map[string]bool{
			fmt.Sprint("front-", i^1+1): true,
		}
		n.view.loads = []pwfleet.ServerLoad{load("e-1", i+1)}
	}
	send(t, nodes[0], true, nodes...)
	for i, want := range []int{0, 1, 0, 0} {
		if got := nodes[i].view.mergeCount; got != want {
			t.Errorf("%d messages merged by process %d, want %d", got, i+1, want)
		}
	}
	nodes[0].view.crashes = []Crash{{
		Fingerprint: 1,
	}}
	send(t, nodes[0], true, nodes...)
	for _, i := range []int{2, 3} {
		if m := nodes[i].view.merged["front-1"]; len(m.Crashes) != 1 || len(m.Loads) != 0 {
			t.Errorf("process %d of another cell merged %+v, want a crash and no load", i+1, m)
		}
	}
	// A process that knows fewer others than its peers takes the fleet for undivided.
	nodes[2].view.cell = pwcell.Whole()
	nodes[2].view.peers = map[string]bool{
		"front-1": true,
	}
	send(t, nodes[2], true, nodes...)
	send(t, nodes[0], true, nodes...)
	if len(nodes[0].view.merged["front-3"].Loads) != 1 || len(nodes[2].view.merged["front-1"].Loads) != 1 {
		t.Error("processes whose cells overlap have not exchanged their loads")
	}
}

// The bytes that a process sends depend on the size of its cell, not of the fleet.
func TestTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	perMinute := func(processes int) int {
		size := 0
		synctest.Test(t, func(t *testing.T) {
			nodes := newNodes(processes)
			x := nodes[0]
			x.view.cell.Count = max(1, processes/16)
			x.view.peers = make(map[string]bool)
			for i := range 15 {
				x.view.peers[fmt.Sprint("front-", i+2)] = true
			}
			for range 60 {
				for i := range 5 {
					x.view.loads = []pwfleet.ServerLoad{load("e-1", i+1)}
					size += send(t, x, false)
					time.Sleep(DefaultHeartbeat)
					size += send(t, x, true)
				}
			}
		})
		return size
	}
	if small, large := perMinute(16), perMinute(128); large > small {
		t.Errorf("a process sends %d bytes a minute to a fleet of 16, %d to one of 128", small, large)
	}
}

func FuzzMessage(f *testing.F) {
	raw := encodeMessage(envelope{
		incarnation: 1,
		sequence:    1,
		cell:        pwcell.Whole(),
	}, Message{
		Loads:   []pwfleet.ServerLoad{load("e-1", 1)},
		Crashes: make([]Crash, 1),
		Budgets: make([]BudgetUsage, 1),
	})
	f.Add(raw)
	f.Add(raw[:20])
	f.Add(append(raw, 0))
	f.Add([]byte{})
	f.Add(encodeUsage(envelope{
		incarnation: 1,
		sequence:    1,
		cell:        pwcell.Whole(),
	}, 42, make([]pwoverload.Usage, 2)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		nodes := newNodes(2)
		err := nodes[1].handleMessage(raw, nodes[0].addr)
		if err != nil && nodes[1].view.mergeCount != 0 {
			t.Error("a malformed message was merged")
		}
		if err != nil {
			return
		}
		if isUsage(raw) {
			e, service, list, err := parseUsage(raw)
			if err != nil {
				t.Fatal(err)
			}
			if again := encodeUsage(e, service, list); len(again) != len(raw) {
				t.Errorf("a usage message of %d bytes has %d when it is encoded again", len(raw), len(again))
			}
			return
		}
		e, m, err := parseMessage(raw)
		if err != nil {
			t.Fatal(err)
		}
		if again := encodeMessage(e, m); len(again) != len(raw) {
			t.Errorf("a message of %d bytes has %d when it is encoded again", len(raw), len(again))
		}
	})
}
