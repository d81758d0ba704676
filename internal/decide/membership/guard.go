package membership

import (
	"strconv"
	"strings"
	"time"
)

// historyMost is how many superseded versions of a resource are remembered.
const historyMost = 64

// guard tells deliveries of one resource that are older than what is held from
// new ones. xDS versions are opaque, so two signs count: the very version and
// content were held before and have been superseded, or both versions are of a
// form that has an order (numbers, dotted numbers, RFC 3339 times with a number
// behind) and this one is less. Guards against a host that comes back by a
// replica that lags or by deliveries that arrive out of order.
type guard struct {
	key     string
	version string
	sum     uint64
	removed bool   // what is held has been removed
	past    []mark // superseded ones, the newest last
	aside   *aside
}

// mark is one version of a resource.
type mark struct {
	version string
	sum     uint64
}

// aside is a delivery that looked old, until it is taken after all or superseded.
type aside struct {
	update Update // holds this resource alone
	until  time.Duration
	strict []*host // those that it says get no new work
}

// old says whether a version is older than what is held.
func (g *guard) old(version string, sum uint64) bool {
	if !g.removed && g.version == version && g.sum == sum {
		return false
	}
	for _, m := range g.past {
		if m.version == version && m.sum == sum {
			return true
		}
	}
	return g.version != "" && before(version, g.version)
}

// take books a version as the one that is held.
func (g *guard) take(version string, sum uint64) {
	if !g.removed && (g.version != version || g.sum != sum) {
		g.supersede()
	}
	g.version, g.sum, g.removed = version, sum, false
}

// remove books that what is held has been removed.
func (g *guard) remove() {
	if !g.removed {
		g.supersede()
		g.removed = true
	}
}

// supersede books that what is held holds no longer.
func (g *guard) supersede() {
	if g.version == "" && g.sum == 0 {
		return
	}
	if len(g.past) == historyMost {
		g.past = append(g.past[:0], g.past[1:]...)
	}
	g.past = append(g.past, mark{g.version, g.sum})
}

// reset forgets the past: what comes next is taken as a new beginning.
func (g *guard) reset() { *g = guard{key: g.key} }

// before says whether two versions have an order, and a comes before b.
func before(a, b string) bool {
	x, okA := ordered(a)
	y, okB := ordered(b)
	if !okA || !okB || len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i] != y[i] {
			return x[i] < y[i]
		}
	}
	return false
}

// ordered reads a version of a form that has an order: 17, v17, 1.4.2,
// 2026-11-24T06:00:00Z, 2026-11-24T06:00:00Z/17. Anything else has none: a hash
// that happens to be all digits would be taken for a number, so numbers of more
// than 18 digits are none.
func ordered(version string) ([]uint64, bool) {
	date, rest, _ := strings.Cut(version, "/")
	if t, err := time.Parse(time.RFC3339Nano, date); err == nil {
		n, err := strconv.ParseUint(rest, 10, 64)
		if err != nil && rest != "" {
			return nil, false
		}
		return []uint64{uint64(t.UnixNano()), n}, true
	}
	var out []uint64
	for part := range strings.SplitSeq(strings.TrimPrefix(version, "v"), ".") {
		n, err := strconv.ParseUint(part, 10, 64)
		if err != nil || len(part) > 18 {
			return nil, false
		}
		out = append(out, n)
	}
	return out, true
}
