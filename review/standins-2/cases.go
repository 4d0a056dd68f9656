package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	hostName = "ficu95.example"
	key      = "n2ctnfzs989anu6wsjnb"
)

func config(version int64, headerBytes int) map[string]any {
	engine := map[string]any{"slots": 16, "kv-cache-tokens": 232000, "stride": 43, "step_ms": 1.02, "per_seq_ms": 0.00226,
		"context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0, "hop-ms": 0.075}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-note", "host": hostName, "prefix": "/note/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 300,
				"priority": 1, "service": "desk", "attempts": 2, "public": false, "sticky": true, "resumable": true, "target-gap-ms": 250},
			{"name": "r-long", "host": hostName, "prefix": "/long/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 2500,
				"priority": 1, "service": "desk", "attempts": 2, "public": false, "sticky": true, "resumable": true, "target-gap-ms": 1000},
			{"name": "r-book", "host": hostName, "prefix": "/book/", "kind": "unsafe", "timeout-ms": 600, "target-latency-ms": 100,
				"priority": 2, "service": "ledger", "attempts": 1, "public": false},
			{"name": "r-view", "host": hostName, "prefix": "/view/", "kind": "safe", "timeout-ms": 600, "target-latency-ms": 100,
				"priority": 2, "service": "ledger", "attempts": 2, "public": false},
		},
		"services": []map[string]any{
			{"name": "desk", "health-path": "/health", "connection-limit": 424, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 36.0, "engine": engine},
			{"name": "ledger", "health-path": "/health", "connection-limit": 96, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0},
		},
		"limits":  map[string]any{"header-bytes": headerBytes, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "keys": []string{key}, "priority": 1}},
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func newRequest(g *gateway, method, path, id, body string, deadlineMS int) *http.Request {
	var b io.Reader
	if body != "" {
		b = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+g.front+path, b)
	if err != nil {
		fatal("%v", err)
	}
	r.Host = hostName
	r.GetBody = nil
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(deadlineMS))
	r.Header.Set("Authorization", "Bearer "+key)
	return r
}

// caseLoad sends a mix of requests with many callers, to look for data races.
func caseLoad(tmp string, trouble bool) bool {
	st := newStore()
	st.put("op", "config", config(7, 16384))
	runs := &ledger{}
	var servers []*server
	for i := range 9 {
		servers = append(servers, startServer(st, runs, fmt.Sprintf("i-desk-%d", i), "desk", []string{"scl-a", "scl-b", "scl-c"}[i%3], true))
	}
	for i := range 3 {
		servers = append(servers, startServer(st, runs, fmt.Sprintf("i-ledger-%d", i), "ledger", []string{"scl-a", "scl-b", "scl-c"}[i%3], false))
	}
	var gs []*gateway
	for i := range 3 {
		g := newGateway(tmp, fmt.Sprintf("front-%d", i), []string{"scl-a", "scl-b", "scl-c"}[i], st.addr)
		g.start()
		gs = append(gs, g)
	}
	for _, g := range gs {
		g.awaitReady()
	}
	end := time.Now().Add(25 * time.Second)
	var mu sync.Mutex
	status := map[string]int{}
	var wg sync.WaitGroup
	for range 150 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := http.Client{Transport: &http.Transport{}, Timeout: 9 * time.Second}
			for time.Now().Before(end) {
				g := gs[rand.IntN(len(gs))]
				var r *http.Request
				kind := rand.IntN(4)
				switch kind {
				case 0:
					r = newRequest(g, "POST", "/book/1", newID(), strings.Repeat("b", 600), 600)
				case 1:
					r = newRequest(g, "GET", "/view/1", newID(), "", 600)
				default:
					r = newRequest(g, "POST", "/note/1", newID(), strings.Repeat("n", 1200+rand.IntN(60000)), 10000)
					tokens := 1000 + rand.IntN(9000)
					if rand.IntN(10) == 0 {
						tokens = 45000 + rand.IntN(500000)
					}
					r.Header.Set("X-Token-Counts", fmt.Sprintf("%d,600", tokens))
					r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("aa%d:40,%s:%d", rand.IntN(20), newID(), tokens-40))
					r.Header.Set("X-Model", "m")
				}
				resp, err := c.Do(r)
				res := "error"
				if err == nil {
					var n int64
					n, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					res = fmt.Sprint(resp.StatusCode)
					if err != nil {
						res += " cut"
					}
					_ = n
				}
				mu.Lock()
				status[fmt.Sprint(kind, " ", res)]++
				mu.Unlock()
			}
		}()
	}
	go func() {
		v := int64(8)
		for time.Now().Before(end) {
			time.Sleep(700 * time.Millisecond)
			st.put("op", "config", config(v, 16384))
			v++
			i := rand.IntN(9)
			servers[i].publish(st, "draining")
			time.Sleep(300 * time.Millisecond)
			servers[i].born++
			servers[i].publish(st, "ready")
			if rand.IntN(3) == 0 {
				st.put("op", "evacuate/scl-b", map[string]any{})
				time.Sleep(300 * time.Millisecond)
				st.put("op", "evacuate/scl-b", nil)
			}
		}
	}()
	wg.Wait()
	note("%v", status)
	for _, g := range gs {
		_ = g.cmd.Process.Signal(os.Interrupt)
	}
	time.Sleep(9 * time.Second)
	return false
}

// caseHeaders raises limits.header-bytes while the gateways run, and then sends heads that only
// the new limit allows. DENIED allows 5 + one in 500 of all requests to be refused so.
func caseHeaders(tmp string, trouble bool) bool {
	const oldLimit, newLimit, headBytes = 16384, 65536, 40 << 10
	first := newLimit
	if trouble {
		first = oldLimit
	}
	st := newStore()
	st.put("op", "config", config(7, first))
	runs := &ledger{}
	for i, zone := range []string{"scl-a", "scl-b", "scl-c"} {
		startServer(st, runs, fmt.Sprintf("i-ledger-%d", i), "ledger", zone, false)
	}
	gs := []*gateway{newGateway(tmp, "front-scl-a-1", "scl-a", st.addr), newGateway(tmp, "front-scl-b-1", "scl-b", st.addr)}
	for _, g := range gs {
		g.start()
	}
	for _, g := range gs {
		g.awaitReady()
	}
	note("all gateways are ready; limits.header-bytes is %d in version 7", first)
	sent, denied := 0, 0
	send := func(filler int) {
		for i := range 100 {
			g := gs[i%len(gs)]
			id := newID()
			method, path, body := "POST", "/book/1", strings.Repeat("b", 600)
			if i%4 > 1 {
				method, path, body = "GET", "/view/1", ""
			}
			r := newRequest(g, method, path, id, body, 600)
			if filler > 0 {
				r.Header.Set("X-Note", strings.Repeat("n", filler))
			}
			c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
			resp, err := c.Do(r)
			sent++
			if err != nil {
				note("%s %s to %s, %d bytes of head: %v; %d runs", method, id, g.name, filler+300, err, runs.count(id))
				continue
			}
			raw, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 3 || resp.StatusCode/100 == 4 && resp.StatusCode != 408 && resp.StatusCode != 421 && resp.StatusCode != 429 {
				denied++
			}
			note("%s %s to %s, %d bytes of head: status %d, seal %q, %.40q; %d runs", method, id, g.name, filler+300,
				resp.StatusCode, resp.Header.Get("X-Response-Seal"), raw, runs.count(id))
			time.Sleep(5 * time.Millisecond)
		}
	}
	send(0)
	if denied > 0 {
		fatal("ordinary requests were denied")
	}
	if trouble {
		st.put("op", "config", config(8, newLimit))
		note("version 8 is acknowledged; limits.header-bytes is %d", newLimit)
	}
	// configuration-apply-ms is 2,000; stable-window-ms has passed long ago.
	time.Sleep(5 * time.Second)
	send(headBytes)
	allowed := 5 + sent/500
	note("%d of %d requests were denied with a status of the system, at most %d may be", denied, sent, allowed)
	return denied > allowed
}
