// Package pwobserve writes the log of a process as JSON lines and holds its
// metrics. Every routing and placement decision is one log line.
//
// # Usage
//
//	o := pwobserve.New(os.Stderr, "entry-1", "hakata")
//	o.LogDecision(pwobserve.Decision{
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

// Observer writes the log and holds the metrics of one process.
type Observer struct {
	logger   *log.Entry
	registry metrics.Registry
	// skipRoutine reports whether lines about ordinary requests must be skipped.
	skipRoutine func() bool
	// skippedLines counts the lines skipped since TakeSkippedLines was called.
	skippedLines atomic.Int64
	turns        turnWaits
}

// New returns an observer that writes log lines to w. Every line contains the
// instance and the data centre.
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
		registry:    metrics.NewRegistry(),
		skipRoutine: func() bool { return false },
	}
}

// SetSkipRoutine sets the function that decides whether lines about ordinary
// requests are skipped, so that there is room for lines about failures. It must be
// called before the observer is shared between goroutines.
func (o *Observer) SetSkipRoutine(skip func() bool) { o.skipRoutine = skip }

// LogRoutineEvent is like LogEvent for an event of an ordinary request. It counts
// the event but skips the line if the function set with SetSkipRoutine returns true.
func (o *Observer) LogRoutineEvent(msg string, f log.Fields) {
	if o.skipRoutine() {
		o.skippedLines.Add(1)
		o.Count("events_"+msg, 1)
		return
	}
	o.LogEvent(msg, f)
}

// TakeSkippedLines returns the number of lines skipped since the last call.
func (o *Observer) TakeSkippedLines() int64 { return o.skippedLines.Swap(0) }

// Discard returns an observer that writes no log lines, for tests.
func Discard() *Observer {
	o := New(io.Discard, "", "")
	o.logger.Logger.Handler = discard.New()
	return o
}

// Decision is one routing or placement decision to be logged.
type Decision struct {
	// Kind is "admit", "route", "refuse", "retry", "finish", "call",
	// "reserve" or "place".
	Kind      string
	Request   pwrequest.ID
	Attempt   pwrequest.AttemptID
	Workspace pwrequest.WorkspaceID
	Service   pwrequest.ServiceID
	// Choice is the chosen backend server, or "" if none was chosen.
	Choice pwrequest.BackendServerID
	// Reasons lists short codes for why candidates were kept or excluded.
	Reasons string
	Verdict string
	Cause   string
}

// LogDecision writes a decision as a log line. It counts the decision by kind and,
// if it has a cause, the refusal by cause.
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

// Info writes a log line with fields given as alternating keys and values.
func (o *Observer) Info(msg string, kv ...string) {
	o.logEntry(kv).Info(msg)
}

// Warn writes a log line about an error that an operator may have to investigate.
func (o *Observer) Warn(msg string, err error, kv ...string) {
	o.logEntry(kv).WithError(err).Warn(msg)
}

func (o *Observer) logEntry(kv []string) *log.Entry {
	f := log.Fields{}
	for i := 0; i+1 < len(kv); i += 2 {
		f[kv[i]] = kv[i+1]
	}
	return o.logger.WithFields(f)
}

// Count adds n to the named counter.
func (o *Observer) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, o.registry).Inc(n)
}

// SetGauge sets the named gauge.
func (o *Observer) SetGauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, o.registry).Update(v)
}

// ObserveDuration adds a duration, in milliseconds, to the named histogram.
func (o *Observer) ObserveDuration(name string, d time.Duration) {
	const reservoirSize, alpha = 1028, 0.015
	h := o.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, alpha))
	}).(metrics.Histogram)
	h.Update(d.Milliseconds())
}

// invalidNameChars matches characters that are not allowed in metric names.
var invalidNameChars = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// WriteMetrics writes all metrics in the Prometheus text format.
func (o *Observer) WriteMetrics(w io.Writer) error {
	var lines []string
	o.registry.Each(func(name string, m any) {
		lines = append(lines, formatMetric("pomeloweir_"+invalidNameChars.ReplaceAllString(name, "_"), m)...)
	})
	sort.Strings(lines)
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}

func formatMetric(name string, m any) []string {
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

// LogEvent writes a log line with typed fields, such as numbers, and counts the
// event by its message.
func (o *Observer) LogEvent(msg string, f log.Fields) {
	o.logger.WithFields(f).Info(msg)
	o.Count("events_"+msg, 1)
}
