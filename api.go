// Package yardwharf decides where a dispatcher pushes jobs: which worker gets
// a request, when an attempt is repeated or given up, and which requests are refused.
//
// A host creates one Balancer per dispatcher with New, calls its event methods
// (Members, Request, Outcome, ...) and carries out the Actions that the
// Balancer asks for while such a call runs. A Balancer belongs to one
// goroutine; it starts none, keeps no clock and reads no input of its own.
// Equal settings, seed and events give equal actions.
//
// What the host promises:
//   - now never decreases from one event to the next; its zero is arbitrary;
//   - each Send is followed by exactly one Outcome, at the latest when its timeout or
//     the request's deadline has passed, whichever comes first;
//   - a timer fires at or soon after the time that it was set for, not before;
//   - Actions are carried out in the order of the calls, and none of them
//     calls back into the Balancer.
//
// Events about unknown requests, attempts or workers are ignored.
package yardwharf

import "time"

// WorkerID identifies a worker; the Balancer returns it as given.
type WorkerID uint64

// RequestID identifies a request. A client's retry is a new request.
type RequestID uint64

// Effect says how often a class of requests may run.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // workers of one Group drop repeats for KeyTTL
	Unsafe               // must never run twice
)

// Group says which workers drop repeats of a keyed request.
type Group uint8

// The groups.
const (
	AllWorkers Group = iota
	SameZone
	SameCell
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Aim       time.Duration // an answer within this time has its full worth
	Stretch   float64       // the aim grows by this multiple of the job's own service time
	Deadline  time.Duration // the usual timeout of the clients
	Worth     float64
	LateWorth float64 // fraction of Worth that is left after the aim
	Effect    Effect
	Group     Group         // for Keyed
	KeyTTL    time.Duration // for Keyed
	Kind      int           // the worker kind it needs; -1: any
	Priority  int
}

// Tenant is one of the customers that share the service.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all dispatchers, within its share
	Share float64
}

// HintMeaning says what Member.CapacityHint holds.
type HintMeaning uint8

// The meanings of a capacity hint.
const (
	HintNone HintMeaning = iota // always 1
	HintSize                    // the worker's size, exactly or roughly
	HintLive                    // size divided by load; varies over time
)

// Field names one value of a load report.
type Field uint8

// The fields of load reports; FieldOther is skipped.
const (
	FieldOther Field = iota
	FieldInflight
	FieldQueue
	FieldUtil
	FieldFreeSlots
	FieldErrors
	FieldWaiting // requests that wait at the worker
	FieldSlots   // requests that the worker processes concurrently
)

// Settings configure a Balancer.
type Settings struct {
	Me        int // number of this dispatcher, from 0
	Balancers int // number of dispatchers
	Zone      int // this dispatcher's zone
	Zones     []string
	Kinds     []string // names of the worker kinds
	Classes   []Class
	Tenants   []Tenant

	OverShareWorth float64 // factor on the worth of a request beyond its tenant's quota
	WorthByWork    bool    // Worth is per unit of work, not per request
	TellsStart     bool    // workers report when a job starts
	AskDiscovery   bool    // the worker list is sent only after Watch
	Hint           HintMeaning

	ReportFields   []Field // meaning of the values in a load report, in order
	ReportNames    []string
	ReportsInReply bool // outcomes carry load reports (otherwise only probes do)

	MaxAttempts    int
	ParallelTries  bool // a request may have two attempts in flight
	Cancel         bool
	Probes         bool
	Peers          bool
	MaxRetryAfter  time.Duration
	MaxOpen        int           // most requests that a dispatcher holds at once; 0: no limit
	DialTimeout    time.Duration // a connection not established by then has failed
	ConnIdle       time.Duration // workers close connections that are idle for this long
	CrossZonePrice float64       // cost of an attempt in another zone, in units of Worth
	ProbePrice     float64       // cost of a probe, in units of Worth
	PeerPrice      float64       // cost of 256 delivered bytes of messages to peers, in units of Worth
	WorstClass     float64       // weight of the worst-served class in the objective of the service

	Split  SplitSettings
	Window WindowSettings

	DrainGrace     time.Duration // no attempt is sent later than this after a drain is announced
	AskWithin      time.Duration // with AskDiscovery: longest time between discovery calls
	StartCapacity  float64       // fraction of its capacity that a worker has right after its start
	WarmUp         time.Duration // time after its start until it has its full capacity
	OverloadFactor float64       // a cold worker that gets this many times its capacity ...
	OverloadFor    time.Duration // ... for this long fails under the load
}

// SplitSettings configure how the workers' shares of the traffic are adjusted. Zero values
// select the defaults.
type SplitSettings struct {
	Step             float64       // step size a, in mean shares
	Floor            float64       // least share q_min, in mean shares
	FirstSamples     int           // L(0): samples of each worker before the first step
	MoreSamples      int           // L(n) - L(n-1)
	MostSamples      int           // upper bound of L
	StepWait         time.Duration // a step is taken after this time even with too few samples
	NewcomersAtFloor bool          // new workers start at q_min (otherwise at the mean share)
	ShortestService  bool          // 1/mu is estimated as a worker's shortest send-to-finish time in a step
}

// WindowSettings bound the attempts in flight at each worker by the load that it reports
// in each outcome: FieldInflight, FieldWaiting and FieldSlots. With windows, no request is
// refused for lack of room before the time for which it may be held has passed.
type WindowSettings struct {
	Enabled     bool
	Distances   []int         // by zone, 0 for the own one: nearer workers with room are preferred; empty: no preference
	First       float64       // window of a worker whose number of slots is unknown
	Most        float64       // upper bound of a window; 0: none
	StrikePause time.Duration // first pause of a worker that fails; doubles with each failure
	StrikeMost  time.Duration // longest pause
	ProbeEvery  time.Duration // while all workers pause, one of them is tried at this interval
}

// WorkerState is the state of a worker in the worker list.
type WorkerState uint8

// The states.
const (
	Gone WorkerState = iota
	Ready
	Draining
)

// Member is one entry of the worker list.
type Member struct {
	ID           WorkerID
	Zone         int
	Started      time.Duration // when it last started; 0 means long ago
	State        WorkerState
	Kind         int
	Cell         int
	CapacityHint float64
	Pools        []int         // in addition to pool 0, which contains all workers
	ReinstatedAt time.Duration // when an operator last returned it to service; 0: never
}

// ListKind says what the entries of a Members event are.
type ListKind uint8

// The kinds of lists.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list as last seen; may be stale
	ListFailed                 // a call failed or the watch was interrupted; no entries
	ListLocal                  // changed entries that the host decided on itself; says nothing about the watch
)

// Request is a request that this dispatcher has accepted.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int           // index in Settings.Tenants; any other number is a tenant without a quota
	Deadline     time.Duration // time at which the client gives up
	Slots        float64
	Memory       float64
	Hint         time.Duration // expected work at speed 1; 0 where unknown
	Retry        bool          // marked as a client's retry
	Pool         int           // only workers of this pool may run it; 0: all workers
	FrontOfQueue bool          // served before all other requests that wait for room
}

// Status says how an attempt or a probe ended.
type Status uint8

// The statuses. Full, ConnectFailed and NotRun prove that the job never ran; NotRun is for
// other causes than a full worker or a failed connection, such as too little time left.
const (
	OK Status = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotRun
	Rejected // the worker cannot process the job, and no other worker could
)

// Outcome is the result of an attempt.
type Outcome struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Status  Status
	Latency time.Duration // at least DialTimeout if nothing was received on the connection
	Closed  bool          // the request has received its final answer
	Stale   bool          // a Reset of a reused connection before anything was received; says nothing about the worker
	Load    []float32     // a load report, or empty
}

// NoteKind is the kind of a Note about a running attempt.
type NoteKind uint8

// The kinds of notes.
const (
	Started NoteKind = 1 + iota
	Progress
)

// Actions carries out what a Balancer decides.
type Actions interface {
	// Send starts an attempt; attempts of a request are numbered from 0.
	// A timeout of 0 lasts until the request's deadline.
	Send(id RequestID, worker WorkerID, timeout time.Duration)
	// Refuse answers that the request was refused and may be retried.
	Refuse(id RequestID, after time.Duration)
	// Fail answers that the request failed; it does not say whether the request may be retried.
	Fail(id RequestID)
	// Cancel cancels an attempt.
	Cancel(id RequestID, attempt int)
	// SetTimer requests a Timer event after the given time and replaces the timer set before, so that
	// a host needs only one timer.
	SetTimer(after time.Duration)
	// Probe asks a worker for its load report.
	Probe(worker WorkerID)
	// Broadcast sends a message to every peer; it may be lost.
	Broadcast(data []byte)
	// Watch subscribes to changes of the worker list. It is followed by one Members
	// event, with ListFailed if it fails.
	Watch()
}
