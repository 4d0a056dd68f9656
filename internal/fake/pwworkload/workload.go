// Package pwworkload generates repeatable workloads: Poisson arrivals of prompts in four
// length groups, from ten workspaces of which a few send most requests. It also describes
// the sizes of the organisations on the design page.
//
// # Usage
//
//	org := pwworkload.Collective()
//	w := pwworkload.New(pwworkload.Config{
//		Seed: 1,
//		Rate: 0.7 * pwworkload.Capacity(org.ServerCount(), engine),
//	})
//	for a := w.Next(); a.Offset < time.Minute; a = w.Next() {
//		// send a at a.Offset
//	}
package pwworkload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// LengthGroup is a group of requests with similar prompt lengths.
type LengthGroup struct {
	Name string
	// MinTokens and MaxTokens bound the prompt length, whose distribution is
	// log-uniform.
	MinTokens int64
	MaxTokens int64
	// Share is the fraction of all requests that is in this group.
	Share float64
	// Deadline is the time from a request's arrival to its deadline.
	Deadline time.Duration
}

// LengthGroups returns the length groups, the shortest first. One request in fifty is
// over 100,000 tokens.
func LengthGroups() []LengthGroup {
	return []LengthGroup{
		{
			Name:      "1k",
			MinTokens: 1_000,
			MaxTokens: 3_000,
			Share:     0.58,
			Deadline:  30 * time.Second,
		},
		{
			Name:      "10k",
			MinTokens: 3_001,
			MaxTokens: pwrequest.ShortMaxTokens,
			Share:     0.30,
			Deadline:  30 * time.Second,
		},
		{
			Name:      "100k",
			MinTokens: pwrequest.ShortMaxTokens + 1,
			MaxTokens: pwrequest.MediumMaxTokens,
			Share:     0.10,
			Deadline:  time.Minute,
		},
		{
			Name:      "1M",
			MinTokens: pwrequest.MediumMaxTokens + 1,
			MaxTokens: 1_000_000,
			Share:     0.02,
			Deadline:  10 * time.Minute,
		},
	}
}

// Bounds of the output length in tokens, whose distribution is log-uniform.
const (
	minOutputTokens = 16
	maxOutputTokens = 128
)

// Organisation describes the size and the network of one installation.
type Organisation struct {
	Name        string
	DataCentres []pwrequest.DataCentre
	// EnginesPerDataCentre is the number of model backend servers in each data centre, in
	// the order of DataCentres.
	EnginesPerDataCentre []int
	// PlainPerDataCentre is the number of plain backend servers in each data centre.
	PlainPerDataCentre int
	// CrossDataCentreLatency is the one-way latency between two data centres.
	CrossDataCentreLatency time.Duration
	// ClientLatency is the one-way latency to the clients.
	ClientLatency time.Duration
	Workspaces    []pwrequest.WorkspaceID
}

// Collective returns the installation of the Hakata Lantern Brush Collective.
func Collective() Organisation {
	return Organisation{
		Name:                   "collective",
		DataCentres:            []pwrequest.DataCentre{"hakata", "dazaifu", "kurume"},
		EnginesPerDataCentre:   []int{9, 8, 8},
		PlainPerDataCentre:     1,
		CrossDataCentreLatency: 1500 * time.Microsecond,
		ClientLatency:          3 * time.Millisecond,
		Workspaces:             Workspaces(),
	}
}

// Cooperativa returns the installation of the Cooperativa Ropa por Kilo Andina.
func Cooperativa() Organisation {
	return Organisation{
		Name:                   "cooperativa",
		DataCentres:            []pwrequest.DataCentre{"scl-a", "scl-b", "scl-c"},
		EnginesPerDataCentre:   []int{7, 7, 6},
		PlainPerDataCentre:     1,
		CrossDataCentreLatency: 1500 * time.Microsecond,
		ClientLatency:          time.Millisecond,
		Workspaces:             Workspaces(),
	}
}

// ServerCount returns the number of model backend servers in all data centres.
func (o Organisation) ServerCount() int { return lo.Sum(o.EnginesPerDataCentre) }

// workspaceShares is the fraction of the requests that each workspace sends. The first
// three workspaces send 70 % of them.
var workspaceShares = []float64{0.35, 0.20, 0.15, 0.06, 0.05, 0.05, 0.04, 0.04, 0.03, 0.03}

// Workspaces returns the identifiers of the workspaces, the largest first.
func Workspaces() []pwrequest.WorkspaceID {
	return lo.Map(workspaceShares, func(_ float64, i int) pwrequest.WorkspaceID {
		return pwrequest.WorkspaceID(fmt.Sprintf("workspace-%d", i))
	})
}

// Arrival is one request of a workload.
type Arrival struct {
	// Offset is the time from the start of the workload to the arrival.
	Offset time.Duration
	// Number is the position of the request in the workload, from 1.
	Number       int
	Group        LengthGroup
	Workspace    pwrequest.WorkspaceID
	Prompt       string
	PromptTokens int64
	MaxTokens    int64
}

// Config configures a workload.
type Config struct {
	// Seed initialises the random choices.
	Seed uint64
	// Rate is the mean number of requests per second.
	Rate float64
}

// Workload generates arrivals at random. It is not safe for concurrent use.
type Workload struct {
	cfg        Config
	rng        *rand.Rand
	groups     []LengthGroup
	shares     []float64
	workspaces []pwrequest.WorkspaceID
	elapsed    time.Duration
	number     int
}

// New returns a workload. Workloads with equal configurations have equal arrivals.
func New(cfg Config) *Workload {
	return &Workload{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, 0x776f726b)),
		groups:     LengthGroups(),
		shares:     lo.Map(LengthGroups(), func(g LengthGroup, _ int) float64 { return g.Share }),
		workspaces: Workspaces(),
	}
}

// Next generates the next arrival.
func (w *Workload) Next() Arrival {
	a := w.drawArrival()
	a.Prompt = fmt.Sprintf("prompt %d of workload %d", a.Number, w.cfg.Seed)
	return a
}

// drawArrival generates the next arrival without the text of its prompt.
func (w *Workload) drawArrival() Arrival {
	w.elapsed += time.Duration(w.rng.ExpFloat64() / w.cfg.Rate * float64(time.Second))
	w.number++
	g := w.groups[pickWeighted(w.rng, w.shares)]
	return Arrival{
		Offset:       w.elapsed,
		Number:       w.number,
		Group:        g,
		Workspace:    w.workspaces[pickWeighted(w.rng, workspaceShares)],
		PromptTokens: drawLogUniform(w.rng, g.MinTokens, g.MaxTokens),
		MaxTokens:    drawLogUniform(w.rng, minOutputTokens, maxOutputTokens),
	}
}

// ArrivalsBefore generates all further arrivals with an offset below end.
func (w *Workload) ArrivalsBefore(end time.Duration) []Arrival {
	var out []Arrival
	for a := w.Next(); a.Offset < end; a = w.Next() {
		out = append(out, a)
	}
	return out
}

// pickWeighted returns a random index of weights, with a probability proportional to the
// weight.
func pickWeighted(rng *rand.Rand, weights []float64) int {
	x := rng.Float64() * lo.Sum(weights)
	for i, weight := range weights {
		if x -= weight; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// drawLogUniform returns a random number between minimum and maximum whose logarithm is
// uniformly distributed.
func drawLogUniform(rng *rand.Rand, minimum, maximum int64) int64 {
	low, high := math.Log(float64(minimum)), math.Log(float64(maximum))
	return min(maximum, max(minimum, int64(math.Round(math.Exp(low+rng.Float64()*(high-low))))))
}

// EngineSpec holds the properties of a model engine that determine its capacity.
type EngineSpec struct {
	// PrefillRate is the number of prompt tokens that the engine processes per second.
	PrefillRate float64
	// MemoryTokens is the number of tokens that fit in the engine's memory.
	MemoryTokens int64
	// Slots is the maximum number of concurrent attempts.
	Slots int
	// StepTime is the time to decode one token of each attempt while all slots are used.
	StepTime time.Duration
}

// capacitySamples is the number of arrivals from which Capacity estimates the mean use of
// each resource. It keeps the error of the mean squared prompt length, which the longest
// prompts dominate, below 2 %.
const capacitySamples = 100_000

// Capacity returns the highest mean rate, in requests per second, at which the servers
// together have enough of each resource: prefill time, memory over time, and slots over
// time. A prompt longer than one engine's memory occupies the memory of several servers,
// and counts in the same way as the others.
func Capacity(servers int, engine EngineSpec) float64 {
	w := New(Config{
		Seed: 1,
		Rate: 1,
	})
	var prefill, memory, slots float64
	for range capacitySamples {
		a := w.drawArrival()
		prefillTime := float64(a.PromptTokens) / engine.PrefillRate
		slotTime := prefillTime + float64(a.MaxTokens)*engine.StepTime.Seconds()
		prefill += prefillTime
		memory += slotTime * float64(a.PromptTokens+a.MaxTokens) / float64(engine.MemoryTokens)
		slots += slotTime / float64(engine.Slots)
	}
	return float64(servers) * capacitySamples / max(prefill, memory, slots)
}
