package pwgateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an empty 200 for a caller that has shut its side of the connection down and
// reads on (review/4, MIXED): the request must end without any response.
func TestCallerThatLeavesGetsNoSuccess(t *testing.T) {
	for name, tc := range map[string]struct {
		path  string
		after time.Duration
	}{
		"before it is sent":      {path: "/view/1"},
		"while a look-up runs":   {path: "/view/1", after: 50 * time.Millisecond},
		"while a booking runs":   {path: "/book/1", after: 50 * time.Millisecond},
		"before the first event": {path: "/note/1", after: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, map[string]*backend{
					"desk-1":  newBackend(sendNothing),
					"model-1": newBackend(sendNothing),
				})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(tc.after, cancel)
				if tc.after == 0 {
					cancel()
				}
				w, aborted := f.sendRequest(ctx, tc.path, "X-Token-Counts", "1000,100")
				if !aborted || w.Body.Len() > 0 || len(w.Header()) > 0 {
					t.Errorf("aborted %t with status %d, headers %v and body %q, want no response at all", aborted, w.Code, w.Header(), w.Body)
				}
			})
		})
	}
}
