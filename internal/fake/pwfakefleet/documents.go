package pwfakefleet

import (
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// Names that the stand-in documents use.
const (
	ModelService = "lantern"
	PlainService = "bookings"
	Model        = "lantern-design"
	// CredentialSuffix makes a workspace's credential from its name.
	CredentialSuffix = "-credential-for-loopback"
	// Bounds wide enough for a cold fleet under load.
	maxQueued       = 5_000
	maxQueuedTokens = 400_000_000
)

// Documents returns the documents of a model service and a plain service for
// the given workspaces.
func Documents(centres []pwrequest.DataCentre, engines, plain int, workspaces ...pwrequest.WorkspaceID) ([]*pwdocument.Document, error) {
	salt := pwdocument.NewSalt()
	var ws []pwdocument.Workspace
	for _, id := range workspaces {
		h, err := pwdocument.HashCredential(string(id)+CredentialSuffix, salt)
		if err != nil {
			return nil, err
		}
		ws = append(ws, pwdocument.Workspace{
			ID:              id,
			MaxQueued:       maxQueued,
			MaxQueuedTokens: maxQueuedTokens,
			Credentials:     []string{h},
		})
	}
	lantern := &pwdocument.Document{
		FormatVersion: pwdocument.FormatVersion,
		Name:          ModelService,
		Owner:         "demo",
		Kind:          pwdocument.KindModelEngines,
		Workspaces:    ws,
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
		Workspaces:    ws,
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
			BackendServers: max(1, plain),
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
