package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/status"
	"yardwharf/internal/service/transport"
)

// fillStatus adds this dispatcher's status to a report.
func (d *Dispatcher) fillStatus(report *status.Report) {
	if current := d.configuration.Load(); current != nil {
		report.Revision = current.Revision()
	}
	report.Counters = d.counters.list()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, listed := range d.senders {
		report.Senders += len(listed)
	}
	for _, session := range d.table.sessions {
		report.Sessions = append(report.Sessions, status.Session{
			Node: session.Identity.Node, Address: session.Identity.Address, Ready: session.Ready,
		})
	}
	for _, link := range d.stores {
		report.Stores = append(report.Stores, status.Store{
			Node: link.node, Zone: link.zone, Address: link.client.Address(), Up: link.up, Recovering: link.up && !link.complete(),
		})
	}
	for name, owned := range d.queues {
		report.Queues = append(report.Queues, status.Queue{
			Name: name, Epoch: owned.Epoch, Holder: d.identity.Node, Open: owned.Open(), Running: owned.Running(),
		})
	}
	slices.SortFunc(report.Sessions, func(a, b status.Session) int { return cmp.Compare(a.Node, b.Node) })
	slices.SortFunc(report.Stores, func(a, b status.Store) int { return cmp.Compare(a.Node, b.Node) })
	slices.SortFunc(report.Queues, func(a, b status.Queue) int { return cmp.Compare(a.Name, b.Name) })
}

// messageReport collects what this dispatcher and all stores know of a message.
func (d *Dispatcher) messageReport(ctx context.Context, id string) status.MessageReport {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	d.mutex.Lock()
	links := make([]*storeLink, 0, len(d.stores))
	for _, link := range d.stores {
		links = append(links, link)
	}
	wanted := d.grantsNeeded()
	d.mutex.Unlock()
	slices.SortFunc(links, func(a, b *storeLink) int { return cmp.Compare(a.node, b.node) })

	holders := make([]status.Holder, len(links))
	replies := make([]protocol.QueryReply, len(links))
	var calls sync.WaitGroup
	for i, link := range links {
		calls.Go(func() {
			reply, err := transport.Call[protocol.QueryReply](ctx, link.client, protocol.Query{ID: id})
			holders[i] = status.Holder{Store: link.node, Answered: err == nil}
			if err == nil && reply.Held {
				holders[i].State = reply.Head.State.String()
				replies[i] = reply
			}
		})
	}
	calls.Wait()

	report := status.MessageReport{ID: id}
	var best protocol.QueryReply
	answered := 0
	for i, reply := range replies {
		best = mergeReply(best, reply)
		if holders[i].Answered {
			answered++
		}
	}
	head, _, found := d.lookUpLocally(id)
	switch {
	case found:
		head.Age = best.Head.Age
		report = status.MessageReportOf(head)
	case best.Held:
		report = status.MessageReportOf(best.Head)
	}
	report.Complete = answered >= wanted
	report.Holders = holders
	report.Owner = d.ownerOf(report.Queue)
	return report
}

// ownerOf returns the node that owns a queue, or "" if it is not known.
func (d *Dispatcher) ownerOf(name string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.queues[name] != nil {
		return d.identity.Node
	}
	return d.table.holders[name].Holder
}
