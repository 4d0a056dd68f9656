package pwengine

import "github.com/pomeloweir/pomeloweir/internal/core/pwverdict"

// Paths of the engine's HTTP interface.
const (
	PathCompletions = "/v1/completions"
	PathSegments    = "/v1/kv/segments"
	PathKV          = "/v1/kv/"
	PathOrders      = "/v1/orders"
	PathLoad        = "/v1/load"
	PathReset       = "/v1/reset"
)

// HeaderIdempotencyKey carries the key of a call that must run at most once.
const HeaderIdempotencyKey = "Idempotency-Key"

// StreamEnd is the data of the last event of a completion stream.
const StreamEnd = "[DONE]"

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Generation
	Stream bool `json:"stream"`
}

// CompletionChunk is one server-sent event of a completion stream. The last
// chunk has a finish reason and the usage; a chunk with an error ends the
// stream.
type CompletionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *CompletionUsage   `json:"usage,omitempty"`
	Error   *ErrorBody         `json:"error,omitempty"`
}

// CompletionChoice is the only choice of a chunk. Tokens holds the same text
// as Text, split into tokens.
type CompletionChoice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text"`
	Tokens       []string `json:"tokens,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// CompletionUsage counts the tokens of a finished completion.
type CompletionUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// SegmentResponse is the reply to POST /v1/kv/segments.
type SegmentResponse struct {
	Handle string `json:"handle"`
}

// ErrorResponse is the body of every reply with a status of 400 or above.
type ErrorResponse struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes an error on the wire.
type ErrorBody struct {
	Cause   string `json:"cause"`
	Verdict string `json:"verdict"`
	Message string `json:"message"`
}

// ErrorBodyOf returns the wire form of err.
func ErrorBodyOf(err error) ErrorBody {
	e := pwverdict.AsError(err)
	return ErrorBody{
		Cause:   string(e.Cause()),
		Verdict: e.Verdict().String(),
		Message: e.Detail(),
	}
}

// Err returns the error that b describes.
func (b ErrorBody) Err() error {
	return pwverdict.New(pwverdict.Parse(b.Verdict), pwverdict.Cause(b.Cause), "%s", b.Message)
}
