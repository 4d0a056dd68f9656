package pwrouter

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Scope says what a mark applies to.
type Scope uint8

// Scopes of in-service marks.
const (
	ScopeDataCentre Scope = iota
	ScopeBackendServer
)

// Outcome says how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Completed means that the response is complete.
	Completed Outcome = iota
	// Refused means that the agent refused the attempt.
	Refused
	// Cancelled means that the caller ended the request.
	Cancelled
	// Failed means that the attempt ended with an error or at its deadline.
	Failed
	// Crashed means that the backend server died.
	Crashed
)

// Report is an agent's view of its backend server. The router keeps the slices.
type Report struct {
	BackendServer pwrequest.BackendServerID
	Instance      pwrequest.InstanceID
	// Address is where the agent listens, as host:port.
	Address    string
	DataCentre pwrequest.DataCentre
	Service    pwrequest.ServiceID
	Models     []pwrequest.ModelID
	Adapters   []string
	Versions   []string
	Role       string
	InService  bool
	// Running is the number of attempts that run, RunningBound their bound.
	Running      int
	RunningBound int
	// ReservedTokens is the reserved part of MemoryTokens. A MemoryTokens of 0
	// means that the service has no memory bound.
	ReservedTokens int64
	MemoryTokens   int64
	// PendingPrefillTokens is the prefill work that still has to be done, by
	// length class.
	PendingPrefillTokens [pwrequest.ClassCount]int64
	// LongPrefill is set while a long prompt or a part of one is in prefill.
	// Long prompts in decode, and memory that is only reserved for a group, do
	// not hold short prompts up.
	LongPrefill bool
	// RunningLong is the number of long prompts that run.
	RunningLong int
	SentAt      time.Time
	// Incarnation grows with each start of the agent.
	Incarnation uint64
}

// newerThan reports whether rep replaces old.
func (rep *Report) newerThan(old *Report) bool {
	if rep.Incarnation != old.Incarnation {
		return rep.Incarnation > old.Incarnation
	}
	return rep.SentAt.After(old.SentAt)
}

// serves reports whether a server with this report is in the group k.
func (rep *Report) serves(k groupKey) bool {
	return rep.Service == k.service &&
		(k.model == "" || slices.Contains(rep.Models, k.model)) &&
		(k.adapter == "" || slices.Contains(rep.Adapters, k.adapter)) &&
		(k.version == "" || slices.Contains(rep.Versions, k.version)) &&
		(k.role == "" || rep.Role == k.role)
}

// sameOffer reports whether both reports belong to the same groups.
func (rep *Report) sameOffer(o *Report) bool {
	return rep.Service == o.Service && rep.Role == o.Role &&
		slices.Equal(rep.Models, o.Models) &&
		slices.Equal(rep.Adapters, o.Adapters) &&
		slices.Equal(rep.Versions, o.Versions)
}

// PickOptions restricts a pick.
type PickOptions struct {
	// Excluded holds servers that must not be picked.
	Excluded []pwrequest.BackendServerID
	// Isolated requires a server without other requests.
	Isolated bool
	// LocalDataCentre is preferred at equal load.
	LocalDataCentre pwrequest.DataCentre
	// Version and Role are required when not empty.
	Version string
	Role    string
}

// Choice is the result of a pick.
type Choice struct {
	server     pwrequest.BackendServerID
	address    string
	dataCentre pwrequest.DataCentre
	reason     string
	class      pwrequest.Class
	load       int64
	running    int
	bound      int
	longs      int
	longCap    int
	known      int
}

// Server returns the picked backend server.
func (c Choice) Server() pwrequest.BackendServerID { return c.server }

// Address returns the address of its agent.
func (c Choice) Address() string { return c.address }

// DataCentre returns the data centre of the server.
func (c Choice) DataCentre() pwrequest.DataCentre { return c.dataCentre }

// Reason returns why the server was picked: "affinity", "less_loaded" of two,
// or "only" when one candidate was found.
func (c Choice) Reason() string { return c.reason }

// LogDetail returns a short description for the decision log. It is formatted
// only when it is asked for.
func (c Choice) LogDetail() string {
	return fmt.Sprintf("%s class=%s load=%d running=%d/%d long_servers=%d/%d known=%d",
		c.reason, c.class, c.load, c.running, c.bound, c.longs, c.longCap, c.known)
}

// exclusion says why a server can't be picked.
type exclusion uint8

// Exclusions. The first ones are states of a server, which are counted as they
// change; the others depend on the request.
const (
	open exclusion = iota
	outOfService
	setAside
	noReport
	held
	full
	stateCount
	excluded
	memoryFull
	prefillBusy
	longCap
	notIdle
	reservedLong
	exclusionCount
)

// exclusionCodes are the short codes in messages and logs.
var exclusionCodes = [exclusionCount]string{
	outOfService: "out",
	setAside:     "aside",
	noReport:     "stale",
	held:         "held",
	full:         "full",
	excluded:     "excluded",
	memoryFull:   "memory",
	prefillBusy:  "prefill",
	longCap:      "long_cap",
	notIdle:      "not_idle",
	reservedLong: "reserved_long",
}
