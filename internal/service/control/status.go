package control

import (
	"slices"

	"yardwharf/internal/service/coordination"
	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/status"
	"yardwharf/internal/service/view"
)

// fillStatus adds what this control member knows to a report.
func fillStatus(report *status.Report, replica *replica, hub *distribution.Hub, coordination *coordination.Coordination) {
	states := coordination.Members()
	if value := replica.known().Value; value != nil {
		report.Revision = value.Revision
		report.Members = membersWithoutHeartbeat(value, states)
		report.Stores = knownStores(value, states)
	}
	for _, state := range states {
		report.Members = append(report.Members, status.MemberOf(state))
	}
	if senders, _, held := distribution.Payload[view.Senders](hub, view.TopicSenders); held {
		report.Senders = len(senders.List)
	}
	reads := uint64(0)
	if coordination.IsReader() {
		reads = 1
	}
	report.Counters = append(report.Counters, status.Counter{Name: "reads_platform_list", Value: reads})
}

// membersWithoutHeartbeat lists the register members from which no heartbeat was received.
func membersWithoutHeartbeat(value *register.Value, states []view.NodeState) []status.Member {
	var listed []status.Member
	for _, member := range value.Members {
		hasHeartbeat := slices.ContainsFunc(states, func(s view.NodeState) bool { return s.Identity.Address == member.Address })
		if !hasHeartbeat {
			listed = append(listed, status.Member{
				Node: member.Node, Role: roleName, Zone: member.Zone, Address: member.Address, State: status.Listed,
			})
		}
	}
	return listed
}

// knownStores lists the stores of the register's value.
func knownStores(value *register.Value, states []view.NodeState) []status.Store {
	stores := make([]status.Store, 0, len(value.Stores))
	for _, store := range value.Stores {
		up := slices.ContainsFunc(states, func(s view.NodeState) bool {
			return s.Identity.Address == store.Address && s.Alive && !s.Left
		})
		stores = append(stores, status.Store{
			Node: store.Node, Zone: store.Zone, Address: store.Address, Up: up,
			Leaving: slices.Contains(value.Leaving, store.Node),
		})
	}
	return stores
}
