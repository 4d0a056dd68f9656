package pwgateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwholding"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwupstream"
)

// maxEventBytes limits the size of one event of a stream, together with the blank lines
// and comments before it. It covers the largest event several times over, and a process
// can hold one for each of its streams.
const maxEventBytes = 64 << 10

// event is one server-sent event of a stream, with its bytes as received.
type event struct {
	raw []byte
	id  string
	// hasField is set if there is a field that belongs to an event, malformed if there is
	// a line without a colon that is none.
	hasField  bool
	malformed bool
}

// eventFields are the names of the fields of server-sent events. Others, which the platform
// may add, stand beside at least one of them.
var eventFields = []string{"data", "id", "event", "retry"}

// addLine records a line that is neither blank nor a comment.
func (e *event) addLine(text []byte) {
	name, value, hasColon := bytes.Cut(text, []byte(":"))
	isField := slices.Contains(eventFields, string(name))
	e.hasField = e.hasField || isField
	e.malformed = e.malformed || !isField && !hasColon
	if hasColon && string(name) == "id" {
		e.id = string(bytes.TrimSpace(value))
	}
}

// isValid reports whether the bytes are an event, and not, for example, the text of an error
// or the head of another response.
func (e event) isValid() bool { return e.hasField && !e.malformed }

// begun reports whether the bytes hold more than complete comments and blank lines.
func (e event) begun() bool {
	for line := range bytes.Lines(e.raw) {
		text := bytes.TrimSpace(line)
		if len(text) > 0 && (text[0] != ':' || !bytes.HasSuffix(line, []byte("\n"))) {
			return true
		}
	}
	return false
}

// errEventOrder is returned when a stream skips events.
var errEventOrder = errors.New("the stream does not continue after the last delivered event")

// errMalformedEvent is returned when a stream holds something that is no event.
var errMalformedEvent = errors.New("the stream holds bytes that are no event")

// errEventWithoutID is returned for an event without an id after events with ids.
var errEventWithoutID = errors.New("an event has no id, but those before it have")

// errNoEvents is returned for a stream without any event that ended with its connection.
// Nothing shows that its server had finished it.
var errNoEvents = errors.New("the connection ended before the first event")

// errUnread is returned for a stream whose caller does not read it.
var errUnread = errors.New("the caller does not read the stream")

const (
	// freeEventBytes is the part of an event that requestOverheadBytes covers.
	freeEventBytes = 4 << 10
	// writeStepBytes is the size of the parts in which a large event is written. Each of
	// them shows that the caller reads.
	writeStepBytes = 4 << 10
)

// eventReader reads the events of a stream.
type eventReader struct {
	br *bufio.Reader
	// held accounts for reserved bytes beyond freeEventBytes.
	held     *pwholding.Holder
	reserved int64
}

// reserve reserves the memory for an event of n bytes.
func (r *eventReader) reserve(n int) error {
	missing := int64(n) - freeEventBytes - r.reserved
	if missing <= 0 {
		return nil
	}
	missing = (missing + freeEventBytes - 1) / freeEventBytes * freeEventBytes
	if err := r.held.Acquire(pwholding.Events, missing); err != nil {
		return err
	}
	r.reserved += missing
	return nil
}

// release releases the memory of an event that has been written.
func (r *eventReader) release() {
	if r.reserved > 0 {
		r.held.Release(pwholding.Events, r.reserved)
		r.reserved = 0
	}
}

// read reads up to the blank line that ends an event. Blank lines and comments
// before an event are returned with it. At the end of the stream it returns io.EOF and
// the bytes that were left.
func (r *eventReader) read() (event, error) {
	var ev event
	hasLine, lineStart := false, 0
	for {
		part, err := r.br.ReadSlice('\n')
		if full := r.reserve(len(ev.raw) + len(part)); full != nil {
			return ev, full
		}
		ev.raw = append(ev.raw, part...)
		if len(ev.raw) > maxEventBytes {
			return ev, fmt.Errorf("an event exceeds %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return ev, err
		}
		text := bytes.TrimRight(ev.raw[lineStart:], "\r\n")
		lineStart = len(ev.raw)
		if len(text) == 0 {
			if hasLine {
				return ev, nil
			}
			continue
		}
		if text[0] != ':' {
			hasLine = true
			ev.addLine(text)
		}
	}
}

// checkEventOrder reports whether the event id directly follows the last one, or
// whether it repeats one that was delivered. Ids that are missing or not numeric
// count as following.
func checkEventOrder(last, id string) (next, repeated bool) {
	if last == "" || id == "" {
		return true, false
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	if errA != nil || errB != nil {
		return true, false
	}
	return b == a+1, b <= a
}

// deliverStream delivers events as they arrive. It delivers only complete events, so
// that another server can resume the stream after the last one.
func (s *send) deliverStream(resp *http.Response) (bool, error) {
	x := s.x
	br := bufio.NewReader(resp.Body)
	events := &eventReader{
		br:   br,
		held: x.held,
	}
	defer events.release()
	for {
		events.release()
		ev, err := events.read()
		var full *pwholding.FullError
		if errors.As(err, &full) {
			// The server is not to blame.
			return false, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseQueueFull, "relaying an event of %s", s.plan.Server.ID)
		}
		if errors.Is(err, io.EOF) && !ev.begun() {
			if x.eventCount == s.eventsBefore && !pwupstream.IsDelimited(resp) {
				return s.handleBrokenStream(errNoEvents)
			}
			return s.finishStream(resp, ev.raw)
		}
		if err != nil {
			return s.handleBrokenStream(err)
		}
		if err := x.checkEvent(ev); err != nil {
			return s.handleBrokenStream(err)
		}
		x.g.dispatcher.recordActivity(s.plan.Server.ID)
		next, repeated := checkEventOrder(x.lastEventID, ev.id)
		if repeated {
			continue
		}
		if !next {
			return s.handleBrokenStream(errEventOrder)
		}
		if x.firstEventAt.IsZero() || !s.assignment.PrefillEnded() {
			s.recordFirstEvent()
		}
		if !x.headWritten {
			s.writeHead(resp)
		}
		gap := x.recordGap()
		if err := s.writeStream(ev.raw, br.Buffered() == 0 || !hasBufferedEvent(br)); err != nil {
			return false, err
		}
		if ev.id != "" {
			x.lastEventID = ev.id
		}
		x.eventCount++
		if s.gaps.add(gap) && s.shouldLeaveSlowServer(s.gaps.shortest()) {
			return s.leaveSlowServer()
		}
	}
}

// writeStream writes a part of a stream to the caller and flushes it if flush is set. While
// the caller does not read, nothing more is read from the server, which must not be taken for
// a silent or slow one then.
func (s *send) writeStream(p []byte, flush bool) error {
	x := s.x
	s.watchdog.pause()
	defer s.watchdog.resume()
	defer func() { x.lastEventAt = time.Now() }()
	for first := true; first || len(p) > 0; first = false {
		x.conn.extendWriteDeadline(x.unreadDeadline())
		n := min(len(p), writeStepBytes)
		if _, err := x.w.Write(p[:n]); err != nil {
			return x.newWriteError(err)
		}
		p = p[n:]
	}
	if !flush {
		return nil
	}
	if err := x.conn.rc.Flush(); err != nil {
		return x.newWriteError(err)
	}
	return nil
}

// unreadDeadline returns the time by which the caller must have read what is written now.
func (x *exchange) unreadDeadline() time.Time {
	latest := x.deadline.Add(writeGrace)
	if t := time.Now().Add(x.g.cfg.Policy.SlowReaders.UnreadTimeout); t.Before(latest) {
		return t
	}
	return latest
}

// newWriteError returns the error for a stream that can't be written to the caller.
func (x *exchange) newWriteError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && !x.g.shutdown.isOver() {
		err = fmt.Errorf("%w: %w", errUnread, err)
	}
	return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseCancelled, "writing to the caller")
}

// checkEvent returns why an event must not be delivered, or nil. Its order is not checked.
func (x *exchange) checkEvent(ev event) error {
	switch {
	case !ev.isValid():
		return errMalformedEvent
	case ev.id == "" && x.lastEventID != "":
		return errEventWithoutID
	}
	return nil
}

// continuesStream reports whether a response may continue the stream whose head the caller
// already has: a success of the same media type.
func (x *exchange) continuesStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && mediaType(resp.Header) == mediaType(x.w.Header())
}

func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// recordGap records and returns the time between the last event and this one.
func (x *exchange) recordGap() time.Duration {
	now := time.Now()
	var gap time.Duration
	if !x.lastEventAt.IsZero() {
		gap = now.Sub(x.lastEventAt)
		x.maxGap = max(x.maxGap, gap)
	}
	x.lastEventAt = now
	return gap
}

// hasBufferedEvent reports whether another complete event is buffered.
func hasBufferedEvent(br *bufio.Reader) bool {
	// Peek can't fail here: it returns buffered bytes and reads nothing.
	b, _ := br.Peek(br.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\r\n\r\n"))
}

// writeHead writes the status and headers of the response, which come from the first
// server that streams.
func (s *send) writeHead(resp *http.Response) {
	x := s.x
	x.headWritten = true
	limitUnsent(x.r.Context())
	if !x.canChunk() {
		resetOnClose(x.r.Context(), true)
	}
	copyHeaders(x.w.Header(), resp.Header)
	x.writeStatus(resp.StatusCode, x.deadline.Add(writeGrace))
}

// recordFirstEvent records that the server has finished the prefill.
func (s *send) recordFirstEvent() {
	x := s.x
	if x.firstEventAt.IsZero() {
		x.firstEventAt = time.Now()
		x.g.obs.ObserveDuration("first_event_"+sizeClass(s.plan), x.firstEventAt.Sub(x.arrivedAt))
		x.countFirstEvent(s.plan)
	}
	x.g.dispatcher.withFleet(func(_ time.Time, f *pwfleet.Fleet) {
		s.assignment.EndPrefill()
		f.RecordSuccess(s.plan.Server.ID)
	})
}

// sizeClass returns the part of a metric's name for the length of the prompt.
func sizeClass(p pwfleet.Plan) string {
	if p.Short {
		return "short"
	}
	return "long"
}

// finishStream ends an exchange whose stream is complete. rest holds what followed the
// last event.
func (s *send) finishStream(resp *http.Response, rest []byte) (bool, error) {
	x := s.x
	if !x.headWritten {
		// A stream without any event is complete when its server ends it.
		s.writeHead(resp)
	}
	if err := s.writeStream(rest, !x.canChunk()); err != nil {
		return false, err
	}
	if !x.canChunk() {
		resetOnClose(x.r.Context(), false)
	}
	s.releaseConn(resp)
	if x.eventCount > s.eventsBefore {
		x.g.crashes.recordAnswer(s.plan.Server, x.sharedParts)
	}
	x.logStatus("answered", resp.StatusCode, nil)
	return false, nil
}

// handleBrokenStream handles a stream that failed before its end.
func (s *send) handleBrokenStream(err error) (bool, error) {
	return s.handleFailure(pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseEngineFailed,
		"the stream of %s broke after %d events", s.plan.Server.ID, s.x.eventCount), pwfleet.FailureReset)
}
