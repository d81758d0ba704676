package hollow

import (
	"slices"
	"time"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/membership"
	"yardwharf/internal/service/view"
)

// The pace of the membership, as packages membership and coordination have it.
const (
	ticksInBeats = 4
	periodSpread = 0.1
	publishEvery = 100 * time.Millisecond
	mergeEvery   = 250 * time.Millisecond
	restartTime  = 1500 * time.Millisecond
)

func (f *fleet) beat(p *process) membership.Heartbeat {
	return membership.Heartbeat{
		Identity: p.identity, Details: membership.Details{Class: "edge"}, MembersDigest: membership.Digest(f.addresses()),
	}
}

// sendHeartbeat sends one heartbeat to each monitor of an agent.
func (f *fleet) sendHeartbeat(p *process, life int) {
	if p.down || p.life != life {
		return
	}
	var beat membership.Heartbeat
	p.load.work(func() {
		beat = f.beat(p)
		membership.Monitors(view.Key(p.identity), f.addresses(), f.size.Tolerated+1)
	})
	f.deliverHeartbeat(p, beat)
	f.after(heartbeatPeriod-f.fraction(time.Duration(periodSpread*float64(heartbeatPeriod))), func() { f.sendHeartbeat(p, life) })
}

func (f *fleet) deliverHeartbeat(p *process, beat membership.Heartbeat) {
	for _, monitor := range p.monitors {
		before := monitor.load.Processor
		arrived := f.heartbeats.call(&p.load, &monitor.load, beat).(membership.Heartbeat)
		var reply membership.HeartbeatReply
		var changed bool
		monitor.load.work(func() { reply, changed = monitor.monitor.HandleHeartbeat(f.now, arrived) })
		f.heartbeats.carry(&monitor.load, &p.load, reply)
		f.charge(monitor, monitor.load.Processor-before)
		if changed {
			f.schedulePublish(monitor)
		}
	}
}

// tick has a monitor look for missed heartbeats.
func (f *fleet) tick(member *controlMember) {
	var changed bool
	f.charge(member, member.load.work(func() { changed = member.monitor.Tick(f.now) }))
	if changed {
		f.schedulePublish(member)
	}
	f.after(heartbeatPeriod/ticksInBeats, func() { f.tick(member) })
}

// schedulePublish has a monitor's view published, at most so often.
func (f *fleet) schedulePublish(member *controlMember) {
	if member.publishing {
		return
	}
	member.publishing = true
	f.at(later(f.now, member.publishedAt.Add(publishEvery)), func() { f.publishView(member) })
}

func (f *fleet) publishView(member *controlMember) {
	member.publishing, member.publishedAt = false, f.now
	topic := view.MembersTopic(member.identity.Node)
	before, _, _ := distribution.Payload[view.Members](member.hub, topic)
	var members view.Members
	var version distribution.Version
	f.charge(member, member.load.work(func() {
		members = member.monitor.View()
		version = member.hub.Advance(topic, member.publisher, members)
	}))
	if difference, ok := members.Difference(before, 0); ok {
		f.memberBytes = wireSize(distribution.PullReply{Updates: []distribution.Update{
			{Topic: topic, Version: version, Base: version, Payload: difference},
		}})
	}
	f.wake(member)
	f.scheduleMerge(member)
}

// scheduleMerge has a member fold what all monitors say, at most so often.
func (f *fleet) scheduleMerge(member *controlMember) {
	if member.merging {
		return
	}
	member.merging = true
	f.at(later(f.now, member.mergedAt.Add(mergeEvery)), func() { f.merge(member) })
}

func (f *fleet) merge(member *controlMember) {
	member.merging, member.mergedAt = false, f.now
	f.charge(member, member.load.work(func() {
		var all, others []view.Members
		for _, update := range member.hub.All(view.TopicMembers) {
			observation, ok := update.Payload.(view.Members)
			if !ok {
				continue
			}
			all = append(all, observation)
			if observation.Monitor != member.identity.Node {
				others = append(others, observation)
			}
		}
		membership.Merge(all)
		member.monitor.SetOthers(membership.Merge(others))
	}))
}

// fail takes an agent's machine away without a word.
func (f *fleet) fail(p *process) { p.down = true }

// restart ends an agent in order and starts it again a little later, with
// nothing in its memory.
func (f *fleet) restart(p *process) {
	beat := f.beat(p)
	beat.Leaving = true
	f.deliverHeartbeat(p, beat)
	p.down = true
	f.after(restartTime, func() {
		p.down = false
		p.life++
		p.identity.Incarnation++
		p.vector, p.told = map[string]distribution.Version{}, nil
		f.deliverHeartbeat(p, f.beat(p))
		f.startAgent(p)
	})
}

func later(a, b time.Time) time.Time { return slices.MaxFunc([]time.Time{a, b}, time.Time.Compare) }
