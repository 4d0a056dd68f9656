package pwobserve

import (
	"bytes"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Guards against work that holds up all other goroutines without a trace in the metrics.
func TestLongestWaitForATurnIsMeasured(t *testing.T) {
	const busy = 30 * time.Millisecond
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	o := Discard()
	o.ExportTurnWaits()
	mark := o.MarkTurns()
	var wg sync.WaitGroup
	// The runtime samples one goroutine in eight.
	for range 64 {
		wg.Go(func() { time.Sleep(time.Millisecond) })
	}
	for end := time.Now().Add(busy); time.Now().Before(end); {
	}
	wg.Wait()
	o.ObserveTurns("work", mark)
	o.ExportTurnWaits()
	var out bytes.Buffer
	if err := o.WriteMetrics(&out); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"turn_wait_longest_us", "turn_wait_longest_work_us"} {
		if got := gaugeOf(o, name); got < 2_000 {
			t.Errorf("%s is %d us after %s of work, want at least 2000:\n%s", name, got, busy, out.String())
		}
	}
	o.ExportTurnWaits()
	if got := gaugeOf(o, "turn_wait_longest_work_us"); got != 0 {
		t.Errorf("a wait of %d us is stated a second time", got)
	}
}

func gaugeOf(o *Observer, name string) int64 {
	return metrics.GetOrRegisterGauge(name, o.registry).Value()
}
