// Package view defines the payloads that control members, agents and
// dispatchers hand to one another: the configuration, the list of senders and
// the membership of the service.
package view

import (
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/wirename"
)

// The topics under which the payloads are distributed.
const (
	TopicConfiguration = "configuration"
	TopicSenders       = "senders"
	TopicMembers       = "members/" // a prefix: each monitor has a topic
)

// MembersTopic returns the topic of one monitor.
func MembersTopic(monitor string) string { return TopicMembers + monitor }

// Node names a store or a control member.
type Node struct {
	Name    string
	Zone    string
	Address string // internal address
	StoreID string // of stores: changes when the disk was replaced

	FullStoreID string // of stores: the disk that is known to hold all that it must
	Leaving     bool   // of stores: it is being emptied, or given up
	Since       uint64 // of stores: sequence of the value with which it became known
}

// Configuration is the value of the configuration register.
type Configuration struct {
	Sequence uint64 // grows with each change of the register

	StoresChanged uint64 // sequence of the last change of the stores

	Revision int64  // of the operator
	Raw      []byte // as the operator sent it
	Stores   []Node
	Members  []Node
}

// Sender is one entry of the platform's list.
type Sender struct {
	ID         string
	Service    string
	Address    string
	Zone       string
	Revision   string
	Slots      int
	Draining   bool
	WarmupLeft time.Duration
}

// Senders is the platform's list. Epoch and Counter are its version.
type Senders struct {
	Epoch   uint64
	Counter uint64
	List    []Sender
}

// NodeState is what a monitor knows of a node.
type NodeState struct {
	Identity   protocol.Identity
	Refutation uint64 // grows when the node contradicts a suspicion
	Class      string
	StoreID    string
	Alive      bool // neither declared dead nor gone
	Suspect    bool // it has missed heartbeats
	Left       bool // it has said that it ends
}

// Members holds the nodes that one monitor watches.
type Members struct {
	Monitor string
	Address string // of the monitor, among the control members; empty: an earlier version wrote it
	Nodes   []NodeState
}

func init() {
	wirename.Register("v",
		Configuration{}, ConfigurationDifference{}, Senders{}, SendersDifference{}, Members{}, MembersDifference{})
}
