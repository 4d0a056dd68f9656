package pwgateway

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
)

// maintenanceInterval is how often old connections and peers are looked for.
const maintenanceInterval = 500 * time.Millisecond

// bodyMemoryPart is the divisor of the machine's memory that running requests
// may take; the rest is the collector's and the program's.
const bodyMemoryPart = 3

// Policy holds the times and limits of requests. Zero fields take their defaults.
type Policy struct {
	// MinAbandonTime, AbandonTargets and AbandonGaps say when callers leave a
	// stream without an event: after the longest of the floor, so many times
	// the target, and so many times the longest pause.
	MinAbandonTime        time.Duration
	AbandonTargetMultiple float64
	AbandonGapMultiple    float64
	// StallShare is the part of that time after which a silent server is given
	// up while another may still serve the request.
	StallShare float64
	// BusyStallShare is the same for a server that answers other requests.
	BusyStallShare float64
	// SafeTimeoutTargetMultiple is the time in targets after which a safe call is sent
	// to a second server.
	SafeTimeoutTargetMultiple float64
	// MaxRejections bounds the sends of one request that servers rejected or
	// that found no connection.
	MaxRejections int
	// MaxWaiting bounds the requests that wait for an engine.
	MaxWaiting int
	// MaxRequestMemory bounds the memory of running requests, in bytes.
	MaxRequestMemory int64
	// NoServerWaitShare is the part of the target that a request waits while no
	// server may get it.
	NoServerWaitShare float64
	// WaitShare is the part of the abandon time that a request waits for room.
	// Afterwards a short one goes to the least busy engine, and a long one is
	// refused while there is time to come back.
	WaitShare float64
}

func (p Policy) withDefaults() Policy {
	pwdefault.SetUnlessPositive(&p.MinAbandonTime, 2*time.Second) // the platform's page on requests
	pwdefault.SetUnlessPositive(&p.AbandonTargetMultiple, 4)      // the same page
	pwdefault.SetUnlessPositive(&p.AbandonGapMultiple, 8)         // the same page
	pwdefault.SetUnlessPositive(&p.StallShare, 0.7)
	pwdefault.SetUnlessPositive(&p.BusyStallShare, 0.9)
	pwdefault.SetUnlessPositive(&p.SafeTimeoutTargetMultiple, 1.6)
	pwdefault.SetUnlessPositive(&p.NoServerWaitShare, 0.125) // held longer, a refusal costs the caller its return
	pwdefault.SetUnlessPositive(&p.WaitShare, 0.35)
	pwdefault.SetUnlessPositive(&p.MaxRequestMemory, 64<<20)
	pwdefault.SetUnlessPositive(&p.MaxRejections, 12) // each one tells of one server that is leaving while the store is away
	pwdefault.SetUnlessPositive(&p.MaxWaiting, 2000)
	return p
}

// abandon returns how long a caller waits for the next event of a stream.
func (p Policy) abandon(r *pwcatalog.Route) time.Duration {
	return max(p.MinAbandonTime,
		time.Duration(p.AbandonTargetMultiple*float64(r.Target)),
		time.Duration(p.AbandonGapMultiple*float64(r.TargetGap)))
}
