// Package protocol defines the messages that the roles of the service exchange.
// They travel gob-encoded over package transport. Ages and durations are used
// instead of times of day, because the clocks of two machines may differ.
package protocol

import (
	"net"
	"strconv"
	"time"
)

// Version is the version of the internal protocol. Peers of another version
// are refused when they connect.
const Version = 4

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
	Address     string // internal address of its own listener; empty where it has none
	Incarnation uint64
}

// Session returns the name of the process's sessions.
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
	Discarded // never acknowledged to its client: it must not run
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

// Ended reports whether no further run may begin.
func (s State) Ended() bool { return s == Completed || s == DeadLetter || s == Discarded }

// Head is all that is known of a message but its body.
type Head struct {
	ID          string
	Queue       string
	Epoch       uint64 // of the owner that accepted it
	Sequence    uint64 // order of acceptance within queue and epoch
	Method      string
	Host        string
	Target      string // path and query as they arrived
	ContentType string
	OrderingKey string
	CallbackURL string        // empty: no call-back is owed
	Delay       time.Duration // from acceptance
	Retention   time.Duration // from acceptance
	Age         time.Duration // since acceptance, at the moment of encoding
	Revision    int64         // of the configuration under which it was accepted; 0 where it is not known
	Failures    int           // answers with status 500 so far
	BodySize    int
	State       State
	Stamp       string // seal of the successful run
	CallbackDue bool   // ended, and its call-back has not been taken

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
// that of the head where a later owner replaces a lost copy: the head keeps the
// epoch of acceptance, because that orders the messages of a queue.
func (m *Message) LeaseEpoch() uint64 { return max(m.Head.Epoch, m.Lease) }

// Append asks a store to keep a copy of a message.
type Append struct{ Message Message }

// AppendStatus tells how an Append ended.
type AppendStatus uint8

// The results of an Append.
const (
	Stored AppendStatus = 1 + iota
	Fenced              // the queue has a newer epoch
	Full                // no room; nothing was written
)

// AppendReply is sent after the copy has been synced.
type AppendReply struct {
	Status  AppendStatus
	StoreID string // of the disk that has the copy
}

// End records that a message has ended, or that its call-back has been taken.
type End struct {
	ID          string
	Queue       string
	State       State
	Stamp       string
	CallbackDue bool
	Retention   time.Duration // of the message
	Epoch       uint64        // of the owner that ended it, or of the newest one that agrees
}

// Failures records how many attempts of a message have failed.
type Failures struct {
	ID    string
	Count int
}

// EndBatch carries records that need no answer each; one answer acknowledges all.
type EndBatch struct {
	Ends     []End
	Failures []Failures
}

// EndBatchReply is sent after the batch has been synced.
type EndBatchReply struct {
	StoreID string
	Refused []RefusedEnd
}

// RefusedEnd names a message whose end was not recorded, because its queue has a
// newer owner: that one decides how it ends.
type RefusedEnd struct {
	ID       string
	Queue    string
	Promised uint64 // the newer owner's epoch
}

// LocalQueuePrefix begins the names of the queues that hold the messages of one life of
// one process.
const LocalQueuePrefix = "local/"

// Acquire asks for leases on queues.
type Acquire struct {
	Queues []string
	Epoch  uint64
	Held   bool // the caller still holds these leases under this epoch
}

// Grant answers Acquire for one queue.
type Grant struct {
	Queue    string
	Granted  bool
	Promised uint64 // highest epoch that the store knows
	Heads    []Head // messages that are open or owe a call-back, and those ended in the last seconds

	Attempts  []Attempt // that the owner before has not settled
	Abandoned bool      // the owner before has not released the queue
	Silent    bool      // of late an owner fell silent with its connections open: it may have stood still, and go on
	Contested bool      // refused, and it was to another process that the store promised that epoch
}

// FindEnds asks a store which of these messages it knows to have ended: a grant tells of those only that
// ended of late.
type FindEnds struct{ IDs []string }

// FindEndsReply answers FindEnds with the heads of those that have ended.
type FindEndsReply struct{ Heads []Head }

// AcquireReply answers Acquire.
type AcquireReply struct {
	StoreID     string // changes when the store's disk was replaced
	StoresKnown uint64 // newest that any dispatcher has told this store
	Grants      []Grant
}

// Renew renews the caller's session, and with it all its leases.
type Renew struct {
	Ready        bool   // it takes queues
	Leaving      bool   // it knows that this store is being emptied
	KnownVersion uint64 // of the session table that it has from this store
	StoresKnown  uint64 // sequence of the register's last change of the stores that it goes by

	StoreTime time.Duration // what the store's clock shows by the caller's reckoning; 0 where it has none
}

// Session is a dispatcher that is in touch with a store.
type Session struct {
	Identity Identity
	Ready    bool
}

// QueueState tells who owns a queue.
type QueueState struct {
	Queue  string
	Epoch  uint64
	Holder string // node; empty where the queue has no owner
	Open   int    // messages that have not ended, or owe a call-back
}

// Wanted reports whether the queue has a holder, or messages that want one.
func (q *QueueState) Wanted() bool { return q.Holder != "" || q.Open > 0 }

// SessionName names a session of one life of a process.
type SessionName struct {
	Node        string
	Incarnation uint64
}

// RenewReply answers Renew. Sessions and queues are left out where the caller
// has this version already. With Partial they are those that have changed since the
// version that the caller knows, and a queue without holder and messages is no more.
type RenewReply struct {
	StoreID  string
	Told     uint64 // the StoresKnown of the request: it is on the store's disk
	Version  uint64
	Time     time.Duration // what the store's clock shows
	Full     bool          // it takes no further copies, but ends and leases
	Changed  bool
	Partial  bool
	Sessions []Session
	Ended    []SessionName // with Partial: sessions that are no more
	Queues   []QueueState
}

// Release gives leases back that were granted under one epoch. It is ignored
// for a queue that the caller has acquired again under another.
type Release struct {
	Queues   []string
	Epoch    uint64
	Attempts []Attempt // that are not settled: all that later owners may not find in the stores
}

// Attempt is what the owner of a queue that changes hands knows of a message and the stores
// may not tell yet: that a sender has it, or what came of the attempts so far.
type Attempt struct {
	ID   string
	Left time.Duration // until no sender can have the message any more, at the moment of encoding; 0 where none has it
	Outcome
}

// Outcome tells how the attempts at a message ended.
type Outcome struct {
	End      End // its state is no end where the message is to be delivered again
	Failures int // answers with status 500 so far
}

// AttemptsOver tells the new owner of a queue how attempts of the owner before ended.
type AttemptsOver struct {
	Queue    string
	Outcomes []Outcome
}

// AttemptsOverReply answers AttemptsOver.
type AttemptsOverReply struct {
	Owner bool // it owns the queue under a valid lease and has taken note
}

// ReleaseReply answers Release.
type ReleaseReply struct{}

// Query asks for a message by its id.
type Query struct {
	ID       string
	WithBody bool
	Queue    string // whose owner is asked for; empty: that of the message
}

// QueryReply answers Query. The state is Unknown where the store has no record.
type QueryReply struct {
	StoreID     string
	StoresKnown uint64 // newest that any dispatcher has told this store
	Head        Head
	Body        []byte
	Held        bool // the store has the record

	Promised uint64 // epoch of the queue's newest owner, as far as this store knows
	Holder   string // node that has the queue's lease here
}

// AskOwner asks a dispatcher whether it owns a queue, and whether it knows better how
// a message there has ended.
type AskOwner struct {
	ID    string
	Queue string
	State State // that a store tells
	Stamp string
}

// AskOwnerReply answers AskOwner.
type AskOwnerReply struct {
	Owner   bool // it owns the queue under a valid lease
	Differs bool // the message is open there, or has ended in another way
}

// Accept asks the owner of a queue to accept a message.
type Accept struct{ Message Message }

// AcceptStatus tells how an Accept ended.
type AcceptStatus uint8

// The results of an Accept.
const (
	Accepted  AcceptStatus = 1 + iota
	NotOwner               // nothing was written; Holder may name the owner
	Refused                // nothing was written, and nothing will be
	Undecided              // copies may exist
)

// AcceptReply answers Accept.
type AcceptReply struct {
	Status AcceptStatus
	Holder string
}

// Offer tells a dispatcher that queues were released for it to acquire.
type Offer struct{ Queues []string }

// OfferReply answers Offer.
type OfferReply struct{}

// TakeRate asks the owner of a rated service's queue for permits to send.
type TakeRate struct {
	Service string
	Count   int
}

// TakeRateReply answers TakeRate. A permit counts for a short time from the
// moment it was asked for.
type TakeRateReply struct {
	Granted int
	Wait    time.Duration // until it is worth asking again
}

// Retire tells a store that it is being emptied, and asks how far it is.
type Retire struct{}

// RetireReply answers Retire.
type RetireReply struct {
	StoreID string
	Unaware int // open sessions of dispatchers that do not know yet that it leaves
}
