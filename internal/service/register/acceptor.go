package register

import "github.com/zeebo/errs"

// Class is the class of errors that this package makes.
var Class = errs.Class("register")

// State is what an acceptor must not forget.
type State struct {
	Disk     string
	Promised Ballot
	Accepted Ballot
	Value    *Value // accepted under Accepted; nil on a disk that has seen none
}

// Storage keeps the state of an acceptor. Save returns once a loss of power
// can no longer take the state away.
type Storage interface {
	Save(state State) error
}

// Acceptor is a voting member of the register, or one that is to become one.
type Acceptor struct {
	address string
	state   State
	storage Storage
}

// NewAcceptor returns an acceptor with a state that the storage already has.
func NewAcceptor(address string, state State, storage Storage) *Acceptor {
	return &Acceptor{address: address, state: state, storage: storage}
}

// State returns the present state.
func (a *Acceptor) State() State { return a.state }

// votes reports whether the acceptor may vote on what follows a value. One that
// has lost its disk may not until a change of members has listed the new disk:
// that change needs a majority that does without it.
func (a *Acceptor) votes(value *Value) bool {
	return value != nil && value.Lists(a.address, a.state.Disk)
}

// save makes a state durable before it becomes the present one.
func (a *Acceptor) save(state State) error {
	if err := a.storage.Save(state); err != nil {
		return Class.Wrap(err)
	}
	a.state = state
	return nil
}

// Prepare answers the first round of a proposal.
func (a *Acceptor) Prepare(request Prepare) (Promise, error) {
	reply := Promise{Ballot: request.Ballot, Disk: a.state.Disk}
	switch {
	case !a.votes(a.state.Value):
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
	reply.Value = a.valueAfter(request.Known)
	return reply, nil
}

// Accept answers the second round of a proposal.
func (a *Acceptor) Accept(request Accept) (Accepted, error) {
	reply := Accepted{Ballot: request.Ballot, Disk: a.state.Disk}
	switch {
	case !a.votes(request.Value):
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

// Read answers without a promise.
func (a *Acceptor) Read(request Read) ReadReply {
	reply := ReadReply{
		Disk: a.state.Disk, Voter: a.votes(a.state.Value),
		Promised: a.state.Promised, Accepted: a.state.Accepted,
	}
	if request.Empty {
		reply.Value = a.state.Value
	} else {
		reply.Value = a.valueAfter(request.Known)
	}
	return reply
}

// Adopt takes over a value that is known to be decided. It is no vote: the
// value was decided without it, so it needs no sync of its own.
func (a *Acceptor) Adopt(decided Versioned) {
	if a.state.Value != nil && !a.state.Accepted.Less(decided.Ballot) {
		return
	}
	a.state.Accepted, a.state.Value = decided.Ballot, decided.Value
	if a.state.Promised.Less(decided.Ballot) {
		a.state.Promised = decided.Ballot
	}
}

// valueAfter returns the accepted value unless the caller has it or a later one.
func (a *Acceptor) valueAfter(known Ballot) *Value {
	if !known.Less(a.state.Accepted) {
		return nil
	}
	return a.state.Value
}
