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
	defaultPeriod = time.Second
	leaveTimeout  = 300 * time.Millisecond
	askAllAfter   = 2   // rounds without any reply, after which all members get heartbeats
	periodSpread  = 0.1 // heartbeats come up to this share of the period early
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

	mutex      sync.Mutex
	beat       Heartbeat
	members    []string
	clients    map[string]*transport.Client
	unanswered int // rounds since the last reply
}

// StartHeartbeats sends heartbeats until the context ends, and then says that
// the process leaves. It returns at once.
func StartHeartbeats(
	ctx context.Context, s *settings.Settings, identity protocol.Identity, details Details, log logr.Logger,
) *Heartbeats {
	h := &Heartbeats{
		network: s.Net(), period: Period(s), monitors: s.FaultTolerance.Machines + 1, log: log, done: make(chan struct{}),
		beat:    Heartbeat{Identity: identity, Details: details},
		members: s.ControlMembers(), clients: map[string]*transport.Client{},
	}
	go h.run(ctx)
	return h
}

// Done is closed when the last heartbeat has been sent.
func (h *Heartbeats) Done() <-chan struct{} { return h.done }

// SetDetails changes what the process announces from now on.
func (h *Heartbeats) SetDetails(details Details) {
	h.mutex.Lock()
	h.beat.Details = details
	h.mutex.Unlock()
}

// SetMembers replaces the control members that monitors are chosen from. Call
// it when settings or configuration have brought others.
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
		pause(ctx, h.period-time.Duration(rand.Float64()*periodSpread*float64(h.period)))
	}
	h.leave()
}

// sendAll begins one heartbeat to each monitor; it does not wait for replies.
func (h *Heartbeats) sendAll(ctx context.Context, timeout time.Duration) *sync.WaitGroup {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	beat := h.beat
	beat.MembersDigest = Digest(h.members)
	chosen := Monitors(view.Key(beat.Identity), h.members, h.monitorsNow())
	h.unanswered++
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
			client = transport.NewClientOn(h.network, beat.Identity, address)
			h.clients[address] = client
		}
		calls.Go(func() { h.send(ctx, client, beat, timeout) })
	}
	return &calls
}

// monitorsNow returns how many monitors get the next heartbeats: all, where those that
// should watch the process do not reply. The members that it knows may be gone, and any
// that is left tells the present ones. The mutex is held.
func (h *Heartbeats) monitorsNow() int {
	if h.unanswered >= askAllAfter {
		return len(h.members)
	}
	return h.monitors
}

func (h *Heartbeats) send(ctx context.Context, client *transport.Client, beat Heartbeat, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := transport.Call[HeartbeatReply](ctx, client, beat)
	if err != nil || beat.Leaving {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.unanswered = 0
	h.beat = h.beat.answered(reply)
	if len(reply.Members) > 0 && Digest(reply.Members) != Digest(h.members) {
		h.members = reply.Members
		h.log.Info("control members changed", "members", reply.Members)
	}
}

// answered returns the next heartbeat after a reply: one that contradicts what
// the monitors know of the process, where they suspect it.
func (b Heartbeat) answered(reply HeartbeatReply) Heartbeat {
	switch {
	case !reply.Suspected || reply.Incarnation < b.Identity.Incarnation:
	case reply.Incarnation > b.Identity.Incarnation:
		// An earlier process had a larger one: the time of day was set back.
		b.Identity.Incarnation = reply.Incarnation + 1
		b.Refutation = 0
	case reply.Refutation >= b.Refutation:
		b.Refutation = reply.Refutation + 1
	}
	return b
}

func (h *Heartbeats) leave() {
	h.mutex.Lock()
	h.beat.Leaving = true
	h.mutex.Unlock()
	h.sendAll(context.Background(), leaveTimeout).Wait()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, client := range h.clients {
		client.Close()
	}
}

// pause waits for a time or the context's end.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
