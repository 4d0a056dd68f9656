package pwentry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
)

// newSmallFleet returns a warm fleet with one entry, one engine, one plain server and the
// workspace "demo". The caller must call Close.
func newSmallFleet(t *testing.T) *pwfakefleet.Fleet {
	t.Helper()
	centres := []pwrequest.DataCentre{"hakata"}
	docs, err := pwfakefleet.Documents(centres, 1, 1, "demo")
	if err != nil {
		t.Fatal(err)
	}
	fleet := pwfakefleet.New(t.Context(), pwfakefleet.Options{
		DataCentres:           centres,
		EnginesPerCentre:      1,
		PlainServersPerCentre: 1,
		Documents:             docs,
	})
	fleet.WarmUp()
	return fleet
}

// newDemoRequest returns a request of the workspace "demo".
func newDemoRequest(ctx context.Context, path, body string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer demo"+pwfakefleet.CredentialSuffix)
	r.Header.Set("Content-Type", "application/json")
	return r
}
