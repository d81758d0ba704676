package hollow

import (
	"slices"
	"time"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/view"
)

// configurationChange is one change by the operator and how it spread.
type configurationChange struct {
	began   time.Time
	decided time.Time
	version distribution.Version
	inForce map[*process]time.Time
}

// changeConfiguration has the operator send a new configuration to the first member.
func (f *fleet) changeConfiguration() {
	change := &configurationChange{began: f.now, inForce: map[*process]time.Time{}}
	f.changes = append(f.changes, change)
	revision := f.decided.Value.Revision
	raw := rawConfiguration(revision+1, f.size.Routes())
	first := f.members[0]
	var proposal *register.Proposal
	var out []register.Envelope
	f.charge(first, first.load.work(func() {
		proposal, out = f.proposer.Begin(f.decided, true, register.Replace(revision, revision+1, raw))
	}))
	f.sendRound(change, proposal, out)
}

// sendRound carries the messages of a proposal to the members.
func (f *fleet) sendRound(change *configurationChange, proposal *register.Proposal, out []register.Envelope) {
	first := f.members[0]
	for _, envelope := range out {
		member := f.memberAt(envelope.To)
		arrived := f.rounds.call(&first.load, &member.load, envelope.Message)
		f.after(latency(first.machine, member.machine), func() { f.deliverRound(change, proposal, member, arrived) })
	}
}

// deliverRound hands a message of a proposal to a member, whose answer goes
// back once its disk has synced.
func (f *fleet) deliverRound(change *configurationChange, proposal *register.Proposal, member *controlMember, message any) {
	var reply any
	done := f.charge(member, member.load.work(func() {
		switch request := message.(type) {
		case register.Prepare:
			reply, _ = member.acceptor.Prepare(request)
		case register.Accept:
			reply, _ = member.acceptor.Accept(request)
		}
	}))
	if learn, decided := message.(register.Learn); decided {
		f.learn(member, learn)
		return
	}
	first := f.members[0]
	answer, _ := f.rounds.carry(&member.load, &first.load, reply)
	f.at(done.Add(syncTime+latency(member.machine, first.machine)), func() {
		if _, ended := proposal.Result(); ended {
			return
		}
		var out []register.Envelope
		f.charge(first, first.load.work(func() { out = proposal.Deliver(member.identity.Address, answer) }))
		f.noteDecided(change, proposal)
		f.sendRound(change, proposal, out)
	})
}

func (f *fleet) noteDecided(change *configurationChange, proposal *register.Proposal) {
	result, ended := proposal.Result()
	if !ended || result.Outcome != register.Taken {
		return
	}
	f.decided = result.Decided
	change.decided = f.now
	change.version = configurationVersion(result.Decided.Value)
}

// learn publishes a decided value at a member that has accepted it.
func (f *fleet) learn(member *controlMember, learn register.Learn) {
	if member.acceptor.State().Accepted != learn.Ballot {
		return
	}
	if member.hub.Publish(view.TopicConfiguration, configurationVersion(f.decided.Value), f.configuration()) {
		f.wake(member)
	}
}

// noteInForce notes when an agent's dispatcher works by a configuration, which
// holds the changes before it as well: a busy agent may skip some.
func (f *fleet) noteInForce(p *process, version distribution.Version, at time.Time) {
	for _, change := range f.changes {
		_, noted := change.inForce[p]
		decided := change.version != (distribution.Version{})
		if decided && !noted && !change.version.Newer(version) {
			change.inForce[p] = at
		}
	}
}

// spread tells how the changes of configuration came into force, from the
// operator's order on.
type spread struct {
	Changes  int
	Decided  time.Duration // longest time until a change was decided
	Median   time.Duration // of all changes at all dispatchers that ran all the while
	Last     time.Duration // until the last dispatcher worked by it, in the worst change
	Unserved int           // changes that never came, at dispatchers that ran all the while
}

func (f *fleet) spread() spread {
	result := spread{Changes: len(f.changes)}
	var times []time.Duration
	for _, change := range f.changes {
		result.Decided = max(result.Decided, change.decided.Sub(change.began))
		for _, p := range f.agents {
			if p.down || p.life > 0 {
				continue
			}
			if at, got := change.inForce[p]; got {
				times = append(times, at.Sub(change.began))
			} else {
				result.Unserved++
			}
		}
	}
	slices.Sort(times)
	if len(times) > 0 {
		result.Median, result.Last = times[len(times)/2], times[len(times)-1]
	}
	return result
}
