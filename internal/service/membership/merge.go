package membership

import (
	"github.com/benbjohnson/immutable"

	"yardwharf/internal/service/journal"
	"yardwharf/internal/service/view"
)

// ControlRole is the role of the processes that are monitors.
const ControlRole = "control"

// Supersedes reports whether one statement on a process outweighs another: the
// newer incarnation does, then the word of the process that it leaves, then
// the newer refutation, then the better state.
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

type states = immutable.SortedMap[string, view.NodeState]

// foldStates keeps the statement that outweighs the others on each process.
func foldStates(known *states, next view.NodeState) *states {
	key := next.Key()
	if held, ok := known.Get(key); ok && !Supersedes(next, held) {
		return known
	}
	return known.Set(key, next)
}

// Merge folds what all monitors say into one state for each process, in the
// order of their keys. What a monitor has said that is dead itself counts only
// where no other one watches the process, for its last word is outdated. It
// proves no life on a dead monitor's own machine.
func Merge(observations []view.Members) []view.NodeState {
	dead := deadMonitors(observations)
	merged, outdated := newFold(), newFold()
	for _, observation := range observations {
		if dead[observation.Monitor] {
			outdated.Apply(observation.Nodes...)
		} else {
			merged.Apply(observation.Nodes...)
		}
	}
	for _, state := range list(outdated.State()) {
		if _, watched := merged.State().Get(state.Key()); watched {
			continue
		}
		if dead[state.Identity.Node] {
			state.Alive = false
		}
		merged.Apply(state)
	}
	return list(merged.State())
}

// deadMonitors returns the monitors that are dead by the word of the others. The
// last word of one that is dead itself says nothing of the others: it may be older
// than their deaths. So those that are known to be dead are left out, until no other
// is found.
func deadMonitors(observations []view.Members) map[string]bool {
	dead := map[string]bool{}
	for {
		found := calledDead(observations, dead)
		if len(found) == 0 {
			return dead
		}
		for _, monitor := range found {
			dead[monitor] = true
		}
	}
}

// calledDead returns the monitors that are dead by the word of the others, without
// those that are left out.
func calledDead(observations []view.Members, leftOut map[string]bool) []string {
	fold := newFold()
	for _, observation := range observations {
		if leftOut[observation.Monitor] {
			continue
		}
		for _, state := range observation.Nodes {
			if state.Identity.Role == ControlRole && state.Identity.Node != observation.Monitor {
				fold.Apply(state)
			}
		}
	}
	var found []string
	for _, state := range list(fold.State()) {
		if !state.Alive && !leftOut[state.Identity.Node] {
			found = append(found, state.Identity.Node)
		}
	}
	return found
}

func newFold() *journal.View[*states, view.NodeState] {
	return journal.NewView(immutable.NewSortedMap[string, view.NodeState](nil), foldStates)
}

func list(folded *states) []view.NodeState {
	all := make([]view.NodeState, 0, folded.Len())
	for iterator := folded.Iterator(); !iterator.Done(); {
		_, state, _ := iterator.Next()
		all = append(all, state)
	}
	return all
}
