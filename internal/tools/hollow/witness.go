package hollow

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/membership"
	"yardwharf/internal/service/view"
)

// historyFilled is how many changes fill a hub's history of a topic.
const historyFilled = 17

// cost is the processor time of one change at an agent and at its dispatcher.
type cost struct {
	Agent      time.Duration
	Dispatcher time.Duration
}

// machineCost is what one whole agent and the control part of one dispatcher take.
type machineCost struct {
	AgentMemory       int64 // with the histories of all topics filled
	DispatcherMemory  int64
	FreshMemory       int64 // of both, before any change
	List              cost  // a change of the list of destinations
	Members           cost  // a change of one monitor's view
	Configuration     cost  // a change of the configuration
	WholeListBytes    int   // the first answer to an agent that starts
	ConfigurationSize int   // bytes of the configuration on the wire
}

// Processor returns the processor time of a change at both processes.
func (c cost) Processor() time.Duration { return c.Agent + c.Dispatcher }

// witness is one agent with its dispatcher that holds everything, where the
// others of a fleet hold versions only.
type witness struct {
	control    *distribution.Hub
	upstream   *distribution.Hub // of the agent
	feed       *distribution.Hub // of the agent
	dispatcher *distribution.Hub
	seen       map[string]distribution.Version // by the dispatcher
	toAgent    *codec
	toFeed     *codec

	source, agent, consumer Load
}

func newWitness() *witness {
	log := logr.Discard()
	return &witness{
		control: distribution.NewHub(log), upstream: distribution.NewHub(log),
		feed: distribution.NewHub(log), dispatcher: distribution.NewHub(log),
		seen: map[string]distribution.Version{}, toAgent: newCodec(), toFeed: newCodec(),
	}
}

// pull makes one hub pull from another and returns the bytes of the answer.
func pull(c *codec, from, to *distribution.Hub, source, target *Load) int {
	var reply distribution.PullReply
	source.work(func() {
		request := distribution.Pull{Vector: to.Vector(nil), Topics: agentTopics}
		reply, _ = from.Pull(context.Background(), request)
	})
	arrived, size := c.carry(source, target, reply)
	target.work(func() {
		received := time.Now()
		for _, update := range arrived.(distribution.PullReply).Updates {
			to.ApplyUpdate(update, received.Add(-update.Age))
		}
	})
	return size
}

// spread carries what is new at the control member through agent and
// dispatcher, in the same steps as package agent. It returns the bytes of the
// control member's answer.
func (w *witness) spread() int {
	size := pull(w.toAgent, w.control, w.upstream, &w.source, &w.agent)
	w.agent.work(w.relay)
	pull(w.toFeed, w.feed, w.dispatcher, &w.agent, &w.consumer)
	w.consumer.work(w.deliver)
	return size
}

// relay copies the agent's upstream topics to its feed, as package agent does
// after each change.
func (w *witness) relay() {
	for _, update := range w.upstream.All("") {
		if update.Topic != view.TopicSenders {
			w.feed.Publish(update.Topic, update.Version, update.Payload)
		}
	}
	senders, update, ok := distribution.Payload[view.Senders](w.upstream, view.TopicSenders)
	if !ok {
		return
	}
	last, held, published := distribution.Payload[view.Senders](w.feed, view.TopicSenders)
	next := senders.After(update.Age)
	if published && view.DifferenceOf(last.List, next.List, held.Age).Empty() {
		return
	}
	w.feed.Advance(view.TopicSenders, "witness@1", view.Senders{List: next.List})
}

// deliver is what the dispatcher's feed does with what is new. What the
// dispatcher itself makes of a list is not part of it.
func (w *witness) deliver() {
	var observations []view.Members
	fresh := false
	for _, update := range w.dispatcher.All(view.TopicMembers) {
		if observation, ok := update.Payload.(view.Members); ok {
			observations = append(observations, observation)
			fresh = w.isFresh(update) || fresh
		}
	}
	if fresh {
		membership.Merge(observations)
	}
	senders, update, _ := distribution.Payload[view.Senders](w.dispatcher, view.TopicSenders)
	if w.isFresh(update) {
		senders.After(update.Age)
	}
}

// isFresh reports whether the dispatcher has not seen an update yet.
func (w *witness) isFresh(update distribution.Update) bool {
	if !update.Version.Newer(w.seen[update.Topic]) {
		return false
	}
	w.seen[update.Topic] = update.Version
	return true
}

// change measures one change, which the function makes at the control member.
func (w *witness) change(make func()) cost {
	agent, consumer := w.agent.Processor, w.consumer.Processor
	make()
	w.spread()
	return cost{Agent: w.agent.Processor - agent, Dispatcher: w.consumer.Processor - consumer}
}

// measureMachine measures one whole agent with its dispatcher.
func measureMachine(size Size) machineCost {
	random := rand.New(rand.NewPCG(1, 2))
	w := newWitness()
	list := destinations(size.Destinations, random)
	w.control.Advance(view.TopicSenders, "control@1", view.Senders{List: list})
	raw := rawConfiguration(1, size.Routes())
	w.control.Publish(view.TopicConfiguration, distribution.Version{Epoch: 1, Counter: 1}, configurationPayload(size, 1, 1, raw))
	views := monitorViews(size)
	for _, members := range views {
		w.control.Advance(view.MembersTopic(members.Monitor), "control@1", members)
	}
	result := machineCost{WholeListBytes: w.spread(), ConfigurationSize: wireSize(configurationPayload(size, 1, 1, raw))}
	result.FreshMemory = w.memory(func() { w.upstream, w.feed, w.dispatcher = nil, nil, nil })

	w.upstream, w.feed, w.dispatcher = emptyHub(), emptyHub(), emptyHub()
	w.seen = map[string]distribution.Version{}
	w.spread()
	changes := max(1, int(size.changesPerSecond()*confirmEvery.Seconds()))
	for range historyFilled {
		result.List = w.change(func() {
			list = flipped(list, changes, random)
			w.control.Advance(view.TopicSenders, "control@1", view.Senders{List: list})
		})
	}
	for i := range historyFilled {
		result.Configuration = w.change(func() {
			revision := int64(i + 2)
			version := distribution.Version{Epoch: 1, Counter: uint64(revision)}
			next := configurationPayload(size, version.Counter, revision, rawConfiguration(revision, size.Routes()))
			w.control.Publish(view.TopicConfiguration, version, next)
		})
	}
	result.Configuration.Dispatcher += parseCost(raw)
	for i := range historyFilled * len(views) {
		result.Members = w.change(func() {
			next := restarted(views[i%len(views)], random)
			views[i%len(views)] = next
			w.control.Advance(view.MembersTopic(next.Monitor), "control@1", next)
		})
	}
	w.control, list, views = nil, nil, nil
	result.DispatcherMemory = w.memory(func() { w.dispatcher = nil })
	result.AgentMemory = w.memory(func() { w.upstream, w.feed = nil, nil })
	runtime.KeepAlive(w)
	return result
}

func emptyHub() *distribution.Hub { return distribution.NewHub(logr.Discard()) }

// memory returns what a function frees.
func (w *witness) memory(free func()) int64 {
	before := liveHeap()
	free()
	return before - liveHeap()
}

// monitorViews returns what each control member says of a fleet of agents.
func monitorViews(size Size) []view.Members {
	var addresses []string
	for i := range controlMembers {
		addresses = append(addresses, controlIdentity(i).Address)
	}
	monitors := map[string]*membership.Monitor{}
	for i, address := range addresses {
		monitors[address] = membership.NewMonitor(controlIdentity(i).Node, controlIdentity(i).Address, heartbeatPeriod)
	}
	now := time.Now()
	for i := range size.Dispatchers {
		identity := agentIdentity(i)
		for _, address := range membership.Monitors(view.Key(identity), addresses, size.Tolerated+1) {
			monitors[address].HandleHeartbeat(now, membership.Heartbeat{Identity: identity, Details: membership.Details{Class: "edge"}})
		}
	}
	views := make([]view.Members, len(addresses))
	for i, address := range addresses {
		views[i] = monitors[address].View()
	}
	return views
}

// restarted returns a copy of a view in which one process has a new incarnation.
func restarted(members view.Members, random *rand.Rand) view.Members {
	members.Nodes = append([]view.NodeState(nil), members.Nodes...)
	if len(members.Nodes) > 0 {
		members.Nodes[random.IntN(len(members.Nodes))].Identity.Incarnation++
	}
	return members
}

// parseCost returns the processor time that a dispatcher takes to read a configuration.
func parseCost(raw []byte) time.Duration {
	const rounds = 3
	var load Load
	for range rounds {
		load.work(func() {
			if _, err := configuration.Parse(raw); err != nil {
				panic(err)
			}
		})
	}
	return load.Processor / rounds
}
