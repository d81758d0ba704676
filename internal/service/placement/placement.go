// Package placement orders nodes by rendezvous hashing. All processes that know the
// same nodes agree on the order, and the loss of one node moves only its own keys.
package placement

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Order returns the nodes in order of preference for owning a key. The result does
// not depend on the order of the argument, which is left unchanged.
func Order(key string, nodes []string) []string {
	ordered := slices.Clone(nodes)
	weights := make(map[string]uint64, len(nodes))
	for _, node := range nodes {
		weights[node] = weight(key, node)
	}
	slices.SortFunc(ordered, func(a, b string) int {
		switch {
		case weights[a] > weights[b]:
			return -1
		case weights[a] < weights[b]:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	return ordered
}

// First returns the preferred owner of a key, or "" if there are no nodes.
func First(key string, nodes []string) string {
	first, highest := "", uint64(0)
	for _, node := range nodes {
		w := weight(key, node)
		if first == "" || w > highest || w == highest && node < first {
			first, highest = node, w
		}
	}
	return first
}

func weight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
