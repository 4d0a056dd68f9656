package pwpeering

import (
	"errors"
	"math"
	"slices"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwoverload"
)

const testService = 42

// fakeUsage records the demand that was merged.
type fakeUsage struct {
	own    []pwoverload.Usage
	merged map[string][]pwoverload.Usage
}

func (u *fakeUsage) OwnUsage() (map[uint64][]pwoverload.Usage, bool) {
	return map[uint64][]pwoverload.Usage{
		testService: u.own,
	}, true
}

func (u *fakeUsage) MergeUsage(peer string, service uint64, list []pwoverload.Usage) {
	if service == testService {
		u.merged[peer] = list
	}
}

// The demand of the workspaces must reach the peers, bounded in number and size, and a peer
// that does not know the message must drop it and still merge the loads.
func TestUsageReachesPeersThatKnowIt(t *testing.T) {
	nodes := newNodes(3)
	sender := &fakeUsage{
		own: make([]pwoverload.Usage, pwoverload.MaxReported+5),
	}
	for i := range sender.own {
		sender.own[i].Workspace = uint64(i + 1)
		sender.own[i].Requests[pwoverload.Short] = float64(i)
	}
	sender.own[0].PrefillMS = math.Inf(1)
	receiver := &fakeUsage{
		merged: make(map[string][]pwoverload.Usage),
	}
	nodes[0].cfg.Usage, nodes[1].cfg.Usage = sender, receiver
	nodes[0].view.loads = []pwfleet.ServerLoad{load("e-1", 3)}
	for _, d := range nodes[0].nextDatagrams(true) {
		if isUsage(d.raw) && len(d.raw) > 1400 {
			t.Errorf("a message of %d bytes", len(d.raw))
		}
		for _, to := range nodes[1:] {
			if err := to.handleMessage(d.raw, nodes[0].addr); err != nil {
				t.Error(err)
			}
		}
		if isUsage(d.raw) {
			if _, _, err := parseMessage(d.raw); !errors.Is(err, errMalformedMessage) {
				t.Errorf("an earlier release takes the message for one with loads: %v", err)
			}
			if _, _, _, err := parseUsage(d.raw[:len(d.raw)-1]); !errors.Is(err, errMalformedMessage) {
				t.Errorf("a truncated message is accepted: %v", err)
			}
		}
	}
	// A usage message that overtakes the loads must not make them out of date.
	nodes[0].view.loads = []pwfleet.ServerLoad{load("e-2", 5)}
	overtaken := nodes[0].nextDatagrams(true)
	for _, d := range slices.Backward(overtaken) {
		if err := nodes[1].handleMessage(d.raw, nodes[0].addr); err != nil {
			t.Error(err)
		}
	}
	if !slices.Contains(nodes[1].view.merged["front-1"].Loads, load("e-2", 5)) {
		t.Errorf("the loads that were overtaken are lost: %v", nodes[1].view.merged["front-1"].Loads)
	}
	nodes[0].view.loads = []pwfleet.ServerLoad{load("e-1", 3)}
	send(t, nodes[0], true, nodes[1:]...)
	got := receiver.merged["front-1"]
	if len(got) != pwoverload.MaxReported || got[7].Workspace != 8 || got[7].Requests[pwoverload.Short] != 7 {
		t.Errorf("merged %v", got)
	}
	for _, n := range nodes[1:] {
		if n.view.mergeCount == 0 || !slices.Contains(n.view.merged["front-1"].Loads, load("e-1", 3)) {
			t.Errorf("%s has merged the loads %v", n.addr, n.view.merged["front-1"].Loads)
		}
	}
}
