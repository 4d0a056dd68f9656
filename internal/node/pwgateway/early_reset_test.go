package pwgateway_test

import (
	"net/http"
	"testing"
	"testing/synctest"
)

// answerEarly lets the server that gets the next connection answer before it has read the
// request, and close the connection.
func (f *fixture) answerEarly(answer string) {
	early := make(chan string, 1)
	early <- answer
	for _, b := range f.backends {
		b.early = early
	}
}

// Guards against a part of an answer without a length that callers get as a complete one,
// because its server closed the connection while the request was still being written.
func TestUnframedAnswerBeforeRequestWasWritten(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: seal\r\n"
	for name, tc := range map[string]struct {
		path, early string
		status      int
		body        string
	}{
		"unsafe":                {path: "/book/1", early: head + "\r\nboo", status: http.StatusBadGateway},
		"safe":                  {path: "/view/1", early: head + "\r\nvi", status: http.StatusOK, body: "view"},
		"stream, after 1 event": {path: "/note/1", early: head + "\r\nid: 1\ndata: e1\n\n", status: http.StatusOK, body: completeStream},
		"unsafe, with a length": {path: "/book/1", early: head + "Content-Length: 6\r\n\r\nbooked", status: http.StatusOK, body: "booked"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, map[string]*backend{
					"model-1": newBackend(streamFromLastEvent),
					"model-2": newBackend(streamFromLastEvent),
					"desk-1":  newBackend(respond(200, "", "view")),
					"desk-2":  newBackend(respond(200, "", "view")),
				})
				f.answerEarly(tc.early)
				w, aborted := f.sendRequest(t.Context(), tc.path, "X-Token-Counts", "1000,100")
				if aborted || w.Code != tc.status || tc.body != "" && w.Body.String() != tc.body {
					t.Errorf("aborted %t, status %d and body %q, want %d and %q", aborted, w.Code, w.Body, tc.status, tc.body)
				}
			})
		})
	}
}
