package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/transport"
)

// Times of the register's rounds.
const (
	orderTimeout   = 700 * time.Millisecond // for one order, all its attempts together
	attemptTimeout = 350 * time.Millisecond
	surveyTimeout  = 300 * time.Millisecond
	learnTimeout   = time.Second
	backoffBase    = 25 * time.Millisecond
	backoffMost    = 200 * time.Millisecond
)

// caller calls other control processes by their addresses.
type caller interface {
	call(ctx context.Context, address string, request any) (any, error)
}

// replica runs the register's state machines of this process: it is the
// acceptor that others call, and it proposes changes.
type replica struct {
	identity protocol.Identity
	seeds    []string
	log      logr.Logger
	peers    caller
	onChange func(*register.Value) // called with each newer decided value
	behind   chan struct{}         // receives when a decided value is known to be missing

	acceptorMutex sync.Mutex
	acceptor      *register.Acceptor

	turn     chan struct{} // held by the order that is proposing
	proposer *register.Proposer

	mutex    sync.Mutex
	decided  register.Versioned // newest value known to be decided; no value before the first
	accepted register.Versioned // newest value found while none is known to be decided
	names    map[string]register.Member
	heard    map[string]time.Time // last answer, by address
	started  time.Time
}

// newReplica returns a replica that goes on from the state on its disk. An
// empty disk makes it a member at the very first start, where the seeds name
// it, and else a process that is to join.
func newReplica(identity protocol.Identity, seeds []string, bootstrap bool, storage register.Storage,
	state register.State, found bool, peers caller, log logr.Logger) (*replica, error) {
	r := &replica{
		identity: identity, seeds: seeds, log: log, peers: peers,
		onChange: func(*register.Value) {}, behind: make(chan struct{}, 1),
		turn: make(chan struct{}, 1), proposer: register.NewProposer(identity.Address, randomNumber()),
		names: map[string]register.Member{}, heard: map[string]time.Time{}, started: time.Now(),
	}
	initial := register.InitialValue(seeds)
	if !found {
		state = firstState(identity.Address, initial, bootstrap)
		if err := storage.Save(state); err != nil {
			return nil, err
		}
		log.Info("disk is empty", "bootstrap", bootstrap, "disk", state.Disk)
	}
	r.acceptor = register.NewAcceptor(identity.Address, state, storage)
	switch {
	case !found && bootstrap:
		r.decided = register.Versioned{Value: initial}
	case state.Value != nil && state.Accepted == (register.Ballot{}):
		r.decided = register.Versioned{Value: state.Value}
	default:
		r.accepted = register.Versioned{Ballot: state.Accepted, Value: state.Value}
	}
	return r, nil
}

// firstState is the state of an empty disk.
func firstState(address string, initial *register.Value, bootstrap bool) register.State {
	if bootstrap && initial.Lists(address, register.FirstDisk) {
		return register.State{Disk: register.FirstDisk, Value: initial}
	}
	var identity [12]byte
	_, _ = rand.Read(identity[:])
	return register.State{Disk: hex.EncodeToString(identity[:])}
}

func randomNumber() uint64 {
	var number [8]byte
	_, _ = rand.Read(number[:])
	return binary.BigEndian.Uint64(number[:])
}

// register makes a server answer the rounds of the register.
func (r *replica) register(server *transport.Server) {
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request register.Prepare) (register.Promise, error) {
		return r.prepare(request)
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request register.Accept) (register.Accepted, error) {
		return r.accept(request)
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request register.Read) (register.ReadReply, error) {
		return r.read(request), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request register.Learn) (register.LearnReply, error) {
		return r.learn(request), nil
	})
}

func (r *replica) prepare(request register.Prepare) (register.Promise, error) {
	r.acceptorMutex.Lock()
	defer r.acceptorMutex.Unlock()
	return r.acceptor.Prepare(request)
}

func (r *replica) accept(request register.Accept) (register.Accepted, error) {
	r.acceptorMutex.Lock()
	defer r.acceptorMutex.Unlock()
	return r.acceptor.Accept(request)
}

func (r *replica) read(request register.Read) register.ReadReply {
	r.acceptorMutex.Lock()
	reply := r.acceptor.Read(request)
	r.acceptorMutex.Unlock()
	reply.Node, reply.Zone = r.identity.Node, r.identity.Zone
	return reply
}

// learn takes note that a value is decided. One that this member missed is
// fetched by the catch-up loop.
func (r *replica) learn(request register.Learn) register.LearnReply {
	r.acceptorMutex.Lock()
	state := r.acceptor.State()
	r.acceptorMutex.Unlock()
	if state.Value == nil || state.Accepted != request.Ballot {
		if r.known().Ballot.Less(request.Ballot) {
			signal(r.behind)
		}
		return register.LearnReply{Missing: true}
	}
	r.note(register.Versioned{Ballot: state.Accepted, Value: state.Value})
	return register.LearnReply{}
}

func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// known returns the newest value known to be decided; it may have no value.
func (r *replica) known() register.Versioned {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.decided
}

// base returns the value to start a proposal from, and whether it is decided.
func (r *replica) base() (register.Versioned, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.decided.Value != nil {
		return r.decided, true
	}
	return r.accepted, false
}

// note takes over a decided value.
func (r *replica) note(decided register.Versioned) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.decided.Value != nil && !r.decided.Ballot.Less(decided.Ballot) {
		return
	}
	newer := r.decided.Value == nil || r.decided.Value.Sequence < decided.Value.Sequence
	r.decided = decided
	if newer {
		r.onChange(decided.Value)
	}
}

// adopt notes a decided value and gives the acceptor a copy.
func (r *replica) adopt(decided register.Versioned) {
	r.acceptorMutex.Lock()
	r.acceptor.Adopt(decided)
	r.acceptorMutex.Unlock()
	r.note(decided)
}

// delivery is the answer of a member, or its failure.
type delivery struct {
	from    string
	message any
	err     error
}

// round is one exchange with several members.
type round struct {
	replica *replica
	limit   time.Duration // for each message
	answers chan delivery
	done    chan struct{} // closed when answers are no longer read
}

func (r *replica) newRound(limit time.Duration) *round {
	return &round{replica: r, limit: limit, answers: make(chan delivery), done: make(chan struct{})}
}

func (r *round) close() { close(r.done) }

// send sends one message and hands its answer over. It goes on when the round
// has ended, so that the slower members get their messages as well.
func (r *round) send(envelope register.Envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), r.limit)
	defer cancel()
	message, err := r.replica.call(ctx, envelope)
	if err == nil {
		r.replica.heardFrom(envelope.To, message)
	}
	select {
	case r.answers <- delivery{envelope.To, message, err}:
	case <-r.done:
	}
}

// sendAll sends messages side by side.
func (r *round) sendAll(out []register.Envelope) {
	for _, envelope := range out {
		go r.send(envelope)
	}
}

// heardFrom remembers that a member has answered, and what it told of itself.
func (r *replica) heardFrom(address string, message any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.heard[address] = time.Now()
	if reply, told := message.(register.ReadReply); told {
		r.names[address] = register.Member{Node: reply.Node, Zone: reply.Zone, Address: address, Disk: reply.Disk}
	}
}

func (r *replica) call(ctx context.Context, envelope register.Envelope) (any, error) {
	if envelope.To == r.identity.Address {
		return r.callSelf(envelope.Message)
	}
	return r.peers.call(ctx, envelope.To, envelope.Message)
}

func (r *replica) callSelf(message any) (any, error) {
	switch request := message.(type) {
	case register.Prepare:
		return r.prepare(request)
	case register.Accept:
		return r.accept(request)
	case register.Read:
		return r.read(request), nil
	case register.Learn:
		return r.learn(request), nil
	default:
		return nil, register.Class.New("no message of the register: %T", message)
	}
}

// propose carries a change through, with further attempts while the context
// lasts. Changes of one process wait for each other.
func (r *replica) propose(ctx context.Context, change register.Change) register.Result {
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-ctx.Done():
		return register.Result{}
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		result := r.attempt(ctx, change)
		if result.Outcome != register.Undecided {
			r.adopt(result.Decided)
			return result
		}
		r.pause(ctx, attempt)
	}
	return register.Result{}
}

// order proposes a change within the time of one order.
func (r *replica) order(parent context.Context, change register.Change) register.Result {
	ctx, cancel := context.WithTimeout(parent, orderTimeout)
	defer cancel()
	return r.propose(ctx, change)
}

// pause waits a random time that grows with the attempts.
func (r *replica) pause(ctx context.Context, attempt int) {
	most := min(backoffBase<<min(attempt, 8), backoffMost)
	timer := time.NewTimer(time.Millisecond + mathrand.N(most))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// attempt runs one proposal.
func (r *replica) attempt(parent context.Context, change register.Change) register.Result {
	base, decided := r.base()
	if base.Value == nil {
		r.survey(parent)
		if base, decided = r.base(); base.Value == nil {
			return register.Result{}
		}
	}
	ctx, cancel := context.WithTimeout(parent, attemptTimeout)
	defer cancel()
	round := r.newRound(attemptTimeout)
	defer round.close()
	proposal, out := r.proposer.Begin(base, decided, change)
	for {
		round.sendAll(out)
		if result, ended := proposal.Result(); ended {
			return result
		}
		select {
		case answer := <-round.answers:
			if answer.err != nil {
				out = proposal.Fail(answer.from)
			} else {
				out = proposal.Deliver(answer.from, answer.message)
			}
		case <-ctx.Done():
			return register.Result{}
		}
	}
}

// survey reads from all voters without a write. It returns early once the
// newest decided value is known, and reports whether it is.
func (r *replica) survey(parent context.Context) (register.Versioned, bool) {
	ctx, cancel := context.WithTimeout(parent, surveyTimeout)
	defer cancel()
	round := r.newRound(surveyTimeout)
	defer round.close()
	base, _ := r.base()
	survey := register.NewSurvey(base)
	asked := map[string]bool{}
	waiting := r.ask(round, survey.Best(), asked)
	for waiting > 0 {
		select {
		case answer := <-round.answers:
			waiting--
			reply, whole := answer.message.(register.ReadReply)
			if answer.err == nil && whole && survey.Deliver(answer.from, reply) {
				waiting += r.ask(round, survey.Best(), asked)
			}
		case <-ctx.Done():
			waiting = 0
		}
		if decided, known := survey.Decided(); known {
			r.adopt(decided)
			return decided, true
		}
	}
	r.found(survey.Best())
	return survey.Best(), false
}

// ask sends Read to the voters of a value, or to the seeds where there is none
// yet, and returns to how many that it had not been sent to before.
func (r *replica) ask(round *round, best register.Versioned, asked map[string]bool) int {
	addresses := r.seeds
	if best.Value != nil {
		addresses = best.Value.Voters()
	}
	var out []register.Envelope
	for _, address := range addresses {
		if !asked[address] {
			asked[address] = true
			read := register.Read{Known: best.Ballot, Empty: best.Value == nil}
			out = append(out, register.Envelope{To: address, Message: read})
		}
	}
	round.sendAll(out)
	return len(out)
}

// found remembers a value that may not be decided, to start from while no
// decided one is known.
func (r *replica) found(best register.Versioned) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if best.Value != nil && (r.accepted.Value == nil || r.accepted.Ballot.Less(best.Ballot)) {
		r.accepted = best
	}
}

// newest returns the newest decided value by a read of a majority, which
// finishes what is undecided.
func (r *replica) newest(ctx context.Context) (*register.Value, bool) {
	if decided, known := r.survey(ctx); known {
		return decided.Value, true
	}
	result := r.propose(ctx, register.Settle)
	return result.Decided.Value, result.Outcome != register.Undecided
}

// member returns this process as a member.
func (r *replica) member() register.Member {
	r.acceptorMutex.Lock()
	disk := r.acceptor.State().Disk
	r.acceptorMutex.Unlock()
	return register.Member{Node: r.identity.Node, Zone: r.identity.Zone, Address: r.identity.Address, Disk: disk}
}

// forgiveSilence starts to count anew how long others have been silent. It is
// called when this process itself has stood still.
func (r *replica) forgiveSilence() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.started = time.Now()
	clear(r.heard)
}

// silent returns the members of a value that have not answered for a time.
func (r *replica) silent(value *register.Value, limit time.Duration) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var addresses []string
	for _, member := range value.Members {
		last := r.started
		if heard, ever := r.heard[member.Address]; ever {
			last = heard
		}
		if member.Address != r.identity.Address && time.Since(last) > limit {
			addresses = append(addresses, member.Address)
		}
	}
	return slices.Clip(addresses)
}
