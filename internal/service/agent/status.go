package agent

import (
	"time"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/status"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/view"
)

// serveStatus serves status requests on the machine's internal address; the feed
// listens on loopback only. The returned function stops the server.
func (a *Agent) serveStatus(started time.Time) (stop func(), err error) {
	listener, err := a.settings.Load().Net().Listen(a.identity.Address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	server := transport.NewServer(a.identity, a.log)
	status.Serve(server, started, a.fillStatus)
	go func() { _ = server.Serve(listener) }()
	return server.Close, nil
}

// fillStatus adds the state that the agent has published to its dispatcher.
func (a *Agent) fillStatus(report *status.Report) {
	if known, _, held := distribution.Payload[view.Configuration](a.feed, view.TopicConfiguration); held {
		report.Revision = known.Revision
		for _, store := range known.Stores {
			report.Stores = append(report.Stores, status.Store{Node: store.Name, Zone: store.Zone, Address: store.Address})
		}
	}
	if senders, _, held := distribution.Payload[view.Senders](a.feed, view.TopicSenders); held {
		report.Senders = len(senders.List)
	}
	states := mergedMembers(a.feed)
	for _, state := range states {
		report.Members = append(report.Members, status.MemberOf(state))
	}
	for i := range report.Stores {
		report.Stores[i].Up = isAlive(states, report.Stores[i].Address)
	}
}

// isAlive reports whether the process at an address is alive and has not left.
func isAlive(states []view.NodeState, address string) bool {
	for _, state := range states {
		if state.Identity.Address == address && state.Alive && !state.Left {
			return true
		}
	}
	return false
}
