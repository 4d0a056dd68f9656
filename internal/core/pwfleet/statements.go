package pwfleet

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
)

// statements holds what an incarnation of a server has stated about itself.
type statements struct {
	// leaving is set when the incarnation has announced that it leaves.
	leaving bool
	// Until restsUntil the server wants no requests from this process, as it stated last at
	// restAskedAt.
	restsUntil  time.Time
	restAskedAt time.Time
	// limit is the limit that the server states or has lifted, or nil.
	limit *requestLimit
}

// carryOver returns what remains in force of the statements once an incarnation with the
// given start is listed under the same identifier. That one may have asked for rest before
// its entry arrived.
func (st statements) carryOver(startUnixMS int64) statements {
	if !hasStarted(startUnixMS, st.restAskedAt) {
		return statements{}
	}
	return statements{
		restsUntil:  st.restsUntil,
		restAskedAt: st.restAskedAt,
	}
}

// hasStarted reports whether an incarnation with a known start ran at the given time.
func hasStarted(startUnixMS int64, at time.Time) bool {
	return startUnixMS != 0 && at.UnixMilli() >= startUnixMS
}

// statementsOf returns the statements of the incarnation that info describes, also of one
// that was removed, or nil if another one has taken its place or nothing is known of it.
func (f *Fleet) statementsOf(info pwcatalog.BackendServer) *statements {
	if s := f.servers[info.ID]; s != nil {
		if s.info.StartUnixMS != info.StartUnixMS {
			return nil
		}
		return &s.statements
	}
	if d := f.departed[info.ID]; d != nil && d.startUnixMS == info.StartUnixMS {
		return &d.statements
	}
	return nil
}

// MarkLeaving marks an incarnation that has stated that it leaves. It gets no more work.
// MarkLeaving reports whether that is new.
func (f *Fleet) MarkLeaving(info pwcatalog.BackendServer) bool {
	st := f.statementsOf(info)
	if st == nil || st.leaving {
		return false
	}
	st.leaving = true
	return true
}
