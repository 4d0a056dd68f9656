// Package pwscenario implements a small script language for tests of the guarantees
// of the whole system. A script starts a fleet in memory, sends requests, injects
// faults, advances the clock, and states the expected output of each command.
//
// # Usage
//
//	fleet centres=(hakata,dazaifu,kurume) engines=2 plain=1
//	----
//
//	prompt a tokens=1000 entry=0
//	----
//
//	crash server=lantern-hakata-00
//	----
//
//	await a
//	----
//	a: complete
//
// Scripts run inside testing/synctest bubbles, on the fake clock.
package pwscenario

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
)

// Runner runs the commands of one script.
type Runner struct {
	ctx           context.Context
	fleet         *pwfakefleet.Fleet
	requests      map[string]*request
	startedAtMark map[string]int64 // attempts by engine at the last "mark" command
}

// request is a prompt that the script has sent.
type request struct {
	inFlight  *pwentry.InFlightRequest // nil if the prompt was refused
	prompt    string
	maxTokens int64
	err       error // why the prompt was refused
}

// NewRunner returns a runner without a fleet. The "fleet" command of a script starts
// one.
func NewRunner(ctx context.Context) *Runner {
	return &Runner{
		ctx:           ctx,
		requests:      map[string]*request{},
		startedAtMark: map[string]int64{},
	}
}

// Close stops the fleet, if there is one.
func (r *Runner) Close() {
	if r.fleet != nil {
		r.fleet.Close()
	}
}

// Run runs one command of a script and returns its output. An error becomes part of
// the output.
func (r *Runner) Run(d *datadriven.TestData) string {
	commands := map[string]func(*datadriven.TestData) string{
		"fleet":      r.startFleet,
		"prompt":     r.sendPrompt,
		"prompts":    r.sendPrompts,
		"advance":    r.advanceClock,
		"await":      r.awaitRequests,
		"call":       r.callMethod,
		"runs":       r.listRuns,
		"crash":      r.crashEngine,
		"cold":       r.makeEngineCold,
		"pause":      r.pauseEngine,
		"resume":     r.resumeEngine,
		"crash-on":   r.crashOnPrompt,
		"kill":       r.killProcess,
		"restart":    r.restartAgent,
		"roll":       r.restartAllAgents,
		"cut":        r.cutPaths,
		"mend":       r.restorePaths,
		"take-out":   r.takeOut,
		"bring-back": r.bringBack,
		"table":      r.setTableFault,
		"service":    r.setServiceFault,
		"cancel":     r.cancelRequest,
		"read":       r.readResponse,
		"reserved":   r.reservedMemory,
		"mark":       r.markStartedAttempts,
		"new-work":   r.countNewWork,
		"shutdown":   r.shutDownProcess,
		"crashes":    r.countCrashes,
		"stats":      r.countBoundViolations,
		"late":       r.countDeadlineMisses,
	}
	run, ok := commands[d.Cmd]
	if !ok {
		return fmt.Sprintf("unknown command %q", d.Cmd)
	}
	return run(d)
}

const (
	model                 = "lantern-design"
	workspace             = "demo"
	betweenCentresLatency = 1500 * time.Microsecond
)

// startFleet starts a fleet with the documents of a model service and a plain
// service. Its engines are warm unless the command has the argument "cold".
func (r *Runner) startFleet(d *datadriven.TestData) string {
	var centres []pwrequest.DataCentre
	for _, a := range d.CmdArgs {
		if a.Key == "centres" {
			for _, v := range a.Vals {
				centres = append(centres, pwrequest.DataCentre(v))
			}
		}
	}
	opts := pwfakefleet.Options{
		DataCentres:           centres,
		EnginesPerCentre:      pwscript.IntOr(d, "engines", 1),
		PlainServersPerCentre: pwscript.IntOr(d, "plain", 0),
		EntryCount:            pwscript.IntOr(d, "entries", 0),
		InterCentreLatency:    betweenCentresLatency,
		Seed:                  uint64(pwscript.IntOr(d, "seed", 1)),
		Engine: pwfakeengine.Options{
			StartWarm: !d.HasArg("cold"),
		},
	}
	docs, err := pwfakefleet.Documents(centres, opts.EnginesPerCentre, opts.PlainServersPerCentre, workspace, "other")
	if err != nil {
		return err.Error()
	}
	opts.Documents = docs
	r.fleet = pwfakefleet.New(r.ctx, opts)
	if !d.HasArg("cold") {
		r.fleet.WarmUp()
	}
	return ""
}

// sendPrompt sends one prompt. Its content is its name unless the command sets "text".
func (r *Runner) sendPrompt(d *datadriven.TestData) string {
	return r.submit(d, pwscript.Names(d)[0], pwscript.StringOr(d, "text", pwscript.Names(d)[0]))
}

// sendPrompts sends count prompts named base-0, base-1 and so on, and waits for the
// interval "every" after each.
func (r *Runner) sendPrompts(d *datadriven.TestData) string {
	base := pwscript.Names(d)[0]
	interval := pwscript.DurationOr(d, "every", 0)
	for i := range pwscript.IntOr(d, "count", 1) {
		name := fmt.Sprintf("%s-%d", base, i)
		if out := r.submit(d, name, name); out != "" {
			return out
		}
		time.Sleep(interval)
	}
	return ""
}

// submit sends a prompt and returns the verdict and cause if it is refused.
func (r *Runner) submit(d *datadriven.TestData, name, content string) string {
	q := &request{
		prompt:    "prompt " + content,
		maxTokens: int64(pwscript.IntOr(d, "max", 16)),
	}
	q.inFlight, q.err = r.fleet.Entry(pwscript.IntOr(d, "entry", 0)).Submit(r.ctx, pwentry.Submission{
		Workspace:      pwrequest.WorkspaceID(pwscript.StringOr(d, "workspace", workspace)),
		Service:        pwfakefleet.ModelService,
		Model:          model,
		Prompt:         q.prompt,
		PromptTokens:   int64(pwscript.IntOr(d, "tokens", 1000)),
		MaxTokens:      q.maxTokens,
		Deadline:       pwscript.DurationOr(d, "deadline", 0),
		IdempotencyKey: pwscript.StringOr(d, "key", ""),
	})
	r.requests[name] = q
	if q.err != nil {
		return describeError(q.err)
	}
	return ""
}

// describeError returns the verdict and cause of an error, or its whole text if
// SCENARIO_DETAIL is set in the environment.
func describeError(err error) string {
	if os.Getenv("SCENARIO_DETAIL") != "" {
		return err.Error()
	}
	return fmt.Sprintf("%s %s", pwverdict.VerdictOf(err), pwverdict.CauseOf(err))
}

// advanceClock waits for the durations in the arguments.
func (r *Runner) advanceClock(d *datadriven.TestData) string {
	for _, n := range pwscript.Names(d) {
		v, err := time.ParseDuration(n)
		if err != nil {
			return err.Error()
		}
		time.Sleep(v)
	}
	return ""
}

// awaitRequests waits for requests and prints how each ended. A name that ends in "*"
// stands for all requests with that prefix and prints counts.
func (r *Runner) awaitRequests(d *datadriven.TestData) string {
	var out []string
	for _, n := range pwscript.Names(d) {
		if prefix, ok := strings.CutSuffix(n, "*"); ok {
			out = append(out, r.awaitPrefix(prefix))
			continue
		}
		out = append(out, n+": "+r.readToEnd(r.requests[n], r.requests[n].inFlight, 0))
	}
	return strings.Join(out, "\n")
}

// awaitPrefix waits for all requests whose names have a prefix and counts them by
// outcome.
func (r *Runner) awaitPrefix(prefix string) string {
	counts := map[string]int{}
	for n, q := range r.requests {
		if strings.HasPrefix(n, prefix) {
			counts[r.readToEnd(q, q.inFlight, 0)]++
		}
	}
	var lines []string
	for outcome, n := range counts {
		lines = append(lines, fmt.Sprintf("%s*: %d %s", prefix, n, outcome))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// readToEnd reads the response to a request from a token offset to its end and
// returns its outcome. It checks that the tokens are those of this request's own
// response, each once and in order.
func (r *Runner) readToEnd(q *request, f *pwentry.InFlightRequest, offset int64) string {
	if q.err != nil {
		return "refused " + describeError(q.err)
	}
	var got []string
	next := offset
	reason, err := f.Read(r.ctx, offset, func(o int64, tokens []string) error {
		if o != next {
			return fmt.Errorf("tokens at offset %d, want %d", o, next)
		}
		next += int64(len(tokens))
		got = append(got, tokens...)
		return nil
	})
	if err != nil {
		return "failed " + describeError(err)
	}
	for i, t := range got {
		if want := pwfakeengine.Token(q.prompt, offset+int64(i)); t != want {
			return fmt.Sprintf("WRONG token %d: %q, want %q", offset+int64(i), t, want)
		}
	}
	if reason == "cancelled" {
		return "cancelled"
	}
	if next != q.maxTokens {
		return fmt.Sprintf("WRONG length %d, want %d", next, q.maxTokens)
	}
	return "complete"
}

// callMethod calls a method of the plain service and prints the status.
func (r *Runner) callMethod(d *datadriven.TestData) string {
	res, err := r.fleet.Entry(pwscript.IntOr(d, "entry", 0)).Call(r.ctx, pwentry.Call{
		Workspace:      pwrequest.WorkspaceID(pwscript.StringOr(d, "workspace", workspace)),
		Service:        pwfakefleet.PlainService,
		Method:         pwscript.StringOr(d, "method", pwfakeservice.MethodReserve),
		Body:           []byte(pwscript.StringOr(d, "body", `{"item":"scaffold"}`)),
		IdempotencyKey: pwscript.StringOr(d, "key", ""),
	})
	if err != nil {
		return describeError(err)
	}
	if res.Replayed {
		return fmt.Sprintf("%d replayed", res.Status)
	}
	return fmt.Sprint(res.Status)
}

// listRuns prints how often the plain service ran each idempotency key.
func (r *Runner) listRuns(*datadriven.TestData) string {
	var lines []string
	for key, n := range r.fleet.Service.AllRuns() {
		lines = append(lines, fmt.Sprintf("%s: %d", key, n))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// engine returns the engine of the backend server in the argument "server".
func (r *Runner) engine(d *datadriven.TestData) *pwfakeengine.Engine {
	return r.fleet.Engines()[pwscript.StringOr(d, "server", "")]
}

func (r *Runner) crashEngine(d *datadriven.TestData) string {
	r.engine(d).Crash()
	return ""
}

func (r *Runner) makeEngineCold(d *datadriven.TestData) string {
	r.engine(d).MakeCold()
	return ""
}

func (r *Runner) pauseEngine(d *datadriven.TestData) string {
	r.engine(d).Pause()
	return ""
}

func (r *Runner) resumeEngine(d *datadriven.TestData) string {
	r.engine(d).Resume()
	return ""
}

// crashOnPrompt makes every engine crash when it runs the prompt with the given text.
func (r *Runner) crashOnPrompt(d *datadriven.TestData) string {
	fp := pwrequest.Fingerprint(workspace, model, "prompt "+pwscript.StringOr(d, "text", ""))
	for _, e := range r.fleet.Engines() {
		e.SetCrashFingerprint(fp, true)
	}
	return ""
}

// killProcess ends an entry or an agent at once.
func (r *Runner) killProcess(d *datadriven.TestData) string {
	if d.HasArg("entry") {
		r.fleet.KillEntry(pwscript.IntOr(d, "entry", 0))
		return ""
	}
	r.fleet.KillAgent(pwscript.StringOr(d, "agent", ""))
	return ""
}

func (r *Runner) restartAgent(d *datadriven.TestData) string {
	r.fleet.RestartAgent(pwscript.StringOr(d, "agent", ""))
	return ""
}

// restartAllAgents restarts the agents of all engines, as often as "times" says and
// with the interval "every".
func (r *Runner) restartAllAgents(d *datadriven.TestData) string {
	for range pwscript.IntOr(d, "times", 1) {
		for id := range r.fleet.Engines() {
			r.fleet.RestartAgent(id)
		}
		time.Sleep(pwscript.DurationOr(d, "every", time.Second))
	}
	return ""
}

// cutPaths breaks the paths from an entry to the matching backend servers.
func (r *Runner) cutPaths(d *datadriven.TestData) string { return r.setCut(d, true) }

// restorePaths restores the paths that cutPaths broke.
func (r *Runner) restorePaths(d *datadriven.TestData) string { return r.setCut(d, false) }

func (r *Runner) setCut(d *datadriven.TestData, cut bool) string {
	for _, id := range r.fleet.ServerIDs() {
		if strings.HasPrefix(id, pwscript.StringOr(d, "servers", "")) {
			r.fleet.SetPathCut(pwscript.IntOr(d, "entry", 0), id, cut)
		}
	}
	return ""
}

// markTarget returns the backend server or data centre that a command names.
func markTarget(d *datadriven.TestData) pwentry.Target {
	if d.HasArg("server") {
		return pwentry.Target{
			Scope: pwrouter.ScopeBackendServer,
			Name:  pwscript.StringOr(d, "server", ""),
		}
	}
	return pwentry.Target{
		Scope: pwrouter.ScopeDataCentre,
		Name:  pwscript.StringOr(d, "centre", ""),
	}
}

func (r *Runner) takeOut(d *datadriven.TestData) string { return r.setMark(d, true) }

func (r *Runner) bringBack(d *datadriven.TestData) string { return r.setMark(d, false) }

// setMark takes a backend server or data centre out of service or brings it back, at
// one entry or at all.
func (r *Runner) setMark(d *datadriven.TestData, out bool) string {
	var entries []int
	if d.HasArg("entry") {
		entries = append(entries, pwscript.IntOr(d, "entry", 0))
	}
	r.fleet.SetOutOfService(markTarget(d), out, entries...)
	return ""
}

// setTableFault sets a fault of the fake table.
func (r *Runner) setTableFault(d *datadriven.TestData) string {
	r.fleet.Table.SetFault(pwfakeplatform.Fault(pwscript.StringOr(d, "fault", "")), pwscript.IntOr(d, "times", pwfakeplatform.Unlimited))
	return ""
}

// setServiceFault sets a fault of the fake plain service.
func (r *Runner) setServiceFault(d *datadriven.TestData) string {
	r.fleet.Service.SetFault(pwfakeservice.Fault(pwscript.StringOr(d, "fault", "")), pwscript.IntOr(d, "times", pwfakeservice.Unlimited))
	return ""
}

// cancelRequest cancels a request through any entry and prints whether it was running.
func (r *Runner) cancelRequest(d *datadriven.TestData) string {
	q := r.requests[pwscript.Names(d)[0]]
	ok, err := r.fleet.Entry(pwscript.IntOr(d, "entry", 0)).Cancel(r.ctx, q.inFlight.Request().ID(),
		pwrequest.WorkspaceID(pwscript.StringOr(d, "workspace", workspace)))
	if err != nil {
		return describeError(err)
	}
	return fmt.Sprintf("cancelled %t", ok)
}

// readResponse reads the response to a request through any entry.
func (r *Runner) readResponse(d *datadriven.TestData) string {
	q := r.requests[pwscript.Names(d)[0]]
	f, err := r.fleet.Entry(pwscript.IntOr(d, "entry", 0)).Find(r.ctx, q.inFlight.Request().ID(),
		pwrequest.WorkspaceID(pwscript.StringOr(d, "workspace", workspace)))
	if err != nil {
		return describeError(err)
	}
	return r.readToEnd(q, f, int64(pwscript.IntOr(d, "offset", 0)))
}

// reservedMemory prints the engine memory that all agents have reserved and the
// memory that the engines hold for attempts.
func (r *Runner) reservedMemory(*datadriven.TestData) string {
	var held int64
	for _, e := range r.fleet.Engines() {
		used, _ := e.Usage()
		held += used
	}
	return fmt.Sprintf("reserved %d held %d", r.fleet.ReservedTokens(), held)
}

// markStartedAttempts records how many attempts each engine has started, for
// countNewWork.
func (r *Runner) markStartedAttempts(*datadriven.TestData) string {
	for id, e := range r.fleet.Engines() {
		r.startedAtMark[id] = e.Stats().Started
	}
	return ""
}

// countNewWork prints how many attempts the matching engines have started since the
// last "mark" command. With the argument "some" it prints that word for any number
// above 0.
func (r *Runner) countNewWork(d *datadriven.TestData) string {
	var n int64
	for id, e := range r.fleet.Engines() {
		if strings.HasPrefix(id, pwscript.StringOr(d, "servers", "")) {
			n += e.Stats().Started - r.startedAtMark[id]
		}
	}
	if n > 0 && d.HasArg("some") {
		return "some"
	}
	return fmt.Sprint(n)
}

// shutDownProcess shuts an entry or an agent down gracefully.
func (r *Runner) shutDownProcess(d *datadriven.TestData) string {
	ctx, cancel := context.WithTimeout(r.ctx, pwscript.DurationOr(d, "within", time.Minute))
	defer cancel()
	var err error
	if d.HasArg("agent") {
		err = r.fleet.Agent(pwscript.StringOr(d, "agent", "")).Shutdown(ctx)
	} else {
		err = r.fleet.Entry(pwscript.IntOr(d, "entry", 0)).Shutdown(ctx)
	}
	if err != nil {
		return err.Error()
	}
	return "finished"
}

// countCrashes prints the total number of crashes of all engines.
func (r *Runner) countCrashes(*datadriven.TestData) string {
	var n int64
	for _, e := range r.fleet.Engines() {
		n += e.Stats().Crashes
	}
	return fmt.Sprint(n)
}

// deadlineTolerance is how long after its deadline a request may end.
const deadlineTolerance = 100 * time.Millisecond

// countDeadlineMisses prints how many admitted requests had not ended by their
// deadlines.
func (r *Runner) countDeadlineMisses(*datadriven.TestData) string {
	n := 0
	for _, q := range r.requests {
		if q.inFlight == nil {
			continue
		}
		endedAt, ended := q.inFlight.EndTime()
		if !ended {
			endedAt = time.Now()
		}
		if endedAt.After(q.inFlight.Request().Deadline().Add(deadlineTolerance)) {
			n++
		}
	}
	return fmt.Sprint(n)
}

// countBoundViolations prints how often engines ran out of memory, crashed in cold
// start, or resumed a response with wrong tokens. All three must be 0 in every
// scenario.
func (r *Runner) countBoundViolations(*datadriven.TestData) string {
	var overcommits, coldCrashes, wrongResumptions int64
	for _, e := range r.fleet.Engines() {
		s := e.Stats()
		overcommits += s.OvercommitCrashes
		coldCrashes += s.ColdStartCrashes
		wrongResumptions += s.WrongGivenTokens
	}
	return fmt.Sprintf("overcommits %d cold falls %d wrong resumptions %d", overcommits, coldCrashes, wrongResumptions)
}
