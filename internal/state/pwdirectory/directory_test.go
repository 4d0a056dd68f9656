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

// site is a set of entries, some of which are down or paused.
type site struct {
	stores map[string]*pwdirectory.Store
	list   []pwinstance.Instance
	down   map[string]string
}

// Entries implements pwdirectory.Entries.
func (s *site) Entries() []pwinstance.Instance { return s.list }

// Peer implements pwdirectory.Peers.
func (s *site) Peer(address string) pwdirectory.Peer {
	return peer{
		site: s,
		name: address,
	}
}

type peer struct {
	site *site
	name string
}

func (p peer) reach(ctx context.Context) error {
	switch p.site.down[p.name] {
	case "paused":
		<-ctx.Done()
		return ctx.Err()
	case "dead":
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "no connection")
	}
	return nil
}

// PutRecord implements pwdirectory.Peer.
func (p peer) PutRecord(ctx context.Context, r *pwrpc.RequestRecord) error {
	if err := p.reach(ctx); err != nil {
		return err
	}
	return p.site.stores[p.name].Put(r)
}

// GetRecord implements pwdirectory.Peer.
func (p peer) GetRecord(ctx context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	r, _ := p.site.stores[p.name].Get(id)
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

// TestScripts runs the scenarios under testdata; each states in its first line
// the guarantee it guards.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &site{
				stores: map[string]*pwdirectory.Store{},
				down:   map[string]string{},
			}
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				return runScript(t, s, d)
			})
		})
	})
}

func runScript(t *testing.T, s *site, d *datadriven.TestData) string {
	id, agent, workspace, name, state, lifetime, by := "r", "a", "lamps", "", "", "1m", "e1"
	var attempt int64
	n := 0
	for arg, dest := range map[string]any{
		"id": &id, "agent": &agent, "workspace": &workspace, "entry": &name, "state": &state,
		"time": &lifetime, "by": &by, "attempt": &attempt, "n": &n,
	} {
		d.MaybeScanArgs(t, arg, dest)
	}
	pause, err := time.ParseDuration(lifetime)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	started := time.Now()
	directory := pwdirectory.New(pwrequest.InstanceID(by), s.stores[by], s, s)
	switch d.Cmd {
	case "entries":
		for i := range n {
			name := fmt.Sprint("e", i+1)
			s.stores[name] = pwdirectory.NewStore(pwdirectory.Config{
				MaxRecords: 3,
			})
			s.list = append(s.list, pwinstance.Instance{
				ID:      pwrequest.InstanceID(name),
				Address: name,
				Role:    pwinstance.RoleEntry,
			})
		}
	case "holders":
		out := ""
		for _, h := range pwdirectory.Holders(pwrequest.ID(id), s.list, 2) {
			out += string(h.ID) + " "
		}
		return out
	case "set":
		s.down[name] = state
	case "put":
		r := record(id, agent, attempt, pause)
		r.Workspace = workspace
		err := directory.Put(ctx, r)
		return result(err, "ok after %s", time.Since(started))
	case "get":
		r, err := directory.Get(ctx, pwrequest.ID(id))
		return result(err, "agent=%q attempt=%d after %s", r.GetAgentAddress(), r.GetAttemptNumber(), time.Since(started))
	case "store":
		return result(s.stores[name].Put(record(id, agent, attempt, pause)), "records=%d", s.stores[name].Len())
	case "pass":
		time.Sleep(pause)
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

// BenchmarkRecords measures one Put into a set that is kept full by expiry, and
// the memory of one record.
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
	const held = 50_000
	for i := range held {
		put(i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := held
	for b.Loop() {
		put(i)
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/held, "bytes/record")
}
