// Package hollow runs the pure cores of many agents, control members and store
// lease grantors in one process, to measure how the load of each role grows
// with the number of dispatchers and of destinations. Most of it runs in
// virtual time: messages are encoded and handled for real, only the network and
// the waiting are simulated. A few processes talk over loopback sockets in real
// time, so that the two can be compared.
package hollow

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Class is the class of errors that this package makes.
var Class = errs.Class("hollow")

// The shape of the deployments that are simulated.
const (
	regions              = 4
	zones                = 13
	controlMembers       = 9 // the register takes no more voters
	dispatchersPerStore  = 8
	destinationsPerRoute = 1000
	routesLeast          = 20
	downShare            = 0.018            // of the destinations, at any time
	outageLength         = 10 * time.Minute // mean time that a destination is down
	heartbeatPeriod      = 1200 * time.Millisecond
	pageSize             = 50 // entries on a page of the platform's list
)

// Size is one deployment to simulate.
type Size struct {
	Dispatchers  int
	Destinations int
	Tolerated    int           // machines that may be lost at once
	Rest         time.Duration // virtual time without changes
	Churn        time.Duration // virtual time with changes of all kinds
	Messages     int           // that the store and the queue are measured with; 0: not measured
	Sockets      int           // agents with real connections; 0: none
	SocketTime   time.Duration // real time that these run
}

// NewSize returns the standard measurement of a size.
func NewSize(dispatchers, destinations int) Size {
	return Size{
		Dispatchers: dispatchers, Destinations: destinations, Tolerated: 1,
		Rest: 8 * time.Second, Churn: 12 * time.Second,
		Sockets: 8, SocketTime: 4 * time.Second,
	}
}

// Estimates of the memory that a run takes, in bytes. Each was read off runs.
const (
	baseBytes           = 150 << 20
	dispatcherBytes     = 170 << 10 // a hollow agent, its sessions and its part of the members' views
	destinationBytes    = 10 << 10  // the list with its histories at the control members and at one whole agent
	messageBytes        = 6 << 10
	socketListBytes     = 2 << 10 // a destination at an agent with sockets
	socketsListMost     = 30_000  // agents with sockets get no longer lists
	gigabyte            = 1 << 30
	defaultMemoryGb     = 6.0
	collectorHeadroom   = 1.3 // what the garbage collector lets grow before it runs
	dispatchersAtLeast  = 10
	destinationsAtLeast = 100
)

// MemoryEstimate returns how many bytes of memory a run takes.
func (s Size) MemoryEstimate() float64 {
	listed := min(s.Destinations, socketsListMost)
	live := float64(s.Dispatchers)*dispatcherBytes + float64(s.Destinations)*destinationBytes +
		float64(s.Messages)*messageBytes + float64(s.Sockets*listed)*socketListBytes
	return baseBytes + collectorHeadroom*live
}

// Check refuses a size that makes no sense or does not fit the memory.
func (s Size) Check(memoryGb float64) error {
	if s.Dispatchers < dispatchersAtLeast || s.Destinations < destinationsAtLeast {
		return Class.New("%d dispatchers and %d destinations: at least %d and %d are wanted",
			s.Dispatchers, s.Destinations, dispatchersAtLeast, destinationsAtLeast)
	}
	if wanted := s.MemoryEstimate() / gigabyte; wanted > memoryGb {
		return Class.New("%d dispatchers and %d destinations take %.1f GB of memory, over the limit of %.1f GB",
			s.Dispatchers, s.Destinations, wanted, memoryGb)
	}
	return nil
}

// Stores returns how many stores the deployment has.
func (s Size) Stores() int { return max(2*s.Tolerated+1, s.Dispatchers/dispatchersPerStore) }

// Routes returns how many routes the configuration has.
func (s Size) Routes() int { return max(routesLeast, s.Destinations/destinationsPerRoute) }

// changesPerSecond returns how many destinations go down or come back in a second.
func (s Size) changesPerSecond() float64 {
	return 2 * downShare * float64(s.Destinations) / outageLength.Seconds()
}

// String names the size.
func (s Size) String() string {
	return fmt.Sprintf("%d dispatchers, %d destinations", s.Dispatchers, s.Destinations)
}
