package dispatcher

import "yardwharf/internal/service/protocol"

// diskComplete reports whether a store with this disk counts toward leases, and whether data
// that it lacks does not exist: the register lists the disk as complete. What any other
// disk lacks is unknown, no matter how old the disk is.
func (l *storeLink) diskComplete(storeID string) bool {
	return storeID != "" && storeID == l.completeDisk
}

// knownToQuorum reports whether copies at a store count: enough stores have the store on disk in
// their list that every later reader learns of it, no matter how old the reader's own list
// is. The mutex is held.
func (d *Dispatcher) knownToQuorum(link *storeLink) bool {
	told := 0
	for _, other := range d.stores {
		if other.complete() && other.storesKnown >= link.listedSequence {
			told++
		}
	}
	return told >= d.grantsNeeded()
}

// countCopies counts the stores that every later reader learns of and that are not
// leaving. The mutex is held.
func (d *Dispatcher) countCopies(nodes []string) int {
	count := 0
	for _, node := range nodes {
		if link := d.stores[node]; link != nil && !link.leaving && d.knownToQuorum(link) {
			count++
		}
	}
	return count
}

// enoughCopiesAt reports whether copies at these stores are enough for a message, or its end, to be durable.
func (d *Dispatcher) enoughCopiesAt(nodes []string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.countCopies(nodes) >= d.requiredCopies()
}

// storeListOutdated reports whether a store has a newer list of stores than this dispatcher.
// What is not found then may be at a store that this dispatcher does not know. The mutex
// is held.
func (d *Dispatcher) storeListOutdated(storesKnown uint64) bool { return storesKnown > d.storesKnown }

// complete reports whether the disk that the store last reported is complete.
func (l *storeLink) complete() bool { return l.diskComplete(l.storeID) }

// grantCounts reports whether grants of a store count toward leases. The mutex is
// held.
func (d *Dispatcher) grantCounts(node string) bool {
	link := d.stores[node]
	return link != nil && link.complete()
}

// noteDisk records the current disk of a store. If it has changed, all copies on the
// previous disk are lost. The mutex is held.
func (d *Dispatcher) noteDisk(link *storeLink, storeID string) {
	if link.storeID == storeID {
		return
	}
	if link.storeID != "" {
		d.diskLost(link)
	}
	link.storeID = storeID
}

// diskLost handles the loss of a store's disk. The disk remains unknown until the
// store reports its new one. The mutex is held.
func (d *Dispatcher) diskLost(link *storeLink) {
	d.log.Info("store has a new disk", "store", link.node)
	link.pendingEnds, link.pendingFailures, link.endBatches = map[string]protocol.End{}, map[string]int{}, endBatches{}
	link.lostDisks[link.storeID] = true
	link.storeID, link.storesKnown = "", 0
	d.leases.Lost(link.node)
	for _, owned := range d.queues {
		delete(owned.grantRequestedAt, link.node)
	}
	d.handleLostCopiesOf(link)
}

// noteListed applies the register's entry for a store's disks. If it names a disk that
// the store has not reported yet, the disk known so far has been lost. The mutex is
// held.
func (d *Dispatcher) noteListed(link *storeLink, storeID, fullDisk string) {
	if storeID != "" && link.storeID != "" && link.storeID != storeID && !link.lostDisks[storeID] {
		d.diskLost(link)
	}
	link.completeDisk = fullDisk
}
