package pwdirectory_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdirectory"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// cluster is a set of entries. faults holds "dead" or "paused" by entry name.
type cluster struct {
	stores  map[string]*pwdirectory.Store
	entries []pwinstance.Instance
	faults  map[string]string
}

// Entries implements pwdirectory.Entries.
func (c *cluster) Entries() []pwinstance.Instance { return c.entries }

// Peer implements pwdirectory.Peers.
func (c *cluster) Peer(address string) pwdirectory.Peer {
	return fakePeer{
		cluster: c,
		name:    address,
	}
}

// fakePeer is the client of an entry of the cluster.
type fakePeer struct {
	cluster *cluster
	name    string
}

// simulateFault blocks until the context ends when the entry is paused, and
// refuses the call when the entry is dead.
func (p fakePeer) simulateFault(ctx context.Context) error {
	switch p.cluster.faults[p.name] {
	case "paused":
		<-ctx.Done()
		return ctx.Err()
	case "dead":
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "no connection")
	}
	return nil
}

// PutRecord implements pwdirectory.Peer.
func (p fakePeer) PutRecord(ctx context.Context, r *pwrpc.RequestRecord) error {
	if err := p.simulateFault(ctx); err != nil {
		return err
	}
	return p.cluster.stores[p.name].Put(r)
}

// GetRecord implements pwdirectory.Peer.
func (p fakePeer) GetRecord(ctx context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error) {
	if err := p.simulateFault(ctx); err != nil {
		return nil, err
	}
	r, _ := p.cluster.stores[p.name].Get(id)
	return r, nil
}

func record(id, agent string, attempt int64, lifetime time.Duration) *pwrpc.RequestRecord {
	return &pwrpc.RequestRecord{
		RequestId:     id,
		Workspace:     "lamps",
		AgentAddress:  agent,
		AttemptNumber: attempt,
		ExpiresUnixMs: time.Now().Add(lifetime).UnixMilli(),
	}
}

// TestScripts runs the scripts under testdata. The first line of each script
// states the guarantee that it guards.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{
				stores: map[string]*pwdirectory.Store{},
				faults: map[string]string{},
			}
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				return runDirective(t, c, d)
			})
		})
	})
}

// runDirective executes one directive of a script and returns its output.
func runDirective(t *testing.T, c *cluster, d *datadriven.TestData) string {
	id, agent, workspace, name, state, lifetime, self := "r", "a", "lamps", "", "", "1m", "e1"
	var attempt int64
	n := 0
	for arg, dest := range map[string]any{
		"id": &id, "agent": &agent, "workspace": &workspace, "entry": &name, "state": &state,
		"time": &lifetime, "by": &self, "attempt": &attempt, "n": &n,
	} {
		d.MaybeScanArgs(t, arg, dest)
	}
	duration, err := time.ParseDuration(lifetime)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	started := time.Now()
	directory := pwdirectory.New(pwrequest.InstanceID(self), c.stores[self], c, c)
	switch d.Cmd {
	case "entries":
		for i := range n {
			name := fmt.Sprint("e", i+1)
			c.stores[name] = pwdirectory.NewStore(pwdirectory.Config{
				MaxRecords: 3,
			})
			c.entries = append(c.entries, pwinstance.Instance{
				ID:      pwrequest.InstanceID(name),
				Address: name,
				Role:    pwinstance.RoleEntry,
			})
		}
	case "holders":
		out := ""
		for _, h := range pwdirectory.Holders(pwrequest.ID(id), c.entries, 2) {
			out += string(h.ID) + " "
		}
		return out
	case "set":
		c.faults[name] = state
	case "put":
		r := record(id, agent, attempt, duration)
		r.Workspace = workspace
		err := directory.Put(ctx, r)
		return result(err, "ok after %s", time.Since(started))
	case "get":
		r, err := directory.Get(ctx, pwrequest.ID(id))
		return result(err, "agent=%q attempt=%d after %s", r.GetAgentAddress(), r.GetAttemptNumber(), time.Since(started))
	case "store":
		return result(c.stores[name].Put(record(id, agent, attempt, duration)), "records=%d", c.stores[name].Len())
	case "pass":
		time.Sleep(duration)
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return "ok"
}

func result(err error, format string, args ...any) string {
	if err != nil {
		return fmt.Sprintf("%s %s", pwverdict.VerdictOf(err), pwverdict.CauseOf(err))
	}
	return fmt.Sprintf(format, args...)
}

// BenchmarkRecords measures a Put into a set whose size stays constant because
// records expire, and the memory of one record.
func BenchmarkRecords(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	records := pwdirectory.NewRecords(pwdirectory.DefaultMaxRecords)
	now := time.Now()
	put := func(i int) {
		now = now.Add(time.Millisecond)
		_ = records.Put(now, &pwrpc.RequestRecord{
			RequestId:     fmt.Sprintf("req-%026d", i),
			Workspace:     "lamps",
			AttemptId:     fmt.Sprintf("att-%026d", i),
			AgentAddress:  "10.0.0.1:7000",
			State:         "running",
			Entry:         "entry-1",
			ExpiresUnixMs: now.Add(50 * time.Second).UnixMilli(),
		})
	}
	const recordCount = 50_000
	for i := range recordCount {
		put(i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := recordCount
	for b.Loop() {
		put(i)
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/recordCount, "bytes/record")
}
