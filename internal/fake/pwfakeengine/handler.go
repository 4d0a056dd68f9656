package pwfakeengine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// maxBodyBytes bounds a request body; a prompt of 1,000,000 tokens is about
// 6 MB of text.
const maxBodyBytes = 64 << 20

// Handler serves the engine over HTTP on the paths of package pwengine. A crash aborts
// the connections of running requests, as the end of a process would.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pwengine.PathCompletions, e.serveCompletion)
	mux.HandleFunc("POST "+pwengine.PathSegments, handleJSON(func(r *http.Request, s pwengine.Segment) (any, error) {
		handle, err := e.PrefillSegment(r.Context(), s)
		return pwengine.SegmentResponse{
			Handle: handle,
		}, err
	}))
	mux.HandleFunc("DELETE "+pwengine.PathKV+"{handle}", func(w http.ResponseWriter, r *http.Request) {
		writeResult(w, nil, e.DropKV(r.Context(), r.PathValue("handle")))
	})
	mux.HandleFunc("POST "+pwengine.PathOrders, handleJSON(func(r *http.Request, o pwengine.Order) (any, error) {
		return nil, e.Order(r.Context(), o)
	}))
	mux.HandleFunc("GET "+pwengine.PathLoad, func(w http.ResponseWriter, r *http.Request) {
		load, err := e.Load(r.Context())
		writeResult(w, load, err)
	})
	mux.HandleFunc("GET "+PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		events, err := e.CacheEvents(r.Context(), after)
		writeResult(w, events, err)
	})
	mux.HandleFunc("POST "+pwengine.PathReset, func(w http.ResponseWriter, r *http.Request) {
		writeResult(w, nil, e.Reset(r.Context()))
	})
	return mux
}

// PathCacheEvents is the path that lists the cache events after the sequence number in
// the query parameter "after".
const PathCacheEvents = "/v1/cache/events"

// handleJSON decodes a JSON body, calls f and responds with its result or error.
func handleJSON[T any](f func(r *http.Request, body T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
			writeResult(w, nil, bodyError(err))
			return
		}
		result, err := f(r, body)
		writeResult(w, result, err)
	}
}

// serveCompletion runs an attempt and responds with a stream of server-sent events or, if
// the request does not ask for a stream, with one JSON object.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body pwengine.CompletionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeResult(w, nil, bodyError(err))
		return
	}
	if !body.Stream {
		e.serveWhole(w, r, body)
		return
	}
	rc := http.NewResponseController(w)
	started := false
	send := func(data []byte) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
			w.WriteHeader(http.StatusOK)
		}
		for _, part := range [][]byte{[]byte("data: "), data, []byte("\n\n")} {
			if _, err := w.Write(part); err != nil {
				return err
			}
		}
		return rc.Flush()
	}
	chunk := pwengine.CompletionChunk{
		ID:     string(body.AttemptID),
		Object: "text_completion",
		Model:  string(body.Model),
	}
	finish, err := e.Generate(r.Context(), body.Generation, func(tokens []string) error {
		chunk.Choices = []pwengine.CompletionChoice{{
			Text:   strings.Join(tokens, ""),
			Tokens: tokens,
		}}
		data, err := json.Marshal(chunk)
		if err != nil {
			return err
		}
		return send(data)
	})
	if err != nil {
		if started || pwverdict.VerdictOf(err) != pwverdict.NotRun {
			panic(http.ErrAbortHandler) // aborts the connection
		}
		writeResult(w, nil, err)
		return
	}
	chunk.Choices = []pwengine.CompletionChoice{{
		FinishReason: finish.Reason,
	}}
	chunk.Usage = usageOf(body.Generation, finish)
	data, err := json.Marshal(chunk)
	if err == nil && send(data) == nil {
		_ = send([]byte(pwengine.StreamEnd))
	}
}

// serveWhole runs an attempt and responds with one JSON object when it has finished.
func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, body pwengine.CompletionRequest) {
	var tokens []string
	finish, err := e.Generate(r.Context(), body.Generation, func(t []string) error {
		tokens = append(tokens, t...)
		return nil
	})
	writeResult(w, pwengine.CompletionChunk{
		ID:     string(body.AttemptID),
		Object: "text_completion",
		Model:  string(body.Model),
		Choices: []pwengine.CompletionChoice{{
			Text:         strings.Join(tokens, ""),
			Tokens:       tokens,
			FinishReason: finish.Reason,
		}},
		Usage: usageOf(body.Generation, finish),
	}, err)
}

func usageOf(g pwengine.Generation, f pwengine.Finish) *pwengine.CompletionUsage {
	return &pwengine.CompletionUsage{
		PromptTokens:     g.PromptTokens,
		CompletionTokens: f.TotalTokens,
		CachedTokens:     f.CachedTokens,
	}
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "body is larger than %d bytes", tooLarge.Limit)
	}
	return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "body is not valid JSON")
}

// writeResult writes a result or an error. If the engine has crashed, it aborts the connection
// without a response.
func writeResult(w http.ResponseWriter, result any, err error) {
	if err == nil && result == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	status := http.StatusOK
	if err != nil {
		if pwverdict.CauseOf(err) == pwverdict.CauseEngineFailed {
			panic(http.ErrAbortHandler)
		}
		status = statusOf(err)
		result = pwengine.ErrorResponse{
			Error: pwengine.ErrorBodyOf(err),
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(result)
}

func statusOf(err error) int {
	switch pwverdict.CauseOf(err) {
	case pwverdict.CauseBadRequest:
		return http.StatusBadRequest
	case pwverdict.CauseNotFound:
		return http.StatusNotFound
	case pwverdict.CauseStaleFence, pwverdict.CauseConflict:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}
