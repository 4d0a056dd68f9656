package pwgateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
)

// Guards against a success with an empty or short body for a response whose server stopped
// within the head, or at any later byte, and closed its connection.
func TestCutResponseIsNoSuccess(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: seal\r\n"
		events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
	)
	for name, tc := range map[string]struct {
		path     string
		response string
		other    func(net.Conn, *http.Request)
		status   int
		body     string
	}{
		"unsafe, with a length":    {path: "/book/1", response: head + "Content-Length: 16\r\n\r\nbooked, number 7", other: respond(200, "", "booked"), status: http.StatusBadGateway},
		"unsafe, in chunks":        {path: "/book/1", response: head + "Transfer-Encoding: chunked\r\n\r\n10\r\nbooked, number 7\r\n0\r\n\r\n", other: respond(200, "", "booked"), status: http.StatusBadGateway},
		"unsafe, without a length": {path: "/book/1", response: head + "\r\n", other: respond(200, "", "booked"), status: http.StatusBadGateway},
		"safe, with a length":      {path: "/view/1", response: head + "Content-Length: 16\r\n\r\nbooked, number 7", other: respond(200, "", "view"), status: http.StatusOK, body: "view"},
		"safe, without a length":   {path: "/view/1", response: head + "\r\n", other: respond(200, "", "view"), status: http.StatusOK, body: "view"},
		"stream, in chunks":        {path: "/note/1", response: head + "Transfer-Encoding: chunked\r\n\r\n30\r\n" + events + "\r\n0\r\n\r\n", other: streamFromLastEvent, status: http.StatusOK, body: events},
		"stream, without a length": {path: "/note/1", response: head + "\r\n", other: streamFromLastEvent, status: http.StatusOK, body: events},
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(tc.response) {
				synctest.Test(t, func(t *testing.T) {
					var sends atomic.Int64
					reply := func(c net.Conn, r *http.Request) {
						if sends.Add(1) > 1 {
							tc.other(c, r)
							return
						}
						// The gateway may have closed the connection before the last byte.
						_, _ = io.WriteString(c, tc.response[:cut])
						closeConn(c)
					}
					service := "desk"
					if strings.HasPrefix(tc.path, "/note/") {
						service = "model"
					}
					f := newFixture(t, map[string]*backend{
						service + "-1": newBackend(reply),
						service + "-2": newBackend(reply),
					})
					w, aborted := f.sendRequest(t.Context(), tc.path, "X-Token-Counts", "1000,100")
					if aborted {
						t.Fatalf("cut after %q: the connection was aborted", tc.response[:cut])
					}
					if w.Code != tc.status || tc.body != "" && w.Body.String() != tc.body {
						t.Fatalf("cut after %q: status %d and body %q, want %d and %q", tc.response[:cut], w.Code, w.Body, tc.status, tc.body)
					}
				})
			}
		})
	}
}

// streamFromLastEvent streams the events up to 3 that the gateway has not delivered yet.
func streamFromLastEvent(c net.Conn, r *http.Request) {
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		if _, err := fmt.Sscan(last, &from); err != nil {
			closeConn(c)
			return
		}
	}
	streamEvents(from+1, 3, "end")(c, r)
}
