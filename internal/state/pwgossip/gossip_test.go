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

// inForceBound is the time within which an accepted change must be in force in
// every process (promise 10 of the design).
const inForceBound = 4 * time.Second

// pushBound is shorter than the shortest time between two digest comparisons (half
// of 500 ms), so a change that arrives within it was pushed.
const pushBound = 200 * time.Millisecond

// TestScenarios runs the scripts under testdata/scenarios, each with a new fleet and
// a fake clock.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		runScenario(t, path, 0)
	})
}

// TestSizes runs the scripts under testdata/sizes with small and large fleets.
func TestSizes(t *testing.T) {
	for _, n := range []int{10, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			datadriven.Walk(t, "testdata/sizes", func(t *testing.T, path string) {
				runScenario(t, path, n)
			})
		})
	}
}

// runScenario runs one script and checks that no change reverted. nodes is the size of
// fleets whose script does not specify it.
func runScenario(t *testing.T, path string, nodes int) {
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{
			nodes: nodes,
		}
		// A failed directive ends the goroutine, but the nodes must stop before the
		// synctest bubble can end.
		defer func() { s.fleet.Close() }()
		datadriven.RunTest(t, path, s.run)
		if v := s.fleet.Violations(); len(v) > 0 {
			t.Errorf("changes reverted: %v", v)
		}
	})
}

// scenario is the state of a running script.
type scenario struct {
	// nodes is the size of a fleet for which the script specifies none.
	nodes      int
	fleet      *pwfakepeer.Fleet
	lastChange pwchange.Change
	tableCopy  pwfakeplatform.TableCopy
	// lastReads and lastReadsAt are the table's read counter and the time at the
	// last directive "reads".
	lastReads   int64
	lastReadsAt time.Time
	proposals   int
}

// run executes one directive and returns its output.
func (s *scenario) run(t *testing.T, td *datadriven.TestData) string {
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
			Nodes:    n,
			LossRate: loss,
			Seed:     uint64(seed),
		})
		s.fleet.StartAll()
		s.lastReadsAt = time.Now()
	case "run":
		d, err := time.ParseDuration(forText)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(d)
	case "accept":
		if td.HasArg("at_once") {
			// No relay can read the table before the change is accepted: all timers that are
			// due have fired, and without latency the acceptance takes no time.
			synctest.Wait()
			latency := s.fleet.Table().SetLatency(0)
			defer s.fleet.Table().SetLatency(latency)
		}
		c, err := s.fleet.ApplyProposal(t.Context(), node, s.proposal(t, key, example, td.Input))
		if err != nil {
			return err.Error()
		}
		s.lastChange = c
		return fmt.Sprintf("sequence %d", c.Sequence)
	case "apply":
		// The accepting process dies before it pushes the change.
		c, err := s.fleet.Log().Apply(t.Context(), s.proposal(t, key, example, td.Input))
		if err != nil {
			return err.Error()
		}
		s.lastChange = c
		return fmt.Sprintf("sequence %d", c.Sequence)
	case "await":
		limit := inForceBound
		if td.HasArg("pushed") {
			limit = pushBound
		}
		if took, ok := s.fleet.AwaitPropagation(s.lastChange, limit); !ok {
			return fmt.Sprintf("not in force everywhere after %s", took)
		}
		return fmt.Sprintf("in force everywhere within %s", limit)
	case "start":
		s.fleet.Start(node)
	case "stop":
		s.fleet.Stop(node)
	case "restart":
		// Every n-th node dies and starts again without state.
		for i := 0; i < s.fleet.Len(); i += n {
			s.fleet.Start(i)
		}
	case "stop_relays":
		// All relays of the first n data centres die, but stay in the instance list.
		for i := range s.fleet.Len() {
			if nd := s.fleet.Node(i); nd != nil && i%pwfakepeer.DataCentreCount() < n && nd.Status().Relay {
				s.fleet.Stop(i)
			}
		}
	case "sync_list":
		s.fleet.SyncInstanceList()
	case "cut":
		s.fleet.SetIsolation(node, td.HasArg("peers"), td.HasArg("table"))
	case "partition":
		s.fleet.SetPartition(0, !td.HasArg("end"))
	case "list":
		s.fleet.SetInstanceListDown(td.HasArg("down"))
	case "table":
		s.fleet.Table().SetFault(pwfakeplatform.Fault(fault), n)
	case "copy":
		s.tableCopy = s.fleet.Table().Copy()
	case "restore":
		// The table comes back from the copy.
		s.fleet.Table().Restore(s.tableCopy)
	case "head":
		head, err := s.fleet.Log().Head(t.Context())
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("table: head %d, keys %d", head.Sequence, head.KeyCount)
	case "status":
		return s.status(t, td, node)
	case "older":
		// A peer with an older state pushes it to every node.
		for i := range s.fleet.Len() {
			if s.fleet.Node(i) == nil {
				continue
			}
			if _, err := s.fleet.SendExchange(t.Context(), i, &pwrpc.ExchangeRequest{
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

func (s *scenario) proposal(t *testing.T, key, example, input string) pwchange.Proposal {
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

// isolated returns the largest number of nodes that were isolated at the same time
// during a period. An empty period means now.
func (s *scenario) isolated(t *testing.T, period string) string {
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

// status returns the status of a node. It shows the expected range of the age
// instead of the age itself, which depends on random choices, unless the age is
// outside of the range.
func (s *scenario) status(t *testing.T, td *datadriven.TestData, i int) string {
	status := s.fleet.Node(i).Status()
	out := fmt.Sprintf("head %d, keys %d, isolated %v, age ", status.Head, status.Keys, status.Isolated)
	age, ok := status.Age(time.Now())
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

// readRate compares the rate of the table's reads since the last call, or since the
// start, with the given bound.
func (s *scenario) readRate(t *testing.T, td *datadriven.TestData) string {
	var limit int
	td.ScanArgs(t, "max", &limit)
	reads, _ := s.fleet.Table().Counts()
	rate := float64(reads-s.lastReads) / time.Since(s.lastReadsAt).Seconds()
	s.lastReads, s.lastReadsAt = reads, time.Now()
	if rate > float64(limit) {
		return fmt.Sprintf("%.1f reads a second", rate)
	}
	return fmt.Sprintf("at most %d reads a second", limit)
}

// TestPropagationTable measures how changes spread, with a fake clock and fixed
// seeds. It fails when a change is not in force everywhere in time, when a change
// reverts, or when a process sends and receives more than the budget of 16 KB/s.
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
					if m.notInForce > 0 || slices.Max(m.durations) > inForceBound || m.maxBytes > bytesBudget {
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

// measurement is one row of the table that TestPropagationTable logs.
type measurement struct {
	nodes      int
	loss       float64
	durations  []time.Duration
	notInForce int
	tableReads float64
	meanBytes  float64
	maxBytes   float64
	idleBytes  float64
}

func (m measurement) String() string {
	slices.Sort(m.durations)
	return fmt.Sprintf("%9d %5.2f %7d %8.3f %8.3f %7.1f %8.0f %8.0f %8.0f", m.nodes, m.loss, len(m.durations),
		m.durations[len(m.durations)/2].Seconds(), m.durations[len(m.durations)-1].Seconds(), m.tableReads, m.meanBytes, m.maxBytes, m.idleBytes)
}

// measure accepts 8 documents and 8 marks, one every 1.5 to 2.25 s. That is seven
// times the rate of changes of the large deployment size (6,400 a day).
func measure(t *testing.T, nodes int, loss float64) measurement {
	const changes = 16
	fleet := pwfakepeer.New(pwfakepeer.Options{
		Nodes:    nodes,
		LossRate: loss,
		Seed:     uint64(nodes),
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
	m.idleBytes = byteRates(before, stats(fleet), time.Since(start))[0]
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
		c, err := fleet.ApplyProposal(t.Context(), i*7%nodes, p)
		if err != nil {
			t.Fatal(err)
		}
		took, ok := fleet.AwaitPropagation(c, inForceBound)
		if !ok {
			m.notInForce++
		}
		m.durations = append(m.durations, took)
		time.Sleep(time.Duration(1500+i*50)*time.Millisecond - took)
	}
	elapsed := time.Since(start)
	rates := byteRates(before, stats(fleet), elapsed)
	m.meanBytes, m.maxBytes = rates[0], rates[1]
	m.tableReads = float64(tableReads(fleet)-readsBefore) / elapsed.Seconds()
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

// tableReads returns the number of table reads of all nodes, without the reads that
// proposals cause.
func tableReads(f *pwfakepeer.Fleet) int64 {
	var sum int64
	for _, s := range stats(f) {
		sum += s.TableReads
	}
	return sum
}

// byteRates returns the mean and the largest number of bytes per second of a node.
func byteRates(before, after []pwgossip.Stats, d time.Duration) (rates [2]float64) {
	for i := range after {
		b := after[i].SentBytes + after[i].ReceivedBytes - before[i].SentBytes - before[i].ReceivedBytes
		rate := float64(b) / d.Seconds()
		rates[0] += rate / float64(len(after))
		rates[1] = max(rates[1], rate)
	}
	return rates
}

// stubDependencies stands in for the instance list, the dialer and the crash
// counts of a node, and records the crash counts that the node merges.
type stubDependencies struct {
	merged []*pwrpc.CrashCount
}

func (c *stubDependencies) Collect(limit int) []*pwrpc.CrashCount {
	return make([]*pwrpc.CrashCount, limit)
}

func (c *stubDependencies) Merge(counts []*pwrpc.CrashCount) { c.merged = append(c.merged, counts...) }

func (c *stubDependencies) Instances(context.Context) ([]pwinstance.Instance, error) { return nil, nil }

func (c *stubDependencies) Peer(pwinstance.Instance) pwgossip.Peer { return nil }

// TestMessageBounds guards against a malformed message that is merged in part or
// that exceeds a bound, and against exchanges that leave out the crash counts.
func TestMessageBounds(t *testing.T) {
	deps := &stubDependencies{}
	node, err := pwgossip.New(pwgossip.Options{
		Self:      pwinstance.Instance{ID: "a"},
		Log:       pwchange.NewLog(pwfakeplatform.NewTable()),
		Instances: deps,
		Dialer:    deps,
		Crashes:   deps,
	})
	if err != nil {
		t.Fatal(err)
	}
	var bomb bytes.Buffer
	bomb.WriteByte(1)
	w, _ := flate.NewWriter(&bomb, flate.BestSpeed)
	_, _ = w.Write(make([]byte, 2<<20))
	_ = w.Close()
	valid := &pwrpc.Change{Sequence: 1, Key: "mark/data_centre/a", Value: []byte(`{"out":true}`)}
	for name, req := range map[string]*pwrpc.ExchangeRequest{
		"instance":   {},
		"counts":     {Crashes: make([]*pwrpc.CrashCount, pwgossip.MaxCrashCounts+1)},
		"attempts":   {Crashes: []*pwrpc.CrashCount{{Crashes: make([]*pwrpc.Crash, pwgossip.MaxCrashAttempts+1)}}},
		"identifier": {Crashes: []*pwrpc.CrashCount{{Crashes: []*pwrpc.Crash{{Attempt: strings.Repeat("x", 1000)}}}}},
		"besides":    {Crashes: []*pwrpc.CrashCount{{Crashes: []*pwrpc.Crash{{Besides: make([]uint64, pwgossip.MaxCrashNeighbours+1)}}}}},
		"key":        {Changes: []*pwrpc.Change{valid, {Sequence: 2, Key: "other/b"}}},
		"sequence":   {Changes: []*pwrpc.Change{valid, {Key: valid.GetKey()}}},
		"inflated":   {Changes: []*pwrpc.Change{valid, {Sequence: 2, Key: "service/b", Value: bomb.Bytes()}}},
		"mark":       {Changes: []*pwrpc.Change{valid, {Sequence: 2, Key: valid.GetKey(), Value: make([]byte, pwchange.MaxMarkBytes+1)}}},
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
	if len(deps.merged) > 0 || node.Head() > 0 {
		t.Errorf("a refused message was merged: crash counts %v, head %d", deps.merged, node.Head())
	}
	resp, err := node.HandleExchange(t.Context(), &pwrpc.ExchangeRequest{
		Instance: "b",
		Changes:  []*pwrpc.Change{valid},
		Crashes:  []*pwrpc.CrashCount{{Fingerprint: 7, Crashes: []*pwrpc.Crash{{Attempt: "att-1"}}}},
	})
	if err != nil || len(deps.merged) != 1 || len(resp.GetCrashes()) != pwgossip.MaxCrashCounts || node.Head() != 1 {
		t.Errorf("merged %v, head %d, response %v, error %v", deps.merged, node.Head(), resp, err)
	}
}

// FuzzExchange guards against a message of a faulty peer that makes a node panic,
// that makes it hold a malformed change, or that gets an unbounded response.
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
		resp, err := fleet.SendExchange(t.Context(), 0, req)
		if err != nil {
			return
		}
		if proto.Size(resp) > pwgossip.MaxMessageBytes {
			t.Fatalf("response of %d bytes", proto.Size(resp))
		}
		for _, k := range fleet.Node(0).Keys("") {
			c, _ := fleet.Node(0).Get(k)
			if !pwchange.ValidKey(k) || c.Sequence == 0 || len(c.Value) > pwchange.MaxValueBytes(k) {
				t.Fatalf("holds %+v", c)
			}
		}
	})
}
