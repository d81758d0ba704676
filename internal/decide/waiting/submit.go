package waiting

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// SubmitErrorKind classifies what is wrong with a submission.
type SubmitErrorKind uint8

// The kinds.
const (
	Invalid        SubmitErrorKind = iota // the batch or a job is malformed
	Unknown                               // a referenced job never existed
	Forgotten                             // a referenced job has ended and been evicted
	Cycle                                 // the edges would form a cycle
	KeyConflict                           // its key belongs to a job with other content
	AlreadyStarted                        // a job in Before has been released or has ended
	LimitReached                          // a limit is reached; a retry later may succeed
	TooLarge                              // the batch exceeds a limit by itself; a retry cannot succeed
)

// SubmitError is the error that rejects a whole submission.
type SubmitError struct {
	Kind       SubmitErrorKind
	Ref        int           // position of the faulty job in the batch, counted from 1; 0 means the whole batch
	Message    string        // description
	CyclePath  []string      // of a Cycle: each job waits for the next, the last for the first
	RetryAfter time.Duration // when to retry, if a limit is reached
}

// Error implements error.
func (f *SubmitError) Error() string {
	what := f.Message
	if len(f.CyclePath) > 0 {
		what += ": " + strings.Join(f.CyclePath, " waits for ") + " waits for " + f.CyclePath[0]
	}
	if f.Ref > 0 {
		return fmt.Sprintf("job %d of the batch: %s", f.Ref, what)
	}
	return what
}

// submission is a batch that is being added. It is added whole or rolled back.
type submission struct {
	k          *Core
	specs      []Spec
	jobs       []*Job // by position in the batch; the existing job for a resubmission
	isNew      []bool // by position in the batch
	added      []addedEdge
	oldDepths  map[*Job]int32 // depths before this submission, for rollback
	lastBefore ID             // the last ID before the batch
}

// addedEdge is an edge that a submission added.
type addedEdge struct{ parent, child *Job }

// Submit adds a batch, whole or not at all, and returns its jobs; existing marks those
// whose keys belong to jobs submitted earlier. The error is a *SubmitError.
func (k *Core) Submit(now, wall time.Duration, specs []Spec) (jobs []*Job, existing []bool, err error) {
	k.now, k.wall = max(now, k.now), wall
	if len(specs) == 0 {
		return nil, nil, &SubmitError{Kind: Invalid, Message: "no job is submitted"}
	}
	if len(specs) > k.config.Limits.Batch {
		return nil, nil, &SubmitError{Kind: TooLarge, Message: fmt.Sprintf("%d jobs together, more than %d", len(specs), k.config.Limits.Batch)}
	}
	s := &submission{k: k, specs: specs, lastBefore: k.lastID, jobs: make([]*Job, len(specs)), isNew: make([]bool, len(specs))}
	if err := s.resolveKeys(); err != nil {
		return nil, nil, err
	}
	if err := s.checkLimits(); err != nil {
		return nil, nil, err
	}
	if err := s.addEdges(); err != nil {
		s.rollback()
		return nil, nil, err
	}
	existing = make([]bool, len(specs))
	for i, j := range s.jobs {
		if existing[i] = !s.isNew[i]; s.isNew[i] {
			k.register(j)
		}
	}
	for _, e := range s.added { // jobs in Before get one more open edge
		if c := e.child; !s.inBatch(c) {
			c.openEdges++
			k.counts.edges++
			if c.State == Ready {
				k.ready.remove(c)
				k.setState(c, Waiting)
			}
		}
	}
	for i, j := range s.jobs { // once all are registered, as they may depend on each other
		if s.isNew[i] {
			k.activate(j)
		}
	}
	return s.jobs, existing, nil
}

// resolveKeys finds existing jobs by their keys and creates the other jobs.
func (s *submission) resolveKeys() error {
	k, next := s.k, s.k.lastID
	keys := map[string]int{}
	for i := range s.specs {
		spec := &s.specs[i]
		if spec.Class < 0 || spec.Class >= len(k.config.Worth) {
			return &SubmitError{Kind: Invalid, Ref: i + 1, Message: "its class is unknown"}
		}
		if spec.NotAfter > 0 && spec.NotAfter <= max(k.wall, spec.NotBefore) {
			return &SubmitError{Kind: Invalid, Ref: i + 1, Message: "its time is over before it begins"}
		}
		if spec.Key != "" {
			existing := k.keys[spec.Key]
			if first, duplicate := keys[spec.Key]; duplicate {
				existing = s.jobs[first]
			}
			if existing != nil {
				if existing.Spec.Digest != spec.Digest {
					return &SubmitError{Kind: KeyConflict, Ref: i + 1, Message: fmt.Sprintf("its key belongs to %s, which is another job", s.label(existing))}
				}
				s.jobs[i] = existing
				continue
			}
			keys[spec.Key] = i
		}
		next++
		s.jobs[i], s.isNew[i] = &Job{ID: next, Spec: *spec, Submitted: k.now}, true
		s.jobs[i].Spec.After, s.jobs[i].Spec.Before = nil, nil
	}
	return nil
}

// checkLimits checks the batch against the totals that Limits bounds.
func (s *submission) checkLimits() error {
	k, l := s.k, &s.k.config.Limits
	jobs, bytes, edges := 0, 0, 0
	classes := make([]int, len(k.config.Worth))
	for i := range s.specs {
		if s.isNew[i] {
			jobs++
			bytes += s.specs[i].Size
			classes[s.specs[i].Class]++
			edges += len(s.specs[i].After) + len(s.specs[i].Before)
		}
	}
	for _, c := range []struct {
		what                    string
		requested, inUse, limit int
	}{{"jobs", jobs, k.counts.unfinished, l.Jobs}, {"bytes", bytes, k.counts.bytes, l.Bytes}, {"edges", edges, k.counts.edges, l.Edges}} {
		if err := checkLimit(c.what, c.requested, c.inUse, c.limit, k.retryAfter()); err != nil {
			return err
		}
	}
	for class, n := range classes {
		if err := checkLimit("jobs of the class", n, k.counts.perClass[class], l.PerClass, k.retryAfter()); err != nil {
			return err
		}
	}
	return nil
}

func checkLimit(resource string, requested, inUse, limit int, retryAfter time.Duration) error {
	switch {
	case requested > limit:
		return &SubmitError{Kind: TooLarge, Message: fmt.Sprintf("%d %s, more than the %d that are held", requested, resource, limit)}
	case inUse+requested > limit:
		return &SubmitError{Kind: LimitReached, Message: fmt.Sprintf("%d of %d %s are held, no room for %d more", inUse, limit, resource, requested), RetryAfter: retryAfter}
	}
	return nil
}

// retryAfter returns how long a client should wait when a limit is reached: less while jobs
// are running, as room is then likely to appear soon.
func (k *Core) retryAfter() time.Duration {
	if k.Count(Running) > 0 {
		return time.Second
	}
	return 5 * time.Second
}

// inBatch reports whether this batch creates the job.
func (s *submission) inBatch(j *Job) bool { return j.ID > s.lastBefore }

// label names a job in a fault. Jobs of the batch are named by position, as their IDs are
// not final.
func (s *submission) label(j *Job) string {
	if s.inBatch(j) {
		return fmt.Sprintf("job %d of the batch", slices.Index(s.jobs, j)+1)
	}
	return j.ID.String()
}

// addEdges adds the edges of all new jobs.
func (s *submission) addEdges() error {
	for i, j := range s.jobs { // orders increase with IDs, so edges to earlier jobs need no search
		if s.isNew[i] {
			s.k.maxOrder++
			j.topoOrder = s.k.maxOrder
		}
	}
	for i, j := range s.jobs {
		if !s.isNew[i] {
			continue
		}
		for _, e := range s.specs[i].After {
			parent, err := s.resolveEdge(i, e)
			if err != nil {
				return err
			}
			if err := s.addEdge(i, parent, j, e.Any); err != nil {
				return err
			}
		}
		for _, e := range s.specs[i].Before {
			child, err := s.resolveEdge(i, e)
			if err != nil {
				return err
			}
			if child.State != Waiting && child.State != Ready || child.Tries > 0 {
				return &SubmitError{Kind: AlreadyStarted, Ref: i + 1, Message: fmt.Sprintf("%s is to come after it and is %s", child.ID, child.State)}
			}
			if err := s.addEdge(i, j, child, e.Any); err != nil {
				return err
			}
		}
	}
	return nil
}

// resolveEdge returns the job that an edge of the i-th job refers to.
func (s *submission) resolveEdge(i int, e SpecEdge) (*Job, error) {
	if e.Job == 0 {
		if e.Ref < 1 || e.Ref > len(s.jobs) {
			return nil, &SubmitError{Kind: Unknown, Ref: i + 1, Message: fmt.Sprintf("the batch has no job %d", e.Ref)}
		}
		return s.jobs[e.Ref-1], nil
	}
	j, forgotten := s.k.Get(e.Job)
	switch {
	case forgotten:
		return nil, &SubmitError{Kind: Forgotten, Ref: i + 1, Message: fmt.Sprintf("%s has ended, and how is remembered for %v only", e.Job, s.k.config.Limits.Retention)}
	case j == nil:
		return nil, &SubmitError{Kind: Unknown, Ref: i + 1, Message: fmt.Sprintf("there is no job %s", e.Job)}
	}
	return j, nil
}

// addEdge makes child depend on parent; i is the job to blame for a fault. topoOrder
// increases along every edge, so only an edge that violates it needs a search, limited to
// jobs ordered between the two (Pearce and Kelly, "A dynamic topological sort algorithm
// for directed acyclic graphs", 2006).
func (s *submission) addEdge(i int, parent, child *Job, anyEnd bool) error {
	for n := range child.after {
		if e := &child.after[n]; e.Job == parent.ID { // duplicate edge: the stricter condition wins
			e.Any = e.Any && anyEnd
			return nil
		}
	}
	if parent == child {
		return &SubmitError{Kind: Cycle, Ref: i + 1, Message: "it would wait for itself", CyclePath: []string{s.label(child)}}
	}
	parentEnded := parent.State.Final() // it can no longer be part of a cycle
	if !parentEnded && parent.topoOrder > child.topoOrder {
		if path := s.reorder(parent, child); path != nil {
			return &SubmitError{Kind: Cycle, Ref: i + 1, Message: "jobs would wait for each other", CyclePath: path}
		}
	}
	if limit := s.k.config.Limits.FanIn; len(child.after) == limit {
		return &SubmitError{Kind: TooLarge, Ref: i + 1, Message: fmt.Sprintf("%s would come after more than %d jobs", s.label(child), limit)}
	}
	child.after = append(child.after, Edge{parent.ID, anyEnd, parentEnded})
	s.added = append(s.added, addedEdge{parent, child})
	parent.children = append(parent.children, child.ID)
	if !parentEnded {
		return s.updateDepths(i, parent, child)
	}
	if int(parent.childrenNotified) == len(parent.children)-1 { // all others have been notified, and this child needs no notification
		parent.childrenNotified++
	}
	return nil
}

// job returns a job by its ID, including jobs of the batch.
func (s *submission) job(id ID) *Job {
	if id <= s.lastBefore {
		return s.k.jobs[id]
	}
	for i := int(id - s.lastBefore - 1); i < len(s.jobs); i++ { // resubmitted jobs take no ID, which shifts later positions
		if s.jobs[i].ID == id {
			return s.jobs[i]
		}
	}
	return nil
}

// reorder changes topoOrder so that an edge from parent to child conforms to it. It returns
// the path of the cycle that the edge would close, or nil.
func (s *submission) reorder(parent, child *Job) []string {
	predecessor := map[*Job]*Job{child: nil}
	descendants := []*Job{child} // of the child, up to the parent's order
	for i := 0; i < len(descendants); i++ {
		for _, id := range descendants[i].children {
			n := s.job(id)
			if n == nil || n.topoOrder > parent.topoOrder || n.State.Final() {
				continue
			}
			if _, seen := predecessor[n]; seen {
				continue
			}
			predecessor[n] = descendants[i]
			if n == parent {
				var path []string
				for at := n; at != nil; at = predecessor[at] {
					path = append(path, s.label(at))
				}
				return path
			}
			descendants = append(descendants, n)
		}
	}
	seen := map[*Job]bool{parent: true}
	ancestors := []*Job{parent} // of the parent, down to the child's order
	for i := 0; i < len(ancestors); i++ {
		for _, e := range ancestors[i].after {
			if n := s.job(e.Job); n != nil && n.topoOrder >= child.topoOrder && !n.State.Final() && !seen[n] {
				seen[n] = true
				ancestors = append(ancestors, n)
			}
		}
	}
	byOrder := func(a, b *Job) int { return int(a.topoOrder - b.topoOrder) }
	slices.SortFunc(descendants, byOrder)
	slices.SortFunc(ancestors, byOrder)
	all := append(slices.Clone(ancestors), descendants...)
	orders := make([]int64, len(all))
	for i, j := range all {
		orders[i] = j.topoOrder
	}
	slices.Sort(orders)
	for i, j := range all {
		j.topoOrder = orders[i]
	}
	return nil
}

// updateDepths updates the depths (longest chain of ancestors) of child and its descendants
// after an edge was added, and checks Limits.Depth.
func (s *submission) updateDepths(i int, parent, child *Job) error {
	if child.depth > parent.depth {
		return nil
	}
	if s.oldDepths == nil {
		s.oldDepths = map[*Job]int32{}
	}
	setDepth := func(j *Job, depth int32) {
		if _, known := s.oldDepths[j]; !known {
			s.oldDepths[j] = j.depth
		}
		j.depth = depth
	}
	setDepth(child, parent.depth+1)
	stack := []*Job{child}
	for len(stack) > 0 {
		j := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if int(j.depth) >= s.k.config.Limits.Depth {
			return &SubmitError{Kind: TooLarge, Ref: i + 1, Message: fmt.Sprintf("the chain would be longer than %d jobs", s.k.config.Limits.Depth)}
		}
		for _, id := range j.children {
			if c := s.job(id); c != nil && !c.State.Final() && c.depth <= j.depth {
				setDepth(c, j.depth+1)
				stack = append(stack, c)
			}
		}
	}
	return nil
}

// rollback undoes addEdges. Changes of topoOrder stay, as it remains a valid order.
func (s *submission) rollback() {
	for _, e := range slices.Backward(s.added) {
		e.parent.children = e.parent.children[:len(e.parent.children)-1]
		e.parent.childrenNotified = min(e.parent.childrenNotified, int32(len(e.parent.children)))
		e.child.after = e.child.after[:len(e.child.after)-1]
	}
	for j, depth := range s.oldDepths {
		j.depth = depth
	}
}

// register adds a job to the Core.
func (k *Core) register(j *Job) {
	k.lastID = j.ID
	k.jobs[j.ID] = j
	if j.Spec.Key != "" {
		k.keys[j.Spec.Key] = j
	}
	k.counts.unfinished++
	k.counts.perClass[j.Spec.Class]++
	k.counts.bytes += j.Spec.Size
	k.counts.states[Waiting]++
	k.events = append(k.events, Event{j, Waiting})
}

// activate schedules a registered job, or fails it if a parent has already failed it.
func (k *Core) activate(j *Job) {
	k.counts.edges += len(j.after)
	if j.Spec.NotAfter > 0 {
		k.expiring.push(j)
	}
	if j.Spec.NotBefore > k.wall {
		k.delayed.push(j)
	}
	for _, e := range j.after {
		if !e.parentEnded {
			j.openEdges++
		} else if parent := k.jobs[e.Job]; !e.Any && parent.State != Done {
			k.finish(j, Failed, "came after "+parent.ID.String()+", which "+endedPhrase(parent.State), parent.ID)
			return
		}
	}
	k.markReadyIfUnblocked(j)
}
