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

// NewPlatform returns clients of the platform's store. Without a store in the settings,
// all operations on its tables fail with CauseUnavailable.
func NewPlatform(s *pwsettings.Settings) Platform {
	if s.Platform.StoreAddress == "" {
		return Platform{
			Table:         unconfiguredTable{},
			InstanceTable: unconfiguredInstanceTable{},
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

// unconfiguredTable replaces the table when the settings contain no store. All operations
// fail.
type unconfiguredTable struct{}

var errStoreNotConfigured = pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "the platform's store is not set; add platform.store_address to the settings")

func (unconfiguredTable) Get(context.Context, string) (pwtable.Row, error) {
	return pwtable.Row{}, errStoreNotConfigured
}

func (unconfiguredTable) List(context.Context, string, string, int) ([]pwtable.Row, error) {
	return nil, errStoreNotConfigured
}

func (unconfiguredTable) Commit(context.Context, ...pwtable.Write) (uint64, error) {
	return 0, errStoreNotConfigured
}

// unconfiguredInstanceTable replaces the instance table when the settings contain no
// store. All operations fail.
type unconfiguredInstanceTable struct{}

func (unconfiguredInstanceTable) List(context.Context) (pwcontrol.Snapshot[pwinstance.Instance], error) {
	return pwcontrol.Snapshot[pwinstance.Instance]{}, errStoreNotConfigured
}

func (unconfiguredInstanceTable) Put(context.Context, string, pwinstance.Instance) error {
	return errStoreNotConfigured
}

func (unconfiguredInstanceTable) Remove(context.Context, string, int64) error {
	return errStoreNotConfigured
}
