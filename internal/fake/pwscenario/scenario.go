// Package pwscenario is a small test language for whole-system promises. A
// script starts a fleet in memory, sends requests, brings about failures,
// lets time pass, and states what must be seen.
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
// Scripts run inside testing/synctest bubbles on the runtime's clock.
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
	ctx      context.Context
	fleet    *pwfakefleet.Fleet
	requests map[string]*request
	started  map[string]int64 // attempts by engine at the last "mark" command
}

// request is a prompt that the script has sent.
type request struct {
	flight *pwentry.InFlightRequest
	text   string
	max    int64
	err    error
}

// NewRunner returns a runner without a fleet.
func NewRunner(ctx context.Context) *Runner {
	return &Runner{
		ctx:      ctx,
		requests: map[string]*request{},
		started:  map[string]int64{},
	}
}

// Close ends the fleet.
func (r *Runner) Close() {
	if r.fleet != nil {
		r.fleet.Close()
	}
}

// Run runs one command and returns its output.
func (r *Runner) Run(d *datadriven.TestData) string {
	commands := map[string]func(*datadriven.TestData) string{
		"fleet":      r.startFleet,
		"prompt":     r.prompt,
		"prompts":    r.prompts,
		"advance":    r.advance,
		"await":      r.await,
		"call":       r.call,
		"runs":       r.runs,
		"crash":      r.crash,
		"cold":       r.cold,
		"pause":      r.pause,
		"resume":     r.resume,
		"crash-on":   r.crashOn,
		"kill":       r.kill,
		"restart":    r.restart,
		"roll":       r.roll,
		"cut":        r.cut,
		"mend":       r.mend,
		"take-out":   r.takeOut,
		"bring-back": r.bringBack,
		"table":      r.table,
		"service":    r.service,
		"cancel":     r.cancel,
		"read":       r.read,
		"reserved":   r.reserved,
		"mark":       r.mark,
		"new-work":   r.newWork,
		"shutdown":   r.shutdown,
		"crashes":    r.crashes,
		"stats":      r.stats,
		"late":       r.late,
	}
	run, ok := commands[d.Cmd]
	if !ok {
		return fmt.Sprintf("unknown command %q", d.Cmd)
	}
	return run(d)
}

const (
	model        = "lantern-design"
	workspace    = "demo"
	shortLatency = 1500 * time.Microsecond
)

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
		InterCentreLatency:    shortLatency,
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

func (r *Runner) prompt(d *datadriven.TestData) string {
	return r.submit(d, pwscript.Names(d)[0], pwscript.StringOr(d, "text", pwscript.Names(d)[0]))
}

// prompts sends count prompts named base-0, base-1 and so on, one each interval.
func (r *Runner) prompts(d *datadriven.TestData) string {
	base := pwscript.Names(d)[0]
	every := pwscript.DurationOr(d, "every", 0)
	for i := range pwscript.IntOr(d, "count", 1) {
		name := fmt.Sprintf("%s-%d", base, i)
		if out := r.submit(d, name, name); out != "" {
			return out
		}
		time.Sleep(every)
	}
	return ""
}

func (r *Runner) submit(d *datadriven.TestData, name, content string) string {
	q := &request{
		text: "prompt " + content,
		max:  int64(pwscript.IntOr(d, "max", 16)),
	}
	q.flight, q.err = r.fleet.Entry(pwscript.IntOr(d, "entry", 0)).Submit(r.ctx, pwentry.Submission{
		Workspace:      pwrequest.WorkspaceID(pwscript.StringOr(d, "workspace", workspace)),
		Service:        pwfakefleet.ModelService,
		Model:          model,
		Prompt:         q.text,
		PromptTokens:   int64(pwscript.IntOr(d, "tokens", 1000)),
		MaxTokens:      q.max,
		Deadline:       pwscript.DurationOr(d, "deadline", 0),
		IdempotencyKey: pwscript.StringOr(d, "key", ""),
	})
	r.requests[name] = q
	if q.err != nil {
		return describe(q.err)
	}
	return ""
}

func describe(err error) string {
	if os.Getenv("SCENARIO_DETAIL") != "" {
		return err.Error()
	}
	return fmt.Sprintf("%s %s", pwverdict.VerdictOf(err), pwverdict.CauseOf(err))
}

func (r *Runner) advance(d *datadriven.TestData) string {
	for _, n := range pwscript.Names(d) {
		v, err := time.ParseDuration(n)
		if err != nil {
			return err.Error()
		}
		time.Sleep(v)
	}
	return ""
}

// await waits for requests and prints how each ended. A name that ends in "*"
// stands for all requests with that prefix and prints counts.
func (r *Runner) await(d *datadriven.TestData) string {
	var out []string
	for _, n := range pwscript.Names(d) {
		if prefix, ok := strings.CutSuffix(n, "*"); ok {
			out = append(out, r.awaitAll(prefix))
			continue
		}
		out = append(out, n+": "+r.ended(r.requests[n], r.requests[n].flight, 0))
	}
	return strings.Join(out, "\n")
}

func (r *Runner) awaitAll(prefix string) string {
	counts := map[string]int{}
	for n, q := range r.requests {
		if strings.HasPrefix(n, prefix) {
			counts[r.ended(q, q.flight, 0)]++
		}
	}
	var lines []string
	for how, n := range counts {
		lines = append(lines, fmt.Sprintf("%s*: %d %s", prefix, n, how))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// ended reads a flight from an offset to its end and checks that its tokens
// are those of this request's own answer, each once and in order.
func (r *Runner) ended(q *request, f *pwentry.InFlightRequest, offset int64) string {
	if q.err != nil {
		return "refused " + describe(q.err)
	}
	var got []string
	at := offset
	reason, err := f.Read(r.ctx, offset, func(o int64, tokens []string) error {
		if o != at {
			return fmt.Errorf("tokens at offset %d, want %d", o, at)
		}
		at += int64(len(tokens))
		got = append(got, tokens...)
		return nil
	})
	if err != nil {
		return "failed " + describe(err)
	}
	for i, t := range got {
		if want := pwfakeengine.Token(q.text, offset+int64(i)); t != want {
			return fmt.Sprintf("WRONG token %d: %q, want %q", offset+int64(i), t, want)
		}
	}
	if reason == "cancelled" {
		return "cancelled"
	}
	if at != q.max {
		return fmt.Sprintf("WRONG length %d, want %d", at, q.max)
	}
	return "complete"
}

func (r *Runner) call(d *datadriven.TestData) string {
	res, err := r.fleet.Entry(pwscript.IntOr(d, "entry", 0)).Call(r.ctx, pwentry.Call{
		Workspace:      pwrequest.WorkspaceID(pwscript.StringOr(d, "workspace", workspace)),
		Service:        pwfakefleet.PlainService,
		Method:         pwscript.StringOr(d, "method", pwfakeservice.MethodReserve),
		Body:           []byte(pwscript.StringOr(d, "body", `{"item":"scaffold"}`)),
		IdempotencyKey: pwscript.StringOr(d, "key", ""),
	})
	if err != nil {
		return describe(err)
	}
	if res.Replayed {
		return fmt.Sprintf("%d replayed", res.Status)
	}
	return fmt.Sprint(res.Status)
}

func (r *Runner) runs(*datadriven.TestData) string {
	var lines []string
	for key, n := range r.fleet.Service.AllRuns() {
		lines = append(lines, fmt.Sprintf("%s: %d", key, n))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

func (r *Runner) engine(d *datadriven.TestData) *pwfakeengine.Engine {
	return r.fleet.Engines()[pwscript.StringOr(d, "server", "")]
}

func (r *Runner) crash(d *datadriven.TestData) string {
	r.engine(d).Crash()
	return ""
}

func (r *Runner) cold(d *datadriven.TestData) string {
	r.engine(d).MakeCold()
	return ""
}

func (r *Runner) pause(d *datadriven.TestData) string {
	r.engine(d).Pause()
	return ""
}

func (r *Runner) resume(d *datadriven.TestData) string {
	r.engine(d).Resume()
	return ""
}

// crashOn makes every engine crash on one prompt.
func (r *Runner) crashOn(d *datadriven.TestData) string {
	fp := pwrequest.Fingerprint(workspace, model, "prompt "+pwscript.StringOr(d, "text", ""))
	for _, e := range r.fleet.Engines() {
		e.SetCrashFingerprint(fp, true)
	}
	return ""
}

func (r *Runner) kill(d *datadriven.TestData) string {
	if d.HasArg("entry") {
		r.fleet.KillEntry(pwscript.IntOr(d, "entry", 0))
		return ""
	}
	r.fleet.KillAgent(pwscript.StringOr(d, "agent", ""))
	return ""
}

func (r *Runner) restart(d *datadriven.TestData) string {
	r.fleet.RestartAgent(pwscript.StringOr(d, "agent", ""))
	return ""
}

// roll restarts all agents of model engines, times times.
func (r *Runner) roll(d *datadriven.TestData) string {
	for range pwscript.IntOr(d, "times", 1) {
		for id := range r.fleet.Engines() {
			r.fleet.RestartAgent(id)
		}
		time.Sleep(pwscript.DurationOr(d, "every", time.Second))
	}
	return ""
}

func (r *Runner) cut(d *datadriven.TestData) string  { return r.setCut(d, true) }
func (r *Runner) mend(d *datadriven.TestData) string { return r.setCut(d, false) }

func (r *Runner) setCut(d *datadriven.TestData, broken bool) string {
	for _, id := range r.fleet.ServerIDs() {
		if strings.HasPrefix(id, pwscript.StringOr(d, "servers", "")) {
			r.fleet.SetPathCut(pwscript.IntOr(d, "entry", 0), id, broken)
		}
	}
	return ""
}

func markOf(d *datadriven.TestData) pwentry.Target {
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

func (r *Runner) setMark(d *datadriven.TestData, out bool) string {
	var entries []int
	if d.HasArg("entry") {
		entries = append(entries, pwscript.IntOr(d, "entry", 0))
	}
	r.fleet.SetOutOfService(markOf(d), out, entries...)
	return ""
}

func (r *Runner) table(d *datadriven.TestData) string {
	r.fleet.Table.SetFault(pwfakeplatform.Fault(pwscript.StringOr(d, "fault", "")), pwscript.IntOr(d, "times", pwfakeplatform.Forever))
	return ""
}

func (r *Runner) service(d *datadriven.TestData) string {
	r.fleet.Service.SetFault(pwfakeservice.Fault(pwscript.StringOr(d, "fault", "")), pwscript.IntOr(d, "times", pwfakeservice.Unlimited))
	return ""
}

func (r *Runner) cancel(d *datadriven.TestData) string {
	q := r.requests[pwscript.Names(d)[0]]
	ok, err := r.fleet.Entry(pwscript.IntOr(d, "entry", 0)).Cancel(r.ctx, q.flight.Request().ID(),
		pwrequest.WorkspaceID(pwscript.StringOr(d, "workspace", workspace)))
	if err != nil {
		return describe(err)
	}
	return fmt.Sprintf("cancelled %t", ok)
}

// read reads a request's answer through any entry.
func (r *Runner) read(d *datadriven.TestData) string {
	q := r.requests[pwscript.Names(d)[0]]
	f, err := r.fleet.Entry(pwscript.IntOr(d, "entry", 0)).Find(r.ctx, q.flight.Request().ID(),
		pwrequest.WorkspaceID(pwscript.StringOr(d, "workspace", workspace)))
	if err != nil {
		return describe(err)
	}
	return r.ended(q, f, int64(pwscript.IntOr(d, "offset", 0)))
}

// reserved prints the reserved engine memory of all agents and the memory that
// the engines themselves hold for attempts.
func (r *Runner) reserved(*datadriven.TestData) string {
	var held int64
	for _, e := range r.fleet.Engines() {
		used, _ := e.Usage()
		held += used
	}
	return fmt.Sprintf("reserved %d held %d", r.fleet.ReservedTokens(), held)
}

// mark remembers how many attempts each engine has started.
func (r *Runner) mark(*datadriven.TestData) string {
	for id, e := range r.fleet.Engines() {
		r.started[id] = e.Stats().Started
	}
	return ""
}

// newWork prints how many attempts matching engines started since mark.
func (r *Runner) newWork(d *datadriven.TestData) string {
	var n int64
	for id, e := range r.fleet.Engines() {
		if strings.HasPrefix(id, pwscript.StringOr(d, "servers", "")) {
			n += e.Stats().Started - r.started[id]
		}
	}
	if n > 0 && d.HasArg("some") {
		return "some"
	}
	return fmt.Sprint(n)
}

func (r *Runner) shutdown(d *datadriven.TestData) string {
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

// crashes prints how often engines crashed, in all.
func (r *Runner) crashes(*datadriven.TestData) string {
	var n int64
	for _, e := range r.fleet.Engines() {
		n += e.Stats().Crashes
	}
	return fmt.Sprint(n)
}

// lateAfter is the time after its deadline by which a request must have ended.
const lateAfter = 100 * time.Millisecond

// late prints how many requests had not ended by their deadlines.
func (r *Runner) late(*datadriven.TestData) string {
	n := 0
	for _, q := range r.requests {
		if q.flight == nil {
			continue
		}
		at, ended := q.flight.EndTime()
		if !ended {
			at = time.Now()
		}
		if at.After(q.flight.Request().Deadline().Add(lateAfter)) {
			n++
		}
	}
	return fmt.Sprint(n)
}

// stats prints breaches of bounds that no scenario may show.
func (r *Runner) stats(*datadriven.TestData) string {
	var over, cold, given int64
	for _, e := range r.fleet.Engines() {
		s := e.Stats()
		over += s.OvercommitCrashes
		cold += s.ColdStartCrashes
		given += s.WrongGivenTokens
	}
	return fmt.Sprintf("overcommits %d cold falls %d wrong resumptions %d", over, cold, given)
}
