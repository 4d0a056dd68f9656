package pwengine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// callEarly calls a service which answers when the first bytes of the request have arrived,
// and closes the connection. Writes fail then and reads see a plain end.
func callEarly(t *testing.T, answer string, body []byte) (status int, respBody []byte, err error) {
	t.Helper()
	s, err := pwengine.NewHTTPService("http://10.0.0.1:80", &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				// The client may close the connection at any byte.
				_, _ = far.Read(make([]byte, 10))
				_, _ = io.WriteString(far, answer)
				_ = far.Close()
			}()
			return near, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s.Call(t.Context(), "reserve", "k1", body)
}

// Guards against a part of an answer without a length that is taken as the whole, because its
// server closed the connection while the request was still being written.
func TestUnframedAnswerBeforeRequestWasWritten(t *testing.T) {
	for name, size := range map[string]int{
		"short request": 2,
		"upload":        1 << 20,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				status, body, err := callEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", make([]byte, size))
				if err == nil || pwverdict.VerdictOf(err) != pwverdict.MayHaveRun {
					t.Errorf("the call gives %d, %q and %v, want an error that may have run", status, body, err)
				}
			})
		})
	}
}

// Guards against something with a status that is none, such as 000, which is taken as the result
// of a call.
func TestStatusThatIsNoneIsNoResult(t *testing.T) {
	for _, status := range []string{"000", "+20", "099", "101", "600", "999"} {
		s, err := pwengine.NewHTTPService(listenRaw(t, func(w io.Writer, _ *http.Request, _ int) {
			_, _ = io.WriteString(w, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
		}), nil)
		if err != nil {
			t.Fatal(err)
		}
		got, _, err := s.Call(t.Context(), "reserve", "k1", []byte(`{}`))
		if err == nil || pwverdict.VerdictOf(err) != pwverdict.MayHaveRun {
			t.Errorf("status %s gives %d and %v, want an error that may have run", status, got, err)
		}
	}
}
