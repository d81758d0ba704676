package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/network"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/view"
)

const (
	defaultPeriod        = time.Second
	leaveTimeout         = 300 * time.Millisecond
	broadcastAfterRounds = 2   // rounds without any reply, after which heartbeats go to all members
	maxPeriodJitter      = 0.1 // fraction of the period by which a heartbeat may be early
)

// Period returns the time between two heartbeats.
func Period(s *settings.Settings) time.Duration {
	if s.HeartbeatMs <= 0 {
		return defaultPeriod
	}
	return time.Duration(s.HeartbeatMs) * time.Millisecond
}

// Heartbeats sends the heartbeats of one process.
type Heartbeats struct {
	network  network.Network
	period   time.Duration
	monitors int
	log      logr.Logger
	done     chan struct{}

	mutex            sync.Mutex
	heartbeat        Heartbeat
	members          []string
	clients          map[string]*transport.Client
	unansweredRounds int // rounds since the last reply
}

// StartHeartbeats starts a goroutine that sends heartbeats until the context is
// done, followed by a leave notice.
func StartHeartbeats(
	ctx context.Context, s *settings.Settings, identity protocol.Identity, details Details, log logr.Logger,
) *Heartbeats {
	h := &Heartbeats{
		network: s.Net(), period: Period(s), monitors: s.FaultTolerance.Machines + 1, log: log, done: make(chan struct{}),
		heartbeat: Heartbeat{Identity: identity, Details: details},
		members:   s.ControlMembers(), clients: map[string]*transport.Client{},
	}
	go h.run(ctx)
	return h
}

// Done returns a channel that is closed when the last heartbeat has been sent.
func (h *Heartbeats) Done() <-chan struct{} { return h.done }

// SetDetails replaces the details that further heartbeats announce.
func (h *Heartbeats) SetDetails(details Details) {
	h.mutex.Lock()
	h.heartbeat.Details = details
	h.mutex.Unlock()
}

// SetMembers replaces the control members that monitors are chosen from. Call
// it when the settings or the configuration list different members.
func (h *Heartbeats) SetMembers(members []string) {
	if len(members) == 0 {
		return
	}
	h.mutex.Lock()
	h.members = slices.Clone(members)
	h.mutex.Unlock()
}

func (h *Heartbeats) run(ctx context.Context) {
	defer close(h.done)
	for ctx.Err() == nil {
		h.sendAll(ctx, h.period)
		pause(ctx, h.period-time.Duration(rand.Float64()*maxPeriodJitter*float64(h.period)))
	}
	h.leave()
}

// sendAll starts sending one heartbeat to each monitor; it does not wait for replies.
func (h *Heartbeats) sendAll(ctx context.Context, timeout time.Duration) *sync.WaitGroup {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	heartbeat := h.heartbeat
	heartbeat.MembersDigest = Digest(h.members)
	chosen := Monitors(view.Key(heartbeat.Identity), h.members, h.monitorCount())
	h.unansweredRounds++
	for address, client := range h.clients {
		if !slices.Contains(chosen, address) {
			client.Close()
			delete(h.clients, address)
		}
	}
	var calls sync.WaitGroup
	for _, address := range chosen {
		client := h.clients[address]
		if client == nil {
			client = transport.NewClientOn(h.network, heartbeat.Identity, address)
			h.clients[address] = client
		}
		calls.Go(func() { h.send(ctx, client, heartbeat, timeout) })
	}
	return &calls
}

// monitorCount returns how many monitors get the next heartbeats. When the regular
// monitors do not reply, heartbeats go to all known members: the regular ones may have
// been removed, and any remaining member replies with the current list. The caller holds
// the mutex.
func (h *Heartbeats) monitorCount() int {
	if h.unansweredRounds >= broadcastAfterRounds {
		return len(h.members)
	}
	return h.monitors
}

func (h *Heartbeats) send(ctx context.Context, client *transport.Client, heartbeat Heartbeat, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := transport.Call[HeartbeatReply](ctx, client, heartbeat)
	if err != nil || heartbeat.Leaving {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.unansweredRounds = 0
	h.heartbeat = h.heartbeat.afterReply(reply)
	if len(reply.Members) > 0 && Digest(reply.Members) != Digest(h.members) {
		h.members = reply.Members
		h.log.Info("control members changed", "members", reply.Members)
	}
}

// afterReply returns the next heartbeat after a reply. If monitors suspect the
// process, the heartbeat refutes the suspicion by a newer incarnation or refutation.
func (b Heartbeat) afterReply(reply HeartbeatReply) Heartbeat {
	switch {
	case !reply.Suspected || reply.Incarnation < b.Identity.Incarnation:
	case reply.Incarnation > b.Identity.Incarnation:
		// An earlier process had a larger incarnation: the wall clock was set back.
		b.Identity.Incarnation = reply.Incarnation + 1
		b.Refutation = 0
	case reply.Refutation >= b.Refutation:
		b.Refutation = reply.Refutation + 1
	}
	return b
}

func (h *Heartbeats) leave() {
	h.mutex.Lock()
	h.heartbeat.Leaving = true
	h.mutex.Unlock()
	h.sendAll(context.Background(), leaveTimeout).Wait()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, client := range h.clients {
		client.Close()
	}
}

// pause waits for a duration or until the context is done.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
