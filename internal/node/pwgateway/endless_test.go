package pwgateway_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeendless"
)

const (
	signedHead     = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: seal\r\n"
	signedStream   = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
	rejectedHead   = "HTTP/1.1 503 Full\r\nX-Attempt-Id: ID\r\nX-Not-Executed: true\r\n\r\n"
	maxEndlessHead = 128 << 10
)

// Bytes without an end must not reach the caller or fill the memory. A request that may
// be repeated goes to another server; one that may not is answered 502, as it may have
// run, unless the server rejected it.
func TestResponsesWithoutEnd(t *testing.T) {
	filler := strings.Repeat("x", 512)
	for name, tc := range map[string]struct {
		path          string
		start, repeat string
		// other is the reply of the server that the request is sent to next.
		other    func(net.Conn, *http.Request)
		status   int
		body     string
		maxTaken int64
	}{
		"head of a safe request": {
			path: "/view/1", start: "HTTP/1.1 200 OK\r\nX-A: ", repeat: filler,
			other: respond(200, "", "view"), status: 200, body: "view", maxTaken: maxEndlessHead,
		},
		"head of an unsafe request": {
			path: "/book/1", start: "HTTP/1.1 200 OK\r\nX-A: ", repeat: filler,
			other: respond(200, "", "booked"), status: 502, maxTaken: maxEndlessHead,
		},
		"body of a rejection": {
			path: "/book/1", start: rejectedHead, repeat: filler,
			other: respond(200, "", "booked"), status: 200, body: "booked", maxTaken: maxEndlessHead,
		},
		"stray response": {
			path: "/view/1", start: "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "200\r\n" + filler + "\r\n",
			other: respond(200, "", "view"), status: 200, body: "view", maxTaken: maxEndlessHead,
		},
		"body of a safe request": {
			path: "/view/1", start: signedHead + "\r\n", repeat: strings.Repeat("x", 8<<10),
			other: respond(200, "", "view"), status: 200, body: "view", maxTaken: 9 << 20,
		},
		"line of a stream": {
			path: "/note/1", start: signedStream, repeat: "200\r\n" + filler + "\r\n",
			other: streamEvents(1, 1, "end"), status: 200, body: "id: 1\ndata: e1\n\n", maxTaken: maxEndlessHead,
		},
		"blank lines of a stream": {
			path: "/note/1", start: signedStream, repeat: "4\r\n\n\n\n\n\r\n",
			other: streamEvents(1, 1, "end"), status: 200, body: "id: 1\ndata: e1\n\n", maxTaken: 1 << 20,
		},
		"comments of a stream": {
			path: "/note/1", start: signedStream, repeat: "5\r\n: c\n\n\r\n",
			other: streamEvents(1, 1, "end"), status: 200, body: "id: 1\ndata: e1\n\n", maxTaken: 1 << 20,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endless := &pwfakeendless.Server{
					Start:  strings.ReplaceAll(tc.start, "ID", "a1"),
					Repeat: tc.repeat,
				}
				service := "desk"
				if strings.HasPrefix(tc.path, "/note/") {
					service = "model"
				}
				// The first server that gets the request answers without an end.
				var answered atomic.Bool
				reply := func(c net.Conn, r *http.Request) {
					if answered.CompareAndSwap(false, true) {
						endless.Reply(c)
						return
					}
					tc.other(c, r)
				}
				f := newFixture(t, map[string]*backend{
					service + "-1": newBackend(reply),
					service + "-2": newBackend(reply),
				})
				w, _ := f.sendRequest(t.Context(), tc.path)
				requireStatus(t, w, tc.status)
				if tc.body != "" && w.Body.String() != tc.body {
					t.Fatalf("body %q, want %q", w.Body, tc.body)
				}
				synctest.Wait()
				if got := endless.Taken(); got == 0 || got > tc.maxTaken {
					t.Errorf("%d bytes were read, want some and at most %d", got, tc.maxTaken)
				}
				if !endless.Closed() {
					t.Error("the connection is still open")
				}
			})
		})
	}
}
