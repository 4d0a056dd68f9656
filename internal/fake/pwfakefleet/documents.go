package pwfakefleet

import (
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// Names in the documents that Documents returns.
const (
	ModelService = "lantern"
	PlainService = "bookings"
	Model        = "lantern-design"
	// CredentialSuffix appended to a workspace's name is its credential.
	CredentialSuffix = "-credential-for-loopback"
)

// Queue limits of a workspace, high enough that a cold fleet under load does not reach
// them.
const (
	maxQueued       = 5_000
	maxQueuedTokens = 400_000_000
)

// Documents returns the documents of a model service and a plain service in the given
// data centres and for the given workspaces. The numbers of engines and plain servers are
// per data centre and at least 1.
func Documents(centres []pwrequest.DataCentre, engines, plainServers int, workspaces ...pwrequest.WorkspaceID) ([]*pwdocument.Document, error) {
	salt := pwdocument.NewSalt()
	var workspaceDocs []pwdocument.Workspace
	for _, id := range workspaces {
		hash, err := pwdocument.HashCredential(string(id)+CredentialSuffix, salt)
		if err != nil {
			return nil, err
		}
		workspaceDocs = append(workspaceDocs, pwdocument.Workspace{
			ID:              id,
			MaxQueued:       maxQueued,
			MaxQueuedTokens: maxQueuedTokens,
			Credentials:     []string{hash},
		})
	}
	lantern := &pwdocument.Document{
		FormatVersion: pwdocument.FormatVersion,
		Name:          ModelService,
		Owner:         "demo",
		Kind:          pwdocument.KindModelEngines,
		Workspaces:    workspaceDocs,
		Models: []pwdocument.Model{{
			ID:            Model,
			Versions:      []string{"1"},
			ActiveVersion: "1",
		}},
		Engine: pwdocument.Engine{
			ExportsKV: true,
		},
	}
	bookings := &pwdocument.Document{
		FormatVersion: pwdocument.FormatVersion,
		Name:          PlainService,
		Owner:         "demo",
		Kind:          pwdocument.KindPlain,
		Workspaces:    workspaceDocs,
		Methods: []pwdocument.Method{
			{
				Name: pwfakeservice.MethodReserve,
			},
			{
				Name:       pwfakeservice.MethodList,
				Repeatable: true,
			},
		},
	}
	for _, dc := range centres {
		lantern.DataCentres = append(lantern.DataCentres, pwdocument.DataCentre{
			Name:           dc,
			BackendServers: max(1, engines),
		})
		bookings.DataCentres = append(bookings.DataCentres, pwdocument.DataCentre{
			Name:           dc,
			BackendServers: max(1, plainServers),
		})
	}
	docs := []*pwdocument.Document{lantern.WithDefaults(), bookings.WithDefaults()}
	for _, d := range docs {
		if err := d.Validate(); err != nil {
			return nil, err
		}
	}
	return docs, nil
}
