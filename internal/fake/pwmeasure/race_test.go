//go:build race

package pwmeasure

func init() { raceEnabled = true }
