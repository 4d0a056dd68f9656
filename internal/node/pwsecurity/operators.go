package pwsecurity

import (
	"strings"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcredential"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
)

// OperatorAuthenticator authenticates operators by their credentials.
type OperatorAuthenticator struct {
	set pwcredential.Set[pwchange.Author]
}

// NewOperatorAuthenticator returns the operators of a process's settings.
func NewOperatorAuthenticator(list []pwsettings.Operator) *OperatorAuthenticator {
	o := &OperatorAuthenticator{}
	for _, op := range list {
		for _, c := range op.Credentials {
			o.set.Add(c, pwchange.Author{
				Name: op.Name,
				Team: op.Team,
			})
		}
	}
	return o
}

// Authenticate returns the operator whose credential is in the value of an
// Authorization header. Its time depends on the number of credentials but not
// on which one matches.
func (o *OperatorAuthenticator) Authenticate(authorization string) (pwchange.Author, bool) {
	credential, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return pwchange.Author{}, false
	}
	return o.set.Find(credential)
}
