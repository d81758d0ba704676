package agent

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/membership"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/view"
)

const feedWait = 5 * time.Second

// Updates are the functions that Feed calls, one at a time. Each is called
// with whole values only, never with an older one after a newer one. A nil
// function is not called.
type Updates struct {
	Configuration func(view.Configuration)
	Senders       func(view.Senders) // warm-ups count from the call
	Members       func([]view.NodeState)
}

// topics returns the prefixes of the topics that are wanted.
func (u Updates) topics() []string {
	var wanted []string
	if u.Configuration != nil {
		wanted = append(wanted, view.TopicConfiguration)
	}
	if u.Senders != nil {
		wanted = append(wanted, view.TopicSenders)
	}
	if u.Members != nil {
		wanted = append(wanted, view.TopicMembers)
	}
	return wanted
}

// Feed hands the dispatcher of this machine what its agent knows, until the
// context ends. It connects again when the agent has ended.
func Feed(ctx context.Context, s *settings.Settings, identity protocol.Identity, updates Updates) {
	hub := distribution.NewHub(logr.Discard())
	puller := distribution.NewPuller(hub, distribution.PullerOptions{
		Network: s.Net(), Identity: identity, Sources: func() []string { return []string{s.AgentFeed()} },
		Connections: 1, Topics: updates.topics(), Wait: feedWait,
	}, logr.Discard())
	go puller.Run(ctx)
	changes, cancel := hub.Subscribe(updates.topics()...)
	defer cancel()
	var handed handedOver
	for {
		handed.deliver(hub, updates)
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
}

// handedOver holds the versions that the dispatcher has been given.
type handedOver struct {
	versions map[string]distribution.Version
}

// deliver calls the functions for what is newer than before.
func (h *handedOver) deliver(hub *distribution.Hub, updates Updates) {
	if h.versions == nil {
		h.versions = map[string]distribution.Version{}
	}
	if update, fresh := h.take(hub, view.TopicConfiguration); fresh && updates.Configuration != nil {
		if configuration, ok := update.Payload.(view.Configuration); ok {
			updates.Configuration(configuration)
		}
	}
	if update, fresh := h.take(hub, view.TopicSenders); fresh && updates.Senders != nil {
		if senders, ok := update.Payload.(view.Senders); ok {
			senders = senders.After(update.Age)
			senders.Epoch, senders.Counter = update.Version.Epoch, update.Version.Counter
			updates.Senders(senders)
		}
	}
	if h.takeMembers(hub) && updates.Members != nil {
		updates.Members(mergedMembers(hub))
	}
}

// take returns the newest update of a topic, and whether it is newer than the
// last one taken.
func (h *handedOver) take(hub *distribution.Hub, topic string) (distribution.Update, bool) {
	update, ok := hub.Latest(topic)
	if !ok || !update.Version.Newer(h.versions[topic]) {
		return update, false
	}
	h.versions[topic] = update.Version
	return update, true
}

func (h *handedOver) takeMembers(hub *distribution.Hub) (changed bool) {
	for _, update := range hub.All(view.TopicMembers) {
		if _, fresh := h.take(hub, update.Topic); fresh {
			changed = true
		}
	}
	return changed
}

// mergedMembers returns the merged view of all monitors' topics in a hub, without those
// of monitors that are members no more.
func mergedMembers(hub *distribution.Hub) []view.NodeState {
	known, _, _ := distribution.Payload[view.Configuration](hub, view.TopicConfiguration)
	var observations []view.Members
	for _, update := range hub.All(view.TopicMembers) {
		if observation, ok := update.Payload.(view.Members); ok && monitors(known.Members, observation) {
			observations = append(observations, observation)
		}
	}
	return membership.Merge(observations)
}

// monitors reports whether an observation is that of one of the members, as far as
// these are known.
func monitors(members []view.Node, observation view.Members) bool {
	return len(members) == 0 || observation.Address == "" ||
		slices.ContainsFunc(members, func(member view.Node) bool { return member.Address == observation.Address })
}
