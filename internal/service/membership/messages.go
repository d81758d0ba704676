// Package membership detects which processes of the service are alive. Each
// process sends heartbeats to a few control members that act as its monitors. A
// monitor publishes the state of the processes that it watches; Merge combines
// the observations of all monitors.
package membership

import (
	"github.com/zeebo/errs"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/wirename"
)

// Class is the error class of this package.
var Class = errs.Class("membership")

// Details holds what a process announces about itself in addition to its identity.
type Details struct {
	Class   string // machine class
	StoreID string // of the store's disk; stores only
}

// Heartbeat announces that a process is alive.
type Heartbeat struct {
	Identity      protocol.Identity
	Details       Details
	Refutation    uint64 // incremented when the process refutes a suspicion
	Leaving       bool   // the process is shutting down; no further heartbeat of this incarnation follows
	MembersDigest uint64 // Digest of the control members known to the process
}

// HeartbeatReply answers Heartbeat.
type HeartbeatReply struct {
	Suspected   bool     // monitors know a state that supersedes the heartbeat, which the process should refute
	Incarnation uint64   // highest known for the process
	Refutation  uint64   // highest known for this incarnation
	Members     []string // current control members; empty if MembersDigest matches them
}

func init() {
	wirename.Register("m", Heartbeat{}, HeartbeatReply{})
}
