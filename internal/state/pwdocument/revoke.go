package pwdocument

import (
	"encoding/json"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// WithRevocations returns a copy of d without the credentials that newer, a later version
// of the document that Parse rejects, no longer holds for their workspaces. It is meant for
// versions that a newer release of the software has accepted. Everything else stays as it
// is in d, and so does a workspace without any credential left, which then admits nobody.
// removed is the number of credentials left out. ok is false if newer has no list of
// workspaces, so that nothing is known about its credentials.
func (d *Document) WithRevocations(newer []byte) (out *Document, removed int, ok bool) {
	held, ok := readCredentials(newer)
	if !ok {
		return nil, 0, false
	}
	revised := *d
	revised.Workspaces = make([]Workspace, 0, len(d.Workspaces))
	for _, w := range d.Workspaces {
		kept := lo.Filter(w.Credentials, func(c string, _ int) bool { return held[w.ID][c] })
		removed += len(w.Credentials) - len(kept)
		w.Credentials = kept
		revised.Workspaces = append(revised.Workspaces, w)
	}
	revised.authenticator = newAuthenticator(revised.Workspaces)
	return &revised, removed, true
}

// readCredentials returns the hashed credentials of each workspace of a document, as far as
// they can be read. ok is false if the document has no list of workspaces.
func readCredentials(data []byte) (held map[pwrequest.WorkspaceID]map[string]bool, ok bool) {
	var doc struct {
		Workspaces []json.RawMessage `json:"workspaces"`
	}
	if err := json.Unmarshal(data, &doc); err != nil || doc.Workspaces == nil {
		return nil, false
	}
	held = make(map[pwrequest.WorkspaceID]map[string]bool, len(doc.Workspaces))
	for _, raw := range doc.Workspaces {
		var w struct {
			ID          pwrequest.WorkspaceID `json:"id"`
			Credentials []json.RawMessage     `json:"credentials"`
		}
		if json.Unmarshal(raw, &w) != nil || held[w.ID] != nil {
			// An unreadable workspace holds no credential, and a repeated one adds none.
			continue
		}
		held[w.ID] = make(map[string]bool, len(w.Credentials))
		for _, c := range w.Credentials {
			var hashed string
			if json.Unmarshal(c, &hashed) == nil {
				held[w.ID][hashed] = true
			}
		}
	}
	return held, true
}
