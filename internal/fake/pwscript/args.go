package pwscript

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// FixSeed makes package rapid draw the same values in each run, so that CI gets the
// same result every time, and prevents it from writing files beside the scripts.
// The flags -rapid.seed and -rapid.nofailfile override these settings. FixSeed must
// be called by an init function, before the flags are parsed.
func FixSeed() {
	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Int64 returns an integer argument of a command, or fallback if it is missing. It
// fails the test if the value is malformed.
func Int64(t testing.TB, d *datadriven.TestData, name string, fallback int64) int64 {
	t.Helper()
	if d.HasArg(name) {
		d.ScanArgs(t, name, &fallback)
	}
	return fallback
}

// Millis returns an argument that is a number of milliseconds, or 0 if it is missing.
// It fails the test if the value is malformed.
func Millis(t testing.TB, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	return time.Duration(Int64(t, d, name, 0)) * time.Millisecond
}

// String returns a text argument of a command, or "" if it is missing.
func String(t testing.TB, d *datadriven.TestData, name string) string {
	t.Helper()
	var v string
	if d.HasArg(name) {
		d.ScanArgs(t, name, &v)
	}
	return v
}

// CheckBounds compares values with the bounds in the arguments of a command:
// name_max=n and name_min=n. It returns "ok", or a line for each bound that is
// violated. It ignores other arguments and fails the test if a bound names a value
// that doesn't exist.
func CheckBounds(t testing.TB, d *datadriven.TestData, values map[string]int64) string {
	t.Helper()
	var violations []string
	for _, a := range d.CmdArgs {
		name, isMin := strings.CutSuffix(a.Key, "_min")
		name, isMax := strings.CutSuffix(name, "_max")
		if !isMin && !isMax {
			continue
		}
		v, ok := values[name]
		if !ok {
			t.Fatalf("%s: bound on unknown value %q", d.Pos, name)
		}
		var bound int64
		d.ScanArgs(t, a.Key, &bound)
		if isMin && v < bound || isMax && v > bound {
			violations = append(violations, fmt.Sprintf("%s is %d, bound %d", name, v, bound))
		}
	}
	if len(violations) == 0 {
		return "ok"
	}
	return strings.Join(violations, "\n")
}
