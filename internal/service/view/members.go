package view

import (
	"time"

	"yardwharf/internal/service/protocol"
)

var statesByKey = keyed[NodeState]{key: NodeState.Key, match: func(a, b NodeState) bool { return a == b }}

// Key names a process among all nodes and roles.
func Key(identity protocol.Identity) string { return identity.Node + "/" + identity.Role }

// Key returns the key of the node's identity.
func (s NodeState) Key() string { return Key(s.Identity) }

// SortStates puts states in the order of their keys.
func SortStates(states []NodeState) { statesByKey.sort(states) }

// MembersDifference leads from one state of a monitor's topic to a later one.
type MembersDifference struct {
	Monitor string
	Address string
	Changed []NodeState
	Removed []string // keys
}

// Difference returns what leads from an earlier state to this one, or false
// where the earlier payload is no Members.
func (m Members) Difference(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(Members)
	if !ok {
		return nil, false
	}
	changed, removed := statesByKey.difference(base.Nodes, m.Nodes)
	return MembersDifference{m.Monitor, m.Address, changed, removed}, true
}

// Apply returns the state that follows from an earlier one.
func (d MembersDifference) Apply(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(Members)
	if !ok {
		return nil, false
	}
	nodes := statesByKey.apply(base.Nodes, d.Changed, d.Removed)
	return Members{Monitor: d.Monitor, Address: d.Address, Nodes: nodes}, true
}
