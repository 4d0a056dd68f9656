// Package pwcost estimates processing times on a model engine: the prefill time of a
// prompt and the duration of an iteration. An engine works in iterations, as in
// iteration-level scheduling: an iteration runs a fixed number of decoding steps for all
// running requests, includes the prefill of prompts, and emits the new tokens at its end.
//
// # Usage
//
//	m := pwcost.New(service.Engine)
//	alone := m.PrefillMS(133_000)       // ms on one engine
//	part := m.PartPrefillMS(133_000, 8) // ms on each of eight engines
//	gap := m.IterationMS(requests, contextTokens, part)
package pwcost

import "github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"

// Model estimates processing times on one type of engine.
type Model struct {
	engine pwcatalog.Engine
}

// New returns a Model for an engine.
func New(e pwcatalog.Engine) Model {
	return Model{
		engine: e,
	}
}

// Engine returns the engine parameters that the model was made from.
func (m Model) Engine() pwcatalog.Engine { return m.engine }

// PrefillMS returns the milliseconds that one engine takes to prefill a prompt. Each
// token attends to all earlier ones, so the time grows quadratically for long prompts.
func (m Model) PrefillMS(tokens int64) float64 {
	n := float64(tokens)
	ms := n * n / 2 / 1e6 * m.engine.AttentionMSPerMPairs
	if m.engine.PrefillTokensPerMS > 0 {
		ms += n / m.engine.PrefillTokensPerMS
	}
	return ms
}

// PartPrefillMS returns the milliseconds that each engine takes when the prefill of a
// prompt is divided evenly between several engines.
func (m Model) PartPrefillMS(tokens int64, engines int) float64 {
	return m.PrefillMS(tokens) / float64(max(1, engines))
}

// IterationMS returns the milliseconds of an iteration that decodes the given number of
// requests, whose contexts add up to contextTokens, and includes prefillMS of prefill.
// It is the gap between two events of an answer.
func (m Model) IterationMS(requests int, contextTokens int64, prefillMS float64) float64 {
	stepMS := m.engine.StepMS + float64(requests)*m.engine.StepMSPerRequest + float64(contextTokens)/1000*m.engine.StepMSPerKContext
	return float64(max(1, m.engine.StepsPerIteration))*stepMS + prefillMS
}

// IterationPrefillMS returns the prefill time that fits into one iteration of an engine that
// decodes, as each step prefills one chunk at most. It is 0 if the parameters don't tell.
func (m Model) IterationPrefillMS() float64 {
	if m.engine.PrefillTokensPerMS <= 0 {
		return 0
	}
	return float64(m.engine.StepsPerIteration) * float64(m.engine.PrefillChunkTokens) / m.engine.PrefillTokensPerMS
}
