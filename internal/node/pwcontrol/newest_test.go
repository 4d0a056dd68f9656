package pwcontrol

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

const (
	documentBytes = 50_000
	pageBytes     = 1_000_000
	// linkBytesPerSecond is a link of 14 Mbit/s.
	linkBytesPerSecond = 14_000_000 / 8
	segmentBytes       = 50_000
)

// narrowStore is a store behind a narrow link, one row of which is a large document. A watch
// returns each of its versions.
type narrowStore struct {
	*fakeStore
	history []Item[string]
	// sent is the number of bytes that went over the link.
	sent int
}

func (s *narrowStore) set(value string) {
	s.fakeStore.set("config", value)
	s.update(func() { s.history = append(s.history, s.rows["config"]) })
}

// transfer waits until the bytes of a response have arrived.
func (s *narrowStore) transfer(ctx context.Context, bytes int) error {
	for rest := bytes; rest > 0; rest -= segmentBytes {
		select {
		case <-time.After(time.Second * segmentBytes / linkBytesPerSecond):
		case <-ctx.Done():
			return ctx.Err()
		}
		s.update(func() { s.sent += segmentBytes })
		ReportProgress(ctx)
	}
	return nil
}

func (s *narrowStore) List(ctx context.Context) (Snapshot[string], error) {
	snap, err := s.fakeStore.List(ctx)
	if err != nil {
		return snap, err
	}
	return snap, s.transfer(ctx, documentBytes*len(snap.Items))
}

func (s *narrowStore) Watch(ctx context.Context, after int64, wait time.Duration) (Snapshot[string], error) {
	snap, err := s.fakeStore.Watch(ctx, after, wait)
	if err != nil || len(snap.Items) == 0 {
		return snap, err
	}
	var page []Item[string]
	s.update(func() {
		for _, it := range s.history {
			if it.Version > after && len(page) < pageBytes/documentBytes {
				page = append(page, it)
			}
		}
	})
	if err := s.transfer(ctx, documentBytes*len(page)); err != nil {
		return Snapshot[string]{}, err
	}
	snap.Version = page[len(page)-1].Version
	snap.Superseded = len(page) - 1
	snap.Items = page[len(page)-1:]
	return snap, nil
}

func runNarrow(t *testing.T, test func(s *narrowStore, v *recorder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &narrowStore{
			fakeStore: newFakeStore(),
		}
		v := &recorder{
			rows:      make(map[string]string),
			appliedAt: make(map[string]time.Time),
		}
		f := NewFollower(s, Config{
			BatchDelay: 600 * time.Millisecond,
			NewestOnly: true,
		}, pwobserve.Discard(), v.apply)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		test(s, v)
		cancel()
		<-done
	})
}

// Guards against a process that, back in touch with the store, reads each version that it
// missed, for longer than the timeouts of its calls.
// Regression: sloughside-grown trouble-1 (CONFIG).
func TestNewestVersionIsReadFirstAfterOutage(t *testing.T) {
	const outage = 9 * time.Second
	for name, fault := range map[string]func(s *fakeStore, on bool){
		"errors": func(s *fakeStore, on bool) { s.down = on },
		"silent": func(s *fakeStore, on bool) { s.unresponsive = on },
	} {
		t.Run(name, func(t *testing.T) {
			runNarrow(t, func(s *narrowStore, v *recorder) {
				s.set("1")
				time.Sleep(time.Second)
				s.update(func() { fault(s.fakeStore, true) })
				for i := range 30 {
					s.set(fmt.Sprint(i + 2))
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(outage - 6*time.Second)
				s.update(func() { fault(s.fakeStore, false) })
				time.Sleep(2 * time.Second)
				expectRows(t, v, "config=31")
			})
		})
	}
}

// Guards against reading each version of a document that changes several times within the
// batch delay.
func TestVersionsInQuickSuccessionAreSkipped(t *testing.T) {
	runNarrow(t, func(s *narrowStore, v *recorder) {
		s.set("1")
		time.Sleep(time.Second)
		var before, after int
		s.update(func() { before = s.sent })
		for i := range 50 {
			s.set(fmt.Sprint(i + 2))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		expectRows(t, v, "config=51")
		// One for each batch delay of 600 ms, the versions of the first one, and one that
		// shows that the document changes no more.
		s.update(func() { after = s.sent })
		if read := (after - before) / documentBytes; read > 18 {
			t.Errorf("%d documents were read, want at most 18 for 50 versions in 5 s", read)
		}
	})
}

// Guards against a listing in place of a watch that hides the last readable version.
func TestUnreadableNewestVersionLeavesTheOneBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &hidingStore{
			fakeStore: newFakeStore(),
		}
		v := &recorder{
			rows:      make(map[string]string),
			appliedAt: make(map[string]time.Time),
		}
		f := NewFollower(s, Config{
			NewestOnly: true,
		}, pwobserve.Discard(), func(items []Item[string], graceUntil time.Time) {
			for _, it := range items {
				if it.Err == nil {
					v.apply([]Item[string]{it}, graceUntil)
				}
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		s.set("config", "1")
		time.Sleep(time.Second)
		s.update(func() { s.down = true })
		time.Sleep(time.Second)
		s.set("config", "2")
		s.update(func() { s.missed = s.rows["config"] })
		s.set("config", "broken")
		s.update(func() { s.down = false })
		time.Sleep(3 * time.Second)
		expectRows(t, v, "config=2")
		cancel()
		<-done
	})
}

// runNewestOnly runs a follower that lists a table after an outage.
func runNewestOnly(t *testing.T, s *fakeStore, source Source[string], test func(v *recorder, f *Follower[string])) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s.changed = make(chan struct{})
		v := &recorder{
			rows:      make(map[string]string),
			appliedAt: make(map[string]time.Time),
		}
		f := NewFollower(source, Config{
			NewestOnly: true,
		}, pwobserve.Discard(), v.apply)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		test(v, f)
		cancel()
		<-done
	})
}

// Guards against an evacuation that ends because the key of its row arrives garbled in the
// listing after an outage.
func TestUnnamedRowOfListingIsNotRemoved(t *testing.T) {
	s := &garblingStore{
		fakeStore: newFakeStore(),
	}
	runNewestOnly(t, s.fakeStore, s, func(v *recorder, _ *Follower[string]) {
		s.set("evacuate/a", "1")
		time.Sleep(time.Second)
		s.update(func() { s.down, s.garbled = true, true })
		s.set("evacuate/b", "2")
		time.Sleep(time.Second)
		s.update(func() { s.down = false })
		time.Sleep(3 * time.Second)
		expectRows(t, v, "evacuate/a=1 evacuate/b=2")
		s.set("evacuate/a", "")
		time.Sleep(time.Second)
		expectRows(t, v, "evacuate/b=2")
	})
}

// garblingStore is a store whose listings hold a row without a readable key.
type garblingStore struct {
	*fakeStore
	garbled bool
}

func (s *garblingStore) List(ctx context.Context) (Snapshot[string], error) {
	snap, err := s.fakeStore.List(ctx)
	s.update(func() {
		if s.garbled && len(snap.Items) > 0 {
			snap.Items, snap.Unnamed = snap.Items[1:], 1
		}
	})
	return snap, err
}

// Guards against a process that takes the store for lost while only its listings lag behind
// its watches.
func TestLaggingListingsAreReplacedByWatches(t *testing.T) {
	s := &laggingStore{
		fakeStore: newFakeStore(),
	}
	runNewestOnly(t, s.fakeStore, s, func(v *recorder, f *Follower[string]) {
		s.set("config", "1")
		s.set("config", "2")
		time.Sleep(time.Second)
		s.update(func() { s.down, s.lagging = true, true })
		s.set("config", "3")
		time.Sleep(time.Second)
		s.update(func() { s.down = false })
		for i := range 4 {
			s.set("config", fmt.Sprint(i+4))
			time.Sleep(2 * time.Second)
			expectRows(t, v, fmt.Sprintf("config=%d", i+4))
			if age := time.Since(f.LastContact()); age > 3*time.Second {
				t.Errorf("the last contact was %s ago", age)
			}
		}
	})
}

// laggingStore is a store whose listings are stale while its watches are not.
type laggingStore struct {
	*fakeStore
	lagging bool
}

func (s *laggingStore) List(ctx context.Context) (Snapshot[string], error) {
	snap, err := s.fakeStore.List(ctx)
	s.update(func() {
		if s.lagging {
			snap.Version, snap.Items = 1, nil
		}
	})
	return snap, err
}

// hidingStore is a store whose watches also return one earlier version.
type hidingStore struct {
	*fakeStore
	missed Item[string]
}

func (s *hidingStore) Watch(ctx context.Context, after int64, wait time.Duration) (Snapshot[string], error) {
	snap, err := s.fakeStore.Watch(ctx, after, wait)
	s.update(func() {
		if err == nil && s.missed.Version > after {
			snap.Items = append([]Item[string]{s.missed}, snap.Items...)
		}
	})
	return snap, err
}

// Guards against a call that is ended, and begun again, while its response arrives.
func TestLongResponseIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower[string](nil, Config{}, pwobserve.Discard(), nil)
		ctx, timer := f.withCallTimeout(t.Context(), time.Second)
		defer timer.stop()
		startedAt := time.Now()
		for range 4 {
			time.Sleep(900 * time.Millisecond)
			ReportProgress(ctx)
		}
		if ctx.Err() != nil {
			t.Fatal("the call was ended while its response arrived")
		}
		<-ctx.Done()
		if took := time.Since(startedAt); took != 3600*time.Millisecond+DefaultStallTimeout {
			t.Errorf("a response that stands still was ended after %s", took)
		}
		ctx, timer = f.withCallTimeout(t.Context(), time.Second)
		defer timer.stop()
		startedAt = time.Now()
		for ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
			ReportProgress(ctx)
		}
		if took := time.Since(startedAt); took > time.Second+DefaultTransferTimeout+500*time.Millisecond {
			t.Errorf("a response without end was read for %s", took)
		}
	})
}
