// Package pwholding bounds the memory that a process holds for its callers: bodies that are
// kept for a retry, responses that are buffered until they are complete, and events that are
// not yet written. It counts them for each caller, for each workspace and in all, so that one
// caller or workspace that reads or sends slowly leaves room for the others.
//
// # Usage
//
//	ledger := pwholding.New(pwholding.Config{TotalBytes: 32 << 20})
//	h := ledger.Open("ward-3")
//	defer h.Close()
//	if err := h.Acquire(pwholding.Bodies, 4096); err != nil {
//		// refuse the request; nothing was acquired
//	}
//	buf := make([]byte, 4096)
//
// Memory is acquired before it is allocated. What a Holder has not released when it is
// closed is released then.
package pwholding

import (
	"fmt"
	"sync"
)

// Class is what memory is held for.
type Class uint8

const (
	// Requests are the buffers and stacks of running requests.
	Requests Class = iota
	// Bodies are request bodies.
	Bodies
	// Responses are responses that are buffered until they are complete.
	Responses
	// Events are events of streams that are not yet written.
	Events

	classCount
)

// String returns the name of a class as it appears in metrics.
func (c Class) String() string {
	switch c {
	case Requests:
		return "requests"
	case Bodies:
		return "bodies"
	case Responses:
		return "responses"
	case Events:
		return "events"
	default:
		return "unknown"
	}
}

// Classes returns all classes.
func Classes() []Class { return []Class{Requests, Bodies, Responses, Events} }

// Scope is what a bound holds for.
type Scope string

// The scopes of the bounds.
const (
	Caller    Scope = "caller"
	Workspace Scope = "workspace"
	Process   Scope = "process"
)

// FullError is returned when a bound leaves no room.
type FullError struct {
	Scope Scope
	// Limit is the bound, in bytes.
	Limit int64
}

func (e *FullError) Error() string {
	return fmt.Sprintf("the %d bytes of memory for the requests of a %s are in use", e.Limit, e.Scope)
}

// Config holds the bounds, in bytes. A bound of 0 does not limit its scope.
type Config struct {
	TotalBytes     int64
	CallerBytes    int64
	WorkspaceBytes int64
}

// Ledger counts the memory that is held. It is safe for concurrent use.
type Ledger struct {
	cfg Config

	mu         sync.Mutex
	total      int64
	byClass    [classCount]int64
	workspaces map[string]*account
	refusals   map[Scope]int64
}

// account is what is held for a workspace. It lasts as long as the workspace has a Holder.
type account struct {
	held    int64
	holders int
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg:        cfg,
		workspaces: make(map[string]*account),
		refusals:   make(map[Scope]int64),
	}
}

// Open returns a holder for one request of a caller. The bound of workspaces does not hold
// for the workspace "".
func (l *Ledger) Open(workspace string) *Holder {
	h := &Holder{
		ledger:    l,
		workspace: workspace,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if workspace != "" {
		a, ok := l.workspaces[workspace]
		if !ok {
			a = &account{}
			l.workspaces[workspace] = a
		}
		a.holders++
		h.account = a
	}
	return h
}

// Held returns the bytes that are held for a class.
func (l *Ledger) Held(c Class) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byClass[c]
}

// Total returns the bytes that are held in all.
func (l *Ledger) Total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Refusals returns how often the bound of a scope has left no room.
func (l *Ledger) Refusals(s Scope) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals[s]
}

// Workspaces returns the number of workspaces that have a holder.
func (l *Ledger) Workspaces() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.workspaces)
}

// Holder is what is held for one request of a caller. It is safe for concurrent use.
type Holder struct {
	ledger    *Ledger
	workspace string
	// account is that of the workspace, or nil. The ledger's mutex guards it and the fields
	// below.
	account *account
	held    int64
	byClass [classCount]int64
	closed  bool
}

// Acquire acquires n bytes for a class, or none if that exceeds a bound.
func (h *Holder) Acquire(c Class, n int64) error {
	l := h.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if n <= 0 || h.closed {
		return nil
	}
	var full *FullError
	switch {
	case exceeds(h.held, n, l.cfg.CallerBytes):
		full = &FullError{
			Scope: Caller,
			Limit: l.cfg.CallerBytes,
		}
	case h.account != nil && exceeds(h.account.held, n, l.cfg.WorkspaceBytes):
		full = &FullError{
			Scope: Workspace,
			Limit: l.cfg.WorkspaceBytes,
		}
	case exceeds(l.total, n, l.cfg.TotalBytes):
		full = &FullError{
			Scope: Process,
			Limit: l.cfg.TotalBytes,
		}
	}
	if full != nil {
		l.refusals[full.Scope]++
		return full
	}
	h.add(c, n)
	return nil
}

// exceeds reports whether n more bytes exceed a limit. It can't overflow.
func exceeds(held, n, limit int64) bool { return limit > 0 && n > limit-held }

// Release releases n bytes of a class, at most what the holder has.
func (h *Holder) Release(c Class, n int64) {
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	if n = min(n, h.byClass[c]); n > 0 {
		h.add(c, -n)
	}
}

// Close releases all that is left. A closed holder acquires nothing.
func (h *Holder) Close() {
	l := h.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.closed {
		return
	}
	for c, n := range h.byClass {
		h.add(Class(c), -n)
	}
	h.closed = true
	if h.account == nil {
		return
	}
	if h.account.holders--; h.account.holders == 0 {
		delete(l.workspaces, h.workspace)
	}
}

// add adds n bytes, which may be negative. The caller holds the ledger's mutex.
func (h *Holder) add(c Class, n int64) {
	h.held += n
	h.byClass[c] += n
	if h.account != nil {
		h.account.held += n
	}
	h.ledger.total += n
	h.ledger.byClass[c] += n
}
