package pwgateway_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwgateway"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

// fakeQuarantineTable is a table in memory. Its clock is an hour ahead.
type fakeQuarantineTable struct {
	mu       sync.Mutex
	rows     map[string]pwgateway.QuarantinedPart
	failures int
	puts     int
}

func (f *fakeQuarantineTable) fail() error {
	if f.failures == 0 {
		return nil
	}
	f.failures--
	return errors.New("the store is down")
}

// state returns the number of rows and of writes.
func (f *fakeQuarantineTable) state() (rows, puts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.rows), f.puts
}

func (f *fakeQuarantineTable) setFailures(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = n
}

func (f *fakeQuarantineTable) List(context.Context) (pwcontrol.Snapshot[pwgateway.QuarantinedPart], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	snap := pwcontrol.Snapshot[pwgateway.QuarantinedPart]{
		NowMS: time.Now().Add(time.Hour).UnixMilli(),
	}
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		snap.Items = append(snap.Items, pwcontrol.Item[pwgateway.QuarantinedPart]{
			Key:   key,
			Value: f.rows[key],
		})
	}
	return snap, f.fail()
}

func (f *fakeQuarantineTable) Put(_ context.Context, key string, p pwgateway.QuarantinedPart) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.fail(); err != nil {
		return err
	}
	f.puts++
	f.rows[key] = p
	return nil
}

func (f *fakeQuarantineTable) Remove(_ context.Context, key string, _ int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.rows, key)
	return nil
}

func (s *crashSite) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes)
}

// crashUntilRefused sends requests with crashingPart to the gateways in turn until one is
// refused, and returns the number of crashes.
func (s *crashSite) crashUntilRefused(t *testing.T) int {
	t.Helper()
	for n := range 40 {
		s.send(s.gateways[n%len(s.gateways)], n, crashingPart)
		time.Sleep(500 * time.Millisecond)
		if !s.reaches(s.gateways[n%len(s.gateways)], 1000+n) {
			return s.crashCount()
		}
	}
	t.Fatalf("the part is not refused after %d crashes", s.crashCount())
	return 0
}

// reaches sends a request with crashingPart and reports whether it reaches an engine. It
// must be refused with 503 if it does not.
func (s *crashSite) reaches(f *fixture, n int) bool {
	s.mu.Lock()
	before := len(s.reached)
	s.mu.Unlock()
	w, _ := f.sendRequest(context.Background(), fmt.Sprint("/note/", n), "X-Attempt-Id", fmt.Sprint("r", n),
		"X-Token-Counts", "1000,200", "X-Prompt-Prefix", fmt.Sprint(crashingPart, ":40,own", n, ":40"))
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reached) > before || w.Code != http.StatusServiceUnavailable
}

// Guards against a gateway that forgets a crashing part when it restarts, or all do at
// once: it must refuse the part within the 3 s after which it counts as in touch.
func TestQuarantineSurvivesRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeQuarantineTable{
			rows: map[string]pwgateway.QuarantinedPart{
				"00000000000000aa": {
					Crashes: []pwgateway.QuarantinedCrash{{
						Server: 1,
						AtMS:   time.Now().Add(40 * time.Minute).UnixMilli(),
					}},
				},
			},
			failures: 2,
		}
		s := newCrashSite(t, 2, 12)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.runExchange(ctx)
		runKeeper := func(f *fixture) { go pwgateway.NewQuarantineKeeper(f.gateway, table).Run(ctx) }
		for _, f := range s.gateways {
			runKeeper(f)
		}
		time.Sleep(2 * time.Second)
		if rows, _ := table.state(); rows != 0 {
			t.Errorf("%d rows are left, the only one has expired", rows)
		}
		table.setFailures(1)
		s.crashUntilRefused(t)
		time.Sleep(3 * time.Second)
		if rows, puts := table.state(); rows != 1 || puts > 2 {
			t.Errorf("%d rows after %d writes, want one", rows, puts)
		}

		fromPeer, fromStore := newFixture(t, nil), newFixture(t, nil)
		runKeeper(fromStore)
		for range 10 {
			time.Sleep(exchangeInterval)
			fromPeer.gateway.MergePeer("front-0", pwpeering.Message{
				Crashes: s.gateways[0].gateway.RecalledCrashes(),
			})
		}
		for name, f := range map[string]*fixture{
			"peer":  fromPeer,
			"store": fromStore,
		} {
			s.addGateway(f)
			if s.reaches(f, 2000) {
				t.Errorf("a gateway that learns of the part from the %s sends a request with it", name)
			}
			if !s.send(f, 2001, "shared0") {
				t.Errorf("a gateway that learns of the part from the %s does not answer a request without it", name)
			}
		}
		if _, puts := table.state(); puts > 2 {
			t.Errorf("the row was written %d times", puts)
		}
	})
}

// Guards against a quarantined part that the store has lost, so that gateways that start
// when all others have ended let it crash servers again.
func TestQuarantineIsStoredAgainAfterRestoreOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeQuarantineTable{
			rows: make(map[string]pwgateway.QuarantinedPart),
		}
		s := newCrashSite(t, 2, 12)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.runExchange(ctx)
		var keepers []*pwgateway.QuarantineKeeper
		for _, f := range s.gateways {
			k := pwgateway.NewQuarantineKeeper(f.gateway, table)
			keepers = append(keepers, k)
			go k.Run(ctx)
		}
		s.crashUntilRefused(t)
		time.Sleep(3 * time.Second)
		table.mu.Lock()
		clear(table.rows)
		table.mu.Unlock()
		for _, k := range keepers {
			// The gateways learn of the restore one after the other.
			k.Recheck()
			time.Sleep(1500 * time.Millisecond)
		}
		if rows, _ := table.state(); rows != 1 {
			t.Fatalf("%d rows after the restore, want one", rows)
		}
		started := newFixture(t, nil)
		s.addGateway(started)
		go pwgateway.NewQuarantineKeeper(started.gateway, table).Run(ctx)
		time.Sleep(time.Second)
		if s.reaches(started, 2000) {
			t.Error("a gateway that starts after the restore sends a request with the part")
		}
	})
}

// Guards against requests with the part that were queued, or whose server crashed, when
// it was quarantined: they are not sent again.
func TestQuarantineStopsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrashSite(t, 1, 12)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.runExchange(ctx)
		crashes := s.crashUntilRefused(t)
		// The platform counts further requests from the fifth crash on.
		if crashes > 5 {
			t.Errorf("%d engines crashed, want at most 5", crashes)
		}
		if s.reaches(s.gateways[0], 3000) {
			t.Error("a request with the part is sent after the quarantine")
		}
		if !s.send(s.gateways[0], 3001, "shared0") {
			t.Error("a request without the part is not answered")
		}
	})
}

// Guards against a gateway that has restarted and sends a request that the others refuse,
// because it crashed servers: each restarted gateway would let it crash two more.
func TestRefusedRequestStaysRefusedAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrashSite(t, 1, 12)
		old := s.gateways[0]
		// A prompt of one part has no part that other requests share.
		sendAgain := func(f *fixture) (crashes int) {
			before := s.crashCount()
			f.sendRequest(t.Context(), "/note/same", "X-Token-Counts", "1000,200", "X-Prompt-Prefix", crashingPart+":40")
			time.Sleep(time.Second)
			return s.crashCount() - before
		}
		if n := sendAgain(old); n != 2 {
			t.Fatalf("%d engines crashed, want 2", n)
		}
		if n := sendAgain(old); n != 0 {
			t.Fatalf("%d engines crashed under a refused request", n)
		}
		time.Sleep(time.Minute)
		restarted := newFixture(t, nil)
		s.addGateway(restarted)
		for range 10 {
			time.Sleep(exchangeInterval)
			restarted.gateway.MergePeer("front-0", pwpeering.Message{
				Crashes: old.gateway.RecalledCrashes(),
			})
		}
		if n := sendAgain(restarted); n != 0 {
			t.Errorf("%d engines crashed under a request that others refuse", n)
		}
	})
}
