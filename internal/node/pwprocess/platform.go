package pwprocess

import (
	"context"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
	"github.com/pomeloweir/pomeloweir/internal/state/pwvalue"
	"github.com/pomeloweir/pomeloweir/platform"
)

// NewPlatform returns what the platform's store carries. A store that is left
// out of the settings counts as being down for good.
func NewPlatform(s *pwsettings.Settings) Platform {
	if s.Platform.StoreAddress == "" {
		return Platform{
			Table:         missing{},
			InstanceTable: missingProcesses{},
		}
	}
	client := platform.NewStoreClient(pwdeployment.Store{
		Address: s.Platform.StoreAddress,
	})
	return Platform{
		Table:         pwvalue.New(platform.NewStateTable(client, s.Platform.Timeout())),
		Objects:       platform.NewObjectStore(client, s.Platform.Timeout()),
		InstanceTable: platform.NewInstanceTable(client),
	}
}

// missing stands for a store that the settings leave out.
type missing struct{}

var errMissing = pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "the platform's store is not set; add platform.store_address to the settings")

func (missing) Get(context.Context, string) (pwtable.Row, error) { return pwtable.Row{}, errMissing }

func (missing) List(context.Context, string, string, int) ([]pwtable.Row, error) {
	return nil, errMissing
}

func (missing) Commit(context.Context, ...pwtable.Write) (uint64, error) { return 0, errMissing }

// missingProcesses stands for the list of processes in such a store.
type missingProcesses struct{}

func (missingProcesses) List(context.Context) (pwcontrol.Snapshot[pwinstance.Instance], error) {
	return pwcontrol.Snapshot[pwinstance.Instance]{}, errMissing
}

func (missingProcesses) Put(context.Context, string, pwinstance.Instance) error { return errMissing }

func (missingProcesses) Remove(context.Context, string, int64) error { return errMissing }
