package pwgatewaycommand

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// changingTable is a table of servers that has changed whenever it is watched.
type changingTable struct {
	watchedAt []time.Time
}

func (s *changingTable) List(context.Context) (pwcontrol.Snapshot[pwcatalog.BackendServer], error) {
	return pwcontrol.Snapshot[pwcatalog.BackendServer]{
		Version: 1,
	}, nil
}

func (s *changingTable) Watch(_ context.Context, after int64, _ time.Duration) (pwcontrol.Snapshot[pwcatalog.BackendServer], error) {
	s.watchedAt = append(s.watchedAt, time.Now())
	return pwcontrol.Snapshot[pwcatalog.BackendServer]{
		Version: after + 1,
		Items: []pwcontrol.Item[pwcatalog.BackendServer]{{
			Key:     "desk",
			Version: after + 1,
		}},
	}, nil
}

// Guards against a process that still collects the changes of servers for the third of the drain
// time of its start after a reload has shortened it, and so sends to draining servers (DRAIN).
func TestReloadShortensDelayOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStopFixture(t)
		table := &changingTable{}
		f.process.serverFollower = pwcontrol.NewFollower(table, pwcontrol.Config{
			BatchDelay: 2 * time.Second / serverBatchDivisor,
		}, pwobserve.Discard(), f.process.gateway.ApplyServers)
		f.writeSettings("bounds.drain-ms=300")
		f.process.reload()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		f.process.serverFollower.Run(ctx)
		if n := len(table.watchedAt); n < 9 {
			t.Errorf("changes were looked for %d times within 1 s, want 10 or 11", n)
		}
	})
}

// Guards against settings that change while a process starts, after it has loaded them, and
// are not noticed until they change once more.
func TestSettingsThatChangeAtTheStartAreLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStopFixture(t)
		f.writeSettings("bounds.grace-s=8")
		f.process.settingsVersion = fileVersion(f.process.settingsPath)
		f.writeSettings("bounds.grace-s=12")
		f.process.reloadIfChanged()
		if got := f.process.gracePeriod(); got != 12*time.Second {
			t.Errorf("the grace period is %s, want 12s", got)
		}
	})
}
