// Package distribution distributes the newest payload of each topic from the
// control members to agents and dispatchers. The version of a topic only grows.
// Receivers pull topics by long polls that state the versions they hold.
package distribution

import (
	"time"

	"yardwharf/internal/service/wirename"
)

// Update is the payload of a topic under a version.
type Update struct {
	Topic   string
	Version Version
	Base    Version       // if not zero, the payload is a Difference from this version
	Age     time.Duration // time since the payload was created, when the update is sent
	Payload any
}

// Confirmation states how long ago a version was last known to be current, and the
// interval after which the next confirmation is due.
type Confirmation struct {
	Version Version
	Age     time.Duration
	Every   time.Duration
}

// Pull requests the updates that are newer than a version vector.
type Pull struct {
	Vector map[string]Version // versions that the caller holds; with Base, only those changed since that vector
	Base   uint64             // digest of the vector that the caller last sent on this connection; 0: none
	Topics []string           // prefixes of the wanted topics; empty: all
	Wait   time.Duration      // how long the reply may be delayed while nothing is newer
	Brief  bool               // omit payloads: the caller normally gets them from another source
}

// PullReply is the reply to Pull.
type PullReply struct {
	Updates       []Update
	Newer         map[string]Version // with Brief: versions newer than the vector
	Confirmations map[string]Confirmation
	Held          time.Duration // how long the reply was delayed
	Unknown       bool          // Base is not known: the caller must repeat the request with the full vector
}

// Sized is a payload that knows an upper bound of its size in a frame. Payloads without it count as small.
type Sized interface {
	MaxEncodedBytes() int
}

// Incremental is a payload that can be sent as a difference.
type Incremental interface {
	// Difference returns the difference from an earlier payload to this one, which
	// was created the elapsed time after it, or false if the full payload must be sent.
	Difference(earlier any, elapsed time.Duration) (difference any, ok bool)
}

// Difference is the difference between a payload and a later one.
type Difference interface {
	// Apply returns the result of applying the difference to an earlier payload, which
	// was created the elapsed time before.
	Apply(earlier any, elapsed time.Duration) (later any, ok bool)
}

func init() {
	wirename.Register("d", Pull{}, PullReply{})
}
