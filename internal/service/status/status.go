// Package status defines the status report that each process of the service
// serves on its internal port, and the client that operators use to request it.
// Reports are built on request only.
package status

import (
	"context"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/wirename"
)

// Request requests the status report of a process.
type Request struct{}

// Report is the status of a process. Fields that do not apply to its role are empty.
type Report struct {
	Identity protocol.Identity `json:"identity"`
	UptimeS  float64           `json:"uptimeS"`
	Revision int64             `json:"revision"` // of the configuration; 0 before the first one
	Members  []Member          `json:"members,omitempty"`
	Sessions []Session         `json:"sessions,omitempty"`
	Queues   []Queue           `json:"queues,omitempty"`
	Stores   []Store           `json:"stores,omitempty"`
	Senders  int               `json:"senders"`
	Counters []Counter         `json:"counters,omitempty"`
}

// The states of a member.
const (
	Alive   = "alive"
	Suspect = "suspect"
	Dead    = "dead"
	Left    = "left"
	Listed  = "listed" // a voter of the register
)

// Member is another process known to the reporting one.
type Member struct {
	Node    string `json:"node"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Session is the session of a dispatcher with a store.
type Session struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Ready   bool   `json:"ready"` // it accepts queues
}

// Queue is the state of one queue.
type Queue struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Holder  string `json:"holder"` // empty if there is none
	Open    int    `json:"open"`
	Running int    `json:"running"`
}

// Store is the state of one store. Only the store itself reports its sizes.
type Store struct {
	Node        string `json:"node"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Up          bool   `json:"up"`
	Recovering  bool   `json:"recovering"`
	Leaving     bool   `json:"leaving,omitempty"`  // it is being emptied
	Segments    int    `json:"segments,omitempty"` // in use
	SegmentMax  int    `json:"segmentMax,omitempty"`
	Messages    int    `json:"messages,omitempty"`
	LiveBytes   int64  `json:"liveBytes,omitempty"`
	FileBytes   int64  `json:"fileBytes,omitempty"`
	DiskFull    bool   `json:"diskFull,omitempty"`    // its disk has rejected writes and may still be full
	TakesCopies bool   `json:"takesCopies,omitempty"` // it accepts more messages
}

// Counter counts events since the start of the process.
type Counter struct {
	Name  string `json:"name"`
	End   string `json:"end,omitempty"` // outcome of the counted deliveries
	Value uint64 `json:"value"`
}

// MessageRequest requests the report of one message.
type MessageRequest struct{ ID string }

// MessageReport is what a process knows about one message.
type MessageReport struct {
	ID          string   `json:"id"`
	Found       bool     `json:"found"`
	Complete    bool     `json:"complete"` // enough stores have answered for a definite result
	State       string   `json:"state,omitempty"`
	Stamp       string   `json:"stamp,omitempty"`
	Queue       string   `json:"queue,omitempty"`
	Owner       string   `json:"owner,omitempty"`
	AgeS        float64  `json:"ageS"`
	Failures    int      `json:"failures"`
	CallbackURL string   `json:"callbackUrl,omitempty"`
	CallbackDue bool     `json:"callbackDue"`
	Holders     []Holder `json:"holders,omitempty"`
}

// Holder is what one store knows about a message.
type Holder struct {
	Store    string `json:"store"`
	Answered bool   `json:"answered"`
	State    string `json:"state"` // empty if it has no record
}

func init() {
	wirename.Register("s", Request{}, Report{}, MessageRequest{}, MessageReport{})
}

// Serve registers the handler of status requests with a server; fill adds the
// role's own state to the report. It must be called before the server serves.
func Serve(server *transport.Server, started time.Time, fill func(*Report)) {
	transport.Handle(server, func(context.Context, *transport.Peer, Request) (Report, error) {
		report := Report{Identity: server.Identity(), UptimeS: time.Since(started).Seconds()}
		fill(&report)
		report.Counters = append(report.Counters, Counter{Name: "unreadable_connections", Value: server.Unreadable()})
		return report, nil
	})
}

// ServeMessages registers the handler of message report requests with a server.
func ServeMessages(server *transport.Server, answer func(context.Context, string) MessageReport) {
	transport.Handle(server, func(ctx context.Context, _ *transport.Peer, request MessageRequest) (MessageReport, error) {
		return answer(ctx, request.ID), nil
	})
}

// MessageReportOf returns the report of the message with a head.
func MessageReportOf(head protocol.Head) MessageReport {
	return MessageReport{
		ID: head.ID, Found: true, State: head.State.String(), Stamp: head.Stamp,
		Queue: head.Queue, AgeS: head.Age.Seconds(), Failures: head.Failures,
		CallbackURL: head.CallbackURL, CallbackDue: head.CallbackDue,
	}
}

// operatorIdentity returns the identity with which operators connect.
func operatorIdentity() protocol.Identity {
	return protocol.Identity{Node: "operator", Role: "operator", Incarnation: uint64(time.Now().UnixMicro())}
}

// Ask requests the status report of the process at an internal address.
func Ask(ctx context.Context, address string) (Report, error) {
	client := transport.NewClient(operatorIdentity(), address)
	defer client.Close()
	return transport.Call[Report](ctx, client, Request{})
}

// AskMessage requests the report of a message from the process at an internal address.
func AskMessage(ctx context.Context, address, id string) (MessageReport, error) {
	client := transport.NewClient(operatorIdentity(), address)
	defer client.Close()
	return transport.Call[MessageReport](ctx, client, MessageRequest{ID: id})
}
