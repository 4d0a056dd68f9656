package pwupstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// maxTakenBytes bounds what may be read of a response without an end: the bound on its
// head or on its discarded body, and the buffers on the way.
const maxTakenBytes = 64 << 10

// endlessServer answers each request with start and then with repeat, without end, until
// its connection is closed. It counts the bytes that were taken from it.
type endlessServer struct {
	start, repeat string
	// pause is the time before each repetition.
	pause  time.Duration
	taken  atomic.Int64
	closed atomic.Bool
}

func (s *endlessServer) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	go s.loopWrite(serverEnd)
	return clientEnd, nil
}

func (s *endlessServer) loopWrite(c net.Conn) {
	defer s.closed.Store(true)
	buf := make([]byte, 4<<10)
	if _, err := c.Read(buf); err != nil {
		return
	}
	next := s.start
	for {
		n, err := io.WriteString(c, next)
		s.taken.Add(int64(n))
		if err != nil {
			return
		}
		next = s.repeat
		time.Sleep(s.pause)
	}
}

// requestEndless sends one request and, if a response arrives, drains its body.
func requestEndless(t *testing.T, s *endlessServer) error {
	t.Helper()
	p := New(Config{
		Dial: s.dial,
	})
	defer p.Close()
	c, err := p.Get(t.Context(), "s")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, &Request{ //nolint:bodyclose // the connection is closed instead
		Method: http.MethodGet,
		Target: "/",
		Header: http.Header{},
	})
	if err != nil {
		return err
	}
	return c.Drain(resp)
}

// A faulty server may send bytes without end, at any place of a response. They must not
// fill the memory of the process.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, s := range map[string]*endlessServer{
		"status line":             {start: "HTTP/1.1 200 ", repeat: strings.Repeat("x", 512)},
		"bytes that are not HTTP": {start: "", repeat: strings.Repeat("x", 512)},
		"header field":            {start: "HTTP/1.1 200 OK\r\nX-A: ", repeat: strings.Repeat("x", 512)},
		"header fields":           {start: "HTTP/1.1 200 OK\r\n", repeat: "X-A: b\r\n"},
		"informational responses": {start: "", repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"informational fields":    {start: "HTTP/1.1 103 Early Hints\r\n", repeat: "Link: </a>\r\n"},
		"body without a length":   {start: "HTTP/1.1 200 OK\r\n\r\n", repeat: strings.Repeat("x", 512)},
		"chunks":                  {start: chunked, repeat: "4\r\nabcd\r\n"},
		"chunk size":              {start: chunked, repeat: strings.Repeat("0", 512)},
		"chunk extension":         {start: chunked + "4;a=", repeat: strings.Repeat("x", 512)},
		"chunk extensions":        {start: chunked, repeat: "1;a=" + strings.Repeat("x", 1024) + "\r\nb\r\n"},
		"trailer":                 {start: chunked + "0\r\n", repeat: "X-A: b\r\n"},
		"trailer field":           {start: chunked + "0\r\nX-A: ", repeat: strings.Repeat("x", 512)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				err := requestEndless(t, s)
				if err == nil {
					t.Fatal("a response without an end was accepted")
				}
				if v := pwverdict.VerdictOf(err); v != pwverdict.MayHaveRun {
					t.Errorf("the verdict is %v, want may_have_run: %v", v, err)
				}
				synctest.Wait()
				if got := s.taken.Load(); got > maxTakenBytes {
					t.Errorf("%d bytes were read, want at most %d", got, maxTakenBytes)
				}
				if !s.closed.Load() {
					t.Error("the connection is still open")
				}
				if d := time.Since(startedAt); d > drainTimeout {
					t.Errorf("the response was cut off after %s, want at once", d)
				}
			})
		})
	}
}

// A discarded body may also come slowly.
func TestDrainIsBoundedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &endlessServer{
			start:  "HTTP/1.1 503 Full\r\n\r\n",
			repeat: "x",
			pause:  50 * time.Millisecond,
		}
		startedAt := time.Now()
		if err := requestEndless(t, s); err == nil || time.Since(startedAt) != drainTimeout {
			t.Errorf("draining ended with %v after %s, want an error after %s", err, time.Since(startedAt), drainTimeout)
		}
		time.Sleep(s.pause)
		synctest.Wait()
		if !s.closed.Load() {
			t.Error("the connection is still open")
		}
	})
}
