package pwchange_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
)

// TestScenarios runs the scripts in testdata/scenarios. Each script starts with an
// empty table and runs on the fake clock of synctest.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			table := pwfakeplatform.NewTable()
			s := &script{
				table: table,
				log:   pwchange.NewLog(table),
			}
			datadriven.RunTest(t, path, s.run)
		})
	})
}

type script struct {
	table *pwfakeplatform.Table
	log   *pwchange.Log
}

func (s *script) run(t *testing.T, td *datadriven.TestData) string {
	ctx := t.Context()
	var key, author, team, id, fault, example, target, name, age string
	var expect uint64
	n := 1
	td.MaybeScanArgs(t, "key", &key)
	td.MaybeScanArgs(t, "author", &author)
	td.MaybeScanArgs(t, "team", &team)
	td.MaybeScanArgs(t, "id", &id)
	td.MaybeScanArgs(t, "expect", &expect)
	td.MaybeScanArgs(t, "fault", &fault)
	td.MaybeScanArgs(t, "example", &example)
	td.MaybeScanArgs(t, "target", &target)
	td.MaybeScanArgs(t, "name", &name)
	td.MaybeScanArgs(t, "n", &n)
	td.MaybeScanArgs(t, "age", &age)
	proposer := pwchange.Author{
		Name: author,
		Team: team,
	}
	switch td.Cmd {
	case "fault":
		s.table.SetFault(pwfakeplatform.Fault(fault), n)
		return ""
	case "apply", "race":
		p := pwchange.Proposal{
			Key:              key,
			Value:            mergeExample(t, example, td.Input),
			ExpectedSequence: expect,
			Author:           proposer,
			ProposalID:       id,
			IsRetry:          td.HasArg("repeat"),
		}
		if td.Cmd == "race" {
			return s.race(ctx, p, n)
		}
		c, err := s.log.Apply(ctx, p)
		return format(c, err)
	case "mark":
		c, err := s.log.SetMark(ctx, pwchange.TargetKind(target), name, pwchange.Mark{
			OutOfService: td.HasArg("out"),
			Author:       proposer,
			// The time is fixed, because it would depend on the random retry delay.
			MarkedUnixMS: 1000,
		}, id)
		return format(c, err)
	case "history":
		list, err := s.log.History(ctx, key, n)
		var lines []string
		for _, c := range list {
			lines = append(lines, format(c, nil))
		}
		return strings.Join(lines, "\n") + format(pwchange.Change{}, err)
	case "trim":
		d, _ := time.ParseDuration(age)
		_, err := s.log.Trim(ctx, 0, d)
		list, _ := s.log.ChangesSince(ctx, 0)
		var left []string
		for _, c := range list {
			left = append(left, fmt.Sprint(c.Sequence))
		}
		return "left " + strings.Join(left, " ") + format(pwchange.Change{}, err)
	case "wait":
		time.Sleep(time.Minute)
		return ""
	default:
		td.Fatalf(t, "unknown command")
		return ""
	}
}

// race applies n proposals that expect the same sequence number concurrently, and
// returns how many of them had each outcome.
func (s *script) race(ctx context.Context, p pwchange.Proposal, n int) string {
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	s.table.SetLatency(time.Millisecond)
	for i := range n {
		p := p
		p.ProposalID = fmt.Sprintf("%s-%d", p.ProposalID, i)
		wg.Go(func() {
			c, err := s.log.Apply(ctx, p)
			var conflict *pwchange.ConflictError
			text := format(c, err)
			if errors.As(err, &conflict) {
				text = "conflict"
			}
			mu.Lock()
			defer mu.Unlock()
			counts[text]++
		})
	}
	wg.Wait()
	return fmt.Sprint(counts)
}

// mergeExample returns the named example document with the fields of input
// replaced. Without an example it returns input.
func mergeExample(t *testing.T, example, input string) json.RawMessage {
	if example == "" {
		return json.RawMessage(input)
	}
	data, err := os.ReadFile("../../../examples/" + example + ".json")
	if err != nil {
		t.Fatal(err)
	}
	tree := map[string]any{}
	if err := errors.Join(json.Unmarshal(data, &tree), json.Unmarshal([]byte(input), &tree)); err != nil {
		t.Fatal(err)
	}
	out, _ := json.Marshal(tree)
	return out
}

// format returns a change or an error in the form that the scripts expect.
func format(c pwchange.Change, err error) string {
	var conflict *pwchange.ConflictError
	switch {
	case errors.As(err, &conflict):
		return fmt.Sprintf("%s %s; current: %s", pwverdict.CauseOf(err), pwverdict.VerdictOf(err), format(conflict.NewestChange, nil))
	case err != nil:
		return err.Error()
	case c.Sequence == 0:
		return ""
	}
	value := string(c.Value)
	if len(value) > 120 {
		value = fmt.Sprintf("(%d bytes)", len(value))
	}
	// The proposal that wins a race is random, so its number is left out.
	id, _, _ := strings.Cut(c.ProposalID, "-")
	return fmt.Sprintf("%d after %d by %s/%s %s: %s", c.Sequence, c.PreviousSequence, c.Author.Team, c.Author.Name, id, value)
}

// referenceReplica is the model that replicas are compared with. It maps each key to
// its newest change and has no limits or indexes.
type referenceReplica map[string]pwchange.Change

func (n referenceReplica) merge(changes []pwchange.Change) {
	for _, c := range changes {
		if c.Sequence > n[c.Key].Sequence {
			n[c.Key] = c
		}
	}
}

// TestReplicaDifferential guards against a merge, digest or delta that differs
// from the reference replica. Two replicas receive changes in any order, with losses and
// duplicates; after an exchange of deltas their contents must be equal.
func TestReplicaDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pwchange.Change {
			return pwchange.Change{
				Key:   rapid.SampledFrom([]string{"service/a", "service/b", "mark/data_centre/x", "mark/backend_server/y", "mark/backend_server/z"}).Draw(t, "key"),
				Value: json.RawMessage(rapid.SampledFrom([]string{"", `{}`, `{"out":true}`}).Draw(t, "value")),
			}
		}), 1, 40).Draw(t, "changes")
		for i := range all {
			all[i].Sequence = uint64(i + 1)
		}
		completeModel := referenceReplica{}
		completeModel.merge(all)
		replicas := [2]*pwchange.Replica{pwchange.NewReplica(), pwchange.NewReplica()}
		for i, r := range replicas {
			model := referenceReplica{}
			for range 3 {
				batch := rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, fmt.Sprintf("batch %d", i))
				changed := r.Merge(batch)
				before := len(model)
				model.merge(batch)
				if len(changed) < len(model)-before {
					t.Fatalf("Merge returned the changed keys %v; the model grew by %d keys", changed, len(model)-before)
				}
				checkReplica(t, r, model)
			}
		}
		a, b := replicas[0], replicas[1]
		window := rapid.IntRange(1, 6).Draw(t, "window")
		a.Merge(all)
		for _, n := range []int{window, pwchange.MaxKeys} {
			missing, wanted := a.Delta(b.NewestSequences(n), 1<<20)
			if len(wanted) > 0 {
				t.Fatalf("complete replica requests the key hashes %v", wanted)
			}
			b.Merge(missing)
		}
		checkReplica(t, b, completeModel)
		if !a.Digest().SameContents(b.Digest()) {
			t.Fatal("digests differ after a full delta")
		}
		other := b.Digest()
		other.Hash++
		now := time.Now()
		if a.Confirm(other, now, "x") || !a.Confirm(b.Digest(), now, "x") || a.Confirm(b.Digest(), now.Add(-1), "x") {
			t.Fatal("Confirm must accept only the same contents and a later time")
		}
		hashes := map[uint64]uint64{}
		for h := range a.NewestSequences(pwchange.MaxKeys).Sequences {
			hashes[h] = 1 << 40
		}
		if _, wanted := b.Delta(pwchange.SequenceList{Sequences: hashes}, 1<<20); len(wanted) != len(hashes) {
			t.Fatalf("Delta requests %d of %d newer changes", len(wanted), len(hashes))
		}
	})
}

// checkReplica fails the test unless the replica has the same contents as the model.
func checkReplica(t *rapid.T, r *pwchange.Replica, model referenceReplica) {
	if r.Len() != len(model) {
		t.Fatalf("replica has %d keys; the model has %d", r.Len(), len(model))
	}
	bytes := 0
	for k, want := range model {
		if got, _ := r.Get(k); got.Sequence != want.Sequence || string(got.Value) != string(want.Value) {
			t.Fatalf("replica has %s = %+v; the model has %+v", k, got, want)
		}
		bytes += len(want.Value)
	}
	if r.ValueBytes() != bytes {
		t.Fatalf("replica counts %d value bytes; the model has %d", r.ValueBytes(), bytes)
	}
}

// TestHeadHashMatchesReplica guards against a head row whose hash differs from that
// of a complete replica. Relays would then read the log again and again, because
// no replica would ever match the head.
func TestHeadHashMatchesReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := pwchange.NewLog(pwfakeplatform.NewTable())
		r := pwchange.NewReplica()
		for i := range 30 {
			c, err := log.SetMark(t.Context(), pwchange.TargetBackendServer, fmt.Sprintf("bs-%d", i%7), pwchange.Mark{
				OutOfService: i%2 == 0,
				Author:       pwchange.Author{Name: "a", Team: "b"},
			}, fmt.Sprint(i))
			if err != nil {
				t.Fatal(err)
			}
			r.Merge([]pwchange.Change{c})
			head, err := log.Head(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if !head.Digest().SameContents(r.Digest()) || head.KeyCount != r.Len() || head.ValueBytes != r.ValueBytes() {
				t.Fatalf("head row is %+v; the replica's digest is %+v", head, r.Digest())
			}
		}
	})
}
