package pwfleet

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
)

// departureRetention is how long the end of a server is remembered. The platform restores
// its store from copies that are younger.
const departureRetention = 5 * time.Minute

// departure is what is remembered of a server that was removed.
type departure struct {
	statements
	startUnixMS int64
	at          time.Time
}

// UpsertRestored adds or updates a server whose entry comes from a store that has come
// back from an older copy. The entry does not revive an incarnation that is known to leave
// or to have been replaced. One whose entry had been removed gets work again only after
// confirmedAt, by which the platform removes entries that nobody writes again.
func (f *Fleet) UpsertRestored(now time.Time, info pwcatalog.BackendServer, confirmedAt time.Time) {
	var known departure
	d, removed := f.departed[info.ID]
	if removed {
		known = *d
	}
	if s := f.servers[info.ID]; s != nil {
		known = departure{
			statements:  s.statements,
			startUnixMS: s.info.StartUnixMS,
		}
		removed = !s.lapsesAt.IsZero() && now.After(s.lapsesAt) || now.Before(s.unconfirmedUntil)
		if info.StartUnixMS < known.startUnixMS {
			return
		}
	}
	f.Upsert(now, info)
	if s := f.servers[info.ID]; known.startUnixMS >= info.StartUnixMS {
		s.leaving = s.leaving || known.leaving
		if removed {
			s.unconfirmedUntil = confirmedAt
		}
	}
}

// ForgetDepartures drops what is remembered of servers that were removed long ago.
func (f *Fleet) ForgetDepartures(now time.Time) {
	for id, d := range f.departed {
		if now.Sub(d.at) > departureRetention {
			delete(f.departed, id)
		}
	}
}
