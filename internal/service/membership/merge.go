package membership

import (
	"github.com/benbjohnson/immutable"

	"yardwharf/internal/service/journal"
	"yardwharf/internal/service/view"
)

// ControlRole is the role of control members, the processes that act as monitors.
const ControlRole = "control"

// Supersedes reports whether state a of a process takes precedence over state b.
// The newer incarnation wins, then the leave announced by the process itself, then
// the newer refutation, then the healthier state.
func Supersedes(a, b view.NodeState) bool {
	switch {
	case a.Identity.Incarnation != b.Identity.Incarnation:
		return a.Identity.Incarnation > b.Identity.Incarnation
	case a.Left != b.Left:
		return a.Left
	case a.Refutation != b.Refutation:
		return a.Refutation > b.Refutation
	case a.Alive != b.Alive:
		return a.Alive
	default:
		return !a.Suspect && b.Suspect
	}
}

type stateMap = immutable.SortedMap[string, view.NodeState]

// foldStates adds a state to the map unless the state already held takes precedence.
func foldStates(known *stateMap, next view.NodeState) *stateMap {
	key := next.Key()
	if held, ok := known.Get(key); ok && !Supersedes(next, held) {
		return known
	}
	return known.Set(key, next)
}

// Merge combines the observations of all monitors into one state for each process,
// ordered by key. The last observation of a dead monitor is outdated, so it is used
// only for processes that no live monitor watches, and it never makes a process on the
// dead monitor's own machine count as alive.
func Merge(observations []view.Members) []view.NodeState {
	dead := deadMonitors(observations)
	merged, outdated := newStateView(), newStateView()
	for _, observation := range observations {
		if dead[observation.Monitor] {
			outdated.Apply(observation.Nodes...)
		} else {
			merged.Apply(observation.Nodes...)
		}
	}
	for _, state := range sortedStates(outdated.State()) {
		if _, watched := merged.State().Get(state.Key()); watched {
			continue
		}
		if dead[state.Identity.Node] {
			state.Alive = false
		}
		merged.Apply(state)
	}
	return sortedStates(merged.State())
}

// deadMonitors returns the monitors that other monitors report dead. The last
// observation of a dead monitor may be older than the death of another one, so
// observations of dead monitors are excluded and the search is repeated until it finds
// no further dead monitor.
func deadMonitors(observations []view.Members) map[string]bool {
	dead := map[string]bool{}
	for {
		found := monitorsReportedDead(observations, dead)
		if len(found) == 0 {
			return dead
		}
		for _, monitor := range found {
			dead[monitor] = true
		}
	}
}

// monitorsReportedDead returns the monitors that others report dead. It ignores the
// observations of excluded monitors and does not return them.
func monitorsReportedDead(observations []view.Members, excluded map[string]bool) []string {
	fold := newStateView()
	for _, observation := range observations {
		if excluded[observation.Monitor] {
			continue
		}
		for _, state := range observation.Nodes {
			if state.Identity.Role == ControlRole && state.Identity.Node != observation.Monitor {
				fold.Apply(state)
			}
		}
	}
	var found []string
	for _, state := range sortedStates(fold.State()) {
		if !state.Alive && !excluded[state.Identity.Node] {
			found = append(found, state.Identity.Node)
		}
	}
	return found
}

func newStateView() *journal.View[*stateMap, view.NodeState] {
	return journal.NewView(immutable.NewSortedMap[string, view.NodeState](nil), foldStates)
}

func sortedStates(folded *stateMap) []view.NodeState {
	all := make([]view.NodeState, 0, folded.Len())
	for iterator := folded.Iterator(); !iterator.Done(); {
		_, state, _ := iterator.Next()
		all = append(all, state)
	}
	return all
}
