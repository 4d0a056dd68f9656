package pwgossip_test

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakepeer"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// inForceBound is the time within which an accepted change must be in force
// everywhere (promise 10 of the design).
const inForceBound = 4 * time.Second

// pushBound is below the shortest time between two digest comparisons (half
// of 500 ms), so what arrives sooner was pushed.
const pushBound = 200 * time.Millisecond

// TestScenarios runs the scripts under testdata/scenarios, each with a new
// fleet and the test clock.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		play(t, path, 0)
	})
}

// TestSizes runs the scripts under testdata/sizes with small and large fleets.
func TestSizes(t *testing.T) {
	for _, n := range []int{10, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			datadriven.Walk(t, "testdata/sizes", func(t *testing.T, path string) {
				play(t, path, n)
			})
		})
	}
}

func play(t *testing.T, path string, nodes int) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			nodes: nodes,
		}
		// A failed directive ends the goroutine; the bubble must still end.
		defer func() { s.fleet.Close() }()
		datadriven.RunTest(t, path, s.run)
		if v := s.fleet.Violations(); len(v) > 0 {
			t.Errorf("changes reverted: %v", v)
		}
	})
}

type script struct {
	// nodes is the size of the fleet when the script does not give it.
	nodes int
	fleet *pwfakepeer.Fleet
	last  pwchange.Change
	// reads and at are the table's counter and the time of the last "reads".
	reads     int64
	at        time.Time
	proposals int
}

func (s *script) run(t *testing.T, td *datadriven.TestData) string {
	n := s.nodes
	var node, seed, sequence int
	var loss float64
	var key, fault, forText, example string
	td.MaybeScanArgs(t, "n", &n)
	td.MaybeScanArgs(t, "node", &node)
	td.MaybeScanArgs(t, "seed", &seed)
	td.MaybeScanArgs(t, "sequence", &sequence)
	if arg, ok := td.Arg("loss"); ok {
		_, _ = fmt.Sscan(arg.Vals[0], &loss)
	}
	td.MaybeScanArgs(t, "key", &key)
	td.MaybeScanArgs(t, "fault", &fault)
	td.MaybeScanArgs(t, "for", &forText)
	td.MaybeScanArgs(t, "example", &example)
	switch td.Cmd {
	case "fleet":
		s.fleet = pwfakepeer.New(pwfakepeer.Options{
			Nodes: n,
			Loss:  loss,
			Seed:  uint64(seed),
		})
		s.fleet.StartAll()
		s.at = time.Now()
	case "run":
		d, err := time.ParseDuration(forText)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(d)
	case "accept":
		c, err := s.fleet.Accept(t.Context(), node, s.proposal(t, key, example, td.Input))
		if err != nil {
			return err.Error()
		}
		s.last = c
		return fmt.Sprintf("sequence %d", c.Sequence)
	case "apply":
		// The accepting process dies before it pushes anything.
		c, err := s.fleet.Log().Apply(t.Context(), s.proposal(t, key, example, td.Input))
		if err != nil {
			return err.Error()
		}
		s.last = c
		return fmt.Sprintf("sequence %d", c.Sequence)
	case "await":
		limit := inForceBound
		if td.HasArg("pushed") {
			limit = pushBound
		}
		if took, ok := s.fleet.AwaitEverywhere(s.last, limit); !ok {
			return fmt.Sprintf("not in force everywhere after %s", took)
		}
		return fmt.Sprintf("in force everywhere within %s", limit)
	case "start":
		s.fleet.Start(node)
	case "stop":
		s.fleet.Stop(node)
	case "restart":
		// Every n-th node dies and starts empty.
		for i := 0; i < s.fleet.Len(); i += n {
			s.fleet.Start(i)
		}
	case "stop_relays":
		// All relays of the first n data centres die; the list keeps them.
		for i := range s.fleet.Len() {
			if nd := s.fleet.Node(i); nd != nil && i%pwfakepeer.DataCentres() < n && nd.Status().Relay {
				s.fleet.Stop(i)
			}
		}
	case "sync_list":
		s.fleet.SyncList()
	case "cut":
		s.fleet.Cut(node, td.HasArg("peers"), td.HasArg("table"))
	case "partition":
		s.fleet.Partition(0, !td.HasArg("end"))
	case "list":
		s.fleet.SetListDown(td.HasArg("down"))
	case "table":
		s.fleet.Table().SetFault(pwfakeplatform.Fault(fault), n)
	case "status":
		return s.status(t, td, node)
	case "older":
		// A peer that holds an older state pushes it to every node.
		for i := range s.fleet.Len() {
			if s.fleet.Node(i) == nil {
				continue
			}
			if _, err := s.fleet.Send(t.Context(), i, &pwrpc.ExchangeRequest{
				Instance: "older",
				Digest:   &pwrpc.Digest{Head: uint64(sequence), ConfirmedUnixMs: math.MaxInt64 / 2},
				Changes:  []*pwrpc.Change{{Sequence: uint64(sequence), Key: key, Value: []byte(td.Input)}},
			}); err != nil {
				return err.Error()
			}
		}
	case "isolated":
		return s.isolated(t, forText)
	case "reads":
		return s.readRate(t, td)
	default:
		td.Fatalf(t, "unknown command")
	}
	return ""
}

func (s *script) proposal(t *testing.T, key, example, input string) pwchange.Proposal {
	s.proposals++
	p := pwchange.Proposal{
		Key:        key,
		Value:      json.RawMessage(input),
		Author:     pwchange.Author{Name: "aiko", Team: "lantern-models"},
		ProposalID: fmt.Sprint(s.proposals),
	}
	if example != "" {
		p.Value = readExample(t, example)
	}
	if c, err := s.fleet.Log().NewestChange(t.Context(), key); err == nil {
		p.ExpectedSequence = c.Sequence
	}
	return p
}

func readExample(t *testing.T, name string) []byte {
	data, err := os.ReadFile("../../../examples/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// isolated returns the largest number of isolated nodes seen at any time of a
// period, which may be empty.
func (s *script) isolated(t *testing.T, period string) string {
	d, err := time.ParseDuration(period)
	if err != nil && period != "" {
		t.Fatal(err)
	}
	largest := 0
	for end := time.Now().Add(d); ; time.Sleep(50 * time.Millisecond) {
		count := 0
		for i := range s.fleet.Len() {
			if nd := s.fleet.Node(i); nd != nil && nd.Isolated() {
				count++
			}
		}
		largest = max(largest, count)
		if !time.Now().Before(end) {
			return fmt.Sprintf("%d isolated", largest)
		}
	}
}

// status shows the age only when it is outside the expected range, because
// the exact value depends on random choices.
func (s *script) status(t *testing.T, td *datadriven.TestData, i int) string {
	st := s.fleet.Node(i).Status()
	out := fmt.Sprintf("head %d, keys %d, isolated %v, age ", st.Head, st.Keys, st.Isolated)
	age, ok := st.Age(time.Now())
	if !ok {
		return out + "unknown"
	}
	minimum, maximum := "0s", "1h"
	td.MaybeScanArgs(t, "min_age", &minimum)
	td.MaybeScanArgs(t, "max_age", &maximum)
	low, _ := time.ParseDuration(minimum)
	high, _ := time.ParseDuration(maximum)
	if age < low || age > high {
		return out + age.String()
	}
	return out + fmt.Sprintf("%s to %s", minimum, maximum)
}

// readRate compares the table's reads a second since the last call, or since
// the start, with the stated bound.
func (s *script) readRate(t *testing.T, td *datadriven.TestData) string {
	var limit int
	td.ScanArgs(t, "max", &limit)
	reads, _ := s.fleet.Table().Counts()
	rate := float64(reads-s.reads) / time.Since(s.at).Seconds()
	s.reads, s.at = reads, time.Now()
	if rate > float64(limit) {
		return fmt.Sprintf("%.1f reads a second", rate)
	}
	return fmt.Sprintf("at most %d reads a second", limit)
}

// TestPropagationTable measures how changes spread, on the test clock and
// with fixed seeds. It fails when a change is not in force everywhere in
// time, reverts, or costs a process more than the budget of 16 KB/s.
func TestPropagationTable(t *testing.T) {
	const bytesBudget = 16_000
	sizes := []int{10, 100, 300}
	losses := []float64{0, 0.05}
	lines := make([]string, len(sizes)*len(losses))
	t.Run("fleets", func(t *testing.T) {
		for i := range lines {
			n, loss := sizes[i/len(losses)], losses[i%len(losses)]
			t.Run(fmt.Sprintf("%d/%.2f", n, loss), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					m := measure(t, n, loss)
					lines[i] = m.String()
					if m.missed > 0 || slices.Max(m.took) > inForceBound || m.maxBytes > bytesBudget {
						t.Error(lines[i])
					}
				})
			})
		}
	})
	t.Logf("seconds from acceptance to in force everywhere, table reads a second, bytes a second of each process (sent and received)\n"+
		"%9s %5s %7s %8s %8s %7s %8s %8s %8s\n%s",
		"processes", "loss", "changes", "median", "largest", "reads", "mean", "largest", "idle", strings.Join(lines, "\n"))
}

type measurement struct {
	nodes     int
	loss      float64
	took      []time.Duration
	missed    int
	reads     float64
	meanBytes float64
	maxBytes  float64
	idleBytes float64
}

func (m measurement) String() string {
	slices.Sort(m.took)
	return fmt.Sprintf("%9d %5.2f %7d %8.3f %8.3f %7.1f %8.0f %8.0f %8.0f", m.nodes, m.loss, len(m.took),
		m.took[len(m.took)/2].Seconds(), m.took[len(m.took)-1].Seconds(), m.reads, m.meanBytes, m.maxBytes, m.idleBytes)
}

// measure accepts 8 documents and 8 marks, one every 1.5 to 2.25 s. That is
// seven times the rate of the large size (6,400 a day).
func measure(t *testing.T, nodes int, loss float64) measurement {
	const changes = 16
	fleet := pwfakepeer.New(pwfakepeer.Options{
		Nodes: nodes,
		Loss:  loss,
		Seed:  uint64(nodes),
	})
	defer fleet.Close()
	fleet.StartAll()
	time.Sleep(5 * time.Second)
	document := readExample(t, "collective/lantern")
	m := measurement{
		nodes: nodes,
		loss:  loss,
	}
	before, start := stats(fleet), time.Now()
	readsBefore := tableReads(fleet)
	time.Sleep(10 * time.Second)
	m.idleBytes = bytesOf(before, stats(fleet), time.Since(start))[0]
	for i := range changes {
		p := pwchange.Proposal{
			Key:        "service/lantern",
			Value:      append(slices.Clone(document), strings.Repeat(" ", i)...),
			Author:     pwchange.Author{Name: "aiko", Team: "lantern-models"},
			ProposalID: fmt.Sprint(i),
		}
		if i%2 == 1 {
			p.Key = pwchange.MarkKey(pwchange.TargetBackendServer, fmt.Sprintf("bs-%d", i))
			p.Value = json.RawMessage(`{"out":true}`)
		}
		if c, err := fleet.Log().NewestChange(t.Context(), p.Key); err == nil {
			p.ExpectedSequence = c.Sequence
		}
		c, err := fleet.Accept(t.Context(), i*7%nodes, p)
		if err != nil {
			t.Fatal(err)
		}
		took, ok := fleet.AwaitEverywhere(c, inForceBound)
		if !ok {
			m.missed++
		}
		m.took = append(m.took, took)
		time.Sleep(time.Duration(1500+i*50)*time.Millisecond - took)
	}
	elapsed := time.Since(start)
	rates := bytesOf(before, stats(fleet), elapsed)
	m.meanBytes, m.maxBytes = rates[0], rates[1]
	m.reads = float64(tableReads(fleet)-readsBefore) / elapsed.Seconds()
	if v := fleet.Violations(); len(v) > 0 {
		t.Errorf("changes reverted: %v", v)
	}
	return m
}

func stats(f *pwfakepeer.Fleet) []pwgossip.Stats {
	var out []pwgossip.Stats
	for i := range f.Len() {
		out = append(out, f.Node(i).Stats())
	}
	return out
}

// tableReads counts the reads of the nodes, without those of proposals.
func tableReads(f *pwfakepeer.Fleet) int64 {
	var sum int64
	for _, s := range stats(f) {
		sum += s.TableReads
	}
	return sum
}

// bytesOf returns the mean and the largest number of bytes a second.
func bytesOf(before, after []pwgossip.Stats, d time.Duration) (rates [2]float64) {
	for i := range after {
		b := after[i].SentBytes + after[i].ReceivedBytes - before[i].SentBytes - before[i].ReceivedBytes
		rate := float64(b) / d.Seconds()
		rates[0] += rate / float64(len(after))
		rates[1] = max(rates[1], rate)
	}
	return rates
}

// crashStub records crash counts in place of the quarantine.
type crashStub struct {
	merged []*pwrpc.CrashCount
}

func (c *crashStub) Collect(limit int) []*pwrpc.CrashCount {
	return make([]*pwrpc.CrashCount, limit)
}

func (c *crashStub) Merge(counts []*pwrpc.CrashCount) { c.merged = append(c.merged, counts...) }

func (c *crashStub) Instances(context.Context) ([]pwinstance.Instance, error) { return nil, nil }

func (c *crashStub) Peer(pwinstance.Instance) pwgossip.Peer { return nil }

// TestMessageBounds guards against a message that is taken over in part or
// beyond a bound, and against crash counts that are not carried along.
func TestMessageBounds(t *testing.T) {
	stub := &crashStub{}
	node, err := pwgossip.New(pwgossip.Options{
		Self:      pwinstance.Instance{ID: "a"},
		Log:       pwchange.NewLog(pwfakeplatform.NewTable()),
		Instances: stub,
		Dialer:    stub,
		Crashes:   stub,
	})
	if err != nil {
		t.Fatal(err)
	}
	var bomb bytes.Buffer
	bomb.WriteByte(1)
	w, _ := flate.NewWriter(&bomb, flate.BestSpeed)
	_, _ = w.Write(make([]byte, 2<<20))
	_ = w.Close()
	good := &pwrpc.Change{Sequence: 1, Key: "mark/data_centre/a", Value: []byte(`{"out":true}`)}
	for name, req := range map[string]*pwrpc.ExchangeRequest{
		"instance":   {},
		"counts":     {Crashes: make([]*pwrpc.CrashCount, pwgossip.MaxCrashCounts+1)},
		"attempts":   {Crashes: []*pwrpc.CrashCount{{Crashes: make([]*pwrpc.Crash, pwgossip.MaxCrashAttempts+1)}}},
		"identifier": {Crashes: []*pwrpc.CrashCount{{Crashes: []*pwrpc.Crash{{Attempt: strings.Repeat("x", 1000)}}}}},
		"besides":    {Crashes: []*pwrpc.CrashCount{{Crashes: []*pwrpc.Crash{{Besides: make([]uint64, pwgossip.MaxCrashBesides+1)}}}}},
		"key":        {Changes: []*pwrpc.Change{good, {Sequence: 2, Key: "other/b"}}},
		"sequence":   {Changes: []*pwrpc.Change{good, {Key: good.GetKey()}}},
		"inflated":   {Changes: []*pwrpc.Change{good, {Sequence: 2, Key: "service/b", Value: bomb.Bytes()}}},
		"mark":       {Changes: []*pwrpc.Change{good, {Sequence: 2, Key: good.GetKey(), Value: make([]byte, pwchange.MaxMarkBytes+1)}}},
		"held":       {Held: map[string]uint64{"?": 1}},
		"total":      {Changes: []*pwrpc.Change{{Sequence: 2, Key: "service/b", Value: make([]byte, pwgossip.MaxMessageBytes)}}},
	} {
		if name != "instance" {
			req.Instance = "b"
		}
		if _, err := node.HandleExchange(t.Context(), req); pwverdict.CauseOf(err) != pwverdict.CauseBadRequest {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if len(stub.merged) > 0 || node.Head() > 0 {
		t.Errorf("a refused message was merged: %v, head %d", stub.merged, node.Head())
	}
	resp, err := node.HandleExchange(t.Context(), &pwrpc.ExchangeRequest{
		Instance: "b",
		Changes:  []*pwrpc.Change{good},
		Crashes:  []*pwrpc.CrashCount{{Fingerprint: 7, Crashes: []*pwrpc.Crash{{Attempt: "att-1"}}}},
	})
	if err != nil || len(stub.merged) != 1 || len(resp.GetCrashes()) != pwgossip.MaxCrashCounts || node.Head() != 1 {
		t.Errorf("merged %v, head %d, answer %v, error %v", stub.merged, node.Head(), resp, err)
	}
}

// FuzzExchange guards against a message of a faulty peer that crashes a node,
// makes it hold a malformed change or gets an unbounded answer.
func FuzzExchange(f *testing.F) {
	for _, req := range []*pwrpc.ExchangeRequest{
		{Instance: "a", Digest: &pwrpc.Digest{Head: 3, Hash: 4}},
		{Instance: "a", Changes: []*pwrpc.Change{{Sequence: 9, Key: "mark/data_centre/x", Value: []byte(`{"out":true}`)}}},
		{Instance: "a", Changes: []*pwrpc.Change{{Sequence: 9, Key: "service/x", Value: []byte{1, 2, 3}}}},
		{Instance: "a", Held: map[string]uint64{"": math.MaxUint64, "1z": 5}},
		{Instance: "a", Crashes: []*pwrpc.CrashCount{{Fingerprint: 1, Crashes: []*pwrpc.Crash{{Attempt: "x"}}}}},
	} {
		data, _ := proto.Marshal(req)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		req := &pwrpc.ExchangeRequest{}
		if proto.Unmarshal(data, req) != nil {
			return
		}
		fleet := pwfakepeer.New(pwfakepeer.Options{Nodes: 1})
		defer fleet.Close()
		fleet.Start(0)
		resp, err := fleet.Send(t.Context(), 0, req)
		if err != nil {
			return
		}
		if proto.Size(resp) > pwgossip.MaxMessageBytes {
			t.Fatalf("answer of %d bytes", proto.Size(resp))
		}
		for _, k := range fleet.Node(0).Keys("") {
			c, _ := fleet.Node(0).Get(k)
			if !pwchange.ValidKey(k) || c.Sequence == 0 || len(c.Value) > pwchange.MaxValueBytes(k) {
				t.Fatalf("holds %+v", c)
			}
		}
	})
}
