package control

import (
	"context"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/view"
)

// configurationEpoch is the epoch of all versions of the configuration topic. It is
// constant because the register's sequence alone orders them.
const configurationEpoch = 1

// publishTo publishes the decided value and every newer one to a hub.
func (r *replica) publishTo(hub *distribution.Hub) {
	publish := func(value *register.Value) {
		version := distribution.Version{Epoch: configurationEpoch, Counter: value.Sequence}
		hub.Publish(view.TopicConfiguration, version, configurationView(value))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.onChange = publish
	if r.decided.Value != nil {
		publish(r.decided.Value)
	}
}

// watchTopic signals that this member is behind when the topic has a newer value, published
// by another member.
func (r *replica) watchTopic(ctx context.Context, hub *distribution.Hub) {
	changes, cancel := hub.Subscribe(view.TopicConfiguration)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
		update, held := hub.Latest(view.TopicConfiguration)
		known := r.known()
		if held && (known.Value == nil || known.Value.Sequence < update.Version.Counter) {
			notify(r.behind)
		}
	}
}

// configurationView returns the payload of the configuration topic, which agents and
// other processes pull.
func configurationView(value *register.Value) view.Configuration {
	result := view.Configuration{Sequence: value.Sequence, StoresChanged: value.StoresChanged, Revision: value.Revision, Raw: value.Configuration}
	for _, store := range value.Stores {
		result.Stores = append(result.Stores, view.Node{
			Name: store.Node, Zone: store.Zone, Address: store.Address, StoreID: store.StoreID,
			FullStoreID: store.FullStoreID, Leaving: value.IsLeaving(store.Node) || value.IsMissing(store.Node),
			Since: store.Since,
		})
	}
	for _, member := range value.Members {
		result.Members = append(result.Members, view.Node{Name: member.Node, Zone: member.Zone, Address: member.Address})
	}
	return result
}
