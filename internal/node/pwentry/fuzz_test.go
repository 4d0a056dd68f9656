package pwentry_test

import (
	"strings"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecaller"
)

// FuzzCompletions checks that no body or header value crashes the entry, bypasses
// authentication, or is refused with anything other than a problem document.
func FuzzCompletions(f *testing.F) {
	s, err := pwfakecaller.NewPromptSender()
	if err != nil {
		f.Fatal(err)
	}
	const credential = "Bearer demo-credential-for-loopback"
	const body = `{"model":"lantern-design","messages":[{"role":"user","content":"words"}]}`
	f.Add(body, credential, "demo", "lantern", "key-1", "1000")
	f.Add(strings.Replace(body, "{", `{"stream":true,"max_tokens":9,`, 1), credential, "", "", "", "18446744073710")
	f.Add(strings.Replace(body, "words", `\ud800\u0000`, 1), credential, "other", "absent", strings.Repeat("k", 300), "-1")
	f.Add(strings.Replace(body, "}]}", `},{"role":"","content":""}],"priority":1e400}`, 1), "Bearer ", "", "", "\x00", "1e3")
	f.Add(strings.Repeat("[", 20_000), "Basic demo", "", "", "", "9223372036854775808")
	f.Add(`{"model":"lantern-design","max_tokens":9223372036854775807,"messages":[{}],"messages":null}`, credential, "", "", "", "0x10")
	f.Add(body, credential+"x", "demo", "lantern", "", "")
	f.Add(``, credential, "", "", "", "")
	f.Fuzz(func(t *testing.T, body, authorization, workspace, service, key, deadline string) {
		w, err := s.Send(t.Context(), pwfakecaller.Input{
			Body:          body,
			Authorization: authorization,
			Workspace:     workspace,
			Service:       service,
			Key:           key,
			Deadline:      deadline,
		})
		if err != nil {
			t.Fatalf("%v; response %d: %.500s", err, w.Code, w.Body.Bytes())
		}
	})
}
