package pwcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdirectory"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// instancesPerEntry is the number of instances for each entry in a list. It is about
// the ratio of the large size.
const instancesPerEntry = 12

// instanceList returns a list of n instances, of which one in instancesPerEntry is an
// entry and the others are agents.
func instanceList(n int) []pwinstance.Instance {
	list := agentInstances(n, func(i int) string { return fmt.Sprintf("10.20.%d.%d:7400", i/250, i%250) })
	for i := 0; i < n; i += instancesPerEntry {
		list[i] = pwinstance.Instance{
			ID:         entryName(i),
			DataCentre: dataCentreName(i),
			Address:    list[i].Address,
			Role:       pwinstance.RoleEntry,
		}
	}
	return list
}

// unfilteredList is an instance list that is filtered on each call, as the baseline for
// cachedEntries.
type unfilteredList []pwinstance.Instance

// Entries implements pwdirectory.Entries.
func (l unfilteredList) Entries() []pwinstance.Instance {
	var out []pwinstance.Instance
	for _, i := range l {
		if i.Role == pwinstance.RoleEntry {
			out = append(out, i)
		}
	}
	return out
}

// cachedEntries is a list of entries that was filtered once, as in the instance cache of
// an entry process.
type cachedEntries []pwinstance.Instance

// Entries implements pwdirectory.Entries.
func (c cachedEntries) Entries() []pwinstance.Instance { return c }

// recordPeers stores the records for all peers in one store in memory and counts them.
type recordPeers struct {
	store    *pwdirectory.Store
	putCount *atomic.Int64
}

// Peer implements pwdirectory.Peers.
func (p recordPeers) Peer(string) pwdirectory.Peer { return p }

// PutRecord implements pwdirectory.Peer.
func (p recordPeers) PutRecord(_ context.Context, r *pwrpc.RequestRecord) error {
	p.putCount.Add(1)
	return p.store.Put(r)
}

// GetRecord implements pwdirectory.Peer.
func (p recordPeers) GetRecord(context.Context, pwrequest.ID) (*pwrpc.RequestRecord, error) {
	return nil, nil
}

// measureLists measures the work that grows with the number of all instances.
func measureLists(ctx context.Context, m *meter) error {
	for _, n := range m.sizes([]int{250, 1_000, 2_000}, []int{1_000, 4_000, 8_140}) {
		list := instanceList(n)
		body, err := json.Marshal(list)
		if err != nil {
			return err
		}
		x := float64(n)
		m.addPoint("bytes.instance_list", "instances", "B a reading", x, float64(len(body)))
		m.addPoint("memory.instance_list", "instances", "B", x, retainedBytes(func() any {
			var r []pwinstance.Instance
			_ = json.Unmarshal(body, &r)
			return &r
		}))
		m.addPoint("cpu.instance_list", "instances", "us a reading", x, cpuPerOp(func(int) {
			var r []pwinstance.Instance
			_ = json.Unmarshal(body, &r)
		}))
		ids := serverIDs(n)
		m.addPoint("cpu.subset", "servers of all services", "us a choice", x, cpuPerOp(func(int) { pwrouter.Subset(entryName(1), ids, subsetSize) }))
		peers := recordPeers{
			store:    pwdirectory.NewStore(pwdirectory.Config{}),
			putCount: &atomic.Int64{},
		}
		d := pwdirectory.New(entryName(1), peers.store, peers, unfilteredList(list))
		m.addPoint("cpu.record_put", "instances", "us a record", x, cpuPerOp(func(i int) { _ = d.Put(ctx, newRecord(i%1_000)) }))
		records := n / 100
		peers.putCount.Store(0)
		for i := range records {
			if err := d.Put(ctx, newRecord(i)); err != nil {
				return err
			}
		}
		m.addPoint("messages.record", "records", "messages", float64(records), float64(peers.putCount.Load()))
		entries := cachedEntries(unfilteredList(list).Entries())
		d = pwdirectory.New(entryName(1), peers.store, peers, entries)
		m.addPoint("cpu.record_put_kept", "entries in a kept list", "us a record", float64(len(entries)), cpuPerOp(func(i int) { _ = d.Put(ctx, newRecord(i%1_000)) }))
	}
	return nil
}
