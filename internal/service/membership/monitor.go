package membership

import (
	"time"

	"yardwharf/internal/service/view"
)

// Heartbeat periods of silence after which a process counts as suspect or dead.
const (
	suspectAfterPeriods = 2.5
	deadAfterPeriods    = 4.0
)

const (
	forgetAfter       = 5 * time.Minute // silence after which a dead or departed process is dropped
	maxTickGapPeriods = 2               // a longer gap between two ticks means that the monitor itself was stalled
)

// Monitor keeps the state of the processes whose heartbeats it receives. It reads
// no clock: time is an argument. It is not safe for concurrent use.
type Monitor struct {
	name     string
	address  string
	period   time.Duration
	nodes    map[string]*watchedNode
	others   map[string]view.NodeState
	lastTick time.Time
}

type watchedNode struct {
	state         view.NodeState
	lastHeartbeat time.Time
}

// NewMonitor returns a monitor that expects a heartbeat in each period. The address is
// that of the control member that runs the monitor.
func NewMonitor(name, address string, period time.Duration) *Monitor {
	return &Monitor{name: name, address: address, period: period, nodes: map[string]*watchedNode{}, others: map[string]view.NodeState{}}
}

// HandleHeartbeat handles a heartbeat and reports whether the monitor's view has changed.
func (m *Monitor) HandleHeartbeat(now time.Time, heartbeat Heartbeat) (reply HeartbeatReply, changed bool) {
	key := view.Key(heartbeat.Identity)
	node := m.nodes[key]
	if node != nil && isStale(heartbeat, node.state) {
		return HeartbeatReply{
			Suspected: true, Incarnation: node.state.Identity.Incarnation, Refutation: node.state.Refutation,
		}, false
	}
	next := view.NodeState{
		Identity: heartbeat.Identity, Refutation: heartbeat.Refutation,
		Class: heartbeat.Details.Class, StoreID: heartbeat.Details.StoreID,
		Alive: !heartbeat.Leaving, Left: heartbeat.Leaving,
	}
	changed = node == nil || node.state != next
	m.nodes[key] = &watchedNode{state: next, lastHeartbeat: now}
	return m.replyWithSuspicion(key, next), changed
}

// isStale reports whether a heartbeat has an earlier incarnation or refutation
// than the known state, or arrives after the leave of its own incarnation.
func isStale(heartbeat Heartbeat, known view.NodeState) bool {
	if heartbeat.Identity.Incarnation != known.Identity.Incarnation {
		return heartbeat.Identity.Incarnation < known.Identity.Incarnation
	}
	return heartbeat.Refutation < known.Refutation || known.Left && !heartbeat.Leaving
}

// replyWithSuspicion returns the reply to a heartbeat. If other monitors suspect the
// process, the reply says so, and the process can refute the suspicion.
func (m *Monitor) replyWithSuspicion(key string, state view.NodeState) HeartbeatReply {
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

// SetOthers sets the states reported by other monitors. Processes that are suspect
// or dead in them are told in the reply to their next heartbeat.
func (m *Monitor) SetOthers(states []view.NodeState) {
	m.others = make(map[string]view.NodeState, len(states))
	for _, state := range states {
		if state.Suspect || !state.Alive {
			m.others[state.Key()] = state
		}
	}
}

// Tick checks for missed heartbeats and reports whether the view has changed. If
// the monitor itself was stalled, the stall does not count as silence of any process.
func (m *Monitor) Tick(now time.Time) (changed bool) {
	if stall := now.Sub(m.lastTick); !m.lastTick.IsZero() && stall > time.Duration(maxTickGapPeriods*m.period) {
		for _, node := range m.nodes {
			node.lastHeartbeat = node.lastHeartbeat.Add(stall)
		}
	}
	m.lastTick = now
	for key, node := range m.nodes {
		silence := now.Sub(node.lastHeartbeat)
		switch {
		case !node.state.Alive && silence > forgetAfter:
			delete(m.nodes, key)
			changed = true
		case !node.state.Alive:
		case silence > time.Duration(deadAfterPeriods*float64(m.period)):
			node.state.Alive, node.state.Suspect = false, false
			changed = true
		case !node.state.Suspect && silence > time.Duration(suspectAfterPeriods*float64(m.period)):
			node.state.Suspect = true
			changed = true
		}
	}
	return changed
}

// View returns the state of all watched processes, ordered by key.
func (m *Monitor) View() view.Members {
	members := view.Members{Monitor: m.name, Address: m.address, Nodes: make([]view.NodeState, 0, len(m.nodes))}
	for _, node := range m.nodes {
		members.Nodes = append(members.Nodes, node.state)
	}
	view.SortStates(members.Nodes)
	return members
}
