package pwengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// errNoProgress is returned for a stream that sends too much without any token. An engine
// would otherwise hold its attempt until the deadline with comments or empty events.
var errNoProgress = fmt.Errorf("more than %d bytes of the stream hold no token", maxEventBytes)

// eventReader reads the data fields of server-sent events. It ignores other fields.
type eventReader struct {
	lines *bufio.Scanner
	// maxBytes bounds a line, and the lines since the last call of recordProgress.
	maxBytes int
	// idleBytes is the size of the lines since the last call of recordProgress.
	idleBytes int
}

func newEventReader(r io.Reader, maxBytes int) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxBytes)
	return &eventReader{
		lines:    lines,
		maxBytes: maxBytes,
	}
}

// recordProgress records that the last event was of use.
func (r *eventReader) recordProgress() { r.idleBytes = 0 }

// next returns the data of the next event, or io.EOF at the end of the input.
// The bytes are valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	for r.lines.Scan() {
		if r.idleBytes += len(r.lines.Bytes()) + len("\n"); r.idleBytes > r.maxBytes {
			return nil, errNoProgress
		}
		if data, ok := bytes.CutPrefix(r.lines.Bytes(), []byte("data:")); ok {
			return bytes.TrimPrefix(data, []byte(" ")), nil
		}
	}
	if err := r.lines.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}

// completionStream reads the events of one completion.
type completionStream struct {
	events      *eventReader
	maxTokens   int64 // maximum of totalTokens
	totalTokens int64 // tokens so far, including GivenTokens
	// textBytes is the size of the tokens of this attempt.
	textBytes int64
	finish    Finish
	// begun is set once the stream has had tokens.
	begun bool
}

// read passes tokens to emit until the StreamEnd event.
func (s *completionStream) read(emit func(tokens []string) error) (Finish, error) {
	for {
		data, err := s.events.next()
		if err != nil {
			return Finish{}, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseEngineFailed,
				"stream ended prematurely after %d tokens", s.totalTokens)
		}
		if string(data) == StreamEnd {
			return s.complete()
		}
		var chunk CompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return Finish{}, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseInternal, "event is not valid JSON")
		}
		if err := s.handleChunk(chunk, emit); err != nil {
			return Finish{}, err
		}
	}
}

// handleChunk records the usage and finish reason of a chunk and emits its tokens.
func (s *completionStream) handleChunk(chunk CompletionChunk, emit func(tokens []string) error) error {
	if chunk.Error != nil {
		err := chunk.Error.Err()
		if s.begun && pwverdict.VerdictOf(err) == pwverdict.NotRun {
			return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseEngineFailed, "the stream has begun, but ended as not run")
		}
		return err
	}
	if chunk.Usage != nil {
		s.finish.TotalTokens = chunk.Usage.CompletionTokens
		s.finish.CachedTokens = chunk.Usage.CachedTokens
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != "" {
			s.finish.Reason = choice.FinishReason
		}
		tokens := choice.Tokens
		if len(tokens) == 0 && choice.Text != "" {
			tokens = []string{choice.Text}
		}
		if len(tokens) == 0 {
			continue
		}
		s.begun = true
		s.totalTokens += int64(len(tokens))
		if s.totalTokens > s.maxTokens {
			return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInternal,
				"engine sent %d tokens, at most %d were requested", s.totalTokens, s.maxTokens)
		}
		s.textBytes += lo.SumBy(tokens, func(token string) int64 { return int64(len(token)) })
		if limit := s.maxTextBytes(); s.textBytes > limit {
			return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInternal,
				"engine sent more than %d bytes of text for at most %d tokens", limit, s.maxTokens)
		}
		s.events.recordProgress()
		if err := emit(tokens); err != nil {
			return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseCancelled, "passing on tokens failed")
		}
	}
	return nil
}

const (
	// maxMeanTokenBytes is the largest mean size of the tokens of a completion.
	maxMeanTokenBytes = 64
	// minTextBytes is the text that a completion may have however few tokens it may have.
	minTextBytes = 64 << 10
)

// maxTextBytes bounds the text of the completion, which the agent and the entry keep.
func (s *completionStream) maxTextBytes() int64 { return minTextBytes + maxMeanTokenBytes*s.maxTokens }

// complete returns the finish of a stream, or an error if the stream is incomplete.
func (s *completionStream) complete() (Finish, error) {
	if s.finish.Reason == "" || s.finish.TotalTokens != s.totalTokens {
		return Finish{}, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInternal,
			"stream ended with finish reason %q and %d tokens, its usage states %d", s.finish.Reason, s.totalTokens, s.finish.TotalTokens)
	}
	return s.finish, nil
}
