package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// tenantKeys is one tenant of the configuration with the keys that it has left.
type tenantKeys struct {
	name string
	keys []string
}

// revokeConfiguration returns a configuration with a route for bookings that needs a key.
func revokeConfiguration(version int, tenants []tenantKeys) map[string]any {
	list := make([]map[string]any, 0, len(tenants))
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.name, "keys": append([]string{}, t.keys...), "priority": 1})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-book", "host": "crew.example", "prefix": "/book/", "kind": "unsafe", "timeout-ms": 600,
			"target-latency-ms": 100, "priority": 2, "service": "crew-desk", "attempts": 1, "public": false,
		}},
		"services": []map[string]any{{
			"name": "crew-desk", "health-path": "/health", "connection-limit": 100, "cold-start-s": 0.0, "cold-per-s": 0.0,
		}},
		"limits": map[string]any{
			"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": list,
	}
}

// book sends one booking on a new connection and returns the status, or 0 without a response.
func book(rec *recorder, f *front, attempt, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers+"/book/1", strings.NewReader("scaffold 7"))
	if err != nil {
		return 0
	}
	req.Host = "crew.example"
	req.Close = true
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Milliseconds", "600")
	req.Header.Set("Authorization", "Bearer "+key)
	rec.logf("sent      %s to %s with key %s", attempt, f.name, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		rec.logf("answered  %s: no response: %v", attempt, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	rec.logf("answered  %s: %d, seal %q", attempt, resp.StatusCode, resp.Header.Get("X-Response-Seal"))
	return resp.StatusCode
}

// runRevoke takes keys away, three at a time, until no tenant has one, and sends bookings with
// a revoked key and with a key that never was in a configuration. Without trouble no key is
// taken away. It returns whether the rules held.
func runRevoke(rec *recorder, dir string, trouble bool) (bool, error) {
	st, err := newStore()
	if err != nil {
		return false, err
	}
	var servers []*plainServer
	for i, zone := range []string{"hakata", "dazaifu", "kurume"} {
		s, err := newPlainServer(fmt.Sprintf("i-crew%d", i), "crew-desk", zone, 15*time.Millisecond, rec)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		st.put("servers", s.id, s.entry())
	}
	var tenants []tenantKeys
	for i := range 10 {
		tenants = append(tenants, tenantKeys{
			name: fmt.Sprintf("tenant%d", i),
			keys: []string{fmt.Sprintf("key%da", i), fmt.Sprintf("key%db", i)},
		})
	}
	version := 4
	st.put("op", "config", revokeConfiguration(version, tenants))
	var fronts []*front
	defer func() {
		for _, f := range fronts {
			f.stop()
		}
	}()
	for i, zone := range []string{"hakata", "dazaifu", "kurume"} {
		f, err := newFront(dir, fmt.Sprintf("front-%s-%d", zone, i+1), zone, st.address)
		if err != nil {
			return false, err
		}
		fronts = append(fronts, f)
	}
	time.Sleep(2 * time.Second)
	for i, f := range fronts {
		if status := book(rec, f, fmt.Sprintf("before-%d", i), "key0a"); status != http.StatusOK {
			return false, fmt.Errorf("before the change %s answered %d to a valid key", f.name, status)
		}
		if status := book(rec, f, fmt.Sprintf("before-unknown-%d", i), "never-a-key"); status != http.StatusUnauthorized {
			return false, fmt.Errorf("before the change %s answered %d to an unknown key", f.name, status)
		}
	}
	inForce := make(map[string]bool)
	for _, t := range tenants {
		for _, key := range t.keys {
			inForce[key] = true
		}
	}
	taken := 0
	for i := range tenants {
		for trouble && len(tenants[i].keys) > 0 {
			key := tenants[i].keys[0]
			rec.logf("operator  takes %s from %s", key, tenants[i].name)
			delete(inForce, key)
			tenants[i].keys = tenants[i].keys[1:]
			version += 3
			st.put("op", "config", revokeConfiguration(version, tenants))
			if taken++; taken%3 == 0 {
				time.Sleep(time.Second)
			} else {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	rec.logf("operator  version %d is acknowledged; %d keys are left to %d tenants", version, len(inForce), len(tenants))
	// configuration-apply-ms is 2,000; the checks begin a second after that.
	time.Sleep(3 * time.Second)
	held := true
	for round := range 5 {
		for i, f := range fronts {
			for _, key := range []string{"key0a", "never-a-key"} {
				attempt := fmt.Sprintf("after-%s-%d-%d", key, round, i)
				status := book(rec, f, attempt, key)
				if inForce[key] {
					continue
				}
				for _, r := range runsOf(servers, attempt) {
					held = false
					rec.logf("broken    %s ran on %s with key %s, which the configuration does not hold; X-Tenant %q, Authorization passed on: %q",
						attempt, r.server, key, r.tenant, r.authorization)
				}
				if status != http.StatusUnauthorized {
					rec.logf("note      %s was answered %d, the page says 401", attempt, status)
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return held, nil
}
