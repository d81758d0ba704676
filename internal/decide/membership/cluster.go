package membership

import (
	"slices"
	"time"

	"yardwharf"
)

// defaultOverprovision is Envoy's default overprovisioning_factor in percent: a
// priority counts as fully healthy while at least 1/1.4 of its hosts are.
const defaultOverprovision = 140

// cluster is the accepted state of a cluster.
type cluster struct {
	name         string
	roster       bool // holds the platform's roster or the initial hosts; has no pools
	spec         Cluster
	endpoints    []Endpoint // sorted by name
	assignment   *Assignment
	warmDeadline time.Duration // deadline for its first endpoints; 0 if it does not wait
	retired      bool          // removed, but serves until other hosts can
	staleAt      time.Duration // when its endpoints become stale; 0: never
	stale        bool
	degraded     bool            // degraded hosts get work
	levels       []priorityLevel // indexed by priority
	dirty        bool            // view may have changed since the last TakeChanges
}

// priorityLevel counts the hosts of one priority of a cluster.
type priorityLevel struct {
	pool                                       int
	total, healthy, degraded                   int
	totalWeight, healthyWeight, degradedWeight float64
}

// pool returns the pool of a priority, or 0 if it has none yet.
func (c *cluster) pool(priority uint32) int {
	if int(priority) < len(c.levels) {
		return c.levels[priority].pool
	}
	return 0
}

// addToLevels adds a host to the counts of its clusters (sign 1) or subtracts it (sign -1).
func addToLevels(n *host, sign int) {
	for i := range n.entries {
		r := &n.entries[i]
		c := r.cluster
		for len(c.levels) <= int(r.endpoint.Priority) {
			c.levels = append(c.levels, priorityLevel{})
		}
		l, w := &c.levels[r.endpoint.Priority], max(r.endpoint.Weight, 1)*float64(sign)
		l.total += sign
		l.totalWeight += w
		switch {
		case n.State != yardwharf.Ready:
		case r.endpoint.Health == Degraded:
			l.degraded += sign
			l.degradedWeight += w
		default:
			l.healthy += sign
			l.healthyWeight += w
		}
	}
}

// needsDegraded reports whether the cluster has degraded hosts and no healthy ones.
func (c *cluster) needsDegraded() bool {
	degraded := 0
	for i := range c.levels {
		if c.levels[i].healthy > 0 {
			return false
		}
		degraded += c.levels[i].degraded
	}
	return degraded > 0
}

// Load is the share of a cluster's messages that goes to one of its pools.
type Load struct {
	Pool  int
	Share float64 // 0 to 1
}

// View is what routing needs to know of a cluster.
type View struct {
	Name   string
	Gone   bool
	Weight float64 // total weight of the hosts that get work
	Loads  []Load  // in order of priority; empty if no host gets work
	Drops  []Drop
}

// view computes how a cluster's messages are spread over its priorities, following
// Envoy's priority levels: each takes the share of its healthy hosts times the
// overprovisioning factor, and the rest spills over to the next. If the shares add up
// to less than 1, they are scaled up. Envoy's panic routing, which sends work to unfit
// hosts again, is not implemented: a drain is always honoured.
func (c *cluster) view() View {
	v := View{Name: c.name}
	over, byWeight := float64(defaultOverprovision), false
	if c.assignment != nil {
		v.Drops, byWeight = c.assignment.Drops, c.assignment.ByWeight
		if c.assignment.Overprovision > 0 {
			over = float64(c.assignment.Overprovision)
		}
	}
	left, sum := 1.0, 0.0
	for i := range c.levels {
		l := &c.levels[i]
		good, total := float64(l.healthy), float64(l.total)
		if c.degraded {
			good = float64(l.degraded)
		}
		if byWeight {
			if good, total = l.healthyWeight, l.totalWeight; c.degraded {
				good = l.degradedWeight
			}
		}
		if l.total == 0 || good <= 0 {
			continue
		}
		if v.Weight += l.healthyWeight; c.degraded {
			v.Weight += l.degradedWeight
		}
		part := min(left, min(1, over/100*good/total))
		if part <= 0 {
			continue
		}
		left -= part
		sum += part
		v.Loads = append(v.Loads, Load{l.pool, part})
	}
	for i := range v.Loads {
		v.Loads[i].Share /= sum
	}
	return v
}

// equal reports whether two views are equal.
func (v View) equal(o View) bool {
	return v.Gone == o.Gone && v.Weight == o.Weight && slices.Equal(v.Loads, o.Loads) && slices.Equal(v.Drops, o.Drops)
}
