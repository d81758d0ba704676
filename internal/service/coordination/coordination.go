// Package coordination composes what a control member does beside the
// register: it distributes topics, monitors heartbeats, and reads the
// platform's list when that is its turn.
package coordination

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/discovery"
	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/membership"
	"yardwharf/internal/service/placement"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/view"
)

const (
	peerWait     = 400 * time.Millisecond // long poll between control members: their heartbeat
	peerSilence  = 600 * time.Millisecond // beyond the wait
	peerAlive    = 1200 * time.Millisecond
	trustTime    = 2 * time.Second        // a monitor's word counts so long after it has answered last
	mergeEvery   = 250 * time.Millisecond // at most
	publishEvery = 100 * time.Millisecond // at most
	readerKey    = "senders"              // orders the members for the reader's role
	storeRole    = "store"
	ticksInBeats = 4 // looks for missed heartbeats in each period
)

// Coordination is the running part of one control member.
type Coordination struct {
	identity  protocol.Identity
	publisher string
	hub       *distribution.Hub
	members   func() []string
	peers     *distribution.Puller
	contact   func(member string) time.Time // when a member has answered last
	log       logr.Logger

	mutex    sync.Mutex
	monitor  *membership.Monitor
	election election
	merged   []view.NodeState
	trusted  []string      // monitors whose words the merged states come from
	changed  chan struct{} // capacity 1: the monitor's view is to be published
}

// Attach registers the handlers for Pull and Heartbeat on a server that does
// not serve yet, and runs everything else until the context ends. The
// identity's address must be the one under which members lists this process.
// The caller publishes the configuration topic on the hub.
func Attach(
	ctx context.Context, s *settings.Settings, identity protocol.Identity, server *transport.Server,
	hub *distribution.Hub, members func() []string, log logr.Logger,
) *Coordination {
	c := newCoordination(s, identity, hub, members, log)
	hub.Register(server)
	hub.OnPull(c.observePeer)
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, beat membership.Heartbeat) (membership.HeartbeatReply, error) {
		return c.beat(time.Now(), beat), nil
	})
	go c.peers.Run(ctx)
	go c.watch(ctx, membership.Period(s)/ticksInBeats)
	go c.publishViews(ctx)
	go c.follow(ctx)
	if s.CloudAPI.Address != "" {
		go discovery.RunReader(ctx, s, hub, c.publisher, c.reads, log)
	}
	return c
}

func newCoordination(
	s *settings.Settings, identity protocol.Identity, hub *distribution.Hub, members func() []string, log logr.Logger,
) *Coordination {
	c := &Coordination{
		identity: identity, publisher: identity.Node + "@" + strconv.FormatUint(identity.Incarnation, 10),
		hub: hub, members: members, log: log,
		changed:  make(chan struct{}, 1),
		monitor:  membership.NewMonitor(identity.Node, identity.Address, membership.Period(s)),
		election: election{self: identity.Address, started: time.Now()},
	}
	c.peers = distribution.NewPuller(hub, distribution.PullerOptions{
		Network: s.Net(), Identity: identity, Sources: c.otherMembers, Wait: peerWait, Silence: peerSilence,
	}, log)
	c.contact = c.peers.Contact
	return c
}

// Members returns the merged state of all processes that send heartbeats.
func (c *Coordination) Members() []view.NodeState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.merged
}

// Stores returns the state of all stores that have announced themselves.
func (c *Coordination) Stores() []view.NodeState {
	var stores []view.NodeState
	for _, state := range c.Members() {
		if state.Identity.Role == storeRole {
			stores = append(stores, state)
		}
	}
	return stores
}

// HeardBy returns the monitors that say of a store that it lives.
func (c *Coordination) HeardBy(node string) []string {
	var monitors []string
	for _, observation := range c.observations() {
		if slices.ContainsFunc(observation.Nodes, func(state view.NodeState) bool {
			return state.Identity.Node == node && state.Identity.Role == storeRole && state.Alive
		}) {
			monitors = append(monitors, observation.Monitor)
		}
	}
	return monitors
}

// Reads reports whether this member reads the platform's list at present.
func (c *Coordination) Reads() bool { return c.hub.Owned(view.TopicSenders, c.publisher) }

// Alive reports whether another control member has answered of late.
func (c *Coordination) Alive(member string) bool {
	return time.Since(c.contact(member)) < peerAlive
}

func (c *Coordination) otherMembers() []string {
	var others []string
	for _, member := range c.members() {
		if member != c.identity.Address {
			others = append(others, member)
		}
	}
	return others
}

// reads decides whether this member should read the platform's list now.
func (c *Coordination) reads() bool {
	now := time.Now()
	return c.election.reads(now, placement.Order(readerKey, c.members()), c.Alive, c.list(now))
}

// list tells the election of the list that is held. One that came without a
// confirmation counts as current when it was made.
func (c *Coordination) list(now time.Time) listState {
	update, held := c.hub.Latest(view.TopicSenders)
	if !held {
		return listState{}
	}
	confirmed, ok := c.hub.Confirmed(view.TopicSenders)
	if !ok {
		confirmed.At = now.Add(-update.Age)
	}
	return listState{held: true, mine: c.Reads(), due: confirmed.At.Add(confirmed.Every)}
}

// beat answers a heartbeat.
func (c *Coordination) beat(now time.Time, beat membership.Heartbeat) membership.HeartbeatReply {
	c.mutex.Lock()
	reply, changed := c.monitor.Beat(now, beat)
	c.mutex.Unlock()
	c.note(changed)
	if members := c.members(); beat.MembersDigest != membership.Digest(members) {
		reply.Members = members
	}
	return reply
}

// observePeer takes a pull of another control member as its heartbeat.
func (c *Coordination) observePeer(peer protocol.Identity) {
	if peer.Role != membership.ControlRole || peer.Node == c.identity.Node {
		return
	}
	c.mutex.Lock()
	_, changed := c.monitor.Beat(time.Now(), membership.Heartbeat{Identity: peer})
	c.mutex.Unlock()
	c.note(changed)
}

// watch looks for missed heartbeats.
func (c *Coordination) watch(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.mutex.Lock()
			changed, before := c.monitor.Tick(now), c.trusted
			c.mutex.Unlock()
			c.note(changed)
			if !slices.Equal(before, c.trustedMonitors()) {
				c.merge()
			}
		}
	}
}

// note has the monitor's view published where it has changed.
func (c *Coordination) note(changed bool) {
	if !changed {
		return
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *Coordination) publishViews(ctx context.Context) {
	onChanges(ctx, c.changed, publishEvery, func() {
		c.mutex.Lock()
		monitored := c.monitor.View()
		c.mutex.Unlock()
		c.hub.Advance(view.MembersTopic(c.identity.Node), c.publisher, monitored)
	})
}

// follow keeps the merged view up to date.
func (c *Coordination) follow(ctx context.Context) {
	changes, cancel := c.hub.Subscribe(view.TopicMembers)
	defer cancel()
	onChanges(ctx, changes, mergeEvery, c.merge)
}

// onChanges calls a function after changes, at most so often.
func onChanges(ctx context.Context, changes <-chan struct{}, every time.Duration, call func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
		call()
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
	}
}

// observations returns the words of the monitors that count. What a monitor has said
// stays in the hubs when it is gone, and nobody may remember that it is. So its word
// counts only while it is a member, and this one is in touch with it.
func (c *Coordination) observations() []view.Members {
	members := c.members()
	var counting []view.Members
	for _, update := range c.hub.All(view.TopicMembers) {
		observation, ok := update.Payload.(view.Members)
		if ok && c.trusts(observation, members) {
			counting = append(counting, observation)
		}
	}
	return counting
}

func (c *Coordination) trusts(observation view.Members, members []string) bool {
	switch {
	case observation.Monitor == c.identity.Node, observation.Address == "":
		return true
	default:
		return slices.Contains(members, observation.Address) && time.Since(c.contact(observation.Address)) < trustTime
	}
}

// trustedMonitors names the monitors whose words count now.
func (c *Coordination) trustedMonitors() []string {
	var names []string
	for _, observation := range c.observations() {
		names = append(names, observation.Monitor)
	}
	return names
}

// merge folds the words of the monitors that count.
func (c *Coordination) merge() {
	all := c.observations()
	var trusted []string
	var others []view.Members
	for _, observation := range all {
		trusted = append(trusted, observation.Monitor)
		if observation.Monitor != c.identity.Node {
			others = append(others, observation)
		}
	}
	merged, contradictions := membership.Merge(all), membership.Merge(others)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.merged, c.trusted = merged, trusted
	c.monitor.SetOthers(contradictions)
}
