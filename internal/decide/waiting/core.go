package waiting

import (
	"time"
)

// Limits bound what is held. Zero values are the defaults that are named.
type Limits struct {
	Jobs     int // that have not ended; 100,000
	PerClass int // the same of one class; as Jobs
	Edges    int // of jobs that have not ended; 400,000
	FanIn    int // edges to one job; 1,000
	Depth    int // jobs in a chain; 1,000
	Bytes    int // of jobs that have not ended; 64 MB
	Batch    int // jobs submitted together; 10,000
	Repeats  int // releases of a job after the first; 100

	KeepFor   time.Duration // how long the end of a job is remembered; 10 min
	KeepBytes int           // results remembered; 16 MB
}

func (l Limits) withDefaults() Limits {
	def := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	def(&l.Jobs, 100_000)
	def(&l.PerClass, l.Jobs)
	def(&l.Edges, 4*l.Jobs)
	def(&l.FanIn, 1000)
	def(&l.Depth, 1000)
	def(&l.Bytes, 64<<20)
	def(&l.Batch, 10_000)
	def(&l.Repeats, 100)
	def(&l.KeepBytes, 16<<20)
	if l.KeepFor <= 0 {
		l.KeepFor = 10 * time.Minute
	}
	return l
}

// Config sets up a Core.
type Config struct {
	Limits Limits
	Ageing Ageing
	Worth  []float64 // of each class
}

// Event says that a job has come into a state.
type Event struct {
	Job   *Job
	State State
}

// Core holds the jobs. Now is monotonic time, wall is Unix time; the two may part
// when the clock is set.
type Core struct {
	c      Config
	jobs   map[ID]*Job
	keys   map[string]*Job
	last   ID
	now    time.Duration
	wall   time.Duration
	ready  heap
	starts heap
	ends   heap
	events []Event
	doomed []*Job // jobs that have ended badly, whose children have to be told
	counts counts
	pace   pace
	top    int64 // the highest order given
	old    *Job  // the oldest job that has ended
	new    *Job
	marks  map[ID]struct{} // scratch of searches
}

// counts is what the limits bound.
type counts struct {
	open, edges, bytes, kept int
	perClass                 []int
	states                   [len(stateNames)]int
}

// New returns a Core without jobs.
func New(c Config) *Core {
	c.Limits = c.Limits.withDefaults()
	c.Ageing = c.Ageing.withDefaults()
	k := &Core{c: c, jobs: map[ID]*Job{}, keys: map[string]*Job{}, marks: map[ID]struct{}{}, pace: newPace(c.Ageing, len(c.Worth))}
	k.counts.perClass = make([]int, len(c.Worth))
	k.ready = heap{which: byDue, less: func(a, b *Job) bool { return a.due < b.due || a.due == b.due && a.ID < b.ID }}
	k.starts = heap{which: byStart, less: func(a, b *Job) bool { return a.Spec.NotBefore < b.Spec.NotBefore }}
	k.ends = heap{which: byExpiry, less: func(a, b *Job) bool { return a.Spec.NotAfter < b.Spec.NotAfter }}
	return k
}

// Get returns a job; forgotten says that there was one, whose end is remembered no
// longer.
func (k *Core) Get(id ID) (j *Job, forgotten bool) {
	j = k.jobs[id]
	return j, j == nil && id > 0 && id <= k.last
}

// Count is how many jobs are in a state.
func (k *Core) Count(s State) int { return k.counts.states[s] }

// Take returns the events since it was last called, in order.
func (k *Core) Take() []Event {
	e := k.events
	k.events = nil
	return e
}

// Last is the highest ID given so far.
func (k *Core) Last() ID { return k.last }

// enter puts a job into a state.
func (k *Core) enter(j *Job, s State) {
	k.counts.states[j.State]--
	k.counts.states[s]++
	j.State = s
	k.events = append(k.events, Event{j, s})
}

// Advance lets time pass: jobs whose time has come get ready, those whose time is
// over expire, old ends are forgotten, and up to budget jobs are told that one that
// they came after has ended badly. It says whether there is more to do at once.
func (k *Core) Advance(now, wall time.Duration, budget int) (more bool) {
	k.now, k.wall = max(now, k.now), wall
	for ; budget > 0; budget-- {
		if j := k.starts.top(); j != nil && j.Spec.NotBefore <= wall {
			k.starts.remove(j)
			k.check(j)
			continue
		}
		if j := k.ends.top(); j != nil && j.Spec.NotAfter <= wall {
			k.end(j, Expired, "its time was over before it was released", 0)
			continue
		}
		if !k.spread() {
			break
		}
	}
	k.forget()
	return budget == 0
}

// Next is when Advance has something to do, as spans from now; ok is false where
// nothing is due ever.
func (k *Core) Next() (after time.Duration, ok bool) {
	soonest := func(d time.Duration) {
		if d = max(d, 0); !ok || d < after {
			after, ok = d, true
		}
	}
	if len(k.doomed) > 0 {
		soonest(0)
	}
	if j := k.starts.top(); j != nil {
		soonest(j.Spec.NotBefore - k.wall)
	}
	if j := k.ends.top(); j != nil {
		soonest(j.Spec.NotAfter - k.wall)
	}
	if k.old != nil {
		soonest(k.old.Ended + k.c.Limits.KeepFor - k.now)
	}
	return after, ok
}

// check makes a waiting job ready if nothing keeps it any longer.
func (k *Core) check(j *Job) {
	if j.State != Waiting || j.open > 0 || j.Spec.Held || j.at[byStart] > 0 {
		return
	}
	j.ReadyAt = k.now
	j.due = k.now + k.c.Ageing.span(k.c.Worth, j.Spec.Class)
	k.ready.push(j)
	k.enter(j, Ready)
}

// Hold keeps a job that has not been released from it, or lets it go again. It says
// whether the job is one that can be.
func (k *Core) Hold(id ID, yes bool) bool {
	j := k.jobs[id]
	if j == nil || j.State != Waiting && j.State != Ready {
		return false
	}
	if j.Spec.Held = yes; yes && j.State == Ready {
		k.ready.remove(j)
		k.enter(j, Waiting)
	} else if !yes {
		k.check(j)
	}
	return true
}

// end gives a job its final state. What comes after it is told later, a part at a
// time.
func (k *Core) end(j *Job, s State, why string, cause ID) {
	if j.State.Final() {
		return
	}
	k.ready.remove(j)
	k.starts.remove(j)
	k.ends.remove(j)
	j.Why, j.Cause, j.Ended = why, cause, k.now
	k.counts.open--
	k.counts.perClass[j.Spec.Class]--
	k.counts.edges -= len(j.after)
	k.counts.bytes -= j.Spec.Size
	k.counts.kept += len(j.Result)
	j.Spec.Load = nil
	j.prev = k.new
	if k.new != nil {
		k.new.next = j
	} else {
		k.old = j
	}
	k.new = j
	k.enter(j, s)
	if len(j.children) > 0 {
		k.doomed = append(k.doomed, j)
	}
}

// spread tells one child that a job it came after has ended. Guards the loop: ten
// thousand descendants are told in many turns.
func (k *Core) spread() bool {
	for len(k.doomed) > 0 {
		j := k.doomed[0]
		if int(j.told) == len(j.children) {
			k.doomed[0] = nil
			if k.doomed = k.doomed[1:]; len(k.doomed) == 0 {
				k.doomed = nil
			}
			continue
		}
		c := k.jobs[j.children[j.told]]
		j.told++
		if c != nil && !c.State.Final() {
			k.parentEnded(c, j)
		}
		return true
	}
	return false
}

// parentEnded takes the end of a job for one that comes after it.
func (k *Core) parentEnded(c, parent *Job) {
	for i := range c.after {
		if e := &c.after[i]; e.Job == parent.ID && !e.ended {
			if !e.Any && parent.State != Done {
				k.end(c, Failed, "came after "+parent.ID.String()+", which "+verb(parent.State), parent.ID)
				return
			}
			c.open--
		}
	}
	k.check(c)
}

func verb(s State) string {
	switch s {
	case Failed:
		return "failed"
	case Refused:
		return "was refused"
	case Cancelled:
		return "was cancelled"
	case Expired:
		return "expired"
	}
	return "is " + s.String()
}

// Chain is the jobs that a job's end comes from, itself first, most of them at the
// most; whole says that the last one is the first cause.
func (k *Core) Chain(j *Job, most int) (chain []*Job, whole bool) {
	for {
		chain = append(chain, j)
		if j.Cause == 0 {
			return chain, true
		}
		next := k.jobs[j.Cause]
		if next == nil || len(chain) == most {
			return chain, false
		}
		j = next
	}
}

// Cancel ends a job that has not ended, and with subtree all that come after it.
// It returns the jobs that were running: their messages are the caller's to give
// up. ok is false where there is no such job or it has ended.
func (k *Core) Cancel(id ID, subtree bool) (running []*Job, ok bool) {
	j := k.jobs[id]
	if j == nil || j.State.Final() {
		return nil, false
	}
	list := []*Job{j}
	if subtree {
		clear(k.marks)
		k.marks[id] = struct{}{}
		for i := 0; i < len(list); i++ {
			for _, c := range list[i].children {
				if _, seen := k.marks[c]; seen {
					continue
				}
				k.marks[c] = struct{}{}
				if child := k.jobs[c]; child != nil && !child.State.Final() {
					list = append(list, child)
				}
			}
		}
	}
	for _, j := range list {
		why := "cancelled"
		if j != list[0] {
			why = "cancelled with " + id.String()
		}
		if j.State == Running {
			running = append(running, j)
			why += " while it ran: it may have run"
		}
		k.end(j, Cancelled, why, 0)
	}
	return running, true
}

// forget drops the ends that are older than they are kept for, or beyond the bytes
// of results, the oldest first.
func (k *Core) forget() {
	for k.old != nil && (k.now-k.old.Ended >= k.c.Limits.KeepFor || k.counts.kept > k.c.Limits.KeepBytes) {
		j := k.old
		if int(j.told) < len(j.children) { // they have not been told yet
			return
		}
		if k.old = j.next; k.old != nil {
			k.old.prev = nil
		} else {
			k.new = nil
		}
		k.counts.kept -= len(j.Result)
		k.counts.states[j.State]--
		delete(k.jobs, j.ID)
		if k.keys[j.Spec.Key] == j {
			delete(k.keys, j.Spec.Key)
		}
	}
}

// scanMost bounds what one List looks at: it must not hold the loop up.
const scanMost = 20_000

// List returns jobs with an ID above after, in the order of IDs, that fit, most of
// them at the most. next is where to go on; 0 says that there is nothing more.
func (k *Core) List(after ID, most int, fits func(*Job) bool) (out []*Job, next ID) {
	for id, n := after+1, 0; id <= k.last; id, n = id+1, n+1 {
		if len(out) == most || n == scanMost {
			return out, id - 1
		}
		if j := k.jobs[id]; j != nil && fits(j) {
			out = append(out, j)
		}
	}
	return out, 0
}
