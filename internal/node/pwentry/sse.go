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

// answerWriter writes an answer in the shape that chat-completion clients
// expect.
type answerWriter struct {
	flight *InFlightRequest
	model  string
	offset int64
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

type chatBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
	// Offset is the number of tokens before this event.
	Offset int64    `json:"offset"`
	Error  *Problem `json:"error,omitempty"`
}

func (w *answerWriter) body(object string) chatBody {
	return chatBody{
		ID:      string(w.flight.request.ID()),
		Object:  object,
		Created: w.flight.request.AdmittedAt().Unix(),
		Model:   w.model,
	}
}

// streamWriteTimeout ends the response to a caller that stops reading. The
// request goes on and can be read again by its identifier.
const streamWriteTimeout = 30 * time.Second

// stream writes the answer as server-sent events. The event with the
// identifier N is followed by token N, for a resumption with offset=N.
func (w *answerWriter) stream(ctx huma.Context) {
	ctx.SetHeader("Content-Type", "text/event-stream")
	ctx.SetHeader("Cache-Control", "no-store")
	ctx.SetHeader("Pomeloweir-Request-Id", string(w.flight.request.ID()))
	flush(ctx)
	reason, err := w.flight.Read(ctx.Context(), w.offset, func(offset int64, tokens []string) error {
		b := w.body("chat.completion.chunk")
		b.Offset = offset
		delta := &chatDelta{
			Content: strings.Join(tokens, ""),
		}
		if offset == 0 {
			// Clients build the message from the first chunk's role.
			delta.Role = "assistant"
		}
		b.Choices = []chatChoice{{
			Delta: delta,
		}}
		return writeEvent(ctx, offset+int64(len(tokens)), b)
	})
	if ctx.Context().Err() != nil {
		return
	}
	b := w.body("chat.completion.chunk")
	b.Offset = w.flight.Status().Tokens
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

func writeEvent(ctx huma.Context, id int64, b chatBody) error {
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

func flush(ctx huma.Context) {
	if rw, ok := ctx.BodyWriter().(http.ResponseWriter); ok {
		rc := http.NewResponseController(rw)
		_ = rc.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		_ = rc.Flush()
	}
}

// whole waits for the end of the answer and writes it as one document.
func (w *answerWriter) whole(ctx huma.Context) {
	ctx.SetHeader("Pomeloweir-Request-Id", string(w.flight.request.ID()))
	var text strings.Builder
	reason, err := w.flight.Read(ctx.Context(), 0, func(_ int64, tokens []string) error {
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
	b := w.body("chat.completion")
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

// usage is nil for a request that another entry runs: its record does not hold
// the length of the prompt, and a length of 0 would be wrong.
func (w *answerWriter) usage() *chatUsage {
	n := w.flight.Status().Tokens
	p := w.flight.request.PromptTokens()
	if p == 0 {
		return nil
	}
	return &chatUsage{
		PromptTokens:     p,
		CompletionTokens: n,
		TotalTokens:      p + n,
	}
}
