package control

import (
	"context"
	"slices"
	"time"

	"yardwharf/internal/service/register"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/wirename"
)

const (
	membersMost = 9
	joinTimeout = 2 * time.Second
)

// joinRequest asks a member to make the caller one.
type joinRequest struct{ Member register.Member }

// joinReply answers joinRequest.
type joinReply struct{ Joined bool }

func init() {
	wirename.Register("j", joinRequest{}, joinReply{})
}

// registerJoin makes a server answer those who want to become members.
func (r *replica) registerJoin(server *transport.Server) {
	transport.Handle(server, func(ctx context.Context, _ *transport.Peer, request joinRequest) (joinReply, error) {
		return joinReply{Joined: r.admit(ctx, request.Member)}, nil
	})
}

// admit makes a process a member: in the place of an earlier life of it or of a
// member that has been silent for long, by one change, or in addition. One in
// addition raises the majority, so it waits while any member does not answer: the
// loss of that one would not be replaced, but come on top.
func (r *replica) admit(parent context.Context, member register.Member) bool {
	ctx, cancel := context.WithTimeout(parent, joinTimeout)
	defer cancel()
	replaced, most := "", 0
	if known := r.known(); known.Value != nil {
		answered := r.askAll(ctx, known)
		switch silent := r.silent(known.Value, replaceAfter); {
		case len(silent) > 0:
			replaced = silent[0]
		case answered:
			most = membersMost
		}
	}
	outcome := r.propose(ctx, register.Join(member, replaced, most)).Outcome
	if outcome != register.Taken && outcome != register.Settled {
		return false
	}
	r.log.Info("member admitted", "node", member.Node, "address", member.Address, "disk", member.Disk)
	r.propose(ctx, register.Seal)
	return true
}

// askAll asks all members of a value, and reports whether all answer.
func (r *replica) askAll(parent context.Context, known register.Versioned) bool {
	ctx, cancel := context.WithTimeout(parent, surveyTimeout)
	defer cancel()
	round := r.newRound(surveyTimeout)
	defer round.close()
	for waiting := r.ask(round, known, map[string]bool{}); waiting > 0; waiting-- {
		select {
		case answer := <-round.answers:
			if answer.err != nil {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// leave takes this process out of an even number of members as it ends: the
// others then need no vote of its any more. It comes back by joining.
func (r *replica) leave() {
	known := r.known()
	if known.Value == nil || !r.isMember() || !register.MayRemove(known.Value) {
		return
	}
	ctx := context.Background()
	if r.order(ctx, register.Remove(r.identity.Address)).Outcome == register.Taken {
		r.order(ctx, register.Seal)
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
		answer, err := r.peers.call(limited, member.Address, joinRequest{self})
		cancel()
		if reply, whole := answer.(joinReply); err == nil && whole && reply.Joined {
			return
		}
	}
}

// placeFor reports whether a value has a place for one more member: asking again and again for one that is
// not to be had would cost the members a round each time.
func (r *replica) placeFor(value *register.Value) bool {
	self := r.member()
	earlierLife := func(m register.Member) bool { return m.Address == self.Address }
	return len(value.Members) < membersMost || len(r.silent(value, replaceAfter)) > 0 ||
		slices.ContainsFunc(value.Members, earlierLife)
}

// isMember reports whether this process, with its present disk, is a member.
func (r *replica) isMember() bool {
	known, self := r.known(), r.member()
	return known.Value != nil && slices.ContainsFunc(known.Value.Members, func(m register.Member) bool {
		return m.Address == self.Address && m.Disk == self.Disk
	})
}

// memberAddresses returns the addresses of the members, or those of the seeds
// while the members are not known.
func (r *replica) memberAddresses() []string {
	known := r.known()
	if known.Value == nil {
		return r.currentSeeds()
	}
	addresses := make([]string, 0, len(known.Value.Members))
	for _, member := range known.Value.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// namesNow returns what members have told of themselves, by address.
func (r *replica) namesNow() map[string]register.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	names := make(map[string]register.Member, len(r.names))
	for address, member := range r.names {
		names[address] = member
	}
	return names
}
