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

const feedPollWait = 5 * time.Second

// Updates holds the callbacks of Feed, which never run concurrently. Each gets
// complete values only, and never an older value after a newer one. Nil
// callbacks are skipped.
type Updates struct {
	Configuration func(view.Configuration)
	Senders       func(view.Senders) // warm-up times are relative to the call
	Members       func([]view.NodeState)
}

// topics returns the topic prefixes for which a callback is set.
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

// Feed passes updates from this machine's agent to the dispatcher until the
// context ends. It reconnects when the agent restarts.
func Feed(ctx context.Context, s *settings.Settings, identity protocol.Identity, updates Updates) {
	hub := distribution.NewHub(logr.Discard())
	puller := distribution.NewPuller(hub, distribution.PullerOptions{
		Network: s.Net(), Identity: identity, Sources: func() []string { return []string{s.AgentFeed()} },
		Connections: 1, Topics: updates.topics(), Wait: feedPollWait,
	}, logr.Discard())
	go puller.Run(ctx)
	changes, cancel := hub.Subscribe(updates.topics()...)
	defer cancel()
	var delivered deliveredVersions
	for {
		delivered.deliver(hub, updates)
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
}

// deliveredVersions holds the last version of each topic that was delivered to
// the dispatcher.
type deliveredVersions struct {
	versions map[string]distribution.Version
}

// deliver calls the callbacks for topics with a newer version than delivered.
func (h *deliveredVersions) deliver(hub *distribution.Hub, updates Updates) {
	if h.versions == nil {
		h.versions = map[string]distribution.Version{}
	}
	if update, fresh := h.takeNewer(hub, view.TopicConfiguration); fresh && updates.Configuration != nil {
		if configuration, ok := update.Payload.(view.Configuration); ok {
			updates.Configuration(configuration)
		}
	}
	if update, fresh := h.takeNewer(hub, view.TopicSenders); fresh && updates.Senders != nil {
		if senders, ok := update.Payload.(view.Senders); ok {
			senders = senders.After(update.Age)
			senders.Epoch, senders.Counter = update.Version.Epoch, update.Version.Counter
			updates.Senders(senders)
		}
	}
	if h.takeNewerMembers(hub) && updates.Members != nil {
		updates.Members(mergedMembers(hub))
	}
}

// takeNewer returns the latest update of a topic and whether it is newer than
// the last one returned.
func (h *deliveredVersions) takeNewer(hub *distribution.Hub, topic string) (distribution.Update, bool) {
	update, ok := hub.Latest(topic)
	if !ok || !update.Version.Newer(h.versions[topic]) {
		return update, false
	}
	h.versions[topic] = update.Version
	return update, true
}

// takeNewerMembers reports whether any members topic has a newer update.
func (h *deliveredVersions) takeNewerMembers(hub *distribution.Hub) (changed bool) {
	for _, update := range hub.All(view.TopicMembers) {
		if _, fresh := h.takeNewer(hub, update.Topic); fresh {
			changed = true
		}
	}
	return changed
}

// mergedMembers merges the members topics of all monitors in a hub, except monitors
// that are no longer control members.
func mergedMembers(hub *distribution.Hub) []view.NodeState {
	known, _, _ := distribution.Payload[view.Configuration](hub, view.TopicConfiguration)
	var observations []view.Members
	for _, update := range hub.All(view.TopicMembers) {
		if observation, ok := update.Payload.(view.Members); ok && publishedByMember(known.Members, observation) {
			observations = append(observations, observation)
		}
	}
	return membership.Merge(observations)
}

// publishedByMember reports whether an observation comes from one of the members. It is
// true if the members or the observation's address are unknown.
func publishedByMember(members []view.Node, observation view.Members) bool {
	return len(members) == 0 || observation.Address == "" ||
		slices.ContainsFunc(members, func(member view.Node) bool { return member.Address == observation.Address })
}
