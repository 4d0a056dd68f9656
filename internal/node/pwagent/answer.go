package pwagent

import (
	"context"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// answer holds the tokens of a request while one attempt generates them and for
// the retention time after that. Readers stream it from any offset.
type answer struct {
	requestID     pwrequest.ID
	attemptID     pwrequest.AttemptID
	attemptNumber int64 // as numbered by the entry
	owner         pwrequest.InstanceID
	workspace     pwrequest.WorkspaceID

	mu         sync.Mutex
	baseOffset int64 // offset of tokens[0]
	tokens     []string
	tokenBytes int64
	outcome    *pwrpc.Ended // nil while the attempt runs
	endedAt    time.Time
	changed    chan struct{} // closed and replaced when tokens are added or the answer ends
}

// newAnswer returns an answer that starts with the tokens which earlier attempts
// have generated.
func newAnswer(requestID pwrequest.ID, attemptID pwrequest.AttemptID, workspace pwrequest.WorkspaceID, givenTokens []string) *answer {
	n := &answer{
		requestID: requestID,
		attemptID: attemptID,
		workspace: workspace,
		changed:   make(chan struct{}),
	}
	n.append(givenTokens)
	return n
}

// append adds tokens unless the answer has ended.
func (n *answer) append(tokens []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.outcome != nil {
		return
	}
	n.tokens = append(n.tokens, tokens...)
	for _, t := range tokens {
		n.tokenBytes += int64(len(t))
	}
	n.notifyReaders()
}

// end sets the outcome. Only the first call has an effect.
func (n *answer) end(now time.Time, e *pwrpc.Ended) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.outcome != nil {
		return
	}
	e.TotalTokens = n.baseOffset + int64(len(n.tokens))
	n.outcome = e
	n.endedAt = now
	n.notifyReaders()
}

// notifyReaders wakes all waiting readers. The caller holds n.mu.
func (n *answer) notifyReaders() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// size returns the bytes of all tokens.
func (n *answer) size() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tokenBytes
}

// endTime returns when the answer ended, or false while it runs.
func (n *answer) endTime() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endedAt, n.outcome != nil
}

// readFrom returns the tokens from offset on. If there are none, it returns the
// outcome, which is nil while the attempt runs, and a channel that is closed on the
// next change.
func (n *answer) readFrom(offset int64) ([]string, *pwrpc.Ended, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i := offset - n.baseOffset; i >= 0 && i < int64(len(n.tokens)) {
		return n.tokens[i:len(n.tokens):len(n.tokens)], nil, nil
	}
	return nil, n.outcome, n.changed
}

// maxTokensPerEvent bounds the tokens in one message of the answer stream.
const maxTokensPerEvent = 1024

// stream sends the answer from offset on until the answer or ctx ends.
func (n *answer) stream(ctx context.Context, offset int64, send SendFunc) error {
	for {
		tokens, outcome, changed := n.readFrom(offset)
		switch {
		case len(tokens) > 0:
			tokens = tokens[:min(len(tokens), maxTokensPerEvent)]
			if err := send(n.newEvent(&pwrpc.AnswerEvent_Tokens{
				Tokens: &pwrpc.Tokens{
					Offset: offset,
					Tokens: tokens,
				},
			})); err != nil {
				return err
			}
			offset += int64(len(tokens))
		case outcome != nil:
			return send(n.newEvent(&pwrpc.AnswerEvent_Ended{
				Ended: outcome,
			}))
		default:
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// newEvent wraps an event with the IDs of the request and the attempt.
func (n *answer) newEvent(e any) *pwrpc.AnswerEvent {
	ev := &pwrpc.AnswerEvent{
		RequestId: string(n.requestID),
		AttemptId: string(n.attemptID),
	}
	switch e := e.(type) {
	case *pwrpc.AnswerEvent_Accepted:
		ev.Event = e
	case *pwrpc.AnswerEvent_Tokens:
		ev.Event = e
	case *pwrpc.AnswerEvent_Ended:
		ev.Event = e
	}
	return ev
}

// answerStore holds the answers of one agent by request. Ended answers are bounded
// in bytes and time.
type answerStore struct {
	retention time.Duration
	maxBytes  int64

	mu        sync.Mutex
	byRequest map[pwrequest.ID]*answer
}

func newAnswerStore(retention time.Duration, maxBytes int64) *answerStore {
	return &answerStore{
		retention: retention,
		maxBytes:  maxBytes,
		byRequest: map[pwrequest.ID]*answer{},
	}
}

func (s *answerStore) put(n *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byRequest[n.requestID] = n
}

func (s *answerStore) get(id pwrequest.ID) (*answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.byRequest[id]
	return n, ok
}

func (s *answerStore) setRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = d
}

// evict removes ended answers past their retention, and then the oldest ended ones
// while all answers together exceed maxBytes.
func (s *answerStore) evict(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total int64
	for id, n := range s.byRequest {
		if at, ended := n.endTime(); ended && now.Sub(at) > s.retention {
			delete(s.byRequest, id)
			continue
		}
		total += n.size()
	}
	for total > s.maxBytes {
		oldest := s.oldestEnded()
		if oldest == nil {
			return
		}
		total -= oldest.size()
		delete(s.byRequest, oldest.requestID)
	}
}

// oldestEnded returns the ended answer that ended first. The caller holds s.mu.
func (s *answerStore) oldestEnded() *answer {
	var oldest *answer
	var oldestAt time.Time
	for _, n := range s.byRequest {
		at, ended := n.endTime()
		if ended && (oldest == nil || at.Before(oldestAt)) {
			oldest, oldestAt = n, at
		}
	}
	return oldest
}
