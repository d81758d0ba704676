package hollow

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/agent"
	"yardwharf/internal/service/coordination"
	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/membership"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/view"
)

const (
	socketMembers    = 3 // control members with sockets
	socketWarmUp     = 500 * time.Millisecond
	changeMost       = 10 * time.Second
	probeCalls       = 2000
	listTransferMost = 20 * time.Second
)

// socketResult is what processes with real connections have shown.
type socketResult struct {
	Agents       int
	BytesPerS    float64       // of an agent, both directions
	InForce      time.Duration // of a configuration at the last agent
	CallCost     time.Duration // processor time of a call, both ends and the kernel
	ListTransfer string        // how the first pull of the whole list ended
}

// countingListener counts the bytes of the connections that agents make.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}

// countingConn counts what it carries if its first frame, in which the caller
// names itself, comes from an agent.
type countingConn struct {
	net.Conn
	bytes   *atomic.Int64
	greeted bool // read and set by the connection's only reader
	counts  atomic.Bool
}

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.greeted && n > 0 {
		c.greeted = true
		c.counts.Store(bytes.Contains(p[:n], []byte(agent.Role)))
	}
	c.count(n)
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

func (c *countingConn) count(n int) {
	if c.counts.Load() {
		c.bytes.Add(int64(n))
	}
}

// socketMember is a control member that serves on loopback.
type socketMember struct {
	identity protocol.Identity
	hub      *distribution.Hub
	server   *transport.Server
}

// socketFleet is a few control members and agents with real connections.
type socketFleet struct {
	size    Size
	log     logr.Logger
	members []*socketMember
	bytes   atomic.Int64 // between agents and control members
	running sync.WaitGroup
}

// measureSockets runs a few real processes in real time. Their topics have the
// size that a whole fleet gives them.
func measureSockets(ctx context.Context, size Size) (socketResult, error) {
	ctx, stop := context.WithCancel(ctx)
	f := &socketFleet{size: size, log: logr.Discard()}
	defer f.running.Wait()
	defer f.close()
	defer stop()
	if err := f.startMembers(ctx); err != nil {
		return socketResult{}, err
	}
	f.publishAll(min(size.Destinations, socketsListMost))
	hubs := f.startAgents(ctx)
	result := socketResult{Agents: len(hubs)}
	if _, err := f.waitForAll(ctx, hubs, 1); err != nil {
		return result, err
	}
	pause(ctx, socketWarmUp)
	result.BytesPerS = f.bytesPerS(ctx, size.SocketTime) / float64(len(hubs))
	began := time.Now()
	for _, member := range f.members {
		member.hub.Publish(view.TopicConfiguration, distribution.Version{Epoch: 1, Counter: 2}, f.configuration(2))
	}
	last, err := f.waitForAll(ctx, hubs, 2)
	if err != nil {
		return result, err
	}
	result.InForce = last.Sub(began)
	result.CallCost = f.callCost(ctx)
	result.ListTransfer = f.listTransfer(ctx)
	return result, nil
}

// bytesPerS measures the traffic of all agents for a time.
func (f *socketFleet) bytesPerS(ctx context.Context, length time.Duration) float64 {
	before, began := f.bytes.Load(), time.Now()
	pause(ctx, length)
	return float64(f.bytes.Load()-before) / time.Since(began).Seconds()
}

func (f *socketFleet) startMembers(ctx context.Context) error {
	var listeners []net.Listener
	for range socketMembers {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return Class.Wrap(err)
		}
		listeners = append(listeners, listener)
	}
	addresses := func() []string {
		var all []string
		for _, listener := range listeners {
			all = append(all, listener.Addr().String())
		}
		return all
	}
	for i, listener := range listeners {
		identity := inOneZone(controlIdentity(i))
		identity.Address = listener.Addr().String()
		member := &socketMember{identity: identity, hub: distribution.NewHub(f.log), server: transport.NewServer(identity, f.log)}
		coordination.Attach(ctx, f.settings(), identity, member.server, member.hub, addresses, f.log)
		f.members = append(f.members, member)
		counted := countingListener{listener, &f.bytes}
		f.running.Go(func() { _ = member.server.Serve(counted) })
	}
	return nil
}

func (f *socketFleet) settings() *settings.Settings {
	return &settings.Settings{
		HeartbeatMs:    int(heartbeatPeriod / time.Millisecond),
		FaultTolerance: settings.FaultTolerance{Machines: f.size.Tolerated},
		InternalPorts:  []int{1, 16},
	}
}

func (f *socketFleet) close() {
	for _, member := range f.members {
		member.server.Close()
	}
}

func (f *socketFleet) configuration(revision int64) view.Configuration {
	return configurationPayload(f.size, uint64(revision), revision, rawConfiguration(revision, f.size.Routes()))
}

// publishAll gives all members the topics of a whole fleet. The views of the
// fleet's monitors stand under names of their own, so that nobody replaces them.
func (f *socketFleet) publishAll(listed int) {
	list := destinations(listed, rand.New(rand.NewPCG(3, 4)))
	version := distribution.Version{Epoch: 1, Counter: 1}
	views := monitorViews(f.size)
	for _, member := range f.members {
		member.hub.Publish(view.TopicConfiguration, version, f.configuration(1))
		member.hub.Publish(view.TopicSenders, version, view.Senders{List: list})
		for _, members := range views {
			members.Monitor = "fleet-" + members.Monitor
			member.hub.Publish(view.MembersTopic(members.Monitor), version, members)
		}
	}
}

// startAgents starts the agents' pullers and heartbeats.
func (f *socketFleet) startAgents(ctx context.Context) []*distribution.Hub {
	var addresses []string
	for _, member := range f.members {
		addresses = append(addresses, member.identity.Address)
	}
	var hubs []*distribution.Hub
	for i := range f.size.Sockets {
		identity := inOneZone(agentIdentity(f.size.Dispatchers + i))
		hub := distribution.NewHub(f.log)
		hubs = append(hubs, hub)
		sources := append(append([]string(nil), addresses[i%len(addresses):]...), addresses[:i%len(addresses)]...)
		puller := distribution.NewPuller(hub, distribution.PullerOptions{
			Identity: identity, Sources: func() []string { return sources }, Connections: f.size.Tolerated + 1,
			Topics: agentTopics, Wait: controlWait, SpareWait: spareWait,
		}, f.log)
		f.running.Go(func() { puller.Run(ctx) })
		beats := membership.StartHeartbeats(ctx, f.settings(), identity, membership.Details{Class: "edge"}, f.log)
		beats.SetMembers(addresses)
		f.running.Go(func() { <-beats.Done() })
	}
	return hubs
}

// waitForAll waits until all hubs have a version of the configuration.
func (f *socketFleet) waitForAll(ctx context.Context, hubs []*distribution.Hub, counter uint64) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, changeMost)
	defer cancel()
	var last time.Time
	for _, hub := range hubs {
		changes, unsubscribe := hub.Subscribe(view.TopicConfiguration)
		for {
			update, held := hub.Latest(view.TopicConfiguration)
			if held && update.Version.Counter >= counter {
				break
			}
			select {
			case <-changes:
			case <-ctx.Done():
				unsubscribe()
				return last, Class.New("a configuration did not reach all agents with sockets within %v", changeMost)
			}
		}
		unsubscribe()
		last = time.Now()
	}
	return last, nil
}

// callCost returns the processor time of one heartbeat with its answer over a
// real connection, of both ends.
func (f *socketFleet) callCost(ctx context.Context) time.Duration {
	identity := inOneZone(agentIdentity(f.size.Dispatchers + f.size.Sockets))
	client := transport.NewClient(identity, f.members[0].identity.Address)
	defer client.Close()
	beat := membership.Heartbeat{Identity: identity}
	began, calls := processTime(), 0
	for range probeCalls {
		if _, err := transport.Call[membership.HeartbeatReply](ctx, client, beat); err == nil {
			calls++
		}
	}
	if calls == 0 {
		return 0
	}
	return (processTime() - began) / time.Duration(calls)
}

// listTransfer tells whether a process that starts can get the whole list of
// destinations over a connection.
func (f *socketFleet) listTransfer(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, listTransferMost)
	defer cancel()
	member := f.members[0]
	list := destinations(f.size.Destinations, rand.New(rand.NewPCG(3, 4)))
	member.hub.Publish(view.TopicSenders, distribution.Version{Epoch: 1, Counter: 2}, view.Senders{List: list})
	client := transport.NewClient(inOneZone(agentIdentity(0)), member.identity.Address)
	defer client.Close()
	reply, err := transport.Call[distribution.PullReply](ctx, client, distribution.Pull{Topics: agentTopics})
	if err != nil {
		return "fails: " + err.Error()
	}
	for _, update := range reply.Updates {
		if senders, ok := update.Payload.(view.Senders); ok && len(senders.List) == len(list) {
			return "works"
		}
	}
	return "fails: the list did not come"
}

// pause waits for a time or the context's end.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// inOneZone moves a process to the zone of all processes with sockets: between zones connections are
// compressed, and the simulation counts bytes before that.
func inOneZone(identity protocol.Identity) protocol.Identity {
	identity.Zone = zoneName(0)
	return identity
}
