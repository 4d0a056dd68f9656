package pwclaim

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// MaxSweepRows is the largest number of rows that one sweep reads.
const MaxSweepRows = 500

// SweepTable is the part of the table service that a sweep needs.
type SweepTable interface {
	Table
	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
}

// Sweeper deletes rows whose retention time is over. Each sweep continues
// after the last row of the one before. It is not safe for concurrent use;
// several sweepers on one table only waste reads.
type Sweeper struct {
	table SweepTable
	cfg   Config
	after string
}

// NewSweeper returns a sweeper that starts at the first row.
func NewSweeper(table SweepTable, cfg Config) *Sweeper {
	return &Sweeper{
		table: table,
		cfg:   cfg.withDefaults(),
	}
}

// Sweep reads up to limit rows with one request, at most MaxSweepRows, and
// deletes the expired ones with one commit each. The deletion names the
// version that was read, so that a row changed since then stays. It returns
// the number of deleted rows.
func (w *Sweeper) Sweep(ctx context.Context, limit int) (deleted int, err error) {
	limit = min(limit, MaxSweepRows)
	rows, err := w.table.List(ctx, keyPrefix, w.after, limit)
	if err != nil {
		return 0, err
	}
	if len(rows) < limit {
		defer func() { w.after = "" }()
	}
	for _, r := range rows {
		w.after = r.Key
		cur, err := decodeRow(r.Value)
		if err != nil || time.Since(cur.ChangedAt) < w.cfg.Retention {
			continue
		}
		_, err = w.table.Commit(ctx, pwtable.Write{
			Key:             r.Key,
			ExpectedVersion: r.Version,
			Delete:          true,
		})
		switch {
		case err == nil:
			deleted++
		case pwverdict.CauseOf(err) == pwverdict.CauseConflict:
		default:
			return deleted, err
		}
	}
	return deleted, nil
}
