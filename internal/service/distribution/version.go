package distribution

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Version is the version of a topic, ordered by epoch, then by counter. The zero
// value is older than all others.
type Version struct{ Epoch, Counter uint64 }

// An epoch holds a term in its upper bits and a hash of its publisher in the lower
// ones, so that two publishers that start the same term create different versions.
const termShift = 32

// Compare returns -1, 0 or 1 as v is older than, the same as or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Counter, other.Counter))
}

// Newer reports whether v is newer than other.
func (v Version) Newer(other Version) bool { return v.Compare(other) > 0 }

// nextEpoch returns the first version of a new epoch of a publisher, newer than
// the newest version seen.
func nextEpoch(seen Version, publisher string) Version {
	term := seen.Epoch>>termShift + 1
	return Version{Epoch: term<<termShift | xxhash.Sum64String(publisher)&(1<<termShift-1), Counter: 1}
}
