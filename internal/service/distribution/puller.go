package distribution

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/network"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

const (
	defaultWait           = time.Second
	defaultSilence        = 800 * time.Millisecond
	sourceRefreshInterval = 2 * time.Second // how often the list of sources is read again
	emptyReplyPause       = 100 * time.Millisecond
	sparePullDelay        = 60 * time.Millisecond // how long the first source may lag before an update is pulled from a spare source
)

// PullerOptions configures the sources and topics of a Puller.
type PullerOptions struct {
	Network      network.Network // nil: TCP
	Identity     protocol.Identity
	Sources      func() []string // addresses in order of preference
	Connections  int             // number of concurrent long polls; 0: one for each source
	Topics       []string        // prefixes; empty: all
	Wait         time.Duration   // of the first long poll
	SpareWait    time.Duration   // of the others; 0: like the first
	ReplyTimeout time.Duration   // time beyond the wait after which a source counts as failed
}

// Puller keeps long polls open to a few sources, replaces sources that fail or do
// not reply in time, and applies the updates to a hub.
type Puller struct {
	hub     *Hub
	options PullerOptions
	log     logr.Logger

	mutex        sync.Mutex
	rotation     *rotation
	clients      map[string]*transport.Client
	acknowledged map[string]map[string]Version // the last vector that each source has replied to
	runningSlots map[int]bool
}

// NewPuller returns a puller; Run starts it.
func NewPuller(hub *Hub, options PullerOptions, log logr.Logger) *Puller {
	if options.Network == nil {
		options.Network = network.TCP
	}
	if options.Wait == 0 {
		options.Wait = defaultWait
	}
	if options.SpareWait == 0 {
		options.SpareWait = options.Wait
	}
	if options.ReplyTimeout == 0 {
		options.ReplyTimeout = defaultSilence
	}
	return &Puller{
		hub: hub, options: options, log: log,
		rotation: newRotation(), clients: map[string]*transport.Client{}, acknowledged: map[string]map[string]Version{}, runningSlots: map[int]bool{},
	}
}

// LastReply returns the time of a source's last reply.
func (p *Puller) LastReply(source string) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.rotation.source(source).contact
}

// Run pulls until the context is done.
func (p *Puller) Run(ctx context.Context) {
	var slots sync.WaitGroup
	defer p.closeClients(nil)
	defer slots.Wait()
	for ctx.Err() == nil {
		addresses := p.options.Sources()
		for slot := range p.slotCount(addresses) {
			if p.claimSlot(slot) {
				slots.Go(func() { p.runSlot(ctx, slot) })
			}
		}
		p.closeClients(addresses)
		pause(ctx, sourceRefreshInterval)
	}
}

// slotCount returns the number of long polls to keep open.
func (p *Puller) slotCount(addresses []string) int {
	if p.options.Connections > 0 {
		return min(p.options.Connections, len(addresses))
	}
	return len(addresses)
}

func (p *Puller) claimSlot(slot int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.runningSlots[slot] {
		return false
	}
	p.runningSlots[slot] = true
	return true
}

// runSlot keeps one long poll open until the slot is no longer needed.
func (p *Puller) runSlot(ctx context.Context, slot int) {
	defer p.stopSlot(slot)
	for ctx.Err() == nil {
		addresses := p.options.Sources()
		if slot >= p.slotCount(addresses) {
			return
		}
		p.mutex.Lock()
		address, wait := p.rotation.assign(slot, addresses, time.Now())
		p.mutex.Unlock()
		if address == "" {
			pause(ctx, wait)
			continue
		}
		p.pull(ctx, slot, address)
	}
}

func (p *Puller) stopSlot(slot int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.rotation.assigned, slot)
	delete(p.runningSlots, slot)
}

// pull makes one long poll. The first source sends updates; the spare ones only report newer versions,
// and an update is requested from them only if the first source has not sent it within sparePullDelay.
func (p *Puller) pull(ctx context.Context, slot int, address string) {
	wait := p.options.Wait
	if slot > 0 {
		wait = p.options.SpareWait
	}
	reply, taken := p.call(ctx, slot, address, Pull{Wait: wait, Brief: slot > 0})
	if reply != nil && p.hub.lacks(reply.Newer) {
		pause(ctx, sparePullDelay)
		if p.hub.lacks(reply.Newer) {
			reply, taken = p.call(ctx, slot, address, Pull{})
		}
	}
	if reply != nil && taken == 0 && reply.Held < wait/2 {
		pause(ctx, emptyReplyPause)
	}
}

// call sends one request for everything newer than the held versions, and applies the reply to the hub. It
// returns the reply, nil if there was none, and the number of updates that were new.
func (p *Puller) call(ctx context.Context, slot int, address string, request Pull) (reply *PullReply, taken int) {
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+p.options.ReplyTimeout)
	defer cancel()
	vector := p.hub.Vector(p.options.Topics)
	request.Vector, request.Topics = vector, p.options.Topics
	request.Shorten(p.takeAcknowledged(address))
	sent := time.Now()
	answer, err := transport.Call[PullReply](callCtx, p.client(address), request)
	if err == nil && answer.Unknown { // the connection is new, or the source has restarted
		request.Vector, request.Base = vector, 0
		answer, err = transport.Call[PullReply](callCtx, p.client(address), request)
	}
	received := time.Now()
	if ctx.Err() != nil {
		return nil, 0
	}
	p.recordOutcome(slot, address, received, err)
	if err != nil {
		return nil, 0
	}
	p.recordAcknowledged(address, vector)
	return &answer, p.hub.applyReply(answer, received, received.Sub(sent)-answer.Held)
}

// takeAcknowledged returns and removes the last vector that a source has replied to. It is recorded again with the next reply.
func (p *Puller) takeAcknowledged(address string) map[string]Version {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	vector := p.acknowledged[address]
	delete(p.acknowledged, address)
	return vector
}

func (p *Puller) recordAcknowledged(address string, vector map[string]Version) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.acknowledged[address] = vector
}

// lacks reports whether any of the versions is newer than the held one.
func (h *Hub) lacks(versions map[string]Version) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for name, version := range versions {
		if t := h.topics[name]; t == nil || version.Newer(t.current.version) {
			return true
		}
	}
	return false
}

// recordOutcome reports the outcome of a request to the rotation, and logs the first failure of a source
// that had replied before.
func (p *Puller) recordOutcome(slot int, address string, now time.Time, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err == nil {
		p.rotation.succeeded(address, now)
		return
	}
	p.rotation.failed(slot, address, now, rand.Float64())
	if state := p.rotation.source(address); state.failures == 1 && !state.contact.IsZero() {
		p.log.Info("source of updates lost", "source", address, "cause", err.Error())
	}
}

// applyReply applies the updates and confirmations of a reply and returns the number
// of updates that were new. Transit is an upper bound of the reply's network delay; it
// is added to the stated ages, so that data from a slow link is not taken as too fresh.
func (h *Hub) applyReply(reply PullReply, received time.Time, transit time.Duration) int {
	transit = max(0, transit)
	taken := 0
	for _, update := range reply.Updates {
		if h.ApplyUpdate(update, received.Add(-update.Age-transit)) {
			taken++
		}
	}
	for name, confirmation := range reply.Confirmations {
		confirmed := Confirmed{At: received.Add(-confirmation.Age - transit), Interval: confirmation.Every}
		h.ApplyConfirmation(name, confirmation.Version, confirmed)
	}
	return taken
}

func (p *Puller) client(address string) *transport.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	client := p.clients[address]
	if client == nil {
		client = transport.NewClientOn(p.options.Network, p.options.Identity, address)
		p.clients[address] = client
	}
	return client
}

// closeClients closes the connections to all addresses except those in keep.
func (p *Puller) closeClients(keep []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, client := range p.clients {
		if !slices.Contains(keep, address) {
			client.Close()
			delete(p.clients, address)
			delete(p.acknowledged, address)
		}
	}
	p.rotation.removeUnlisted(keep)
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
