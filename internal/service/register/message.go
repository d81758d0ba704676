package register

import "yardwharf/internal/service/wirename"

// Prepare asks a member to promise that it accepts nothing under a lower ballot.
type Prepare struct {
	Ballot Ballot
	Known  Ballot // the caller has the value accepted under this ballot
}

// Status is the result of a member's vote.
type Status uint8

// The results of a member's vote.
const (
	Granted   Status = 1 + iota
	Outbid           // it has promised a higher ballot
	NotMember        // it may not vote: the value does not list its disk
)

// Promise answers Prepare.
type Promise struct {
	Ballot   Ballot // of the Prepare
	Status   Status
	Disk     string
	Promised Ballot
	Accepted Ballot
	Value    *Value // accepted under Accepted; nil if the caller has it
}

// Accept asks a member to accept a value.
type Accept struct {
	Ballot Ballot
	Value  *Value
}

// Accepted answers Accept.
type Accepted struct {
	Ballot   Ballot // of the Accept
	Status   Status
	Disk     string
	Promised Ballot
}

// Read asks a member for its accepted value without a promise.
type Read struct {
	Known Ballot // the caller has the value accepted under this ballot
	Empty bool   // the caller has no value at all
}

// ReadReply answers Read. Value is nil if the member has none.
type ReadReply struct {
	Node     string
	Zone     string
	Disk     string
	Voter    bool // its value lists its disk
	Promised Ballot
	Accepted Ballot
	Value    *Value // also nil if the caller has it
}

// Learn tells a member that the value proposed under a ballot is decided.
type Learn struct{ Ballot Ballot }

// LearnReply answers Learn.
type LearnReply struct{ Missing bool } // the member does not have that value

func init() {
	wirename.Register("r", Prepare{}, Promise{}, Accept{}, Accepted{}, Read{}, ReadReply{}, Learn{}, LearnReply{})
}
