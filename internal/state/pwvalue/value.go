// Package pwvalue lets rows of the platform's store hold values that are larger
// than a row: they are compressed. A value that is too large even so is refused
// with NotRun before anything is sent.
//
// # Usage
//
//	table := pwvalue.New(rows)
//	version, err := table.Commit(ctx, pwtable.Write{Key: "service/lantern", Value: document})
package pwvalue

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"slices"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// maxPlainBytes bounds a value after it was decompressed; it is the largest
// document and some room.
const maxPlainBytes = 1 << 20

// magic starts a compressed value. The product's own values are JSON or protobuf
// and never start so.
var magic = []byte{0x1f, 0x8b}

// RowStore is a table whose rows have the store's size.
type RowStore interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
}

// Table compresses large values.
type Table struct {
	rows RowStore
}

// New returns a table on top of rows.
func New(rows RowStore) *Table {
	return &Table{
		rows: rows,
	}
}

// Get returns one row.
func (t *Table) Get(ctx context.Context, key string) (pwtable.Row, error) {
	row, err := t.rows.Get(ctx, key)
	if err != nil {
		return pwtable.Row{}, err
	}
	return row, expand(&row)
}

// List returns up to limit rows whose keys start with prefix and are greater
// than after.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error) {
	rows, err := t.rows.List(ctx, prefix, after, limit)
	if err != nil {
		return nil, err
	}
	for i := range rows {
		if err := expand(&rows[i]); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// Commit applies all writes or none and returns their common version.
func (t *Table) Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error) {
	writes = slices.Clone(writes)
	for i := range writes {
		w := &writes[i]
		if len(w.Value) <= pwtable.MaxValueBytes {
			continue
		}
		if len(w.Value) > maxPlainBytes {
			return 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
				"value of key %q has %d bytes; allowed are %d", w.Key, len(w.Value), maxPlainBytes)
		}
		packed, err := compress(w.Value)
		if err != nil {
			return 0, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "compressing the value of key %q", w.Key)
		}
		w.Value = packed
	}
	return t.rows.Commit(ctx, writes...)
}

func compress(value []byte) ([]byte, error) {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if _, err := z.Write(value); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// expand replaces a compressed value by the plain one.
func expand(row *pwtable.Row) error {
	if !bytes.HasPrefix(row.Value, magic) {
		return nil
	}
	z, err := gzip.NewReader(bytes.NewReader(row.Value))
	if err == nil {
		var plain []byte
		if plain, err = io.ReadAll(io.LimitReader(z, maxPlainBytes+1)); err == nil && len(plain) <= maxPlainBytes {
			row.Value = plain
			return nil
		}
	}
	return pwverdict.New(pwverdict.Ran, pwverdict.CauseUnavailable, "the value of row %q can't be decompressed: %v", row.Key, err)
}
