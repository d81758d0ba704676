// Package view defines the payloads that control members, agents and
// dispatchers exchange: the configuration, the list of senders and the
// membership of the service.
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
	TopicMembers       = "members/" // prefix: each monitor has its own topic
)

// MembersTopic returns the topic of one monitor.
func MembersTopic(monitor string) string { return TopicMembers + monitor }

// Node identifies a store or a control member.
type Node struct {
	Name    string
	Zone    string
	Address string // internal address
	StoreID string // of stores: changes when the disk is replaced

	FullStoreID string // of stores: ID of the disk that is known to hold every message it must hold
	Leaving     bool   // of stores: being emptied, or given up
	Since       uint64 // of stores: sequence of the register value that first listed the store
}

// Configuration is the value of the configuration register.
type Configuration struct {
	Sequence uint64 // incremented with each change of the register

	StoresChanged uint64 // sequence of the last change to the stores

	Revision int64  // of the operator's configuration
	Raw      []byte // the operator's configuration as received
	Stores   []Node
	Members  []Node
}

// Sender is one entry of the platform's list of senders.
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

// maxSenderFixedBytes bounds the encoded size of a sender without its texts.
const maxSenderFixedBytes = 60

// MaxEncodedBytes returns an upper bound of the entry's size in a frame.
func (s *Sender) MaxEncodedBytes() int {
	return maxSenderFixedBytes + len(s.ID) + len(s.Service) + len(s.Address) + len(s.Zone) + len(s.Revision)
}

// Senders is the platform's list of senders. Epoch and Counter are its version.
type Senders struct {
	Epoch   uint64
	Counter uint64
	List    []Sender
}

// MaxEncodedBytes returns an upper bound of the list's size in a frame.
func (s Senders) MaxEncodedBytes() int { return sendersBytes(s.List) }

func sendersBytes(list []Sender) int {
	size := 0
	for i := range list {
		size += list[i].MaxEncodedBytes()
	}
	return size
}

// NodeState is a monitor's knowledge of one process on a node.
type NodeState struct {
	Identity   protocol.Identity
	Refutation uint64 // incremented when the process refutes a suspicion
	Class      string
	StoreID    string
	Alive      bool // neither declared dead nor left
	Suspect    bool // it has missed heartbeats
	Left       bool // announced its own shutdown
}

// Members holds the states of the processes that one monitor watches.
type Members struct {
	Monitor string
	Address string // of the monitor's control member; empty if written by an earlier version
	Nodes   []NodeState
}

func init() {
	wirename.Register("v",
		Configuration{}, ConfigurationDifference{}, Senders{}, SendersDifference{}, Members{}, MembersDifference{})
}
