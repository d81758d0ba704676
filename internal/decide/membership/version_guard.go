package membership

import (
	"strconv"
	"strings"
	"time"
)

// maxPastVersions is how many superseded versions of a resource are remembered.
const maxPastVersions = 64

// versionGuard detects updates of one resource that are older than the accepted one.
// xDS versions are opaque, so an update counts as old in two cases: the same version
// and content was accepted before and has been superseded, or both versions have an
// ordered form (numbers, dotted numbers, RFC 3339 times with an optional number) and
// this one is lower. Otherwise a lagging replica or updates that arrive out of order
// could bring back a removed host.
type versionGuard struct {
	key      string
	version  string
	sum      uint64
	removed  bool          // the resource has been removed
	past     []versionMark // superseded versions, newest last
	deferred *deferredUpdate
}

// versionMark identifies one version of a resource.
type versionMark struct {
	version string
	sum     uint64
}

// deferredUpdate is an update that looked old, kept until it is accepted or superseded.
type deferredUpdate struct {
	update   Update // contains this resource only
	until    time.Duration
	excluded []*host // hosts that it excludes from new work
}

// isOld reports whether a version looks older than the accepted one.
func (g *versionGuard) isOld(version string, sum uint64) bool {
	if !g.removed && g.version == version && g.sum == sum {
		return false
	}
	for _, m := range g.past {
		if m.version == version && m.sum == sum {
			return true
		}
	}
	return g.version != "" && versionLess(version, g.version)
}

// accept records a version as the accepted one.
func (g *versionGuard) accept(version string, sum uint64) {
	if !g.removed && (g.version != version || g.sum != sum) {
		g.supersede()
	}
	g.version, g.sum, g.removed = version, sum, false
}

// remove records that the resource has been removed.
func (g *versionGuard) remove() {
	if !g.removed {
		g.supersede()
		g.removed = true
	}
}

// supersede moves the accepted version to the past versions.
func (g *versionGuard) supersede() {
	if g.version == "" && g.sum == 0 {
		return
	}
	if len(g.past) == maxPastVersions {
		g.past = append(g.past[:0], g.past[1:]...)
	}
	g.past = append(g.past, versionMark{g.version, g.sum})
}

// reset forgets all versions, so that any next one is accepted.
func (g *versionGuard) reset() { *g = versionGuard{key: g.key} }

// versionLess reports whether two versions are comparable and a is lower than b.
func versionLess(a, b string) bool {
	x, okA := parseOrderedVersion(a)
	y, okB := parseOrderedVersion(b)
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

// parseOrderedVersion parses a version that has an ordered form: 17, v17, 1.4.2,
// 2026-11-24T06:00:00Z, 2026-11-24T06:00:00Z/17. It rejects anything else, including
// numbers of more than 18 digits, which may be hashes that happen to be all digits.
func parseOrderedVersion(version string) ([]uint64, bool) {
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
