package balance

import (
	"cmp"
	"slices"
	"time"

	"yardwharf"
)

// SetSenders replaces the list of senders. From then on nothing is sent to a
// sender that is draining or no longer listed.
func (d *Driver) SetSenders(now time.Duration, list []Sender) {
	d.now = now
	list = slices.Clone(list)
	slices.SortFunc(list, func(x, y Sender) int { return cmp.Compare(x.key(), y.key()) })
	var changed []yardwharf.Member
	listed := make(map[string]bool, len(list))
	for _, sender := range list {
		key := sender.key()
		if listed[key] {
			continue
		}
		listed[key] = true
		worker, known := d.workers[key]
		if known && !d.senders[worker].differs(sender) {
			continue
		}
		if !known {
			d.lastWorker++
			worker = d.lastWorker
			d.workers[key] = worker
		}
		d.senders[worker] = sender
		changed = append(changed, d.member(worker, sender))
	}
	// Removed senders come last, so that senders added by the same list can take
	// over their shares.
	changed = append(changed, d.dropUnlisted(listed)...)
	if len(changed) > 0 {
		d.balancer.Members(now, yardwharf.ListDelta, changed)
	}
}

// dropUnlisted removes the senders that are no longer listed and returns them as gone.
func (d *Driver) dropUnlisted(listed map[string]bool) []yardwharf.Member {
	var gone []yardwharf.Member
	for key, worker := range d.workers {
		if !listed[key] {
			gone = append(gone, yardwharf.Member{ID: worker, State: yardwharf.Gone, Zone: d.zone(d.senders[worker])})
			delete(d.workers, key)
			delete(d.senders, worker)
		}
	}
	slices.SortFunc(gone, func(x, y yardwharf.Member) int { return cmp.Compare(x.ID, y.ID) })
	return gone
}

// member converts a sender to a member of the decision module.
func (d *Driver) member(worker yardwharf.WorkerID, sender Sender) yardwharf.Member {
	state := yardwharf.Ready
	if sender.Draining {
		state = yardwharf.Draining
	}
	return yardwharf.Member{
		ID: worker, Zone: d.zone(sender), State: state, CapacityHint: float64(sender.Slots),
	}
}

// zone returns the index of a sender's zone. A sender without a zone counts as local.
func (d *Driver) zone(sender Sender) int {
	return slices.Index(d.options.Zones, cmp.Or(sender.Zone, d.options.Zone))
}

// key identifies a sender. A restarted sender has a new ID.
func (s Sender) key() string { return s.ID + "@" + s.Address }

// differs reports whether a change of the entry matters to the decision module:
// every field does but WarmupLeft.
func (s Sender) differs(other Sender) bool {
	s.WarmupLeft, other.WarmupLeft = time.Duration(0), time.Duration(0)
	return s != other
}

// Shares returns the share of deliveries of each sender, by sender ID.
func (d *Driver) Shares() map[string]float64 {
	shares := make(map[string]float64, len(d.senders))
	for worker, sender := range d.senders {
		shares[sender.ID] = d.balancer.Share(worker)
	}
	return shares
}
