// Package pwworkload makes repeatable workloads: Poisson arrivals of prompts
// in four groups of lengths, from workspaces of which a few are large, and the
// sizes of the organisations on the design page.
//
// # Usage
//
//	org := pwworkload.Collective()
//	w := pwworkload.New(pwworkload.Config{
//		Seed: 1,
//		Rate: 0.7 * pwworkload.Capacity(org.Servers(), engine),
//	})
//	for a := w.Next(); a.At < time.Minute; a = w.Next() {
//		// send a at a.At
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

// LengthGroup is a group of prompt lengths.
type LengthGroup struct {
	Name string
	// MinTokens and MaxTokens bound the prompt length, which is log-uniform.
	MinTokens int64
	MaxTokens int64
	// Share is the part of the requests in this group.
	Share float64
	// Deadline is the time that a request of the group may take.
	Deadline time.Duration
}

// LengthGroups returns the groups by length. One request in fifty is over 100,000
// tokens.
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

// Output lengths, log-uniform, in tokens.
const (
	minOutput = 16
	maxOutput = 128
)

// Organisation is the size of one installation.
type Organisation struct {
	Name        string
	DataCentres []pwrequest.DataCentre
	// EnginesPerDataCentre is the number of model backend servers in each data centre, in
	// the order of DataCentres.
	EnginesPerDataCentre []int
	// PlainPerDataCentre is the number of plain backend servers in each data centre.
	PlainPerDataCentre int
	// CrossDataCentreLatency and ToClients are one-way latencies.
	CrossDataCentreLatency time.Duration
	ClientLatency          time.Duration
	Workspaces             []pwrequest.WorkspaceID
}

// Collective returns the Hakata Lantern Brush Collective.
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

// Cooperativa returns the Cooperativa Ropa por Kilo Andina.
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

// ServerCount returns the number of model backend servers.
func (o Organisation) ServerCount() int { return lo.Sum(o.EnginesPerDataCentre) }

// workspaceShares is the part of the requests from each workspace: three are
// large.
var workspaceShares = []float64{0.35, 0.20, 0.15, 0.06, 0.05, 0.05, 0.04, 0.04, 0.03, 0.03}

// Workspaces returns the identifiers of the workspaces, the largest first.
func Workspaces() []pwrequest.WorkspaceID {
	return lo.Map(workspaceShares, func(_ float64, i int) pwrequest.WorkspaceID {
		return pwrequest.WorkspaceID(fmt.Sprintf("workspace-%d", i))
	})
}

// Arrival is one request of a workload.
type Arrival struct {
	// Offset is the time since the start of the workload.
	Offset       time.Duration
	Number       int
	Group        LengthGroup
	Workspace    pwrequest.WorkspaceID
	Prompt       string
	PromptTokens int64
	MaxTokens    int64
}

// Config describes a workload.
type Config struct {
	Seed uint64
	// Rate is the mean number of requests a second.
	Rate float64
}

// Workload draws arrivals. It is not safe for concurrent use.
type Workload struct {
	cfg        Config
	rng        *rand.Rand
	groups     []LengthGroup
	shares     []float64
	workspaces []pwrequest.WorkspaceID
	at         time.Duration
	number     int
}

// New returns a workload; equal configurations give equal arrivals.
func New(cfg Config) *Workload {
	return &Workload{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, 0x776f726b)),
		groups:     LengthGroups(),
		shares:     lo.Map(LengthGroups(), func(g LengthGroup, _ int) float64 { return g.Share }),
		workspaces: Workspaces(),
	}
}

// Next returns the next arrival.
func (w *Workload) Next() Arrival {
	a := w.draw()
	a.Prompt = fmt.Sprintf("prompt %d of workload %d", a.Number, w.cfg.Seed)
	return a
}

// draw returns the next arrival without the text of its prompt.
func (w *Workload) draw() Arrival {
	w.at += time.Duration(w.rng.ExpFloat64() / w.cfg.Rate * float64(time.Second))
	w.number++
	g := w.groups[pick(w.rng, w.shares)]
	return Arrival{
		Offset:       w.at,
		Number:       w.number,
		Group:        g,
		Workspace:    w.workspaces[pick(w.rng, workspaceShares)],
		PromptTokens: logUniform(w.rng, g.MinTokens, g.MaxTokens),
		MaxTokens:    logUniform(w.rng, minOutput, maxOutput),
	}
}

// ArrivalsBefore returns all arrivals before a time since the start.
func (w *Workload) ArrivalsBefore(end time.Duration) []Arrival {
	var out []Arrival
	for a := w.Next(); a.Offset < end; a = w.Next() {
		out = append(out, a)
	}
	return out
}

func pick(rng *rand.Rand, shares []float64) int {
	x := rng.Float64() * lo.Sum(shares)
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func logUniform(rng *rand.Rand, from, to int64) int64 {
	low, high := math.Log(float64(from)), math.Log(float64(to))
	return min(to, max(from, int64(math.Round(math.Exp(low+rng.Float64()*(high-low))))))
}

// EngineSpec is what the capacity of a server depends on.
type EngineSpec struct {
	// PrefillRate is in tokens a second.
	PrefillRate  float64
	MemoryTokens int64
	// Slots is the number of attempts at once and Step the time of one decoded
	// token at that number.
	Slots    int
	StepTime time.Duration
}

// capacitySamples is enough for an error below 2 % in the mean of the squared
// length, which the longest prompts determine.
const capacitySamples = 100_000

// Capacity returns the largest mean rate, in requests a second, at which no
// resource of the servers together is used more than fully: prefill time,
// memory over time, or slots over time. Prompts longer than one engine's memory
// hold it on several servers and count in the same way.
func Capacity(servers int, e EngineSpec) float64 {
	w := New(Config{
		Seed: 1,
		Rate: 1,
	})
	var prefill, memory, slots float64
	for range capacitySamples {
		a := w.draw()
		filling := float64(a.PromptTokens) / e.PrefillRate
		held := filling + float64(a.MaxTokens)*e.StepTime.Seconds()
		prefill += filling
		memory += held * float64(a.PromptTokens+a.MaxTokens) / float64(e.MemoryTokens)
		slots += held / float64(e.Slots)
	}
	return float64(servers) * capacitySamples / max(prefill, memory, slots)
}
