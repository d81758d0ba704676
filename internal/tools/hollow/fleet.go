package hollow

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/membership"
	"yardwharf/internal/service/placement"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/view"
)

// The network between two processes, one way.
const (
	nearLatency = time.Millisecond
	farLatency  = 35 * time.Millisecond // between regions
	syncTime    = 4 * time.Millisecond  // of a control member's disk
)

// agentTopics are the topics that agents pull.
var agentTopics = []string{view.TopicConfiguration, view.TopicSenders, view.TopicMembers}

// controlMember is the pure core of a control member.
type controlMember struct {
	load        Load
	identity    protocol.Identity
	machine     int
	publisher   string
	hub         *distribution.Hub
	monitor     *membership.Monitor
	acceptor    *register.Acceptor
	waiting     []*poll // long polls without an answer yet
	busyUntil   time.Time
	publishedAt time.Time
	publishing  bool
	mergedAt    time.Time
	merging     bool
}

// process is a hollow agent, or the part of a control member that pulls from
// the others.
type process struct {
	load     Load
	identity protocol.Identity
	machine  int
	monitors []*controlMember
	vector   map[string]distribution.Version
	told     map[*controlMember]map[string]distribution.Version // vectors that members have answered last
	member   *controlMember                                     // nil for agents
	down     bool
	life     int       // grows when the process starts again
	ownUntil time.Time // its machine's only processor is busy with changes until then
}

// fleet is the simulated control plane with its agents.
type fleet struct {
	schedule
	size    Size
	random  *rand.Rand
	members []*controlMember
	agents  []*process
	pullers []*process // of the control members
	log     logr.Logger

	heartbeats, polls, rounds *codec

	list         []view.Sender
	lists        map[distribution.Version]view.Senders // payloads that were published, shared by all hubs
	applyCost    time.Duration                         // of the latest difference of the list, at one control member
	proposer     *register.Proposer
	decided      register.Versioned
	changes      []*configurationChange
	machine      machineCost // what a change takes of an agent's machine
	listBytes    int         // of the latest difference of the list
	memberBytes  int         // of the latest difference of a monitor's topic
	refusedLists int         // whole lists that no frame could carry
}

// newFleet builds the control plane with all agents known.
func newFleet(size Size, machine machineCost) *fleet {
	f := &fleet{
		schedule: schedule{now: time.Unix(1_790_000_000, 0)}, size: size,
		random: rand.New(rand.NewPCG(uint64(size.Dispatchers), uint64(size.Destinations))), log: logr.Discard(),
		heartbeats: newCodec(), polls: newCodec(), rounds: newCodec(),
		lists: map[distribution.Version]view.Senders{}, machine: machine,
	}
	f.addMembers()
	f.addAgents()
	f.announce()
	f.start()
	return f
}

func (f *fleet) addMembers() {
	var addresses []string
	for i := range controlMembers {
		addresses = append(addresses, controlIdentity(i).Address)
	}
	initial := register.InitialValue(addresses)
	initial.Configuration, initial.Revision = rawConfiguration(1, f.size.Routes()), 1
	f.decided = register.Versioned{Value: initial}
	f.proposer = register.NewProposer(addresses[0], 1)
	for i := range controlMembers {
		identity := controlIdentity(i)
		state := register.State{Disk: register.InitialDisk, Value: initial}
		f.members = append(f.members, &controlMember{
			identity: identity, machine: i, publisher: identity.Node + "@1",
			hub:      distribution.NewHubWithClock(f.log, func() time.Time { return f.now }),
			monitor:  membership.NewMonitor(identity.Node, identity.Address, heartbeatPeriod),
			acceptor: register.NewAcceptor(identity.Address, state, forgetfulDisk{}),
		})
	}
}

// forgetfulDisk stands in for the disk of an acceptor; the time of its syncs is
// simulated.
type forgetfulDisk struct{}

func (forgetfulDisk) Save(register.State) error { return nil }

func (f *fleet) addAgents() {
	for i := range f.size.Dispatchers {
		f.agents = append(f.agents, f.newProcess(agentIdentity(i), i))
	}
	for _, member := range f.members {
		puller := f.newProcess(member.identity, member.machine)
		puller.member = member
		f.pullers = append(f.pullers, puller)
	}
}

func (f *fleet) newProcess(identity protocol.Identity, machine int) *process {
	p := &process{identity: identity, machine: machine}
	p.monitors = f.monitorsOf(identity)
	return p
}

func (f *fleet) monitorsOf(identity protocol.Identity) []*controlMember {
	var monitors []*controlMember
	for _, address := range membership.Monitors(view.Key(identity), f.addresses(), f.size.Tolerated+1) {
		monitors = append(monitors, f.memberAt(address))
	}
	return monitors
}

func (f *fleet) addresses() []string {
	addresses := make([]string, len(f.members))
	for i, member := range f.members {
		addresses[i] = member.identity.Address
	}
	return addresses
}

func (f *fleet) memberAt(address string) *controlMember {
	return f.members[slices.IndexFunc(f.members, func(m *controlMember) bool { return m.identity.Address == address })]
}

// sources returns the control members in the order in which an agent prefers
// them, as package agent has it.
func (f *fleet) sources(p *process) []*controlMember {
	var near, far []string
	for _, member := range f.members {
		if member.identity.Zone == p.identity.Zone {
			near = append(near, member.identity.Address)
		} else {
			far = append(far, member.identity.Address)
		}
	}
	order := append(placement.Order(p.identity.Node, near), placement.Order(p.identity.Node, far)...)
	var sources []*controlMember
	for _, address := range order {
		sources = append(sources, f.memberAt(address))
	}
	return sources
}

// announce makes the first payload of every topic known everywhere.
func (f *fleet) announce() {
	for _, p := range f.agents {
		for _, monitor := range p.monitors {
			monitor.monitor.HandleHeartbeat(f.now, f.beat(p))
		}
	}
	for _, member := range f.members {
		member.hub.Advance(view.MembersTopic(member.identity.Node), member.publisher, member.monitor.View())
	}
	reader := f.members[0]
	f.list = destinations(f.size.Destinations, f.random)
	version := reader.hub.Advance(view.TopicSenders, reader.publisher, view.Senders{List: f.list})
	f.lists[version] = view.Senders{List: f.list}
	for _, member := range f.members {
		member.hub.Publish(view.TopicConfiguration, configurationVersion(f.decided.Value), f.configuration())
		for _, other := range f.members {
			for _, update := range other.hub.All("") {
				member.hub.Publish(update.Topic, update.Version, update.Payload)
			}
		}
	}
	for _, p := range slices.Concat(f.agents, f.pullers) {
		p.vector = f.members[0].hub.Vector(nil)
	}
}

func configurationVersion(value *register.Value) distribution.Version {
	return distribution.Version{Epoch: 1, Counter: value.Sequence}
}

// configuration returns the payload of the decided value.
func (f *fleet) configuration() view.Configuration {
	value := f.decided.Value
	return configurationPayload(f.size, value.Sequence, value.Revision, value.Configuration)
}

// start begins what runs all the time.
func (f *fleet) start() {
	for _, p := range f.agents {
		f.startAgent(p)
	}
	for _, p := range f.pullers {
		for slot, other := range f.members {
			if other != p.member {
				f.after(f.fraction(peerWait), func() { f.startPoll(p, p.life, slot, other) })
			}
		}
	}
	for _, member := range f.members {
		f.after(f.fraction(heartbeatPeriod/ticksInBeats), func() { f.tick(member) })
	}
	f.after(f.fraction(confirmEvery), f.confirm)
}

// startAgent begins the heartbeats and long polls of an agent.
func (f *fleet) startAgent(p *process) {
	life := p.life
	f.after(f.fraction(heartbeatPeriod), func() { f.sendHeartbeat(p, life) })
	for slot, source := range f.sources(p)[:f.size.Tolerated+1] {
		f.after(f.fraction(controlWait), func() { f.startPoll(p, life, slot, source) })
	}
}

// fraction returns a random part of a time.
func (f *fleet) fraction(most time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(most))
}

// latency is how long a message takes between two machines.
func latency(from, to int) time.Duration {
	if regionOf(from) == regionOf(to) {
		return nearLatency
	}
	return farLatency
}

// charge takes a member's only processor for some time and returns when that
// work has ended.
func (f *fleet) charge(member *controlMember, spent time.Duration) time.Time {
	if member.busyUntil.Before(f.now) {
		member.busyUntil = f.now
	}
	member.busyUntil = member.busyUntil.Add(spent)
	return member.busyUntil
}
