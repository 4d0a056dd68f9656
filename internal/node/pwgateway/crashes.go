package pwgateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

const (
	// crashLimit is the number of servers that a request may crash before it is
	// refused. After the third crash the platform counts further sends.
	crashLimit = 2
	// crashRetention covers the time in which a caller retries such a request.
	crashRetention = 10 * time.Minute
	// crashGossipPeriod is how long a crash is included in the messages to peers.
	crashGossipPeriod = 5 * time.Second
	// crashProbeDelay is the time between a broken response and the connection
	// attempt that shows whether its server still listens.
	crashProbeDelay = 30 * time.Millisecond
)

// crashTracker counts the servers that crashed while they ran a request, and keeps
// this process's recent crashes for its peers.
type crashTracker struct {
	mu      sync.Mutex
	tracker *pwquarantine.Tracker
	recent  []recentCrash
}

// recentCrash is a crash that is still included in the messages to peers.
type recentCrash struct {
	pwpeering.Crash
	at time.Time
}

func newCrashTracker() *crashTracker {
	return &crashTracker{
		tracker: pwquarantine.New(pwquarantine.Config{
			RefuseAfter: crashLimit,
			Retention:   crashRetention,
		}),
	}
}

// fingerprint returns a hash of a request's target, workspace and body, which
// identifies the request when it is sent again.
func fingerprint(requestURI, workspace string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{requestURI, "\x00", workspace, "\x00"} {
		// Writing to this hash never fails.
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// isQuarantined reports whether a request must not run any more.
func (c *crashTracker) isQuarantined(fp uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Decide(time.Now(), fp) == pwquarantine.Refused
}

// recordCompletion records that a request ran to its end without a crash.
func (c *crashTracker) recordCompletion(fp uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ClearCrashes(time.Now(), fp)
}

// record records a crash that happened age ago. Age 0 marks a crash that this
// process found itself and sends to its peers.
func (c *crashTracker) record(fp, attempt uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-age)
	c.tracker.Merge(time.Now(), []pwquarantine.FingerprintCrashes{{
		Fingerprint: fp,
		Crashes: []pwquarantine.Crash{{
			Attempt: formatAttemptID(attempt),
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

// formatAttemptID formats the number of an attempt as 16 hexadecimal digits.
func formatAttemptID(n uint64) pwrequest.AttemptID {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[15-i] = digits[n>>(4*i)&15]
	}
	return pwrequest.AttemptID(b[:])
}

// gossip returns this process's recent crashes, for the message to its peers.
func (c *crashTracker) gossip() []pwpeering.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	stillRecent := c.recent[:0]
	var out []pwpeering.Crash
	for _, r := range c.recent {
		if now.Sub(r.at) < crashGossipPeriod {
			stillRecent = append(stillRecent, r)
			r.AgeMS = uint32(max(1, now.Sub(r.at).Milliseconds()))
			out = append(out, r.Crash)
		}
	}
	c.recent = stillRecent
	return out
}

// probeCrash connects to a server after a broken response, of which this server had sent
// the given number of events. It records a crash if the server no longer listens.
func (g *Gateway) probeCrash(x *exchange, server pwcatalog.BackendServer, events int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*crashProbeDelay+g.cfg.Deployment.Bounds.StallTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return
	case <-time.After(crashProbeDelay):
	}
	conn, err := g.pool.Get(ctx, server.Address)
	if err == nil {
		conn.Close()
		return
	}
	g.crashes.record(x.fingerprint, xxhash.Sum64String(x.metadata.ID+server.Address), 0)
	g.obs.LogEvent("crash_counted", x.logFields(
		"backend_server", server.ID,
		"backend_address", server.Address,
		"probe", err.Error(),
		"events", events,
		"fingerprint", fmt.Sprintf("%016x", x.fingerprint),
		"prompt_parts", strings.Join(x.metadata.PromptParts, ","),
	))
}
