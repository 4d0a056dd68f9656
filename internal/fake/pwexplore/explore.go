// Package pwexplore walks the state space of a protocol that shares one row of
// a table: every order of the steps of a few participants, with every placement
// of a bounded number of failures and crashes.
//
// Participants run the real code as coroutines; each table operation is a step
// that the explorer schedules. A pause is a step that is not scheduled. Lost
// requests, lost replies and late writes are one failure: the commit gets no
// reply, and its write lands at any later step or never.
//
// # Usage
//
//	err := pwexplore.Walk(t, func(w *pwexplore.World) {
//		w.Failures = 1
//		w.Invariant = func() error { ... }
//		w.Spawn("entry", nil, func(p *pwexplore.Participant) {
//			store := pwclaim.New(p, cfg) // p is the table
//			...
//		})
//	})
//
// A state is identified by the replies that each participant got, so the code
// of a participant must depend on nothing else. Walk runs in a synctest bubble.
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

// maxStates bounds an exploration; reaching it fails the test, because the
// walk would then not be complete.
const maxStates = 3_000_000

// crashed ends the coroutine of a participant that crashes.
type crashed struct{}

type step struct {
	kind   string // get, commit, await or act
	writes []pwtable.Write
	ready  func() bool
}

// Participant is one coroutine. Its replies determine its local state.
type Participant struct {
	w       *World
	name    string
	next    func() (step, bool)
	stop    func()
	yield   func(step) bool
	pending step
	alive   bool
	replies strings.Builder
	row     pwtable.Row
	err     error
	onCrash func()
}

type lateWrite struct {
	by    string
	write pwtable.Write
}

// World is the state of one execution.
type World struct {
	parts         []*Participant
	row           pwtable.Row
	writer        string
	revision      uint64
	late          []lateWrite
	FailureBudget int
	CrashBudget   int
	// Ticks counts how often a scenario moved the time.
	Ticks int
	// StepDuration passes with each step, where the protocol looks at the clock:
	// steps at the same instant would make jitter decide which is later.
	StepDuration time.Duration
	// notes hold the facts that outlive the participants.
	notes     map[string]int
	violation error
	trace     []string
	// Invariant is checked after every step, OnWrite before every write.
	Invariant func() error
	OnWrite   func(old, next pwtable.Row) error
	// Symmetry exchanges the names of two sides of a scenario that run the same
	// code. States that differ only by it are walked once.
	Symmetry *strings.Replacer
	// ExtraActions holds further actions of a scenario.
	ExtraActions func() []Action
}

// Action is something that can happen next.
type Action struct {
	Name string
	Run  func()
}

// Spawn starts a participant. A participant with onCrash may crash; onCrash then
// starts what replaces it.
func (w *World) Spawn(name string, onCrash func(), body func(p *Participant)) {
	p := &Participant{
		w:       w,
		name:    name,
		alive:   true,
		onCrash: onCrash,
	}
	p.next, p.stop = iter.Pull(func(yield func(step) bool) {
		defer func() {
			r := recover()
			if _, ok := r.(crashed); r != nil && !ok {
				panic(r)
			}
		}()
		p.yield = yield
		body(p)
	})
	w.parts = append(w.parts, p)
	p.advance()
}

func (p *Participant) advance() { p.pending, p.alive = p.next() }

func (p *Participant) do(s step) {
	if !p.yield(s) {
		panic(crashed{})
	}
}

// RunStep is a step that always succeeds, at which the participant may be paused.
func (p *Participant) RunStep(f func()) {
	p.do(step{
		kind: "act",
	})
	f()
}

// WaitUntil is a step that is possible only while ready holds.
func (p *Participant) WaitUntil(ready func() bool) {
	p.do(step{
		kind:  "act",
		ready: ready,
	})
}

// WaitWithTimeout waits until ready. It returns false when the wait timed out first.
func (p *Participant) WaitWithTimeout(ready func() bool) bool {
	p.do(step{
		kind:  "await",
		ready: ready,
	})
	return p.err == nil
}

// SetPhase states that the participant's local state is fully described by name,
// whatever replies led to it, so that more executions share a state.
func (p *Participant) SetPhase(name string) {
	p.replies.Reset()
	p.replies.WriteString(name)
}

// Get implements the table on one row.
func (p *Participant) Get(context.Context, string) (pwtable.Row, error) {
	p.do(step{
		kind: "get",
	})
	return p.row, p.err
}

// Commit implements the table on one row.
func (p *Participant) Commit(_ context.Context, writes ...pwtable.Write) (uint64, error) {
	p.do(step{
		kind:   "commit",
		writes: writes,
	})
	return p.row.Version, p.err
}

// ReportViolation ends the walk with a violation.
func (w *World) ReportViolation(err error) {
	if w.violation == nil {
		w.violation = err
	}
}

// RecordFact adds a fact to the state that outlives the participants.
func (w *World) RecordFact(format string, args ...any) {
	w.notes[fmt.Sprintf(format, args...)]++
}

func (w *World) apply(by string, c pwtable.Write) error {
	if w.row.Version != c.ExpectedVersion {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseConflict, "version %d", w.row.Version)
	}
	next := pwtable.Row{
		Key:     c.Key,
		Value:   c.Value,
		Version: w.revision + 1,
	}
	if w.OnWrite != nil {
		if err := w.OnWrite(w.row, next); err != nil {
			w.ReportViolation(err)
		}
	}
	w.revision++
	w.row = next
	w.writer = fmt.Sprint(by, "@", w.Ticks)
	return nil
}

var errNoReply = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "no reply")

// actions lists everything that can happen next.
func (w *World) actions() []Action {
	var list []Action
	add := func(p *Participant, name string, f func()) {
		list = append(list, Action{
			Name: p.name + " " + name,
			Run: func() {
				p.row, p.err = pwtable.Row{}, nil
				f()
				fmt.Fprintf(&p.replies, "%s %d", name, w.Ticks)
				if p.row.Version != 0 {
					fmt.Fprintf(&p.replies, " %d %s", p.row.Version, w.writer)
				}
				if p.err != nil {
					fmt.Fprintf(&p.replies, " %s", pwverdict.CauseOf(p.err))
				}
				p.advance()
			},
		})
	}
	for _, p := range w.parts {
		if !p.alive {
			continue
		}
		switch p.pending.kind {
		case "get":
			add(p, "reads", func() {
				p.row = w.row
				if w.row.Version == 0 {
					p.err = pwverdict.New(pwverdict.Ran, pwverdict.CauseNotFound, "no row")
				}
			})
			if w.FailureBudget > 0 {
				add(p, "reads without reply", func() {
					w.FailureBudget--
					p.err = errNoReply
				})
			}
		case "commit":
			c := p.pending.writes[0]
			add(p, "commits", func() {
				p.err = w.apply(p.name, c)
				p.row = w.row
			})
			if w.FailureBudget > 0 {
				add(p, "commits without reply", func() {
					w.FailureBudget--
					w.late = append(w.late, lateWrite{
						by:    p.name,
						write: c,
					})
					p.err = errNoReply
				})
			}
		case "await":
			if p.pending.ready() {
				add(p, "gets its reply", func() {})
			}
			add(p, "stops waiting", func() { p.err = errNoReply })
		default:
			if p.pending.ready == nil || p.pending.ready() {
				add(p, p.pending.kind, func() {})
			}
		}
		if w.CrashBudget > 0 && p.onCrash != nil {
			list = append(list, Action{
				Name: p.name + " crashes",
				Run: func() {
					w.CrashBudget--
					w.kill(p)
					p.onCrash()
				},
			})
		}
	}
	// A write that expects an older version can never land.
	w.late = slices.DeleteFunc(slices.Clone(w.late), func(l lateWrite) bool { return l.write.ExpectedVersion != w.row.Version })
	for i, l := range w.late {
		list = append(list, Action{
			Name: "late write of " + l.by + " lands",
			Run: func() {
				w.late = slices.Delete(slices.Clone(w.late), i, i+1)
				_ = w.apply(l.by, l.write)
			},
		})
	}
	if w.ExtraActions != nil {
		list = append(list, w.ExtraActions()...)
	}
	return list
}

func (w *World) kill(p *Participant) {
	p.stop()
	p.alive = false
}

// key identifies the state, so that states reached twice are walked once.
func (w *World) key() [16]byte {
	var lines []string
	for _, p := range w.parts {
		if p.alive {
			lines = append(lines, fmt.Sprintf("%s %s %s", p.name, p.pending.kind, p.replies.String()))
		}
	}
	for _, l := range w.late {
		lines = append(lines, fmt.Sprintf("late %s %d", l.by, l.write.ExpectedVersion))
	}
	for note, n := range w.notes {
		lines = append(lines, fmt.Sprintf("note %s %d", note, n))
	}
	lines = append(lines, fmt.Sprintf("%d %s %d %d %d", w.row.Version, w.writer, w.FailureBudget, w.CrashBudget, w.Ticks))
	key := sortedText(lines)
	if w.Symmetry != nil {
		for i, line := range lines {
			lines[i] = w.Symmetry.Replace(line)
		}
		key = min(key, sortedText(lines))
	}
	h := sha256.Sum256([]byte(key))
	return [16]byte(h[:16])
}

func sortedText(lines []string) string {
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// Walk walks all executions of a scenario and returns the first violation
// with its steps, or nil.
func Walk(t testing.TB, scenario func(w *World)) error {
	t.Helper()
	visited := map[[16]byte]struct{}{}
	var path []int
	for executions := 1; ; executions++ {
		w := &World{
			notes: map[string]int{},
		}
		scenario(w)
		var counts []int
		for w.violation == nil {
			list := w.actions()
			if len(list) == 0 {
				break
			}
			depth := len(counts)
			if depth == len(path) {
				k := w.key()
				if _, ok := visited[k]; ok {
					break
				}
				visited[k] = struct{}{}
				path = append(path, 0)
			}
			counts = append(counts, len(list))
			w.trace = append(w.trace, list[path[depth]].Name)
			list[path[depth]].Run()
			time.Sleep(w.StepDuration)
			if w.Invariant != nil {
				if err := w.Invariant(); err != nil {
					w.ReportViolation(err)
				}
			}
		}
		for _, p := range w.parts {
			p.stop()
		}
		if w.violation != nil {
			return fmt.Errorf("%w\n%s", w.violation, strings.Join(w.trace, "\n"))
		}
		if len(visited) > maxStates {
			t.Fatalf("more than %d states; the walk is not complete", maxStates)
		}
		n := len(counts)
		for n > 0 && path[n-1]+1 >= counts[n-1] {
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
