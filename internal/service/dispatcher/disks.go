package dispatcher

import "yardwharf/internal/service/protocol"

// counts reports whether a store that told of this disk makes up leases, and
// whether what it does not have is not there: the register says that this disk
// holds all that it must. Of another disk nobody knows what it lacks, however old
// it is.
func (l *storeLink) counts(storeID string) bool { return storeID != "" && storeID == l.fullDisk }

// known reports whether copies at a store count: so many others have on disk that it
// is there that every later reader hears of it, however old the list of stores is
// that it goes by. The mutex is held.
func (d *Dispatcher) known(link *storeLink) bool {
	told := 0
	for _, other := range d.stores {
		if other.countsNow() && other.told >= link.since {
			told++
		}
	}
	return told >= d.grantsWanted()
}

// countCopies counts the stores of which later readers hear, and which stay. The mutex
// is held.
func (d *Dispatcher) countCopies(nodes []string) int {
	count := 0
	for _, node := range nodes {
		if link := d.stores[node]; link != nil && !link.leaving && d.known(link) {
			count++
		}
	}
	return count
}

// enough reports whether so many stores count that a message, or its end, is kept.
func (d *Dispatcher) enough(nodes []string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.countCopies(nodes) >= d.copiesWanted()
}

// listIsOld reports whether a store has heard of a later list of stores than the one
// that this dispatcher goes by. What it does not find may be at a store that it does
// not know. The mutex is held.
func (d *Dispatcher) listIsOld(storesKnown uint64) bool { return storesKnown > d.storesKnown }

// countsNow reports whether the store counts with the disk that it told last.
func (l *storeLink) countsNow() bool { return l.counts(l.storeID) }

// grantsCount reports whether the grants of a store make up leases. The mutex is
// held.
func (d *Dispatcher) grantsCount(node string) bool {
	link := d.stores[node]
	return link != nil && link.countsNow()
}

// noteDisk notes the disk that a store has now. All copies on the one before are
// lost. The mutex is held.
func (d *Dispatcher) noteDisk(link *storeLink, storeID string) {
	if link.storeID == storeID {
		return
	}
	if link.storeID != "" {
		d.diskLost(link)
	}
	link.storeID = storeID
}

// diskLost takes the disk of a store for lost. Until the store tells its new one,
// none is known. The mutex is held.
func (d *Dispatcher) diskLost(link *storeLink) {
	d.log.Info("store has a new disk", "store", link.node)
	link.ends, link.failures = map[string]protocol.End{}, map[string]int{}
	link.formerDisks[link.storeID] = true
	link.storeID, link.told = "", 0
	d.leases.Lost(link.node)
	for _, owned := range d.queues {
		delete(owned.granted, link.node)
	}
	d.copiesLost(link)
}

// noteListed takes in what the register says of a store's disks. A disk that the
// store itself has not told yet replaces the one that is known: that one is lost
// by then. The mutex is held.
func (d *Dispatcher) noteListed(link *storeLink, storeID, fullDisk string) {
	if storeID != "" && link.storeID != "" && link.storeID != storeID && !link.formerDisks[storeID] {
		d.diskLost(link)
	}
	link.fullDisk = fullDisk
}
