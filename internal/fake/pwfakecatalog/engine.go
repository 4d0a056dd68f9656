// Package pwfakecatalog holds parts of a configuration for tests and measurements.
//
// # Usage
//
//	e := pwfakecatalog.Engine()
//	service := pwcatalog.Service{Name: "model", Engine: &e}
package pwfakecatalog

import "github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"

// Engine returns an engine like those of the users' sites.
func Engine() pwcatalog.Engine {
	return pwcatalog.Engine{
		Slots:           16,
		MemoryTokens:    232_000,
		StepMS:          1.02,
		WriterMS:        0.00226,
		ContextMSPerK:   0.00431,
		ReadTokensPerMS: 206,
		PairsMSPerM:     0.138,
		ChunkTokens:     2048,
		Stride:          43,
		HopMS:           0.075,
	}
}
