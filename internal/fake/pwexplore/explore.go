// Package pwexplore is an exhaustive state-space explorer for protocols whose
// participants share one row of a table. It runs every interleaving of the
// participants' steps, with a bounded number of failures and crashes at every
// possible position.
//
// Participants run the real code as coroutines, and each table operation is a step
// that the explorer schedules. Not scheduling a participant's step models a pause.
// One kind of failure models lost requests, lost responses and late writes: the commit
// gets no response, and its write is applied at any later step or never.
//
// # Usage
//
//	err := pwexplore.Walk(t, func(w *pwexplore.World) {
//		w.FailureBudget = 1
//		w.Invariant = func() error { ... }
//		w.Spawn("entry", nil, func(p *pwexplore.Participant) {
//			store := pwclaim.New(p, cfg) // p implements the table
//			...
//		})
//	})
//
// The responses that each participant received identify a state, so the code of a
// participant must depend on nothing else. Walk must be called in a synctest bubble.
package pwexplore

import (
	"context"
	"crypto/sha256"
	"fmt"
	"iter"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// maxStates bounds an exploration. Exceeding it fails the test, because an
// exploration that stops there is incomplete.
const maxStates = 3_000_000

// crashPanic is the panic value that ends the coroutine of a crashed participant.
type crashPanic struct{}

// step is one scheduling point of a participant.
type step struct {
	kind      string // get, commit, await or act
	writes    []pwtable.Write
	condition func() bool // the step is possible while it holds
}

// Participant is one coroutine that runs the code under test. The responses that it
// received determine its local state. It implements the table.
type Participant struct {
	world       *World
	name        string
	next        func() (step, bool)
	stop        func()
	yield       func(step) bool
	pendingStep step // the step that the participant waits for
	alive       bool
	responses   strings.Builder
	responseRow pwtable.Row
	responseErr error
	onCrash     func()
}

// lateWrite is the write of a commit that got no response. It may still be applied.
type lateWrite struct {
	participant string
	write       pwtable.Write
}

// World is the state of one execution.
type World struct {
	participants []*Participant
	row          pwtable.Row
	lastWriter   string // participant and tick of the newest write of the row
	revision     uint64
	lateWrites   []lateWrite
	// FailureBudget is the number of failures that may still happen.
	FailureBudget int
	// CrashBudget is the number of crashes that may still happen.
	CrashBudget int
	// Ticks counts how often the scenario has advanced the clock.
	Ticks int
	// StepDuration is the time that passes with each step. A protocol that reads the
	// clock needs it: if two steps had the same time, jitter would decide which of
	// them is later.
	StepDuration time.Duration
	// facts counts the facts that belong to the state even after their participant
	// has ended.
	facts     map[string]int
	violation error
	trace     []string
	// Invariant is checked after every step.
	Invariant func() error
	// OnWrite is checked before every write. Its error is a violation.
	OnWrite func(old, next pwtable.Row) error
	// Symmetry exchanges the names of two sides of a scenario that run the same code.
	// States that differ only by this exchange are explored once.
	Symmetry *strings.Replacer
	// ExtraActions returns further actions of the scenario that are possible now.
	ExtraActions func() []Action
}

// Action is one possible next transition of the world. Its name appears in the trace.
type Action struct {
	Name string
	Run  func()
}

// Spawn starts a participant that runs body. If onCrash is not nil, the participant
// may crash, and onCrash then starts its replacement.
func (w *World) Spawn(name string, onCrash func(), body func(p *Participant)) {
	p := &Participant{
		world:   w,
		name:    name,
		alive:   true,
		onCrash: onCrash,
	}
	p.next, p.stop = iter.Pull(func(yield func(step) bool) {
		defer func() {
			r := recover()
			if _, ok := r.(crashPanic); r != nil && !ok {
				panic(r)
			}
		}()
		p.yield = yield
		body(p)
	})
	w.participants = append(w.participants, p)
	p.advance()
}

// advance runs the participant up to its next step.
func (p *Participant) advance() { p.pendingStep, p.alive = p.next() }

// yieldStep suspends the participant until the explorer schedules the step.
func (p *Participant) yieldStep(s step) {
	if !p.yield(s) {
		panic(crashPanic{})
	}
}

// RunStep runs action as one step, which always succeeds. The participant may be paused
// before it.
func (p *Participant) RunStep(action func()) {
	p.yieldStep(step{
		kind: "act",
	})
	action()
}

// WaitUntil waits, without a timeout, for a step at which condition holds.
func (p *Participant) WaitUntil(condition func() bool) {
	p.yieldStep(step{
		kind:      "act",
		condition: condition,
	})
}

// WaitWithTimeout waits until condition holds. It returns false if the wait timed out
// first, which can happen at any step.
func (p *Participant) WaitWithTimeout(condition func() bool) bool {
	p.yieldStep(step{
		kind:      "await",
		condition: condition,
	})
	return p.responseErr == nil
}

// SetPhase declares that name fully describes the participant's local state, whichever
// responses led to it. It reduces the number of states, because executions with different
// responses reach the same state.
func (p *Participant) SetPhase(name string) {
	p.responses.Reset()
	p.responses.WriteString(name)
}

// Get reads the shared row. The key is ignored.
func (p *Participant) Get(context.Context, string) (pwtable.Row, error) {
	p.yieldStep(step{
		kind: "get",
	})
	return p.responseRow, p.responseErr
}

// Commit writes the shared row. It supports one write per commit.
func (p *Participant) Commit(_ context.Context, writes ...pwtable.Write) (uint64, error) {
	p.yieldStep(step{
		kind:   "commit",
		writes: writes,
	})
	return p.responseRow.Version, p.responseErr
}

// ReportViolation ends the exploration with err, unless a violation was reported before.
func (w *World) ReportViolation(err error) {
	if w.violation == nil {
		w.violation = err
	}
}

// RecordFact adds a fact to the state. The fact remains when its participant has ended.
func (w *World) RecordFact(format string, args ...any) {
	w.facts[fmt.Sprintf(format, args...)]++
}

// applyWrite applies a write if the row has the expected version.
func (w *World) applyWrite(participant string, write pwtable.Write) error {
	if w.row.Version != write.ExpectedVersion {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseConflict, "version %d", w.row.Version)
	}
	next := pwtable.Row{
		Key:     write.Key,
		Value:   write.Value,
		Version: w.revision + 1,
	}
	if w.OnWrite != nil {
		if err := w.OnWrite(w.row, next); err != nil {
			w.ReportViolation(err)
		}
	}
	w.revision++
	w.row = next
	w.lastWriter = fmt.Sprint(participant, "@", w.Ticks)
	return nil
}

var errNoResponse = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "no reply")

// enabledActions returns all actions that are possible in the current state.
func (w *World) enabledActions() []Action {
	var actions []Action
	addStep := func(p *Participant, name string, effect func()) {
		actions = append(actions, Action{
			Name: p.name + " " + name,
			Run: func() {
				p.responseRow, p.responseErr = pwtable.Row{}, nil
				effect()
				fmt.Fprintf(&p.responses, "%s %d", name, w.Ticks)
				if p.responseRow.Version != 0 {
					fmt.Fprintf(&p.responses, " %d %s", p.responseRow.Version, w.lastWriter)
				}
				if p.responseErr != nil {
					fmt.Fprintf(&p.responses, " %s", pwverdict.CauseOf(p.responseErr))
				}
				p.advance()
			},
		})
	}
	for _, p := range w.participants {
		if !p.alive {
			continue
		}
		switch p.pendingStep.kind {
		case "get":
			addStep(p, "reads", func() {
				p.responseRow = w.row
				if w.row.Version == 0 {
					p.responseErr = pwverdict.New(pwverdict.Ran, pwverdict.CauseNotFound, "no row")
				}
			})
			if w.FailureBudget > 0 {
				addStep(p, "reads without reply", func() {
					w.FailureBudget--
					p.responseErr = errNoResponse
				})
			}
		case "commit":
			write := p.pendingStep.writes[0]
			addStep(p, "commits", func() {
				p.responseErr = w.applyWrite(p.name, write)
				p.responseRow = w.row
			})
			if w.FailureBudget > 0 {
				addStep(p, "commits without reply", func() {
					w.FailureBudget--
					w.lateWrites = append(w.lateWrites, lateWrite{
						participant: p.name,
						write:       write,
					})
					p.responseErr = errNoResponse
				})
			}
		case "await":
			if p.pendingStep.condition() {
				addStep(p, "gets its reply", func() {})
			}
			addStep(p, "stops waiting", func() { p.responseErr = errNoResponse })
		default:
			if p.pendingStep.condition == nil || p.pendingStep.condition() {
				addStep(p, p.pendingStep.kind, func() {})
			}
		}
		if w.CrashBudget > 0 && p.onCrash != nil {
			actions = append(actions, Action{
				Name: p.name + " crashes",
				Run: func() {
					w.CrashBudget--
					w.kill(p)
					p.onCrash()
				},
			})
		}
	}
	// A write that expects an older version can never be applied.
	w.lateWrites = slices.DeleteFunc(slices.Clone(w.lateWrites), func(l lateWrite) bool { return l.write.ExpectedVersion != w.row.Version })
	for i, l := range w.lateWrites {
		actions = append(actions, Action{
			Name: "late write of " + l.participant + " is applied",
			Run: func() {
				w.lateWrites = slices.Delete(slices.Clone(w.lateWrites), i, i+1)
				_ = w.applyWrite(l.participant, l.write)
			},
		})
	}
	if w.ExtraActions != nil {
		actions = append(actions, w.ExtraActions()...)
	}
	return actions
}

// kill ends a participant at its pending step.
func (w *World) kill(p *Participant) {
	p.stop()
	p.alive = false
}

// stateKey returns a hash that identifies the current state, so that a state that is
// reached again is not explored again.
func (w *World) stateKey() [16]byte {
	var lines []string
	for _, p := range w.participants {
		if p.alive {
			lines = append(lines, fmt.Sprintf("%s %s %s", p.name, p.pendingStep.kind, p.responses.String()))
		}
	}
	for _, l := range w.lateWrites {
		lines = append(lines, fmt.Sprintf("late %s %d", l.participant, l.write.ExpectedVersion))
	}
	for fact, n := range w.facts {
		lines = append(lines, fmt.Sprintf("fact %s %d", fact, n))
	}
	lines = append(lines, fmt.Sprintf("%d %s %d %d %d", w.row.Version, w.lastWriter, w.FailureBudget, w.CrashBudget, w.Ticks))
	key := joinSorted(lines)
	if w.Symmetry != nil {
		for i, line := range lines {
			lines[i] = w.Symmetry.Replace(line)
		}
		key = min(key, joinSorted(lines))
	}
	h := sha256.Sum256([]byte(key))
	return [16]byte(h[:16])
}

// joinSorted sorts lines and joins them.
func joinSorted(lines []string) string {
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// Walk explores all executions of a scenario depth-first. It returns the first violation
// with the steps that led to it, or nil. Each execution starts from a new World, repeats
// the choices of the previous one up to the last untried branch, and takes that branch.
func Walk(t testing.TB, scenario func(w *World)) error {
	t.Helper()
	visited := map[[16]byte]struct{}{}
	var path []int
	for executions := 1; ; executions++ {
		w := &World{
			facts: map[string]int{},
		}
		scenario(w)
		var branchCounts []int
		for w.violation == nil {
			actions := w.enabledActions()
			if len(actions) == 0 {
				break
			}
			depth := len(branchCounts)
			if depth == len(path) {
				k := w.stateKey()
				if _, ok := visited[k]; ok {
					break
				}
				visited[k] = struct{}{}
				path = append(path, 0)
			}
			branchCounts = append(branchCounts, len(actions))
			w.trace = append(w.trace, actions[path[depth]].Name)
			actions[path[depth]].Run()
			time.Sleep(w.StepDuration)
			if w.Invariant != nil {
				if err := w.Invariant(); err != nil {
					w.ReportViolation(err)
				}
			}
		}
		for _, p := range w.participants {
			p.stop()
		}
		if w.violation != nil {
			return fmt.Errorf("%w\n%s", w.violation, strings.Join(w.trace, "\n"))
		}
		if len(visited) > maxStates {
			t.Fatalf("more than %d states; the exploration is not complete", maxStates)
		}
		// The next execution takes the next branch at the deepest step that has an untried
		// one.
		n := len(branchCounts)
		for n > 0 && path[n-1]+1 >= branchCounts[n-1] {
			n--
		}
		if n == 0 {
			t.Logf("%d states, %d executions", len(visited), executions)
			return nil
		}
		path = path[:n]
		path[n-1]++
	}
}
