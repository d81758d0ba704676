package register

import "github.com/zeebo/errs"

// Class is the error class of this package.
var Class = errs.Class("register")

// State is the durable state of an acceptor.
type State struct {
	Disk     string
	Promised Ballot
	Accepted Ballot
	Value    *Value // accepted under Accepted; nil on a disk that has accepted none
}

// Storage persists the state of an acceptor. Save returns once the state
// survives a power loss.
type Storage interface {
	Save(state State) error
}

// Acceptor is a voting member of the register, or one that is about to join.
type Acceptor struct {
	address string
	state   State
	storage Storage
}

// NewAcceptor returns an acceptor with a state that is already in the storage.
func NewAcceptor(address string, state State, storage Storage) *Acceptor {
	return &Acceptor{address: address, state: state, storage: storage}
}

// State returns the current state.
func (a *Acceptor) State() State { return a.state }

// mayVote reports whether the acceptor may vote on the successor of a value. One
// that has lost its disk may not vote until a membership change has listed the new
// disk; that change needs a majority without this acceptor's vote.
func (a *Acceptor) mayVote(value *Value) bool {
	return value != nil && value.AllowsVote(a.address, a.state.Disk)
}

// save makes a state durable before it becomes the current one.
func (a *Acceptor) save(state State) error {
	if err := a.storage.Save(state); err != nil {
		return Class.Wrap(err)
	}
	a.state = state
	return nil
}

// Prepare handles the first round of a proposal.
func (a *Acceptor) Prepare(request Prepare) (Promise, error) {
	reply := Promise{Ballot: request.Ballot, Disk: a.state.Disk}
	switch {
	case !a.mayVote(a.state.Value):
		reply.Status = NotMember
	case request.Ballot.Less(a.state.Promised):
		reply.Status = Outbid
	default:
		next := a.state
		next.Promised = request.Ballot
		if err := a.save(next); err != nil {
			return Promise{}, err
		}
		reply.Status = Granted
	}
	reply.Promised, reply.Accepted = a.state.Promised, a.state.Accepted
	reply.Value = a.valueNewerThan(request.Known)
	return reply, nil
}

// Accept handles the second round of a proposal.
func (a *Acceptor) Accept(request Accept) (Accepted, error) {
	reply := Accepted{Ballot: request.Ballot, Disk: a.state.Disk}
	switch {
	case !a.mayVote(request.Value):
		reply.Status = NotMember
	case request.Ballot.Less(a.state.Promised):
		reply.Status = Outbid
	default:
		next := State{Disk: a.state.Disk, Promised: request.Ballot, Accepted: request.Ballot, Value: request.Value}
		if err := a.save(next); err != nil {
			return Accepted{}, err
		}
		reply.Status = Granted
	}
	reply.Promised = a.state.Promised
	return reply, nil
}

// Read returns the accepted value without making a promise.
func (a *Acceptor) Read(request Read) ReadReply {
	reply := ReadReply{
		Disk: a.state.Disk, Voter: a.mayVote(a.state.Value),
		Promised: a.state.Promised, Accepted: a.state.Accepted,
	}
	if request.Empty {
		reply.Value = a.state.Value
	} else {
		reply.Value = a.valueNewerThan(request.Known)
	}
	return reply
}

// Adopt takes over a value that is known to be decided. This is not a vote: the
// value was decided without it, so the state need not be synced.
func (a *Acceptor) Adopt(decided Versioned) {
	if a.state.Value != nil && !a.state.Accepted.Less(decided.Ballot) {
		return
	}
	a.state.Accepted, a.state.Value = decided.Ballot, decided.Value
	if a.state.Promised.Less(decided.Ballot) {
		a.state.Promised = decided.Ballot
	}
}

// valueNewerThan returns the accepted value unless the caller has it or a newer one.
func (a *Acceptor) valueNewerThan(known Ballot) *Value {
	if !known.Less(a.state.Accepted) {
		return nil
	}
	return a.state.Value
}
