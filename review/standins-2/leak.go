package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// ticket is memory that is set aside at an engine.
type ticket struct {
	id, engine string
	tokens     int64
	expires    time.Time
	using      int
	everUsed   bool
	lastUsed   time.Time
	renewals   int
}

// tickets holds the memory that is set aside at all engines, by engine and id.
type tickets struct {
	mu   sync.Mutex
	held map[string]*ticket
	// longest is the longest time that memory stayed set aside after the last request that
	// used it had ended.
	longest time.Duration
}

func (t *tickets) key(engine, id string) string { return engine + "/" + id }

// expire drops what is no longer held, and notes how long it stayed after its last use.
func (t *tickets) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, x := range t.held {
		if time.Now().After(x.expires) {
			t.drop(k, "expired")
		}
	}
}

func (t *tickets) drop(key, how string) {
	x := t.held[key]
	if x == nil {
		return
	}
	delete(t.held, key)
	if !x.everUsed || x.using > 0 {
		note("ticket %s at %s %s, renewed %d times, used by %d", x.id, x.engine, how, x.renewals, x.using)
		return
	}
	d := time.Since(x.lastUsed)
	note("ticket %s at %s (%d tokens) %s, renewed %d times, %d ms after the last request that used it had ended",
		x.id, x.engine, x.tokens, how, x.renewals, d.Milliseconds())
	t.longest = max(t.longest, d)
}

func (t *tickets) order(engine string, w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int64  `json:"tokens"`
		HoldMS    int64  `json:"hold-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.key(engine, o.ID)
	switch o.Operation {
	case "reserve":
		x := t.held[k]
		if x == nil {
			x = &ticket{id: o.ID, engine: engine, tokens: o.Tokens}
			t.held[k] = x
			note("ticket %s: %d tokens set aside at %s for %d ms", o.ID, o.Tokens, engine, o.HoldMS)
		} else {
			x.renewals++
		}
		x.expires = time.Now().Add(time.Duration(min(o.HoldMS, 20000)) * time.Millisecond)
	case "release":
		t.drop(k, "released")
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"free":100000}`)
}

// use marks the tickets of a request as used, or as used no longer.
func (t *tickets) use(keys []string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		if x := t.held[k]; x != nil {
			x.using += n
			x.everUsed = true
			x.lastUsed = time.Now()
		}
	}
}

// caseLeak sends a prompt that needs the memory of several engines. The engine runs it to its
// end, but its answer is lost.
func caseLeak(tmp string, trouble bool) bool {
	const (
		freeTime = 4 * time.Second
		engines  = 21
		work     = 800 * time.Millisecond
	)
	st := newStore()
	st.put("op", "config", config(7, 16384))
	runs := &ledger{}
	tk := &tickets{held: map[string]*ticket{}}
	byAddress := map[string]string{}
	lost := false
	var mu sync.Mutex
	for i := range engines {
		id := fmt.Sprintf("i-desk-%d", i)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			fatal("%v", err)
		}
		mu.Lock()
		byAddress[l.Addr().String()] = id
		mu.Unlock()
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("X-Attempt-Id")
			w.Header().Set("X-Attempt-Id", attempt)
			if e := r.Header.Get("X-Expected-Instance"); e != "" && e != id {
				w.Header().Set("X-Instance-Id", id)
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if r.URL.Path == "/v1/order" {
				tk.order(id, w, r)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			runs.add(run{id: attempt, server: id, begun: time.Now()})
			var keys []string
			for _, h := range strings.Split(r.Header.Get("X-Helpers"), ",") {
				if addr, name, ok := strings.Cut(h, "/"); ok {
					mu.Lock()
					keys = append(keys, tk.key(byAddress[addr], name))
					mu.Unlock()
				}
			}
			tk.use(keys, 1)
			mu.Lock()
			loseIt := trouble && !lost
			lost = true
			mu.Unlock()
			note("%s runs at %s with %d tickets", attempt, id, len(keys))
			time.Sleep(work)
			if loseIt {
				tk.use(keys, -1)
				note("%s has ended at %s; its answer is lost", attempt, id)
				// Nothing comes on this connection any more.
				c, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					time.Sleep(60 * time.Second)
					_ = c.Close()
				}
				return
			}
			w.Header().Set("X-Response-Seal", "seal."+attempt)
			w.Header().Set("Content-Type", "text/event-stream")
			for i := 1; i <= 10; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, attempt)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(60 * time.Millisecond)
			}
			tk.use(keys, -1)
			note("%s has ended at %s", attempt, id)
		})
		srv := &http.Server{Handler: handler}
		go func() { _ = srv.Serve(l) }()
		st.put("servers", id, map[string]any{"service": "desk", "address": l.Addr().String(), "zone": []string{"scl-a", "scl-b", "scl-c"}[i%3],
			"version": "v1", "slots": 16, "state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	}
	g := newGateway(tmp, "front-scl-a-1", "scl-a", st.addr)
	g.start()
	g.awaitReady()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			tk.expire()
		}
	}()
	time.Sleep(4 * time.Second)
	id := newID()
	r := newRequest(g, "POST", "/long/1", id, strings.Repeat("p", 33000), 15000)
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Counts", "500000,600")
	r.Header.Set("X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:499960")
	// Clients abandon a stream after four times the objective without an event, which is 10 s here.
	c := http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	sent := time.Now()
	resp, err := c.Do(r)
	if err != nil {
		note("%s: %v", id, err)
	} else {
		ids, err := readEvents(resp.Body)
		_ = resp.Body.Close()
		note("%s: status %d, events %v, %v, %d ms", id, resp.StatusCode, ids, err, time.Since(sent).Milliseconds())
	}
	time.Sleep(5 * time.Second)
	tk.expire()
	tk.mu.Lock()
	defer tk.mu.Unlock()
	var left []string
	for k := range tk.held {
		left = append(left, k)
	}
	sort.Strings(left)
	note("left: %v; memory stayed set aside for up to %d ms after the last request that used it had ended, allowed are %d ms",
		left, tk.longest.Milliseconds(), freeTime.Milliseconds())
	return tk.longest > freeTime
}
