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
	historySize         = 16 // earlier payloads kept per topic as bases of differences
	maxWait             = 10 * time.Second
	minReassertInterval = 300 * time.Millisecond
	maxTopics           = 4096 // topics beyond this are not learned from callers' vectors
)

// Hub holds the newest update of each topic and serves it to pullers. It is safe
// for concurrent use.
type Hub struct {
	log logr.Logger
	now func() time.Time

	mutex   sync.Mutex
	topics  map[string]*topic
	waiters map[*waiter]struct{}
	onPull  func(protocol.Identity)
}

// Payload returns the payload of a topic's newest update together with the update,
// or false if there is no payload of this type.
func Payload[Value any](h *Hub, topicName string) (Value, Update, bool) {
	update, _ := h.Latest(topicName)
	value, ok := update.Payload.(Value)
	return value, update, ok
}

// NewHub returns a hub without topics.
func NewHub(log logr.Logger) *Hub { return NewHubWithClock(log, time.Now) }

// NewHubWithClock returns a hub that uses the given monotonic clock.
func NewHubWithClock(log logr.Logger, now func() time.Time) *Hub {
	return &Hub{
		log: log, now: now,
		topics: map[string]*topic{}, waiters: map[*waiter]struct{}{},
		onPull: func(protocol.Identity) {},
	}
}

// topic is the state of one topic. It may exist before its first payload, if a
// caller's vector has named it.
type topic struct {
	current           versionedPayload
	confirmed         Confirmed // zero if the payload has not been confirmed as current
	publisher         string    // set if the payload was published through this hub; empty if it came from another one
	newestSeen        Version   // newest version known to exist in any hub
	lastReasserted    time.Time
	history           *journal.Journal[versionedPayload]
	cachedDifferences map[Version]any // differences to the current payload, by base version
}

// Confirmed is the time at which a payload was last known to be current, and the
// interval after which the next confirmation is due.
type Confirmed struct {
	At       time.Time
	Interval time.Duration
}

type versionedPayload struct {
	version Version
	payload any
	at      time.Time
}

// waiter is a pull or a subscription waiting for a change.
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

// Register registers the handler for Pull on a server.
func (h *Hub) Register(server *transport.Server) {
	vectors := newConnectionVectors()
	transport.Handle(server, func(ctx context.Context, peer *transport.Peer, request Pull) (PullReply, error) {
		h.mutex.Lock()
		onPull := h.onPull
		h.mutex.Unlock()
		onPull(peer.Identity)
		if !vectors.restoreVector(ctx, peer, &request) {
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

// Publish stores a full payload created now under the given version. It reports
// false if the version is not newer than the held one.
func (h *Hub) Publish(topicName string, version Version, payload any) bool {
	return h.ApplyUpdate(Update{Topic: topicName, Version: version, Payload: payload}, h.now())
}

// ApplyUpdate applies an update whose payload was created at the given time. It reports
// false if the update is not newer than the held version, or is a difference
// from a version other than the held one.
func (h *Hub) ApplyUpdate(update Update, at time.Time) bool {
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
	h.replace(update.Topic, t, versionedPayload{update.Version, payload, at})
	return true
}

// Advance publishes a payload created now under a version newer than all versions
// seen. The publisher's name must be different after each restart of its process.
func (h *Hub) Advance(topicName, publisher string, payload any) Version {
	return h.AdvanceConfirmed(topicName, publisher, payload, Confirmed{})
}

// AdvanceConfirmed is like Advance, with a confirmation of the payload.
func (h *Hub) AdvanceConfirmed(topicName, publisher string, payload any, confirmed Confirmed) Version {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	t := h.topic(topicName)
	version := t.nextVersion(publisher)
	t.publisher, t.confirmed = publisher, confirmed
	h.replace(topicName, t, versionedPayload{version, payload, h.now()})
	return version
}

// nextVersion returns the version for the publisher's next payload.
func (t *topic) nextVersion(publisher string) Version {
	if t.publisher == publisher && !t.newestSeen.Newer(t.current.version) {
		return Version{t.current.version.Epoch, t.current.version.Counter + 1}
	}
	return nextEpoch(t.newestSeen, publisher)
}

func (h *Hub) topic(name string) *topic {
	t := h.topics[name]
	if t == nil {
		t = &topic{history: journal.New[versionedPayload](historySize)}
		h.topics[name] = t
	}
	return t
}

// replace sets a topic's payload and notifies its waiters.
func (h *Hub) replace(name string, t *topic, next versionedPayload) {
	if t.current.payload != nil {
		t.history.Append(t.current)
	}
	t.current = next
	t.cachedDifferences = nil
	t.noteVersion(next.version)
	for w := range h.waiters {
		if hasAnyPrefix(name, w.prefixes) {
			w.notify()
		}
	}
}

func (t *topic) noteVersion(version Version) {
	if version.Newer(t.newestSeen) {
		t.newestSeen = version
	}
}

// Confirm records that the current payload was confirmed as current. It has no
// effect unless the publisher published that payload through this hub.
func (h *Hub) Confirm(topicName, publisher string, confirmed Confirmed) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if t := h.topics[topicName]; t != nil && t.publisher == publisher {
		t.confirm(confirmed)
	}
}

// ApplyConfirmation records a confirmation of a version received from another hub.
// It has no effect if a different version is held.
func (h *Hub) ApplyConfirmation(topicName string, version Version, confirmed Confirmed) {
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

// IsPublisher reports whether the publisher published the current payload through this hub.
func (h *Hub) IsPublisher(topicName, publisher string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	t := h.topics[topicName]
	return t != nil && t.current.payload != nil && t.publisher == publisher
}

// Latest returns the newest update of a topic, always with the full payload.
func (h *Hub) Latest(topicName string) (Update, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	t := h.topics[topicName]
	if t == nil || t.current.payload == nil {
		return Update{}, false
	}
	return t.fullUpdate(topicName, h.now()), true
}

// All returns the newest updates of the topics with a prefix, sorted by topic.
func (h *Hub) All(prefix string) []Update {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var updates []Update
	for _, name := range h.topicNames([]string{prefix}) {
		updates = append(updates, h.topics[name].fullUpdate(name, h.now()))
	}
	return updates
}

// Vector returns the held versions of the topics with one of the prefixes.
func (h *Hub) Vector(prefixes []string) map[string]Version {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	vector := map[string]Version{}
	for _, name := range h.topicNames(prefixes) {
		vector[name] = h.topics[name].current.version
	}
	return vector
}

// topicNames returns the sorted names of the topics that match a prefix and have a payload.
func (h *Hub) topicNames(prefixes []string) []string {
	var names []string
	for name, t := range h.topics {
		if t.current.payload != nil && hasAnyPrefix(name, prefixes) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func hasAnyPrefix(topicName string, prefixes []string) bool {
	if len(prefixes) == 0 {
		return true
	}
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(topicName, prefix) })
}

// Subscribe returns a channel that receives a value after changes to topics with
// one of the prefixes; several changes may be combined. Cancel ends the subscription.
func (h *Hub) Subscribe(prefixes ...string) (changes <-chan struct{}, cancel func()) {
	w := h.addWaiter(prefixes)
	return w.changed, func() { h.removeWaiter(w) }
}

func (h *Hub) addWaiter(prefixes []string) *waiter {
	w := &waiter{prefixes: prefixes, changed: make(chan struct{}, 1)}
	h.mutex.Lock()
	h.waiters[w] = struct{}{}
	h.mutex.Unlock()
	return w
}

func (h *Hub) removeWaiter(w *waiter) {
	h.mutex.Lock()
	delete(h.waiters, w)
	h.mutex.Unlock()
}
