// Package pwfakecatalog provides realistic parts of a catalog for tests and measurements.
//
// # Usage
//
//	e := pwfakecatalog.Engine()
//	service := pwcatalog.Service{Name: "model", Engine: &e}
package pwfakecatalog

import "github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"

// Engine returns the capacity and cost model of an engine like those at the users' sites.
func Engine() pwcatalog.Engine {
	return pwcatalog.Engine{
		Slots:                16,
		MemoryTokens:         232_000,
		StepMS:               1.02,
		StepMSPerRequest:     0.00226,
		StepMSPerKContext:    0.00431,
		PrefillTokensPerMS:   206,
		AttentionMSPerMPairs: 0.138,
		PrefillChunkTokens:   2048,
		StepsPerIteration:    43,
		SplitContextMS:       0.075,
	}
}
