// Package membership detects which processes of the service live. Each process
// sends heartbeats to a few monitors among the control members; a monitor
// publishes the state of those that it watches, and views merge what all
// monitors say.
package membership

import (
	"github.com/zeebo/errs"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/wirename"
)

// Class is the class of errors that this package makes.
var Class = errs.Class("membership")

// Details are what a process announces of itself beside its identity.
type Details struct {
	Class   string // of its machine
	StoreID string // of a store's disk
}

// Heartbeat says that a process lives.
type Heartbeat struct {
	Identity      protocol.Identity
	Details       Details
	Refutation    uint64 // grows when the process contradicts a suspicion
	Leaving       bool   // it ends; no heartbeat of this incarnation follows
	MembersDigest uint64 // of the control members that it knows
}

// HeartbeatReply answers Heartbeat.
type HeartbeatReply struct {
	Suspected   bool     // some monitor suspects the process under the incarnation and refutation that follow
	Incarnation uint64   // highest that is known for the process
	Refutation  uint64   // highest that is known for this incarnation
	Members     []string // control members; empty where the digest was right
}

func init() {
	wirename.Register("m", Heartbeat{}, HeartbeatReply{})
}
