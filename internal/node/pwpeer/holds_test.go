package pwpeer_test

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"testing"

	"connectrpc.com/connect"

	"github.com/pomeloweir/pomeloweir/internal/node/pwpeer"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// noPeers is a deployment without other processes.
type noPeers struct{}

func (noPeers) Instances(context.Context) ([]pwinstance.Instance, error) {
	return nil, errors.New("no list")
}

func (noPeers) Peer(pwinstance.Instance) pwgossip.Peer { return nil }

// Guards against a process that says that a change is in force while its requests still follow
// the one before: it has merged the change, but is still applying it.
func TestChangeIsInForceOnceApplied(t *testing.T) {
	const key = "service/model"
	applying, applied := make(chan struct{}), make(chan struct{})
	node, err := pwgossip.New(pwgossip.Options{
		Self: pwinstance.Instance{
			ID: "entry-1",
		},
		Log:       pwchange.NewLog(nil),
		Instances: noPeers{},
		Dialer:    noPeers{},
		OnChange: func([]string) {
			applying <- struct{}{}
			<-applied
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &pwpeer.Server{
		Gossip: node,
	}
	requireInForce := func(sequence uint64, want bool, when string) {
		t.Helper()
		resp, err := s.Holds(t.Context(), connect.NewRequest(&pwrpc.HoldsRequest{
			Key:      key,
			Sequence: sequence,
		}))
		if err != nil || resp.Msg.InForce != want {
			t.Errorf("change %d, %s: in force %t, %v; want %t", sequence, when, resp.Msg.InForce, err, want)
		}
	}
	var published sync.WaitGroup
	publish := func(sequence uint64) {
		defer published.Done()
		node.Publish(pwchange.Change{
			Key:      key,
			Sequence: sequence,
		})
	}
	published.Add(2)
	go publish(1)
	<-applying
	requireInForce(1, false, "while it is applied")
	go publish(2)
	// The second change is merged while the first is applied, and may be read with it.
	for c, _ := node.Get(key); c.Sequence < 2; c, _ = node.Get(key) {
		runtime.Gosched()
	}
	applied <- struct{}{}
	<-applying
	requireInForce(2, false, "while it is applied after the first")
	requireInForce(1, true, "while the second is applied")
	applied <- struct{}{}
	published.Wait()
	requireInForce(2, true, "after it was applied")
	requireInForce(3, false, "before it exists")
}
