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

// document returns a value that is larger than a row.
func document(size int) []byte {
	var out bytes.Buffer
	for i := 0; out.Len() < size; i++ {
		fmt.Fprintf(&out, `{"workspace":"ward-%d","weight":1,"max_queued":200},`, i)
	}
	return out.Bytes()
}

func TestLargeValues(t *testing.T) {
	rows := pwfakeplatform.NewTable()
	table := pwvalue.New(rows)
	small, large := []byte(`{"a":1}`), document(300_000)
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
		t.Errorf("the row holds %d bytes, %v", len(row.Value), err)
	}
	if row, err := table.Get(t.Context(), "service/large"); err != nil || !bytes.Equal(row.Value, large) {
		t.Errorf("%d bytes came back, %v", len(row.Value), err)
	}
	list, err := table.List(t.Context(), "service/", "", 10)
	if err != nil || len(list) != 2 || !bytes.Equal(list[0].Value, large) || !bytes.Equal(list[1].Value, small) {
		t.Errorf("%d rows, %v", len(list), err)
	}
}

// What fits into no row is refused and has no effect.
func TestTooLargeValues(t *testing.T) {
	rows := pwfakeplatform.NewTable()
	table := pwvalue.New(rows)
	random := make([]byte, 200_000)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range random {
		random[i] = byte(r.Uint32())
	}
	for name, value := range map[string][]byte{
		"random": random,
		"huge":   document(2_000_000),
	} {
		_, err := table.Commit(t.Context(), pwtable.Write{
			Key:   name,
			Value: value,
		})
		if pwverdict.VerdictOf(err) != pwverdict.NotRun || pwverdict.CauseOf(err) != pwverdict.CauseBadRequest {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A row of any bytes is either the value that was written or an error.
func FuzzGet(f *testing.F) {
	f.Add([]byte(`{"a":1}`))
	f.Add([]byte{0x1f, 0x8b, 8, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		rows := pwfakeplatform.NewTable()
		if _, err := rows.Commit(t.Context(), pwtable.Write{
			Key:   "a",
			Value: raw,
		}); err != nil {
			t.Skip("not a row")
		}
		row, err := pwvalue.New(rows).Get(t.Context(), "a")
		if err == nil && !bytes.HasPrefix(raw, []byte{0x1f, 0x8b}) && !bytes.Equal(row.Value, raw) {
			t.Errorf("%q came back as %q", raw, row.Value)
		}
	})
}

func TestBrokenValueIsAnError(t *testing.T) {
	rows := pwfakeplatform.NewTable()
	if _, err := rows.Commit(t.Context(), pwtable.Write{
		Key:   "a",
		Value: []byte{0x1f, 0x8b, 1, 2, 3},
	}); err != nil {
		t.Fatal(err)
	}
	if _, err := pwvalue.New(rows).Get(t.Context(), "a"); err == nil {
		t.Error("a broken value is taken for a good one")
	}
}
