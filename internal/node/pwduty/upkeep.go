package pwduty

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
)

const (
	// upkeepLeaseName names the lease under which expired rows are deleted.
	upkeepLeaseName = "upkeep"
	// upkeepInterval is the mean time between two steps. It is shorter than a third
	// of the lease's term, because each step renews the lease. maxSweepRows bounds the
	// rows of a step, which results in 40 reads and at most 40 deletions a second, a
	// tenth of the table's capacity.
	upkeepInterval = 2500 * time.Millisecond
	maxSweepRows   = 100
	// stepsPerTrim is the number of steps after which one page of the change log is
	// trimmed. It is large because trimming reads each row of the page separately.
	stepsPerTrim = 24
	// changeRetention is how long superseded changes are kept for operators. At 6,400
	// changes a day these are 44,800 rows.
	changeRetention = 7 * 24 * time.Hour
)

// runUpkeep repeatedly acquires the upkeep lease and deletes expired rows while it
// holds the lease, until ctx ends.
func (d *Duties) runUpkeep(ctx context.Context) {
	leases := d.newLeaseAcquirer(upkeepLeaseName)
	for ctx.Err() == nil {
		if lease, err := leases.Acquire(ctx); err == nil {
			u := &upkeep{
				duties: d,
				lease:  lease,
				log:    pwchange.NewLog(d.deps.Table),
			}
			u.run(ctx)
		}
		_ = sleepWithJitter(ctx, upkeepInterval)
	}
}

// upkeep deletes expired rows during one tenure of the lease. A holder that acts after
// its lease has expired does no harm, because each deletion is conditional on the
// version of the row that was read.
type upkeep struct {
	duties     *Duties
	lease      *pwlease.Lease
	log        *pwchange.Log
	sweeper    *pwclaim.Sweeper
	retention  time.Duration
	trimCursor uint64
}

// run returns when the lease is lost or ctx ends.
func (u *upkeep) run(ctx context.Context) {
	for n := 1; u.lease.Held(time.Now()); n++ {
		u.warnOnError("expired claim rows could not be deleted", u.sweep(ctx))
		if n%stepsPerTrim == 0 {
			u.warnOnError("change log could not be trimmed", u.trim(ctx))
		}
		if sleepWithJitter(ctx, upkeepInterval) != nil {
			break
		}
		if err := u.lease.Renew(ctx); pwverdict.CauseOf(err) == pwverdict.CauseStaleFence {
			return
		}
	}
	if ctx.Err() != nil {
		// The release lets the next holder start before the lease expires. If it
		// fails, that holder only starts later.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), upkeepInterval)
		defer cancel()
		_ = u.lease.Release(ctx)
	}
}

// warnOnError logs a step that failed; the next step repeats it.
func (u *upkeep) warnOnError(msg string, err error) {
	if err != nil {
		u.duties.deps.Observer.Warn(msg, err)
	}
}

// sweep deletes expired claim rows. A row does not contain the retention time of its
// service, so the longest one in force applies to all rows.
func (u *upkeep) sweep(ctx context.Context) error {
	retention := pwclaim.DefaultRetention
	for _, doc := range u.duties.deps.Entry.Documents() {
		retention = max(retention, doc.Retention.Claim())
	}
	if u.sweeper == nil || retention != u.retention {
		u.retention = retention
		u.sweeper = pwclaim.NewSweeper(u.duties.deps.Table, pwclaim.Config{
			Retention: retention,
		})
	}
	_, err := u.sweeper.Sweep(ctx, maxSweepRows)
	return err
}

// trim deletes superseded changes from one page of the change log. After the last page
// it starts again with the first one.
func (u *upkeep) trim(ctx context.Context) (err error) {
	u.trimCursor, err = u.log.Trim(ctx, u.trimCursor, changeRetention)
	return err
}
