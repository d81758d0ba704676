// Package membership decides what the fleet is: which south side hosts there are,
// which of them may get new work, and through which clusters and priorities they
// are reached. It takes what sources of hosts deliver (the platform's roster, xDS
// clusters and endpoints) and the time, does no I/O, and gives out one consistent
// Change after another.
//
// The rules it holds, whatever a source sends and in whichever order:
//   - the hosts that may be sent to are those of the last accepted deliveries;
//   - a host that was removed does not come back by a delivery that is older than
//     what is held;
//   - a delivery is taken whole or not at all;
//   - no delivery takes the last host by leaving it out, unless the operator allows it;
//   - a host told as draining or unfit anywhere gets nothing new.
package membership

import (
	"net/netip"
	"time"
)

// Health is what a source says of an endpoint, after Envoy's
// config.core.v3.HealthStatus. UNKNOWN counts as Healthy there and here.
type Health uint8

// The states of health. Only Healthy and Degraded hosts get new work.
const (
	Healthy Health = iota
	Unhealthy
	Draining
	Timeout
	Degraded // gets work only where its cluster has no healthy host left
)

// String names a state as logs and transcripts show it.
func (h Health) String() string {
	return [...]string{"healthy", "unhealthy", "draining", "timeout", "degraded"}[h]
}

// takesWork says whether new work may go to an endpoint of this health.
func (h Health) takesWork() bool { return h == Healthy || h == Degraded }

// Endpoint is one host as a source describes it. Two are the same host if they
// have the same Name.
type Endpoint struct {
	Name     string         `json:"n"`
	Address  netip.AddrPort `json:"a"`
	Zone     string         `json:"z,omitempty"`
	Type     string         `json:"t,omitempty"`
	Group    int            `json:"g,omitempty"` // cell: hosts that share the keys they have seen
	HasGroup bool           `json:"hg,omitempty"`
	Since    time.Duration  `json:"s,omitempty"` // Unix time of the last start; 0: not told
	Weight   float64        `json:"w,omitempty"` // in proportion to others; 0 counts as 1
	Priority uint32         `json:"p,omitempty"` // 0 is preferred
	Health   Health         `json:"h,omitempty"`
}

// Drop turns a share of the messages away, after
// config.endpoint.v3.ClusterLoadAssignment.Policy.DropOverload.
type Drop struct {
	Category string  `json:"c"`
	Part     float64 `json:"p"` // 0 to 1
}

// Assignment is the endpoints of a cluster, after
// config.endpoint.v3.ClusterLoadAssignment.
type Assignment struct {
	Name          string        `json:"name"` // of the EDS resource
	Version       string        `json:"version,omitempty"`
	Sum           uint64        `json:"sum,omitempty"`       // of its content: tells versions apart that share a name
	Endpoints     []Endpoint    `json:"endpoints,omitempty"` // sorted by Name, each name once
	Drops         []Drop        `json:"drops,omitempty"`
	Overprovision uint32        `json:"over,omitempty"`        // percent; 0 is Envoy's default of 140
	ByWeight      bool          `json:"by_weight,omitempty"`   // priorities' health by weight, not by count
	StaleAfter    time.Duration `json:"stale_after,omitempty"` // 0: never

	// With Base, Endpoints are only those that differ from what was accepted last,
	// which is that version, and Gone the names of those that it lacks. Guards a
	// dispatcher against reading a whole large cluster for each changed endpoint.
	Base *Mark    `json:"base,omitempty"`
	Gone []string `json:"gone,omitempty"`
}

// Cluster is a named group of endpoints, after config.cluster.v3.Cluster.
type Cluster struct {
	Name    string      `json:"name"`
	Version string      `json:"version,omitempty"`
	Sum     uint64      `json:"sum,omitempty"`
	Source  string      `json:"source,omitempty"` // the EDS resource with its endpoints; empty where Inline
	Inline  *Assignment `json:"inline,omitempty"` // of a STATIC cluster
}

// Update is one delivery of clusters or of assignments, not of both.
type Update struct {
	OfClusters  bool         `json:"of_clusters,omitempty"`
	Whole       bool         `json:"whole,omitempty"` // of clusters: what it leaves out is removed
	Version     string       `json:"version,omitempty"`
	Clusters    []Cluster    `json:"clusters,omitempty"`
	Assignments []Assignment `json:"assignments,omitempty"`
	Removed     []string     `json:"removed,omitempty"`
}
