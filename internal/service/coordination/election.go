package coordination

import (
	"slices"
	"time"
)

const (
	startupPause  = 100 * time.Millisecond // in which a member that starts hears from the others first
	takeoverAfter = 700 * time.Millisecond // after the next confirmation was due
	takeoverStep  = 600 * time.Millisecond // more for each live member that is before in the order
)

// listState is what a control member knows of the list of senders.
type listState struct {
	held bool      // it has a list
	mine bool      // it has read that list itself
	due  time.Time // of the next confirmation that the list is current; zero: never
}

// election decides whether a control member reads the platform's list. It is
// pure: time is an argument. The one whose list is the newest goes on; another
// takes over when that list is no longer confirmed, whatever the cause: the
// reader is dead, cut off, or cannot reach the platform.
type election struct {
	self    string
	started time.Time
}

// reads reports whether the member should read now. Order holds all members
// in the agreed order; alive tells of the others.
func (e *election) reads(now time.Time, order []string, alive func(string) bool, list listState) bool {
	if list.mine {
		return true
	}
	rank := e.rank(order, alive)
	if !list.held && rank == 0 {
		return now.Sub(e.started) >= startupPause
	}
	reference := e.started
	if list.due.After(reference) {
		reference = list.due
	}
	return now.Sub(reference) >= takeoverAfter+time.Duration(rank)*takeoverStep
}

// rank returns how many live members are before this one in the order. One
// that is not a member comes last.
func (e *election) rank(order []string, alive func(string) bool) int {
	before := order
	if position := slices.Index(order, e.self); position >= 0 {
		before = order[:position]
	}
	rank := 0
	for _, member := range before {
		if alive(member) {
			rank++
		}
	}
	return rank
}
