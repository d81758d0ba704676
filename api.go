// Package yardwharf decides where a dispatcher pushes jobs: which worker gets
// a request, when an attempt is repeated or given up, and what is turned away.
//
// A host creates one Balancer per dispatcher with New, calls its event methods
// (Members, Request, Outcome, ...) and carries out the Actions that the
// Balancer asks for while such a call runs. A Balancer belongs to one
// goroutine; it starts none, keeps no clock and reads no input of its own.
// Equal settings, seed and events give equal actions.
//
// What the host promises:
//   - now never falls from one event to the next; its zero is arbitrary;
//   - each Send brings exactly one Outcome, at the latest when its time-out or
//     the request's deadline has passed, whichever comes first;
//   - a timer set for a span fires at or soon after its end, not before;
//   - Actions are carried out in the order of the calls, and none of them
//     calls back into the Balancer.
//
// Events about unknown requests, attempts or workers are ignored.
package yardwharf

import "time"

// WorkerID names a worker; the Balancer returns it as given.
type WorkerID uint64

// RequestID names a request. A client's retry is a new request.
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
	Aim       time.Duration // full worth up to here
	Stretch   float64       // the aim grows by this many times the job's own work
	Deadline  time.Duration // the client's usual patience
	Worth     float64
	LateWorth float64 // share of Worth after the aim
	Effect    Effect
	Group     Group         // for Keyed
	KeyTTL    time.Duration // for Keyed
	Kind      int           // the worker kind it needs, or -1
	Priority  int
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all dispatchers, within its share
	Share float64
}

// HintMeaning says what Member.CapacityHint holds.
type HintMeaning uint8

// The meanings.
const (
	HintNone HintMeaning = iota // always 1
	HintSize                    // the worker's size, exactly or roughly
	HintLive                    // size over load; it varies
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
	FieldSlots   // requests that it works on at once
)

// Settings are what a Balancer is told when it starts.
type Settings struct {
	Me        int // this dispatcher's number
	Balancers int // how many dispatchers there are
	Zone      int // this dispatcher's zone
	Zones     []string
	Kinds     []string // the workers' kinds
	Classes   []Class
	Tenants   []Tenant

	OverShareWorth float64 // worth of a request beyond its tenant's share
	WorthByWork    bool    // worth counts per unit of work, not per request
	TellsStart     bool    // workers tell when a job starts
	AskDiscovery   bool    // the worker list comes only after Watch or Fetch
	Hint           HintMeaning

	ReportFields   []Field // what Load values mean, in order
	ReportNames    []string
	ReportsInReply bool // reports come with outcomes (else with probes only)

	MaxAttempts    int
	ParallelTries  bool // two attempts of one request may be out at once
	Cancel         bool
	Probes         bool
	Peers          bool
	MaxRetryAfter  time.Duration
	MaxOpen        int           // requests that a dispatcher can hold; 0 is no limit
	DialTimeout    time.Duration // a connection that is not up by then has failed
	ConnIdle       time.Duration // a worker closes a connection that idles for so long
	CrossZonePrice float64       // price of an attempt that leaves the zone, as worth of a request
	ProbePrice     float64       // price of a probe, as worth of a request
	PeerPrice      float64       // price of 256 delivered bytes of messages to peers, as worth of a request
	WorstClass     float64       // weight of the worst-served class in the service's goal

	Split  SplitSettings
	Window WindowSettings

	DrainGrace     time.Duration // nothing is sent later than this after a drain is told
	AskWithin      time.Duration // with AskDiscovery: longest time between calls
	StartCapacity  float64       // share of its capacity that a started worker has at once
	WarmUp         time.Duration // it has all of it after this time
	OverloadFactor float64       // a cold worker sent this many times its capacity ...
	OverloadFor    time.Duration // ... for this long falls over
}

// SplitSettings say how the split is moved. Zero values stand for the defaults.
type SplitSettings struct {
	Step             float64       // a, in mean shares
	Floor            float64       // q_min, in mean shares
	FirstSamples     int           // L(0)
	MoreSamples      int           // L(n) - L(n-1)
	MostSamples      int           // L grows no further
	StepWait         time.Duration // a step is taken after this even if samples lack
	NewcomersAtFloor bool          // newcomers enter at q_min (else with the mean share)
	ShortestService  bool          // 1/mu is a worker's shortest send-to-finish time of the step
}

// WindowSettings bound what is out at each worker by the load that it reports in
// each outcome: FieldInflight, FieldWaiting and FieldSlots. With them nothing is
// refused for want of room before the request's patience ends.
type WindowSettings struct {
	Enabled     bool
	Distances   []int         // of the zones from here, 0 the own: a nearer worker that has room is preferred; empty: none is
	First       float64       // window of a worker whose slots are not known
	Most        float64       // a window is no larger; 0 is no bound
	StrikePause time.Duration // first pause of a worker that fails; doubles
	StrikeMost  time.Duration // longest pause
	ProbeEvery  time.Duration // where all workers pause, one of them is tried this often
}

// WorkerState is what the worker list says of a worker.
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
	Pools        []int         // beside pool 0, which all workers are in
	PutBack      time.Duration // when it was last put back by hand; 0: never
}

// ListKind says how a Members event is to be read.
type ListKind uint8

// The kinds.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list as last seen, maybe stale
	ListFailed                 // a call failed or the watch broke off; no entries
	ListOwn                    // changed entries that the host has decided on itself: no word of the watch
)

// Request is a request that this dispatcher has taken.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int           // its place in Settings.Tenants; another number is one without a share
	Deadline time.Duration // the clock time at which the client gives up
	Slots    float64
	Memory   float64
	Hint     time.Duration // expected work at speed 1; 0 where unknown
	Retry    bool          // marked as a client's retry
	Pool     int           // only workers of this pool may run it; 0 is all of them
	Ahead    bool          // it goes before all others that wait for room
}

// Status says how an attempt or a probe ended.
type Status uint8

// The statuses. Full, ConnectFailed and Moot prove that the job never ran.
const (
	OK Status = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
	Rejected // the worker cannot use the job, and no other could
)

// Outcome is the end of an attempt.
type Outcome struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Status  Status
	Latency time.Duration // a connection on which nothing came back counts DialTimeout at least
	Closed  bool          // the request has had its final answer
	Stale   bool          // a Reset of a kept connection before any word came: it tells nothing of the worker
	Load    []float32     // a load report, or empty
}

// NoteKind says what a Note tells of a running attempt.
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
	// Refuse answers that the request was turned away and may be tried again.
	Refuse(id RequestID, after time.Duration)
	// Fail answers that the request failed and promises nothing.
	Fail(id RequestID)
	// Cancel calls off an attempt.
	Cancel(id RequestID, attempt int)
	// SetTimer asks for a Timer event after so long, in place of the one asked for before: a host needs
	// one timer, set anew with each call.
	SetTimer(after time.Duration)
	// Probe asks a worker for its load report.
	Probe(worker WorkerID)
	// Tell sends a message to every peer; it may be lost.
	Tell(data []byte)
	// Watch subscribes to changes of the worker list. It brings one Members
	// event, ListFailed if it fails.
	Watch()
}
