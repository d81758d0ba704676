package waiting

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Saved is the state of a job that is kept across a restart.
type Saved struct {
	ID         ID
	Spec       Spec // After and Before are empty
	After      []Edge
	Tries      int
	WasRunning bool // it was running, with unknown outcome
	Age        time.Duration
	ReadyFor   time.Duration
	WasReady   bool
}

// Save returns the unfinished jobs in ID order, for Restore. Edges to ended parents are
// left out.
func (k *Core) Save(now time.Duration) (out []Saved) {
	for id := ID(1); id <= k.lastID; id++ {
		j := k.jobs[id]
		if j == nil || j.State.Final() {
			continue
		}
		s := Saved{ID: id, Spec: j.Spec, Tries: j.Tries, WasRunning: j.State == Running, Age: now - j.Submitted,
			WasReady: j.State == Ready, ReadyFor: now - j.ReadyAt}
		for _, e := range j.after {
			if parent := k.jobs[e.Job]; parent != nil && !parent.State.Final() {
				s.After = append(s.After, Edge{Job: e.Job, Any: e.Any})
			}
		}
		out = append(out, s)
	}
	return out
}

// Restore loads saved jobs into an empty Core, all of them or none. Jobs that were running
// fail, as it is unknown whether they ran to the end; Advance then notifies their children.
func (k *Core) Restore(now, wall time.Duration, last ID, list []Saved) error {
	if len(k.jobs) > 0 || k.lastID > 0 {
		return fmt.Errorf("the core already holds jobs")
	}
	k.now, k.wall = now, wall
	s := &submission{k: k, lastBefore: last}
	fail := func(format string, args ...any) error {
		*k = *New(Config{Limits: k.config.Limits, Ageing: k.config.Ageing, Worth: k.config.Worth})
		return fmt.Errorf(format, args...)
	}
	slices.SortFunc(list, func(a, b Saved) int { return cmp.Compare(a.ID, b.ID) })
	for i := range list {
		saved := &list[i]
		switch {
		case saved.ID == 0 || saved.ID > last || k.jobs[saved.ID] != nil:
			return fail("%s is a duplicate or above the last ID", saved.ID)
		case saved.Spec.Class < 0 || saved.Spec.Class >= len(k.config.Worth):
			return fail("%s has an unknown class", saved.ID)
		}
		k.maxOrder++
		j := &Job{ID: saved.ID, Spec: saved.Spec, Tries: saved.Tries, Submitted: now - saved.Age, topoOrder: k.maxOrder}
		k.register(j)
	}
	k.lastID = last
	for i := range list {
		for _, e := range list[i].After {
			parent := k.jobs[e.Job]
			if parent == nil {
				return fail("%s depends on %s, which is missing", list[i].ID, e.Job)
			}
			if err := s.addEdge(0, parent, k.jobs[list[i].ID], e.Any); err != nil {
				return fail("%s: %v", list[i].ID, err)
			}
		}
	}
	for i := range list {
		saved, j := &list[i], k.jobs[list[i].ID]
		if saved.WasRunning {
			k.counts.edges += len(j.after)
			k.finish(j, Failed, "it was under way when the dispatcher ended, and may have run", 0)
			continue
		}
		k.activate(j)
		if j.State == Ready && saved.WasReady { // restore its age
			k.ready.remove(j)
			j.ReadyAt = now - saved.ReadyFor
			j.virtualDeadline = j.ReadyAt + k.config.Ageing.overdueAfter(k.config.Worth, j.Spec.Class)
			k.ready.push(j)
		}
	}
	return nil
}
