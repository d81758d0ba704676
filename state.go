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

	load            float64       // slots that own attempts use
	rate            float64       // own completions per second, as of the last one
	rateUpdated     time.Duration // when rate was last updated
	limit           float64       // most requests in work; +Inf until waits grow
	active          int           // requests with an attempt out and no answer yet
	peakActive      int           // most of those in this round
	meanWorth       float64       // EWMA of the worth of a request
	meanValue       float64       // EWMA of the worth of a request per second of work
	targetSum       float64       // service times plus a fraction of the aims of this round's completions
	completed       int           // completed attempts in this round
	ends            int           // those and attempts that met a full queue
	badSum          float64       // how bad those were, 0 to 1 each
	delaySum        float64       // total delay of this round's completed requests
	silenceLimit    time.Duration // a worker that starts nothing for longer counts as hung
	roundStart      time.Duration // start of the round
	classes         []classStats
	held            []*request // waiting for free slots, by value and age
	tenants         []tenant
	lastHeard       []time.Duration // when each peer was last heard; nil without peers
	tellInterval    time.Duration
	message         []byte
	listFingerprint uint32 // fingerprint of the worker list
	others          int    // slots that peers use, added up at othersSummed
	othersSummed    time.Duration
	goodPerWorker   float64                    // EWMA of requests in work per worker in rounds with few bad ends
	silentFraction  map[int]float64            // by zone: EWMA of the fraction of silent ends
	lastZoneProbe   map[int]time.Duration      // by zone: when probes were last sent
	abandoned       map[RequestID]abandonedJob // cancelled jobs that may run on
	lastAbandoned   RequestID                  // number of the last of these
	zoneCounts      []ZoneCounts
	zoneFraction    []float64
	copyRate        float64     // copies allowed per request
	copyTokens      float64     // copies that may be sent now
	slotsByKind     []kindSlots // by worker kind
	minSlots        float64     // slots of the kind with the fewest
	reportCount     int         // reports of free slots received
	probeTurn       int         // index of the worker probed last
	heldTimerSet    bool        // a timer for held requests is set

	sides        [2]sideStats     // own zone, other zones
	lateRequests decayingFraction // requests that did not start while they could be in time
	usualWork    float64          // EWMA of a request's work, in slot seconds
	meanWork     float64          // the same, but started at the first request's work
	warmthSummed time.Duration
	processes    float64 // processes of this dispatcher
	util         float64 // mean utilization that workers report; 1 without reports

	awaitingFirstSend []*worker // put back by an operator and sent nothing since
	workers           []*worker
	byID              map[WorkerID]*worker
	goneCount         int              // workers in state Gone
	splits            []*split         // of pool 0, by job kind
	splitByClass      []*split         // the same by class
	pools             map[int][]*split // of other pools, created with their first request

	requests     map[RequestID]*request
	freeRequests []*request
	timers       timers
	armed        time.Duration

	watching, asking bool
	failures         int
	askStarted       time.Duration // when the last call began
	newsDue          time.Duration // when news that the lost watch misses must be known
}

// split holds the shares of the workers that can run one kind of job.
type split struct {
	kind, pool      int
	members         []*member // by worker id, so that no order depends on a map
	cumulative      []float64 // running sums of the shares
	total           float64
	cumulativeStale bool            // the running sums are out of date
	membersChanged  bool            // home is out of date
	samplesNeeded   int             // L(n)
	undersampled    int             // members with fewer samples than L(n)
	home            []*member       // workers of the own zone that are preferred
	near            []*member       // all workers of the own zone
	far             []*member       // all others
	base            map[int]float64 // by kind: baseline of the mean delay, used without start notices
	lastStep        time.Duration   // time of the last step

	stepSize, floor             float64 // these and the following: see SplitSettings
	sampleIncrement, maxSamples int
	stepWait                    time.Duration
	newcomersAtFloor            bool
}

// member is a worker's place in a split, with its samples of the current step.
type member struct {
	w                  *worker
	split              *split
	share              float64 // share of the draws
	samples, completed int     // samples, and those of them that completed
	delay              float64 // total send-to-finish time, in class means (ShortestService: seconds)
	service            float64 // total start-to-finish time, in class means
	minDelay           float64 // shortest send-to-finish time of a completion, in seconds
	f                  float64 // cost of a job here relative to the mean service time, the paper's f
}

// worker is what this dispatcher knows of a worker.
type worker struct {
	id            WorkerID
	zone, cell    int
	kind          int
	size          float64 // as hinted, or 1
	state         WorkerState
	putBack       time.Duration // when an operator last put it back
	started       time.Duration // as listed; 0 if long ago
	coldSince     time.Duration // start of its warm-up, as far as known
	out           int           // own attempts out
	load          float64       // slots that those use
	running       int           // own attempts that have started
	startSum      float64       // sum of their start times, in seconds
	usualSum      float64       // sum of the usual runs of their classes, in seconds
	pace          float64       // recent runs relative to the usual ones
	paceUpdated   time.Duration
	memberships   []*member     // one for each split that it is in
	listed        bool          // named by the full list being read
	pools         []int         // besides pool 0
	waiting       int           // own attempts that have not started
	lastProgress  time.Duration // last start or end of a job here, or first send while none waited
	peerLoads     []byte        // slots that each peer uses here
	peerLoad      int           // sum of those
	lastSent      time.Duration // when it was last sent a job
	freeReported  time.Duration // when it last reported free slots; 0: never
	freeSlots     float64       // how many it reported
	slotLimit     float64       // slots that the known jobs may use here; with WindowSettings, the window
	reportedSlots float64       // slots that it reported; 0: unknown
	coldTokens    float64       // sends left of the cold budget
	coldRefilled  time.Duration // when that budget was last refilled
	excludedUntil time.Duration // excluded from draws until then
	fullsInRow    int           // full queues in a row
	strikes       int           // failures in a row: silent ends, and errors above the limit
	lastStrike    time.Duration // time of the last of them
	doubtfulUntil time.Duration // unsafe and keyed requests avoid it until then
	errorFraction float64       // EWMA of its ends that were errors
}

type request struct {
	Request
	class        *Class
	split        *split
	attempts     []attempt
	out          int  // attempts without an outcome
	answered     bool // the final answer is given
	streaming    bool // an answer has begun, so the deadline no longer applies
	arrived      time.Duration
	held         bool
	isActive     bool          // counted among the requests in work
	startCounted bool          // its first start has been counted, as in time or late
	tenantFactor float64       // factor of its value by its tenant's share
	value        float64       // priority in admission, from the worth per second of work
	holdUntil    time.Duration // it is held until then at most
}

type attempt struct {
	m             *member
	w             *worker
	sent, started time.Duration
	hasStarted    bool
	usual         float64 // its class's usual run when it started, in seconds
	done          bool
	cancelled     bool // a cancel was sent
	startCounted  bool // its start has been counted, as at once or late
	neverRan      bool // it certainly did not run
	staleConn     bool // its kept connection was already broken, so the worker may be tried again
}

// classStats is what is known of a class's times, in seconds.
type classStats struct {
	mean        float64 // mean delay over the last completions
	service     float64 // mean start-to-finish time of jobs with a start notice
	completions int
	base        float64 // baseline: recent shortest mean delay, without waits
	baseSum     float64
	baseCount   int
	affinity    kindAffinity
}

// seconds converts a number of seconds to a duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// scale makes the shares sum to 1.
func (sp *split) scale() {
	total := 0.0
	for _, m := range sp.members {
		total += m.share
	}
	for _, m := range sp.members {
		m.share /= total
	}
	sp.cumulativeStale = true
}

// add adds another member's samples.
func (m *member) add(o *member) {
	m.samples, m.completed = m.samples+o.samples, m.completed+o.completed
	m.delay, m.service = m.delay+o.delay, m.service+o.service
}

// sample adds one attempt's send-to-finish and start-to-finish time. A lost job counts with the
// time until its loss, without a start-to-finish time.
func (sp *split) sample(m *member, delay, service float64, completed bool) {
	m.samples++
	m.delay += delay
	if completed {
		m.completed++
		m.service += service
	}
	if m.samples == sp.samplesNeeded {
		sp.undersampled--
	}
}

// countRunning counts a job that has started at a worker (by 1) or has ended there (by -1).
func (w *worker) countRunning(a *attempt, by int) {
	w.running += by
	w.startSum += float64(by) * a.started.Seconds()
	w.usualSum += float64(by) * a.usual
	if w.running == 0 {
		w.startSum, w.usualSum = 0, 0
	}
}

// slots is how many slots a request's job needs.
func (r *request) slots() float64 { return max(1, r.Slots) }

// tried reports whether an attempt went to a worker.
func (r *request) tried(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.w == w && !a.staleConn })
}

// recount updates the number of requests in work that are not answered.
func (b *Balancer) recount(r *request) {
	if in := r.out > 0 && !r.answered; in != r.isActive {
		if r.isActive = in; in {
			b.active++
			b.peakActive = max(b.peakActive, b.active)
		} else {
			b.active--
		}
	}
}

// startTimer starts a timer for a request, or for none (0).
func (b *Balancer) startTimer(d time.Duration, id RequestID, kind timerKind) {
	b.timers.push(timer{b.now + max(0, d), id, kind})
}

// arm asks the host for a timer if none is set early enough.
func (b *Balancer) arm() {
	if b.s.Window.Enabled {
		b.dropStaleTimers()
	}
	if len(b.timers) > 0 && b.timers[0].at < b.armed {
		// Hosts count in whole microseconds: a host that truncates the rest would fire
		// early, find nothing due and never be asked again.
		after := (b.timers[0].at - b.now + time.Microsecond - 1).Truncate(time.Microsecond)
		b.armed = b.now + max(0, after)
		b.do.SetTimer(b.armed - b.now)
	}
}

// dropStaleTimers drops the next timers of requests that are over, as a deadline is far later than the end
// of its request. Only with windows, as yet: without them it changes the order of simultaneous events in
// simulations, in which cold workers are close to their limit.
func (b *Balancer) dropStaleTimers() {
	for len(b.timers) > 0 && b.timers[0].kind.needsRequest() && b.requests[b.timers[0].id] == nil {
		b.timers.pop()
	}
}

// AnswerStarted handles the start of a streamed answer.
func (b *Balancer) AnswerStarted(now time.Duration, id RequestID, n int) {
	b.now = now
	if r := b.requests[id]; r != nil {
		r.streaming = true
	}
}

// Withdrawn handles the end of a request by its client.
func (b *Balancer) Withdrawn(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil {
		r.answered = true
		b.drop(r)
	}
}

// sumShares updates the running sums of the shares.
func (sp *split) sumShares() {
	if sp.cumulativeStale {
		sp.cumulative, sp.total, sp.cumulativeStale = sp.cumulative[:0], 0, false
		for _, m := range sp.members {
			sp.total += m.share
			sp.cumulative = append(sp.cumulative, sp.total)
		}
	}
}

// reportValue returns a value of a load report, which may lack it or hold an invalid number.
func (b *Balancer) reportValue(load []float32, f Field) (float64, bool) {
	i := slices.Index(b.s.ReportFields, f)
	if i < 0 || i >= len(load) || !(load[i] >= 0) || load[i] > math.MaxFloat32 {
		return 0, false
	}
	return float64(load[i]), true
}
