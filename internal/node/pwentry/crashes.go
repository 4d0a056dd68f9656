package pwentry

import (
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// clearCrashes removes the crash count of a request that completed in isolation.
func (e *Entry) clearCrashes(r *pwrequest.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serviceLocked(r.Service()).crashes.ClearCrashes(time.Now(), r.Fingerprint())
}

// recordCrash counts a server crash during the attempt id of f, against f and against the
// concurrent requests, which ran on the server at the same time.
func (e *Entry) recordCrash(f *InFlightRequest, id pwrequest.AttemptID, concurrent []uint64) {
	fingerprint := f.request.Fingerprint()
	neighbours := lo.Without(concurrent, fingerprint)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serviceLocked(f.request.Service()).crashes.RecordCrash(time.Now(), fingerprint, id, neighbours)
}

// Crashes returns the crash counts of all services, for the exchange between entries.
func (e *Entry) Crashes() []pwquarantine.FingerprintCrashes {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := pwquarantine.New(pwquarantine.Config{})
	for _, s := range e.services {
		all.Merge(time.Now(), s.crashes.Snapshot(time.Now()))
	}
	return all.Snapshot(time.Now())
}

// MergeCrashes merges the crash counts of another entry.
func (e *Entry) MergeCrashes(counts []pwquarantine.FingerprintCrashes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The counts don't name their services. Fingerprints differ between services, so a
	// count has no effect on other services.
	for _, s := range e.services {
		s.crashes.Merge(time.Now(), counts)
	}
}
