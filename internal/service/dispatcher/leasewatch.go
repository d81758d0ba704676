package dispatcher

import (
	"maps"
	"slices"
	"time"
)

const (
	leaseCheckInterval   = time.Second     // time between two checks of all queues' leases
	invalidLeaseLogAfter = 2 * time.Second // time without a valid lease after which a queue is logged
)

// leaseWatch holds what has been logged about missing leases.
type leaseWatch struct {
	tooFewStores bool // too few complete stores are up for any lease
	checkedAt    time.Duration
	invalidSince map[string]time.Duration // queues without a valid lease, and since when
	logged       map[string]bool          // those of them that have been logged
}

// checkLeases logs when too few stores count toward leases, and which queues have been
// without a valid lease for too long. The mutex is held.
func (d *Dispatcher) checkLeases() {
	counting := countCompleteStores(d.upStores())
	if tooFew := counting < d.grantsNeeded(); tooFew != d.leaseWatch.tooFewStores {
		d.leaseWatch.tooFewStores = tooFew
		d.log.Info("stores counting toward leases", "enough", !tooFew, "known", d.knownStores(), "counting", counting, "wanted", d.grantsNeeded())
	}
	if now := d.now(); now-d.leaseWatch.checkedAt >= leaseCheckInterval {
		d.leaseWatch.checkedAt = now
		d.checkQueueLeases(now)
	}
}

// checkQueueLeases logs each queue that has been without a valid lease for too long,
// once until its lease is valid again. The mutex is held.
func (d *Dispatcher) checkQueueLeases(now time.Duration) {
	invalid, logged := map[string]time.Duration{}, map[string]bool{}
	for name, owned := range d.queues {
		if isLocal(name) || owned.leaving || d.leaseValid(owned) {
			continue
		}
		invalid[name] = now
		if since, noted := d.leaseWatch.invalidSince[name]; noted {
			invalid[name], logged[name] = since, d.leaseWatch.logged[name]
		}
		if now-invalid[name] >= invalidLeaseLogAfter && !logged[name] && !d.leaseWatch.tooFewStores {
			logged[name] = true
			d.logInvalidLease(owned)
		}
	}
	d.leaseWatch.invalidSince, d.leaseWatch.logged = invalid, logged
}

// logInvalidLease logs which stores have not granted a queue, and which owner they
// report. The mutex is held.
func (d *Dispatcher) logInvalidLease(owned *ownedQueue) {
	nodes := slices.Sorted(maps.Keys(d.stores))
	for _, node := range d.leases.Missing(owned.Name, nodes) {
		state := d.stores[node].holders[owned.Name]
		d.log.Info("queue without a valid lease", "queue", owned.Name, "epoch", owned.Epoch, "store", node,
			"up", d.stores[node].up, "holder", state.Holder, "holderEpoch", state.Epoch, "promised", d.highestEpochs[owned.Name])
	}
}
