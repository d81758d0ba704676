package dispatcher

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/view"
)

// tableOf returns a table of dispatchers, the first of which own ordered queues.
func tableOf(zones []string, dispatchers, owners int) sessionTable {
	table := sessionTable{sessions: map[string]protocol.Session{}, holders: map[string]protocol.QueueState{}}
	for i := range dispatchers {
		node := fmt.Sprintf("edge-%03d", i)
		table.nodes = append(table.nodes, node)
		table.sessions[node] = protocol.Session{Identity: protocol.Identity{Node: node, Zone: zones[i%len(zones)]}}
		if i < owners {
			table.holders[fmt.Sprint(orderedPrefix, i)] = protocol.QueueState{Holder: node}
		}
	}
	return table
}

// All dispatchers together open no more connections to a sender than it accepts, each dispatcher has a sender,
// and no sender gets many times the connections of another.
func TestTotalConnectionsPerSender(t *testing.T) {
	c := qt.New(t)
	zones := []string{"a", "b", "c", "d"}
	var listed []view.Sender
	for i := range 8 {
		listed = append(listed, view.Sender{ID: fmt.Sprint("i-", i), Service: "free", Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: zones[i%4]})
	}
	for _, dispatchers := range []int{3, 8, 9, 20, 60} {
		total := map[string]int{}
		table := tableOf(zones, dispatchers, 0)
		for _, node := range table.nodes {
			d := newTestDispatcher(c)
			d.settings.Zones = map[string]string{"a": "r", "b": "r", "c": "s", "d": "s"}
			d.identity.Node, d.settings.Zone = node, table.sessions[node].Identity.Zone
			d.senders["free"] = listed
			d.table = table
			d.refreshFleet()
			service := d.services["free"]
			usable, _ := d.usableSenders(service, d.deliverers(service.configured))
			c.Assert(len(usable) > 0, qt.IsTrue)
			each := max(1, balance.UsableConnections(service.configured.MaxConns)/dispatchers)
			for _, sender := range usable {
				total[sender.ID] += each
			}
		}
		for _, sender := range listed {
			c.Check(total[sender.ID] <= 10, qt.IsTrue, qt.Commentf("%d dispatchers: %v", dispatchers, total))
			c.Check(total[sender.ID] >= 5 || dispatchers < 8, qt.IsTrue, qt.Commentf("%d dispatchers: %v", dispatchers, total))
		}
	}
}

// Messages of ordered routes are delivered by the owners of their queues, others of rate-limited services by the
// owner of the service's queue, and all others by every dispatcher. A dispatcher always counts itself.
func TestDeliverers(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	d.table = tableOf([]string{"a"}, 12, 5)
	d.refreshFleet()
	current := d.configuration.Load()
	free, _ := current.Service("free")
	outside, _ := current.Service("outside")
	c.Assert(d.deliverers(free), qt.HasLen, 13)
	ordered, unordered := routeOrder(current, "outside")
	c.Assert(ordered && unordered, qt.IsTrue)
	c.Assert(d.deliverers(outside), qt.HasLen, 6)
	d.table.holders[ratedPrefix+"outside"] = protocol.QueueState{Holder: "edge-010"}
	c.Assert(d.deliverers(outside), qt.HasLen, 7)
	keys, _, _ := current.Match("h.example", "/keys/")
	keys.Ordered = false
	c.Assert(d.deliverers(outside), qt.HasLen, 1)
	for _, route := range current.Routes() {
		route.Ordered = true
	}
	for service, routed := range map[string]bool{"free": true, "unknown": false} {
		ordered, unordered = routeOrder(current, service)
		c.Assert(ordered, qt.Equals, routed)
		c.Assert(unordered, qt.IsFalse)
	}
	c.Assert(d.deliverers(outside), qt.HasLen, 6)
}

// Senders outside this dispatcher's subset have their connections closed; a draining sender remains known.
func TestUsableSendersFollowTheFleet(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	for i := range 20 {
		d.senders["free"] = append(d.senders["free"], view.Sender{ID: fmt.Sprint("i-", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Draining: i == 0})
	}
	d.updateSenders(d.services["free"])
	c.Assert(d.services["free"].addresses, qt.HasLen, 20)
	d.table = tableOf([]string{"a"}, 40, 0)
	d.refreshFleet()
	left := d.services["free"].addresses
	c.Assert(len(left) >= 2 && len(left) <= 6, qt.IsTrue, qt.Commentf("%v", left))
	c.Assert(left["10.0.0.0:80"], qt.IsTrue)
}
