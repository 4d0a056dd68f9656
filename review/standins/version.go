package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// modelConfiguration returns a configuration with a streaming route to the model servers and a
// route for looking bookings up.
func modelConfiguration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-note", "host": "crew.example", "prefix": "/note/", "kind": "streaming", "timeout-ms": 10000,
			"target-latency-ms": 300, "priority": 1, "service": "brush-model", "attempts": 2, "public": false,
			"sticky": true, "resumable": true, "target-gap-ms": 250,
		}, {
			"name": "r-view", "host": "crew.example", "prefix": "/view/", "kind": "safe", "timeout-ms": 600,
			"target-latency-ms": 100, "priority": 2, "service": "crew-desk", "attempts": 2, "public": false,
		}},
		"services": []map[string]any{{
			"name": "brush-model", "health-path": "/health", "connection-limit": 424, "protocol": "h1", "tls": false,
			"cold-start-s": 3.0, "cold-per-s": 36.0, "engine": map[string]any{
				"slots": 16, "kv-cache-tokens": 232000, "kv-token-bytes": 327680, "link-mbps": 400000.0, "stride": 43,
				"models": []map[string]any{{"name": "m"}}, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
				"read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0,
				"usual": map[string]any{"prompt": 12316, "answer": 1303}, "hop-ms": 0.075,
			},
		}, {
			"name": "crew-desk", "health-path": "/health", "connection-limit": 100, "protocol": "h1", "tls": false,
			"cold-start-s": 0.0, "cold-per-s": 0.0,
		}},
		"limits": map[string]any{
			"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []map[string]any{{"name": "tenant0", "keys": []string{"key0a"}, "priority": 1}},
	}
}

// call is one request of a caller.
type call struct {
	method, path, attempt, deadline string
	headers                         map[string]string
}

// do sends a request on a new connection and returns the status, or 0 without a complete
// response.
func do(rec *recorder, f *front, c call) int {
	ctx, cancel := context.WithTimeout(context.Background(), 11*time.Second)
	defer cancel()
	var body io.Reader
	if c.method == http.MethodPost {
		body = strings.NewReader("the prompt")
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+f.callers+c.path, body)
	if err != nil {
		return 0
	}
	req.Host = "crew.example"
	req.Close = true
	req.Header.Set("X-Attempt-Id", c.attempt)
	req.Header.Set("X-Deadline-Milliseconds", c.deadline)
	req.Header.Set("Authorization", "Bearer key0a")
	for name, value := range c.headers {
		req.Header.Set(name, value)
	}
	rec.logf("sent      %s %s %s to %s, X-Expected-Version %q", c.attempt, c.method, c.path, f.name, c.headers["X-Expected-Version"])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		rec.logf("answered  %s: no response: %v", c.attempt, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		rec.logf("answered  %s: %d, cut: %v", c.attempt, resp.StatusCode, err)
		return 0
	}
	rec.logf("answered  %s: %d, seal %q, %d bytes", c.attempt, resp.StatusCode, resp.Header.Get("X-Response-Seal"), len(raw))
	return resp.StatusCode
}

// note returns a prompt of 4,960 tokens.
func note(attempt, version string) call {
	c := call{
		method: http.MethodPost, path: "/note/1", attempt: attempt, deadline: "10000",
		headers: map[string]string{
			"X-Model": "m", "X-Token-Counts": "4960,80", "X-Prompt-Prefix": "5c1e07a2:40," + attempt + ":4920",
		},
	}
	if version != "" {
		c.headers["X-Expected-Version"] = version
	}
	return c
}

// view looks a booking up.
func view(attempt string) call {
	return call{method: http.MethodGet, path: "/view/" + attempt, attempt: attempt, deadline: "600"}
}

// modelSite is a small deployment with model servers, plain servers and gateways.
type modelSite struct {
	st      *store
	engines []*engineServer
	desks   []*plainServer
	fronts  []*front
}

func (m *modelSite) stop() {
	for _, f := range m.fronts {
		f.stop()
	}
}

// newModelSite starts the servers and gateways, and waits until all of them serve.
func newModelSite(rec *recorder, dir string) (*modelSite, error) {
	m := &modelSite{}
	var err error
	if m.st, err = newStore(); err != nil {
		return m, err
	}
	zones := []string{"hakata", "dazaifu", "kurume"}
	m.st.put("op", "config", modelConfiguration(4))
	for i := range 23 {
		s, err := newEngineServer(fmt.Sprintf("i-brush%02d", i), "brush-model", zones[i%3], rec)
		if err != nil {
			return m, err
		}
		m.engines = append(m.engines, s)
		m.st.put("servers", s.id, s.entry())
	}
	for i, zone := range zones {
		s, err := newPlainServer(fmt.Sprintf("i-crew%d", i), "crew-desk", zone, 15*time.Millisecond, rec)
		if err != nil {
			return m, err
		}
		m.desks = append(m.desks, s)
		m.st.put("servers", s.id, s.entry())
	}
	for i, zone := range []string{"hakata", "hakata", "dazaifu", "kurume"} {
		f, err := newFront(dir, fmt.Sprintf("front-%s-%d", zone, i+1), zone, m.st.address)
		if err != nil {
			return m, err
		}
		m.fronts = append(m.fronts, f)
	}
	time.Sleep(4 * time.Second)
	return m, nil
}

// traffic sends notes and views to all gateways in turn for a time and returns how many of
// each kind were sent and served.
func (m *modelSite) traffic(rec *recorder, label string, d time.Duration) (notes, notesServed, views, viewsServed int) {
	type result struct{ isNote, served bool }
	results := make(chan result, 4096)
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n++
		f, isNote := m.fronts[n%len(m.fronts)], n%5 != 0
		c := view(fmt.Sprintf("%s-view-%d", label, n))
		if isNote {
			c = note(fmt.Sprintf("%s-note-%d", label, n), "")
		}
		go func() { results <- result{isNote: isNote, served: do(rec, f, c) == http.StatusOK} }()
	}
	for range n {
		switch r := <-results; {
		case r.isNote:
			notes++
			if r.served {
				notesServed++
			}
		default:
			views++
			if r.served {
				viewsServed++
			}
		}
	}
	rec.logf("counted   %s: %d of %d notes and %d of %d views served", label, notesServed, notes, viewsServed, views)
	return notes, notesServed, views, viewsServed
}

// runVersion sends each gateway a few prompts that expect weights of a version which no server
// has, as a caller does that has heard of new weights before they are loaded, and then
// ordinary prompts. Without trouble the first prompts expect nothing.
func runVersion(rec *recorder, dir string, trouble bool) (bool, error) {
	m, err := newModelSite(rec, dir)
	defer m.stop()
	if err != nil {
		return false, err
	}
	if notes, served, _, _ := m.traffic(rec, "before", 5*time.Second); served < notes*9/10 {
		return false, fmt.Errorf("before the disruption only %d of %d notes were served", served, notes)
	}
	version := ""
	if trouble {
		version = fmt.Sprint(weightsVersion + 1)
	}
	for round := range 30 {
		for i, f := range m.fronts {
			do(rec, f, note(fmt.Sprintf("early-%d-%d", round, i), version))
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	notes, served, views, viewsServed := m.traffic(rec, "after", 30*time.Second)
	// Starved: a kind of request is served less than a quarter as often as all requests.
	all := float64(served+viewsServed) / float64(notes+views)
	own := float64(served) / float64(notes)
	rec.logf("counted   share of notes served %.3f, of all requests %.3f", own, all)
	return own >= all/4, nil
}
