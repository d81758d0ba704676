package app

import (
	"time"

	"yardwharf/internal/carry/loop"
	"yardwharf/internal/run/handover"
)

const (
	checkEvery = 10 * time.Millisecond

	// After SIGTERM the platform waits for the longest deadline, or leaveMost where
	// that is less, and leaveExtra before it kills.
	leaveMost   = 3 * time.Second
	leaveExtra  = 700 * time.Millisecond
	leaveMargin = 300 * time.Millisecond // kept of that for the last answers to get out
	leaveLast   = 50 * time.Millisecond  // and for the program to end by itself, whoever still holds a connection
)

// leave ends the program as the platform asks: it serves on for most of the time
// that it is given, then takes nothing new and stops when all that was taken is
// answered. What it takes from now on is cut to end within that time. Guards the
// clients of dispatchers that leave one after the other: while the others are not
// back yet, the connections that they have are the only ones to be had.
func (p *program) leave() {
	if p.leaving {
		return
	}
	p.log.Info().Int("open", p.dispatcher.Open()).Msg("stopping")
	p.leaving = true
	if p.operations.store != nil {
		p.book(handover.Leaving)
		p.look() // the platform tells as soon as the successor is ready
	}
	p.settle()
	if p.jobs != nil {
		p.jobs.Leave()
		p.saveJobs() // now, too: who is killed before the end has not lost them
	}
	p.timer.Task = loop.Func(func() {
		p.front.Close()
		p.wait()
	})
	now, longest := p.loop.Now(), time.Duration(0)
	for _, c := range p.config.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	given := min(longest, leaveMost) + leaveExtra
	p.dispatcher.EndBy(now + given - leaveMargin)
	p.leaveBy = now + given - leaveLast
	p.loop.Set(&p.timer, now+given*85/100)
}

// wait ends the program once all is answered and each client has read its answer or has had the
// time to. Guards against clients that leave their side of a connection open for as long as they
// like. While a message is in hand the program stays, whatever the time: to end over one is to
// lose it, to be killed over one that is older than the signal is not.
func (p *program) wait() {
	if p.dispatcher.Open() == 0 && (p.front.Closed() || p.loop.Now() >= p.leaveBy && p.front.Answered()) {
		p.watcher.Close()
		if p.door != nil {
			p.door.Close()
		}
		p.finish()
		if p.jobs != nil {
			p.saveJobs()
			p.jobsAPI.Close()
		}
		if p.peers != nil {
			p.peers.Close()
		}
		if p.xds != nil {
			p.xds.link.Close()
		}
		p.loop.Stop()
		return
	}
	p.timer.Task = loop.Func(p.wait)
	p.loop.Set(&p.timer, p.loop.Now()+checkEvery)
}
