package pwgateway

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwculprit"
	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
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
	// recalledCrashes is the number of older crashes in a message to peers.
	recalledCrashes = 4
	// maxRefused bounds the refused requests whose crashes are recalled.
	maxRefused = 64
	// maxPartNames bounds the identifiers of parts that are kept for the log.
	maxPartNames = 4096
)

// crashTracker counts the servers that crashed while they ran a request, or requests
// with a common part in their prompts, and selects what peers are told of them.
type crashTracker struct {
	obs *pwobserve.Observer
	// onQuarantine is called when a part was quarantined.
	onQuarantine func()

	mu       sync.Mutex
	requests *pwquarantine.Tracker
	parts    *pwculprit.Tracker
	// recent holds the crashes of requests that are still sent to peers.
	recent []recentCrash
	// refused holds the fingerprints of the requests that are refused, oldest first, and
	// recalled the number of crashes that recall has returned of them.
	refused  []uint64
	recalled int
	// partNames holds the identifiers of the parts in this process's crashes, by hash.
	partNames map[uint64]string
	// stored holds the quarantined parts whose crashes the platform's store has.
	stored map[uint64]bool
}

// recentCrash is a crash that is still included in the messages to peers.
type recentCrash struct {
	pwpeering.Crash
	at time.Time
	// sent is the number of messages that it was included in.
	sent int
}

func newCrashTracker(obs *pwobserve.Observer) *crashTracker {
	return &crashTracker{
		obs:          obs,
		onQuarantine: func() {},
		requests: pwquarantine.New(pwquarantine.Config{
			RefuseAfter: crashLimit,
			Retention:   crashRetention,
		}),
		parts: pwculprit.New(pwculprit.Config{
			Retention: crashRetention,
		}),
		partNames: make(map[uint64]string),
		stored:    make(map[uint64]bool),
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

// sharedParts returns the hashes of the parts of a prompt that other requests may share:
// all but the last one.
func sharedParts(ids []string) []uint64 {
	if len(ids) < 2 {
		return nil
	}
	hashes := make([]uint64, 0, len(ids)-1)
	for _, id := range ids[:len(ids)-1] {
		hashes = append(hashes, xxhash.Sum64String(id))
	}
	return hashes
}

// hashIncarnation identifies a start of a backend server in crashes.
func hashIncarnation(s pwcatalog.BackendServer) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", s.ID, s.StartUnixMS))
}

// checkQuarantine returns an error if a request must not run, or not run again, because
// it or a part of its prompt crashes servers.
func (c *crashTracker) checkQuarantine(x *exchange) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.requests.Decide(now, x.fingerprint) == pwquarantine.Refused {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQuarantined, "the request crashed %d backend servers", crashLimit)
	}
	if part, ok := c.parts.Quarantined(now, x.sharedParts); ok {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQuarantined,
			"backend servers crash under part %s of the prompt", x.metadata.PromptParts[slices.Index(x.sharedParts, part)])
	}
	return nil
}

// recordRequestEnd records that a request ran to its end without a crash.
func (c *crashTracker) recordRequestEnd(fp uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.ClearCrashes(time.Now(), fp)
}

// recordAnswer records that a server has answered a request.
func (c *crashTracker) recordAnswer(server pwcatalog.BackendServer, parts []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts.RecordCompletion(time.Now(), hashIncarnation(server), parts)
}

// recordCrash records a crash that this process found itself.
func (c *crashTracker) recordCrash(x *exchange, server pwcatalog.BackendServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	crash := pwpeering.Crash{
		Kind:        pwpeering.CrashOfRequest,
		Fingerprint: x.fingerprint,
		// Equal requests that ran on the server when it crashed name the same crash.
		Attempt: hashIncarnation(server),
	}
	c.mergeRequestCrash(now, crash, now)
	c.recent = append(c.recent, recentCrash{
		Crash: crash,
		at:    now,
	})
	if len(c.partNames) > maxPartNames {
		clear(c.partNames)
	}
	for i, part := range x.sharedParts {
		c.partNames[part] = x.metadata.PromptParts[i]
	}
	c.parts.RecordCrash(now, hashIncarnation(server), x.sharedParts)
}

func (c *crashTracker) mergeRequestCrash(now time.Time, crash pwpeering.Crash, at time.Time) {
	c.requests.Merge(now, []pwquarantine.FingerprintCrashes{{
		Fingerprint: crash.Fingerprint,
		Crashes: []pwquarantine.Crash{{
			Attempt: pwrequest.AttemptID(formatHash(crash.Attempt)),
			At:      at,
		}},
	}})
	if c.requests.Decide(now, crash.Fingerprint) == pwquarantine.Refused && !slices.Contains(c.refused, crash.Fingerprint) {
		c.refused = append(c.refused, crash.Fingerprint)
		c.refused = c.refused[max(0, len(c.refused)-maxRefused):]
	}
}

// mergeReport records what a peer reported.
func (c *crashTracker) mergeReport(crashes []pwpeering.Crash) {
	if len(crashes) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var records []pwculprit.Record
	for _, crash := range crashes {
		at := now.Add(-time.Duration(crash.AgeMS) * time.Millisecond)
		switch crash.Kind {
		case pwpeering.CrashOfRequest:
			c.mergeRequestCrash(now, crash, at)
			continue
		case pwpeering.StoredPart:
			if len(c.stored) < maxStoredParts {
				c.stored[crash.Fingerprint] = true
			}
		}
		records = append(records, pwculprit.Record{
			Crash: pwculprit.Crash{
				Part:   crash.Fingerprint,
				Server: crash.Attempt,
				Depth:  crash.Depth,
				At:     at,
			},
			Cleared: crash.Kind == pwpeering.ClearedPart,
		})
	}
	c.parts.Merge(now, records)
}

// formatHash formats a hash as 16 hexadecimal digits.
func formatHash(n uint64) string { return fmt.Sprintf("%016x", n) }

// gossip returns what all peers are told. It also logs the changes of the quarantine,
// because it is called regularly.
func (c *crashTracker) gossip() []pwpeering.Crash {
	c.mu.Lock()
	now := time.Now()
	out := c.requestGossip(now, pwpeering.MaxCrashes/2)
	for _, r := range c.parts.Outgoing(now, pwpeering.MaxCrashes-len(out)) {
		kind := pwpeering.CrashOfPart
		if r.Cleared {
			kind = pwpeering.ClearedPart
		}
		out = append(out, partRecord(now, kind, r.Crash))
	}
	changes := c.parts.TakeChanges(now)
	for _, change := range changes {
		if !change.Quarantined {
			delete(c.stored, change.Part)
		}
	}
	c.mu.Unlock()
	for _, change := range changes {
		c.logChange(change)
	}
	return out
}

// requestGossip returns up to n crashes of requests, those first that were sent least
// often, so that none waits while others are repeated.
func (c *crashTracker) requestGossip(now time.Time, n int) []pwpeering.Crash {
	c.recent = slices.DeleteFunc(c.recent, func(r recentCrash) bool { return now.Sub(r.at) >= crashGossipPeriod })
	slices.SortStableFunc(c.recent, func(a, b recentCrash) int { return cmp.Compare(a.sent, b.sent) })
	n = min(n, len(c.recent))
	out := make([]pwpeering.Crash, 0, pwpeering.MaxCrashes)
	for i := range c.recent[:n] {
		r := &c.recent[i]
		r.sent++
		r.AgeMS = ageMS(now, r.at)
		out = append(out, r.Crash)
	}
	return out
}

// recall returns some crashes of refused requests and of quarantined parts, each time the
// next ones in turn.
func (c *crashTracker) recall() []pwpeering.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	out := c.recallRequests(now, recalledCrashes/2)
	for _, crash := range c.parts.Recall(now, recalledCrashes-len(out)) {
		kind := pwpeering.CrashOfPart
		if c.stored[crash.Part] {
			kind = pwpeering.StoredPart
		}
		out = append(out, partRecord(now, kind, crash))
	}
	return out
}

// recallRequests returns up to n crashes of refused requests.
func (c *crashTracker) recallRequests(now time.Time, n int) []pwpeering.Crash {
	c.refused = slices.DeleteFunc(c.refused, func(fp uint64) bool { return c.requests.Decide(now, fp) != pwquarantine.Refused })
	var all []pwpeering.Crash
	for _, fp := range c.refused {
		crashes := c.requests.Crashes(now, fp)
		for _, crash := range crashes[:min(len(crashes), crashLimit)] {
			attempt, err := strconv.ParseUint(string(crash.Attempt), 16, 64)
			if err != nil {
				continue
			}
			all = append(all, pwpeering.Crash{
				Kind:        pwpeering.CrashOfRequest,
				Fingerprint: fp,
				Attempt:     attempt,
				AgeMS:       ageMS(now, crash.At),
			})
		}
	}
	out := make([]pwpeering.Crash, 0, recalledCrashes)
	for range min(n, len(all)) {
		out = append(out, all[c.recalled%len(all)])
		c.recalled++
	}
	return out
}

func ageMS(now, at time.Time) uint32 { return uint32(max(1, now.Sub(at).Milliseconds())) }

func partRecord(now time.Time, kind pwpeering.CrashKind, crash pwculprit.Crash) pwpeering.Crash {
	return pwpeering.Crash{
		Kind:        kind,
		Depth:       crash.Depth,
		Fingerprint: crash.Part,
		Attempt:     crash.Server,
		AgeMS:       ageMS(now, crash.At),
	}
}

func (c *crashTracker) logChange(change pwculprit.Change) {
	c.mu.Lock()
	name := c.partNames[change.Part]
	c.mu.Unlock()
	f := log.Fields{
		"part":      name,
		"part_hash": formatHash(change.Part),
	}
	if !change.Quarantined {
		c.obs.LogEvent("part_released", f)
		return
	}
	f["crashes"] = change.Crashes
	c.obs.LogEvent("part_quarantined", f)
	c.onQuarantine()
}

// probeCrash connects to a server after a broken response, of which this server had sent
// the given number of events. It records a crash if the server no longer listens.
func (g *Gateway) probeCrash(x *exchange, server pwcatalog.BackendServer, events int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*crashProbeDelay+g.dispatcher.bounds().StallTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return
	case <-time.After(crashProbeDelay):
	}
	conn, err := g.pool.Get(ctx, server.Address, "")
	if err == nil {
		conn.Close()
		return
	}
	g.crashes.recordCrash(x, server)
	g.obs.LogEvent("crash_counted", x.logFields(
		"backend_server", server.ID,
		"backend_address", server.Address,
		"probe", err.Error(),
		"events", events,
		"fingerprint", formatHash(x.fingerprint),
		"prompt_parts", strings.Join(x.metadata.PromptParts, ","),
	))
}
