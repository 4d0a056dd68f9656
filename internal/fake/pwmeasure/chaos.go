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

// Loads, times and limits of the chaos run.
const (
	// chaosLoad, a fraction of the capacity, leaves spare capacity for servers that
	// are down or out of service.
	chaosLoad       = 0.3
	chaosWarmUpTime = 20 * time.Second
	chaosFaultTime  = 60 * time.Second
	faultInterval   = 700 * time.Millisecond
	faultDuration   = 3 * time.Second
	// outOfServiceDuration is longer than TargetNewWorkStop, the time within which
	// a data centre or server must stop getting new work.
	outOfServiceDuration = 8 * time.Second
	// pauseDuration is longer than the time that agents wait for an owner or engine
	// that doesn't respond.
	pauseDuration            = 12 * time.Second
	slowFactor               = 3
	chaosReservationInterval = 200 * time.Millisecond
	// settleTime is longer than every deadline, because the memory reserved by
	// entries that were killed is held until the deadlines of their requests.
	settleTime = 11 * time.Minute
	// maxRequestCrashes is how many engines one request may crash. After that it
	// is refused.
	maxRequestCrashes = 2
	resendInterval    = 3 * time.Second
	// minGroupTokens is the number of tokens of a prompt and its response above which
	// a group of engines serves it: 60 % of the memory of an engine, which is the
	// default share for long prompts.
	minGroupTokens = 240_000
)

// ChaosRun is a run of a workload under random faults, together with its result.
type ChaosRun struct {
	*Result
	// Faults counts the injected faults by kind.
	Faults map[string]int
	// Violations describes the guarantees that were violated. Each starts with the
	// number of the guarantee on the design page, if it has one.
	Violations []string

	system       *Current
	organisation pwworkload.Organisation
	rng          *rand.Rand
	// crashingPrompt crashes every engine that runs it.
	crashingPrompt pwworkload.Arrival

	// startedAt is the start of the run and entryKilledAt the time at which an entry
	// was killed. The violation that reports too many crashes names both.
	startedAt     time.Time
	entryKilledAt time.Time

	mu               sync.Mutex
	killedEntries    map[int]bool
	verdicts         map[string][]pwverdict.Verdict // verdicts of the responses to each reservation
	orphanedRequests map[int]bool                   // requests whose entry was killed
	outOfService     map[pwentry.Target]bool
}

// RunChaos sends a workload and reservations while it injects random faults, lets
// all faults heal, and checks the guarantees of the design page.
func RunChaos(ctx context.Context, s *Current, org pwworkload.Organisation, seed uint64) *ChaosRun {
	c := &ChaosRun{
		Faults:           map[string]int{},
		startedAt:        time.Now(),
		system:           s,
		organisation:     org,
		rng:              rand.New(rand.NewPCG(seed, 0x6368616f73)),
		killedEntries:    map[int]bool{},
		verdicts:         map[string][]pwverdict.Verdict{},
		orphanedRequests: map[int]bool{},
		outOfService:     map[pwentry.Target]bool{},
	}
	c.crashingPrompt = pwworkload.Arrival{
		Group:        pwworkload.LengthGroups()[0],
		Workspace:    org.Workspaces[0],
		Prompt:       "a prompt that crashes engines",
		PromptTokens: 2_000,
		MaxTokens:    16,
	}
	fingerprint := pwrequest.Fingerprint(c.crashingPrompt.Workspace, pwfakefleet.Model, c.crashingPrompt.Prompt)
	for _, e := range s.Engines("") {
		e.SetCrashFingerprint(fingerprint, true)
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.injectFaults() })
	wg.Go(func() { c.makeReservations(ctx) })
	wg.Go(func() { c.sendCrashing(ctx) })
	c.Result = Run(ctx, c, arrivalsFor(org, seed, chaosLoad, chaosWarmUpTime+chaosFaultTime), RunOptions{
		ClientLatency: org.ClientLatency,
	})
	wg.Wait()
	time.Sleep(settleTime)
	c.checkGuarantees()
	return c
}

// Submit implements Submitter. It sends a prompt with an idempotency key and sends
// it again through another entry when its entry was killed.
func (c *ChaosRun) Submit(ctx context.Context, a pwworkload.Arrival, admitted func(), emit func(int64, []string) error) error {
	var nextOffset int64
	key := fmt.Sprintf("prompt-%d", a.Number)
	for {
		i := c.liveEntry(a.Number)
		err := c.system.submitWithKey(ctx, i, a, key, nextOffset, admitted, func(offset int64, tokens []string) error {
			nextOffset = offset + int64(len(tokens))
			return emit(offset, tokens)
		})
		if err == nil || ctx.Err() != nil || !c.isKilled(i) {
			return err
		}
		c.mu.Lock()
		c.orphanedRequests[a.Number] = true
		c.mu.Unlock()
	}
}

// liveEntry returns the entry that request n goes to: entry n, modulo the number of
// entries, or the next one that was not killed.
func (c *ChaosRun) liveEntry(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := c.system.fleet.EntryCount()
	for i := range entries {
		if e := (n + i) % entries; !c.killedEntries[e] {
			return e
		}
	}
	return 0
}

func (c *ChaosRun) isKilled(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killedEntries[i]
}

// makeReservations makes reservations and records the verdicts of the responses. Each
// caller retries with the same key after an error, through the next entry.
func (c *ChaosRun) makeReservations(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range int((chaosWarmUpTime + chaosFaultTime) / chaosReservationInterval) {
		time.Sleep(chaosReservationInterval)
		wg.Go(func() {
			key := fmt.Sprintf("booking-%d", i)
			for try := range maxReserveAttempts {
				err := c.system.ReserveAt(ctx, c.liveEntry(i+try), key)
				c.recordVerdict(key, err)
				if err == nil {
					return
				}
				time.Sleep(reserveRetryDelay)
			}
		})
	}
	wg.Wait()
}

// recordVerdict records the verdict of a response to a reservation.
func (c *ChaosRun) recordVerdict(key string, err error) {
	verdict := pwverdict.Ran
	if err != nil {
		verdict = pwverdict.VerdictOf(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verdicts[key] = append(c.verdicts[key], verdict)
}

// sendCrashing sends the crashing prompt repeatedly, as a caller that retries does.
func (c *ChaosRun) sendCrashing(ctx context.Context) {
	time.Sleep(chaosWarmUpTime)
	for i := range int(chaosFaultTime / resendInterval) {
		time.Sleep(resendInterval)
		a := c.crashingPrompt
		a.Number = i
		_ = c.system.SubmitAt(ctx, c.liveEntry(i), a, func() {}, func(int64, []string) error { return nil })
	}
}

// injectFaults injects faults at random intervals and lets each heal. Faults overlap.
func (c *ChaosRun) injectFaults() {
	time.Sleep(chaosWarmUpTime)
	var wg sync.WaitGroup
	for range int(chaosFaultTime / faultInterval) {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(faultInterval)))
		name, heal := c.injectFault()
		c.Faults[name]++
		wg.Go(heal)
	}
	wg.Wait()
}

// injectFault injects a random fault. It returns the kind of the fault and a function
// that waits until the fault is over and heals it.
func (c *ChaosRun) injectFault() (name string, heal func()) {
	fleet := c.system.fleet
	engines := c.system.Engines("")
	engine := engines[c.rng.IntN(len(engines))]
	server := fleet.ServerIDs()[c.rng.IntN(len(fleet.ServerIDs()))]
	switch c.rng.IntN(12) {
	case 0, 1:
		engine.Crash()
		return "engine crash", noHealing
	case 2:
		fleet.RestartAgent(server)
		return "agent restart", noHealing
	case 3:
		return "entry death", c.killEntry()
	case 4:
		return "table outage", c.injectTableFault(pwfakeplatform.FaultOutage, pwfakeplatform.Unlimited)
	case 5:
		return "table reply lost", c.injectTableFault(pwfakeplatform.FaultLostResponse, 1)
	case 6:
		fleet.Service.SetFault(pwfakeservice.FaultLostResponse, 1)
		return "service reply lost", noHealing
	case 7:
		engine.MakeCold()
		return "cold without warning", noHealing
	case 8:
		engine.Pause()
		return "engine pause", healAfter(pauseDuration, engine.Resume)
	case 9:
		engine.SetSlowdown(slowFactor)
		return "slow engine", healAfter(faultDuration, func() { engine.SetSlowdown(1) })
	case 10:
		entry := c.rng.IntN(fleet.EntryCount())
		fleet.SetPathCut(entry, server, true)
		return "path cut", healAfter(faultDuration, func() { fleet.SetPathCut(entry, server, false) })
	default:
		return "taken out", c.takeOut(server)
	}
}

// noHealing is the healing of a fault that ends by itself.
func noHealing() {}

// healAfter returns a function that waits for d and then calls f.
func healAfter(d time.Duration, f func()) func() {
	return func() {
		time.Sleep(d)
		f()
	}
}

// killEntry kills a random entry. Further calls have no effect, so that the other
// entries keep running.
func (c *ChaosRun) killEntry() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.killedEntries) == 0 {
		i := c.rng.IntN(c.system.fleet.EntryCount())
		c.killedEntries[i] = true
		c.entryKilledAt = time.Now()
		c.system.fleet.KillEntry(i)
	}
	return noHealing
}

// injectTableFault sets a fault of the fake table and returns its healing.
func (c *ChaosRun) injectTableFault(f pwfakeplatform.Fault, n int) func() {
	c.system.fleet.Table.SetFault(f, n)
	return healAfter(faultDuration, func() { c.system.fleet.Table.SetFault(f, 0) })
}

// takeOut takes a data centre or one server out of service. The returned function
// waits, brings it back, and checks that it stopped getting new work in time. takeOut
// has no effect while something else is out of service.
func (c *ChaosRun) takeOut(server string) func() {
	dc := c.organisation.DataCentres[c.rng.IntN(len(c.organisation.DataCentres))]
	target := pwentry.Target{
		Scope: pwrouter.ScopeBackendServer,
		Name:  server,
	}
	engines := []*pwfakeengine.Engine{c.system.fleet.Engines()[server]}
	if c.rng.IntN(2) == 0 || engines[0] == nil {
		target = dataCentreTarget(dc)
		engines = c.system.Engines(dc)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.outOfService) > 0 {
		return noHealing
	}
	c.outOfService[target] = true
	takenOutAt := time.Now()
	c.system.fleet.SetOutOfService(target, true)
	return func() {
		time.Sleep(outOfServiceDuration)
		last := lastAttemptStart(engines)
		c.system.fleet.SetOutOfService(target, false)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.outOfService, target)
		if newWorkStopTime := last.Sub(takenOutAt); newWorkStopTime > TargetNewWorkStop {
			c.Violations = append(c.Violations, fmt.Sprintf("4 and 8: %s got new work %v after it was taken out", target.Name, newWorkStopTime))
		}
	}
}

// addViolation records the violation of a guarantee.
func (c *ChaosRun) addViolation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
}

// checkGuarantees checks the guarantees of the design page after all faults have
// healed.
func (c *ChaosRun) checkGuarantees() {
	if c.DeadlineMisses > 0 {
		c.addViolation("1: %d requests ended after their deadline", c.DeadlineMisses)
	}
	for _, f := range c.Failures {
		if !c.isAllowedFailure(f) {
			c.addViolation("1: request %d with %d tokens did not complete: %v", f.Arrival.Number, f.Arrival.PromptTokens, f.Err)
		}
	}
	if c.WrongResponses > 0 {
		c.addViolation("5: %d responses are wrong, for example %s", c.WrongResponses, c.WrongExample)
	}
	if n := c.system.ReservedTokens(); n != 0 {
		c.addViolation("2: agents still reserve %d tokens", n)
	}
	stats := lo.Map(c.system.Engines(""), func(e *pwfakeengine.Engine, _ int) pwfakeengine.Stats {
		if used, running := e.Usage(); used != 0 || running != 0 {
			c.addViolation("2: %s still holds %d tokens for %d attempts", e.Name(), used, running)
		}
		return e.Stats()
	})
	sum := func(f func(pwfakeengine.Stats) int64) int64 { return lo.SumBy(stats, f) }
	if n := sum(func(s pwfakeengine.Stats) int64 { return s.OvercommitCrashes }); n > 0 {
		c.addViolation("3: %d engines ran out of memory", n)
	}
	if n := sum(func(s pwfakeengine.Stats) int64 { return s.ColdStartCrashes }); n > 0 {
		c.addViolation("3: %d engines crashed in cold start", n)
	}
	if n := sum(func(s pwfakeengine.Stats) int64 { return s.SuddenColdCrashes }); n > 0 {
		c.addViolation("3: %d engines that became cold without warning crashed", n)
	}
	if n := sum(func(s pwfakeengine.Stats) int64 { return s.WrongGivenTokens }); n > 0 {
		c.addViolation("5: %d attempts were resumed with wrong tokens", n)
	}
	if n := sum(func(s pwfakeengine.Stats) int64 { return s.RequestCrashes }); n > maxRequestCrashes {
		var crashTimes []time.Duration
		for _, s := range stats {
			for _, t := range s.RequestCrashTimes {
				crashTimes = append(crashTimes, t.Sub(c.startedAt))
			}
		}
		slices.Sort(crashTimes)
		c.addViolation("a crashing request crashed %d engines, allowed are %d: at %v, an entry died at %v",
			n, maxRequestCrashes, crashTimes, c.entryKilledAt.Sub(c.startedAt))
	}
	c.checkReservations()
}

// isAllowedFailure reports whether the design page allows an admitted request to
// fail: its entry was killed and then the agent that had its response, or as many
// engines crashed while they ran it as a crashing request may crash. For requests
// that a group may have served, quarantine is always allowed, because crashes in a
// group's segments are not counted by request.
func (c *ChaosRun) isAllowedFailure(f Failure) bool {
	a := f.Arrival
	switch pwverdict.CauseOf(f.Err) {
	case pwverdict.CauseQuarantined:
		fingerprint := pwrequest.Fingerprint(a.Workspace, pwfakefleet.Model, a.Prompt)
		deaths := lo.SumBy(c.system.Engines(""), func(e *pwfakeengine.Engine) int { return e.CrashedAttempts(fingerprint) })
		return deaths >= maxRequestCrashes || a.PromptTokens+a.MaxTokens > minGroupTokens
	case pwverdict.CauseUnavailable:
		return c.orphanedRequests[a.Number]
	default:
		return false
	}
}

// checkReservations checks that each reservation ran at most once and that the
// verdicts of its responses agree with how often it ran.
func (c *ChaosRun) checkReservations() {
	for key, verdicts := range c.verdicts {
		claimsNotRun := lo.EveryBy(verdicts, func(v pwverdict.Verdict) bool { return v == pwverdict.NotRun })
		switch n := countRuns(c.system.Service(), key); {
		case n > 1:
			c.addViolation("7: %s ran %d times", key, n)
		case n > 0 && claimsNotRun:
			c.addViolation("6: %s ran, its replies are %v", key, verdicts)
		case n == 0 && slices.Contains(verdicts, pwverdict.Ran):
			c.addViolation("7: %s did not run, its replies are %v", key, verdicts)
		}
	}
}

// String returns the counts of the run in one line, followed by a line for each
// violation.
func (c *ChaosRun) String() string {
	runs := map[int]int{}
	for key := range c.verdicts {
		runs[countRuns(c.system.Service(), key)]++
	}
	return fmt.Sprintf("faults %v; completed %d, refused %d, lost %d, wrong %d, late %d; reservations by runs %v; tokens left reserved %d\n%s",
		c.Faults, c.Completed, c.Refused, c.Lost, c.WrongResponses, c.DeadlineMisses, runs, c.system.ReservedTokens(), strings.Join(c.Violations, "\n"))
}
