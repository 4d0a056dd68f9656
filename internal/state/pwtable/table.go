// Package pwtable defines the rows and writes of the platform's transactional table
// service. A row has a key, a value and a version. Rows change by commits of
// conditional writes; the writes of a commit take effect together or not at all.
//
// Packages that use the table declare an interface with the methods that they need:
//
//	Get(ctx context.Context, key string) (pwtable.Row, error)
//	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
//	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
//
// # Usage
//
//	row, err := table.Get(ctx, "lease/placement/lantern")
//	version, err := table.Commit(ctx, pwtable.Write{
//		Key:             row.Key,
//		Value:           next,
//		ExpectedVersion: row.Version,
//	})
//
// # Errors
//
// All errors have a verdict. Get returns CauseNotFound for a row that does not exist.
// Commit returns CauseConflict with NotRun if a condition does not hold,
// CauseUnavailable with NotRun if nothing was sent, and CauseUnavailable with
// MayHaveRun if the reply was lost. In the last case the writes may have taken
// effect or may still do so.
package pwtable

import "github.com/pomeloweir/pomeloweir/internal/core/pwverdict"

// Limits of the platform's store.
const (
	// MaxValueBytes is the largest value of a row. The platform's limit of 64 KiB
	// applies to the value in base64, which is a third larger.
	MaxValueBytes = 48 << 10
	// MaxKeyBytes is the largest size of a key.
	MaxKeyBytes = 200
	// MaxListRows is the largest limit of List. The store returns pages of 500 rows,
	// and each page begins with the last row of the previous one.
	MaxListRows = 499
	// MaxWrites is the largest number of writes in one commit. A transaction of the
	// store has at most 100 entries, and each write takes two of them: its condition
	// and the write itself.
	MaxWrites = 50
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is the table's revision at the commit that last wrote the row. The
	// revision increases with every commit to any row, so that a row that is deleted
	// and created again never gets an earlier version.
	Version uint64 `json:"version"`
}

// Write is one conditional write of a commit.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// ExpectedVersion is the version that the row must have. 0 means that the row
	// must not exist.
	ExpectedVersion uint64 `json:"expect,omitempty"`
	// Delete deletes the row instead of writing Value to it.
	Delete bool `json:"delete,omitempty"`
}

// CheckWrites returns an error with CauseBadRequest if a commit of the given writes
// exceeds the limits of the table.
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

// CheckListLimit returns an error with CauseBadRequest if limit is not allowed in a
// call of List.
func CheckListLimit(limit int) error {
	if limit < 1 || limit > MaxListRows {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "limit is %d; allowed are 1 to %d", limit, MaxListRows)
	}
	return nil
}
