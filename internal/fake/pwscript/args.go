package pwscript

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// FixSeed makes rapid draw the same values in each run, so that CI gives the
// same verdict every time, and keeps it from writing files beside the scripts.
// The flags -rapid.seed and -rapid.nofailfile override it. It must be called
// by an init function, before the flags are parsed.
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

// Int64 returns a numeric argument of a command, or otherwise when it is missing.
func Int64(t testing.TB, d *datadriven.TestData, name string, otherwise int64) int64 {
	t.Helper()
	if d.HasArg(name) {
		d.ScanArgs(t, name, &otherwise)
	}
	return otherwise
}

// Millis returns an argument that counts milliseconds, or 0 when it is missing.
func Millis(t testing.TB, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	return time.Duration(Int64(t, d, name, 0)) * time.Millisecond
}

// String returns a text argument of a command, or "" when it is missing.
func String(t testing.TB, d *datadriven.TestData, name string) string {
	t.Helper()
	var v string
	if d.HasArg(name) {
		d.ScanArgs(t, name, &v)
	}
	return v
}

// CheckBounds compares values with the bounds in the arguments of a command:
// name_max=n and name_min=n. It returns "ok" or a line for each bound that
// doesn't hold. Other arguments are ignored; a bound on a value that doesn't
// exist ends the test.
func CheckBounds(t testing.TB, d *datadriven.TestData, values map[string]int64) string {
	t.Helper()
	var bad []string
	for _, a := range d.CmdArgs {
		name, low := strings.CutSuffix(a.Key, "_min")
		name, high := strings.CutSuffix(name, "_max")
		if !low && !high {
			continue
		}
		v, ok := values[name]
		if !ok {
			t.Fatalf("%s: no value %q", d.Pos, name)
		}
		var bound int64
		d.ScanArgs(t, a.Key, &bound)
		if low && v < bound || high && v > bound {
			bad = append(bad, fmt.Sprintf("%s is %d, bound %d", name, v, bound))
		}
	}
	if len(bad) == 0 {
		return "ok"
	}
	return strings.Join(bad, "\n")
}
