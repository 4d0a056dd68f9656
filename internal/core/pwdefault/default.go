// Package pwdefault sets the fields of a configuration that have no value to their
// defaults.
//
// # Usage
//
//	pwdefault.SetUnlessPositive(&cfg.Window, DefaultWindow)
package pwdefault

import "time"

// SetUnlessPositive sets *v to its default unless it is greater than zero.
func SetUnlessPositive[T int | int64 | float64 | time.Duration](v *T, defaultValue T) {
	if *v <= 0 {
		*v = defaultValue
	}
}
