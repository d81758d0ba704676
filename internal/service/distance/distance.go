// Package distance computes the distance between zones. Copies, leases, senders and control members are all
// chosen by it, so that the whole service uses the same distances.
package distance

// Distance ranks how far apart two zones are. A larger distance means higher latency and traffic cost.
type Distance int

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Map maps each zone to its region. With an empty map all zones are in the same region.
type Map map[string]string

// Between returns the distance between two zones. A zone without a known region is in a region of its own,
// unless the map is empty.
func (m Map) Between(a, b string) Distance {
	if a == b {
		return SameZone
	}
	if m.SameRegion(a, b) {
		return SameRegion
	}
	return OtherRegion
}

// SameRegion reports whether two zones are in the same region.
func (m Map) SameRegion(a, b string) bool {
	if a == b || len(m) == 0 {
		return true
	}
	region, known := m[a]
	other, otherKnown := m[b]
	return known && otherKnown && region == other
}
