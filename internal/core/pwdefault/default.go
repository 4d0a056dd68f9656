// Package pwdefault fills in the fields of a configuration that are not set.
//
// # Usage
//
//	pwdefault.Positive(&cfg.Window, DefaultWindow)
package pwdefault

import "time"

// SetUnlessPositive sets a value that is not above zero to its default.
func SetUnlessPositive[T int | int64 | float64 | time.Duration](v *T, otherwise T) {
	if *v <= 0 {
		*v = otherwise
	}
}
