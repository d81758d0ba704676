package waiting

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Saved is a job as it is kept over a restart.
type Saved struct {
	ID       ID
	Spec     Spec // without After and Before
	After    []Edge
	Tries    int
	UnderWay bool // it was released, and how it came out is not known
	Age      time.Duration
	ReadyFor time.Duration
	WasReady bool
}

// Save lists the jobs that have not ended, in the order of IDs, for Restore. Edges
// that are satisfied are left out.
func (k *Core) Save(now time.Duration) (out []Saved) {
	for id := ID(1); id <= k.last; id++ {
		j := k.jobs[id]
		if j == nil || j.State.Final() {
			continue
		}
		s := Saved{ID: id, Spec: j.Spec, Tries: j.Tries, UnderWay: j.State == Running, Age: now - j.Submitted,
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

// Restore takes jobs that were saved into a Core that has none, all of them or none.
// Those that were under way have failed, as nobody knows whether they have run; what
// comes after them is told so.
func (k *Core) Restore(now, wall time.Duration, last ID, list []Saved) error {
	if len(k.jobs) > 0 || k.last > 0 {
		return fmt.Errorf("there are jobs already")
	}
	k.now, k.wall = now, wall
	s := &submission{k: k, before: last}
	fail := func(format string, args ...any) error {
		*k = *New(Config{Limits: k.c.Limits, Ageing: k.c.Ageing, Worth: k.c.Worth})
		return fmt.Errorf(format, args...)
	}
	slices.SortFunc(list, func(a, b Saved) int { return cmp.Compare(a.ID, b.ID) })
	for i := range list {
		in := &list[i]
		switch {
		case in.ID == 0 || in.ID > last || k.jobs[in.ID] != nil:
			return fail("%s is there twice, or beyond the last one", in.ID)
		case in.Spec.Class < 0 || in.Spec.Class >= len(k.c.Worth):
			return fail("%s is of a class that the site does not have", in.ID)
		}
		k.top++
		j := &Job{ID: in.ID, Spec: in.Spec, Tries: in.Tries, Submitted: now - in.Age, order: k.top}
		k.enrol(j)
	}
	k.last = last
	for i := range list {
		for _, e := range list[i].After {
			parent := k.jobs[e.Job]
			if parent == nil {
				return fail("%s comes after %s, which is missing", list[i].ID, e.Job)
			}
			if err := s.edge(0, parent, k.jobs[list[i].ID], e.Any); err != nil {
				return fail("%s: %v", list[i].ID, err)
			}
		}
	}
	for i := range list {
		in, j := &list[i], k.jobs[list[i].ID]
		if in.UnderWay {
			k.counts.edges += len(j.after)
			k.end(j, Failed, "it was under way when the dispatcher ended, and may have run", 0)
			continue
		}
		k.begin(j)
		if j.State == Ready && in.WasReady { // with the age that it had
			k.ready.remove(j)
			j.ReadyAt = now - in.ReadyFor
			j.due = j.ReadyAt + k.c.Ageing.span(k.c.Worth, j.Spec.Class)
			k.ready.push(j)
		}
	}
	return nil
}
