// Package agent links a machine's dispatcher to the control plane. It pulls
// configuration, senders and members from a few control members, serves them to
// the dispatcher over loopback, and sends heartbeats. While the control members
// do not respond, it reads the platform's list of senders itself at a low rate.
package agent

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"yardwharf/internal/service/distance"
	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/membership"
	"yardwharf/internal/service/placement"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/view"
)

// Role is the agent's role name in identities.
const Role = "agent"

// Class is the error class of this package.
var Class = errs.Class("agent")

const (
	primaryPollWait       = 800 * time.Millisecond // long poll of the first source; bounds the age of confirmations
	settingsCheckInterval = time.Second            // between checks of the settings file
	sparePollWait         = 4 * time.Second        // long poll of the other sources
)

// subscribedTopics are the topics that agents and dispatchers subscribe to.
var subscribedTopics = []string{view.TopicConfiguration, view.TopicSenders, view.TopicMembers}

// Agent is the running role.
type Agent struct {
	identity  protocol.Identity
	publisher string
	log       logr.Logger
	settings  atomic.Pointer[settings.Settings]
	upstream  *distribution.Hub // values pulled from the control members
	feed      *distribution.Hub // values served to the dispatcher

	mutex   sync.Mutex
	overlay overlay
}

// New returns an agent; Run starts it.
func New(s *settings.Settings, log logr.Logger) *Agent {
	now := time.Now()
	identity := s.Identity(Role, protocol.AgentPort)
	a := &Agent{
		identity: identity, publisher: identity.Node + "@" + strconv.FormatUint(identity.Incarnation, 10),
		log: log, upstream: distribution.NewHub(log), feed: distribution.NewHub(log),
		overlay: overlay{started: now},
	}
	a.settings.Store(s)
	return a
}

// Run runs the role until the context ends. It applies new settings when the
// file changes or the process receives SIGHUP.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	a := New(s, log)
	go s.Watch(ctx, settingsCheckInterval, a.Reload, log)
	return a.Run(ctx)
}

// Reload replaces the settings.
func (a *Agent) Reload(s *settings.Settings) { a.settings.Store(s) }

// Run runs the agent until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	s := a.settings.Load()
	listener, err := s.Net().Listen(s.AgentFeed())
	if err != nil {
		return Class.Wrap(err)
	}
	server := transport.NewServer(a.identity, a.log)
	a.feed.Register(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	defer server.Close()

	stopStatus, err := a.serveStatus(time.Now())
	if err != nil {
		return err
	}
	defer stopStatus()

	puller := distribution.NewPuller(a.upstream, distribution.PullerOptions{
		Network: s.Net(), Identity: a.identity, Sources: a.sources, Connections: pulledSourceCount(s),
		Topics: subscribedTopics, Wait: primaryPollWait, SpareWait: sparePollWait,
	}, a.log)
	go puller.Run(ctx)
	heartbeats := membership.StartHeartbeats(ctx, s, a.identity, membership.Details{Class: s.MachineClass}, a.log)
	go a.relay(ctx, heartbeats)
	if s.CloudAPI.Address != "" {
		go a.readWhenStale(ctx)
	}
	select {
	case <-ctx.Done():
		<-heartbeats.Done()
		return nil
	case err := <-served:
		return Class.Wrap(err)
	}
}

// sources returns the addresses of the control members: first the configured members, nearest first, then the
// seeds that are not among them. If a member in another region exists, one of the pulled sources is in another
// region, because a network partition may separate a whole region from the majority.
func (a *Agent) sources() []string {
	s := a.settings.Load()
	order := func(addresses []string) []string { return placement.Order(a.identity.Node, addresses) }
	zones := distance.Map(s.Zones)
	var members [distance.OtherRegion + 1][]string
	known := map[string]bool{}
	configuration, _, _ := distribution.Payload[view.Configuration](a.upstream, view.TopicConfiguration)
	for _, member := range configuration.Members {
		known[member.Address] = true
		distanceToMember := zones.Between(s.Zone, member.Zone)
		members[distanceToMember] = append(members[distanceToMember], member.Address)
	}
	near := append(order(members[distance.SameZone]), order(members[distance.SameRegion])...)
	far := order(members[distance.OtherRegion])
	if pulled := pulledSourceCount(s); len(near) >= pulled && len(far) > 0 {
		near = slices.Insert(near, pulled-1, far[0])
		far = far[1:]
	}
	seeds := slices.DeleteFunc(s.ControlMembers(), func(seed string) bool { return known[seed] })
	return append(append(near, far...), order(seeds)...)
}

// pulledSourceCount returns the number of control members that an agent pulls from.
func pulledSourceCount(s *settings.Settings) int { return s.FaultTolerance.Machines + 1 }

// relay copies updates from the control members to the dispatcher's feed.
func (a *Agent) relay(ctx context.Context, heartbeats *membership.Heartbeats) {
	changes, cancel := a.upstream.Subscribe(subscribedTopics...)
	defer cancel()
	for {
		for _, update := range a.upstream.All("") {
			if update.Topic != view.TopicSenders {
				a.feed.Publish(update.Topic, update.Version, update.Payload)
			}
		}
		heartbeats.SetMembers(a.sources())
		a.publishSenders(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
}

// publishSenders publishes the best list of senders to the dispatcher if it
// differs from the last published one.
func (a *Agent) publishSenders(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.refreshControl(now)
	best, ok := a.overlay.current(now)
	if !ok {
		return
	}
	last, held, published := distribution.Payload[view.Senders](a.feed, view.TopicSenders)
	next := best.senders.After(now.Sub(best.madeAt))
	if published && view.DifferenceOf(last.List, next.List, held.Age).Empty() {
		return
	}
	a.feed.Advance(view.TopicSenders, a.publisher, view.Senders{List: next.List})
}

// refreshControl updates the overlay with the control members' latest list.
func (a *Agent) refreshControl(now time.Time) {
	senders, update, ok := distribution.Payload[view.Senders](a.upstream, view.TopicSenders)
	if !ok {
		return
	}
	madeAt := now.Add(-update.Age)
	confirmed, ok := a.upstream.Confirmed(view.TopicSenders)
	if !ok {
		confirmed = distribution.Confirmed{At: madeAt}
	}
	a.overlay.updateControl(sendersSnapshot{
		senders: senders, madeAt: madeAt, currentAt: confirmed.At, dueAt: confirmed.At.Add(confirmed.Interval),
	})
}
