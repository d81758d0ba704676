// Package waiting holds jobs that wait for others or for a time, orders those that
// are ready and says when one may be released. It does no I/O; times are arguments.
//
// A job waits until every job that it comes after has ended as it asks for, and
// until its time has come. It is then ready, and released when the fleet has room
// for it or, by ageing, when it has been ready for too long. Each job gets exactly
// one final state, with the reason.
package waiting

import (
	"strconv"
	"time"
)

// ID names a job. IDs rise with each submission and are never used again.
type ID uint64

// String is how clients see an ID.
func (id ID) String() string { return "j" + strconv.FormatUint(uint64(id), 10) }

// ParseID reads what String writes; 0 where it is none.
func ParseID(s string) ID {
	if len(s) < 2 || s[0] != 'j' || s[1] == '0' {
		return 0
	}
	n, err := strconv.ParseUint(s[1:], 10, 63)
	if err != nil {
		return 0
	}
	return ID(n)
}

// State is where a job stands.
type State uint8

// The states; those from Done on are final.
const (
	Waiting   State = iota // for jobs or a time, or held
	Ready                  // to be released
	Running                // released
	Done                   // served
	Failed                 // it, or a job that it came after; it may have run
	Refused                // turned away more often than it may be; it has not run
	Cancelled              // by a client
	Expired                // its time was over before it was released
)

var stateNames = [...]string{"waiting", "ready", "running", "done", "failed", "refused", "cancelled", "expired"}

// String is the state's name.
func (s State) String() string { return stateNames[s] }

// ParseState reads what String writes.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return 0, false
}

// Final says whether a job in this state stays in it.
func (s State) Final() bool { return s >= Done }

// Edge says which job comes before.
type Edge struct {
	Job ID
	Any bool // any end of it will do; else it must be Done

	ended bool // it had ended when this edge was drawn: nobody will tell of it
}

// Spec is a job as it is submitted. A Ref names one of the same batch by its place,
// counted from 1; it counts where the ID beside it is 0.
type Spec struct {
	Key       string // the client's own name for it; empty where it has none
	Digest    uint64 // of what is submitted: tells a repeat from another job under its key
	Class     int
	After     []SpecEdge
	Before    []SpecEdge    // jobs that wait, which are to come after this one as well
	NotBefore time.Duration // Unix time; 0: at once
	NotAfter  time.Duration // Unix time at which it expires unless released; 0: never
	Held      bool          // it waits until it is let go by hand
	Size      int           // bytes that are kept for it
	Load      any           // the caller's own
}

// SpecEdge is an edge to a job that there is, or to one of the same batch.
type SpecEdge struct {
	Edge
	Ref int
}

// Job is a job that is known. It belongs to the Core; callers read it.
type Job struct {
	ID     ID
	Spec   Spec // without After, Before and, once it has ended, Load
	State  State
	Why    string // why it is in its final state, or waits again
	Cause  ID     // the job that its end comes from; 0 where it is its own
	Tries  int    // releases so far
	Result []byte // of one that is Done

	Submitted, ReadyAt, Released, Ended time.Duration // monotonic

	after    []Edge // those that it comes after
	children []ID   // those that come after it
	told     int32  // of them, once it has ended
	open     int32  // edges that are not satisfied
	depth    int32
	ahead    bool // it was released as overdue
	order    int64
	due      time.Duration // its virtual deadline while it is ready
	at       [3]int32      // its places in the heaps, counted from 1
	prev     *Job          // among those that have ended, the oldest first
	next     *Job
}

// After lists the jobs that it comes after.
func (j *Job) After() []Edge { return j.after }

// Children lists the jobs that come after it.
func (j *Job) Children() []ID { return j.children }
