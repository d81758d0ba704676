package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	replacementGap   = time.Second // until an empty machine takes the place of one that is gone
	retirementMost   = 15 * time.Second
	retirementEvery  = 200 * time.Millisecond
	catchUpOfAStore  = 4500 * time.Millisecond // after it is back
	wipesInTurn      = 2
	behindLeast      = 300  // milliseconds
	behindMost       = 1500 // milliseconds
	darkLeast        = 1000 // milliseconds
	darkMost         = 5000 // milliseconds
	storesAtTheStart = machinesEach
)

// overlaps are troubles of several machines that count at once. No more disks are
// lost than one at a time.
var overlaps = []fault{
	{name: "behindStores", loss: true, play: func(w *world, r *rand.Rand) { w.behind("behindStores", w.liveStores(), r) }},
	{name: "behindControls", loss: true, play: func(w *world, r *rand.Rand) { w.behind("behindControls", w.liveControls(), r) }},
	{name: "halves", loss: true, play: func(w *world, r *rand.Rand) { w.halves(r) }},
	{name: "powerAll", loss: true, play: func(w *world, r *rand.Rand) { w.powerAll(r, false) }},
	{name: "powerAllWipe", loss: true, play: func(w *world, r *rand.Rand) { w.powerAll(r, true) }},
	{name: "wipeOldest", loss: true, play: func(w *world, r *rand.Rand) { w.wipeOldest(r) }},
	{name: "replaceStore", loss: true, play: func(w *world, r *rand.Rand) { w.replaceStore(r, false) }},
	{name: "replacePlanned", loss: true, play: func(w *world, r *rand.Rand) { w.replaceStore(r, true) }},
	{name: "retireStore", loss: true, play: func(w *world, r *rand.Rand) { w.retireStore(r) }},
	{name: "stallControl", loss: true, play: func(w *world, r *rand.Rand) { w.stall(choose(r, w.liveControls()), r) }},
	{name: "garble", play: func(w *world, r *rand.Rand) { w.garble(r) }},
	{name: "storm", play: func(w *world, r *rand.Rand) { w.storm(r) }},
}

func init() { faults = append(faults, overlaps...) }

// between returns a random time between two numbers of milliseconds.
func between(random *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+random.IntN(most-least)) * time.Millisecond
}

// hold waits until no other fault ends or starts a process.
func (p *process) hold() (release func()) {
	for !p.turn.TryLock() {
		time.Sleep(10 * time.Millisecond)
	}
	return p.turn.Unlock
}

// down ends a process by a loss of power, with its disk if it is wiped.
func (w *world) down(p *process, random *rand.Rand, wipe bool) {
	w.network.Power(p.machine, false)
	p.kill(random, true)
	if wipe {
		p.disk.wipe()
	}
}

// up gives a machine its power back.
func (w *world) up(p *process) {
	w.network.Power(p.machine, true)
	p.start()
}

// behind cuts one off, so that it misses what happens; then another loses its disk,
// the rest is dark, and the cut heals.
func (w *world) behind(kind string, from []*process, random *rand.Rand) {
	order := random.Perm(len(from))
	cut, wiped, dark := from[order[0]], from[order[1]], []*process{}
	for _, index := range order[2:] {
		dark = append(dark, from[index])
	}
	for _, p := range from {
		defer p.hold()()
	}
	t := w.journal.begin(kind, cut.machine)
	defer w.journal.end(t)
	w.cutAll(cut.machine, true, false)
	time.Sleep(between(random, behindLeast, behindMost))
	w.down(wiped, random, true)
	for _, p := range dark {
		w.down(p, random, false)
	}
	time.Sleep(between(random, 50, 400))
	w.up(wiped)
	w.cutAll(cut.machine, false, false)
	time.Sleep(between(random, darkLeast, darkMost))
	for _, p := range dark {
		w.up(p)
	}
}

// halves cuts the machines that count into two halves, which all others reach.
func (w *world) halves(random *rand.Rand) {
	all := slices.Concat(w.liveStores(), w.liveControls())
	side := make([]bool, len(all))
	for i := range side {
		side[i] = random.IntN(2) == 0
	}
	t := w.journal.begin("halves", storageMachine(0))
	defer w.journal.end(t)
	set := func(cut bool) {
		for i, a := range all {
			for k, b := range all {
				if side[i] != side[k] {
					w.network.Cut(a.machine, b.machine, cut)
				}
			}
		}
	}
	set(true)
	time.Sleep(between(random, darkLeast, darkMost))
	set(false)
}

// powerAll takes the power from every machine at once, and one disk of each kind
// where one is wiped.
func (w *world) powerAll(random *rand.Rand, wipe bool) {
	all := w.processes()
	for _, p := range all {
		defer p.hold()()
	}
	kind := "powerAll"
	wiped := map[*process]bool{}
	if wipe {
		kind = "powerAllWipe"
		wiped[choose(random, w.liveStores())] = true
		wiped[choose(random, w.liveControls())] = true
	}
	t := w.journal.begin(kind, storageMachine(0))
	defer w.journal.end(t)
	for _, p := range all {
		w.down(p, random, wiped[p])
	}
	time.Sleep(between(random, 200, 1500))
	random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	for _, p := range all {
		w.up(p)
		time.Sleep(between(random, 1, 30))
	}
}

// wipeOldest has the store lose its disk whose disk has lasted longest, then the
// next one as soon as the first must have caught up.
func (w *world) wipeOldest(random *rand.Rand) {
	for turn := range wipesInTurn {
		if turn > 0 {
			time.Sleep(catchUpOfAStore)
		}
		stores := w.liveStores()
		oldest := slices.MinFunc(stores, func(a, b *process) int { return int(a.diskSince - b.diskSince) })
		w.restart("wipeOldest", oldest, random, true, true)
		oldest.diskSince = w.journal.now()
	}
}

// addStore starts one more store, with an empty disk.
func (w *world) addStore() {
	w.newStore().start()
}

// newStore makes one more store, with an empty disk.
func (w *world) newStore() *process {
	w.storesMutex.Lock()
	number := storesAtTheStart + w.storesAdded
	w.storesAdded++
	w.storesMutex.Unlock()
	p := w.storeProcess(number)
	p.added, p.diskSince = true, w.journal.now()
	w.storesMutex.Lock()
	w.stores = append(w.stores, p)
	w.storesMutex.Unlock()
	return p
}

// takeAway ends a store for good. Its process stays known, to be waited for.
func (w *world) takeAway(p *process) {
	w.storesMutex.Lock()
	defer w.storesMutex.Unlock()
	w.gone = append(w.gone, p)
	w.stores = slices.DeleteFunc(slices.Clone(w.stores), func(other *process) bool { return other == p })
}

// liveStores returns the stores that are not gone for good.
func (w *world) liveStores() []*process {
	w.storesMutex.Lock()
	defer w.storesMutex.Unlock()
	return slices.Clone(w.stores)
}

// replaceStore takes a store away for good, and starts an empty one at another
// address: before that where it is planned, else a while after.
func (w *world) replaceStore(random *rand.Rand, planned bool) {
	old := choose(random, w.liveStores())
	defer old.hold()()
	kind := "replaceStore"
	if planned {
		kind = "replacePlanned"
	}
	t := w.journal.begin(kind, old.machine)
	defer w.journal.end(t)
	if planned {
		w.addStore()
		time.Sleep(between(random, 1000, 3000))
		old.stop()
	}
	w.takeAway(old)
	w.down(old, random, true)
	if !planned {
		time.Sleep(replacementGap)
		w.addStore()
	}
}

// retireStore adds a store, has another emptied, takes it away with its disk once
// it is, and has a third lose its disk right after.
func (w *world) retireStore(random *rand.Rand) {
	w.addStore()
	time.Sleep(between(random, 2000, 4000))
	stores := w.liveStores()
	order := random.Perm(len(stores))
	old, wiped := stores[order[0]], stores[order[1]]
	defer old.hold()()
	t := w.journal.begin("retireStore", old.machine)
	defer w.journal.end(t)
	if !w.operator.retire(old.settings.Node, random) {
		return // refused, or not done in time: it stays
	}
	w.takeAway(old)
	w.down(old, random, true)
	defer wiped.hold()()
	w.down(wiped, random, true)
	time.Sleep(lasting(random))
	w.up(wiped)
	wiped.diskSince = w.journal.now()
}

// retire orders that a store is emptied, and waits for it.
func (o *operator) retire(node string, random *rand.Rand) bool {
	for range operatorTry {
		request, _ := http.NewRequest(http.MethodPost, o.url("/Retire.Begin/"+node, random), strings.NewReader(`{"deadlineS":10}`))
		status, _ := o.call(request)
		if status == http.StatusOK {
			break
		}
		if status == http.StatusConflict || status == http.StatusNotFound {
			return false
		}
		time.Sleep(retirementEvery)
	}
	for until := o.world.journal.now() + retirementMost; o.world.journal.now() < until; time.Sleep(retirementEvery) {
		request, _ := http.NewRequest(http.MethodGet, o.url("/Retire.Read/"+node, random), nil)
		if status, content := o.call(request); status == http.StatusOK && strings.Contains(content, "completed") {
			return true
		}
	}
	return false
}

// storm sends configurations in quick succession, several at once.
func (w *world) storm(random *rand.Rand) {
	const changes, atOnce = 40, 4
	slots := make(chan struct{}, atOnce)
	for range changes {
		slots <- struct{}{}
		own := rand.New(rand.NewPCG(random.Uint64(), 8))
		w.parties.Go(func() {
			defer func() { <-slots }()
			w.operator.change(own)
		})
		time.Sleep(between(random, 10, 60))
	}
}

// garble has senders spoil some of their answers for a while.
func (w *world) garble(random *rand.Rand) {
	t := w.journal.begin("garble", machineOf(platformAddress))
	defer w.journal.end(t)
	w.garbling.Store(true)
	time.Sleep(lasting(random))
	w.garbling.Store(false)
}

// storageNode names the storage machine with a number.
func storageNode(number int) string { return fmt.Sprintf("storage-%d", number+1) }

// storeProcess makes a store with a number.
func (w *world) storeProcess(number int) *process {
	s := w.settings("storage", storageMachine(number), number%machinesEach)
	s.Node = storageNode(number)
	s.DataDir = "/data"
	return w.process(s, "store", storeRun, newDisk(cmp.Or(w.options.StoreSync, syncTime)))
}
