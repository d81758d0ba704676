// Package distance tells how far apart two zones are. Copies, leases, senders and control members are all
// chosen by it, so that one notion of nearness holds throughout the service.
package distance

// Distance is how far apart two zones are; a larger one costs more time and dearer bytes.
type Distance int

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Map knows the region of each zone. Without regions all zones are in the same one.
type Map map[string]string

// Between returns the distance of two zones. A zone without a known region is in a region of its own,
// unless no zone has one.
func (m Map) Between(a, b string) Distance {
	if a == b {
		return SameZone
	}
	if m.SameRegion(a, b) {
		return SameRegion
	}
	return OtherRegion
}

// SameRegion reports whether two zones are in one region.
func (m Map) SameRegion(a, b string) bool {
	if a == b || len(m) == 0 {
		return true
	}
	region, known := m[a]
	other, otherKnown := m[b]
	return known && otherKnown && region == other
}
