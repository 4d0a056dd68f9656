package pwdocument

import (
	"github.com/pomeloweir/pomeloweir/internal/core/pwcredential"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Limits on the size of a credential; pwcredential enforces them.
const (
	MinCredentialBytes = pwcredential.MinBytes
	MaxCredentialBytes = pwcredential.MaxBytes
)

// NewSalt returns a random salt for HashCredential.
func NewSalt() string { return pwcredential.NewSalt() }

// HashCredential returns the hashed form of a credential, which is the form that
// a document may hold. All credentials of a document should use the same salt
// from NewSalt, because Authenticate computes one hash for each salt.
func HashCredential(credential, salt string) (string, error) {
	return pwcredential.Hash(credential, salt)
}

func newAuthenticator(workspaces []Workspace) *pwcredential.Set[pwrequest.WorkspaceID] {
	a := &pwcredential.Set[pwrequest.WorkspaceID]{}
	for _, w := range workspaces {
		for _, s := range w.Credentials {
			a.Add(s, w.ID)
		}
	}
	return a
}

// Authenticate returns the workspace to which a credential belongs. It takes the
// same time for every credential of an allowed size. The time grows with the
// number of workspaces, which is at most MaxWorkspaces.
func (d *Document) Authenticate(credential string) (pwrequest.WorkspaceID, bool) {
	a := d.authenticator
	if a == nil {
		a = newAuthenticator(d.Workspaces)
	}
	return a.Find(credential)
}
