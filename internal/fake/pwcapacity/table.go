package pwcapacity

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakepeer"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
)

// measureTable counts the reads and writes of the table service for calls that run at
// most once, changes and lease renewals.
func measureTable(ctx context.Context, m *meter) error {
	for _, n := range []int{10, 50, 200} {
		for _, c := range []struct {
			name string
			run  func(context.Context, *pwfakeplatform.Table, int) error
		}{
			{"once_call", runClaims},
			{"change", acceptChanges},
			{"lease", renewLease},
		} {
			t := pwfakeplatform.NewTable()
			if err := c.run(ctx, t, n); err != nil {
				return fmt.Errorf("table.%s: %w", c.name, err)
			}
			reads, writes := t.Counts()
			m.addPoint("table.reads_"+c.name, "operations", "reads", float64(n), float64(reads))
			m.addPoint("table.writes_"+c.name, "operations", "writes", float64(n), float64(writes))
		}
	}
	return nil
}

// runClaims claims, dispatches and finishes n calls that run at most once.
func runClaims(ctx context.Context, t *pwfakeplatform.Table, n int) error {
	s := pwclaim.New(t, pwclaim.Config{})
	for i := range n {
		key := pwclaim.Key{
			Workspace:      workspaceName(i),
			IdempotencyKey: fmt.Sprintf("scaffold-%d", i),
		}
		if _, err := s.Claim(ctx, key, sha256.Sum256([]byte(key.IdempotencyKey)), attemptName(i)); err != nil {
			return err
		}
		if err := s.Dispatch(ctx, key, attemptName(i)); err != nil {
			return err
		}
		if err := s.Finish(ctx, key, attemptName(i), []byte("{}"), 200); err != nil {
			return err
		}
	}
	return nil
}

// acceptChanges applies n marks to the change log.
func acceptChanges(ctx context.Context, t *pwfakeplatform.Table, n int) error {
	log := pwchange.NewLog(t)
	for i := range n {
		_, err := log.SetMark(ctx, pwchange.TargetBackendServer, serverName(i), pwchange.Mark{
			OutOfService: true,
			Reason:       "returned at night",
			Author: pwchange.Author{
				Name: "aiko",
				Team: "lantern-models",
			},
			MarkedUnixMS: epoch.UnixMilli(),
		}, fmt.Sprintf("prop-%d", i))
		if err != nil {
			return err
		}
	}
	return nil
}

// renewLease acquires one lease and renews it n times.
func renewLease(ctx context.Context, t *pwfakeplatform.Table, n int) error {
	lease, err := pwlease.New(t, pwlease.Config{
		Name:   "placement/lantern",
		Holder: entryName(1),
	}).Acquire(ctx)
	if err != nil {
		return err
	}
	for range n {
		if err := lease.Renew(ctx); err != nil {
			return err
		}
	}
	return nil
}

// measureFleets runs fleets of several numbers of gossip nodes concurrently and counts
// their table reads, exchanges and bytes.
func measureFleets(ctx context.Context, m *meter) error {
	warmUp, window := 3*time.Second, 10*time.Second
	if m.quick {
		warmUp, window = 500*time.Millisecond, 2*time.Second
	}
	var runs []*fleetRun
	var wg sync.WaitGroup
	for _, n := range m.sizes([]int{12, 24, 48}, []int{24, 60, 120, 240}) {
		r := &fleetRun{
			nodes:  n,
			warmUp: warmUp,
			window: window,
		}
		runs = append(runs, r)
		wg.Go(func() { r.run(ctx) })
	}
	wg.Wait()
	for _, r := range runs {
		if r.err != nil {
			return fmt.Errorf("fleet of %d: %w", r.nodes, r.err)
		}
		x := float64(r.nodes)
		m.addPoint("table.reads_relay", "processes", "reads/s in a data centre", x, r.readRate/float64(pwfakepeer.DataCentreCount()))
		m.addPoint("messages.gossip", "processes", "exchanges/s sent by a process", x, r.exchangeRate)
		m.addPoint("bytes.gossip", "processes", "B/s of a process", x, r.byteRate)
		m.addPoint("bytes.change_pushed", "processes", "B of a process and change", x, r.bytesPerChange)
	}
	return ctx.Err()
}

// fleetRun measures one fleet without faults.
type fleetRun struct {
	nodes          int
	warmUp, window time.Duration

	readRate, exchangeRate, byteRate, bytesPerChange float64
	err                                              error
}

type fleetStats struct {
	reads, exchanges, bytes int64
}

// sumFleetStats adds up the counters of all nodes.
func sumFleetStats(f *pwfakepeer.Fleet) (c fleetStats) {
	for i := range f.Len() {
		s := f.Node(i).Stats()
		c.reads += s.TableReads
		c.exchanges += s.Exchanges
		c.bytes += s.SentBytes + s.ReceivedBytes
	}
	return c
}

// changesPerRun is the number of changes over which the bytes of a change are averaged.
const changesPerRun = 5

func (r *fleetRun) run(ctx context.Context) {
	f := pwfakepeer.New(pwfakepeer.Options{
		Nodes: r.nodes,
		Seed:  1,
	})
	defer f.Close()
	f.StartAll()
	pause(ctx, r.warmUp)
	before, start := sumFleetStats(f), time.Now()
	pause(ctx, r.window)
	after, seconds := sumFleetStats(f), time.Since(start).Seconds()
	nodes := float64(r.nodes)
	r.readRate = float64(after.reads-before.reads) / seconds
	r.exchangeRate = float64(after.exchanges-before.exchanges) / seconds / nodes
	// The counters include each message twice: as sent and as received.
	r.byteRate = float64(after.bytes-before.bytes) / seconds / nodes
	before, start = sumFleetStats(f), time.Now()
	for i := range changesPerRun {
		c := newMarkChange(i)
		accepted, err := f.ApplyProposal(ctx, i%r.nodes, pwchange.Proposal{
			Key:   c.Key,
			Value: c.Value,
			Author: pwchange.Author{
				Name: "aiko",
				Team: "lantern-models",
			},
			ProposalID: fmt.Sprintf("prop-%d", i),
		})
		if err != nil {
			r.err = err
			return
		}
		if _, ok := f.AwaitPropagation(accepted, waitLimit); !ok {
			r.err = errNotReached
			return
		}
	}
	pause(ctx, min(r.warmUp, time.Second))
	after = sumFleetStats(f)
	idleBytes := r.byteRate * time.Since(start).Seconds()
	r.bytesPerChange = (float64(after.bytes-before.bytes)/nodes - idleBytes) / changesPerRun
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
