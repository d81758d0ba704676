package coordination

import (
	"slices"
	"time"
)

const (
	startupDelay         = 100 * time.Millisecond // lets a starting member receive a list from the others first
	takeoverDelay        = 700 * time.Millisecond // after the next confirmation is due
	takeoverDelayPerRank = 600 * time.Millisecond // additional delay for each live member that ranks before this one
)

// listState is what a control member knows about the list of senders.
type listState struct {
	held    bool      // the member has a list
	ownRead bool      // the member has read that list itself
	due     time.Time // when the next confirmation that the list is current is due; zero: never
}

// election decides whether a control member reads the platform's list. It reads
// no clock: time is an argument. The member whose list is the newest continues.
// Another member takes over when that list is no longer confirmed, whether the
// reader is dead, partitioned, or unable to reach the platform.
type election struct {
	self    string
	started time.Time
}

// shouldRead reports whether the member should read now. Order lists all members
// by rank, the same on each member; alive reports whether another member is alive.
func (e *election) shouldRead(now time.Time, order []string, alive func(string) bool, list listState) bool {
	if list.ownRead {
		return true
	}
	rank := e.rank(order, alive)
	if !list.held && rank == 0 {
		return now.Sub(e.started) >= startupDelay
	}
	reference := e.started
	if list.due.After(reference) {
		reference = list.due
	}
	return now.Sub(reference) >= takeoverDelay+time.Duration(rank)*takeoverDelayPerRank
}

// rank returns the number of live members before this one in the order. A
// process that is not in the order ranks last.
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
