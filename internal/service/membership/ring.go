package membership

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// pointsPerMember is the number of virtual nodes of each control member on the hash ring.
const pointsPerMember = 32

type point struct {
	position uint64
	member   string
}

// Monitors returns the control members that watch a process: the first count
// distinct members that follow the process's name on a hash ring.
func Monitors(name string, members []string, count int) []string {
	points := make([]point, 0, len(members)*pointsPerMember)
	for _, member := range members {
		for i := range pointsPerMember {
			points = append(points, point{xxhash.Sum64String(member + "#" + strconv.Itoa(i)), member})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.position, b.position), strings.Compare(a.member, b.member))
	})
	start, _ := slices.BinarySearchFunc(points, xxhash.Sum64String(name), func(p point, position uint64) int {
		return cmp.Compare(p.position, position)
	})
	var chosen []string
	for i := range points {
		if member := points[(start+i)%len(points)].member; !slices.Contains(chosen, member) {
			chosen = append(chosen, member)
		}
		if len(chosen) == count {
			break
		}
	}
	return chosen
}

// Digest returns a hash of a set of control members that does not depend on their order.
func Digest(members []string) uint64 {
	sorted := slices.Sorted(slices.Values(members))
	return xxhash.Sum64String(strings.Join(sorted, " "))
}
