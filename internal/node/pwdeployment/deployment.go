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
	// Drain is the time after which a draining backend server must get no new
	// requests.
	Drain time.Duration
	// Grace is the time between the request to stop a process and its
	// forced kill.
	Grace time.Duration
	// Apply is the time within which a new configuration must be in force.
	Apply time.Duration
	// StableWindow is how long a failed dependency must work without faults to count
	// as recovered.
	StableWindow time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries to a service by all
	// processes together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdOverage and ColdRateSlack are the factor and the allowance by which the rate
	// limit of a cold backend server may be exceeded.
	ColdOverage float64
	ColdSlack   float64
	// HoldMax is the longest time for which engine memory may be reserved.
	HoldMax time.Duration
	// Free is the time within which engine memory must be released once its request
	// has ended.
	Free time.Duration
	// Stall is how long a request may wait on an unresponsive engine before it is
	// aborted.
	Stall time.Duration
	// ReuseAfter is the time after which the address of a removed server may belong to
	// another server.
	ReuseAfter time.Duration
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
	// Callers and ReadinessAddress are the addresses, IP:PORT, on which the process
	// listens for callers and for readiness checks.
	Callers   string
	Readiness string
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
