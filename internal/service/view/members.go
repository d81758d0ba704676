package view

import (
	"time"

	"yardwharf/internal/service/protocol"
)

var statesByKey = keyedList[NodeState]{key: NodeState.Key, match: func(a, b NodeState) bool { return a == b }}

// Key returns the key of a process, unique among all nodes and roles.
func Key(identity protocol.Identity) string { return identity.Node + "/" + identity.Role }

// Key returns the key of the node's identity.
func (s NodeState) Key() string { return Key(s.Identity) }

// SortStates sorts states by key.
func SortStates(states []NodeState) { statesByKey.sort(states) }

// MembersDifference is the difference between two payloads of a monitor's topic.
type MembersDifference struct {
	Monitor string
	Address string
	Changed []NodeState
	Removed []string // keys of removed states
}

// Difference returns the difference from an earlier payload to this one, or false
// if the earlier payload is not Members.
func (m Members) Difference(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(Members)
	if !ok {
		return nil, false
	}
	changed, removed := statesByKey.difference(base.Nodes, m.Nodes)
	return MembersDifference{m.Monitor, m.Address, changed, removed}, true
}

// Apply returns the result of applying the difference to an earlier payload.
func (d MembersDifference) Apply(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(Members)
	if !ok {
		return nil, false
	}
	nodes := statesByKey.apply(base.Nodes, d.Changed, d.Removed)
	return Members{Monitor: d.Monitor, Address: d.Address, Nodes: nodes}, true
}
