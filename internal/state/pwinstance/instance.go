// Package pwinstance defines the entries of the list of the system's own processes.
// Each process updates its own row in the platform's store, so the list may be out of
// date.
//
// Packages that use the list declare an interface with this method:
//
//	Instances(ctx context.Context) ([]pwinstance.Instance, error)
//
// # Usage
//
//	list, err := source.Instances(ctx)
//	for _, i := range list {
//		if i.Role == pwinstance.RoleAgent && !i.Leaving {
//			// dial i.Address
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

// Instance is the list entry of one process.
type Instance struct {
	ID         pwrequest.InstanceID `json:"id"`
	DataCentre pwrequest.DataCentre `json:"data_centre"`
	// Address is the host and port at which other processes reach the instance. For
	// entries and agents it is the connect-go listener, for gateways the listener of
	// the load exchange.
	Address string `json:"address"`
	Role    Role   `json:"role"`
	// Service and BackendServer are set for agents only.
	Service       pwrequest.ServiceID       `json:"service,omitempty"`
	BackendServer pwrequest.BackendServerID `json:"backend_server,omitempty"`
	// Leaving is set once the end of the instance has been announced.
	Leaving bool `json:"leaving,omitempty"`
	// LastSeenMS is the time at which the process last wrote its row, in milliseconds
	// of the store's clock.
	LastSeenMS int64 `json:"seen_ms"`
}
