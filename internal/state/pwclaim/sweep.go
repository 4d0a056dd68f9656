package pwclaim

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// MaxSweepRows is the largest number of rows that one call of Sweep reads.
const MaxSweepRows = 500

// SweepTable is the subset of the table service that a Sweeper uses.
type SweepTable interface {
	Table
	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
}

// Sweeper deletes claim rows whose retention time is over. Each call of Sweep
// continues after the last row of the previous one. A Sweeper is not safe for
// concurrent use. Several sweepers on one table do no harm, but their reads are
// redundant.
type Sweeper struct {
	table   SweepTable
	cfg     Config
	lastKey string
}

// NewSweeper returns a sweeper that starts at the first claim row.
func NewSweeper(table SweepTable, cfg Config) *Sweeper {
	return &Sweeper{
		table: table,
		cfg:   cfg.withDefaults(),
	}
}

// Sweep reads up to limit rows, at most MaxSweepRows, with one request and deletes
// the expired ones with one commit each. Every delete expects the version that was
// read, so that a row that has changed since then is kept. Sweep returns the number
// of deleted rows.
func (w *Sweeper) Sweep(ctx context.Context, limit int) (deleted int, err error) {
	limit = min(limit, MaxSweepRows)
	rows, err := w.table.List(ctx, keyPrefix, w.lastKey, limit)
	if err != nil {
		return 0, err
	}
	if len(rows) < limit {
		defer func() { w.lastKey = "" }()
	}
	for _, r := range rows {
		w.lastKey = r.Key
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
