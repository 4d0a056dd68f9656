// Package pwdeployment holds what a process learns at its start about the
// place it runs in: its addresses, its limits and the bounds of the deployment.
//
// # Usage
//
//	d, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
//	log.Println(d.Instance, d.DataCentre)
package pwdeployment

import "time"

// Bounds are the time limits and rates that the deployment promises.
type Bounds struct {
	// DrainTimeout is the time after which a leaving backend server gets no new work.
	DrainTimeout time.Duration
	// StopGracePeriod is the time between the request to stop and the kill.
	StopGracePeriod time.Duration
	// ApplyTimeout is the time within which a configuration is in force.
	ApplyTimeout time.Duration
	// StableWindow is the time that a failed dependency needs to count as sound again.
	StableWindow time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the repeats of a service by
	// all processes together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdRateFactor and ColdSlack stretch the rate of a cold backend server.
	ColdRateFactor float64
	ColdRateSlack  float64
	// MaxReservationTime is the longest time that engine memory may be reserved.
	MaxReservationTime time.Duration
	// ReleaseTimeout is the time within which engine memory must be free after its request.
	ReleaseTimeout time.Duration
	// StallTimeout is how long work waits on a dead engine before it is cut off.
	StallTimeout time.Duration
	// AddressReuseDelay is the time after which an address may belong to another server.
	AddressReuseDelay time.Duration
}

// Store is the platform's store.
type Store struct {
	Address string
}

// Deployment is the place of one process.
type Deployment struct {
	Instance   string
	Role       string
	DataCentre string
	// IP is the address of the machine.
	IP string
	// CallerAddress and Readiness are the listening addresses, IP:PORT.
	CallerAddress    string
	ReadinessAddress string
	// InternalPortFirst and InternalPortLast bound the ports between processes.
	InternalPortFirst int
	InternalPortLast  int
	MemoryBytes       int64
	// Heartbeat is the interval at which backend servers report.
	Heartbeat time.Duration
	Bounds    Bounds
	Store     Store
}
