package pwclient_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwclient"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// roundTripper answers all requests.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against something with a status that is none, whose body looks like the refusal of an
// entry.
func TestStatusThatIsNoneIsNoRefusal(t *testing.T) {
	c, err := pwclient.New(pwclient.Config{
		Entry: "http://127.0.0.1:8443",
		HTTP: &http.Client{
			Transport: roundTripper(func(*http.Request) (*http.Response, error) {
				return &http.Response{
					Body: io.NopCloser(strings.NewReader(`{"verdict":"not_run","cause":"conflict"}`)),
				}, nil
			}),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := pwclient.Delete[struct{}](t.Context(), c, "/requests/a"); pwverdict.VerdictOf(err) != pwverdict.MayHaveRun {
		t.Errorf("status 000 gives %v, want an error that may have run", err)
	}
}
