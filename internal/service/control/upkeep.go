package control

import (
	"context"
	"encoding/gob"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"yardwharf/internal/service/register"
	"yardwharf/internal/service/transport"
)

// Times and sizes of the upkeep of the register's members.
const (
	membersMost    = 9
	upkeepEvery    = time.Second
	joinEvery      = 300 * time.Millisecond
	behindPause    = 20 * time.Millisecond
	replaceAfter   = 3 * time.Second  // a silent member gives its place to one that joins
	removeAfter    = 20 * time.Second // a silent member is removed from an even number
	joinTimeout    = 2 * time.Second
	unsettledTicks = 2 // rounds of upkeep after which an undecided value is finished
)

// joinRequest asks a member to make the caller one.
type joinRequest struct{ Member register.Member }

// joinReply answers joinRequest.
type joinReply struct{ Joined bool }

func init() {
	gob.Register(joinRequest{})
	gob.Register(joinReply{})
}

// registerJoin makes a server answer those who want to become members.
func (r *replica) registerJoin(server *transport.Server) {
	transport.Handle(server, func(ctx context.Context, _ *transport.Peer, request joinRequest) (joinReply, error) {
		return joinReply{Joined: r.admit(ctx, request.Member)}, nil
	})
}

// admit makes a process a member.
func (r *replica) admit(parent context.Context, member register.Member) bool {
	ctx, cancel := context.WithTimeout(parent, joinTimeout)
	defer cancel()
	replaced := ""
	if known := r.known(); known.Value != nil {
		if silent := r.silent(known.Value, replaceAfter); len(silent) > 0 {
			replaced = silent[0]
		}
	}
	outcome := r.propose(ctx, register.Join(member, replaced, membersMost)).Outcome
	if outcome != register.Taken && outcome != register.Settled {
		return false
	}
	r.log.Info("member admitted", "node", member.Node, "address", member.Address, "disk", member.Disk)
	r.propose(ctx, register.Seal)
	return true
}

// keepUp learns decided values that were missed, and keeps the members in
// order, until the context ends.
func (r *replica) keepUp(ctx context.Context) {
	unsettled := 0
	for ctx.Err() == nil {
		if _, decided := r.survey(ctx); decided {
			unsettled = 0
			r.tend(ctx)
		} else if unsettled++; unsettled >= unsettledTicks {
			unsettled = 0
			r.order(ctx, register.Settle)
		}
		r.rest(ctx)
	}
}

// rest waits for the next round of upkeep, or until a value is missing.
func (r *replica) rest(ctx context.Context) {
	pause := upkeepEvery
	if !r.isMember() {
		pause = joinEvery
	}
	timer := time.NewTimer(pause*3/4 + mathrand.N(pause/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.behind:
		time.Sleep(behindPause)
	case <-ctx.Done():
	}
}

func (r *replica) isMember() bool {
	known, self := r.known(), r.member()
	return known.Value != nil && slices.ContainsFunc(known.Value.Members, func(m register.Member) bool {
		return m.Address == self.Address && m.Disk == self.Disk
	})
}

// order proposes a change within the time of one order.
func (r *replica) order(parent context.Context, change register.Change) register.Result {
	ctx, cancel := context.WithTimeout(parent, orderTimeout)
	defer cancel()
	return r.propose(ctx, change)
}

// tend does what the members need. The first live member acts for all.
func (r *replica) tend(ctx context.Context) {
	value := r.known().Value
	switch {
	case !r.isMember():
		r.join(ctx, value)
	case !r.first(value):
	case len(value.Previous) > 0:
		r.order(ctx, register.Seal)
	case r.unnamed(value):
		r.order(ctx, register.Name(r.namesNow()))
	default:
		if silent := r.silent(value, removeAfter); len(silent) > 0 && len(value.Members)%2 == 0 {
			r.log.Info("member removed", "address", silent[0])
			r.order(ctx, register.Remove(silent[0]))
		}
	}
}

// join asks the members, one after the other, to admit this process.
func (r *replica) join(ctx context.Context, value *register.Value) {
	self := r.member()
	for _, member := range value.Members {
		if member.Address == self.Address {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, joinTimeout)
		reply, err := transport.Call[joinReply](limited, r.peers.client(member.Address), joinRequest{self})
		cancel()
		if err == nil && reply.Joined {
			return
		}
	}
}

// first reports whether all members before this one are silent.
func (r *replica) first(value *register.Value) bool {
	silent := r.silent(value, replaceAfter)
	for _, member := range value.Members {
		if member.Address == r.identity.Address {
			return true
		}
		if !slices.Contains(silent, member.Address) {
			return false
		}
	}
	return false
}

func (r *replica) namesNow() map[string]register.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	names := make(map[string]register.Member, len(r.names))
	for address, member := range r.names {
		names[address] = member
	}
	return names
}

// unnamed reports whether a member lacks its name and this process knows it.
func (r *replica) unnamed(value *register.Value) bool {
	names := r.namesNow()
	return slices.ContainsFunc(value.Members, func(m register.Member) bool {
		return m.Node == "" && names[m.Address].Node != ""
	})
}
