package pwgateway

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
	"github.com/pomeloweir/pomeloweir/internal/core/pwholding"
	"github.com/pomeloweir/pomeloweir/internal/core/pwoverload"
)

// maintenanceInterval is how often old connections and inactive peers are removed.
const maintenanceInterval = 500 * time.Millisecond

// defaultMemoryShare is the share of the machine's memory that running requests may use. The
// rest is left to the garbage collector and to everything else in the process.
const defaultMemoryShare = 1.0 / 3

// SlowReaders holds the limits on what is held for callers and servers that read slowly, and
// for callers that send slowly. Zero fields take their defaults.
type SlowReaders struct {
	// UnreadTimeout is how long the caller of a stream may read nothing before the stream
	// is ended.
	UnreadTimeout time.Duration
	// MemoryShare is the share of the machine's memory that running requests may use, if
	// Policy.MaxRequestMemory is 0. CallerShare and WorkspaceShare are the shares of that
	// for one connection and for one workspace.
	MemoryShare    float64
	CallerShare    float64
	WorkspaceShare float64
	// ServerBodyBytes limits the request bodies that a server holds for all gateways. The
	// memory of servers is not known; the default assumes machines like this one.
	ServerBodyBytes int64
}

// Policy holds the timeouts and limits of requests. Zero fields take their defaults.
type Policy struct {
	// MinAbandonTime, AbandonTargetMultiple and AbandonGapMultiple determine when a
	// caller leaves a stream that sends no event. This abandon time is the longest
	// of the minimum, a multiple of the route's target for the first event, and a
	// multiple of its target for the gap between events.
	MinAbandonTime        time.Duration
	AbandonTargetMultiple float64
	AbandonGapMultiple    float64
	// StallShare is the part of the abandon time after which a stream leaves a server
	// that has sent nothing, if another server may still serve it.
	StallShare float64
	// BusyStallShare is the StallShare for a server that still responds to other
	// requests.
	BusyStallShare float64
	// SafeTimeoutTargetMultiple is the multiple of the route's target after which a
	// request that is not a stream leaves an unresponsive server, if it may be
	// retried. Without a target, the attempts share the time that is left.
	SafeTimeoutTargetMultiple float64
	// MaxRejections limits how often one request may be rejected by a server, fail
	// to connect, or fail to reserve memory.
	MaxRejections int
	// MaxWaiting limits the number of queued requests.
	MaxWaiting int
	// MaxRequestMemory limits the memory of running requests, in bytes.
	MaxRequestMemory int64
	SlowReaders      SlowReaders
	// NoServerWaitShare is the part of the route's target, or of the time that the caller
	// waits if there is none, that a request waits while no server is eligible.
	NoServerWaitShare float64
	// WaitShare is the part of the abandon time that a request waits for busy
	// servers. Afterwards a short prompt goes to the least busy engine, and a long
	// one is refused while its caller still has time to retry.
	WaitShare float64
	// Overload configures the decisions of pwoverload; nil means that none are made.
	Overload *pwoverload.Config
}

func (p Policy) withDefaults() Policy {
	pwdefault.SetUnlessPositive(&p.MinAbandonTime, 2*time.Second) // from the platform's page on requests
	pwdefault.SetUnlessPositive(&p.AbandonTargetMultiple, 4)      // from the same page
	pwdefault.SetUnlessPositive(&p.AbandonGapMultiple, 8)         // from the same page
	pwdefault.SetUnlessPositive(&p.StallShare, 0.7)
	pwdefault.SetUnlessPositive(&p.BusyStallShare, 0.9)
	pwdefault.SetUnlessPositive(&p.SafeTimeoutTargetMultiple, 1.6)
	pwdefault.SetUnlessPositive(&p.NoServerWaitShare, 0.125) // a later refusal leaves the caller no time to retry
	pwdefault.SetUnlessPositive(&p.WaitShare, 0.35)
	pwdefault.SetUnlessPositive(&p.SlowReaders.UnreadTimeout, 3*time.Second)
	pwdefault.SetUnlessPositive(&p.SlowReaders.CallerShare, 1.0/3)
	pwdefault.SetUnlessPositive(&p.SlowReaders.WorkspaceShare, 0.8)
	pwdefault.SetUnlessPositive(&p.MaxRequestMemory, 64<<20)
	pwdefault.SetUnlessPositive(&p.SlowReaders.ServerBodyBytes, p.MaxRequestMemory)
	pwdefault.SetUnlessPositive(&p.MaxRejections, 12) // while the store is unreachable, each server that is leaving may reject once
	pwdefault.SetUnlessPositive(&p.MaxWaiting, 2000)
	return p
}

// requestMemory returns the memory that running requests may use on a machine, in bytes.
func (p Policy) requestMemory(machineBytes int64) int64 {
	share := p.SlowReaders.MemoryShare
	pwdefault.SetUnlessPositive(&share, defaultMemoryShare)
	return int64(share * float64(machineBytes))
}

// holdings returns the bounds on the memory that is held for callers.
func (p Policy) holdings() pwholding.Config {
	return pwholding.Config{
		TotalBytes:     p.MaxRequestMemory,
		CallerBytes:    int64(p.SlowReaders.CallerShare * float64(p.MaxRequestMemory)),
		WorkspaceBytes: int64(p.SlowReaders.WorkspaceShare * float64(p.MaxRequestMemory)),
	}
}

// abandonTime returns how long a caller waits for the next event of a stream.
func (p Policy) abandonTime(r *pwcatalog.Route) time.Duration {
	return max(p.MinAbandonTime,
		time.Duration(p.AbandonTargetMultiple*float64(r.Target)),
		time.Duration(p.AbandonGapMultiple*float64(r.TargetGap)))
}
