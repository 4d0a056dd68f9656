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

// measureTable counts the operations of the table service.
func measureTable(ctx context.Context, m *meter) error {
	for _, n := range []int{10, 50, 200} {
		for _, c := range []struct {
			name string
			run  func(context.Context, *pwfakeplatform.Table, int) error
		}{
			{"once_call", claims},
			{"change", changes},
			{"lease", renewals},
		} {
			t := pwfakeplatform.NewTable()
			if err := c.run(ctx, t, n); err != nil {
				return fmt.Errorf("table.%s: %w", c.name, err)
			}
			reads, writes := t.Counts()
			m.add("table.reads_"+c.name, "operations", "reads", float64(n), float64(reads))
			m.add("table.writes_"+c.name, "operations", "writes", float64(n), float64(writes))
		}
	}
	return nil
}

// claims makes n calls that run at most once, without faults.
func claims(ctx context.Context, t *pwfakeplatform.Table, n int) error {
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

// changes accepts n changes.
func changes(ctx context.Context, t *pwfakeplatform.Table, n int) error {
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

// renewals renews one lease n times.
func renewals(ctx context.Context, t *pwfakeplatform.Table, n int) error {
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

// measureFleets runs gossip nodes of several numbers at the same time and
// counts their readings of the table and their messages.
func measureFleets(ctx context.Context, m *meter) error {
	settle, window := 3*time.Second, 10*time.Second
	if m.quick {
		settle, window = 500*time.Millisecond, 2*time.Second
	}
	var runs []*fleetRun
	var wg sync.WaitGroup
	for _, n := range m.sizes([]int{12, 24, 48}, []int{24, 60, 120, 240}) {
		r := &fleetRun{
			nodes:  n,
			settle: settle,
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
		m.add("table.reads_relay", "processes", "reads/s in a data centre", x, r.reads/float64(pwfakepeer.DataCentres()))
		m.add("messages.gossip", "processes", "exchanges/s sent by a process", x, r.exchanges)
		m.add("bytes.gossip", "processes", "B/s of a process", x, r.bytes)
		m.add("bytes.change_pushed", "processes", "B of a process and change", x, r.changed)
	}
	return ctx.Err()
}

// fleetRun is one fleet without faults.
type fleetRun struct {
	nodes          int
	settle, window time.Duration

	reads, exchanges, bytes, changed float64
	err                              error
}

type fleetCount struct {
	reads, exchanges, bytes int64
}

func count(f *pwfakepeer.Fleet) (c fleetCount) {
	for i := range f.Len() {
		s := f.Node(i).Stats()
		c.reads += s.TableReads
		c.exchanges += s.Exchanges
		c.bytes += s.SentBytes + s.ReceivedBytes
	}
	return c
}

// changesOfRun is the number of changes whose messages are counted.
const changesOfRun = 5

func (r *fleetRun) run(ctx context.Context) {
	f := pwfakepeer.New(pwfakepeer.Options{
		Nodes: r.nodes,
		Seed:  1,
	})
	defer f.Close()
	f.StartAll()
	pause(ctx, r.settle)
	start, at := count(f), time.Now()
	pause(ctx, r.window)
	end, seconds := count(f), time.Since(at).Seconds()
	nodes := float64(r.nodes)
	r.reads = float64(end.reads-start.reads) / seconds
	r.exchanges = float64(end.exchanges-start.exchanges) / seconds / nodes
	// Each message is counted at both of its ends, as sent and as received.
	r.bytes = float64(end.bytes-start.bytes) / seconds / nodes
	start, at = count(f), time.Now()
	for i := range changesOfRun {
		c := mark(i)
		accepted, err := f.Accept(ctx, i%r.nodes, pwchange.Proposal{
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
		if _, ok := f.AwaitEverywhere(accepted, waitLimit); !ok {
			r.err = errNotReached
			return
		}
	}
	pause(ctx, min(r.settle, time.Second))
	end = count(f)
	idle := r.bytes * time.Since(at).Seconds()
	r.changed = (float64(end.bytes-start.bytes)/nodes - idle) / changesOfRun
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
