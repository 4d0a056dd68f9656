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

// Read returns the milliseconds that one engine takes to read a prompt. Each
// token attends to all earlier ones, so that long prompts grow quadratically.
func (m Model) Read(tokens int64) float64 {
	n := float64(tokens)
	ms := n * n / 2 / 1e6 * m.e.PairsMSPerM
	if m.e.ReadTokensPerMS > 0 {
		ms += n / m.e.ReadTokensPerMS
	}
	return ms
}

// Part returns the milliseconds that each of several engines takes for an even
// part of a prompt.
func (m Model) Part(tokens int64, engines int) float64 {
	return m.Read(tokens) / float64(max(1, engines))
}

// Pass returns the milliseconds of a pass with writers whose contexts add up
// to contextTokens and in which readMS of reading happens. It is the pause
// between two events of an answer.
func (m Model) Pass(writers int, contextTokens int64, readMS float64) float64 {
	step := m.e.StepMS + float64(writers)*m.e.WriterMS + float64(contextTokens)/1000*m.e.ContextMSPerK
	return float64(max(1, m.e.Stride))*step + readMS
}
