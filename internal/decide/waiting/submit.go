package waiting

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind says what is wrong with a submission.
type FaultKind uint8

// The kinds.
const (
	Invalid   FaultKind = iota // it makes no sense by itself
	Unknown                    // it names a job that there never was
	Forgotten                  // it names a job whose end is remembered no longer
	Cycle                      // jobs would wait for each other
	Conflict                   // its key belongs to another job
	Started                    // a job that is to come after it is under way or has ended
	Full                       // a limit is reached: trying again later is of use
	TooLarge                   // a limit is exceeded: trying again is of none
)

// Fault is why a submission is refused, whole.
type Fault struct {
	Kind FaultKind
	Ref  int           // the job of the batch at fault, counted from 1; 0 is all of it
	What string        // in words
	Path []string      // of a cycle: each waits for the next, the last for the first
	Wait time.Duration // of Full: when to come back
}

// Error implements error.
func (f *Fault) Error() string {
	what := f.What
	if len(f.Path) > 0 {
		what += ": " + strings.Join(f.Path, " waits for ") + " waits for " + f.Path[0]
	}
	if f.Ref > 0 {
		return fmt.Sprintf("job %d of the batch: %s", f.Ref, what)
	}
	return what
}

// submission is a batch that is being taken in. Nothing of it stays unless all does.
type submission struct {
	k      *Core
	specs  []Spec
	jobs   []*Job // by place in the batch; of repeats the job that there is
	fresh  []bool // it is new
	edges  []drawn
	depths map[*Job]int32 // as they were
	before ID             // the last one before the batch
}

// drawn is an edge of a submission.
type drawn struct{ parent, child *Job }

// Submit takes a batch in, whole or not at all, and returns its jobs; old says
// which of them there were already, under the same keys. The error is a *Fault.
func (k *Core) Submit(now, wall time.Duration, specs []Spec) (jobs []*Job, old []bool, err error) {
	k.now, k.wall = max(now, k.now), wall
	if len(specs) == 0 {
		return nil, nil, &Fault{Kind: Invalid, What: "no job is submitted"}
	}
	if len(specs) > k.c.Limits.Batch {
		return nil, nil, &Fault{Kind: TooLarge, What: fmt.Sprintf("%d jobs together, more than %d", len(specs), k.c.Limits.Batch)}
	}
	s := &submission{k: k, specs: specs, before: k.last, jobs: make([]*Job, len(specs)), fresh: make([]bool, len(specs))}
	if err := s.name(); err != nil {
		return nil, nil, err
	}
	if err := s.room(); err != nil {
		return nil, nil, err
	}
	if err := s.link(); err != nil {
		s.undo()
		return nil, nil, err
	}
	old = make([]bool, len(specs))
	for i, j := range s.jobs {
		if old[i] = !s.fresh[i]; s.fresh[i] {
			k.enrol(j)
		}
	}
	for _, e := range s.edges { // those that waited already wait for one more
		if c := e.child; !s.isFresh(c) {
			c.open++
			k.counts.edges++
			if c.State == Ready {
				k.ready.remove(c)
				k.enter(c, Waiting)
			}
		}
	}
	for i, j := range s.jobs { // after all are known: one may come after another
		if s.fresh[i] {
			k.begin(j)
		}
	}
	return s.jobs, old, nil
}

// name finds the jobs that there are already under their keys, and makes the rest.
func (s *submission) name() error {
	k, next := s.k, s.k.last
	keys := map[string]int{}
	for i := range s.specs {
		spec := &s.specs[i]
		if spec.Class < 0 || spec.Class >= len(k.c.Worth) {
			return &Fault{Kind: Invalid, Ref: i + 1, What: "its class is unknown"}
		}
		if spec.NotAfter > 0 && spec.NotAfter <= max(k.wall, spec.NotBefore) {
			return &Fault{Kind: Invalid, Ref: i + 1, What: "its time is over before it begins"}
		}
		if spec.Key != "" {
			have := k.keys[spec.Key]
			if first, twice := keys[spec.Key]; twice {
				have = s.jobs[first]
			}
			if have != nil {
				if have.Spec.Digest != spec.Digest {
					return &Fault{Kind: Conflict, Ref: i + 1, What: fmt.Sprintf("its key belongs to %s, which is another job", s.label(have))}
				}
				s.jobs[i] = have
				continue
			}
			keys[spec.Key] = i
		}
		next++
		s.jobs[i], s.fresh[i] = &Job{ID: next, Spec: *spec, Submitted: k.now}, true
		s.jobs[i].Spec.After, s.jobs[i].Spec.Before = nil, nil
	}
	return nil
}

// room holds the batch against the limits.
func (s *submission) room() error {
	k, l := s.k, &s.k.c.Limits
	jobs, bytes, edges := 0, 0, 0
	classes := make([]int, len(k.c.Worth))
	for i := range s.specs {
		if s.fresh[i] {
			jobs++
			bytes += s.specs[i].Size
			classes[s.specs[i].Class]++
			edges += len(s.specs[i].After) + len(s.specs[i].Before)
		}
	}
	for _, c := range []struct {
		what            string
		add, have, most int
	}{{"jobs", jobs, k.counts.open, l.Jobs}, {"bytes", bytes, k.counts.bytes, l.Bytes}, {"edges", edges, k.counts.edges, l.Edges}} {
		if err := full(c.what, c.add, c.have, c.most, k.wait()); err != nil {
			return err
		}
	}
	for class, n := range classes {
		if err := full("jobs of the class", n, k.counts.perClass[class], l.PerClass, k.wait()); err != nil {
			return err
		}
	}
	return nil
}

func full(what string, add, have, most int, wait time.Duration) error {
	switch {
	case add > most:
		return &Fault{Kind: TooLarge, What: fmt.Sprintf("%d %s, more than the %d that are held", add, what, most)}
	case have+add > most:
		return &Fault{Kind: Full, What: fmt.Sprintf("%d of %d %s are held, no room for %d more", have, most, what, add), Wait: wait}
	}
	return nil
}

// wait is when those who find no room may come back: sooner where jobs end fast.
func (k *Core) wait() time.Duration {
	if k.Count(Running) > 0 {
		return time.Second
	}
	return 5 * time.Second
}

// isFresh says whether a job comes with this batch.
func (s *submission) isFresh(j *Job) bool { return j.ID > s.before }

// label names a job in a fault: those of the batch have no ID that holds.
func (s *submission) label(j *Job) string {
	if s.isFresh(j) {
		return fmt.Sprintf("job %d of the batch", slices.Index(s.jobs, j)+1)
	}
	return j.ID.String()
}

// link draws the edges.
func (s *submission) link() error {
	for i, j := range s.jobs { // IDs rise, and so do orders: batches in order need no search
		if s.fresh[i] {
			s.k.top++
			j.order = s.k.top
		}
	}
	for i, j := range s.jobs {
		if !s.fresh[i] {
			continue
		}
		for _, e := range s.specs[i].After {
			parent, err := s.find(i, e)
			if err != nil {
				return err
			}
			if err := s.edge(i, parent, j, e.Any); err != nil {
				return err
			}
		}
		for _, e := range s.specs[i].Before {
			child, err := s.find(i, e)
			if err != nil {
				return err
			}
			if child.State != Waiting && child.State != Ready || child.Tries > 0 {
				return &Fault{Kind: Started, Ref: i + 1, What: fmt.Sprintf("%s is to come after it and is %s", child.ID, child.State)}
			}
			if err := s.edge(i, j, child, e.Any); err != nil {
				return err
			}
		}
	}
	return nil
}

// find is the job at the other end of an edge.
func (s *submission) find(i int, e SpecEdge) (*Job, error) {
	if e.Job == 0 {
		if e.Ref < 1 || e.Ref > len(s.jobs) {
			return nil, &Fault{Kind: Unknown, Ref: i + 1, What: fmt.Sprintf("the batch has no job %d", e.Ref)}
		}
		return s.jobs[e.Ref-1], nil
	}
	j, forgotten := s.k.Get(e.Job)
	switch {
	case forgotten:
		return nil, &Fault{Kind: Forgotten, Ref: i + 1, What: fmt.Sprintf("%s has ended, and how is remembered for %v only", e.Job, s.k.c.Limits.KeepFor)}
	case j == nil:
		return nil, &Fault{Kind: Unknown, Ref: i + 1, What: fmt.Sprintf("there is no job %s", e.Job)}
	}
	return j, nil
}

// edge lets a job come after another one. Orders rise along all edges, so that only
// an edge against them needs a search, and only between the two orders (Pearce and
// Kelly, "A dynamic topological sort algorithm for directed acyclic graphs", 2006).
func (s *submission) edge(i int, parent, child *Job, any bool) error {
	for at := range child.after {
		if e := &child.after[at]; e.Job == parent.ID { // told twice: the stricter counts
			e.Any = e.Any && any
			return nil
		}
	}
	if parent == child {
		return &Fault{Kind: Cycle, Ref: i + 1, What: "it would wait for itself", Path: []string{s.label(child)}}
	}
	ended := parent.State.Final() // nobody waits for it any more
	if !ended && parent.order > child.order {
		if path := s.reorder(parent, child); path != nil {
			return &Fault{Kind: Cycle, Ref: i + 1, What: "jobs would wait for each other", Path: path}
		}
	}
	if most := s.k.c.Limits.FanIn; len(child.after) == most {
		return &Fault{Kind: TooLarge, Ref: i + 1, What: fmt.Sprintf("%s would come after more than %d jobs", s.label(child), most)}
	}
	child.after = append(child.after, Edge{parent.ID, any, ended})
	s.edges = append(s.edges, drawn{parent, child})
	parent.children = append(parent.children, child.ID)
	if !ended {
		return s.deepen(i, parent, child)
	}
	if int(parent.told) == len(parent.children)-1 { // all others have been told; this one knows
		parent.told++
	}
	return nil
}

// at is a job by its ID, those of the batch included.
func (s *submission) at(id ID) *Job {
	if id <= s.before {
		return s.k.jobs[id]
	}
	for i := int(id - s.before - 1); i < len(s.jobs); i++ { // repeats shift places forward
		if s.jobs[i].ID == id {
			return s.jobs[i]
		}
	}
	return nil
}

// reorder makes room for an edge against the orders. It returns the path of the
// cycle that the edge would close, or nil.
func (s *submission) reorder(parent, child *Job) []string {
	came := map[*Job]*Job{child: nil}
	below := []*Job{child} // those after the child, up to the parent's order
	for i := 0; i < len(below); i++ {
		for _, id := range below[i].children {
			n := s.at(id)
			if n == nil || n.order > parent.order || n.State.Final() {
				continue
			}
			if _, seen := came[n]; seen {
				continue
			}
			came[n] = below[i]
			if n == parent {
				var path []string
				for at := n; at != nil; at = came[at] {
					path = append(path, s.label(at))
				}
				return path
			}
			below = append(below, n)
		}
	}
	seen := map[*Job]bool{parent: true}
	above := []*Job{parent} // those before the parent, down to the child's order
	for i := 0; i < len(above); i++ {
		for _, e := range above[i].after {
			if n := s.at(e.Job); n != nil && n.order >= child.order && !n.State.Final() && !seen[n] {
				seen[n] = true
				above = append(above, n)
			}
		}
	}
	byOrder := func(a, b *Job) int { return int(a.order - b.order) }
	slices.SortFunc(below, byOrder)
	slices.SortFunc(above, byOrder)
	all := append(slices.Clone(above), below...)
	orders := make([]int64, len(all))
	for i, j := range all {
		orders[i] = j.order
	}
	slices.Sort(orders)
	for i, j := range all {
		j.order = orders[i]
	}
	return nil
}

// deepen follows the length of the longest chain through an edge.
func (s *submission) deepen(i int, parent, child *Job) error {
	if child.depth > parent.depth {
		return nil
	}
	if s.depths == nil {
		s.depths = map[*Job]int32{}
	}
	set := func(j *Job, depth int32) {
		if _, known := s.depths[j]; !known {
			s.depths[j] = j.depth
		}
		j.depth = depth
	}
	set(child, parent.depth+1)
	list := []*Job{child}
	for len(list) > 0 {
		j := list[len(list)-1]
		list = list[:len(list)-1]
		if int(j.depth) >= s.k.c.Limits.Depth {
			return &Fault{Kind: TooLarge, Ref: i + 1, What: fmt.Sprintf("the chain would be longer than %d jobs", s.k.c.Limits.Depth)}
		}
		for _, id := range j.children {
			if c := s.at(id); c != nil && !c.State.Final() && c.depth <= j.depth {
				set(c, j.depth+1)
				list = append(list, c)
			}
		}
	}
	return nil
}

// undo takes back what link has done; the orders may stay, as they hold.
func (s *submission) undo() {
	for _, e := range slices.Backward(s.edges) {
		e.parent.children = e.parent.children[:len(e.parent.children)-1]
		e.parent.told = min(e.parent.told, int32(len(e.parent.children)))
		e.child.after = e.child.after[:len(e.child.after)-1]
	}
	for j, depth := range s.depths {
		j.depth = depth
	}
}

// enrol makes a job known.
func (k *Core) enrol(j *Job) {
	k.last = j.ID
	k.jobs[j.ID] = j
	if j.Spec.Key != "" {
		k.keys[j.Spec.Key] = j
	}
	k.counts.open++
	k.counts.perClass[j.Spec.Class]++
	k.counts.bytes += j.Spec.Size
	k.counts.states[Waiting]++
	k.events = append(k.events, Event{j, Waiting})
}

// begin lets a job wait, or makes it what the jobs before it have made of it.
func (k *Core) begin(j *Job) {
	k.counts.edges += len(j.after)
	if j.Spec.NotAfter > 0 {
		k.ends.push(j)
	}
	if j.Spec.NotBefore > k.wall {
		k.starts.push(j)
	}
	for _, e := range j.after {
		if !e.ended {
			j.open++
		} else if parent := k.jobs[e.Job]; !e.Any && parent.State != Done {
			k.end(j, Failed, "came after "+parent.ID.String()+", which "+verb(parent.State), parent.ID)
			return
		}
	}
	k.check(j)
}
