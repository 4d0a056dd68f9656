package pwfleet

import (
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
)

// Guards against entries of another writer that hide the running server at their address,
// because they state a later start (review/3, Starved).
func TestForeignEntryDoesNotHideServer(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const address = "10.0.0.1:80"
	desk := pwcatalog.Service{
		Name: "desk",
	}
	entry := func(id, service string, start int64) pwcatalog.BackendServer {
		return pwcatalog.BackendServer{
			ID:          id,
			Service:     service,
			Address:     address,
			StartUnixMS: start,
		}
	}
	for name, tc := range map[string]struct {
		steps func(f *Fleet)
		// want is the server that gets the requests of the service, or "".
		want string
	}{
		"of a service that is not configured": {
			steps: func(f *Fleet) {
				f.Configure([]pwcatalog.Service{desk})
				f.Upsert(now, entry("i-1", "desk", 5))
				f.Upsert(now, entry("odd", "other", 9))
			},
			want: "i-1",
		},
		"before the configuration": {
			steps: func(f *Fleet) {
				f.Upsert(now, entry("odd", "other", 9))
				f.Upsert(now, entry("i-1", "desk", 5))
				f.Configure([]pwcatalog.Service{desk})
			},
			want: "i-1",
		},
		"of the same service, not at the address": {
			steps: func(f *Fleet) {
				f.Configure([]pwcatalog.Service{desk})
				f.Upsert(now, entry("i-1", "desk", 5))
				f.Upsert(now, entry("odd", "desk", 9))
				f.MarkReplaced("odd")
			},
			want: "i-1",
		},
		"of the service that took the address over": {
			steps: func(f *Fleet) {
				f.Configure([]pwcatalog.Service{desk, {
					Name: "other",
				}})
				f.Upsert(now, entry("i-1", "desk", 5))
				f.Upsert(now, entry("i-2", "other", 9))
			},
		},
		"of a service that is configured later": {
			steps: func(f *Fleet) {
				f.Configure([]pwcatalog.Service{desk})
				f.Upsert(now, entry("i-1", "desk", 5))
				f.Upsert(now, entry("i-2", "other", 9))
				f.Configure([]pwcatalog.Service{desk, {
					Name: "other",
				}})
			},
		},
		"of a newer server of the same service": {
			steps: func(f *Fleet) {
				f.Configure([]pwcatalog.Service{desk})
				f.Upsert(now, entry("i-1", "desk", 5))
				f.Upsert(now, entry("i-2", "desk", 9))
			},
			want: "i-2",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(Config{})
			tc.steps(f)
			plan, err := f.Plan(now, Request{
				Service: "desk",
			})
			if (err == nil) != (tc.want != "") || plan.Server.ID != tc.want {
				t.Errorf("the request goes to %q, %v; want %q", plan.Server.ID, err, tc.want)
			}
		})
	}
}
