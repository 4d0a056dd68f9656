// Package pwrequest defines the identifiers and the description of a request that
// the packages under internal/core share.
//
// # Usage
//
//	r := pwrequest.New(pwrequest.Params{
//		ID:           "req-1",
//		Workspace:    "lamps",
//		Service:      "lantern",
//		Model:        "lantern-70b",
//		PromptTokens: 1200,
//		MaxTokens:    256,
//	})
//	class := r.Class() // pwrequest.Short
package pwrequest

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Identifiers. The packages under internal/core treat all of them as opaque strings.
type (
	// ID identifies a request across all its attempts.
	ID string
	// AttemptID identifies one attempt of a request on one backend server.
	AttemptID string
	// WorkspaceID identifies a workspace.
	WorkspaceID string
	// ServiceID identifies a service.
	ServiceID string
	// ModelID identifies a model.
	ModelID string
	// InstanceID identifies an instance that runs a process of the system.
	InstanceID string
	// BackendServerID identifies a backend server.
	BackendServerID string
	// DataCentre names a data centre.
	DataCentre string
)

// PlainModel is the model of requests to a plain service, which offers no models.
const PlainModel ModelID = "plain"

// Class is the length class of a prompt.
type Class uint8

// Length classes, from short to long.
const (
	Short Class = iota
	Medium
	Long
	// ClassCount is the number of length classes.
	ClassCount = 3
)

// Upper bounds of the length classes, in prompt tokens.
const (
	ShortMaxTokens  = 10_000
	MediumMaxTokens = 100_000
)

// ClassOf returns the length class of a prompt with n tokens.
func ClassOf(n int64) Class {
	switch {
	case n <= ShortMaxTokens:
		return Short
	case n <= MediumMaxTokens:
		return Medium
	default:
		return Long
	}
}

// Bounds on the prefill work, in tokens, that a server may do before that of an
// attempt. A request that would exceed them waits in the fair queue of its entry
// instead. Engines serve waiting requests in the order of arrival, so that a
// flooding workspace would slow down all others there.
const (
	ShortMaxPrefillAhead  = 12_288
	MediumMaxPrefillAhead = 65_536
)

// MaxPrefillAhead returns the bound of the class on the prefill work ahead of an
// attempt, in tokens. It is 0, for no bound, for long prompts, whose number on a
// server has its own bound.
func (c Class) MaxPrefillAhead() int64 {
	switch c {
	case Short:
		return ShortMaxPrefillAhead
	case Medium:
		return MediumMaxPrefillAhead
	default:
		return 0
	}
}

// String returns the name of the class in settings, documents and logs.
func (c Class) String() string {
	switch c {
	case Short:
		return "short"
	case Medium:
		return "medium"
	default:
		return "long"
	}
}

// Params are the fields of a new request. The methods of Request describe them.
type Params struct {
	ID           ID
	Workspace    WorkspaceID
	Service      ServiceID
	Model        ModelID
	Adapter      string
	PromptTokens int64
	MaxTokens    int64
	Priority     int
	AdmittedAt   time.Time
	Deadline     time.Time
	// Fingerprint is the result of the function Fingerprint.
	Fingerprint uint64
	// PrefixHash is the result of the function PrefixHash, or 0 for a request
	// without cache affinity.
	PrefixHash uint64
}

// Request describes one admitted request. It is immutable.
type Request struct {
	params Params
}

// New returns a request with the given fields.
func New(p Params) *Request {
	return &Request{
		params: p,
	}
}

// ID returns the identifier of the request.
func (r *Request) ID() ID { return r.params.ID }

// Workspace returns the workspace that sent the request.
func (r *Request) Workspace() WorkspaceID { return r.params.Workspace }

// Service returns the service that the request is for.
func (r *Request) Service() ServiceID { return r.params.Service }

// Model returns the requested model.
func (r *Request) Model() ModelID { return r.params.Model }

// Adapter returns the requested adapter, or "".
func (r *Request) Adapter() string { return r.params.Adapter }

// PromptTokens returns the length of the prompt in tokens.
func (r *Request) PromptTokens() int64 { return r.params.PromptTokens }

// MaxTokens returns the largest number of tokens to generate.
func (r *Request) MaxTokens() int64 { return r.params.MaxTokens }

// MemoryTokens returns the engine memory that the request needs, in tokens: those of
// the prompt and those that it may generate.
func (r *Request) MemoryTokens() int64 { return r.params.PromptTokens + r.params.MaxTokens }

// Priority returns the priority of the request within its workspace. Requests with
// a higher priority run earlier.
func (r *Request) Priority() int { return r.params.Priority }

// AdmittedAt returns the time of admission at the entry.
func (r *Request) AdmittedAt() time.Time { return r.params.AdmittedAt }

// Deadline returns the time by which the request must have ended.
func (r *Request) Deadline() time.Time { return r.params.Deadline }

// Fingerprint returns a hash that is equal for requests with the same effect on an
// engine.
func (r *Request) Fingerprint() uint64 { return r.params.Fingerprint }

// PrefixHash returns the hash of the start of the prompt, which selects servers with
// that prefix in their cache.
func (r *Request) PrefixHash() uint64 { return r.params.PrefixHash }

// Class returns the length class of the prompt.
func (r *Request) Class() Class { return ClassOf(r.params.PromptTokens) }

// bytesPerToken is the ratio that EstimateTokens assumes, because the system has no
// tokenizer. For most texts the true number of tokens is below the estimate.
const bytesPerToken = 4

// EstimateTokens returns the number of tokens that the system counts for a prompt.
func EstimateTokens(prompt string) int64 {
	return int64(len(prompt)+bytesPerToken-1) / bytesPerToken
}

// prefixBytes is the length of the start of a prompt that PrefixHash covers.
const prefixBytes = 2048

// Fingerprint hashes the workspace, model and prompt of a request. Requests that are
// equal in them have the same effect on an engine.
func Fingerprint(w WorkspaceID, m ModelID, prompt string) uint64 {
	h := xxhash.New()
	for _, s := range []string{string(w), string(m), prompt} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// PrefixHash hashes the start of a prompt together with its model.
func PrefixHash(m ModelID, prompt string) uint64 {
	if len(prompt) > prefixBytes {
		prompt = prompt[:prefixBytes]
	}
	h := xxhash.New()
	_, _ = h.WriteString(string(m))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(prompt)
	return h.Sum64()
}
