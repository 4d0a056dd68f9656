// Package pwcost estimates what a prompt costs on an engine that works in
// passes: reading in milliseconds of engine time, and the length of a pass.
//
// # Usage
//
//	m := pwcost.New(service.Engine)
//	alone := m.Read(133_000)        // ms on one engine
//	part := m.Part(133_000, 8)      // ms on each of eight engines
//	pause := m.Pass(writers, context, part)
package pwcost

import "github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"

// Model estimates times on one kind of engine.
type Model struct {
	e pwcatalog.Engine
}

// New returns the model of an engine.
func New(e pwcatalog.Engine) Model {
	return Model{
		e: e,
	}
}

// Engine returns the figures that the model rests on.
func (m Model) Engine() pwcatalog.Engine { return m.e }

// PrefillMS returns the milliseconds that one engine takes to read a prompt. Each
// token attends to all earlier ones, so that long prompts grow quadratically.
func (m Model) PrefillMS(tokens int64) float64 {
	n := float64(tokens)
	ms := n * n / 2 / 1e6 * m.e.AttentionMSPerMPairs
	if m.e.PrefillTokensPerMS > 0 {
		ms += n / m.e.PrefillTokensPerMS
	}
	return ms
}

// PartPrefillMS returns the milliseconds that each of several engines takes for an even
// part of a prompt.
func (m Model) PartPrefillMS(tokens int64, engines int) float64 {
	return m.PrefillMS(tokens) / float64(max(1, engines))
}

// PassMS returns the milliseconds of a pass with writers whose contexts add up
// to contextTokens and in which readMS of reading happens. It is the pause
// between two events of an answer.
func (m Model) PassMS(writers int, contextTokens int64, readMS float64) float64 {
	step := m.e.StepMS + float64(writers)*m.e.StepMSPerRequest + float64(contextTokens)/1000*m.e.StepMSPerKContext
	return float64(max(1, m.e.StepsPerPass))*step + readMS
}
