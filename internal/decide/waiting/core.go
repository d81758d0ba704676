package waiting

import (
	"time"
)

// Limits bounds what a Core holds. A zero field takes the default given beside it.
type Limits struct {
	Jobs          int // unfinished jobs; 100,000
	PerClass      int // unfinished jobs of one class; same as Jobs
	Edges         int // edges of unfinished jobs; 4 * Jobs
	FanIn         int // parents of one job; 1,000
	Depth         int // jobs in a dependency chain; 1,000
	Bytes         int // total size of unfinished jobs; 64 MiB
	Batch         int // jobs in one submission; 10,000
	MaxRereleases int // releases of a job after the first; 100

	Retention      time.Duration // how long ended jobs are kept; 10 min
	MaxResultBytes int           // total size of kept results; 16 MiB
}

func (l Limits) withDefaults() Limits {
	setDefault := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setDefault(&l.Jobs, 100_000)
	setDefault(&l.PerClass, l.Jobs)
	setDefault(&l.Edges, 4*l.Jobs)
	setDefault(&l.FanIn, 1000)
	setDefault(&l.Depth, 1000)
	setDefault(&l.Bytes, 64<<20)
	setDefault(&l.Batch, 10_000)
	setDefault(&l.MaxRereleases, 100)
	setDefault(&l.MaxResultBytes, 16<<20)
	if l.Retention <= 0 {
		l.Retention = 10 * time.Minute
	}
	return l
}

// Config configures a Core.
type Config struct {
	Limits Limits
	Ageing Ageing
	Worth  []float64 // of a job, by class
}

// Event reports that a job entered a state.
type Event struct {
	Job   *Job
	State State
}

// Core holds the jobs. now is monotonic time, wall is Unix time; the two diverge when
// the system clock is set.
type Core struct {
	config      Config
	jobs        map[ID]*Job
	keys        map[string]*Job
	lastID      ID
	now         time.Duration
	wall        time.Duration
	ready       heap
	delayed     heap
	expiring    heap
	events      []Event
	toPropagate []*Job // ended jobs whose children have not all been notified
	counts      counts
	pacer       pacer
	maxOrder    int64 // the highest topoOrder assigned
	oldestEnded *Job  // head of the list of ended jobs
	newestEnded *Job
	visited     map[ID]struct{} // scratch space for graph searches
}

// counts holds the totals that the limits apply to, and the jobs in each state.
type counts struct {
	unfinished, edges, bytes, resultBytes int
	perClass                              []int
	states                                [len(stateNames)]int
}

// New returns an empty Core.
func New(c Config) *Core {
	c.Limits = c.Limits.withDefaults()
	c.Ageing = c.Ageing.withDefaults()
	k := &Core{config: c, jobs: map[ID]*Job{}, keys: map[string]*Job{}, visited: map[ID]struct{}{}, pacer: newPacer(c.Ageing, len(c.Worth))}
	k.counts.perClass = make([]int, len(c.Worth))
	k.ready = heap{slot: byVirtualDeadline, less: func(a, b *Job) bool {
		return a.virtualDeadline < b.virtualDeadline || a.virtualDeadline == b.virtualDeadline && a.ID < b.ID
	}}
	k.delayed = heap{slot: byNotBefore, less: func(a, b *Job) bool { return a.Spec.NotBefore < b.Spec.NotBefore }}
	k.expiring = heap{slot: byNotAfter, less: func(a, b *Job) bool { return a.Spec.NotAfter < b.Spec.NotAfter }}
	return k
}

// Get returns a job, or nil. forgotten reports that the job existed but has been
// evicted since it ended.
func (k *Core) Get(id ID) (j *Job, forgotten bool) {
	j = k.jobs[id]
	return j, j == nil && id > 0 && id <= k.lastID
}

// Count returns the number of jobs in a state.
func (k *Core) Count(s State) int { return k.counts.states[s] }

// TakeEvents returns the events since the previous call, in order.
func (k *Core) TakeEvents() []Event {
	e := k.events
	k.events = nil
	return e
}

// Last returns the highest ID assigned so far.
func (k *Core) Last() ID { return k.lastID }

// setState changes a job's state and records the event.
func (k *Core) setState(j *Job, s State) {
	k.counts.states[j.State]--
	k.counts.states[s]++
	j.State = s
	k.events = append(k.events, Event{j, s})
}

// Advance processes the passage of time: jobs whose not_before has passed become ready,
// jobs past their not_after expire, children are notified of ended parents, and old ended
// jobs are evicted. It does at most budget steps, eviction aside, and reports whether it
// used them all, so that more may be due.
func (k *Core) Advance(now, wall time.Duration, budget int) (more bool) {
	k.now, k.wall = max(now, k.now), wall
	for ; budget > 0; budget-- {
		if j := k.delayed.top(); j != nil && j.Spec.NotBefore <= wall {
			k.delayed.remove(j)
			k.markReadyIfUnblocked(j)
			continue
		}
		if j := k.expiring.top(); j != nil && j.Spec.NotAfter <= wall {
			k.finish(j, Expired, "its time was over before it was released", 0)
			continue
		}
		if !k.notifyNextChild() {
			break
		}
	}
	k.evictEnded()
	return budget == 0
}

// Next returns how long until Advance next has something to do; ok is false if nothing is
// scheduled.
func (k *Core) Next() (after time.Duration, ok bool) {
	consider := func(d time.Duration) {
		if d = max(d, 0); !ok || d < after {
			after, ok = d, true
		}
	}
	if len(k.toPropagate) > 0 {
		consider(0)
	}
	if j := k.delayed.top(); j != nil {
		consider(j.Spec.NotBefore - k.wall)
	}
	if j := k.expiring.top(); j != nil {
		consider(j.Spec.NotAfter - k.wall)
	}
	if k.oldestEnded != nil {
		consider(k.oldestEnded.Ended + k.config.Limits.Retention - k.now)
	}
	return after, ok
}

// markReadyIfUnblocked makes a waiting job ready if nothing blocks it any longer.
func (k *Core) markReadyIfUnblocked(j *Job) {
	if j.State != Waiting || j.openEdges > 0 || j.Spec.Held || j.heapIndex[byNotBefore] > 0 {
		return
	}
	j.ReadyAt = k.now
	j.virtualDeadline = k.now + k.config.Ageing.overdueAfter(k.config.Worth, j.Spec.Class)
	k.ready.push(j)
	k.setState(j, Ready)
}

// Hold keeps a job from being released, or lifts the hold. It returns false if there is
// no such job or the job is neither waiting nor ready.
func (k *Core) Hold(id ID, held bool) bool {
	j := k.jobs[id]
	if j == nil || j.State != Waiting && j.State != Ready {
		return false
	}
	if j.Spec.Held = held; held && j.State == Ready {
		k.ready.remove(j)
		k.setState(j, Waiting)
	} else if !held {
		k.markReadyIfUnblocked(j)
	}
	return true
}

// finish puts a job into a final state. Its children are notified later, by Advance,
// within the budget of each call.
func (k *Core) finish(j *Job, s State, why string, cause ID) {
	if j.State.Final() {
		return
	}
	k.ready.remove(j)
	k.delayed.remove(j)
	k.expiring.remove(j)
	j.Reason, j.Cause, j.Ended = why, cause, k.now
	k.counts.unfinished--
	k.counts.perClass[j.Spec.Class]--
	k.counts.edges -= len(j.after)
	k.counts.bytes -= j.Spec.Size
	k.counts.resultBytes += len(j.Result)
	j.Spec.Payload = nil
	j.prevEnded = k.newestEnded
	if k.newestEnded != nil {
		k.newestEnded.nextEnded = j
	} else {
		k.oldestEnded = j
	}
	k.newestEnded = j
	k.setState(j, s)
	if len(j.children) > 0 {
		k.toPropagate = append(k.toPropagate, j)
	}
}

// notifyNextChild notifies one child that a parent has ended; it returns false if there is
// none to notify. It does one at a time so that a job with ten thousand descendants does
// not block the event loop.
func (k *Core) notifyNextChild() bool {
	for len(k.toPropagate) > 0 {
		j := k.toPropagate[0]
		if int(j.childrenNotified) == len(j.children) {
			k.toPropagate[0] = nil
			if k.toPropagate = k.toPropagate[1:]; len(k.toPropagate) == 0 {
				k.toPropagate = nil
			}
			continue
		}
		c := k.jobs[j.children[j.childrenNotified]]
		j.childrenNotified++
		if c != nil && !c.State.Final() {
			k.onParentEnded(c, j)
		}
		return true
	}
	return false
}

// onParentEnded updates job c after one of its parents has ended.
func (k *Core) onParentEnded(c, parent *Job) {
	for i := range c.after {
		if e := &c.after[i]; e.Job == parent.ID && !e.parentEnded {
			if !e.Any && parent.State != Done {
				k.finish(c, Failed, "came after "+parent.ID.String()+", which "+endedPhrase(parent.State), parent.ID)
				return
			}
			c.openEdges--
		}
	}
	k.markReadyIfUnblocked(c)
}

func endedPhrase(s State) string {
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

// CauseChain returns the chain of causes of a job's end, starting with the job itself, at most
// limit jobs. complete reports that the last one is the root cause.
func (k *Core) CauseChain(j *Job, limit int) (chain []*Job, complete bool) {
	for {
		chain = append(chain, j)
		if j.Cause == 0 {
			return chain, true
		}
		next := k.jobs[j.Cause]
		if next == nil || len(chain) == limit {
			return chain, false
		}
		j = next
	}
}

// Cancel cancels an unfinished job and, with subtree, all its unfinished descendants. It
// returns the jobs that were running; the caller must abandon their messages. ok is false
// if there is no such job or it has ended.
func (k *Core) Cancel(id ID, subtree bool) (running []*Job, ok bool) {
	j := k.jobs[id]
	if j == nil || j.State.Final() {
		return nil, false
	}
	targets := []*Job{j}
	if subtree {
		clear(k.visited)
		k.visited[id] = struct{}{}
		for i := 0; i < len(targets); i++ {
			for _, c := range targets[i].children {
				if _, seen := k.visited[c]; seen {
					continue
				}
				k.visited[c] = struct{}{}
				if child := k.jobs[c]; child != nil && !child.State.Final() {
					targets = append(targets, child)
				}
			}
		}
	}
	for _, j := range targets {
		why := "cancelled"
		if j != targets[0] {
			why = "cancelled with " + id.String()
		}
		if j.State == Running {
			running = append(running, j)
			why += " while it ran: it may have run"
		}
		k.finish(j, Cancelled, why, 0)
	}
	return running, true
}

// evictEnded drops ended jobs, oldest first, that are older than Retention or whose results
// exceed MaxResultBytes.
func (k *Core) evictEnded() {
	for k.oldestEnded != nil && (k.now-k.oldestEnded.Ended >= k.config.Limits.Retention || k.counts.resultBytes > k.config.Limits.MaxResultBytes) {
		j := k.oldestEnded
		if int(j.childrenNotified) < len(j.children) { // a child still has to read its state
			return
		}
		if k.oldestEnded = j.nextEnded; k.oldestEnded != nil {
			k.oldestEnded.prevEnded = nil
		} else {
			k.newestEnded = nil
		}
		k.counts.resultBytes -= len(j.Result)
		k.counts.states[j.State]--
		delete(k.jobs, j.ID)
		if k.keys[j.Spec.Key] == j {
			delete(k.keys, j.Spec.Key)
		}
	}
}

// maxScanPerList bounds the IDs that one List call scans, so that it does not block the
// event loop.
const maxScanPerList = 20_000

// List returns up to limit matching jobs with IDs above after, in ID order. next is the
// value of after that continues the listing; 0 means that the listing is complete.
func (k *Core) List(after ID, limit int, match func(*Job) bool) (out []*Job, next ID) {
	for id, n := after+1, 0; id <= k.lastID; id, n = id+1, n+1 {
		if len(out) == limit || n == maxScanPerList {
			return out, id - 1
		}
		if j := k.jobs[id]; j != nil && match(j) {
			out = append(out, j)
		}
	}
	return out, 0
}
