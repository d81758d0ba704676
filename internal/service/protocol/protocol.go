// Package protocol defines the messages that the roles of the service exchange.
// They are gob-encoded and sent over package transport. They carry ages and
// durations instead of timestamps, because the clocks of two machines may differ.
package protocol

import (
	"net"
	"strconv"
	"time"
)

// Version is the version of the internal protocol. Peers with another version
// are refused when they connect.
const Version = 5

// Offsets of the internal listeners from the first internal port.
const (
	DispatcherPort = iota
	AgentFeedPort  // loopback only
	AgentPort
	StorePort
	ControlPort
)

// InternalAddress returns the address of an internal listener on a host.
func InternalAddress(ip string, firstPort, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(firstPort+offset))
}

// Identity names a process. An incarnation is larger than those of all earlier
// processes of the same node and role.
type Identity struct {
	Node        string
	Role        string
	Zone        string
	Address     string // internal address of its own listener; empty if it has none
	Incarnation uint64
}

// Session returns the name under which the process opens sessions.
func (i *Identity) Session() SessionName {
	return SessionName{Node: i.Node, Incarnation: i.Incarnation}
}

// State is the state of a message.
type State uint8

// The states of a message.
const (
	Unknown State = iota
	Queued
	Completed
	DeadLetter
	Discarded // never acknowledged to its client; must not run
)

// String returns the name that clients see.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Completed:
		return "completed"
	case DeadLetter:
		return "dead_letter"
	case Discarded:
		return "discarded"
	default:
		return "unknown"
	}
}

// Ended reports whether the state is final: no further attempt may begin.
func (s State) Ended() bool { return s == Completed || s == DeadLetter || s == Discarded }

// Head is everything known of a message except its body.
type Head struct {
	ID          string
	Queue       string
	Epoch       uint64 // of the owner that accepted it
	Sequence    uint64 // order of acceptance within queue and epoch
	Method      string
	Host        string
	Target      string // path and query as received
	ContentType string
	OrderingKey string
	CallbackURL string        // empty: no call-back is due
	Delay       time.Duration // from acceptance
	Retention   time.Duration // from acceptance
	Age         time.Duration // since acceptance, at the moment of encoding
	Revision    int64         // of the configuration under which it was accepted; 0 if unknown
	Failures    int           // answers with status 500 so far
	BodySize    int
	State       State
	Stamp       string // seal in the response to the successful attempt
	CallbackDue bool   // ended, and its call-back has not been delivered

	SinceEnd time.Duration // since it ended, at the moment of encoding
	EndEpoch uint64        // of the owner that ended it
}

// Message is a head with its body.
type Message struct {
	Head  Head
	Body  []byte
	Lease uint64 // epoch of the owner that writes this copy; 0: the epoch of the head
}

// LeaseEpoch returns the epoch under which a copy is written. It differs from
// that of the head if a later owner replaces a lost copy: the head keeps the
// epoch of acceptance, because that epoch orders the messages of a queue.
func (m *Message) LeaseEpoch() uint64 { return max(m.Head.Epoch, m.Lease) }

// Append asks a store to keep a copy of a message.
type Append struct{ Message Message }

// AppendStatus is the result of an Append.
type AppendStatus uint8

// The results of an Append.
const (
	Stored    AppendStatus = 1 + iota
	Fenced                 // the queue has a newer epoch
	StoreFull              // no room; nothing was written
)

// AppendReply is sent after the copy has been synced.
type AppendReply struct {
	Status  AppendStatus
	StoreID string // of the disk that has the copy
}

// End records that a message has ended, or that its call-back has been delivered.
type End struct {
	ID          string
	Queue       string
	State       State
	Stamp       string
	CallbackDue bool
	Retention   time.Duration // of the message
	Epoch       uint64        // of the owner that ended it, or of the newest owner that agrees
}

// Failures records how many attempts of a message have failed.
type Failures struct {
	ID    string
	Count int
}

// EndBatch carries records that are acknowledged together by one reply.
type EndBatch struct {
	Ends     []End
	Failures []Failures
}

// EndBatchReply is sent after the batch has been synced.
type EndBatchReply struct {
	StoreID string
	Refused []RefusedEnd
}

// RefusedEnd names a message whose end was not recorded: its queue has a newer owner, which decides how the message
// ends, or the store cannot keep this end. The other ends of the batch are recorded.
type RefusedEnd struct {
	ID       string
	Queue    string
	Promised uint64 // the newer owner's epoch; 0 if there is a cause
	Cause    string // why the store cannot keep the end. Earlier builds refuse the whole batch then.
}

// LocalQueuePrefix is the name prefix of the queues that hold the messages of a single
// incarnation of a process.
const LocalQueuePrefix = "local/"

// Acquire asks for leases on queues.
type Acquire struct {
	Queues []string
	Epoch  uint64
	Held   bool // the caller still holds these leases under this epoch
	Paged  bool // the caller reads the heads that the reply leaves out with ReadHeads
}

// Grant answers Acquire for one queue.
type Grant struct {
	Queue    string
	Granted  bool
	Promised uint64 // highest epoch that the store knows
	Heads    []Head // messages that are open, have a call-back due, or ended in the last seconds

	Attempts    []Attempt // that the previous owner left unsettled
	Abandoned   bool      // the previous owner has not released the queue
	SilentOwner Identity  // an owner that recently fell silent with its connections open: it may be stalled, and resume; zero if there is none
	Contested   bool      // refused because the store promised that epoch to another process

	More bool       // there are heads after these
	Next HeadCursor // where they begin

	MoreAttempts bool   // there are attempts after these
	NextAttempt  uint64 // where they begin
}

// AcquireReply answers Acquire.
type AcquireReply struct {
	StoreID     string // changes when the store's disk is replaced
	StoresKnown uint64 // newest that any dispatcher has reported to this store
	Grants      []Grant
}

// Renew renews the caller's session and thereby all its leases.
type Renew struct {
	Ready        bool   // it accepts ownership of queues
	Relays       bool   // it answers Relay
	Leaving      bool   // it knows that this store is being emptied
	KnownVersion uint64 // version of the session table that the caller has from this store
	StoresKnown  uint64 // sequence of the newest change of the stores in the register that the caller has applied

	StoreTime time.Duration // the caller's estimate of the store's clock; 0 if it has none
}

// Session is the session of a dispatcher with a store.
type Session struct {
	Identity Identity
	Ready    bool
	Relays   bool // it answers Relay
}

// QueueState describes the owner and the load of a queue.
type QueueState struct {
	Queue  string
	Epoch  uint64
	Holder string // node; empty if the queue has no owner
	Open   int    // messages that have not ended, or have a call-back due
}

// InUse reports whether the queue has a holder, or open messages that need one.
func (q *QueueState) InUse() bool { return q.Holder != "" || q.Open > 0 }

// SessionName names the sessions of one incarnation of a process.
type SessionName struct {
	Node        string
	Incarnation uint64
}

// RenewReply answers Renew. Sessions and queues are left out if the caller already
// has this version. With Partial they are those that have changed since the caller's
// version, and a queue without a holder and messages no longer exists.
type RenewReply struct {
	StoreID string
	Told    uint64 // the StoresKnown of the request, which is now on the store's disk
	Version uint64
	Time    time.Duration // of the store's clock
	Full    bool          // it accepts no further copies, but still ends and leases

	KeepsAttempts bool // it answers KeepAttempts and ReadAttempts

	Changed  bool
	Partial  bool
	Sessions []Session
	Ended    []SessionName // with Partial: sessions that no longer exist
	Queues   []QueueState
}

// Release returns leases that were granted under one epoch. It is ignored for a
// queue that the caller has acquired again under another epoch.
type Release struct {
	Queues   []string
	Epoch    uint64
	Attempts []Attempt // that are unsettled: all that later owners may not find in the stores
}

// ReleaseReply answers Release.
type ReleaseReply struct{}

// Query asks for a message by its id.
type Query struct {
	ID       string
	WithBody bool
	Queue    string // queue whose owner is wanted; empty: that of the message
}

// QueryReply answers Query. The state is Unknown if the store has no record.
type QueryReply struct {
	StoreID     string
	StoresKnown uint64 // newest that any dispatcher has reported to this store
	Head        Head
	Body        []byte
	Held        bool // the store has the record

	Promised uint64 // epoch of the queue's newest owner, as far as this store knows
	Holder   string // node that has the queue's lease here
}

// CheckOwner asks a dispatcher whether it owns a queue, and whether its record of a message
// there differs from that of a store.
type CheckOwner struct {
	ID    string
	Queue string
	State State // as recorded by a store
	Stamp string
}

// CheckOwnerReply answers CheckOwner.
type CheckOwnerReply struct {
	Owner   bool // it owns the queue under a valid lease
	Differs bool // the message is open there, or has ended in another way
}

// Accept asks the owner of a queue to accept a message.
type Accept struct{ Message Message }

// AcceptStatus is the result of an Accept.
type AcceptStatus uint8

// The results of an Accept.
const (
	Accepted  AcceptStatus = 1 + iota
	NotOwner               // nothing was written; Holder may name the owner
	Refused                // nothing was written, nor will it be
	Undecided              // copies may exist
)

// AcceptReply answers Accept.
type AcceptReply struct {
	Status AcceptStatus
	Holder string
}

// Offer tells a dispatcher that queues were released so that it can acquire them.
type Offer struct{ Queues []string }

// OfferReply answers Offer.
type OfferReply struct{}

// AcquirePermits requests permits to send from the owner of a rate-limited service's queue.
type AcquirePermits struct {
	Service string
	Count   int
}

// AcquirePermitsReply answers AcquirePermits. A permit is valid for a short time from the
// moment it was requested.
type AcquirePermitsReply struct {
	Granted int
	Wait    time.Duration // until it is worth asking again
}

// Retire tells a store that it is being emptied, and asks for its progress.
type Retire struct{}

// RetireReply answers Retire.
type RetireReply struct {
	StoreID string
	Unaware int // open sessions of dispatchers that do not know yet that the store is leaving
}
