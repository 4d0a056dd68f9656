package pwgateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

const (
	// crashesToRefuse is the number of servers that a request may crash: after
	// the third the platform counts further sends.
	crashesToRefuse = 2
	// crashRetention covers the time in which a caller sends such a request again.
	crashRetention = 10 * time.Minute
	// crashRepeat is how long a crash is told to peers.
	crashRepeat = 5 * time.Second
	// crashProbeDelay is the time after a broken answer at which its server is
	// asked whether it still listens.
	crashProbeDelay = 30 * time.Millisecond
)

// crashes counts the servers that died under a request.
type crashes struct {
	mu      sync.Mutex
	tracker *pwquarantine.Tracker
	recent  []recentCrash
}

type recentCrash struct {
	pwpeering.Crash
	at time.Time
}

func newCrashes() *crashes {
	return &crashes{
		tracker: pwquarantine.New(pwquarantine.Config{
			RefuseAfter: crashesToRefuse,
			Retention:   crashRetention,
		}),
	}
}

// fingerprint names a request by its path, caller and body.
func fingerprint(target, workspace string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{target, "\x00", workspace, "\x00"} {
		// The hash never fails to take bytes.
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// refused reports whether a request may not run any more.
func (c *crashes) refused(fp uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Decide(time.Now(), fp) == pwquarantine.Refused
}

// finished clears a request that ran to its end.
func (c *crashes) finished(fp uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ClearCrashes(time.Now(), fp)
}

// add notes a crash.
func (c *crashes) add(fp, attempt uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-age)
	c.tracker.Merge(time.Now(), []pwquarantine.FingerprintCrashes{{
		Fingerprint: fp,
		Crashes: []pwquarantine.Crash{{
			Attempt: attemptName(attempt),
			At:      at,
		}},
	}})
	if age == 0 {
		c.recent = append(c.recent, recentCrash{
			Crash: pwpeering.Crash{
				Fingerprint: fp,
				Attempt:     attempt,
			},
			at: at,
		})
	}
}

func attemptName(n uint64) pwrequest.AttemptID {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[15-i] = digits[n>>(4*i)&15]
	}
	return pwrequest.AttemptID(b[:])
}

// tell returns the crashes that peers should know.
func (c *crashes) tell() []pwpeering.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	kept := c.recent[:0]
	var out []pwpeering.Crash
	for _, r := range c.recent {
		if now.Sub(r.at) < crashRepeat {
			kept = append(kept, r)
			r.AgeMS = uint32(max(1, now.Sub(r.at).Milliseconds()))
			out = append(out, r.Crash)
		}
	}
	c.recent = kept
	return out
}

// OwnLoads implements pwpeering.View.
func (g *Gateway) OwnLoads() []pwfleet.ServerLoad { return g.dispatch.ownLoads() }

// OwnBudgets implements pwpeering.View.
func (g *Gateway) OwnBudgets() []pwpeering.BudgetUsage { return g.dispatch.ownBudgets() }

// OwnCrashes implements pwpeering.View.
func (g *Gateway) OwnCrashes() []pwpeering.Crash { return g.crashes.tell() }

// MergePeer implements pwpeering.View.
func (g *Gateway) MergePeer(peer string, m pwpeering.Message) {
	for _, c := range m.Crashes {
		g.crashes.add(c.Fingerprint, c.Attempt, max(time.Millisecond, time.Duration(c.AgeMS)*time.Millisecond))
	}
	g.dispatch.mergePeer(peer, m)
}

// probeCrash finds out whether a server died under a request: one that no
// longer listens did.
func (g *Gateway) probeCrash(x *exchange, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*crashProbeDelay+g.cfg.Deployment.Bounds.StallTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return
	case <-time.After(crashProbeDelay):
	}
	conn, err := g.pool.Get(ctx, address)
	if err == nil {
		conn.Close()
		return
	}
	g.crashes.add(x.fingerprint, xxhash.Sum64String(x.call.ID+address), 0)
	g.obs.Event("crash_counted", x.fields("backend_address", address, "probe", err.Error()))
}
