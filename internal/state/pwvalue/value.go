// Package pwvalue stores values in the platform's store that are larger than the
// store's limit for a row. It compresses them with gzip. A value that is too large even
// when compressed is rejected with NotRun before anything is sent.
//
// # Usage
//
//	table := pwvalue.New(store)
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

// maxUncompressedBytes limits the size of an uncompressed value. It is larger
// than the largest document.
const maxUncompressedBytes = 1 << 20

// gzipMagic is the prefix of a compressed value. Uncompressed values are JSON or
// protobuf messages, which never start with it.
var gzipMagic = []byte{0x1f, 0x8b}

// RowStore is a table whose values are limited to pwtable.MaxValueBytes.
type RowStore interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
}

// Table is a table that compresses the values that are too large for a row of the
// underlying store, and decompresses them when they are read.
type Table struct {
	store RowStore
}

// New returns a table that stores its rows in the given store.
func New(store RowStore) *Table {
	return &Table{
		store: store,
	}
}

// Get returns the row with the given key. Its value is uncompressed.
func (t *Table) Get(ctx context.Context, key string) (pwtable.Row, error) {
	row, err := t.store.Get(ctx, key)
	if err != nil {
		return pwtable.Row{}, err
	}
	return row, decompress(&row)
}

// List returns up to limit rows whose keys start with prefix and sort after the key
// given as after. Their values are uncompressed.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error) {
	rows, err := t.store.List(ctx, prefix, after, limit)
	if err != nil {
		return nil, err
	}
	for i := range rows {
		if err := decompress(&rows[i]); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// Commit applies either all writes or none of them and returns the version that the
// written rows have in common.
func (t *Table) Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error) {
	writes = slices.Clone(writes)
	for i := range writes {
		w := &writes[i]
		if len(w.Value) <= pwtable.MaxValueBytes {
			continue
		}
		if len(w.Value) > maxUncompressedBytes {
			return 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
				"value of key %q has %d bytes; allowed are at most %d", w.Key, len(w.Value), maxUncompressedBytes)
		}
		compressed, err := compress(w.Value)
		if err != nil {
			return 0, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "value of key %q could not be compressed", w.Key)
		}
		w.Value = compressed
	}
	return t.store.Commit(ctx, writes...)
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

// decompress replaces the row's value by the uncompressed value if it is compressed.
func decompress(row *pwtable.Row) error {
	if !bytes.HasPrefix(row.Value, gzipMagic) {
		return nil
	}
	z, err := gzip.NewReader(bytes.NewReader(row.Value))
	if err == nil {
		var uncompressed []byte
		if uncompressed, err = io.ReadAll(io.LimitReader(z, maxUncompressedBytes+1)); err == nil && len(uncompressed) <= maxUncompressedBytes {
			row.Value = uncompressed
			return nil
		}
	}
	return pwverdict.New(pwverdict.Ran, pwverdict.CauseUnavailable, "value of row %q could not be decompressed: %v", row.Key, err)
}
