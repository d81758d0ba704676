package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"yardwharf"
)

// Class is the class of errors that this package returns.
var Class = errs.Class("balance")

const (
	defaultTimeout    = 2 * time.Second
	defaultMaxWait    = 2 * time.Second
	defaultMaxWaiting = 128

	maxAttempts               = 8    // tries per Submit, each after one that provably has not run
	floorShare                = 0.25 // q_min, as a fraction of the mean share
	stepSize                  = 0.05 // a, as a fraction of the mean share
	minSamples                = 3    // L(0): completions of each sender before the first step
	samplesIncrement          = 1    // L(n) - L(n-1): increase per step
	maxSamples                = 12   // upper limit of L(n)
	stepWait                  = 5 * time.Second
	initialWindow             = 4 // concurrent deliveries to a sender whose slots are unknown
	strikePause               = 250 * time.Millisecond
	maxStrikePause            = time.Second
	probeInterval             = 200 * time.Millisecond
	minBackoff                = 100 * time.Millisecond
	maxBackoff                = time.Second
	usableConnectionsFraction = 0.85 // fraction of a sender's connections that dispatchers use
	dialTimeout               = 300 * time.Millisecond
)

// Driver chooses senders for one service.
type Driver struct {
	options  Options
	handler  Actions
	balancer *yardwharf.Balancer
	random   *rand.Rand
	now      time.Duration

	senders     map[yardwharf.WorkerID]Sender
	workers     map[string]yardwharf.WorkerID // by Sender.key
	lastWorker  yardwharf.WorkerID            // ID of the last worker created
	requests    map[yardwharf.RequestID]*request
	byMessage   map[string]yardwharf.RequestID
	lastRequest yardwharf.RequestID // ID of the last request
	waiting     int                 // requests without a delivery in flight
	lastWorked  time.Duration       // last time an outcome showed that the service works
}

// request is a submitted message.
type request struct {
	message   string
	attempts  int
	inFlight  bool               // a delivery is in flight
	worker    yardwharf.WorkerID // that the delivery went to
	abandoned bool               // dropped by the decision module while in flight
	withdrawn bool
}

// New returns a Driver without senders.
func New(options Options, handler Actions) (*Driver, error) {
	options.Dispatchers = max(1, options.Dispatchers)
	options.Timeout = cmp.Or(options.Timeout, defaultTimeout)
	options.MaxWait = cmp.Or(options.MaxWait, defaultMaxWait)
	options.MaxWaiting = cmp.Or(options.MaxWaiting, defaultMaxWaiting)
	d := &Driver{
		options: options, handler: handler,
		random:    rand.New(rand.NewPCG(options.Seed, uint64(options.Me))),
		senders:   make(map[yardwharf.WorkerID]Sender),
		workers:   make(map[string]yardwharf.WorkerID),
		requests:  make(map[yardwharf.RequestID]*request),
		byMessage: make(map[string]yardwharf.RequestID),
	}
	balancer, err := yardwharf.New(d.settings(), options.Seed, &actions{d})
	if err != nil {
		return nil, Class.Wrap(err)
	}
	d.balancer = balancer
	return d, nil
}

// settings returns the settings of the decision module. The class is Unsafe: the
// module never repeats a message that may have run, and sends no duplicates.
func (d *Driver) settings() yardwharf.Settings {
	class := yardwharf.Class{
		Name: "delivery", Aim: 2 * d.options.MaxWait, Deadline: d.options.Timeout,
		Worth: 1, LateWorth: 1, Effect: yardwharf.Unsafe, Kind: -1,
	}
	return yardwharf.Settings{
		Me: d.options.Me, Balancers: d.options.Dispatchers,
		Zone: slices.Index(d.options.Zones, d.options.Zone), Zones: d.options.Zones,
		Kinds: []string{"sender"}, Classes: []yardwharf.Class{class},
		WorthByWork: true, Hint: yardwharf.HintSize,
		ReportFields: []yardwharf.Field{
			yardwharf.FieldInflight, yardwharf.FieldWaiting, yardwharf.FieldSlots,
		},
		ReportsInReply: true, MaxAttempts: maxAttempts, MaxRetryAfter: minBackoff,
		DialTimeout: dialTimeout, CrossZonePrice: d.options.CrossZonePrice,
		Split: yardwharf.SplitSettings{
			Step: stepSize, Floor: floorShare, FirstSamples: minSamples, MoreSamples: samplesIncrement,
			MostSamples: maxSamples, StepWait: stepWait, NewcomersAtFloor: true, ShortestService: true,
		},
		Window: yardwharf.WindowSettings{
			Enabled: true, Distances: d.distances(), First: initialWindow, Most: float64(d.connections()),
			StrikePause: strikePause, StrikeMost: maxStrikePause, ProbeEvery: probeInterval,
		},
		StartCapacity: 1, OverloadFactor: 1, OverloadFor: time.Second,
	}
}

// distances returns the distance of each zone from the local zone.
func (d *Driver) distances() []int {
	distances := make([]int, len(d.options.Zones))
	for i, zone := range d.options.Zones {
		distances[i] = int(d.options.Regions.Between(d.options.Zone, zone))
	}
	return distances
}

// UsableConnections returns how many connections all dispatchers together may open to a sender that accepts at
// most this many; 0 means no limit. The rest is headroom for connections that are being closed and for
// dispatchers that do not know of each other yet.
func UsableConnections(limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(usableConnectionsFraction*float64(limit)))
}

// Connections returns how many connections each of several dispatchers may open to a sender that accepts at most this
// many from all of them; 0 means no limit.
func Connections(limit, dispatchers int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, UsableConnections(limit)/dispatchers)
}

// connections returns this dispatcher's share of the connections that a sender
// accepts; 0 means no limit.
func (d *Driver) connections() int {
	return Connections(d.options.MaxConnections, d.options.Dispatchers)
}

// SetFleet updates the number of dispatchers that share the senders and the number
// of connections that a sender accepts from all of them.
func (d *Driver) SetFleet(dispatchers, maxConnections int) {
	d.options.Dispatchers = max(1, dispatchers)
	d.options.MaxConnections = maxConnections
	d.balancer.SetFleet(d.options.Dispatchers, float64(d.connections()))
}

// SetTimeout changes the timeout of later deliveries; 0 selects the default.
func (d *Driver) SetTimeout(timeout time.Duration) {
	timeout = cmp.Or(timeout, defaultTimeout)
	if timeout == d.options.Timeout {
		return
	}
	d.options.Timeout = timeout
	_ = d.balancer.Adjust(d.settings()) // valid: they differ from those accepted by New only in the timeout
}

// MayStart reports whether a delivery that the Driver has requested may still start: its
// message was not withdrawn, and its sender is listed and not draining.
func (d *Driver) MayStart(attempt AttemptID) bool {
	r := d.requests[yardwharf.RequestID(attempt.Request)]
	if r == nil || !r.inFlight || r.withdrawn || attempt.Number != r.attempts-1 {
		return false
	}
	sender, listed := d.senders[r.worker]
	return listed && !sender.Draining
}

// Submit requests one delivery of a message. A message that the Driver already has
// is ignored. Nothing is sent after the deadline; the message is given back then.
func (d *Driver) Submit(now time.Duration, message string, deadline time.Duration) {
	d.now = now
	if _, have := d.byMessage[message]; have {
		return
	}
	if d.waiting >= d.options.MaxWaiting || deadline <= now {
		d.handler.GiveBack(message, d.backoff())
		return
	}
	d.lastRequest++
	id := d.lastRequest
	d.requests[id] = &request{message: message}
	d.byMessage[message] = id
	d.waiting++
	d.balancer.Request(now, yardwharf.Request{
		ID: id, Deadline: min(deadline, now+2*d.options.MaxWait+d.options.Timeout), Slots: 1,
	})
}

// Withdraw removes a message and reports whether it had no delivery in flight. If it
// had one, the Driver does not deliver the message again but still expects the call
// of Ended.
func (d *Driver) Withdraw(now time.Duration, message string) bool {
	d.now = now
	id, have := d.byMessage[message]
	if !have {
		return true
	}
	r := d.requests[id]
	r.withdrawn = true
	d.balancer.Withdrawn(now, id)
	if r.inFlight {
		return false
	}
	d.remove(id, r)
	return true
}

// Ended records the outcome of a delivery. It reports whether the Driver keeps the
// message: the Driver then sends it to another sender or gives it back, before Ended
// returns or later. Otherwise the caller owns it again, whether it has run or not.
func (d *Driver) Ended(now time.Duration, attempt AttemptID, outcome Outcome) bool {
	d.now = now
	id := yardwharf.RequestID(attempt.Request)
	r := d.requests[id]
	if r == nil || !r.inFlight || attempt.Number != r.attempts-1 {
		return false
	}
	r.inFlight = false
	d.waiting++
	if outcome.Status == Succeeded || outcome.Status == Failed || outcome.Status == Refused {
		d.lastWorked = now
	}
	keeps := outcome.Status.provesNotRun() && !r.withdrawn && !r.abandoned
	if !keeps {
		d.remove(id, r)
	}
	d.balancer.Outcome(now, yardwharf.Outcome{
		Request: id, Attempt: attempt.Number, Worker: r.worker, Status: outcome.Status.decisionStatus(len(d.workers) == 1),
		Latency: outcome.Latency, Closed: !keeps, Load: outcome.Load.values(),
	})
	return keeps
}

// Timer handles the expiry of the timer requested with Actions.SetTimer.
func (d *Driver) Timer(now time.Duration) {
	d.now = now
	d.balancer.Timer(now)
}

// Waiting returns the number of messages that wait for a sender.
func (d *Driver) Waiting() int { return d.waiting }

// remove removes a request that has no delivery in flight.
func (d *Driver) remove(id yardwharf.RequestID, r *request) {
	if _, have := d.requests[id]; !have {
		return
	}
	delete(d.requests, id)
	delete(d.byMessage, r.message)
	d.waiting--
}

// giveBack returns a message for which no sender was available.
func (d *Driver) giveBack(id yardwharf.RequestID, r *request) {
	d.remove(id, r)
	if !r.withdrawn {
		d.handler.GiveBack(r.message, d.backoff())
	}
}

// backoff returns the wait before a message that is given back is submitted again.
// It grows with the time since the service last worked, and is jittered.
func (d *Driver) backoff() time.Duration {
	wait := min(maxBackoff, max(minBackoff, (d.now-d.lastWorked)/4))
	return wait*3/4 + time.Duration(d.random.Float64()*float64(wait/2))
}

// decisionStatus converts the status to one of the decision module. Failures and broken
// connections that the message itself may have caused do not count against the only
// sender of a service: pausing it would only delay the other messages.
func (s Status) decisionStatus(onlySender bool) yardwharf.Status {
	switch s {
	case Succeeded:
		return yardwharf.OK
	case Failed:
		if onlySender {
			return yardwharf.Rejected
		}
		return yardwharf.Error
	case Refused:
		return yardwharf.Rejected
	case TimedOut:
		return yardwharf.Timeout
	case Full:
		return yardwharf.Full
	case ConnectFailed:
		return yardwharf.ConnectFailed
	case NotRun:
		return yardwharf.NotRun
	default:
		if onlySender {
			return yardwharf.Cancelled
		}
		return yardwharf.Reset
	}
}

// values returns the load report in the order of Settings.ReportFields.
func (l *Load) values() []float32 {
	if l == nil {
		return nil
	}
	return []float32{float32(l.Running), float32(l.Waiting), float32(l.Slots)}
}
