package pwgateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// Guards against work for servers that have left, once the store has come back from a copy
// in which they are ready (DRAIN).
func TestEndedServersStayOutAfterRestoreOfStore(t *testing.T) {
	const (
		heartbeat = 1200 * time.Millisecond
		// expired is when the platform has removed the entries of servers that are silent.
		expired = 3*heartbeat + pwcontrol.DefaultOutageGrace
	)
	type item = pwcontrol.Item[pwcatalog.BackendServer]
	entry := func(startUnixMS int64, draining, restored bool) item {
		return item{
			Key: "d-0",
			Value: pwcatalog.BackendServer{
				ID:          "d-0",
				Service:     "desk",
				Address:     "d-0",
				Draining:    draining,
				StartUnixMS: startUnixMS,
			},
			Restored: restored,
		}
	}
	removed := item{
		Key:     "d-0",
		Removed: true,
	}
	ready, draining, copied := entry(5, false, false), entry(5, true, false), entry(5, false, true)
	for name, c := range map[string]struct {
		items []item
		// after is how long after the last item work is tried.
		after time.Duration
		works bool
	}{
		"draining before":           {items: []item{ready, draining, copied}},
		"draining before, later":    {items: []item{ready, draining, copied}, after: 2 * expired},
		"removed before":            {items: []item{ready, draining, removed, copied}},
		"removed without notice":    {items: []item{ready, removed, copied}},
		"removed, listed for long":  {items: []item{ready, removed, copied}, after: expired + time.Second, works: true},
		"removed, written again":    {items: []item{ready, removed, copied, ready}, works: true},
		"restarted before":          {items: []item{ready, draining, entry(9, false, false), copied}, works: true},
		"restarted and left before": {items: []item{ready, entry(9, true, false), copied}},
		"restarted after":           {items: []item{ready, draining, removed, copied, entry(9, false, false)}, works: true},
		"copy of a leaving server":  {items: []item{ready, entry(5, true, true)}},
		"never seen before":         {items: []item{copied}, works: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(pwfleet.New(pwfleet.Config{}), pwdeployment.Deployment{
					Heartbeat: heartbeat,
				}, Policy{}.withDefaults(), pwobserve.Discard())
				d.configure(pwcatalog.New(pwcatalog.Spec{
					Services: []pwcatalog.Service{{
						Name: "desk",
					}},
				}))
				for _, it := range c.items {
					d.applyServer(it, time.Time{})
				}
				time.Sleep(c.after)
				_, err := d.fleet.Plan(time.Now(), pwfleet.Request{
					Service: "desk",
				})
				if (err == nil) != c.works {
					t.Errorf("the server works: %t (%v), want %t", err == nil, err, c.works)
				}
			})
		})
	}
}
