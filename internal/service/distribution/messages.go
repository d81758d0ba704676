// Package distribution hands the newest payload of each topic from the control
// members to agents and dispatchers. A topic has one version that only grows.
// Those who want a topic pull it with a long poll that names what they hold.
package distribution

import (
	"time"

	"yardwharf/internal/service/wirename"
)

// Update is the payload of a topic under a version.
type Update struct {
	Topic   string
	Version Version
	Base    Version       // where it is not zero, the payload is a Difference from this version
	Age     time.Duration // since the payload was made, at the moment of encoding
	Payload any
}

// Confirmation says how long ago a version was known to be current, and after
// what time from then the next confirmation is due.
type Confirmation struct {
	Version Version
	Age     time.Duration
	Every   time.Duration
}

// Pull asks for what is newer than a version vector.
type Pull struct {
	Vector map[string]Version // what the caller holds; with a base, what has changed since then
	Base   uint64             // digest of the vector that the caller last sent on this connection; 0: none
	Topics []string           // prefixes of the wanted topics; empty: all
	Wait   time.Duration      // for how long the answer may be held back when nothing is newer
	Brief  bool               // payloads are left out: the caller gets them from elsewhere, as a rule
}

// PullReply answers Pull.
type PullReply struct {
	Updates       []Update
	Newer         map[string]Version // with Brief: what is newer than the vector
	Confirmations map[string]Confirmation
	Held          time.Duration // for how long the answer was held back
	Unknown       bool          // the base of the request: it is to be sent again with the whole vector
}

// Incremental is a payload that can be sent as a difference.
type Incremental interface {
	// Difference returns what leads from an earlier payload to this one, which
	// was made elapsed after it, or false where only the whole will do.
	Difference(earlier any, elapsed time.Duration) (difference any, ok bool)
}

// Difference leads from one payload to a later one.
type Difference interface {
	// Apply returns the payload that follows from an earlier one.
	Apply(earlier any, elapsed time.Duration) (later any, ok bool)
}

func init() {
	wirename.Register("d", Pull{}, PullReply{})
}
