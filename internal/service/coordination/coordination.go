// Package coordination combines the duties of a control member other than the
// register: it distributes topics, monitors heartbeats, and reads the
// platform's list of senders while it is the elected reader.
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
	peerPollWait       = 400 * time.Millisecond // long poll between control members, which also serves as their heartbeat
	peerReplyTimeout   = 600 * time.Millisecond // time allowed for a reply beyond the wait
	peerAliveTimeout   = 1200 * time.Millisecond
	observationTTL     = 2 * time.Second // how long a monitor's observation counts after its last reply
	minMergeInterval   = 250 * time.Millisecond
	minPublishInterval = 100 * time.Millisecond
	readerOrderKey     = "senders" // key by which members are ranked for the role of the reader
	storeRole          = "store"
	ticksPerHeartbeat  = 4 // checks for missed heartbeats in each heartbeat period
)

// Coordination is the running part of one control member.
type Coordination struct {
	identity    protocol.Identity
	publisher   string
	hub         *distribution.Hub
	members     func() []string
	peers       *distribution.Puller
	lastContact func(member string) time.Time // time of a member's last reply
	log         logr.Logger

	mutex    sync.Mutex
	monitor  *membership.Monitor
	election election
	merged   []view.NodeState
	trusted  []string      // monitors whose observations merged is based on
	changed  chan struct{} // capacity 1: signals that the monitor's view must be published
}

// Attach registers the handlers for Pull and Heartbeat on a server that has not
// started serving, and runs all background work until the context is done. The
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
		return c.handleHeartbeat(time.Now(), beat), nil
	})
	go c.peers.Run(ctx)
	go c.tickMonitor(ctx, membership.Period(s)/ticksPerHeartbeat)
	go c.publishViews(ctx)
	go c.mergeOnChanges(ctx)
	if s.CloudAPI.Address != "" {
		go discovery.RunReader(ctx, s, hub, c.publisher, c.shouldRead, log)
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
		Network: s.Net(), Identity: identity, Sources: c.otherMembers, Wait: peerPollWait, ReplyTimeout: peerReplyTimeout,
	}, log)
	c.lastContact = c.peers.LastReply
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

// MonitorsReportingAlive returns the trusted monitors that report a node's store alive.
func (c *Coordination) MonitorsReportingAlive(node string) []string {
	var monitors []string
	for _, observation := range c.trustedObservations() {
		if slices.ContainsFunc(observation.Nodes, func(state view.NodeState) bool {
			return state.Identity.Node == node && state.Identity.Role == storeRole && state.Alive
		}) {
			monitors = append(monitors, observation.Monitor)
		}
	}
	return monitors
}

// IsReader reports whether this member currently reads the platform's list.
func (c *Coordination) IsReader() bool { return c.hub.IsPublisher(view.TopicSenders, c.publisher) }

// Alive reports whether another control member has replied within peerAliveTimeout.
func (c *Coordination) Alive(member string) bool {
	return time.Since(c.lastContact(member)) < peerAliveTimeout
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

// shouldRead decides whether this member should read the platform's list now.
func (c *Coordination) shouldRead() bool {
	now := time.Now()
	return c.election.shouldRead(now, placement.Order(readerOrderKey, c.members()), c.Alive, c.senderListState(now))
}

// senderListState describes the held list of senders for the election. A list without
// a confirmation counts as confirmed at the time when it was created.
func (c *Coordination) senderListState(now time.Time) listState {
	update, held := c.hub.Latest(view.TopicSenders)
	if !held {
		return listState{}
	}
	confirmed, ok := c.hub.Confirmed(view.TopicSenders)
	if !ok {
		confirmed.At = now.Add(-update.Age)
	}
	return listState{held: true, ownRead: c.IsReader(), due: confirmed.At.Add(confirmed.Interval)}
}

// handleHeartbeat passes a heartbeat to the monitor and returns the reply.
func (c *Coordination) handleHeartbeat(now time.Time, heartbeat membership.Heartbeat) membership.HeartbeatReply {
	c.mutex.Lock()
	reply, changed := c.monitor.HandleHeartbeat(now, heartbeat)
	c.mutex.Unlock()
	c.schedulePublish(changed)
	if members := c.members(); heartbeat.MembersDigest != membership.Digest(members) {
		reply.Members = members
	}
	return reply
}

// observePeer counts a pull from another control member as its heartbeat.
func (c *Coordination) observePeer(peer protocol.Identity) {
	if peer.Role != membership.ControlRole || peer.Node == c.identity.Node {
		return
	}
	c.mutex.Lock()
	_, changed := c.monitor.HandleHeartbeat(time.Now(), membership.Heartbeat{Identity: peer})
	c.mutex.Unlock()
	c.schedulePublish(changed)
}

// tickMonitor checks for missed heartbeats at each interval, and merges again when the
// set of trusted monitors has changed.
func (c *Coordination) tickMonitor(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.mutex.Lock()
			changed, before := c.monitor.Tick(now), c.trusted
			c.mutex.Unlock()
			c.schedulePublish(changed)
			if !slices.Equal(before, c.trustedMonitors()) {
				c.merge()
			}
		}
	}
}

// schedulePublish signals publishViews if the monitor's view has changed.
func (c *Coordination) schedulePublish(changed bool) {
	if !changed {
		return
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *Coordination) publishViews(ctx context.Context) {
	callOnChanges(ctx, c.changed, minPublishInterval, func() {
		c.mutex.Lock()
		monitored := c.monitor.View()
		c.mutex.Unlock()
		c.hub.Advance(view.MembersTopic(c.identity.Node), c.publisher, monitored)
	})
}

// mergeOnChanges merges the observations again after each change of them.
func (c *Coordination) mergeOnChanges(ctx context.Context) {
	changes, cancel := c.hub.Subscribe(view.TopicMembers)
	defer cancel()
	callOnChanges(ctx, changes, minMergeInterval, c.merge)
}

// callOnChanges calls a function after changes, at most once per minInterval.
func callOnChanges(ctx context.Context, changes <-chan struct{}, minInterval time.Duration, call func()) {
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
		case <-time.After(minInterval):
		}
	}
}

// trustedObservations returns the observations that count. The hubs retain the observation
// of a monitor that no longer exists, and possibly no process knows that it is gone. So an
// observation counts only while its monitor is a member that still replies to this one.
func (c *Coordination) trustedObservations() []view.Members {
	members := c.members()
	var trusted []view.Members
	for _, update := range c.hub.All(view.TopicMembers) {
		observation, ok := update.Payload.(view.Members)
		if ok && c.isTrusted(observation, members) {
			trusted = append(trusted, observation)
		}
	}
	return trusted
}

func (c *Coordination) isTrusted(observation view.Members, members []string) bool {
	switch {
	case observation.Monitor == c.identity.Node, observation.Address == "":
		return true
	default:
		return slices.Contains(members, observation.Address) && time.Since(c.lastContact(observation.Address)) < observationTTL
	}
}

// trustedMonitors returns the names of the monitors whose observations currently count.
func (c *Coordination) trustedMonitors() []string {
	var names []string
	for _, observation := range c.trustedObservations() {
		names = append(names, observation.Monitor)
	}
	return names
}

// merge updates the merged states from the trusted observations, and passes
// the states merged from the other monitors to this one.
func (c *Coordination) merge() {
	all := c.trustedObservations()
	var trusted []string
	var others []view.Members
	for _, observation := range all {
		trusted = append(trusted, observation.Monitor)
		if observation.Monitor != c.identity.Node {
			others = append(others, observation)
		}
	}
	merged, othersMerged := membership.Merge(all), membership.Merge(others)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.merged, c.trusted = merged, trusted
	c.monitor.SetOthers(othersMerged)
}
