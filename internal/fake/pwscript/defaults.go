package pwscript

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/datadriven"
)

// StringOr returns the first value of an argument, or fallback if the argument is
// missing or has no value.
func StringOr(d *datadriven.TestData, key, fallback string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return fallback
}

// IntOr returns an integer argument, or fallback if it is missing. It panics if the
// value is malformed; datadriven then reports the line of the script.
func IntOr(d *datadriven.TestData, key string, fallback int) int {
	n, err := strconv.Atoi(StringOr(d, key, strconv.Itoa(fallback)))
	if err != nil {
		panic(fmt.Sprintf("argument %s: %v", key, err))
	}
	return n
}

// DurationOr returns an argument such as 1m30s, or fallback if it is missing. It
// panics if the value is malformed, as IntOr does.
func DurationOr(d *datadriven.TestData, key string, fallback time.Duration) time.Duration {
	v, err := time.ParseDuration(StringOr(d, key, fallback.String()))
	if err != nil {
		panic(fmt.Sprintf("argument %s: %v", key, err))
	}
	return v
}

// Names returns the arguments without a value, which are the names that a command
// applies to.
func Names(d *datadriven.TestData) []string {
	var out []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			out = append(out, a.Key)
		}
	}
	return out
}
