package pwupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// memory serves connections in memory with a function for each request.
type memory struct {
	dials  atomic.Int64
	handle func(c net.Conn, r *http.Request)
}

func (m *memory) dial(context.Context, string, string) (net.Conn, error) {
	m.dials.Add(1)
	near, far := net.Pipe()
	go func() {
		br := bufio.NewReader(far)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			m.handle(far, r)
		}
	}()
	return near, nil
}

func newPool(m *memory) *Pool {
	return New(Config{
		Dial: m.dial,
	})
}

// exchange sends a request and gives the connection back.
func exchange(t *testing.T, p *Pool) (string, error) {
	t.Helper()
	c, err := p.Get(t.Context(), "s")
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

func TestReuse(t *testing.T) {
	for name, tc := range map[string]struct {
		head  string
		after string
		pause time.Duration
		dials int64
	}{
		"at once":                    {dials: 1},
		"after the default time":     {pause: 2 * time.Second, dials: 2},
		"within the stated time":     {head: "Keep-Alive: timeout=4\r\n", pause: 3 * time.Second, dials: 1},
		"near the stated end":        {head: "Keep-Alive: timeout=4\r\n", pause: 3700 * time.Millisecond, dials: 2},
		"stated as none":             {head: "Keep-Alive: timeout=0\r\n", dials: 2},
		"the server is leaving":      {head: "Connection: close\r\n", dials: 2},
		"bytes behind the answer":    {after: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", dials: 2},
		"parameters beside the time": {head: "Keep-Alive: max=9, timeout=4\r\n", pause: 3 * time.Second, dials: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &memory{}
				m.handle = func(c net.Conn, _ *http.Request) {
					// The reader may close before it takes what is too much.
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok%s", tc.head, tc.after)
				}
				p := newPool(m)
				defer p.Close()
				for range 2 {
					if body, err := exchange(t, p); err != nil || body != "ok" {
						t.Fatalf("%q, %v", body, err)
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

func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
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
			t.Errorf("%d connections: the rest of a body must not meet another request", dials)
		}
	})
}

func TestVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{
			Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") },
		})
		if _, err := p.Get(t.Context(), "s"); pwverdict.VerdictOf(err) != pwverdict.NotRun {
			t.Errorf("no connection: %v", err)
		}
		for name, answer := range map[string]string{
			"no answer":      "",
			"half a head":    "HTTP/1.1 200 OK\r\nContent-",
			"not HTTP":       "\x00\x01garbage\r\n\r\n",
			"other protocol": "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		} {
			m := &memory{}
			m.handle = func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, answer)
				_ = c.Close()
			}
			p := newPool(m)
			if _, err := exchange(t, p); err == nil || pwverdict.VerdictOf(err) != pwverdict.MayHaveRun {
				t.Errorf("%s: %v", name, err)
			}
			p.Close()
		}
	})
}

func TestEndOfContextEndsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{
			handle: func(net.Conn, *http.Request) {},
		}
		p := newPool(m)
		defer p.Close()
		c, err := p.Get(t.Context(), "s")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, err = c.Do(ctx, &Request{ //nolint:bodyclose // no answer comes
			Method: http.MethodGet,
			Target: "/",
			Header: http.Header{},
		})
		c.Close()
		if err == nil || time.Since(began) != time.Second {
			t.Errorf("%v after %s", err, time.Since(began))
		}
	})
}

func TestProvisionalAnswersAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{}
		m.handle = func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		p := newPool(m)
		defer p.Close()
		if body, err := exchange(t, p); err != nil || body != "ok" {
			t.Errorf("%q, %v", body, err)
		}
	})
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{}
		m.handle = func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n")
		}
		p := newPool(m)
		var conns []*Conn
		for range DefaultMaxIdle + 4 {
			c, err := p.Get(t.Context(), "s")
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, c)
		}
		for _, c := range conns {
			resp, err := c.Do(t.Context(), &Request{ //nolint:bodyclose // without a body
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
		if n := len(p.idle["s"]); n != DefaultMaxIdle {
			t.Errorf("%d idle connections, want %d", n, DefaultMaxIdle)
		}
		time.Sleep(2 * time.Minute)
		p.CloseExpired()
		if n := len(p.idle); n != 0 {
			t.Errorf("%d addresses with expired connections", n)
		}
	})
}
