package pwgateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

const (
	// crashingPart is the part of a prompt under which servers crash.
	crashingPart = "bad"
	// prefillTime and crashDelay are the times from the arrival of a request to its first
	// event, and from there to the crash.
	prefillTime = 120 * time.Millisecond
	crashDelay  = 40 * time.Millisecond
	// replacementDelay is the time from a crash until a new server is listed.
	replacementDelay = 3 * time.Second
	// exchangeInterval is the heartbeat of the messages between gateways.
	exchangeInterval = pwpeering.DefaultHeartbeat
)

// crashSite is a set of gateways that share engines. An engine crashes when it begins to
// answer a request whose prompt has crashingPart, and is replaced.
type crashSite struct {
	gateways []*fixture

	mu       sync.Mutex
	started  int
	backends map[string]*backend
	// crashes holds the times of the crashes, reached the arrivals of requests with
	// crashingPart at engines.
	crashes []time.Time
	reached []time.Time
}

func newCrashSite(t *testing.T, gateways, engines int) *crashSite {
	t.Helper()
	s := &crashSite{
		backends: make(map[string]*backend),
	}
	for range gateways {
		f := newFixture(t, nil)
		f.lookUp = s.backend
		s.gateways = append(s.gateways, f)
	}
	for range engines {
		s.startEngine()
	}
	return s
}

func (s *crashSite) backend(address string) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backends[address]
}

// startEngine adds a new engine and lists it at all gateways.
func (s *crashSite) startEngine() {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("model-%d", s.started)
	b := newBackend(nil)
	b.replies[0] = func(c net.Conn, r *http.Request) { s.answer(id, b, c, r) }
	s.backends[id] = b
	s.mu.Unlock()
	s.applyServer(newEngineItem(id))
}

// addGateway gives a gateway the running engines.
func (s *crashSite) addGateway(f *fixture) {
	f.lookUp = s.backend
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.backends {
		f.gateway.ApplyServers([]pwcontrol.Item[pwcatalog.BackendServer]{newEngineItem(id)}, time.Time{})
	}
}

// newEngineItem returns the listed entry of an engine.
func newEngineItem(id string) pwcontrol.Item[pwcatalog.BackendServer] {
	return pwcontrol.Item[pwcatalog.BackendServer]{
		Key: id,
		Value: pwcatalog.BackendServer{
			ID:         id,
			Service:    "model",
			Address:    id,
			DataCentre: "hakata",
		},
	}
}

func (s *crashSite) applyServer(item pwcontrol.Item[pwcatalog.BackendServer]) {
	for _, f := range s.gateways {
		f.gateway.ApplyServers([]pwcontrol.Item[pwcatalog.BackendServer]{item}, time.Time{})
	}
}

// answer streams an answer of half a second, or crashes the engine.
func (s *crashSite) answer(id string, b *backend, c net.Conn, r *http.Request) {
	bad := strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPart+":")
	if bad {
		s.mu.Lock()
		s.reached = append(s.reached, time.Now())
		s.mu.Unlock()
	}
	time.Sleep(prefillTime)
	if bad {
		time.Sleep(crashDelay)
		s.crash(id, b)
		return
	}
	streamEvents(1, 1, "hang")(c, r)
	for i := 2; i <= 6; i++ {
		time.Sleep(80 * time.Millisecond)
		ev := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
	}
	fmt.Fprint(c, "0\r\n\r\n")
}

// crash ends an engine with all its connections. Its entry lapses and a new engine is
// listed after replacementDelay.
func (s *crashSite) crash(id string, b *backend) {
	s.mu.Lock()
	running := s.backends[id] != nil
	delete(s.backends, id)
	if running {
		s.crashes = append(s.crashes, time.Now())
	}
	s.mu.Unlock()
	if !running {
		return
	}
	b.closeConns()
	time.AfterFunc(replacementDelay, func() {
		s.applyServer(pwcontrol.Item[pwcatalog.BackendServer]{
			Key:     id,
			Version: 1,
			Removed: true,
		})
		s.startEngine()
	})
}

// runExchange passes the crashes between the gateways until ctx is done.
func (s *crashSite) runExchange(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(exchangeInterval)
		for i, from := range s.gateways {
			crashes := from.gateway.OwnCrashes()
			for j, to := range s.gateways {
				if i != j {
					to.gateway.MergePeer(fmt.Sprint("front-", i), pwpeering.Message{
						Crashes: crashes,
					})
				}
			}
		}
	}
}

// send sends a request with the given parts in its prompt to one of the gateways and
// reports whether its answer was complete.
func (s *crashSite) send(f *fixture, n int, parts ...string) bool {
	entries := make([]string, 0, len(parts)+1)
	for _, p := range append(parts, fmt.Sprint("own", n)) {
		entries = append(entries, p+":40")
	}
	w, aborted := f.sendRequest(context.Background(), fmt.Sprint("/note/", n),
		"X-Attempt-Id", fmt.Sprint("a", n),
		"X-Token-Counts", "1000,200",
		"X-Prompt-Prefix", strings.Join(entries, ","))
	return w.Code == http.StatusOK && !aborted && strings.HasSuffix(w.Body.String(), "data: e6\n\n")
}

// fifthCrash returns the time of the fifth crash, or of the last if there are fewer.
func (s *crashSite) fifthCrash() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) == 0 {
		return time.Time{}
	}
	return s.crashes[min(len(s.crashes), 5)-1]
}

// soundRequest is a request without crashingPart.
type soundRequest struct {
	sentAt   time.Time
	answered bool
}

// Guards against requests that crash one engine after the other because they share a
// part of their prompts, while no two of them are alike: seen as BUDGET on kilo-andino.
func TestPromptPartThatCrashesServersIsStopped(t *testing.T) {
	const (
		// stableWindow is the time after the fifth crash from which maxLater requests
		// with the part may reach engines.
		stableWindow = 3 * time.Second
		maxLater     = 3
		duration     = 25 * time.Second
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, 3, 15)
				rng := rand.New(rand.NewPCG(seed, 1))
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				go s.runExchange(ctx)
				var mu sync.Mutex
				var sound []soundRequest
				var wg sync.WaitGroup
				start := time.Now()
				for n := 0; time.Since(start) < duration; n++ {
					f := s.gateways[rng.IntN(len(s.gateways))]
					sharedPart := fmt.Sprint("shared", rng.IntN(8))
					bad := n%8 == 7 && time.Since(start) > 4*time.Second
					sentAt := time.Now()
					wg.Go(func() {
						if bad {
							s.send(f, n, "shared0", crashingPart)
							return
						}
						ok := s.send(f, n, sharedPart)
						mu.Lock()
						defer mu.Unlock()
						sound = append(sound, soundRequest{
							sentAt:   sentAt,
							answered: ok,
						})
					})
					time.Sleep(time.Duration(20+rng.IntN(60)) * time.Millisecond)
				}
				wg.Wait()
				later := 0
				for _, at := range s.reached {
					if at.Sub(s.fifthCrash()) > stableWindow {
						later++
					}
				}
				sent, answered := 0, 0
				for _, r := range sound {
					if r.sentAt.Sub(s.fifthCrash()) > 2*stableWindow {
						sent++
						if r.answered {
							answered++
						}
					}
				}
				if later > maxLater {
					t.Errorf("%d requests with the part reached engines later than %s after the fifth crash, allowed are %d; %d engines crashed",
						later, stableWindow, maxLater, len(s.crashes))
				}
				if len(s.crashes) == 0 || sent < 20 || 2*answered < sent {
					t.Errorf("%d engines crashed; of %d sound requests sent later, %d were answered, wanted half at least", len(s.crashes), sent, answered)
				}
			})
		})
	}
}
