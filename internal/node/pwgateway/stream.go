package pwgateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// event is one event of a stream with all its bytes.
type event struct {
	raw []byte
	id  string
}

// errOrder is returned when a stream does not go on after the last event.
var errOrder = errors.New("the stream does not go on where it stopped")

// readEvent reads up to the blank line that ends an event. It returns io.EOF
// at the end of the stream, with what was left.
func readEvent(br *bufio.Reader) (event, error) {
	var ev event
	for {
		line, err := br.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return ev, errors.New("an event is too large")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// follows reports whether an event comes after the last one. Ids that are not
// numbers say nothing.
func follows(last, id string) (next, repeated bool) {
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

// stream delivers events as they arrive. Only whole events are delivered, so
// that another server can go on after the last one.
func (s *send) stream(resp *http.Response) (bool, error) {
	x := s.x
	br := bufio.NewReader(resp.Body)
	rc := http.NewResponseController(x.w)
	for {
		ev, err := readEvent(br)
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.raw)) == 0 {
			return s.streamEnded(resp)
		}
		if err != nil {
			return s.streamBroken(err)
		}
		x.g.dispatch.heard(s.plan.Server.ID)
		next, repeated := follows(x.lastEvent, ev.id)
		if repeated {
			continue
		}
		if !next {
			return s.streamBroken(errOrder)
		}
		if x.firstAt.IsZero() || !s.booking.PrefillEnded() {
			s.firstEvent()
		}
		if !x.started {
			s.begin(resp, rc)
		}
		if _, err := x.w.Write(ev.raw); err != nil {
			return false, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseCancelled, "writing to the caller")
		}
		if ev.id != "" {
			x.lastEvent = ev.id
		}
		x.events++
		s.dog.heard()
		if s.pauses.add(x.noteGap()) && s.leavesSlow(s.pauses.shortest()) {
			return s.leaveSlow()
		}
		if br.Buffered() > 0 && completeEvent(br) {
			continue
		}
		if err := rc.Flush(); err != nil {
			return false, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseCancelled, "writing to the caller")
		}
	}
}

// noteGap notes and returns the pause before an event.
func (x *exchange) noteGap() time.Duration {
	now := time.Now()
	var gap time.Duration
	if !x.eventAt.IsZero() {
		gap = now.Sub(x.eventAt)
		x.maxGap = max(x.maxGap, gap)
	}
	x.eventAt = now
	return gap
}

// completeEvent reports whether another whole event is buffered.
func completeEvent(br *bufio.Reader) bool {
	// Peeking at what is buffered reads nothing and can't fail.
	b, _ := br.Peek(br.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\r\n\r\n"))
}

// begin delivers the head of the first server's answer.
func (s *send) begin(resp *http.Response, rc *http.ResponseController) {
	x := s.x
	x.started = true
	copyHeader(x.w.Header(), resp.Header)
	if x.g.stopping.Load() {
		x.w.Header().Set("Connection", "close")
	}
	if err := rc.SetWriteDeadline(x.deadline.Add(writeGrace)); err != nil {
		x.g.obs.Count("write_deadline_errors", 1)
	}
	x.w.WriteHeader(resp.StatusCode)
}

// firstEvent notes that the prompt has been read.
func (s *send) firstEvent() {
	x := s.x
	if x.firstAt.IsZero() {
		x.firstAt = time.Now()
		x.g.obs.Observe("first_event_"+sizeClass(s.plan), x.firstAt.Sub(x.arrived))
	}
	x.g.dispatch.with(func(_ time.Time, f *pwfleet.Fleet) {
		s.booking.EndPrefill()
		f.RecordSuccess(s.plan.Server.ID)
	})
}

func sizeClass(p pwfleet.Plan) string {
	if p.Short {
		return "short"
	}
	return "long"
}

func (s *send) streamEnded(resp *http.Response) (bool, error) {
	x := s.x
	if !x.started {
		// A stream without events is complete when its server says so.
		s.begin(resp, http.NewResponseController(x.w))
	}
	s.release(resp)
	x.logStatus("answered", resp.StatusCode, nil)
	return false, nil
}

func (s *send) streamBroken(err error) (bool, error) {
	return s.lost(pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseEngineFailed,
		"the stream of %s broke after %d events", s.plan.Server.ID, s.x.events), pwfleet.FailureReset)
}
