package yardwharf

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer makes the decisions of one dispatcher.
type Balancer struct {
	s   Settings
	do  Actions
	rng *rand.Rand
	now time.Duration

	load       float64       // slots that own attempts need
	rate       float64       // own completions a second
	counted    time.Duration // when rate was last brought up to date
	limit      float64       // most own attempts out; +Inf until waits grow
	busy       int           // requests in work and unanswered
	peak       int           // most of those, this round
	meanWorth  float64       // what requests are worth, of late
	usualValue float64       // what requests are worth a second of work, of late
	inTime     float64       // service times and part of the aims of what was completed, this round
	ended      int           // completed attempts, this round
	ends       int           // those and full ones
	bad        float64       // how bad those were, added up
	delays     float64       // completed attempts' delays added up, this round
	silence    time.Duration // what is too long for a worker to start nothing
	round      time.Duration // start of the round
	classes    []classStat
	held       []*request // waiting for room, by worth per second and age
	tenants    []tenant
	heard      []time.Duration // when each peer was last heard; nil without peers
	tellEvery  time.Duration
	message    []byte
	print      uint32 // fingerprint of the worker list
	others     int    // what peers have out, added up at summed
	summed     time.Duration
	good       float64               // most requests in work a worker while few ends were bad
	lost       map[int]float64       // by zone: share of silent ends of late
	looked     map[int]time.Duration // by zone: when probes went out
	ghosts     map[RequestID]ghost   // jobs that nobody waits for and that may go on
	ghost      RequestID             // number of the last
	zoneSeen   []ZoneSeen
	zonePart   []float64
	copyRate   float64 // copies allowed a request
	copies     float64 // copies that may be sent now
	slots      []slots // by kind
	slotsLeast float64 // of the kind with the fewest
	reports    int     // of free slots that have come
	turn       int     // place of the worker that was probed last
	holding    bool    // a timer for them is set

	sides     [2]side // at home, and elsewhere
	tooLate   part    // messages that did not start while they could be in time
	usualWork float64 // of a request, of late, in slots for a second
	work      float64 // the same, from the first on at its own size
	warmed    time.Duration
	parts     float64 // processes that this dispatcher has
	util      float64 // how busy workers said to be of late; 1 where they tell nothing

	owed    []*worker // put back by hand, and not sent anything since
	workers []*worker
	byID    map[WorkerID]*worker
	gone    int              // workers that are
	splits  []*split         // of pool 0, by kind
	splitOf []*split         // those by class
	pools   map[int][]*split // of other pools, as far as requests have asked for them

	requests map[RequestID]*request
	free     []*request
	timers   timers
	armed    time.Duration

	watching, asking bool
	failures         int
	asked            time.Duration // when the last call began
	due              time.Duration // when what the lost watch misses counts as told
}

// split holds the shares over the workers that can run one kind of job.
type split struct {
	kind, pool int
	m          []*member // by worker id, so that no order depends on a map
	sum        []float64 // running sums of x
	total      float64
	stale      bool            // sum no longer fits m
	changed    bool            // home no longer fits m
	need       int             // L(n)
	lacking    int             // members with fewer samples than need
	home       []*member       // those turned to first
	near       []*member       // those of the own zone
	far        []*member       // and the others
	base       map[int]float64 // by kind: shortest mean delay of late, for want of start notices
	stepped    time.Duration   // time of the last step

	stepSize, floor    float64 // see SplitSettings, as those that follow
	moreNeed, mostNeed int
	stepWait           time.Duration
	atFloor            bool
}

// member is a worker's place in a split, with its samples of the current step.
type member struct {
	w       *worker
	sp      *split
	x       float64
	n, done int     // samples; those of them that completed
	delay   float64 // send-to-finish times added up, in seconds
	service float64 // start-to-finish times added up
	least   float64 // shortest send-to-finish time of those completed
	f       float64
}

// worker is what this dispatcher knows of a worker.
type worker struct {
	id         WorkerID
	zone, cell int
	kind       int
	size       float64 // as hinted, or 1
	state      WorkerState
	putBack    time.Duration // by hand, the last time
	started    time.Duration // as listed; 0 where it was long ago
	coldSince  time.Duration // start of its warm-up as far as known
	out        int           // own attempts out
	load       float64       // slots that those need
	running    int           // own attempts that have started
	starts     float64       // their starts added up, in seconds
	usual      float64       // usual runs of their classes added up, in seconds
	pace       float64       // runs of late by what is usual, as of paced
	paced      time.Duration
	in         []*member     // one for each split that it is in
	seen       bool          // mark of a full list being read
	pools      []int         // beside pool 0
	waiting    int           // those of them that have not started
	sign       time.Duration // last start or end of a job here, or first send since
	peers      []byte        // what each peer has out here, as told
	others     int           // that added up
	lastSent   time.Duration // when it was last sent a job
	freeTold   time.Duration // when it last told how many slots are free; 0: never
	free       float64       // and how many
	room       float64       // own jobs that it is seen to start at once
	slots      float64       // as it reported; 0: not known
	tokens     float64       // cold: what may be sent yet
	refilled   time.Duration // when tokens were last added
	shunned    time.Duration // not drawn before this
	fulls      int           // full queues in a row
	strikes    int           // silent ends in a row, and errors
	struck     time.Duration // time of the last of them
	doubted    time.Duration // until then no unsafe or keyed request finds out how it is
	errors     float64       // part of its ends of late that were errors
}

type request struct {
	Request
	class    *Class
	split    *split
	attempts []attempt
	out      int  // attempts without an outcome
	answered bool // the final answer is given
	stream   bool // an answer has begun; there is no deadline any more
	came     time.Duration
	held     bool
	counted  bool          // among the busy
	judged   bool          // it is booked whether it started in time
	share    float64       // what it counts for by its tenant's share
	value    float64       // worth per second of work, for the order of admission
	patience time.Duration // when it is no longer held
}

type attempt struct {
	m             *member
	w             *worker
	sent, started time.Duration
	hasStarted    bool
	usual         float64 // its class's usual run when it started, in seconds
	done          bool
	off           bool // called off
	judged        bool // it is booked whether it started at once
	never         bool // it is proven that it did not run
	stale         bool // its connection was broken before, so that its worker may be tried again
}

// classStat is what is known of a class's times, in seconds.
type classStat struct {
	mean    float64 // mean delay over the last completions
	service float64 // mean start-to-finish time of those that told of their start
	seen    int
	base    float64 // the shortest mean delay of late: no waiting in it
	sum     float64
	n       int
	suits   suits
}

// seconds turns a number of seconds into a span.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// scale makes the shares sum to 1.
func (sp *split) scale() {
	total := 0.0
	for _, m := range sp.m {
		total += m.x
	}
	for _, m := range sp.m {
		m.x /= total
	}
	sp.stale = true
}

// add adds another member's samples.
func (m *member) add(o *member) {
	m.n, m.done = m.n+o.n, m.done+o.done
	m.delay, m.service = m.delay+o.delay, m.service+o.service
}

// sample books one attempt's send-to-finish and start-to-finish time. A lost job
// counts at its time-out, without a start-to-finish time.
func (sp *split) sample(m *member, delay, service float64, completed bool) {
	m.n++
	m.delay += delay
	if completed {
		m.done++
		m.service += service
	}
	if m.n == sp.need {
		sp.lacking--
	}
}

// run books that a job runs at a worker, or no longer does.
func (w *worker) run(a *attempt, by int) {
	w.running += by
	w.starts += float64(by) * a.started.Seconds()
	w.usual += float64(by) * a.usual
	if w.running == 0 {
		w.starts, w.usual = 0, 0
	}
}

// slots is how many slots a request's job needs.
func (r *request) slots() float64 { return max(1, r.Slots) }

// tried says whether an attempt went to a worker.
func (r *request) tried(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.w == w && !a.stale })
}

// recount keeps count of the requests that are in work and still unanswered.
func (b *Balancer) recount(r *request) {
	if in := r.out > 0 && !r.answered; in != r.counted {
		if r.counted = in; in {
			b.busy++
			b.peak = max(b.peak, b.busy)
		} else {
			b.busy--
		}
	}
}

// after sets a timer of a request, or of none.
func (b *Balancer) after(d time.Duration, id RequestID, kind timerKind) {
	b.timers.push(timer{b.now + max(0, d), id, kind})
}

// arm asks the host for a timer where none is set early enough.
func (b *Balancer) arm() {
	if b.s.Window.Enabled {
		b.dropOver()
	}
	if len(b.timers) > 0 && b.timers[0].at < b.armed {
		// Hosts count in whole microseconds: one that cuts off the rest would fire
		// early, find nothing due and never be asked again.
		after := (b.timers[0].at - b.now + time.Microsecond - 1).Truncate(time.Microsecond)
		b.armed = b.now + max(0, after)
		b.do.SetTimer(b.armed - b.now)
	}
}

// dropOver drops what is due next for requests that are over: a deadline outlives its message by far. Only
// with windows, as yet: without them it moves the laboratory's ties, where a cold host is near its bound.
func (b *Balancer) dropOver() {
	for len(b.timers) > 0 && b.timers[0].kind.ofRequest() && b.requests[b.timers[0].id] == nil {
		b.timers.pop()
	}
}

// First takes the start of a streamed answer.
func (b *Balancer) First(now time.Duration, id RequestID, n int) {
	b.now = now
	if r := b.requests[id]; r != nil {
		r.stream = true
	}
}

// Withdrawn takes the end of a request from the client's side.
func (b *Balancer) Withdrawn(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil {
		r.answered = true
		b.drop(r)
	}
}

// addUp brings the running sums of x up to date.
func (sp *split) addUp() {
	if sp.stale {
		sp.sum, sp.total, sp.stale = sp.sum[:0], 0, false
		for _, m := range sp.m {
			sp.total += m.x
			sp.sum = append(sp.sum, sp.total)
		}
	}
}

// told is a value of a load report; reports may lack it, or hold what is no number.
func (b *Balancer) told(load []float32, f Field) (float64, bool) {
	i := slices.Index(b.s.ReportFields, f)
	if i < 0 || i >= len(load) || !(load[i] >= 0) || load[i] > math.MaxFloat32 {
		return 0, false
	}
	return float64(load[i]), true
}
