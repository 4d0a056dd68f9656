package pwscript

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/datadriven"
)

// StringOr returns the first value of an argument, or def when it is missing.
func StringOr(d *datadriven.TestData, key, def string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return def
}

// IntOr returns an argument that is a whole number, or def. It panics on
// anything else; datadriven reports the script's line.
func IntOr(d *datadriven.TestData, key string, def int) int {
	n, err := strconv.Atoi(StringOr(d, key, strconv.Itoa(def)))
	if err != nil {
		panic(fmt.Sprintf("argument %s: %v", key, err))
	}
	return n
}

// DurationOr returns an argument such as 1m30s, or def, and panics like Number.
func DurationOr(d *datadriven.TestData, key string, def time.Duration) time.Duration {
	v, err := time.ParseDuration(StringOr(d, key, def.String()))
	if err != nil {
		panic(fmt.Sprintf("argument %s: %v", key, err))
	}
	return v
}

// Names returns the arguments without a value.
func Names(d *datadriven.TestData) []string {
	var out []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			out = append(out, a.Key)
		}
	}
	return out
}
