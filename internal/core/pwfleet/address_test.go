package pwfleet

import (
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
)

// Guards against requests to a server that has ended and whose address another one has taken.
// The entry of the ended one stays until it expires. Its requests reach the other server, which
// turns them away, but they count against the rest that it may have asked for.
func TestEndedServerAtTakenAddressGetsNoWork(t *testing.T) {
	ended := listed("e-0", "model", "hakata")
	running := listed("e-1", "model", "hakata")
	running.Address = ended.Address
	running.StartUnixMS = ended.StartUnixMS + 1
	elsewhere := running
	elsewhere.Address = "other"
	undated := running
	undated.StartUnixMS = 0
	otherService := running
	otherService.Service = "desk"
	for name, c := range map[string]struct {
		entries []pwcatalog.BackendServer
		removed string
		works   bool
	}{
		"listed first":     {entries: []pwcatalog.BackendServer{ended, running}},
		"listed last":      {entries: []pwcatalog.BackendServer{running, ended}},
		"updated":          {entries: []pwcatalog.BackendServer{ended, running, ended}},
		"other service":    {entries: []pwcatalog.BackendServer{ended, otherService}},
		"other address":    {entries: []pwcatalog.BackendServer{ended, elsewhere}, works: true},
		"address changed":  {entries: []pwcatalog.BackendServer{ended, running, elsewhere, ended}, works: true},
		"start not known":  {entries: []pwcatalog.BackendServer{ended, undated}, works: true},
		"other is removed": {entries: []pwcatalog.BackendServer{running, ended}, removed: "e-1", works: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(0)
			for _, s := range c.entries {
				f.Upsert(start, s)
			}
			if c.removed != "" {
				f.Remove(start, c.removed)
			}
			if err := f.CheckSend(start, ended.ID); (err == nil) != c.works {
				t.Errorf("error %v, want that the server gets work: %v", err, c.works)
			}
			if c.removed == "" {
				if err := f.CheckSend(start, running.ID); err != nil {
					t.Errorf("the running server gets no work: %v", err)
				}
			}
		})
	}
}
