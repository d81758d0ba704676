// Package membership determines which south side hosts there are, which of them may
// get new work, and through which clusters and priorities they are reached. Its
// input is the updates from sources of hosts (the platform's roster, xDS clusters and
// endpoints) and the time; it does no I/O and returns a sequence of consistent Changes.
//
// These rules hold whatever a source sends and in whichever order:
//   - only hosts of the last accepted updates get work;
//   - an update older than the accepted one cannot bring back a removed host;
//   - an update is applied completely or not at all;
//   - no update removes the last host by omitting it, unless the operator allows it;
//   - a host declared draining or unfit by any cluster gets no new work.
package membership

import (
	"net/netip"
	"time"
)

// Health is the state that a source gives an endpoint, following Envoy's
// config.core.v3.HealthStatus. UNKNOWN counts as Healthy in both.
type Health uint8

// The states of health. Only Healthy and Degraded hosts get new work.
const (
	Healthy Health = iota
	Unhealthy
	Draining
	Timeout
	Degraded // gets work only if its cluster has no healthy host left
)

// String returns the name used in logs and transcripts.
func (h Health) String() string {
	return [...]string{"healthy", "unhealthy", "draining", "timeout", "degraded"}[h]
}

// takesWork reports whether an endpoint in this state may get new work.
func (h Health) takesWork() bool { return h == Healthy || h == Degraded }

// Endpoint is one host as a source describes it. Endpoints with the same Name are
// the same host.
type Endpoint struct {
	Name     string         `json:"n"`
	Address  netip.AddrPort `json:"a"`
	Zone     string         `json:"z,omitempty"`
	Type     string         `json:"t,omitempty"`
	Group    int            `json:"g,omitempty"` // cell: hosts that share the keys they have seen
	HasGroup bool           `json:"hg,omitempty"`
	Started  time.Duration  `json:"s,omitempty"` // Unix time of the last start; 0: unknown
	Weight   float64        `json:"w,omitempty"` // relative to others; 0 counts as 1
	Priority uint32         `json:"p,omitempty"` // 0 is preferred
	Health   Health         `json:"h,omitempty"`
}

// Drop rejects a share of the messages, following
// config.endpoint.v3.ClusterLoadAssignment.Policy.DropOverload.
type Drop struct {
	Category string  `json:"c"`
	Share    float64 `json:"p"` // 0 to 1
}

// Assignment holds the endpoints of a cluster, following
// config.endpoint.v3.ClusterLoadAssignment.
type Assignment struct {
	Name          string        `json:"name"` // of the EDS resource
	Version       string        `json:"version,omitempty"`
	Sum           uint64        `json:"sum,omitempty"`       // content checksum; distinguishes contents with the same version
	Endpoints     []Endpoint    `json:"endpoints,omitempty"` // sorted by Name, without duplicates
	Drops         []Drop        `json:"drops,omitempty"`
	Overprovision uint32        `json:"over,omitempty"`        // percent; 0 is Envoy's default of 140
	ByWeight      bool          `json:"by_weight,omitempty"`   // compute the health of priorities by weight, not by count
	StaleAfter    time.Duration `json:"stale_after,omitempty"` // 0: never

	// If Base is set, this is a delta from the accepted version Base: Endpoints are the
	// new and changed ones, and Removed the names of removed ones. It saves a dispatcher
	// from reading the whole of a large cluster for each changed endpoint.
	Base    *Mark    `json:"base,omitempty"`
	Removed []string `json:"gone,omitempty"`
}

// Cluster is a named group of endpoints, following config.cluster.v3.Cluster.
type Cluster struct {
	Name    string      `json:"name"`
	Version string      `json:"version,omitempty"`
	Sum     uint64      `json:"sum,omitempty"`
	Source  string      `json:"source,omitempty"` // EDS resource with its endpoints; empty if Inline is set
	Inline  *Assignment `json:"inline,omitempty"` // endpoints of a STATIC cluster
}

// Update is one update of either clusters or assignments.
type Update struct {
	OfClusters  bool         `json:"of_clusters,omitempty"`
	Whole       bool         `json:"whole,omitempty"` // complete list of clusters: omitted ones are removed
	Version     string       `json:"version,omitempty"`
	Clusters    []Cluster    `json:"clusters,omitempty"`
	Assignments []Assignment `json:"assignments,omitempty"`
	Removed     []string     `json:"removed,omitempty"`
}
