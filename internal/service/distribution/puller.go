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
	defaultWait    = time.Second
	defaultSilence = 800 * time.Millisecond
	sourcesEvery   = 2 * time.Second // between looks at the list of sources
	fruitlessPause = 100 * time.Millisecond
	otherSource    = 60 * time.Millisecond // until a spare source sends what the first one has not brought
)

// PullerOptions say from where and what a Puller pulls.
type PullerOptions struct {
	Network     network.Network // nil: TCP
	Identity    protocol.Identity
	Sources     func() []string // addresses, the preferred ones first
	Connections int             // long polls open at once; 0: one for each source
	Topics      []string        // prefixes; empty: all
	Wait        time.Duration   // of the first long poll
	SpareWait   time.Duration   // of the others; 0: like the first
	Silence     time.Duration   // beyond the wait after which a source counts as failed
}

// Puller keeps long polls open to a few sources, takes others in their place
// when they fail or fall silent, and feeds a hub.
type Puller struct {
	hub     *Hub
	options PullerOptions
	log     logr.Logger

	mutex    sync.Mutex
	rotation *rotation
	clients  map[string]*transport.Client
	told     map[string]map[string]Version // vectors that sources have answered last
	running  map[int]bool
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
	if options.Silence == 0 {
		options.Silence = defaultSilence
	}
	return &Puller{
		hub: hub, options: options, log: log,
		rotation: newRotation(), clients: map[string]*transport.Client{}, told: map[string]map[string]Version{}, running: map[int]bool{},
	}
}

// Contact returns when a source last answered.
func (p *Puller) Contact(source string) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.rotation.source(source).contact
}

// Run pulls until the context ends.
func (p *Puller) Run(ctx context.Context) {
	var slots sync.WaitGroup
	defer p.closeClients(nil)
	defer slots.Wait()
	for ctx.Err() == nil {
		addresses := p.options.Sources()
		for slot := range p.slots(addresses) {
			if p.start(slot) {
				slots.Go(func() { p.runSlot(ctx, slot) })
			}
		}
		p.closeClients(addresses)
		pause(ctx, sourcesEvery)
	}
}

// slots returns how many long polls to keep open.
func (p *Puller) slots(addresses []string) int {
	if p.options.Connections > 0 {
		return min(p.options.Connections, len(addresses))
	}
	return len(addresses)
}

func (p *Puller) start(slot int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running[slot] {
		return false
	}
	p.running[slot] = true
	return true
}

// runSlot keeps one long poll open, until there are fewer sources than slots.
func (p *Puller) runSlot(ctx context.Context, slot int) {
	defer p.stopSlot(slot)
	for ctx.Err() == nil {
		addresses := p.options.Sources()
		if slot >= p.slots(addresses) {
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
	delete(p.running, slot)
}

// pull makes one long poll. The first source sends what is new; the others tell that there is something
// new, and are asked for it only where the first has not brought it soon after.
func (p *Puller) pull(ctx context.Context, slot int, address string) {
	wait := p.options.Wait
	if slot > 0 {
		wait = p.options.SpareWait
	}
	reply, taken := p.call(ctx, slot, address, Pull{Wait: wait, Brief: slot > 0})
	if reply != nil && p.hub.lacks(reply.Newer) {
		pause(ctx, otherSource)
		if p.hub.lacks(reply.Newer) {
			reply, taken = p.call(ctx, slot, address, Pull{})
		}
	}
	if reply != nil && taken == 0 && reply.Held < wait/2 {
		pause(ctx, fruitlessPause)
	}
}

// call sends one request for all that is newer than what is held, and takes in what it brings. The reply
// is nil where none came.
func (p *Puller) call(ctx context.Context, slot int, address string, request Pull) (reply *PullReply, taken int) {
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+p.options.Silence)
	defer cancel()
	vector := p.hub.Vector(p.options.Topics)
	request.Vector, request.Topics = vector, p.options.Topics
	request.Shorten(p.takeTold(address))
	sent := time.Now()
	answer, err := transport.Call[PullReply](callCtx, p.client(address), request)
	if err == nil && answer.Unknown { // the connection is another one, or the source has restarted
		request.Vector, request.Base = vector, 0
		answer, err = transport.Call[PullReply](callCtx, p.client(address), request)
	}
	received := time.Now()
	if ctx.Err() != nil {
		return nil, 0
	}
	p.note(slot, address, received, err)
	if err != nil {
		return nil, 0
	}
	p.noteTold(address, vector)
	return &answer, p.hub.takeReply(answer, received, received.Sub(sent)-answer.Held)
}

// takeTold returns the vector that a source has answered last. Until it answers the next one it is not relied on.
func (p *Puller) takeTold(address string) map[string]Version {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	vector := p.told[address]
	delete(p.told, address)
	return vector
}

func (p *Puller) noteTold(address string, vector map[string]Version) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.told[address] = vector
}

// lacks reports whether one of the versions is newer than what is held.
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

// note tells the rotation how a long poll ended, and logs the first failure.
func (p *Puller) note(slot int, address string, now time.Time, err error) {
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

// takeReply takes what a long poll has brought and returns how many updates
// were new. Transit is a bound of the time that the reply spent on its way; by
// it a reply from a slow link counts as older than it says.
func (h *Hub) takeReply(reply PullReply, received time.Time, transit time.Duration) int {
	transit = max(0, transit)
	taken := 0
	for _, update := range reply.Updates {
		if h.Take(update, received.Add(-update.Age-transit)) {
			taken++
		}
	}
	for name, confirmation := range reply.Confirmations {
		confirmed := Confirmed{At: received.Add(-confirmation.Age - transit), Every: confirmation.Every}
		h.TakeConfirmation(name, confirmation.Version, confirmed)
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

// closeClients closes the connections to all but the given addresses.
func (p *Puller) closeClients(keep []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, client := range p.clients {
		if !slices.Contains(keep, address) {
			client.Close()
			delete(p.clients, address)
			delete(p.told, address)
		}
	}
	p.rotation.forget(keep)
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
