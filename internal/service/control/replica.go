package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/transport"
)

// caller calls other processes by address.
type caller interface {
	call(ctx context.Context, address string, request any) (any, error)
}

// replica runs the register's state machines in this process: the acceptor
// that other members call, and the proposer of changes.
type replica struct {
	identity protocol.Identity
	log      logr.Logger
	peers    caller
	onChange func(*register.Value) // called with each newer decided value
	behind   chan struct{}         // signaled when this process misses a decided value

	acceptorLock chan struct{} // lock of the acceptor, as a channel because it is held while a save waits for the disk
	acceptor     *register.Acceptor

	history *changeHistory // all changes that were taken

	proposerLock chan struct{} // lock of the proposer
	proposer     *register.Proposer

	mutex         sync.Mutex
	seeds         []string           // addresses to ask while no member is known
	decided       register.Versioned // newest value known to be decided; Value is nil if none is
	accepted      register.Versioned // newest value seen while none is known to be decided
	memberDetails map[string]register.Member
	lastResponse  map[string]time.Time // time of the last response, by address
	started       time.Time
}

// newReplica returns a replica that continues from the state on its disk. With an
// empty disk, it starts as a member if the cluster is bootstrapped and the seeds
// list it; otherwise it has to join.
func newReplica(identity protocol.Identity, seeds []string, bootstrap bool, storage register.Storage,
	state register.State, found bool, peers caller, log logr.Logger) (*replica, error) {
	r := &replica{
		identity: identity, seeds: seeds, log: log, peers: peers,
		onChange: func(*register.Value) {}, behind: make(chan struct{}, 1),
		acceptorLock: make(chan struct{}, 1), proposerLock: make(chan struct{}, 1), proposer: register.NewProposer(identity.Address, randomUint64()),
		history: &changeHistory{log: log}, memberDetails: map[string]register.Member{}, lastResponse: map[string]time.Time{}, started: time.Now(),
	}
	initial := register.InitialValue(seeds)
	if !found {
		state = initialState(identity.Address, initial, bootstrap)
		if err := storage.Save(state); err != nil {
			return nil, err
		}
		log.Info("no saved state, starting with an empty disk", "bootstrap", bootstrap, "disk", state.Disk)
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

// initialState returns the initial state for an empty disk.
func initialState(address string, initial *register.Value, bootstrap bool) register.State {
	if bootstrap && initial.AllowsVote(address, register.InitialDisk) {
		return register.State{Disk: register.InitialDisk, Value: initial}
	}
	var identity [12]byte
	_, _ = rand.Read(identity[:])
	return register.State{Disk: hex.EncodeToString(identity[:])}
}

func randomUint64() uint64 {
	var number [8]byte
	_, _ = rand.Read(number[:])
	return binary.BigEndian.Uint64(number[:])
}

// registerHandlers registers the handlers of the register's messages with a server.
func (r *replica) registerHandlers(server *transport.Server) {
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

// lockAcceptor locks the acceptor. The returned function unlocks it.
func (r *replica) lockAcceptor() (release func()) {
	r.acceptorLock <- struct{}{}
	return func() { <-r.acceptorLock }
}

func (r *replica) prepare(request register.Prepare) (register.Promise, error) {
	defer r.lockAcceptor()()
	return r.acceptor.Prepare(request)
}

func (r *replica) accept(request register.Accept) (register.Accepted, error) {
	defer r.lockAcceptor()()
	return r.acceptor.Accept(request)
}

func (r *replica) read(request register.Read) register.ReadReply {
	release := r.lockAcceptor()
	reply := r.acceptor.Read(request)
	release()
	reply.Node, reply.Zone = r.identity.Node, r.identity.Zone
	return reply
}

// learn records that a value is decided. If this member does not have the value,
// the maintenance loop fetches it.
func (r *replica) learn(request register.Learn) register.LearnReply {
	release := r.lockAcceptor()
	state := r.acceptor.State()
	release()
	if state.Value == nil || state.Accepted != request.Ballot {
		if r.known().Ballot.Less(request.Ballot) {
			notify(r.behind)
		}
		return register.LearnReply{Missing: true}
	}
	r.recordDecided(register.Versioned{Ballot: state.Accepted, Value: state.Value})
	return register.LearnReply{}
}

// handleMessage handles a message of the register.
func (r *replica) handleMessage(message any) (any, error) {
	switch request := message.(type) {
	case register.Prepare:
		return r.prepare(request)
	case register.Accept:
		return r.accept(request)
	case register.Read:
		return r.read(request), nil
	case register.Learn:
		return r.learn(request), nil
	case historyRequest:
		return r.history.snapshot(), nil
	default:
		return nil, register.Class.New("unexpected register message type: %T", message)
	}
}

func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// known returns the newest value known to be decided; its Value is nil if there is none.
func (r *replica) known() register.Versioned {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.decided
}

// base returns the value that a proposal is based on, and whether it is decided.
func (r *replica) base() (register.Versioned, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.decided.Value != nil {
		return r.decided, true
	}
	return r.accepted, false
}

// recordDecided records a decided value, unless a newer one is known.
func (r *replica) recordDecided(decided register.Versioned) {
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

// adopt records a decided value and passes it to the acceptor.
func (r *replica) adopt(decided register.Versioned) {
	release := r.lockAcceptor()
	r.acceptor.Adopt(decided)
	release()
	r.recordDecided(decided)
}

// setSeeds replaces the addresses that are asked while no member is known.
func (r *replica) setSeeds(seeds []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seeds = seeds
}

func (r *replica) currentSeeds() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.seeds
}

// recordUndecided records a value that may not be decided. Proposals are based on it while
// no decided value is known.
func (r *replica) recordUndecided(best register.Versioned) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if best.Value != nil && (r.accepted.Value == nil || r.accepted.Ballot.Less(best.Ballot)) {
		r.accepted = best
	}
}

// member returns the register entry of this process.
func (r *replica) member() register.Member {
	release := r.lockAcceptor()
	disk := r.acceptor.State().Disk
	release()
	return register.Member{Node: r.identity.Node, Zone: r.identity.Zone, Address: r.identity.Address, Disk: disk}
}

// resetSilence restarts the silence timers of all members. It is called when
// this process itself was stalled.
func (r *replica) resetSilence() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.started = time.Now()
	clear(r.lastResponse)
}

// silentMembers returns the addresses of the members that have not responded for longer than limit.
func (r *replica) silentMembers(value *register.Value, limit time.Duration) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var addresses []string
	for _, member := range value.Members {
		last := r.started
		if responded, ok := r.lastResponse[member.Address]; ok {
			last = responded
		}
		if member.Address != r.identity.Address && time.Since(last) > limit {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}
