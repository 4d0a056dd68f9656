// Package pwinstance describes the list of the system's own processes. Each
// process keeps a row in the platform's store; the list lags behind reality.
//
// Consumers declare the small interface they need; the method is always this:
//
//	Instances(ctx context.Context) ([]pwinstance.Instance, error)
//
// # Usage
//
//	list, err := source.Instances(ctx)
//	for _, i := range list {
//		if i.Role == pwinstance.RoleAgent && !i.Leaving {
//			// i.Address can be dialled
//		}
//	}
package pwinstance

import "github.com/pomeloweir/pomeloweir/internal/core/pwrequest"

// Role is the kind of process that runs on an instance.
type Role string

// Roles of the system's processes.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleGateway Role = "gateway"
)

// Instance is one line of the list.
type Instance struct {
	ID         pwrequest.InstanceID `json:"id"`
	DataCentre pwrequest.DataCentre `json:"data_centre"`
	// Address is host and port at which other processes reach it: the connect-go
	// listener of entries and agents, the load exchange of gateways.
	Address string `json:"address"`
	Role    Role   `json:"role"`
	// Service and BackendServer are set for agents.
	Service       pwrequest.ServiceID       `json:"service,omitempty"`
	BackendServer pwrequest.BackendServerID `json:"backend_server,omitempty"`
	// Leaving is set when the instance's end has been announced.
	Leaving bool `json:"leaving,omitempty"`
	// LastSeenMS is when the process last wrote its row, by the store's clock.
	LastSeenMS int64 `json:"seen_ms"`
}
