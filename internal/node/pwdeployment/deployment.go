// Package pwdeployment describes the environment that a process runs in, as read from
// the platform's settings at startup: its addresses, its limits and the bounds that the
// deployment must keep.
//
// # Usage
//
//	d, err := platform.LoadSettings(platform.SettingsPath())
//	log.Println(d.Instance, d.DataCentre)
package pwdeployment

import "time"

// Bounds are the time limits and rates that the deployment must keep.
type Bounds struct {
	// DrainTimeout is the time after which a draining backend server must get no new
	// requests.
	DrainTimeout time.Duration
	// StopGracePeriod is the time between the request to stop a process and its
	// forced kill.
	StopGracePeriod time.Duration
	// ApplyTimeout is the time within which a new configuration must be in force.
	ApplyTimeout time.Duration
	// StableWindow is how long a failed dependency must work without faults to count
	// as recovered.
	StableWindow time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries to a service by all
	// processes together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdRateFactor and ColdRateSlack are the factor and the allowance by which the rate
	// limit of a cold backend server may be exceeded.
	ColdRateFactor float64
	ColdRateSlack  float64
	// MaxReservationTime is the longest time for which engine memory may be reserved.
	MaxReservationTime time.Duration
	// ReleaseTimeout is the time within which engine memory must be released once its request
	// has ended.
	ReleaseTimeout time.Duration
	// StallTimeout is how long a request may wait on an unresponsive engine before it is
	// aborted.
	StallTimeout time.Duration
	// AddressReuseDelay is the time after which the address of a removed server may belong to
	// another server.
	AddressReuseDelay time.Duration
}

// Store locates the platform's store.
type Store struct {
	Address string
}

// Deployment describes the environment of one process.
type Deployment struct {
	// Instance is the name of the process.
	Instance   string
	Role       string
	DataCentre string
	// IP is the address of the machine.
	IP string
	// CallerAddress and ReadinessAddress are the addresses, IP:PORT, on which the process
	// listens for callers and for readiness checks.
	CallerAddress    string
	ReadinessAddress string
	// InternalPortFirst and InternalPortLast bound the range of ports for traffic
	// between processes.
	InternalPortFirst int
	InternalPortLast  int
	MemoryBytes       int64
	// Heartbeat is the interval at which backend servers report.
	Heartbeat time.Duration
	Bounds    Bounds
	Store     Store
}
