package distribution

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Version orders the updates of a topic: by epoch, then by counter. The zero
// value is older than all others.
type Version struct{ Epoch, Counter uint64 }

// An epoch is a term above the hash of its publisher, so that two publishers
// which begin the same term never make the same version.
const termShift = 32

// Compare returns -1, 0 or 1 as v is older than, the same as or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Counter, other.Counter))
}

// Newer reports whether v is newer than other.
func (v Version) Newer(other Version) bool { return v.Compare(other) > 0 }

// nextEpoch returns the first version of an epoch of a publisher above all
// that has been seen.
func nextEpoch(seen Version, publisher string) Version {
	term := seen.Epoch>>termShift + 1
	return Version{Epoch: term<<termShift | xxhash.Sum64String(publisher)&(1<<termShift-1), Counter: 1}
}
