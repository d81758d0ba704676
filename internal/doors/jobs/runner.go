// Package jobs is the front for jobs that wait: an HTTP API with JSON on a listener
// of its own. What waits, and in which order it goes, internal/decide/waiting decides; each
// released job goes through the dispatcher as any message, under the same rules.
//
// Unlike the platform's front it serves with net/http, a goroutine for each
// connection: its clients are few and slow. All state belongs to the loop; handlers
// post to it and wait.
package jobs

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"yardwharf"
	"yardwharf/internal/carry/dispatch"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/decide/waiting"
)

const (
	turnBudget   = 256                    // jobs told of an end in one turn of the loop
	releasesMost = 16                     // jobs released in one turn
	clockLook    = time.Second            // how often the wall clock is looked at, for steps
	openPart     = 2                      // part of the messages in hand that jobs may be: one in so many
	blockedLook  = 100 * time.Millisecond // while that part is used up, or jobs are ready
)

// work is what a job carries: the message that it becomes.
type work struct {
	target []byte
	body   []byte
	slots  float64
	memory float64
}

// Runner joins the jobs to a dispatcher. All methods belong to the loop.
type Runner struct {
	loop       *loop.Loop
	log        zerolog.Logger
	core       *waiting.Core
	dispatcher *dispatch.Dispatcher
	classes    []yardwharf.Class
	maxOpen    int // messages in hand; 0 is no limit
	wall       func() time.Time
	rng        *rand.Rand
	seed       uint64
	timer      loop.Timer
	seen       time.Duration // of what the fleet has run, that the core has been told of
	running    map[waiting.ID]*run
	watchers   map[*watcher]struct{}
	leaving    bool
	queued     bool // a turn is to come
}

// run is a released job; it is the message's client.
type run struct {
	r       *Runner
	job     *waiting.Job
	message *dispatch.Message
	outcome waiting.Outcome
	result  []byte
	after   time.Duration
}

// NewRunner returns a Runner without jobs.
func NewRunner(l *loop.Loop, log zerolog.Logger, c waiting.Config, s *yardwharf.Settings, seed uint64, d *dispatch.Dispatcher,
	wall func() time.Time) *Runner {
	for _, class := range s.Classes {
		c.Worth = append(c.Worth, class.Worth)
	}
	r := &Runner{loop: l, log: log, core: waiting.New(c), dispatcher: d, classes: s.Classes, maxOpen: s.MaxOpen, wall: wall,
		rng: rand.New(rand.NewPCG(seed, 0x6a6f6273)), seed: seed, running: map[waiting.ID]*run{}, watchers: map[*watcher]struct{}{}}
	r.timer.Task = r
	return r
}

// Adjust takes over settings that have changed, for the jobs that are released from now on.
func (r *Runner) Adjust(s *yardwharf.Settings) { r.classes, r.maxOpen = s.Classes, s.MaxOpen }

// unix is the time on the wall.
func (r *Runner) unix() time.Duration { return time.Duration(r.wall().UnixNano()) }

// SetOpen says whether there is a host that jobs may go to.
func (r *Runner) SetOpen(yes bool) {
	r.core.SetHostsAvailable(yes && !r.leaving)
	r.Soon()
}

// Leave releases nothing more; what runs is answered as any message.
func (r *Runner) Leave() {
	r.leaving = true
	r.core.SetHostsAvailable(false)
}

// Running is how many jobs are with the dispatcher.
func (r *Runner) Running() int { return len(r.running) }

// Soon has the runner look at what is to be done once the caller has returned.
func (r *Runner) Soon() {
	if !r.queued {
		r.queued = true
		r.loop.Defer(r)
	}
}

// Run implements loop.Task: a part of what is to be done, the rest in later turns.
func (r *Runner) Run() {
	r.queued = false
	now := r.loop.Now()
	if ran := r.dispatcher.Ran(); ran != r.seen {
		r.core.AddCompletedWork(ran - r.seen)
		r.seen = ran
	}
	more := r.core.Advance(now, r.unix(), turnBudget)
	blocked := false
	for n := 0; ; n++ {
		if blocked = r.maxOpen > 0 && r.dispatcher.Open() >= r.maxOpen/openPart; blocked {
			break
		}
		if n == releasesMost {
			more = true
			break
		}
		job, ahead := r.core.Release(now)
		if job == nil {
			break
		}
		r.release(job, ahead)
	}
	r.tell()
	if more {
		r.queued = true
		r.loop.Yield(r)
		return
	}
	wait := clockLook // also for steps of the wall clock
	if after, ok := r.core.Next(); ok {
		wait = min(wait, after)
	}
	if after, ok := r.core.NextRelease(); ok && !blocked {
		wait = min(wait, after)
	}
	if blocked || r.core.Count(waiting.Ready) > 0 { // what others complete lets overdue jobs go
		wait = min(wait, blockedLook)
	}
	r.loop.Set(&r.timer, now+max(wait, time.Millisecond))
}

// release makes a job a message.
func (r *Runner) release(job *waiting.Job, ahead bool) {
	w := job.Spec.Payload.(*work)
	class := &r.classes[job.Spec.Class]
	one := &run{r: r, job: job, outcome: waiting.Lost}
	r.running[job.ID] = one
	p := dispatch.Payload{ID: r.name(job, uint64(job.Tries)), Method: []byte("POST"), Target: w.target, Body: w.body,
		Once: class.Effect == yardwharf.Unsafe}
	if class.Effect == yardwharf.Keyed { // the same in every release: hosts drop repeats by it
		p.Key = append(r.name(job, 0), r.name(job, 1<<63)...)
	}
	one.message = r.dispatcher.Take(p, yardwharf.Request{Class: job.Spec.Class, Deadline: r.loop.Now() + class.Deadline,
		Slots: w.slots, Memory: w.memory, Retry: job.Tries > 1, FrontOfQueue: ahead}, one)
}

// name is a name of a job's that no other has, as clients of the platform word them.
func (r *Runner) name(job *waiting.Job, which uint64) []byte {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], r.seed)
	binary.BigEndian.PutUint64(b[8:], uint64(job.ID))
	binary.BigEndian.PutUint64(b[16:], which)
	return hex.AppendEncode(nil, binary.BigEndian.AppendUint64(nil, xxhash.Sum64(b[:])))
}

// Served implements dispatch.Client.
func (o *run) Served(result []byte) {
	o.outcome, o.result = waiting.Served, append([]byte(nil), result...)
}

// Refused implements dispatch.Client.
func (o *run) Refused(after time.Duration) {
	o.outcome, o.after = waiting.TurnedAway, after
}

// Gone implements dispatch.Client: who handed a job in need not wait for it.
func (o *run) Gone() bool { return false }

// Failed implements dispatch.Client.
func (o *run) Failed() { o.outcome = waiting.Lost }

// Released implements dispatch.Client: the last relay has ended, so that a job that
// goes again never runs beside itself.
func (o *run) Released() {
	r := o.r
	delete(r.running, o.job.ID)
	ran := time.Duration(0)
	if o.message != nil {
		ran = o.message.Ran
	}
	r.core.ReportOutcome(r.loop.Now(), o.job.ID, o.outcome, o.result, ran, o.after, r.rng.Float64())
	r.Soon()
}

// cancel ends jobs; their messages are given up.
func (r *Runner) cancel(id waiting.ID, subtree bool) bool {
	running, ok := r.core.Cancel(id, subtree)
	for _, job := range running {
		if one := r.running[job.ID]; one != nil && one.message != nil {
			r.dispatcher.Withdraw(one.message)
		}
	}
	r.Soon()
	return ok
}
