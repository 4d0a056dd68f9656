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

// TestScenarios runs the scripts under testdata, each with an empty table and
// the test clock.
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
	by := pwchange.Author{
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
			Value:            merged(t, example, td.Input),
			ExpectedSequence: expect,
			Author:           by,
			ProposalID:       id,
			IsRetry:          td.HasArg("repeat"),
		}
		if td.Cmd == "race" {
			return s.race(ctx, p, n)
		}
		c, err := s.log.Apply(ctx, p)
		return show(c, err)
	case "mark":
		c, err := s.log.SetMark(ctx, pwchange.TargetKind(target), name, pwchange.Mark{
			OutOfService: td.HasArg("out"),
			Author:       by,
			// Fixed, because the backoff after a lost race is random.
			MarkedUnixMS: 1000,
		}, id)
		return show(c, err)
	case "history":
		list, err := s.log.History(ctx, key, n)
		var lines []string
		for _, c := range list {
			lines = append(lines, show(c, nil))
		}
		return strings.Join(lines, "\n") + show(pwchange.Change{}, err)
	case "trim":
		d, _ := time.ParseDuration(age)
		_, err := s.log.Trim(ctx, 0, d)
		list, _ := s.log.ChangesSince(ctx, 0)
		var left []string
		for _, c := range list {
			left = append(left, fmt.Sprint(c.Sequence))
		}
		return "left " + strings.Join(left, " ") + show(pwchange.Change{}, err)
	case "wait":
		time.Sleep(time.Minute)
		return ""
	default:
		td.Fatalf(t, "unknown command")
		return ""
	}
}

// race applies n proposals with the same expectation at the same time.
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
			text := show(c, err)
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

func merged(t *testing.T, example, input string) json.RawMessage {
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

func show(c pwchange.Change, err error) string {
	var conflict *pwchange.ConflictError
	switch {
	case errors.As(err, &conflict):
		return fmt.Sprintf("%s %s; current: %s", pwverdict.CauseOf(err), pwverdict.VerdictOf(err), show(conflict.NewestChange, nil))
	case err != nil:
		return err.Error()
	case c.Sequence == 0:
		return ""
	}
	value := string(c.Value)
	if len(value) > 120 {
		value = fmt.Sprintf("(%d bytes)", len(value))
	}
	// Which proposal of a race wins is random, so its number is not shown.
	id, _, _ := strings.Cut(c.ProposalID, "-")
	return fmt.Sprintf("%d after %d by %s/%s %s: %s", c.Sequence, c.PreviousSequence, c.Author.Team, c.Author.Name, id, value)
}

// naive is the obvious model of a replica: every change ever seen.
type naive map[string]pwchange.Change

func (n naive) merge(changes []pwchange.Change) {
	for _, c := range changes {
		if c.Sequence > n[c.Key].Sequence {
			n[c.Key] = c
		}
	}
}

// TestReplicaDifferential guards against a merge, digest or delta that
// differs from the naive model: two replicas that got changes in any order,
// with losses and repetitions, must agree after they exchange deltas.
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
		whole := naive{}
		whole.merge(all)
		replicas := [2]*pwchange.Replica{pwchange.NewReplica(), pwchange.NewReplica()}
		for i, r := range replicas {
			model := naive{}
			for range 3 {
				batch := rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, fmt.Sprintf("batch %d", i))
				changed := r.Merge(batch)
				before := len(model)
				model.merge(batch)
				if len(changed) < len(model)-before {
					t.Fatalf("merge reports %v, the model grew by %d", changed, len(model)-before)
				}
				check(t, r, model)
			}
		}
		a, b := replicas[0], replicas[1]
		window := rapid.IntRange(1, 6).Draw(t, "window")
		a.Merge(all)
		for _, n := range []int{window, pwchange.MaxKeys} {
			missing, wanted := a.Delta(b.NewestSequences(n), 1<<20)
			if len(wanted) > 0 {
				t.Fatalf("complete replica wants %v", wanted)
			}
			b.Merge(missing)
		}
		check(t, b, whole)
		if !a.Digest().SameContents(b.Digest()) {
			t.Fatal("digests differ after a full delta")
		}
		other := b.Digest()
		other.Hash++
		now := time.Now()
		if a.Confirm(other, now, "x") || !a.Confirm(b.Digest(), now, "x") || a.Confirm(b.Digest(), now.Add(-1), "x") {
			t.Fatal("a confirmation counts only for the same contents and when it is later")
		}
		hashes := map[uint64]uint64{}
		for h := range a.NewestSequences(pwchange.MaxKeys).Sequences {
			hashes[h] = 1 << 40
		}
		if _, wanted := b.Delta(pwchange.SequenceList{Sequences: hashes}, 1<<20); len(wanted) != len(hashes) {
			t.Fatalf("wants %d of %d newer changes", len(wanted), len(hashes))
		}
	})
}

func check(t *rapid.T, r *pwchange.Replica, model naive) {
	if r.Len() != len(model) {
		t.Fatalf("replica has %d keys, the model %d", r.Len(), len(model))
	}
	bytes := 0
	for k, want := range model {
		if got, _ := r.Get(k); got.Sequence != want.Sequence || string(got.Value) != string(want.Value) {
			t.Fatalf("%s is %+v, the model has %+v", k, got, want)
		}
		bytes += len(want.Value)
	}
	if r.ValueBytes() != bytes {
		t.Fatalf("replica counts %d bytes, the model %d", r.ValueBytes(), bytes)
	}
}

// TestHeadHashMatchesReplica guards against a head row whose hash differs
// from that of a complete replica; relays would then read the log forever.
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
				t.Fatalf("head row %+v, replica %+v", head, r.Digest())
			}
		}
	})
}
