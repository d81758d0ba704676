// Package waiting holds jobs that wait for other jobs or for a time, orders the ready
// ones and decides when to release one. It does no I/O; times are arguments.
//
// A job waits until all its parents have ended in the way that it requires and its
// not_before time has passed. It is then ready, and is released when the fleet has room
// for it or, by ageing, when it has been ready for too long. Each job gets exactly one
// final state, with the reason.
package waiting

import (
	"strconv"
	"time"
)

// ID identifies a job. IDs increase with each submitted job and are never reused.
type ID uint64

// String returns the form that clients see, such as j17.
func (id ID) String() string { return "j" + strconv.FormatUint(uint64(id), 10) }

// ParseID parses the form that String returns; 0 if it is invalid.
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

// State is the state of a job.
type State uint8

// The states; those from Done on are final.
const (
	Waiting   State = iota // for a parent or a time, or held
	Ready                  // can be released
	Running                // released
	Done                   // completed
	Failed                 // it failed and may have run, or a parent did not end in Done
	Refused                // turned away more often than the limit allows; it has not run
	Cancelled              // by a client
	Expired                // not released before its not_after time
)

var stateNames = [...]string{"waiting", "ready", "running", "done", "failed", "refused", "cancelled", "expired"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// ParseState parses the name that String returns.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return 0, false
}

// Final reports whether the state is final.
func (s State) Final() bool { return s >= Done }

// Edge is a dependency on a parent job.
type Edge struct {
	Job ID
	Any bool // any final state of the parent will do; otherwise it must be Done

	parentEnded bool // the parent had ended when the edge was added, so no notification follows
}

// Spec describes a job to submit.
type Spec struct {
	Key       string // the client's idempotency key; may be empty
	Digest    uint64 // of the submitted content; distinguishes a resubmission from another job with the same key
	Class     int
	After     []SpecEdge
	Before    []SpecEdge    // existing jobs that must wait for this one too
	NotBefore time.Duration // Unix time; 0 means immediately
	NotAfter  time.Duration // Unix time at which it expires unless released; 0 means never
	Held      bool          // waits until the hold is lifted
	Size      int           // bytes charged against Limits.Bytes
	Payload   any           // opaque to this package
}

// SpecEdge is an edge to an existing job or, if Job is 0, to the job at position Ref of
// the same batch, counted from 1.
type SpecEdge struct {
	Edge
	Ref int
}

// Job is a job held by a Core, which owns it; callers must not modify it.
type Job struct {
	ID     ID
	Spec   Spec // After and Before are cleared, and Payload too once the job has ended
	State  State
	Reason string // reason for its final state, or for being ready again
	Cause  ID     // the parent whose end caused this job's; 0 if none
	Tries  int    // number of releases so far
	Result []byte // set when Done

	Submitted, ReadyAt, Released, Ended time.Duration // monotonic

	after            []Edge // edges to its parents
	children         []ID   // jobs that have an edge to this one
	childrenNotified int32  // how many of children, once it has ended
	openEdges        int32  // edges whose parent has not ended
	depth            int32
	releasedOverdue  bool // the last release was as overdue
	topoOrder        int64
	virtualDeadline  time.Duration // when it becomes overdue, while it is ready
	heapIndex        [3]int32      // its positions in the heaps, counted from 1; 0: not in the heap
	prevEnded        *Job          // the list of ended jobs, oldest first
	nextEnded        *Job
}

// After returns the edges to its parents.
func (j *Job) After() []Edge { return j.after }

// Children returns the jobs that depend on it.
func (j *Job) Children() []ID { return j.children }
