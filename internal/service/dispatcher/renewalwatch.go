package dispatcher

import "time"

// maxRenewalAge is how old a store's last answer to a renewal may be before it counts as unanswered.
const maxRenewalAge = 900 * time.Millisecond

// checkRenewals logs when so few stores answer renewals that leases will end, and what the connections to
// the other stores are doing; and when enough stores answer again.
func (d *Dispatcher) checkRenewals() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	summary := d.summarizeLinks()
	endangered := summary.unanswered > d.knownStores()-d.grantsNeeded()
	switch {
	case endangered && d.unansweredSince == 0:
		d.unansweredSince = d.now()
		d.log.Info("renewals unanswered", "stores", summary.stores, "unanswered", summary.unanswered, "connected", summary.connected,
			"connecting", summary.connecting, "writing", summary.writing, "queued", summary.queued, "pending", summary.pending,
			"lastFrame", summary.lastFrame)
	case !endangered && d.unansweredSince != 0:
		d.log.Info("renewals answered again", "after", d.now()-d.unansweredSince+maxRenewalAge)
		d.unansweredSince = 0
	}
}

// linkSummary summarizes the connections to the stores whose sessions count and that do not answer renewals.
type linkSummary struct {
	stores     int           // that have answered renewals before
	unanswered int           // whose last answer is too old; the other fields cover these
	connected  int           // with an open connection
	connecting time.Duration // of the longest connection attempt under way
	writing    time.Duration // of the longest write under way
	queued     int           // requests that wait to be written
	pending    int           // requests without a reply
	lastFrame  time.Duration // since one of them last sent a frame
}

// summarizeLinks summarizes the connections to the stores. The mutex is held.
func (d *Dispatcher) summarizeLinks() linkSummary {
	var summary linkSummary
	for _, link := range d.stores {
		if link.lastReplyAt == 0 {
			continue
		}
		summary.stores++
		if d.now()-link.lastReplyAt <= maxRenewalAge {
			continue
		}
		summary.unanswered++
		state := link.client.State()
		if state.Connected {
			if summary.connected == 0 || state.Silent < summary.lastFrame {
				summary.lastFrame = state.Silent
			}
			summary.connected++
		}
		summary.connecting = max(summary.connecting, state.Connecting)
		summary.writing = max(summary.writing, state.Writing)
		summary.queued += state.Queued
		summary.pending += state.Pending
	}
	return summary
}
