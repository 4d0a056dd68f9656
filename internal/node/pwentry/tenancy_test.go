package pwentry_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// TestSameWorkspaceNameInTwoDocuments checks that a team can't read or cancel the requests
// of another team's workspace by naming that workspace in its own document.
func TestSameWorkspaceNameInTwoDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		centres := []pwrequest.DataCentre{"hakata"}
		docs, err := pwfakefleet.Documents(centres, 1, 1, "demo")
		if err != nil {
			t.Fatal(err)
		}
		const otherCredential = "rogue-credential-for-loopback"
		hash, err := pwdocument.HashCredential(otherCredential, pwdocument.NewSalt())
		if err != nil {
			t.Fatal(err)
		}
		docs[1].Workspaces[0].Credentials = []string{hash}
		docs[1] = docs[1].WithDefaults()
		fleet := pwfakefleet.New(t.Context(), pwfakefleet.Options{
			DataCentres:      centres,
			EnginesPerCentre: 1,
			Documents:        docs,
		})
		defer fleet.Close()
		fleet.WarmUp()
		api := pwentry.NewAPI(fleet.Entry(0))
		send := func(method, path, credential, body string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
			r.Header.Set("Authorization", "Bearer "+credential)
			r.Header.Set("Content-Type", "application/json")
			api.ServeHTTP(w, r)
			return w
		}
		ownCredential := "demo" + pwfakefleet.CredentialSuffix
		prompt, err := json.Marshal(map[string]any{
			"model":    pwfakefleet.Model,
			"messages": []map[string]string{{"role": "user", "content": "a question"}},
		})
		if err != nil {
			t.Fatal(err)
		}
		id := send(http.MethodPost, "/v1/chat/completions", ownCredential, string(prompt)).Header().Get("Pomeloweir-Request-Id")
		path := "/v1/requests/" + id
		if got := send(http.MethodGet, path, ownCredential, "").Code; got != http.StatusOK {
			t.Errorf("GET with the own credential: status %d, want 200", got)
		}
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			if got := send(method, path, otherCredential, "").Code; got != http.StatusNotFound {
				t.Errorf("%s with the other document's credential: status %d, want 404", method, got)
			}
		}
	})
}
