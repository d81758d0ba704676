package distribution

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/journal"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

const (
	historySize   = 16 // earlier payloads of a topic that differences may start from
	waitMost      = 10 * time.Second
	reassertEvery = 300 * time.Millisecond
	topicsMost    = 4096 // more are not learned from the vectors of others
)

// Hub holds the newest update of each topic and serves it to those who pull.
// Its methods may be called by many goroutines.
type Hub struct {
	log logr.Logger
	now func() time.Time

	mutex   sync.Mutex
	topics  map[string]*topic
	waiters map[*waiter]struct{}
	onPull  func(protocol.Identity)
}

// Payload returns the payload of a topic's newest update, with the update, or
// false where there is none of this type.
func Payload[Value any](h *Hub, topicName string) (Value, Update, bool) {
	update, _ := h.Latest(topicName)
	value, ok := update.Payload.(Value)
	return value, update, ok
}

// NewHub returns a hub without topics.
func NewHub(log logr.Logger) *Hub { return NewHubWithClock(log, time.Now) }

// NewHubWithClock returns a hub that reads a given steady clock.
func NewHubWithClock(log logr.Logger, now func() time.Time) *Hub {
	return &Hub{
		log: log, now: now,
		topics: map[string]*topic{}, waiters: map[*waiter]struct{}{},
		onPull: func(protocol.Identity) {},
	}
}

// topic is the state of one topic. A topic that others have named in their
// vectors may exist before its first payload.
type topic struct {
	current    retained
	confirmed  Confirmed // zero where nobody says that the payload is current
	publisher  string    // who published it through this hub; empty: it came from elsewhere
	seen       Version   // newest version known to exist anywhere
	reasserted time.Time
	history    *journal.Journal[retained]
	cached     map[Version]any // differences to the present payload
}

// Confirmed says when a payload was last known to be current, and after what
// time from then the next confirmation is due.
type Confirmed struct {
	At    time.Time
	Every time.Duration
}

type retained struct {
	version Version
	payload any
	at      time.Time
}

// waiter is a pull or a subscription that waits for a change.
type waiter struct {
	prefixes []string
	changed  chan struct{} // capacity 1
}

func (w *waiter) notify() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Register makes a server answer pulls from this hub.
func (h *Hub) Register(server *transport.Server) {
	told := newToldVectors()
	transport.Handle(server, func(ctx context.Context, peer *transport.Peer, request Pull) (PullReply, error) {
		h.mutex.Lock()
		onPull := h.onPull
		h.mutex.Unlock()
		onPull(peer.Identity)
		if !told.complete(ctx, peer, &request) {
			return PullReply{Unknown: true}, nil
		}
		return h.Pull(ctx, request)
	})
}

// OnPull sets a function that is called with the identity of each caller.
func (h *Hub) OnPull(call func(protocol.Identity)) {
	h.mutex.Lock()
	h.onPull = call
	h.mutex.Unlock()
}

// Publish takes a whole payload of the present moment under a version. It
// reports false where the version is not newer than what is held.
func (h *Hub) Publish(topicName string, version Version, payload any) bool {
	return h.Take(Update{Topic: topicName, Version: version, Payload: payload}, h.now())
}

// Take takes an update whose payload was made at a given moment. It reports
// false where it is not newer than what is held, or starts from a version that
// is not held.
func (h *Hub) Take(update Update, at time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	t := h.topic(update.Topic)
	if !update.Version.Newer(t.current.version) {
		return false
	}
	payload := update.Payload
	if update.Base != (Version{}) {
		difference, ok := payload.(Difference)
		if !ok || update.Base != t.current.version {
			return false
		}
		if payload, ok = difference.Apply(t.current.payload, at.Sub(t.current.at)); !ok {
			return false
		}
	}
	t.publisher, t.confirmed = "", Confirmed{}
	h.replace(update.Topic, t, retained{update.Version, payload, at})
	return true
}

// Advance publishes a payload of the present moment under a version that is
// newer than all that have been seen. The publisher's name must be another
// one in each life of its process.
func (h *Hub) Advance(topicName, publisher string, payload any) Version {
	return h.AdvanceConfirmed(topicName, publisher, payload, Confirmed{})
}

// AdvanceConfirmed is Advance with a confirmation that goes with the payload.
func (h *Hub) AdvanceConfirmed(topicName, publisher string, payload any, confirmed Confirmed) Version {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	t := h.topic(topicName)
	version := t.next(publisher)
	t.publisher, t.confirmed = publisher, confirmed
	h.replace(topicName, t, retained{version, payload, h.now()})
	return version
}

// next returns the version for the publisher's next payload.
func (t *topic) next(publisher string) Version {
	if t.publisher == publisher && !t.seen.Newer(t.current.version) {
		return Version{t.current.version.Epoch, t.current.version.Counter + 1}
	}
	return nextEpoch(t.seen, publisher)
}

func (h *Hub) topic(name string) *topic {
	t := h.topics[name]
	if t == nil {
		t = &topic{history: journal.New[retained](historySize)}
		h.topics[name] = t
	}
	return t
}

// replace sets a topic's payload and tells those who wait.
func (h *Hub) replace(name string, t *topic, next retained) {
	if t.current.payload != nil {
		t.history.Append(t.current)
	}
	t.current = next
	t.cached = nil
	t.see(next.version)
	for w := range h.waiters {
		if wanted(name, w.prefixes) {
			w.notify()
		}
	}
}

func (t *topic) see(version Version) {
	if version.Newer(t.seen) {
		t.seen = version
	}
}

// Confirm notes that the payload which this hub's publisher last advanced was
// current at a given moment.
func (h *Hub) Confirm(topicName, publisher string, confirmed Confirmed) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if t := h.topics[topicName]; t != nil && t.publisher == publisher {
		t.confirm(confirmed)
	}
}

// TakeConfirmation notes that a version was current at a given moment, as
// another hub says. It has no effect where another version is held.
func (h *Hub) TakeConfirmation(topicName string, version Version, confirmed Confirmed) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if t := h.topics[topicName]; t != nil && t.current.payload != nil && t.current.version == version {
		t.confirm(confirmed)
	}
}

func (t *topic) confirm(confirmed Confirmed) {
	if confirmed.At.After(t.confirmed.At) {
		t.confirmed = confirmed
	}
}

// Confirmed returns when the payload of a topic was last known to be current.
func (h *Hub) Confirmed(topicName string) (Confirmed, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	t := h.topics[topicName]
	if t == nil || t.confirmed.At.IsZero() {
		return Confirmed{}, false
	}
	return t.confirmed, true
}

// Owned reports whether the present payload was advanced by the publisher.
func (h *Hub) Owned(topicName, publisher string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	t := h.topics[topicName]
	return t != nil && t.current.payload != nil && t.publisher == publisher
}

// Latest returns the newest update of a topic, always whole.
func (h *Hub) Latest(topicName string) (Update, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	t := h.topics[topicName]
	if t == nil || t.current.payload == nil {
		return Update{}, false
	}
	return t.whole(topicName, h.now()), true
}

// All returns the newest updates of the topics with a prefix, in their order.
func (h *Hub) All(prefix string) []Update {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var updates []Update
	for _, name := range h.names([]string{prefix}) {
		updates = append(updates, h.topics[name].whole(name, h.now()))
	}
	return updates
}

// Vector returns the versions held of the topics with one of the prefixes.
func (h *Hub) Vector(prefixes []string) map[string]Version {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	vector := map[string]Version{}
	for _, name := range h.names(prefixes) {
		vector[name] = h.topics[name].current.version
	}
	return vector
}

// names lists the wanted topics that have a payload.
func (h *Hub) names(prefixes []string) []string {
	var names []string
	for name, t := range h.topics {
		if t.current.payload != nil && wanted(name, prefixes) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func wanted(topicName string, prefixes []string) bool {
	if len(prefixes) == 0 {
		return true
	}
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(topicName, prefix) })
}

// Subscribe returns a channel that receives after changes of topics with one
// of the prefixes; several changes may make one receipt. Cancel ends it.
func (h *Hub) Subscribe(prefixes ...string) (changes <-chan struct{}, cancel func()) {
	w := h.wait(prefixes)
	return w.changed, func() { h.stopWaiting(w) }
}

func (h *Hub) wait(prefixes []string) *waiter {
	w := &waiter{prefixes: prefixes, changed: make(chan struct{}, 1)}
	h.mutex.Lock()
	h.waiters[w] = struct{}{}
	h.mutex.Unlock()
	return w
}

func (h *Hub) stopWaiting(w *waiter) {
	h.mutex.Lock()
	delete(h.waiters, w)
	h.mutex.Unlock()
}
