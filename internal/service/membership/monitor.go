package membership

import (
	"time"

	"yardwharf/internal/service/view"
)

// Missed heartbeats, in periods, after which a process is suspect and dead.
const (
	suspectAfter = 2.5
	deadAfter    = 4.0
)

const (
	forgetAfter = 5 * time.Minute // the dead and those that left are dropped then
	stallAfter  = 2               // periods between two ticks after which the monitor itself must have stood still
)

// Monitor keeps the state of the processes whose heartbeats it receives. It is
// pure: time is an argument. It is not safe for use by several goroutines.
type Monitor struct {
	name     string
	address  string
	period   time.Duration
	nodes    map[string]*watched
	others   map[string]view.NodeState
	lastTick time.Time
}

type watched struct {
	state view.NodeState
	heard time.Time
}

// NewMonitor returns a monitor that expects a heartbeat in each period. Its address is
// that of its control member.
func NewMonitor(name, address string, period time.Duration) *Monitor {
	return &Monitor{name: name, address: address, period: period, nodes: map[string]*watched{}, others: map[string]view.NodeState{}}
}

// Beat takes a heartbeat. It reports whether the monitor's view has changed.
func (m *Monitor) Beat(now time.Time, beat Heartbeat) (reply HeartbeatReply, changed bool) {
	key := view.Key(beat.Identity)
	node := m.nodes[key]
	if node != nil && older(beat, node.state) {
		return HeartbeatReply{
			Suspected: true, Incarnation: node.state.Identity.Incarnation, Refutation: node.state.Refutation,
		}, false
	}
	next := view.NodeState{
		Identity: beat.Identity, Refutation: beat.Refutation,
		Class: beat.Details.Class, StoreID: beat.Details.StoreID,
		Alive: !beat.Leaving, Left: beat.Leaving,
	}
	changed = node == nil || node.state != next
	m.nodes[key] = &watched{state: next, heard: now}
	return m.contradiction(key, next), changed
}

// older reports whether a heartbeat is of an earlier incarnation or
// refutation, or follows the leave of its own.
func older(beat Heartbeat, known view.NodeState) bool {
	if beat.Identity.Incarnation != known.Identity.Incarnation {
		return beat.Identity.Incarnation < known.Identity.Incarnation
	}
	return beat.Refutation < known.Refutation || known.Left && !beat.Leaving
}

// contradiction tells a process what other monitors hold against it.
func (m *Monitor) contradiction(key string, state view.NodeState) HeartbeatReply {
	reply := HeartbeatReply{Incarnation: state.Identity.Incarnation, Refutation: state.Refutation}
	other, known := m.others[key]
	if !known || state.Left || !Supersedes(other, state) {
		return reply
	}
	reply.Suspected = true
	reply.Incarnation = max(reply.Incarnation, other.Identity.Incarnation)
	reply.Refutation = max(reply.Refutation, other.Refutation)
	return reply
}

// SetOthers tells the monitor what other monitors say, so that suspects learn
// of it with their next heartbeat.
func (m *Monitor) SetOthers(states []view.NodeState) {
	m.others = make(map[string]view.NodeState, len(states))
	for _, state := range states {
		if state.Suspect || !state.Alive {
			m.others[state.Key()] = state
		}
	}
}

// Tick looks for missed heartbeats and reports whether the view has changed.
// When the monitor itself has stood still, all get the lost time as grace.
func (m *Monitor) Tick(now time.Time) (changed bool) {
	if stall := now.Sub(m.lastTick); !m.lastTick.IsZero() && stall > time.Duration(stallAfter*m.period) {
		for _, node := range m.nodes {
			node.heard = node.heard.Add(stall)
		}
	}
	m.lastTick = now
	for key, node := range m.nodes {
		silence := now.Sub(node.heard)
		switch {
		case !node.state.Alive && silence > forgetAfter:
			delete(m.nodes, key)
			changed = true
		case !node.state.Alive:
		case silence > time.Duration(deadAfter*float64(m.period)):
			node.state.Alive, node.state.Suspect = false, false
			changed = true
		case !node.state.Suspect && silence > time.Duration(suspectAfter*float64(m.period)):
			node.state.Suspect = true
			changed = true
		}
	}
	return changed
}

// View returns the state of all that the monitor watches.
func (m *Monitor) View() view.Members {
	members := view.Members{Monitor: m.name, Address: m.address, Nodes: make([]view.NodeState, 0, len(m.nodes))}
	for _, node := range m.nodes {
		members.Nodes = append(members.Nodes, node.state)
	}
	view.SortStates(members.Nodes)
	return members
}
