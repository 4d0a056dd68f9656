package pwgateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
)

const (
	// restGrace and maxRestArrivals are the platform's bound: from restGrace after a server
	// has asked a gateway for rest, and until its end, it may get maxRestArrivals requests
	// from that gateway.
	restGrace       = 500 * time.Millisecond
	maxRestArrivals = 2
)

// restingSite has servers that turn requests away and ask for rest.
type restingSite struct {
	*fixture

	mu sync.Mutex
	// rests holds how long the servers ask for rest, by id. Others serve.
	rests map[string]time.Duration
	// restFirst is the number of servers, those that get the first requests, that ask for
	// a rest of restFor.
	restFirst int
	restFor   time.Duration
	// askedAt and until hold when a server last asked for rest, and its end.
	askedAt, until map[string]time.Time
	// early counts the requests that reached a server while it rested.
	early    map[string]int
	rejected int
}

func newRestingSite(t *testing.T, service string, servers int) *restingSite {
	t.Helper()
	s := &restingSite{
		rests:   make(map[string]time.Duration),
		askedAt: make(map[string]time.Time),
		until:   make(map[string]time.Time),
		early:   make(map[string]int),
	}
	backends := make(map[string]*backend)
	for i := range servers {
		id := fmt.Sprint(service, "-", i)
		backends[id] = newBackend(func(c net.Conn, r *http.Request) { s.answer(id, c, r) })
	}
	s.fixture = newFixture(t, backends)
	return s
}

func (s *restingSite) answer(id string, c net.Conn, r *http.Request) {
	s.mu.Lock()
	now := time.Now()
	if now.Before(s.until[id]) && now.Sub(s.askedAt[id]) > restGrace {
		s.early[id]++
	}
	rest := s.rests[id]
	if rest == 0 && len(s.rests) < s.restFirst {
		rest = s.restFor
		s.rests[id] = rest
	}
	if rest > 0 {
		s.rejected++
		if !now.Before(s.until[id]) {
			s.askedAt[id], s.early[id] = now, 0
		}
		s.until[id] = now.Add(rest)
	}
	s.mu.Unlock()
	if rest > 0 {
		respond(http.StatusServiceUnavailable, "", "", "X-Not-Executed: 1\r\n",
			"Retry-After: "+strconv.FormatFloat(rest.Seconds(), 'g', -1, 64)+"\r\n")(c, r)
		return
	}
	time.Sleep(50 * time.Millisecond)
	if r.Method == http.MethodPost {
		streamEvents(1, 1, "end")(c, r)
		return
	}
	respond(http.StatusOK, "", "ok")(c, r)
}

func (s *restingSite) setRest(rest time.Duration, ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.rests[id] = rest
	}
}

// Guards against requests to servers that have asked this gateway for rest (BUDGET).
func TestServersThatAskForRestGetNoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		service, path, tokens string
		resting               int
		rest                  time.Duration
	}{
		"short prompts":    {"model", "/note/", "3000,60", 2, 3 * time.Second},
		"long prompts":     {"model", "/note/", "90000,60", 2, 3 * time.Second},
		"most engines":     {"model", "/note/", "3000,60", 7, 5 * time.Second},
		"plain service":    {"desk", "/view/", "", 2, 3 * time.Second},
		"a short rest":     {"model", "/note/", "3000,60", 2, 700 * time.Millisecond},
		"a very long rest": {"desk", "/view/", "", 4, 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestingSite(t, c.service, 8)
				s.restFirst, s.restFor = c.resting, c.rest
				rng := rand.New(rand.NewPCG(1, 2))
				var wg sync.WaitGroup
				worst := 0
				sent := 0
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end); sent++ {
					id := fmt.Sprint("r", sent)
					wg.Go(func() {
						w, _ := s.sendRequest(context.Background(), c.path+id, "X-Attempt-Id", id, "X-Token-Counts", c.tokens)
						if w.Code != http.StatusOK {
							t.Errorf("request %s got %d, want 200 of a server that does not rest", id, w.Code)
						}
					})
					time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
					s.mu.Lock()
					for _, n := range s.early {
						worst = max(worst, n)
					}
					s.mu.Unlock()
				}
				wg.Wait()
				if worst > maxRestArrivals {
					t.Errorf("%d requests reached a server that had asked for rest, want at most %d", worst, maxRestArrivals)
				}
				if len(s.rests) < c.resting {
					t.Errorf("%d servers were asked, want %d", len(s.rests), c.resting)
				}
			})
		})
	}
}

// A request that no server will take in time is refused at once, with the time at which the
// first rest ends, and not when its wait is over.
func TestRequestIsRefusedAtOnceWhileAllServersRest(t *testing.T) {
	const rest = 4 * time.Second
	for service, path := range map[string]string{
		"model": "/note/",
		"desk":  "/view/",
	} {
		t.Run(service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestingSite(t, service, 3)
				s.setRest(rest, service+"-0", service+"-1", service+"-2")
				send := func(id string) (status int, took, retryAfter time.Duration) {
					startedAt := time.Now()
					w, _ := s.sendRequest(context.Background(), path+id, "X-Attempt-Id", id, "X-Token-Counts", "3000,60")
					seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
					if w.Code != http.StatusOK && err != nil {
						t.Error(err)
					}
					return w.Code, time.Since(startedAt), time.Duration(seconds * float64(time.Second))
				}
				send("first")
				restedAt := time.Now()
				status, took, retryAfter := send("second")
				if status != http.StatusServiceUnavailable || took > 0 || retryAfter < rest || s.rejected != 3 {
					t.Errorf("got %d after %s with Retry-After %s, and %d rejections; want 503 at once, %s or more, and 3 rejections",
						status, took, retryAfter, s.rejected, rest)
				}
				s.setRest(0, service+"-0", service+"-1", service+"-2")
				time.Sleep(rest - time.Since(restedAt))
				if status, _, _ := send("third"); status != http.StatusOK {
					t.Errorf("got %d after the rest, want 200", status)
				}
			})
		})
	}
}

// Guards against a request that was placed on a server before it asked for rest, and is sent
// much later, when the memory for its prompt is reserved.
func TestPlacedRequestIsNotSentToServerThatRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestingSite(t, "model", 2)
		s.restFirst, s.restFor = 1, 3*time.Second
		s.engines.delay = 650 * time.Millisecond
		var wg sync.WaitGroup
		for i := range 40 {
			id := fmt.Sprint("r", i)
			tokens := "2000,60"
			if i%4 == 0 {
				tokens = "300000,60"
			}
			wg.Go(func() {
				s.sendRequest(context.Background(), "/note/"+id, "X-Attempt-Id", id, "X-Token-Counts", tokens)
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		for id, n := range s.early {
			if n > 0 {
				t.Errorf("%d requests reached %s while it rested, want none", n, id)
			}
		}
	})
}

// Guards against requests to a server that has asked for rest in its answer to an order.
func TestServersThatTurnOrdersAwayGetNoRequests(t *testing.T) {
	// The rest is longer than a server is avoided after a failure.
	const rest = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := newRestingSite(t, "model", 2)
		send := func(id, tokens string) int {
			w, _ := s.sendRequest(context.Background(), "/note/"+id, "X-Attempt-Id", id, "X-Token-Counts", tokens)
			return w.Code
		}
		s.engines.rest = rest
		askedAt := time.Now()
		if status := send("reserved", "300000,60"); status != http.StatusServiceUnavailable {
			t.Fatalf("got %d for a prompt whose memory no engine reserves, want 503", status)
		}
		s.engines.rest = 0
		time.Sleep(rest - time.Second - time.Since(askedAt))
		if status := send("early", "3000,60"); status != http.StatusServiceUnavailable || len(s.received()) > 0 {
			t.Errorf("got %d and %d requests reached servers during their rest, want 503 and none", status, len(s.received()))
		}
		time.Sleep(2 * time.Second)
		if status := send("later", "3000,60"); status != http.StatusOK {
			t.Errorf("got %d after the rest, want 200", status)
		}
	})
}

// Guards against a server that gets work before the end of its rest, because its entry was
// removed and returned.
func TestRestSurvivesRemovalOfEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestingSite(t, "desk", 1)
		entry := pwcontrol.Item[pwcatalog.BackendServer]{
			Key: "desk-0",
			Value: pwcatalog.BackendServer{
				ID:          "desk-0",
				Service:     "desk",
				Address:     "desk-0",
				DataCentre:  "hakata",
				StartUnixMS: 7,
			},
		}
		s.gateway.ApplyServers([]pwcontrol.Item[pwcatalog.BackendServer]{entry}, time.Time{})
		s.setRest(3*time.Second, "desk-0")
		s.sendRequest(context.Background(), "/view/1")
		s.gateway.ApplyServers([]pwcontrol.Item[pwcatalog.BackendServer]{{
			Key:     "desk-0",
			Removed: true,
		}, entry}, time.Time{})
		s.sendRequest(context.Background(), "/view/2")
		if s.rejected != 1 {
			t.Errorf("%d requests reached the server, want only the one before its rest", s.rejected)
		}
	})
}

// A new incarnation of a server has asked for nothing.
func TestRestEndsWithIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestingSite(t, "desk", 1)
		s.setRest(time.Minute, "desk-0")
		s.sendRequest(context.Background(), "/view/1")
		s.setRest(0, "desk-0")
		if w, _ := s.sendRequest(context.Background(), "/view/2"); w.Code != http.StatusServiceUnavailable {
			t.Fatalf("got %d while the only server rests, want 503", w.Code)
		}
		time.Sleep(time.Second)
		s.gateway.ApplyServers([]pwcontrol.Item[pwcatalog.BackendServer]{{
			Key: "desk-0",
			Value: pwcatalog.BackendServer{
				ID:          "desk-0",
				Service:     "desk",
				Address:     "desk-0",
				DataCentre:  "hakata",
				StartUnixMS: time.Now().UnixMilli(),
			},
		}}, time.Time{})
		if w, _ := s.sendRequest(context.Background(), "/view/3"); w.Code != http.StatusOK {
			t.Errorf("got %d from the new incarnation, want 200", w.Code)
		}
	})
}
