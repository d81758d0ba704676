package hollow

import (
	"context"
	"runtime"
	"runtime/debug"
	"time"
)

// The rates of the deployment that the operators aim at.
const (
	targetDispatchers   = 3200
	configurationsPerS  = 9500.0 / 86400
	restartsPerDay      = 1200.0
	failuresPerDay      = 18.0
	viewsOfRestart      = 2 // changes of a monitor's view: it leaves, it joins
	viewsOfFailure      = 4 // suspect, dead, forgotten, and its successor joins
	churnConfigurations = 2 * time.Second
	listEntriesPerS     = 115_000.0 // longer lists change more seldom in the simulation, to bound its time
	restartsInChurn     = 2
)

// phase is what the roles used in a part of the simulation.
type phase struct {
	Length    time.Duration
	Agent     Load // mean of those that ran all the while
	Member    Load // the busiest control member
	AllMember Load // sum
}

// Report is what was measured of one size.
type Report struct {
	Size     Size
	Rest     phase
	Churn    phase
	Spread   spread
	Machine  machineCost
	Leases   leaseCost
	Sockets  socketResult
	Platform platformResult
	Backlog  backlogCost

	ListBytes    int // a difference of the list on the wire
	MemberBytes  int // a difference of a monitor's view on the wire
	RefusedLists int // whole lists over the limit of a frame, in the churn
	RealTime     time.Duration
	PeakMemory   int64
}

// Run measures one size. It refuses a size that does not fit the memory.
func Run(ctx context.Context, size Size, memoryGb float64) (Report, error) {
	if err := size.Check(memoryGb); err != nil {
		return Report{}, err
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(int64(memoryGb * gigabyte)))
	began := time.Now()
	report := Report{Size: size, Machine: measureMachine(size), Leases: measureLeases(size)}
	report.simulate()
	var err error
	if size.Sockets > 0 {
		if report.Platform, err = measurePlatform(ctx, size); err != nil {
			return report, err
		}
		if report.Sockets, err = measureSockets(ctx, size); err != nil {
			return report, err
		}
	}
	if size.Messages > 0 {
		if report.Backlog, err = measureBacklog(ctx, size); err != nil {
			return report, err
		}
	}
	report.RealTime = time.Since(began)
	report.PeakMemory = peakMemory()
	return report, nil
}

// simulate runs the control plane in virtual time: first at rest, then with
// changes of all kinds.
func (r *Report) simulate() {
	f := newFleet(r.Size, r.Machine)
	const settle = time.Second
	f.runUntil(f.now.Add(settle))
	r.Rest = f.measure(r.Size.Rest)
	f.planChanges(r.Size.Churn)
	r.Churn = f.measure(r.Size.Churn)
	r.Spread = f.spread()
	r.ListBytes, r.MemberBytes, r.RefusedLists = f.listBytes, f.memberBytes, f.refusedLists
}

// planChanges schedules changes of the list and of the configuration, a machine
// that fails and some that restart.
func (f *fleet) planChanges(length time.Duration) {
	every := f.size.listInterval()
	count := max(1, int(f.size.changesPerSecond()*every.Seconds()))
	for at := every / 2; at < length; at += every {
		f.after(at, func() { f.changeList(count) })
	}
	for at := churnConfigurations / 2; at < length-churnConfigurations; at += churnConfigurations {
		f.after(at, f.changeConfiguration)
	}
	last := len(f.agents) - 1
	f.after(time.Second, func() { f.fail(f.agents[last]) })
	for i := range restartsInChurn {
		f.after(time.Duration(i+1)*time.Second, func() { f.restart(f.agents[last-1-i]) })
	}
}

// listInterval returns the time between two changes of the list in the simulation.
func (s Size) listInterval() time.Duration {
	return max(confirmEvery, time.Duration(float64(s.Destinations)/listEntriesPerS*float64(time.Second)))
}

// measure runs the simulation for a time and returns what was used.
func (f *fleet) measure(length time.Duration) phase {
	agents, members := make([]Load, len(f.agents)), make([]Load, len(f.members))
	for i, p := range f.agents {
		agents[i] = p.load
	}
	for i := range f.members {
		members[i] = f.memberLoad(i)
	}
	f.runUntil(f.now.Add(length))
	result := phase{Length: length}
	steady := 0
	for i, p := range f.agents {
		if !p.down && p.life == 0 {
			result.Agent = result.Agent.Plus(p.load.Minus(agents[i]))
			steady++
		}
	}
	result.Agent = result.Agent.dividedBy(max(1, steady))
	for i := range f.members {
		used := f.memberLoad(i).Minus(members[i])
		result.AllMember = result.AllMember.Plus(used)
		if used.Processor > result.Member.Processor {
			result.Member = used
		}
	}
	return result
}

// memberLoad returns what a control member has used, with its own long polls.
func (f *fleet) memberLoad(i int) Load { return f.members[i].load.Plus(f.pullers[i].load) }

func (l Load) dividedBy(count int) Load {
	n := int64(count)
	return Load{Processor: l.Processor / time.Duration(n), Received: l.Received / n, Sent: l.Sent / n, Calls: l.Calls / n}
}

// bytesPerS returns the bytes of both directions in a second of a phase.
func (p phase) bytesPerS(l Load) float64 { return float64(l.Bytes()) / p.Length.Seconds() }

// share returns the part of a core that a load took in a phase, with what its
// calls cost on sockets at one end.
func (p phase) share(l Load, callCost time.Duration) float64 {
	return (l.Processor + time.Duration(l.Calls)*callCost/2).Seconds() / p.Length.Seconds()
}

// atTarget is what control takes of one dispatcher's machine at the target's
// rates of changes.
type atTarget struct {
	Bytes  float64 // a second, agent and control members
	Share  float64 // of a core, agent and dispatcher
	Memory int64   // of agent and dispatcher
}

// changesPerS returns how often each kind of change comes at the target's rates.
func (s Size) changesPerS() (list, views, configurations float64) {
	fleetShare := float64(s.Dispatchers) / targetDispatchers
	perDay := restartsPerDay*viewsOfRestart + failuresPerDay*viewsOfFailure
	views = perDay * fleetShare / 86400 * float64(s.Tolerated+1)
	return min(1/confirmEvery.Seconds(), s.changesPerSecond()), views, configurationsPerS
}

// atTarget works out what control takes of a machine: what it takes at rest,
// and each kind of change at its rate. Each change comes from f + 1 members.
func (r *Report) atTarget() atTarget {
	list, views, configurations := r.Size.changesPerS()
	copies := float64(r.Size.Tolerated + 1)
	// A simulated change of a long list holds the entries of several real ones.
	bytesPerS := min(list, 1/r.Size.listInterval().Seconds())*float64(r.ListBytes) + views*float64(r.MemberBytes) + configurations*float64(r.Machine.ConfigurationSize)
	share := list*r.Machine.List.Processor().Seconds() + views*r.Machine.Members.Processor().Seconds() +
		configurations*r.Machine.Configuration.Processor().Seconds()
	return atTarget{
		Bytes:  r.Rest.bytesPerS(r.Rest.Agent) + copies*bytesPerS,
		Share:  r.Rest.share(r.Rest.Agent, r.Sockets.CallCost) + share,
		Memory: r.Machine.AgentMemory + r.Machine.DispatcherMemory,
	}
}
