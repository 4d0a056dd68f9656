package pwprocess

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeer"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// Guards against credentials that go on working because the version of the document that
// revokes them has a field that this release cannot parse.
func TestUnparsedDocumentLeavesRevocationsInForce(t *testing.T) {
	docs, err := pwfakefleet.Documents([]pwrequest.DataCentre{"hakata"}, 1, 1, "ward-3", "ward-4", "ward-5")
	if err != nil {
		t.Fatal(err)
	}
	valid, err := json.Marshal(docs[0])
	if err != nil {
		t.Fatal(err)
	}
	var hashes []string
	for _, w := range docs[0].Workspaces {
		hashes = append(hashes, w.Credentials[0])
	}
	newer := func(change string) string { return strings.Replace(string(valid), `{"format_version":1`, change, 1) }
	const all = "ward-3 ward-4 ward-5"
	for name, tc := range map[string]struct {
		value   string
		allowed string
	}{
		"unknown field":                {value: newer(`{"format_version":1,"later_field":{}`), allowed: all},
		"next format":                  {value: newer(`{"format_version":2`), allowed: all},
		"one credential revoked":       {value: strings.Replace(newer(`{"later_field":1`), hashes[0], "", 1), allowed: "ward-4 ward-5"},
		"moved to another workspace":   {value: strings.Replace(newer(`{"later_field":1`), hashes[0], hashes[1], 1), allowed: "ward-4 ward-5"},
		"a new credential":             {value: strings.Replace(newer(`{"later_field":1`), `"credentials":["`, `"credentials":["x","`, 1), allowed: all},
		"unreadable workspace":         {value: strings.Replace(newer(`{"later_field":1`), `"ward-4"`, `4`, 1), allowed: "ward-3 ward-5"},
		"unreadable credential":        {value: strings.Replace(newer(`{"later_field":1`), `["`+hashes[1]+`"]`, `[7]`, 1), allowed: "ward-3 ward-5"},
		"all credentials of one":       {value: strings.Replace(newer(`{"later_field":1`), `["`+hashes[1]+`"]`, `[]`, 1), allowed: "ward-3 ward-5"},
		"no workspace left":            {value: `{"name":"lantern","workspaces":[]}`},
		"no list of workspaces":        {value: `{"name":"lantern"}`, allowed: all},
		"no document":                  {value: `"text"`, allowed: all},
		"a field of each workspace":    {value: strings.ReplaceAll(newer(`{"format_version":1`), `{"id":"ward`, `{"quota":1.5,"id":"ward`), allowed: all},
		"wrong type of a limit":        {value: strings.Replace(newer(`{"format_version":1`), `"max_queued":5000`, `"max_queued":"many"`, 1), allowed: all},
		"repeated workspace":           {value: strings.Replace(newer(`{"later_field":1`), `"ward-4"`, `"ward-3"`, 1), allowed: "ward-3 ward-5"},
		"revoked, then parsed as well": {value: strings.Replace(string(valid), `"ward-4"`, `"ward-9"`, 1), allowed: "ward-3 ward-5"},
	} {
		t.Run(name, func(t *testing.T) {
			node, err := pwgossip.New(pwgossip.Options{
				Self: pwinstance.Instance{
					ID: "entry-1",
				},
				Log: pwchange.NewLog(nil),
				Instances: &instanceCache{
					source: &fakeInstanceSource{},
				},
				Dialer: pwpeer.NewDialer(nil, "http"),
			})
			if err != nil {
				t.Fatal(err)
			}
			p := &entryProcess{
				obs: pwobserve.Discard(),
				entry: pwentry.New(pwentry.Config{}, pwentry.Deps{
					Observer: pwobserve.Discard(),
				}),
				node: node,
			}
			key := pwdocument.KeyPrefix + docs[0].Name
			for i, value := range []string{string(valid), tc.value} {
				node.Publish(pwchange.Change{
					Sequence: uint64(i + 1),
					Key:      key,
					Value:    json.RawMessage(value),
				})
				p.applyChanges([]string{key})
			}
			var allowed []string
			for _, w := range docs[0].Workspaces {
				if got, ok := p.entry.Documents()[0].Authenticate(string(w.ID) + pwfakefleet.CredentialSuffix); ok && got == w.ID {
					allowed = append(allowed, string(w.ID))
				}
			}
			if got := strings.Join(allowed, " "); got != tc.allowed {
				t.Errorf("credentials of %q are valid, want those of %q", got, tc.allowed)
			}
		})
	}
}
