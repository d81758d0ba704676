package membership

import (
	"slices"
	"time"

	"yardwharf"
)

// defaultOverprovision is Envoy's overprovisioning_factor, in percent: a priority
// counts as whole while 1/1.4 of its hosts are healthy.
const defaultOverprovision = 140

// cluster is a cluster as it is held.
type cluster struct {
	name      string
	roster    bool // the platform's list, or what was known before: it has no pools
	spec      Cluster
	endpoints []Endpoint // sorted by name
	from      *Assignment
	warmBy    time.Duration // while it waits for its endpoints: until then; else 0
	retired   bool          // removed; serves on until others can
	staleAt   time.Duration // then its endpoints count as stale; 0: never
	stale     bool
	degraded  bool    // degraded hosts are in use
	levels    []level // by priority
	touched   bool    // its view may have changed since the last Take
}

// level is one priority of a cluster.
type level struct {
	pool                       int
	total, healthy, degraded   int
	totalW, healthyW, degradeW float64
}

// pool is the pool of a priority; 0 where it has none yet.
func (c *cluster) pool(priority uint32) int {
	if int(priority) < len(c.levels) {
		return c.levels[priority].pool
	}
	return 0
}

// count books a host in its clusters, by 1, or takes it out, by -1.
func count(n *host, by int) {
	for i := range n.refs {
		r := &n.refs[i]
		c := r.c
		for len(c.levels) <= int(r.e.Priority) {
			c.levels = append(c.levels, level{})
		}
		l, w := &c.levels[r.e.Priority], max(r.e.Weight, 1)*float64(by)
		l.total += by
		l.totalW += w
		switch {
		case n.State != yardwharf.Ready:
		case r.e.Health == Degraded:
			l.degraded += by
			l.degradeW += w
		default:
			l.healthy += by
			l.healthyW += w
		}
	}
}

// needsDegraded says whether nothing better is left than degraded hosts.
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

// Load is the part of a cluster's messages that goes to one of its pools.
type Load struct {
	Pool int
	Part float64 // of 1
}

// View is a cluster as those see it who choose among clusters.
type View struct {
	Name  string
	Gone  bool
	Size  float64 // weights of the hosts that get work, added up
	Loads []Load  // in the order of priorities; none where no host may be sent to
	Drops []Drop
}

// view works out how a cluster's messages are spread over its priorities, as Envoy
// does (load balancing, priority levels): each takes what its health, stretched by
// the overprovisioning factor, lets it; the rest spills to the next. Where all
// together are not whole, the parts are scaled up. Envoy's panic routing, by which
// unfit hosts get work again, is not built: a drain is always honoured.
func (c *cluster) view() View {
	v := View{Name: c.name}
	over, byWeight := float64(defaultOverprovision), false
	if c.from != nil {
		v.Drops, byWeight = c.from.Drops, c.from.ByWeight
		if c.from.Overprovision > 0 {
			over = float64(c.from.Overprovision)
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
			if good, total = l.healthyW, l.totalW; c.degraded {
				good = l.degradeW
			}
		}
		if l.total == 0 || good <= 0 {
			continue
		}
		if v.Size += l.healthyW; c.degraded {
			v.Size += l.degradeW
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
		v.Loads[i].Part /= sum
	}
	return v
}

// same says whether two views say the same.
func (v View) same(o View) bool {
	return v.Gone == o.Gone && v.Size == o.Size && slices.Equal(v.Loads, o.Loads) && slices.Equal(v.Drops, o.Drops)
}
