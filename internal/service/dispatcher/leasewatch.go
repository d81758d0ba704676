package dispatcher

import (
	"maps"
	"slices"
	"time"
)

const (
	leaseWatchEvery = time.Second     // between two looks at the leases of all queues
	leaseLateAfter  = 2 * time.Second // without a valid lease, a queue is logged
)

// leaseWatch remembers what was logged of leases that cannot be had.
type leaseWatch struct {
	tooFew  bool // too few stores count for any lease
	looked  time.Duration
	invalid map[string]time.Duration // queues owned without a valid lease, since when
	logged  map[string]bool          // of those, the ones that were logged
}

// watchLeases logs when too few stores count for leases, and queues that have been
// without a valid lease for long. The mutex is held.
func (d *Dispatcher) watchLeases() {
	counting := wholeStores(d.upStores())
	if tooFew := counting < d.grantsWanted(); tooFew != d.leaseWatch.tooFew {
		d.leaseWatch.tooFew = tooFew
		d.log.Info("stores for leases", "enough", !tooFew, "known", d.knownStores(), "counting", counting, "wanted", d.grantsWanted())
	}
	if now := d.now(); now-d.leaseWatch.looked >= leaseWatchEvery {
		d.leaseWatch.looked = now
		d.watchQueues(now)
	}
}

// watchQueues logs the queues that have been without a valid lease for long, once
// each time. The mutex is held.
func (d *Dispatcher) watchQueues(now time.Duration) {
	invalid, logged := map[string]time.Duration{}, map[string]bool{}
	for name, owned := range d.queues {
		if isLocal(name) || owned.leaving || d.leaseValid(owned) {
			continue
		}
		invalid[name] = now
		if since, noted := d.leaseWatch.invalid[name]; noted {
			invalid[name], logged[name] = since, d.leaseWatch.logged[name]
		}
		if now-invalid[name] >= leaseLateAfter && !logged[name] && !d.leaseWatch.tooFew {
			logged[name] = true
			d.logInvalid(owned)
		}
	}
	d.leaseWatch.invalid, d.leaseWatch.logged = invalid, logged
}

// logInvalid logs which stores lack in the lease of a queue, and whom they take for
// its owner. The mutex is held.
func (d *Dispatcher) logInvalid(owned *ownedQueue) {
	nodes := slices.Sorted(maps.Keys(d.stores))
	for _, node := range d.leases.Missing(owned.Name, nodes) {
		state := d.stores[node].holders[owned.Name]
		d.log.Info("queue without a valid lease", "queue", owned.Name, "epoch", owned.Epoch, "store", node,
			"up", d.stores[node].up, "holder", state.Holder, "holderEpoch", state.Epoch, "promised", d.epochs[owned.Name])
	}
}
