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
	maxRegisterMembers = 9
	joinTimeout        = 2 * time.Second
)

// joinRequest asks a member to admit the caller as a member.
type joinRequest struct{ Member register.Member }

// joinReply answers joinRequest.
type joinReply struct{ Joined bool }

func init() {
	wirename.Register("j", joinRequest{}, joinReply{})
}

// registerJoin registers the handler of joinRequest with a server.
func (r *replica) registerJoin(server *transport.Server) {
	transport.Handle(server, func(ctx context.Context, _ *transport.Peer, request joinRequest) (joinReply, error) {
		return joinReply{Joined: r.admit(ctx, request.Member)}, nil
	})
}

// admit makes a process a member. It replaces its own previous incarnation or a
// member that has been silent for silenceLimit, in one change, or is added. Adding a
// member raises the majority, so it is only done while all members respond: otherwise
// the unresponsive member would stay, and its loss would add to the next one.
func (r *replica) admit(parent context.Context, member register.Member) bool {
	ctx, cancel := context.WithTimeout(parent, joinTimeout)
	defer cancel()
	replaced, maxMembers := "", 0
	if known := r.known(); known.Value != nil {
		allRespond := r.allMembersRespond(ctx, known)
		switch silent := r.silentMembers(known.Value, silenceLimit); {
		case len(silent) > 0:
			replaced = silent[0]
		case allRespond:
			maxMembers = maxRegisterMembers
		}
	}
	outcome := r.propose(ctx, register.AddMember(member, replaced, maxMembers)).Outcome
	if outcome != register.Taken && outcome != register.Settled {
		return false
	}
	r.log.Info("member admitted", "node", member.Node, "address", member.Address, "disk", member.Disk)
	r.propose(ctx, register.ClearPrevious)
	return true
}

// allMembersRespond reads from all members of a value, and reports whether all respond.
func (r *replica) allMembersRespond(parent context.Context, known register.Versioned) bool {
	ctx, cancel := context.WithTimeout(parent, surveyTimeout)
	defer cancel()
	round := r.newRound(surveyTimeout)
	defer round.close()
	for waiting := r.sendReads(round, known, map[string]bool{}); waiting > 0; waiting-- {
		select {
		case response := <-round.responses:
			if response.err != nil {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// leave removes this process from an even number of members when it shuts down, so
// that the others no longer need its vote. After a restart it joins again.
func (r *replica) leave() {
	known := r.known()
	if known.Value == nil || !r.isMember() || !register.MayRemoveMember(known.Value) {
		return
	}
	ctx := context.Background()
	if r.proposeWithTimeout(ctx, register.RemoveMember(r.identity.Address)).Outcome == register.Taken {
		r.proposeWithTimeout(ctx, register.ClearPrevious)
	}
}

// requestJoin asks the members in turn to admit this process, until one does.
func (r *replica) requestJoin(ctx context.Context, value *register.Value) {
	self := r.member()
	for _, member := range value.Members {
		if member.Address == self.Address {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		response, err := r.peers.call(callCtx, member.Address, joinRequest{self})
		cancel()
		if reply, ok := response.(joinReply); err == nil && ok && reply.Joined {
			return
		}
	}
}

// hasRoomFor reports whether a value has room for this process as a member. Without
// the check, each futile join request would cost the members a round.
func (r *replica) hasRoomFor(value *register.Value) bool {
	self := r.member()
	earlierLife := func(m register.Member) bool { return m.Address == self.Address }
	return len(value.Members) < maxRegisterMembers || len(r.silentMembers(value, silenceLimit)) > 0 ||
		slices.ContainsFunc(value.Members, earlierLife)
}

// isMember reports whether this process is a member with its current disk.
func (r *replica) isMember() bool {
	known, self := r.known(), r.member()
	return known.Value != nil && slices.ContainsFunc(known.Value.Members, func(m register.Member) bool {
		return m.Address == self.Address && m.Disk == self.Disk
	})
}

// memberAddresses returns the addresses of the members, or the seeds while the
// members are not known.
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

// copyMemberDetails returns a copy of the details that members reported about themselves, by address.
func (r *replica) copyMemberDetails() map[string]register.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	names := make(map[string]register.Member, len(r.memberDetails))
	for address, member := range r.memberDetails {
		names[address] = member
	}
	return names
}
