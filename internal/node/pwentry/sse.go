package pwentry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// answerWriter writes the answer of a request in the format that clients of the
// chat-completions API expect.
type answerWriter struct {
	inFlight *InFlightRequest
	model    string
	offset   int64
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// chatCompletion is a whole chat completion or one chunk of a streamed one.
type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
	// Offset is the number of tokens of the answer before this chunk.
	Offset int64    `json:"offset"`
	Error  *Problem `json:"error,omitempty"`
}

// newCompletion returns a completion of the given object type with the fields that whole
// completions and chunks share.
func (w *answerWriter) newCompletion(object string) chatCompletion {
	return chatCompletion{
		ID:      string(w.inFlight.request.ID()),
		Object:  object,
		Created: w.inFlight.request.AdmittedAt().Unix(),
		Model:   w.model,
	}
}

// streamWriteTimeout is how long a write may take before the response to a caller that
// has stopped reading is ended. The request continues, and its answer can be read again
// by the request's identifier.
const streamWriteTimeout = 30 * time.Second

// writeStream writes the answer as server-sent events. The identifier N of an event is the
// offset of the token that follows it, so a client resumes the stream with offset=N.
func (w *answerWriter) writeStream(ctx huma.Context) {
	ctx.SetHeader("Content-Type", "text/event-stream")
	ctx.SetHeader("Cache-Control", "no-store")
	ctx.SetHeader("Pomeloweir-Request-Id", string(w.inFlight.request.ID()))
	flush(ctx)
	reason, err := w.inFlight.Read(ctx.Context(), w.offset, func(offset int64, tokens []string) error {
		b := w.newCompletion("chat.completion.chunk")
		b.Offset = offset
		delta := &chatDelta{
			Content: strings.Join(tokens, ""),
		}
		if offset == 0 {
			// Clients take the role of the message from the first chunk.
			delta.Role = "assistant"
		}
		b.Choices = []chatChoice{{
			Delta: delta,
		}}
		return writeEvent(ctx, offset+int64(len(tokens)), b)
	})
	if ctx.Context().Err() != nil {
		// The caller may still read, and a handler that returns completes the response.
		panic(http.ErrAbortHandler)
	}
	b := w.newCompletion("chat.completion.chunk")
	b.Offset = w.inFlight.Status().Tokens
	b.Choices = []chatChoice{{
		Delta:        &chatDelta{},
		FinishReason: &reason,
	}}
	b.Usage = w.usage()
	if err != nil {
		b.Error = ProblemOf(err)
	}
	if writeEvent(ctx, b.Offset, b) == nil {
		_, _ = fmt.Fprint(ctx.BodyWriter(), "data: [DONE]\n\n")
		flush(ctx)
	}
}

func writeEvent(ctx huma.Context, id int64, b chatCompletion) error {
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(ctx.BodyWriter(), "id: %d\ndata: %s\n\n", id, data); err != nil {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseCancelled, "caller stopped reading")
	}
	flush(ctx)
	return nil
}

// flush sends the buffered data and sets the deadline of the next write.
func flush(ctx huma.Context) {
	if rw, ok := ctx.BodyWriter().(http.ResponseWriter); ok {
		rc := http.NewResponseController(rw)
		_ = rc.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		_ = rc.Flush()
	}
}

// writeWhole waits for the end of the answer and writes it as one JSON document.
func (w *answerWriter) writeWhole(ctx huma.Context) {
	ctx.SetHeader("Pomeloweir-Request-Id", string(w.inFlight.request.ID()))
	var text strings.Builder
	reason, err := w.inFlight.Read(ctx.Context(), 0, func(_ int64, tokens []string) error {
		for _, t := range tokens {
			text.WriteString(t)
		}
		return nil
	})
	if err != nil {
		p := ProblemOf(err)
		for k, v := range p.GetHeaders() {
			ctx.SetHeader(k, v[0])
		}
		ctx.SetHeader("Content-Type", "application/problem+json")
		ctx.SetStatus(p.Status)
		_ = json.NewEncoder(ctx.BodyWriter()).Encode(p)
		return
	}
	b := w.newCompletion("chat.completion")
	b.Choices = []chatChoice{{
		Message: &ChatMessage{
			Role:    "assistant",
			Content: text.String(),
		},
		FinishReason: &reason,
	}}
	b.Usage = w.usage()
	ctx.SetHeader("Content-Type", "application/json")
	_ = json.NewEncoder(ctx.BodyWriter()).Encode(b)
}

// usage returns the token counts of the request, or nil for a request that another entry
// runs: its record doesn't hold the length of the prompt, and 0 would be wrong.
func (w *answerWriter) usage() *chatUsage {
	n := w.inFlight.Status().Tokens
	p := w.inFlight.request.PromptTokens()
	if p == 0 {
		return nil
	}
	return &chatUsage{
		PromptTokens:     p,
		CompletionTokens: n,
		TotalTokens:      p + n,
	}
}
