package pwmeasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwworkload"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
)

// Times and rates of the chaos scenario.
const (
	// chaosLoad leaves room for the servers that are away.
	chaosLoad  = 0.3
	chaosWarm  = 20 * time.Second
	chaosTime  = 60 * time.Second
	faultEvery = 700 * time.Millisecond
	faultFor   = 3 * time.Second
	// outFor is longer than the time within which a place must be silent.
	outFor = 8 * time.Second
	// pauseFor is longer than the agents' tolerance for a silent owner or engine.
	pauseFor     = 12 * time.Second
	slowFactor   = 3
	bookingEvery = 200 * time.Millisecond
	// settleTime is longer than every deadline: reservations of dead entries
	// are held until then.
	settleTime = 11 * time.Minute
	// crashesAllowed is the bound on the crashes of one request: after two it
	// is refused.
	crashesAllowed = 2
	resendEvery    = 3 * time.Second
	// groupTokens is the length from which a group serves a prompt: by default
	// 60 % of an engine's memory are for long ones.
	groupTokens = 240_000
)

// Chaos is what was seen during random faults and after them.
type Chaos struct {
	*Result
	// Faults counts the faults by kind.
	Faults map[string]int
	// Broken lists the promises that were broken, with what was seen.
	Broken []string

	system *Current
	org    pwworkload.Organisation
	rng    *rand.Rand
	// crashing is the prompt that crashes every engine that runs it.
	crashing pwworkload.Arrival

	// began is when the scenario began, and diedAt when its entry died; both
	// explain crashes.
	began  time.Time
	diedAt time.Time

	mu       sync.Mutex
	dead     map[int]bool
	verdicts map[string][]pwverdict.Verdict // replies to each reservation
	orphaned map[int]bool                   // requests whose entry died
	out      map[pwentry.Target]bool
}

// RunChaos sends a workload and reservations while faults are brought about at
// random, lets everything heal, and checks the promises of the design page.
func RunChaos(ctx context.Context, s *Current, org pwworkload.Organisation, seed uint64) *Chaos {
	c := &Chaos{
		Faults:   map[string]int{},
		began:    time.Now(),
		system:   s,
		org:      org,
		rng:      rand.New(rand.NewPCG(seed, 0x6368616f73)),
		dead:     map[int]bool{},
		verdicts: map[string][]pwverdict.Verdict{},
		orphaned: map[int]bool{},
		out:      map[pwentry.Target]bool{},
	}
	c.crashing = pwworkload.Arrival{
		Group:        pwworkload.LengthGroups()[0],
		Workspace:    org.Workspaces[0],
		Prompt:       "a prompt that crashes engines",
		PromptTokens: 2_000,
		MaxTokens:    16,
	}
	fingerprint := pwrequest.Fingerprint(c.crashing.Workspace, pwfakefleet.Model, c.crashing.Prompt)
	for _, e := range s.Engines("") {
		e.SetCrashFingerprint(fingerprint, true)
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.injectAll() })
	wg.Go(func() { c.book(ctx) })
	wg.Go(func() { c.sendCrashing(ctx) })
	c.Result = Run(ctx, c, arrivalsFor(org, seed, chaosLoad, chaosWarm+chaosTime), RunOptions{
		ToClients: org.ClientLatency,
	})
	wg.Wait()
	time.Sleep(settleTime)
	c.check()
	return c
}

// Submit sends a prompt as a careful caller does: with an idempotency key, and
// again through another entry when its own died.
func (c *Chaos) Submit(ctx context.Context, a pwworkload.Arrival, admitted func(), emit func(int64, []string) error) error {
	var next int64
	key := fmt.Sprintf("prompt-%d", a.Number)
	for {
		i := c.liveEntry(a.Number)
		err := c.system.submitFrom(ctx, i, a, key, next, admitted, func(offset int64, tokens []string) error {
			next = offset + int64(len(tokens))
			return emit(offset, tokens)
		})
		if err == nil || ctx.Err() != nil || !c.isDead(i) {
			return err
		}
		c.mu.Lock()
		c.orphaned[a.Number] = true
		c.mu.Unlock()
	}
}

func (c *Chaos) liveEntry(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := c.system.fleet.EntryCount()
	for i := range entries {
		if e := (n + i) % entries; !c.dead[e] {
			return e
		}
	}
	return 0
}

func (c *Chaos) isDead(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead[i]
}

// book makes reservations and remembers the replies. A caller
// sends its key again unless the reply says how it ended.
func (c *Chaos) book(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range int((chaosWarm + chaosTime) / bookingEvery) {
		time.Sleep(bookingEvery)
		wg.Go(func() {
			key := fmt.Sprintf("booking-%d", i)
			for try := range reserveTries {
				err := c.system.ReserveAt(ctx, c.liveEntry(i+try), key)
				c.reply(key, err)
				if err == nil {
					return
				}
				time.Sleep(reserveRetry)
			}
		})
	}
	wg.Wait()
}

func (c *Chaos) reply(key string, err error) {
	verdict := pwverdict.Ran
	if err != nil {
		verdict = pwverdict.VerdictOf(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verdicts[key] = append(c.verdicts[key], verdict)
}

// sendCrashing sends the crashing prompt again and again, as its caller does.
func (c *Chaos) sendCrashing(ctx context.Context) {
	time.Sleep(chaosWarm)
	for i := range int(chaosTime / resendEvery) {
		time.Sleep(resendEvery)
		a := c.crashing
		a.Number = i
		_ = c.system.SubmitAt(ctx, c.liveEntry(i), a, func() {}, func(int64, []string) error { return nil })
	}
}

// injectAll brings about one fault after another, several at a time.
func (c *Chaos) injectAll() {
	time.Sleep(chaosWarm)
	var wg sync.WaitGroup
	for range int(chaosTime / faultEvery) {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(faultEvery)))
		name, heal := c.inject()
		c.Faults[name]++
		wg.Go(heal)
	}
	wg.Wait()
}

// inject brings about one fault and returns how it heals.
func (c *Chaos) inject() (name string, heal func()) {
	fleet := c.system.fleet
	engines := c.system.Engines("")
	engine := engines[c.rng.IntN(len(engines))]
	server := fleet.ServerIDs()[c.rng.IntN(len(fleet.ServerIDs()))]
	switch c.rng.IntN(12) {
	case 0, 1:
		engine.Crash()
		return "engine crash", nothing
	case 2:
		fleet.RestartAgent(server)
		return "agent restart", nothing
	case 3:
		return "entry death", c.killEntry()
	case 4:
		return "table outage", c.tableFault(pwfakeplatform.FaultOutage, pwfakeplatform.Forever)
	case 5:
		return "table reply lost", c.tableFault(pwfakeplatform.FaultLostReply, 1)
	case 6:
		fleet.Service.SetFault(pwfakeservice.FaultLostReply, 1)
		return "service reply lost", nothing
	case 7:
		engine.MakeCold()
		return "cold without warning", nothing
	case 8:
		engine.Pause()
		return "engine pause", after(pauseFor, engine.Resume)
	case 9:
		engine.SetSlowdown(slowFactor)
		return "slow engine", after(faultFor, func() { engine.SetSlowdown(1) })
	case 10:
		entry := c.rng.IntN(fleet.EntryCount())
		fleet.SetPathCut(entry, server, true)
		return "path cut", after(faultFor, func() { fleet.SetPathCut(entry, server, false) })
	default:
		return "taken out", c.takeOut(server)
	}
}

func nothing() {}

func after(d time.Duration, f func()) func() {
	return func() {
		time.Sleep(d)
		f()
	}
}

// killEntry kills one entry; the others go on.
func (c *Chaos) killEntry() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.dead) == 0 {
		i := c.rng.IntN(c.system.fleet.EntryCount())
		c.dead[i] = true
		c.diedAt = time.Now()
		c.system.fleet.KillEntry(i)
	}
	return nothing
}

func (c *Chaos) tableFault(f pwfakeplatform.Fault, n int) func() {
	c.system.fleet.Table.SetFault(f, n)
	return after(faultFor, func() { c.system.fleet.Table.SetFault(f, 0) })
}

// takeOut takes a data centre or one server out of service, checks that it
// becomes silent, and brings it back. Marks don't overlap.
func (c *Chaos) takeOut(server string) func() {
	dc := c.org.DataCentres[c.rng.IntN(len(c.org.DataCentres))]
	m := pwentry.Target{
		Scope: pwrouter.ScopeBackendServer,
		Name:  server,
	}
	engines := []*pwfakeengine.Engine{c.system.fleet.Engines()[server]}
	if c.rng.IntN(2) == 0 || engines[0] == nil {
		m = markOf(dc)
		engines = c.system.Engines(dc)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.out) > 0 {
		return nothing
	}
	c.out[m] = true
	taken := time.Now()
	c.system.fleet.SetOutOfService(m, true)
	return func() {
		time.Sleep(outFor)
		last := lastStart(engines)
		c.system.fleet.SetOutOfService(m, false)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.out, m)
		if silent := last.Sub(taken); silent > TargetSilent {
			c.Broken = append(c.Broken, fmt.Sprintf("4 and 8: %s got new work %v after it was taken out", m.Name, silent))
		}
	}
}

func (c *Chaos) broken(format string, args ...any) {
	c.Broken = append(c.Broken, fmt.Sprintf(format, args...))
}

// check looks at what is left after everything has healed.
func (c *Chaos) check() {
	if c.Late > 0 {
		c.broken("1: %d requests ended after their deadline", c.Late)
	}
	for _, f := range c.Failures {
		if !c.allowed(f) {
			c.broken("1: request %d with %d tokens did not complete: %v", f.Arrival.Number, f.Arrival.PromptTokens, f.Err)
		}
	}
	if c.Wrong > 0 {
		c.broken("5: %d responses are wrong, for example %s", c.Wrong, c.Example)
	}
	if n := c.system.Reserved(); n != 0 {
		c.broken("2: agents still reserve %d tokens", n)
	}
	stats := lo.Map(c.system.Engines(""), func(e *pwfakeengine.Engine, _ int) pwfakeengine.Stats {
		if used, running := e.Usage(); used != 0 || running != 0 {
			c.broken("2: %s still holds %d tokens for %d attempts", e.Name(), used, running)
		}
		return e.Stats()
	})
	sum := func(f func(pwfakeengine.Stats) int64) int64 { return lo.SumBy(stats, f) }
	if n := sum(func(s pwfakeengine.Stats) int64 { return s.OvercommitCrashes }); n > 0 {
		c.broken("3: %d engines ran out of memory", n)
	}
	if n := sum(func(s pwfakeengine.Stats) int64 { return s.ColdStartCrashes }); n > 0 {
		c.broken("3: %d engines fell over in cold start", n)
	}
	if n := sum(func(s pwfakeengine.Stats) int64 { return s.SuddenColdCrashes }); n > 0 {
		c.broken("3: %d engines that became cold without warning fell over", n)
	}
	if n := sum(func(s pwfakeengine.Stats) int64 { return s.WrongGivenTokens }); n > 0 {
		c.broken("5: %d attempts were resumed with wrong tokens", n)
	}
	if n := sum(func(s pwfakeengine.Stats) int64 { return s.RequestCrashes }); n > crashesAllowed {
		var at []time.Duration
		for _, s := range stats {
			for _, t := range s.RequestCrashTimes {
				at = append(at, t.Sub(c.began))
			}
		}
		slices.Sort(at)
		c.broken("a crashing request crashed %d engines, allowed are %d: at %v, an entry died at %v",
			n, crashesAllowed, at, c.diedAt.Sub(c.began))
	}
	c.checkReservations()
}

// allowed reports whether the design page allows an admitted request to fail:
// its entry died and then the agent that had its response, or engines died
// under it as often as under a crashing request. The deaths of a group's
// segments are not counted here.
func (c *Chaos) allowed(f Failure) bool {
	a := f.Arrival
	switch pwverdict.CauseOf(f.Err) {
	case pwverdict.CauseQuarantined:
		fingerprint := pwrequest.Fingerprint(a.Workspace, pwfakefleet.Model, a.Prompt)
		deaths := lo.SumBy(c.system.Engines(""), func(e *pwfakeengine.Engine) int { return e.CrashedAttempts(fingerprint) })
		return deaths >= crashesAllowed || a.PromptTokens+a.MaxTokens > groupTokens
	case pwverdict.CauseUnavailable:
		return c.orphaned[a.Number]
	default:
		return false
	}
}

func (c *Chaos) checkReservations() {
	for key, verdicts := range c.verdicts {
		claimsNotRun := lo.EveryBy(verdicts, func(v pwverdict.Verdict) bool { return v == pwverdict.NotRun })
		switch n := runsOf(c.system.Service(), key); {
		case n > 1:
			c.broken("7: %s ran %d times", key, n)
		case n > 0 && claimsNotRun:
			c.broken("6: %s ran, its replies are %v", key, verdicts)
		case n == 0 && slices.Contains(verdicts, pwverdict.Ran):
			c.broken("7: %s did not run, its replies are %v", key, verdicts)
		}
	}
}

// String describes the result in a few lines.
func (c *Chaos) String() string {
	runs := map[int]int{}
	for key := range c.verdicts {
		runs[runsOf(c.system.Service(), key)]++
	}
	return fmt.Sprintf("faults %v; completed %d, refused %d, lost %d, wrong %d, late %d; reservations by runs %v; tokens left reserved %d\n%s",
		c.Faults, c.Completed, c.Refused, c.Lost, c.Wrong, c.Late, runs, c.system.Reserved(), strings.Join(c.Broken, "\n"))
}
