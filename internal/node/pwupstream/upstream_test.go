package pwupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// fakeServer accepts in-memory connections and calls handle for each request.
type fakeServer struct {
	dials  atomic.Int64
	handle func(c net.Conn, r *http.Request)
}

func (m *fakeServer) dial(context.Context, string, string) (net.Conn, error) {
	m.dials.Add(1)
	clientEnd, serverEnd := net.Pipe()
	go func() {
		br := bufio.NewReader(serverEnd)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			m.handle(serverEnd, r)
		}
	}()
	return clientEnd, nil
}

func newPool(m *fakeServer) *Pool {
	return New(Config{
		Dial: m.dial,
	})
}

// lastID is the last id that nextID returned.
var lastID atomic.Int64

// nextID returns the id of a further request.
func nextID() string { return strconv.FormatInt(lastID.Add(1), 10) }

// exchange sends a request, reads the whole response and releases the connection.
func exchange(t *testing.T, p *Pool) (string, error) {
	t.Helper()
	c, err := p.Get(t.Context(), "s", nextID())
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(t.Context(), &Request{ //nolint:bodyclose // closed below, after the release
		Method: http.MethodPost,
		Target: "/a",
		Host:   "h",
		Header: http.Header{},
		Body:   []byte("body"),
	})
	if err != nil {
		c.Close()
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Close()
		return "", err
	}
	c.Release(resp)
	return string(body), resp.Body.Close()
}

func TestConnectionReuse(t *testing.T) {
	for name, tc := range map[string]struct {
		extraHeaders  string
		trailingBytes string
		pause         time.Duration
		dials         int64
	}{
		"no pause":                           {dials: 1},
		"idle beyond the default timeout":    {pause: 2 * time.Second, dials: 2},
		"idle within the Keep-Alive timeout": {extraHeaders: "Keep-Alive: timeout=4\r\n", pause: 3 * time.Second, dials: 1},
		"near the Keep-Alive timeout":        {extraHeaders: "Keep-Alive: timeout=4\r\n", pause: 3700 * time.Millisecond, dials: 2},
		"Keep-Alive timeout of zero":         {extraHeaders: "Keep-Alive: timeout=0\r\n", dials: 2},
		"Connection: close":                  {extraHeaders: "Connection: close\r\n", dials: 2},
		"bytes after the response":           {trailingBytes: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", dials: 2},
		"other Keep-Alive parameters":        {extraHeaders: "Keep-Alive: max=9, timeout=4\r\n", pause: 3 * time.Second, dials: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &fakeServer{}
				m.handle = func(c net.Conn, _ *http.Request) {
					// The write may fail: the client may close the connection before
					// it has read the surplus bytes.
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok%s", tc.extraHeaders, tc.trailingBytes)
				}
				p := newPool(m)
				defer p.Close()
				for range 2 {
					if body, err := exchange(t, p); err != nil || body != "ok" {
						t.Fatalf("response is %q with error %v, want \"ok\"", body, err)
					}
					time.Sleep(tc.pause)
				}
				if got := m.dials.Load(); got != tc.dials {
					t.Errorf("%d connections, want %d", got, tc.dials)
				}
			})
		})
	}
}

func TestEarlyResponsePreventsReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		p := New(Config{
			Dial: func(context.Context, string, string) (net.Conn, error) {
				dials++
				near, far := net.Pipe()
				go func() {
					buf := make([]byte, 10)
					if _, err := far.Read(buf); err == nil {
						_, _ = io.WriteString(far, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
					}
				}()
				return near, nil
			},
		})
		defer p.Close()
		for range 2 {
			if _, err := exchange(t, p); err != nil {
				t.Fatal(err)
			}
		}
		if dials != 2 {
			t.Errorf("%d connections, want 2: the unread rest of a body must not precede another request", dials)
		}
	})
}

func TestErrorVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{
			Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") },
		})
		if _, err := p.Get(t.Context(), "s", nextID()); pwverdict.VerdictOf(err) != pwverdict.NotRun {
			t.Errorf("failed dial gives %v, want NotRun", err)
		}
		for name, answer := range map[string]string{
			"no response":       "",
			"incomplete header": "HTTP/1.1 200 OK\r\nContent-",
			"not HTTP":          "\x00\x01garbage\r\n\r\n",
			"switched protocol": "HTTP/1.1 101 Switching Protocols\r\n\r\n",
			"status 000":        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			"status 099":        "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			"status 600":        "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
			"status 999":        "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n",
			"status of 1 digit": "HTTP/1.1 0 X\r\nContent-Length: 0\r\n\r\n",
		} {
			m := &fakeServer{}
			m.handle = func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, answer)
				_ = c.Close()
			}
			p := newPool(m)
			if _, err := exchange(t, p); err == nil || pwverdict.VerdictOf(err) != pwverdict.MayHaveRun {
				t.Errorf("%s gives %v, want MayHaveRun", name, err)
			}
			p.Close()
		}
	})
}

func TestContextDeadlineAbortsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeServer{
			handle: func(net.Conn, *http.Request) {},
		}
		p := newPool(m)
		defer p.Close()
		c, err := p.Get(t.Context(), "s", nextID())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		startedAt := time.Now()
		_, err = c.Do(ctx, &Request{ //nolint:bodyclose // no response is sent
			Method: http.MethodGet,
			Target: "/",
			Header: http.Header{},
		})
		c.Close()
		if err == nil || time.Since(startedAt) != time.Second {
			t.Errorf("request ended with %v after %s, want an error after 1s", err, time.Since(startedAt))
		}
	})
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeServer{}
		m.handle = func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		p := newPool(m)
		defer p.Close()
		if body, err := exchange(t, p); err != nil || body != "ok" {
			t.Errorf("response is %q with error %v, want \"ok\"", body, err)
		}
	})
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeServer{}
		m.handle = func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n")
		}
		p := newPool(m)
		var conns []*Conn
		for range DefaultMaxIdlePerServer + 4 {
			c, err := p.Get(t.Context(), "s", nextID())
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, c)
		}
		for _, c := range conns {
			resp, err := c.Do(t.Context(), &Request{ //nolint:bodyclose // the response has no body
				Method: http.MethodGet,
				Target: "/",
				Header: http.Header{},
			})
			if err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			c.Release(resp)
		}
		if n := len(p.idle["s"]); n != DefaultMaxIdlePerServer {
			t.Errorf("%d idle connections, want %d", n, DefaultMaxIdlePerServer)
		}
		time.Sleep(2 * time.Minute)
		p.CloseExpired()
		if n := len(p.idle); n != 0 {
			t.Errorf("%d addresses with idle connections after the idle timeout, want 0", n)
		}
	})
}

// A response that a server writes once more can't be told from the one that is due if both have
// the same id, or none.
func TestConnectionCarriesNoIDTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeServer{}
		m.handle = func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n")
		}
		p := newPool(m)
		defer p.Close()
		for _, step := range []struct {
			id     string
			reused bool
		}{{"a", false}, {"b", true}, {"a", false}, {"c", true}, {"", false}, {"", false}, {"d", true}} {
			c, err := p.Get(t.Context(), "s", step.id)
			if err != nil {
				t.Fatal(err)
			}
			if c.Reused() != step.reused {
				t.Errorf("the connection for %q is reused: %t, want %t", step.id, c.Reused(), step.reused)
			}
			resp, err := c.Do(t.Context(), &Request{ //nolint:bodyclose // the response has no body
				Method: http.MethodGet,
				Target: "/",
				Header: http.Header{},
			})
			if err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			c.Release(resp)
		}
	})
}
