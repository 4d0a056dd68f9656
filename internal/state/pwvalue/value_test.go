package pwvalue_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
	"github.com/pomeloweir/pomeloweir/internal/state/pwvalue"
)

// largeDocument returns a compressible value of at least size bytes.
func largeDocument(size int) []byte {
	var out bytes.Buffer
	for i := 0; out.Len() < size; i++ {
		fmt.Fprintf(&out, `{"workspace":"ward-%d","weight":1,"max_queued":200},`, i)
	}
	return out.Bytes()
}

// TestLargeValuesAreCompressed guards against a value that is larger than a row and is
// stored uncompressed, or is not returned as it was written.
func TestLargeValuesAreCompressed(t *testing.T) {
	rows := pwfakeplatform.NewTable()
	table := pwvalue.New(rows)
	small, large := []byte(`{"a":1}`), largeDocument(300_000)
	for key, value := range map[string][]byte{
		"service/small": small,
		"service/large": large,
	} {
		if _, err := table.Commit(t.Context(), pwtable.Write{
			Key:   key,
			Value: value,
		}); err != nil {
			t.Fatal(err)
		}
	}
	if row, err := rows.Get(t.Context(), "service/large"); err != nil || len(row.Value) > pwtable.MaxValueBytes {
		t.Errorf("stored value has %d bytes, error %v; want at most pwtable.MaxValueBytes", len(row.Value), err)
	}
	if row, err := table.Get(t.Context(), "service/large"); err != nil || !bytes.Equal(row.Value, large) {
		t.Errorf("Get returned %d bytes, error %v; want the large value", len(row.Value), err)
	}
	list, err := table.List(t.Context(), "service/", "", 10)
	if err != nil || len(list) != 2 || !bytes.Equal(list[0].Value, large) || !bytes.Equal(list[1].Value, small) {
		t.Errorf("List returned %d rows, error %v; want the large and the small value", len(list), err)
	}
}

// TestTooLargeValuesAreRejected guards against a commit of a value that is larger than
// a row even when compressed, or larger than an uncompressed value may be.
func TestTooLargeValuesAreRejected(t *testing.T) {
	rows := pwfakeplatform.NewTable()
	table := pwvalue.New(rows)
	random := make([]byte, 200_000)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range random {
		random[i] = byte(r.Uint32())
	}
	for name, value := range map[string][]byte{
		"random": random,
		"huge":   largeDocument(2_000_000),
	} {
		_, err := table.Commit(t.Context(), pwtable.Write{
			Key:   name,
			Value: value,
		})
		if pwverdict.VerdictOf(err) != pwverdict.NotRun || pwverdict.CauseOf(err) != pwverdict.CauseBadRequest {
			t.Errorf("%s: error is %v; want CauseBadRequest with NotRun", name, err)
		}
	}
}

// FuzzGet guards against a Get that panics on some stored bytes, or that changes a value
// that does not start like gzip data.
func FuzzGet(f *testing.F) {
	f.Add([]byte(`{"a":1}`))
	f.Add([]byte{0x1f, 0x8b, 8, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		rows := pwfakeplatform.NewTable()
		if _, err := rows.Commit(t.Context(), pwtable.Write{
			Key:   "a",
			Value: raw,
		}); err != nil {
			t.Skip("the table does not accept the value")
		}
		row, err := pwvalue.New(rows).Get(t.Context(), "a")
		if err == nil && !bytes.HasPrefix(raw, []byte{0x1f, 0x8b}) && !bytes.Equal(row.Value, raw) {
			t.Errorf("stored %q; Get returned %q", raw, row.Value)
		}
	})
}

// TestCorruptValueIsAnError guards against a Get that returns corrupt gzip data as a
// value.
func TestCorruptValueIsAnError(t *testing.T) {
	rows := pwfakeplatform.NewTable()
	if _, err := rows.Commit(t.Context(), pwtable.Write{
		Key:   "a",
		Value: []byte{0x1f, 0x8b, 1, 2, 3},
	}); err != nil {
		t.Fatal(err)
	}
	if _, err := pwvalue.New(rows).Get(t.Context(), "a"); err == nil {
		t.Error("Get returned a corrupt compressed value without an error")
	}
}
