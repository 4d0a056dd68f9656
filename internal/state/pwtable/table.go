// Package pwtable describes the platform's transactional table service: rows
// with a key, a value and a version, changed by conditional writes that take
// effect all or none.
//
// Consumers declare the small interface they need; the methods are always
// these:
//
//	Get(ctx context.Context, key string) (pwtable.Row, error)
//	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
//	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
//
// # Usage
//
//	row, err := table.Get(ctx, "lease/placement/lantern")
//	version, err := table.Commit(ctx, pwtable.Write{
//		Key:    row.Key,
//		Value:  next,
//		Expect: row.Version,
//	})
//
// # Errors
//
// All errors have a verdict. Get of a row that does not exist gives
// CauseNotFound. Commit gives CauseConflict with NotRun when a condition does
// not hold, CauseUnavailable with NotRun when nothing was sent, and
// CauseUnavailable with MayHaveRun when the reply was lost: the write may
// have taken effect, or may still do so.
package pwtable

import "github.com/pomeloweir/pomeloweir/internal/core/pwverdict"

// Limits of the platform's store.
const (
	// MaxValueBytes is the largest value that a row may hold: the platform's 64 KiB
	// count it in base64.
	MaxValueBytes = 48 << 10
	// MaxKeyBytes is the longest key.
	MaxKeyBytes = 200
	// MaxListRows is the largest limit of List: the store's pages of 500 rows
	// begin with the last row of the page before.
	MaxListRows = 499
	// MaxWrites is the largest number of writes in one commit: each takes two of
	// the 100 entries of a transaction, its condition and itself.
	MaxWrites = 50
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is the table's revision of the commit that last wrote the row.
	// It grows over all rows, so that a deleted and recreated row never
	// gets an old version again.
	Version uint64 `json:"version"`
}

// Write is one conditional write of a commit.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// ExpectedVersion is the version that the row must have; 0 means that it must
	// not exist.
	ExpectedVersion uint64 `json:"expect,omitempty"`
	// Delete removes the row; Value is ignored.
	Delete bool `json:"delete,omitempty"`
}

// CheckWrites checks the limits of a commit.
func CheckWrites(writes []Write) error {
	if len(writes) == 0 || len(writes) > MaxWrites {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"a commit has %d writes; allowed are 1 to %d", len(writes), MaxWrites)
	}
	for _, w := range writes {
		if w.Key == "" || len(w.Key) > MaxKeyBytes || len(w.Value) > MaxValueBytes {
			return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
				"key %q has %d bytes and its value %d; allowed are 1 to %d and at most %d",
				w.Key, len(w.Key), len(w.Value), MaxKeyBytes, MaxValueBytes)
		}
	}
	return nil
}

// CheckListLimit checks the limit of a list.
func CheckListLimit(limit int) error {
	if limit < 1 || limit > MaxListRows {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "limit is %d; allowed are 1 to %d", limit, MaxListRows)
	}
	return nil
}
