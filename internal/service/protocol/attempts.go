package protocol

import (
	"slices"
	"time"
)

// Attempt is what the releasing owner of a queue knows of a message and the stores may not
// have recorded yet: that a sender has it, or the outcome of the attempts so far.
type Attempt struct {
	ID   string
	Left time.Duration // until no sender can have the message any more, at the moment of encoding; 0 if none has it
	// Owner is the process whose attempt it is, if a sender may have the message. It is zero if that is the process
	// that reports the attempt.
	Owner Identity
	Outcome
}

// WithOwner returns attempts that a process has reported, with it as the owner of those that name none and that a
// sender may have.
func WithOwner(attempts []Attempt, reporter Identity) []Attempt {
	owned := slices.Clone(attempts)
	for i := range owned {
		if owned[i].Left > 0 && owned[i].Owner == (Identity{}) {
			owned[i].Owner = reporter
		}
	}
	return owned
}

// Outcome is the result of the attempts to deliver a message.
type Outcome struct {
	End      End // its state is not final if the message is to be delivered again
	Failures int // answers with status 500 so far
}

// ReportOutcomes tells the new owner of a queue how the previous owner's attempts ended.
type ReportOutcomes struct {
	Queue    string
	Outcomes []Outcome
}

// ReportOutcomesReply answers ReportOutcomes.
type ReportOutcomesReply struct {
	Owner bool // it owns the queue under a valid lease and has applied the outcomes
}

// Relinquish is the new owner's request to a previous owner that fell silent: to give up a queue, if it still acts
// for it, and to tell what it knows of its attempts.
type Relinquish struct {
	Queue       string
	Epoch       uint64 // of the new owner
	Incarnation uint64 // of the previous owner's process

	Paged bool   // the caller asks again for the attempts that the reply leaves out
	After string // with Paged: ID of the last message that the caller has been told of
}

// RelinquishReply answers Relinquish.
type RelinquishReply struct {
	Replaced bool      // the previous owner's process has ended, and another one answers
	Attempts []Attempt // that the stores may not know of; no other message is at a sender
	More     bool      // there are attempts after these; they are in the order of their IDs
}

// KeepAttempts asks a store to keep attempts of a queue for the owners that follow: attempts that a release has no room
// for, and outcomes that became known after the queue was released or lost. It is only sent to stores whose renewals
// say that they answer it.
type KeepAttempts struct {
	Queue    string
	Attempts []Attempt
}

// KeepAttemptsReply answers KeepAttempts once all of the attempts are kept.
type KeepAttemptsReply struct{ StoreID string }

// ReadAttempts asks a store for the attempts that previous owners of a queue have left unsettled.
type ReadAttempts struct {
	Queue string
	After uint64 // number of the last attempt that the caller has read
}

// ReadAttemptsReply answers ReadAttempts.
type ReadAttemptsReply struct {
	StoreID  string
	Attempts []Attempt
	More     bool // there are attempts after these
	Next     uint64
}

// MaxEncodedBytes returns an upper bound of the attempt's size in a frame.
func (a *Attempt) MaxEncodedBytes() int {
	return len(a.ID) + len(a.Owner.Node) + len(a.Owner.Role) + len(a.Owner.Zone) + len(a.Owner.Address) + a.Outcome.MaxEncodedBytes()
}

// MaxEncodedBytes returns an upper bound of the outcome's size in a frame.
func (o *Outcome) MaxEncodedBytes() int {
	return maxFixedBytes + len(o.End.ID) + len(o.End.Queue) + len(o.End.Stamp)
}
