package pwrouter

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Scope is the kind of object that an out-of-service mark applies to.
type Scope uint8

// Scopes of out-of-service marks.
const (
	ScopeDataCentre Scope = iota
	ScopeBackendServer
)

// Outcome is the way in which an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Completed means that the server sent the whole answer.
	Completed Outcome = iota
	// Refused means that the agent refused the attempt.
	Refused
	// Cancelled means that the caller ended the request.
	Cancelled
	// Failed means that the attempt ended with an error or at its deadline.
	Failed
	// Crashed means that the backend server crashed.
	Crashed
)

// Report is an agent's report of the load on its backend server and of what the
// server offers. The router keeps the slices, so callers must not change them.
type Report struct {
	BackendServer pwrequest.BackendServerID
	Instance      pwrequest.InstanceID
	// Address is the host:port at which the agent listens.
	Address    string
	DataCentre pwrequest.DataCentre
	Service    pwrequest.ServiceID
	Models     []pwrequest.ModelID
	Adapters   []string
	Versions   []string
	Role       string
	InService  bool
	// Running is the number of running attempts, RunningBound the largest number
	// that may run at once.
	Running      int
	RunningBound int
	// ReservedTokens is the reserved part of MemoryTokens, the engine's memory. If
	// MemoryTokens is 0, the memory isn't bounded.
	ReservedTokens int64
	MemoryTokens   int64
	// PendingPrefillTokens is the prefill work that the engine still has to do, by
	// length class.
	PendingPrefillTokens [pwrequest.ClassCount]int64
	// LongPrefill is set while a long prompt or a part of one is in prefill. It
	// isn't set for long prompts in decode or for memory that is only reserved for
	// a group, because neither delays short prompts.
	LongPrefill bool
	// RunningLong is the number of running attempts with a long prompt.
	RunningLong int
	SentAt      time.Time
	// Incarnation increases with each start of the agent.
	Incarnation uint64
}

// newerThan reports whether rep is newer than old: by incarnation, and within an
// incarnation by the time of sending.
func (rep *Report) newerThan(old *Report) bool {
	if rep.Incarnation != old.Incarnation {
		return rep.Incarnation > old.Incarnation
	}
	return rep.SentAt.After(old.SentAt)
}

// matches reports whether a server with this report belongs to the group k.
func (rep *Report) matches(k groupKey) bool {
	return rep.Service == k.service &&
		(k.model == "" || slices.Contains(rep.Models, k.model)) &&
		(k.adapter == "" || slices.Contains(rep.Adapters, k.adapter)) &&
		(k.version == "" || slices.Contains(rep.Versions, k.version)) &&
		(k.role == "" || rep.Role == k.role)
}

// sameGroups reports whether servers with these reports belong to the same groups.
func (rep *Report) sameGroups(o *Report) bool {
	return rep.Service == o.Service && rep.Role == o.Role &&
		slices.Equal(rep.Models, o.Models) &&
		slices.Equal(rep.Adapters, o.Adapters) &&
		slices.Equal(rep.Versions, o.Versions)
}

// PickOptions restricts a pick.
type PickOptions struct {
	// Excluded lists servers that must not be picked.
	Excluded []pwrequest.BackendServerID
	// Isolated requires a server that runs nothing else.
	Isolated bool
	// LocalDataCentre is the data centre whose servers are preferred: the load of
	// all others counts RemotePenalty more. Empty means no preference.
	LocalDataCentre pwrequest.DataCentre
	// Version and Role restrict the pick to servers that offer them. Empty means
	// no restriction.
	Version string
	Role    string
}

// Choice is a picked server and the reasons for the pick.
type Choice struct {
	server       pwrequest.BackendServerID
	address      string
	dataCentre   pwrequest.DataCentre
	reason       string
	class        pwrequest.Class
	load         int64
	running      int
	bound        int
	longServers  int
	longCap      int
	knownServers int
}

// Server returns the picked backend server.
func (c Choice) Server() pwrequest.BackendServerID { return c.server }

// Address returns the host:port of the picked server's agent.
func (c Choice) Address() string { return c.address }

// DataCentre returns the data centre of the picked server.
func (c Choice) DataCentre() pwrequest.DataCentre { return c.dataCentre }

// Reason returns why the server was picked: "affinity" when it has the prefix in
// its cache, "less_loaded" when it was the less loaded of two candidates, and
// "only" when it was the only candidate found.
func (c Choice) Reason() string { return c.reason }

// LogDetail returns the reasons for the pick in one line for the decision log. The
// line is formatted on each call, so that a pick that isn't logged costs nothing.
func (c Choice) LogDetail() string {
	return fmt.Sprintf("%s class=%s load=%d running=%d/%d long_servers=%d/%d known=%d",
		c.reason, c.class, c.load, c.running, c.bound, c.longServers, c.longCap, c.knownServers)
}

// exclusion is the reason why a server can't be picked.
type exclusion uint8

// Exclusions. Those before stateCount are states of a server, which each group
// counts as they change. The others depend on the request.
const (
	eligible exclusion = iota
	outOfService
	ejected
	reportExpired
	heldForIsolated
	atRunningBound
	stateCount
	excludedByCaller
	memoryFull
	prefillOverLimit
	longCapReached
	notIdle
	reservedForLong
	exclusionCount
)

// exclusionCodes are the codes of the exclusions in refusals.
var exclusionCodes = [exclusionCount]string{
	outOfService:     "out",
	ejected:          "aside",
	reportExpired:    "stale",
	heldForIsolated:  "held",
	atRunningBound:   "full",
	excludedByCaller: "excluded",
	memoryFull:       "memory",
	prefillOverLimit: "prefill",
	longCapReached:   "long_cap",
	notIdle:          "not_idle",
	reservedForLong:  "reserved_long",
}
