// Package pwobserve writes the JSON-line logs and keeps the metrics of a
// process. Every routing and placement decision is one line.
//
// # Usage
//
//	o := pwobserve.New(os.Stderr, "entry-1", "hakata")
//	o.Decision(pwobserve.Decision{
//		Kind:    "route",
//		Request: "req-1",
//		Choice:  "lantern-07",
//	})
//	o.Count("requests_admitted", 1)
//	o.WriteMetrics(w)
//
// Prompt text and credentials must never be passed to this package.
package pwobserve

import (
	"fmt"
	"io"
	"regexp"
	"sort"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/json"
	"github.com/rcrowley/go-metrics"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Observer carries the logger and the metrics of one process.
type Observer struct {
	logger   *log.Entry
	registry metrics.Registry
	// busy reports whether lines about ordinary requests must be left out.
	busy    func() bool
	leftOut atomic.Int64
}

// New returns an observer that writes JSON lines to w.
func New(w io.Writer, instance pwrequest.InstanceID, dc pwrequest.DataCentre) *Observer {
	l := &log.Logger{
		Handler: json.New(w),
		Level:   log.InfoLevel,
	}
	return &Observer{
		logger: l.WithFields(log.Fields{
			"instance":    instance,
			"data_centre": dc,
		}),
		registry: metrics.NewRegistry(),
		busy:     func() bool { return false },
	}
}

// SetSkipRoutine sets the function that says when lines about ordinary requests are
// left out, so that those about failures find room.
func (o *Observer) SetSkipRoutine(busy func() bool) { o.busy = busy }

// LogRoutineEvent writes and counts like Event, but leaves the line out when the log is
// busy. LeftOut says how many were.
func (o *Observer) LogRoutineEvent(msg string, f log.Fields) {
	if o.busy() {
		o.leftOut.Add(1)
		o.Count("events_"+msg, 1)
		return
	}
	o.LogEvent(msg, f)
}

// TakeSkippedLines returns the number of lines left out since the last call.
func (o *Observer) TakeSkippedLines() int64 { return o.leftOut.Swap(0) }

// Discard returns an observer that writes no log lines, for tests.
func Discard() *Observer {
	o := New(io.Discard, "", "")
	o.logger.Logger.Handler = discard.New()
	return o
}

// Decision is one routing or placement decision.
type Decision struct {
	// Kind is "admit", "route", "refuse", "retry", "finish", "call",
	// "reserve" or "place".
	Kind      string
	Request   pwrequest.ID
	Attempt   pwrequest.AttemptID
	Workspace pwrequest.WorkspaceID
	Service   pwrequest.ServiceID
	// Choice is the chosen backend server, or "".
	Choice pwrequest.BackendServerID
	// Reasons holds short codes that say why candidates were kept or excluded.
	Reasons string
	Verdict string
	Cause   string
}

// LogDecision writes one decision as a log line and counts it by kind.
func (o *Observer) LogDecision(d Decision) {
	f := log.Fields{
		"kind": d.Kind,
	}
	for _, kv := range []struct{ k, v string }{
		{"request", string(d.Request)},
		{"attempt", string(d.Attempt)},
		{"workspace", string(d.Workspace)},
		{"service", string(d.Service)},
		{"backend_server", string(d.Choice)},
		{"reasons", d.Reasons},
		{"verdict", d.Verdict},
		{"cause", d.Cause},
	} {
		if kv.v != "" {
			f[kv.k] = kv.v
		}
	}
	o.logger.WithFields(f).Info("decision")
	o.Count("decisions_"+d.Kind, 1)
	if d.Cause != "" {
		o.Count("refusals_"+d.Cause, 1)
	}
}

// Info writes a log line that is not a decision.
func (o *Observer) Info(msg string, kv ...string) {
	o.entry(kv).Info(msg)
}

// Warn writes a log line about something an operator may have to look at.
func (o *Observer) Warn(msg string, err error, kv ...string) {
	o.entry(kv).WithError(err).Warn(msg)
}

func (o *Observer) entry(kv []string) *log.Entry {
	f := log.Fields{}
	for i := 0; i+1 < len(kv); i += 2 {
		f[kv[i]] = kv[i+1]
	}
	return o.logger.WithFields(f)
}

// Count adds n to a counter.
func (o *Observer) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, o.registry).Inc(n)
}

// SetGauge sets a gauge.
func (o *Observer) SetGauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, o.registry).Update(v)
}

// ObserveDuration adds a duration to a histogram, in milliseconds.
func (o *Observer) ObserveDuration(name string, d time.Duration) {
	const reservoirSize, alpha = 1028, 0.015
	h := o.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, alpha))
	}).(metrics.Histogram)
	h.Update(d.Milliseconds())
}

var unsafeName = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// WriteMetrics writes all metrics in the Prometheus text format.
func (o *Observer) WriteMetrics(w io.Writer) error {
	var lines []string
	o.registry.Each(func(name string, m any) {
		lines = append(lines, metricLines("pomeloweir_"+unsafeName.ReplaceAllString(name, "_"), m)...)
	})
	sort.Strings(lines)
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}

func metricLines(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s_total %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Histogram:
		s := m.Snapshot()
		lines := []string{fmt.Sprintf("%s_ms_count %d", name, s.Count())}
		for _, q := range []float64{0.5, 0.95, 0.99} {
			lines = append(lines, fmt.Sprintf("%s_ms{quantile=%q} %g", name, fmt.Sprint(q), s.Percentile(q)))
		}
		return lines
	default:
		return nil
	}
}

// LogEvent writes a log line with typed fields, such as numbers, and counts it.
func (o *Observer) LogEvent(msg string, f log.Fields) {
	o.logger.WithFields(f).Info(msg)
	o.Count("events_"+msg, 1)
}
