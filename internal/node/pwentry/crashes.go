package pwentry

import (
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

func (e *Entry) clearCrashes(r *pwrequest.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serviceLocked(r.Service()).crashes.ClearCrashes(time.Now(), r.Fingerprint())
}

func (e *Entry) countCrash(f *InFlightRequest, id pwrequest.AttemptID, concurrent []uint64) {
	own := f.request.Fingerprint()
	besides := lo.Without(concurrent, own)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serviceLocked(f.request.Service()).crashes.RecordCrash(time.Now(), own, id, besides)
}

// Crashes returns the crash counts, for the exchange with other entries.
func (e *Entry) Crashes() []pwquarantine.FingerprintCrashes {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := pwquarantine.New(pwquarantine.Config{})
	for _, s := range e.services {
		all.Merge(time.Now(), s.crashes.Snapshot(time.Now()))
	}
	return all.Snapshot(time.Now())
}

// MergeCrashes adds the crash counts of another entry.
func (e *Entry) MergeCrashes(counts []pwquarantine.FingerprintCrashes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A count does not name its service. Fingerprints differ between services,
	// so that a count has no effect where it does not belong.
	for _, s := range e.services {
		s.crashes.Merge(time.Now(), counts)
	}
}
