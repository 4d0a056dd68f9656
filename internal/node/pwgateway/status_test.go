package pwgateway_test

import (
	"net/http"
	"testing"
	"testing/synctest"
)

// Guards against something with a status that is none, such as 000, which callers get as an
// answer, or which is skipped like an informational response.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	const rest = " X\r\nX-Attempt-Id: a1\r\nX-Response-Seal: seal\r\nContent-Length: 0\r\n\r\n"
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, tc := range []struct {
			path, body string
			want       int
		}{
			{path: "/book/1", want: http.StatusBadGateway},
			{path: "/view/1", want: http.StatusOK, body: "view"},
			{path: "/note/1", want: http.StatusOK, body: completeStream},
		} {
			t.Run(status+tc.path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, map[string]*backend{
						"model-1": newBackend(streamFromLastEvent),
						"model-2": newBackend(streamFromLastEvent),
						"desk-1":  newBackend(respond(200, "", "view")),
						"desk-2":  newBackend(respond(200, "", "view")),
					})
					f.answerEarly("HTTP/1.1 " + status + rest + "HTTP/1.1 200" + rest)
					w, aborted := f.sendRequest(t.Context(), tc.path, "X-Token-Counts", "1000,100")
					if aborted || w.Code != tc.want || tc.body != "" && w.Body.String() != tc.body {
						t.Errorf("aborted %t, status %d and body %q, want %d and %q", aborted, w.Code, w.Body, tc.want, tc.body)
					}
				})
			})
		}
	}
}
