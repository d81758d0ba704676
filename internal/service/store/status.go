package store

import (
	"cmp"
	"context"
	"slices"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/status"
)

// fillStatus adds what the store knows to a report.
func (s *store) fillStatus(report *status.Report, identity protocol.Identity) {
	own := status.Store{Node: identity.Node, Zone: identity.Zone, Address: identity.Address, Up: s.log.Failed() == nil}
	own.Segments, own.SegmentMax = s.log.Segments()
	own.LiveBytes, own.FileBytes = s.log.Usage()
	own.DiskFull = s.log.DiskFull()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	own.Messages = len(s.index.entries)
	own.TakesCopies = s.takesCopies()
	report.Counters = append(report.Counters, status.Counter{Name: "copies_refused", Value: s.copiesRefused})
	report.Stores = []status.Store{own}
	for _, session := range s.grantor.Sessions(s.options.role) {
		report.Sessions = append(report.Sessions, status.Session{
			Node: session.Identity.Node, Address: session.Identity.Address, Ready: session.Ready,
		})
	}
	for _, state := range s.queueStates() {
		report.Queues = append(report.Queues, status.Queue{
			Name: state.Queue, Epoch: state.Epoch, Holder: state.Holder, Open: state.Open,
		})
	}
	slices.SortFunc(report.Sessions, func(a, b status.Session) int { return cmp.Compare(a.Node, b.Node) })
	slices.SortFunc(report.Queues, func(a, b status.Queue) int { return cmp.Compare(a.Name, b.Name) })
}

// messageReport returns what this store alone knows of a message.
func (s *store) messageReport(node, id string) status.MessageReport {
	reply, _, _ := s.lookUp(id, "")
	report, holder := status.MessageReport{ID: id}, status.Holder{Store: node, Answered: true}
	if reply.Held {
		report = status.MessageReportOf(reply.Head)
		holder.State = report.State
	}
	report.Holders = []status.Holder{holder}
	return report
}

// messageReporter returns the function that answers operators who ask for a message.
func (s *store) messageReporter(node string) func(context.Context, string) status.MessageReport {
	return func(_ context.Context, id string) status.MessageReport { return s.messageReport(node, id) }
}
