package pwentry_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
)

// Guards against a stream that ends like a complete one, without its end event, for a
// caller that has shut its side of the connection down and reads on.
func TestStreamOfCallerThatLeftIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newSmallFleet(t)
		defer fleet.Close()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		r := newDemoRequest(ctx, "/v1/chat/completions",
			`{"model":"`+pwfakefleet.Model+`","max_tokens":8000,"stream":true,"messages":[{"role":"user","content":"a question"}]}`)
		w := httptest.NewRecorder()
		defer func() {
			if err, ok := recover().(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				t.Errorf("the handler returned, so that the response looks complete after %d bytes", w.Body.Len())
			}
			if strings.Contains(w.Body.String(), "[DONE]") || !strings.Contains(w.Body.String(), "chat.completion.chunk") {
				t.Errorf("the caller got %.300s; want some tokens and no end", w.Body)
			}
		}()
		pwentry.NewAPI(fleet.Entry(0)).ServeHTTP(w, r)
	})
}
