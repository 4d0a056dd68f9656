package pwcapacity

import (
	"context"
	"flag"
	"math"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the cost Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Term is a cost that is measured at several sizes of one variable, and the straight
// line that is fitted to the points.
type Term struct {
	Name string `json:"name"`
	// Variable names what X counts. Unit is the unit of Y.
	Variable string  `json:"variable"`
	Unit     string  `json:"unit"`
	Points   []Point `json:"points"`
	// Slope and Intercept describe the fitted line.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square of the distances of Y from the line, divided
	// by the mean of Y.
	Residual float64 `json:"residual"`
}

// At returns the fitted cost at x, at least 0.
func (t Term) At(x float64) float64 { return max(0, t.Intercept+t.Slope*x) }

func (t *Term) fit() {
	var xs, ys []float64
	for _, p := range t.Points {
		xs, ys = append(xs, p.X), append(ys, p.Y)
	}
	t.Intercept, t.Slope = stat.LinearRegression(xs, ys, nil, false)
	var sum, mean float64
	for _, p := range t.Points {
		d := p.Y - t.Intercept - t.Slope*p.X
		sum += d * d
		mean += math.Abs(p.Y)
	}
	n := float64(len(t.Points))
	if mean > 0 {
		t.Residual = math.Sqrt(sum/n) / (mean / n)
	}
}

// Durations of one benchmark, in the format of the flag test.benchtime.
const (
	benchTime      = "150ms"
	quickBenchTime = "5ms"
)

// meter collects the measured points by term.
type meter struct {
	quick bool
	terms map[string]*Term
}

func newMeter(quick bool) *meter {
	// testing.Benchmark needs the flags of the testing package, which a program that
	// is not a test binary registers with Init.
	testing.Init()
	d := benchTime
	if quick {
		d = quickBenchTime
	}
	_ = flag.Set("test.benchtime", d)
	return &meter{
		quick: quick,
		terms: map[string]*Term{},
	}
}

// sizes returns the sizes to measure in the mode of the run.
func (m *meter) sizes(quick, full []int) []int {
	if m.quick {
		return quick
	}
	return full
}

// addPoint adds the cost y at the size x to a term and fits its line again.
func (m *meter) addPoint(name, variable, unit string, x, y float64) {
	t, ok := m.terms[name]
	if !ok {
		t = &Term{
			Name:     name,
			Variable: variable,
			Unit:     unit,
		}
		m.terms[name] = t
	}
	t.Points = append(t.Points, Point{
		X: x,
		Y: y,
	})
	if len(t.Points) > 1 {
		t.fit()
	}
}

// sortedTerms returns all terms, sorted by name.
func (m *meter) sortedTerms() []Term {
	var out []Term
	for _, t := range m.terms {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b Term) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// processorTime returns the user and system time that this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const processorMetric = "cpu-ns/op"

// cpuPerOp returns the mean processor time of op in microseconds. It calls op with
// 0, 1, 2 and so on.
func cpuPerOp(op func(i int)) float64 {
	next := 0
	res := testing.Benchmark(func(b *testing.B) {
		start := processorTime()
		for range b.N {
			op(next)
			next++
		}
		b.ReportMetric(float64(processorTime()-start)/float64(b.N), processorMetric)
	})
	return res.Extra[processorMetric] / 1e3
}

// liveBytes returns the bytes of heap and stacks in use after a garbage collection.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}

// awaitGoroutines waits until at most limit goroutines run, so that the memory of an
// earlier measurement is not part of the baseline of the next one.
func awaitGoroutines(ctx context.Context, limit int) error {
	return await(ctx, func() bool { return runtime.NumGoroutine() <= limit })
}

// retainedBytes returns the bytes that the result of build keeps in use.
func retainedBytes(build func() any) float64 {
	before := liveBytes()
	result := build()
	after := liveBytes()
	runtime.KeepAlive(result)
	return after - before
}
