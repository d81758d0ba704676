package hollow

import (
	"context"
	"slices"
	"time"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/view"
)

// The pace of long polls, as packages agent, coordination and distribution have it.
const (
	controlWait    = 800 * time.Millisecond
	spareWait      = 4 * time.Second
	peerWait       = 400 * time.Millisecond
	fruitlessPause = 100 * time.Millisecond
	confirmEvery   = 500 * time.Millisecond // the reader's pace
)

// poll is one long poll.
type poll struct {
	by      *process
	life    int
	slot    int
	at      *controlMember
	request distribution.Pull
	arrived time.Time
	open    bool // it waits for an answer
}

func waitOf(p *process, slot int) time.Duration {
	switch {
	case p.member != nil:
		return peerWait
	case slot > 0:
		return spareWait
	default:
		return controlWait
	}
}

// startPoll sends a long poll to a control member.
func (f *fleet) startPoll(p *process, life, slot int, at *controlMember) {
	if p.down || p.life != life {
		return
	}
	request := distribution.Pull{Vector: p.vector, Wait: waitOf(p, slot)}
	if p.member == nil {
		request.Topics = agentTopics
	} else {
		p.load.work(func() { request.Vector = p.member.hub.Vector(nil) })
	}
	whole := request.Vector
	request.Shorten(p.told[at])
	arrived := f.polls.call(&p.load, &at.load, request).(distribution.Pull)
	arrived.Vector, arrived.Base = whole, 0 // as the member completes it
	next := &poll{by: p, life: life, slot: slot, at: at, request: arrived}
	f.after(latency(p.machine, at.machine), func() { f.arrive(next) })
}

// arrive is the arrival of a long poll: it is answered, or it waits.
func (f *fleet) arrive(p *poll) {
	p.arrived, p.open = f.now, true
	reply, spent := f.pull(p)
	if len(reply.Updates) > 0 {
		f.answer(p, reply, spent)
		return
	}
	f.charge(p.at, spent)
	p.at.waiting = append(p.at.waiting, p)
	f.after(p.request.Wait, func() { f.expire(p) })
}

// pull has a member's hub look for what is newer.
func (f *fleet) pull(p *poll) (reply distribution.PullReply, spent time.Duration) {
	request := p.request
	request.Wait = 0
	spent = p.at.load.work(func() { reply, _ = p.at.hub.Pull(context.Background(), request) })
	return reply, spent
}

// expire answers a long poll whose time is over.
func (f *fleet) expire(p *poll) {
	if !p.open {
		return
	}
	p.at.waiting = slices.DeleteFunc(p.at.waiting, func(other *poll) bool { return other == p })
	reply, spent := f.pull(p)
	f.answer(p, reply, spent)
}

// wake answers the long polls that wait at a member for what is new there.
func (f *fleet) wake(member *controlMember) {
	waiting := member.waiting
	member.waiting = nil
	for _, p := range waiting {
		reply, spent := f.pull(p)
		if len(reply.Updates) == 0 {
			f.charge(member, spent)
			member.waiting = append(member.waiting, p)
			continue
		}
		f.answer(p, reply, spent)
	}
}

// answer sends the reply to a long poll once the member's processor is free.
func (f *fleet) answer(p *poll, reply distribution.PullReply, spent time.Duration) {
	p.open = false
	reply.Held = f.now.Sub(p.arrived)
	before := p.at.load.Processor
	arrived, size := f.polls.carry(&p.at.load, &p.by.load, reply)
	if size > transport.MaxFrame {
		f.refusedLists++
	}
	sent := f.charge(p.at, spent+p.at.load.Processor-before)
	f.at(sent.Add(latency(p.at.machine, p.by.machine)), func() { f.receive(p, arrived.(distribution.PullReply)) })
}

// receive takes a reply in and begins the next long poll.
func (f *fleet) receive(p *poll, reply distribution.PullReply) {
	if p.by.down || p.by.life != p.life {
		return
	}
	p.by.noteTold(p.at, p.request.Vector)
	taken := 0
	for _, update := range reply.Updates {
		if f.take(p.by, update) {
			taken++
		}
	}
	if taken == 0 && reply.Held < waitOf(p.by, p.slot)/2 {
		f.after(fruitlessPause, func() { f.startPoll(p.by, p.life, p.slot, p.at) })
		return
	}
	f.at(later(f.now, p.by.ownUntil), func() { f.startPoll(p.by, p.life, p.slot, p.at) })
}

// noteTold notes the vector that a member has answered.
func (p *process) noteTold(at *controlMember, vector map[string]distribution.Version) {
	if p.told == nil {
		p.told = map[*controlMember]map[string]distribution.Version{}
	}
	p.told[at] = vector
}

// take takes one update in and reports whether it was new.
func (f *fleet) take(p *process, update distribution.Update) bool {
	if p.member != nil {
		return f.takeAtMember(p, update)
	}
	held := p.vector[update.Topic]
	if !update.Version.Newer(held) || update.Base != (distribution.Version{}) && update.Base != held {
		return false
	}
	p.vector = withVersion(p.vector, update.Topic, update.Version)
	switch update.Topic {
	case view.TopicConfiguration:
		f.noteInForce(p, update.Version, p.occupy(f.now, f.machine.Configuration))
	case view.TopicSenders:
		p.occupy(f.now, f.machine.List)
	default:
		p.occupy(f.now, f.machine.Members)
	}
	return true
}

// occupy takes the only processor of an agent's machine for a change, and
// returns when the dispatcher has taken the change in.
func (p *process) occupy(now time.Time, change cost) time.Time {
	p.ownUntil = later(now, p.ownUntil).Add(change.Processor())
	return p.ownUntil
}

// withVersion returns a copy of a vector with one version replaced: the one
// before may still be on its way in a request.
func withVersion(vector map[string]distribution.Version, topic string, version distribution.Version) map[string]distribution.Version {
	next := make(map[string]distribution.Version, len(vector)+1)
	for name, held := range vector {
		next[name] = held
	}
	next[topic] = version
	return next
}

// takeAtMember has a control member's hub take an update from another member.
// All hubs share one copy of each list of destinations, to save memory; the
// time that it takes to apply a difference to the list is charged all the same.
func (f *fleet) takeAtMember(p *process, update distribution.Update) bool {
	member, taken := p.member, false
	if list, shared := f.lists[update.Version]; shared && update.Topic == view.TopicSenders {
		if taken = member.hub.Publish(update.Topic, update.Version, list); taken {
			member.load.Processor += f.applyCost
			f.charge(member, f.applyCost)
		}
	} else {
		f.charge(member, member.load.work(func() { taken = member.hub.ApplyUpdate(update, f.now.Add(-update.Age)) }))
	}
	if taken {
		f.wake(member)
		f.scheduleMerge(member)
	}
	return taken
}

// confirm is a read of the platform's list that found no change.
func (f *fleet) confirm() {
	reader := f.members[0]
	reader.hub.Confirm(view.TopicSenders, reader.publisher, distribution.Confirmed{At: f.now, Interval: confirmEvery})
	f.after(confirmEvery, f.confirm)
}

// changeList is a read of the platform's list that found changes.
func (f *fleet) changeList(count int) {
	reader := f.members[0]
	next := flipped(f.list, count, f.random)
	var difference view.SendersDifference
	spent := reader.load.work(func() { difference = view.DifferenceOf(f.list, next, 0) })
	var unused Load
	f.applyCost = unused.work(func() { difference.Apply(view.Senders{List: f.list}, 0) })
	f.list = next
	version := reader.hub.Advance(view.TopicSenders, reader.publisher, view.Senders{List: next})
	f.lists[version] = view.Senders{List: next}
	f.forgetOldLists(version)
	f.listBytes = wireSize(distribution.PullReply{Updates: []distribution.Update{
		{Topic: view.TopicSenders, Version: version, Base: version, Payload: difference},
	}})
	f.charge(reader, spent)
	f.wake(reader)
}

// forgetOldLists lets go of lists that no hub holds any more.
func (f *fleet) forgetOldLists(newest distribution.Version) {
	const kept = 20
	for version := range f.lists {
		if version.Counter+kept < newest.Counter {
			delete(f.lists, version)
		}
	}
}
