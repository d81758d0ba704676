package status

import "yardwharf/internal/service/view"

// MemberOf returns the report entry of a process that sends heartbeats.
func MemberOf(state view.NodeState) Member {
	return Member{
		Node: state.Identity.Node, Role: state.Identity.Role, Zone: state.Identity.Zone,
		Address: state.Identity.Address, State: memberState(state),
	}
}

// memberState returns the reported state of a member; Left takes precedence.
func memberState(state view.NodeState) string {
	switch {
	case state.Left:
		return Left
	case !state.Alive:
		return Dead
	case state.Suspect:
		return Suspect
	default:
		return Alive
	}
}
