package balance

import (
	"cmp"
	"slices"
	"time"

	"yardwharf"
)

// SetSenders takes the complete list of senders. From then on nothing is sent to
// one that is draining or has left the list.
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
			d.created++
			worker = d.created
			d.workers[key] = worker
		}
		d.senders[worker] = sender
		changed = append(changed, d.member(worker, sender))
	}
	// Those that have left come last, so that newcomers of the same list are there
	// to take their shares.
	changed = append(changed, d.dropUnlisted(listed)...)
	if len(changed) > 0 {
		d.balancer.Members(now, yardwharf.ListDelta, changed)
	}
}

// dropUnlisted forgets the senders that have left the list.
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

// member is a sender as the decision module knows it.
func (d *Driver) member(worker yardwharf.WorkerID, sender Sender) yardwharf.Member {
	state := yardwharf.Ready
	if sender.Draining {
		state = yardwharf.Draining
	}
	return yardwharf.Member{
		ID: worker, Zone: d.zone(sender), State: state, CapacityHint: float64(sender.Slots),
	}
}

// zone is the number of a sender's zone; one that is not told counts as the own.
func (d *Driver) zone(sender Sender) int {
	return slices.Index(d.options.Zones, cmp.Or(sender.Zone, d.options.Zone))
}

// key tells senders apart. A sender that starts again has another id.
func (s Sender) key() string { return s.ID + "@" + s.Address }

// differs reports whether the decision module has to be told of a new entry.
func (s Sender) differs(other Sender) bool {
	s.WarmupLeft, other.WarmupLeft = time.Duration(0), time.Duration(0)
	return s != other
}

// Shares are the parts of the draws that the senders get, by their ids.
func (d *Driver) Shares() map[string]float64 {
	shares := make(map[string]float64, len(d.senders))
	for worker, sender := range d.senders {
		shares[sender.ID] = d.balancer.Share(worker)
	}
	return shares
}
