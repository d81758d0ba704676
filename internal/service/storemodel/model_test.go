package storemodel

import (
	"fmt"
	"slices"
	"strconv"

	"yardwharf/internal/service/register"
)

// mutant is a rule that is broken on purpose.
type mutant uint8

const (
	sound             mutant = iota
	countsByAge              // a new disk counts without a proof
	skipsAwareness           // a reconciliation does not wait for dispatchers with older lists
	readsTooFew              // a reconciliation reads one source less
	acksOfLostDisks          // a copy counts though its disk has been lost since
	tellsAtOne               // an end is told when one store has it
	endsUnfenced             // a store takes an end of an older owner
	tellsWithoutAsk          // an older owner's end is told without a look at the newest owner
	removesByTime            // a store that is away is removed without a proof
	copiesOnNewStores        // a copy counts at a store that others may not know
	readsByOldLists          // a reader concludes by an older list of stores than a store has heard of
	asksForOpenOnly          // the newest owner is not asked whether it ended the message in another way
	tellsWithoutOwner        // an older owner's end is told while the queue has no owner
	mutants
)

var mutantNames = [...]string{"sound", "a new disk counts by its age", "reconciliation beside dispatchers with older lists",
	"reconciliation of too few sources", "a copy on a lost disk counts", "an end is told at one store", "an old owner's end is taken",
	"an old owner's end is told on", "a store is removed by time", "copies at a store that others do not know", "a read by an old list", "an owner that ended the message otherwise is passed over",
	"an older owner's end is told while there is none"}

// The progress of the message at a store or a dispatcher.
const (
	nothing = iota
	open
	ended
)

// end is how the message has ended: by whom, under which epoch.
type end struct {
	epoch uint8
	stamp uint8 // of the run
}

// storeState is one store.
type storeState struct {
	up       bool
	disk     uint8
	has      uint8
	end      end
	promised uint8
	holder   int8  // dispatcher with the lease, or -1
	heard    uint8 // newest list of stores that it was told
}

// dispatcherState is one dispatcher.
type dispatcherState struct {
	list    *register.Value
	epoch   uint8
	grants  uint8 // stores that granted the epoch
	owns    bool
	knows   uint8
	end     end
	acks    [storesMost]uint8 // disks that acknowledged a copy, by store; 0: none
	endAcks uint8
	runs    bool
	offline bool // it hears of no newer list
}

const (
	storesMost  = 5
	dispatchers = 2
)

// world is all there is. One message is accepted at most once.
type world struct {
	mutant    mutant
	tolerated int
	value     *register.Value
	valueKey  string // identifies the value
	stores    [storesMost]storeState
	edges     [dispatchers]dispatcherState
	accepted  bool
	stamps    uint8
	told      uint8 // the most that was told
	toldEnd   end
	wipes     int               // disks that may still be lost
	adds      int               // stores that may still be added
	targets   [storesMost]uint8 // sources that a store has read to reconcile, for its disk
	ordered   [storesMost]uint8 // the list that its order rests on
	fault     string
}

func nodeOf(i int) string { return "store-" + strconv.Itoa(i) }

func diskOf(i int, disk uint8) string { return fmt.Sprintf("%d/%d", i, disk) }

// newWorld returns a world with so many stores that are known and full.
func newWorld(stores, tolerated int, m mutant) *world {
	w := &world{mutant: m, tolerated: tolerated, value: &register.Value{}}
	for i := range stores {
		w.stores[i] = storeState{up: true, disk: 1, holder: -1}
		w.change(register.SetStores([]register.StoreMember{{Node: nodeOf(i), StoreID: diskOf(i, 1)}}))
	}
	for i := range stores {
		w.stores[i].heard = w.sequence(w.value)
	}
	for d := range w.edges {
		w.edges[d].list = w.value
	}
	return w
}

func (w *world) sequence(value *register.Value) uint8 { return uint8(value.StoresChanged) }

// change has the register take a change. That it is taken by agreement is the
// concern of the register's own search.
func (w *world) change(change register.Change) bool {
	next, _ := change(w.value)
	if next == nil {
		return false
	}
	copied := *next
	copied.Sequence = w.value.Sequence + 1
	copied.StoresChanged = copied.Sequence
	w.value, w.valueKey = &copied, fmt.Sprint(copied.Sequence, copied.Stores, copied.Missing)
	return true
}

func (w *world) broken(format string, values ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, values...)
	}
}

// listed reports whether a list has a store, and whether its disk there is the full one now.
func (w *world) listed(list *register.Value, i int) (known, full bool) {
	store, known := list.Store(nodeOf(i))
	return known, known && (store.FullStoreID == diskOf(i, w.stores[i].disk) || w.mutant == countsByAge)
}

func (w *world) needed(list *register.Value) int {
	return max(len(list.Stores)-w.tolerated, w.tolerated+1)
}

// countsFor reports whether what a store answers makes up a quorum for a list.
func (w *world) countsFor(list *register.Value, i int) bool {
	_, full := w.listed(list, i)
	return full && (w.stores[i].heard <= w.sequence(list) || w.mutant == readsByOldLists)
}

// tell has a dispatcher tell a store its list, with every renewal.
func (w *world) tell(d, i int) {
	w.stores[i].heard = max(w.stores[i].heard, w.sequence(w.edges[d].list))
}

// mayHold reports whether copies at a store count for a dispatcher.
func (w *world) mayHold(d, i int) bool {
	e := &w.edges[d]
	store, known := e.list.Store(nodeOf(i))
	if !known || e.list.IsMissing(store.Node) {
		return false
	}
	if w.mutant == copiesOnNewStores {
		return true
	}
	heard := 0
	for k := range w.stores {
		if _, full := w.listed(e.list, k); full && w.stores[k].heard >= uint8(store.Since) {
			heard++
		}
	}
	return heard >= w.needed(e.list)
}

// copiesOf counts the copies that a dispatcher may count: on the disks that its list names.
func (w *world) copiesOf(d int) int {
	count := 0
	for i, disk := range w.edges[d].acks {
		if disk == 0 || !w.mayHold(d, i) {
			continue
		}
		if store, _ := w.edges[d].list.Store(nodeOf(i)); store.StoreID == diskOf(i, disk) || w.mutant == acksOfLostDisks {
			count++
		}
	}
	return count
}

// step is one thing that may happen. It reports whether it changes anything.
type step struct {
	name string
	act  func(w *world) bool
}

// steps lists all that may happen.
func steps() []step {
	var all []step
	add := func(name string, act func(*world) bool) { all = append(all, step{name, act}) }
	for d := range dispatchers {
		add(fmt.Sprintf("d%d learns the list", d), func(w *world) bool { return w.learn(d) })
		add(fmt.Sprintf("d%d goes offline", d), func(w *world) bool { return w.goOffline(d) })
		add(fmt.Sprintf("d%d accepts", d), func(w *world) bool { return w.accept(d) })
		add(fmt.Sprintf("d%d bids", d), func(w *world) bool { return w.bid(d) })
		add(fmt.Sprintf("d%d loses its lease", d), func(w *world) bool { return w.expire(d) })
		add(fmt.Sprintf("d%d runs", d), func(w *world) bool { return w.run(d) })
		add(fmt.Sprintf("d%d succeeds", d), func(w *world) bool { return w.succeed(d) })
		add(fmt.Sprintf("d%d reads", d), func(w *world) bool { return w.read(d) })
		add(fmt.Sprintf("d%d calls back", d), func(w *world) bool { return w.callBack(d) })
		for i := range storesMost {
			add(fmt.Sprintf("d%d copies to %d", d, i), func(w *world) bool { return w.copyTo(d, i) })
			add(fmt.Sprintf("d%d ends at %d", d, i), func(w *world) bool { return w.endAt(d, i) })
			add(fmt.Sprintf("d%d asks %d", d, i), func(w *world) bool { return w.ask(d, i) })
		}
	}
	for i := range storesMost {
		add(fmt.Sprintf("%d goes dark", i), func(w *world) bool { return w.power(i, false) })
		add(fmt.Sprintf("%d is back", i), func(w *world) bool { return w.power(i, true) })
		add(fmt.Sprintf("%d loses its disk", i), func(w *world) bool { return w.wipe(i) })
		add(fmt.Sprintf("%d is registered", i), func(w *world) bool { return w.register(i) })
		add(fmt.Sprintf("%d is added", i), func(w *world) bool { return w.addStore(i) })
		add(fmt.Sprintf("%d begins to reconcile", i), func(w *world) bool { return w.order(i) })
		for k := range storesMost {
			add(fmt.Sprintf("%d reads %d", i, k), func(w *world) bool { return w.reconcile(i, k) })
		}
		add(fmt.Sprintf("%d is proved full", i), func(w *world) bool { return w.prove(i) })
		add(fmt.Sprintf("%d is given up", i), func(w *world) bool { return w.giveUp(i) })
		add(fmt.Sprintf("%d is removed", i), func(w *world) bool { return w.remove(i) })
	}
	return all
}

func (w *world) learn(d int) bool {
	e := &w.edges[d]
	if e.offline || e.list == w.value {
		return false
	}
	e.list = w.value
	return true
}

func (w *world) goOffline(d int) bool {
	changed := !w.edges[d].offline && d == dispatchers-1
	w.edges[d].offline = w.edges[d].offline || changed
	return changed
}

// copyTo writes a copy: the owner of the queue before it accepts, or to repair.
func (w *world) copyTo(d, i int) bool {
	e, s := &w.edges[d], &w.stores[i]
	known, _ := w.listed(e.list, i)
	if !known || !s.up || e.epoch == 0 || !e.owns && e.knows == nothing || e.knows == ended || e.acks[i] == s.disk {
		return false
	}
	w.tell(d, i)
	if s.promised > e.epoch {
		return false
	}
	s.promised = max(s.promised, e.epoch)
	if s.has == nothing {
		s.has = open
	}
	e.acks[i] = s.disk
	return true
}

// accept tells the client that its message is kept.
func (w *world) accept(d int) bool {
	e := &w.edges[d]
	if w.accepted || !e.owns || w.copiesOf(d) <= w.tolerated {
		return false
	}
	w.accepted, e.knows = true, open
	return true
}

// bid begins a takeover under a new epoch.
func (w *world) bid(d int) bool {
	e := &w.edges[d]
	if e.owns || e.runs || e.grants != 0 {
		return false
	}
	highest := e.epoch
	for _, s := range w.stores {
		highest = max(highest, s.promised)
	}
	if highest >= 4 {
		return false
	}
	*e = dispatcherState{list: e.list, offline: e.offline, epoch: highest + 1}
	return true
}

// ask asks one store for the lease, and takes in what it has.
func (w *world) ask(d, i int) bool {
	e, s := &w.edges[d], &w.stores[i]
	known, _ := w.listed(e.list, i)
	if !known || !s.up || e.owns || e.epoch == 0 || e.grants&(1<<i) != 0 || s.holder >= 0 || s.promised >= e.epoch {
		return false
	}
	w.tell(d, i)
	s.promised, s.holder = e.epoch, int8(d)
	if w.countsFor(e.list, i) {
		e.grants |= 1 << i
	}
	w.takeIn(e, s)
	count := 0
	for k := range w.stores {
		if e.grants&(1<<k) != 0 {
			count++
		}
	}
	if count >= w.needed(e.list) {
		e.owns = true
		w.checkOwner(d)
	}
	return true
}

// takeIn merges what a store has into what a dispatcher knows.
func (w *world) takeIn(e *dispatcherState, s *storeState) {
	switch {
	case s.has == ended && (e.knows != ended || s.end.epoch > e.end.epoch):
		e.knows, e.end = ended, s.end
	case s.has == open && e.knows == nothing:
		e.knows = open
	}
}

// checkOwner judges a dispatcher that has just become the owner.
func (w *world) checkOwner(d int) {
	e := &w.edges[d]
	for other := range w.edges {
		if other != d && w.edges[other].owns {
			w.broken("two owners")
		}
	}
	switch {
	case w.accepted && e.knows == nothing:
		w.broken("an accepted message is not known to its new owner")
	case w.told == ended && (e.knows != ended || e.end.stamp != w.toldEnd.stamp):
		w.broken("an end that was told is not known to the new owner")
	}
}

// expire ends a lease: at its holder first, at the stores then.
func (w *world) expire(d int) bool {
	e := &w.edges[d]
	if e.grants == 0 {
		return false
	}
	e.owns, e.grants = false, 0
	for i := range w.stores {
		if w.stores[i].holder == int8(d) {
			w.stores[i].holder = -1
		}
	}
	return true
}

// run begins a delivery.
func (w *world) run(d int) bool {
	e := &w.edges[d]
	if !e.owns || e.knows != open || e.runs || !w.accepted {
		return false
	}
	e.runs = true
	return true
}

// succeed ends a delivery, also after the lease is lost.
func (w *world) succeed(d int) bool {
	e := &w.edges[d]
	if !e.runs {
		return false
	}
	w.stamps++
	e.runs, e.knows, e.end = false, ended, end{epoch: e.epoch, stamp: w.stamps}
	return true
}

// endAt records the end at a store. An owner records what it has learned under its own epoch.
func (w *world) endAt(d, i int) bool {
	e, s := &w.edges[d], &w.stores[i]
	if known, _ := w.listed(e.list, i); !known || !s.up || e.knows != ended || e.endAcks&(1<<i) != 0 {
		return false
	}
	w.tell(d, i)
	recorded := e.end
	if e.owns {
		recorded.epoch = e.epoch
	}
	if s.promised > recorded.epoch && w.mutant != endsUnfenced {
		return false
	}
	if !s.takes(recorded) {
		return false
	}
	e.endAcks |= 1 << i
	return true
}

// callBack tells an end by itself, once enough stores have recorded it.
func (w *world) callBack(d int) bool {
	e := &w.edges[d]
	kept := 0
	for i := range w.stores {
		if e.endAcks&(1<<i) != 0 && w.mayHold(d, i) {
			kept++
		}
	}
	if e.knows != ended || kept <= w.tolerated || w.told == ended && w.toldEnd.stamp == e.end.stamp {
		return false
	}
	w.tellClient(ended, e.end)
	return true
}

// takes records an end unless that of a newer owner is there.
func (s *storeState) takes(recorded end) bool {
	switch {
	case s.has != ended, recorded.epoch > s.end.epoch:
		s.has, s.end = ended, recorded
	case s.end.stamp != recorded.stamp:
		return false
	}
	return true
}

// read asks for the message's state through a dispatcher, in one moment: in the
// program it takes longer, but each store's answer is as old as the question at most.
func (w *world) read(d int) bool {
	e := &w.edges[d]
	counted, best, kept, promised := 0, storeState{}, 0, uint8(0)
	var answers, counting []*storeState
	for i := range w.stores {
		s := &w.stores[i]
		if known, _ := w.listed(e.list, i); !known || !s.up {
			continue
		}
		answers = append(answers, s)
		if w.mayHold(d, i) {
			counting = append(counting, s)
		}
		if w.countsFor(e.list, i) {
			counted++
		}
		promised = max(promised, s.promised)
		if s.has > best.has || s.has == ended && best.has == ended && s.end.epoch > best.end.epoch {
			best = *s
		}
	}
	for _, s := range counting {
		if s.has == best.has && s.end == best.end {
			kept++
		}
	}
	complete := counted >= w.needed(e.list)
	switch {
	case best.has == nothing && complete:
		w.tellClient(nothing, end{})
	case best.has == open && complete && kept > w.tolerated:
		w.tellClient(open, end{})
	case best.has == ended && w.stands(best.end, promised, kept, complete, answers, counting):
		w.tellClient(ended, best.end)
	default:
		return false
	}
	return true
}

// stands reports whether an end can be told, and records it at stores that lack it.
func (w *world) stands(told end, promised uint8, kept int, complete bool, answers, counting []*storeState) bool {
	if w.mutant == tellsAtOne {
		return true
	}
	if promised > told.epoch && w.mutant != tellsWithoutAsk {
		if !complete {
			return false
		}
		asked := false
		for _, s := range answers {
			if s.holder >= 0 {
				asked = true
				if owner := &w.edges[s.holder]; !owner.owns || owner.knows == open || owner.knows == ended && owner.end.stamp != told.stamp && w.mutant != asksForOpenOnly {
					return false
				}
			}
		}
		if !asked && w.mutant != tellsWithoutOwner {
			return false
		}
		told.epoch, kept = promised, 0
	}
	if kept <= w.tolerated {
		if !complete {
			return false
		}
		kept = 0
		for _, s := range counting {
			if kept <= w.tolerated && s.promised <= told.epoch && s.takes(told) {
				kept++
			}
		}
	}
	return kept > w.tolerated
}

// tellClient judges what is told by what was told before.
func (w *world) tellClient(has uint8, told end) {
	switch {
	case has == nothing && w.accepted:
		w.broken("an accepted message is not found")
	case has < w.told:
		w.broken("what was told is taken back")
	case has == ended && w.told == ended && told.stamp != w.toldEnd.stamp:
		w.broken("another end is told")
	}
	if has > w.told {
		w.told, w.toldEnd = has, told
	}
}

func (w *world) power(i int, on bool) bool {
	s := &w.stores[i]
	if s.disk == 0 || s.up == on {
		return false
	}
	s.up = on
	return true
}

// lacking counts the known stores whose disk is not the full one.
func (w *world) lacking() int {
	count := 0
	for i := range w.stores {
		if store, known := w.value.Store(nodeOf(i)); known && store.FullStoreID != diskOf(i, w.stores[i].disk) {
			count++
		}
	}
	return count
}

// wipe loses a disk, at most as many as may be lost.
func (w *world) wipe(i int) bool {
	s := &w.stores[i]
	if s.disk == 0 || w.wipes == 0 || w.lacking() >= w.tolerated {
		return false
	}
	if _, known := w.value.Store(nodeOf(i)); !known {
		return false
	}
	w.wipes--
	*s = storeState{up: s.up, disk: s.disk + 1, holder: -1}
	w.targets[i], w.ordered[i] = 0, 0
	return true
}

// register has the register note the disk of a store.
func (w *world) register(i int) bool {
	s := &w.stores[i]
	if s.disk == 0 || !s.up {
		return false
	}
	return w.change(register.SetStores([]register.StoreMember{{Node: nodeOf(i), StoreID: diskOf(i, s.disk)}}))
}

// addStore starts one more store.
func (w *world) addStore(i int) bool {
	if w.stores[i].disk != 0 || w.adds == 0 || i > 0 && w.stores[i-1].disk == 0 {
		return false
	}
	w.adds--
	w.stores[i] = storeState{up: true, disk: 1, holder: -1}
	return w.register(i)
}

// order has a store begin to reconcile by the present list. The dispatchers must
// go by it, unless they have no session: they write nothing then.
func (w *world) order(i int) bool {
	if w.stores[i].disk == 0 || !w.stores[i].up || w.ordered[i] == w.sequence(w.value) {
		return false
	}
	for d := range w.edges {
		e := &w.edges[d]
		session := e.owns || e.grants != 0 || e.acks != [storesMost]uint8{}
		if e.list != w.value && session && w.mutant != skipsAwareness {
			return false
		}
	}
	w.ordered[i], w.targets[i] = w.sequence(w.value), 0
	return true
}

// reconcile has a store read another and copy all that it has.
func (w *world) reconcile(i, k int) bool {
	s, from := &w.stores[i], &w.stores[k]
	source, known := w.value.Store(nodeOf(k))
	if i == k || w.ordered[i] == 0 || w.ordered[i] != w.sequence(w.value) || !s.up || !from.up || !known || !source.Full() ||
		source.StoreID != diskOf(k, from.disk) || w.targets[i]&(1<<k) != 0 {
		return false
	}
	w.targets[i] |= 1 << k
	switch {
	case from.has == ended:
		s.takes(from.end)
	case from.has == open && s.has == nothing:
		s.has = open
	}
	return true
}

// proofOf returns what a store's reconciliation proves. In the model it copies all
// that it reads, so that each message stands at one disk more.
func (w *world) proofOf(i int, without string) register.Reconciled {
	proof := register.Reconciled{Copies: w.value.CopiesWanted(w.tolerated, without), Tolerated: w.tolerated}
	for k := range w.stores {
		if store, known := w.value.Store(nodeOf(k)); known && w.targets[i]&(1<<k) != 0 {
			proof.Read = append(proof.Read, register.DiskRef{Node: store.Node, StoreID: store.StoreID})
		}
	}
	if w.mutant == readsTooFew {
		for _, store := range w.value.Stores {
			if store.Full() && !slices.Contains(proof.Read, register.DiskRef{Node: store.Node, StoreID: store.StoreID}) && len(proof.Read) < w.value.ReadsWanted(w.tolerated) {
				proof.Read = append(proof.Read, register.DiskRef{Node: store.Node, StoreID: store.StoreID})
				break
			}
		}
	}
	return proof
}

// prove makes a store's disk a full one.
func (w *world) prove(i int) bool {
	store, known := w.value.Store(nodeOf(i))
	if !known || store.Full() || w.ordered[i] == 0 || w.ordered[i] != w.sequence(w.value) {
		return false
	}
	target := register.DiskRef{Node: store.Node, StoreID: diskOf(i, w.stores[i].disk)}
	return w.change(register.MarkFull(target, w.proofOf(i, store.Node)))
}

// giveUp gives a store up, where enough others are there.
func (w *world) giveUp(i int) bool {
	store, known := w.value.Store(nodeOf(i))
	if !known || w.stores[i].up || len(w.value.Stores) <= 2*w.tolerated+1 || len(w.value.Missing) > 0 {
		return false
	}
	return w.change(register.SetMissing([]string{store.Node}))
}

// remove removes a store that was given up, once all others have read each other:
// the model asks for the proof of every store that stays, where the program counts copies.
func (w *world) remove(i int) bool {
	store, known := w.value.Store(nodeOf(i))
	if !known || !w.value.IsMissing(store.Node) {
		return false
	}
	if w.mutant == removesByTime {
		value := *w.value
		value.Stores = slices.DeleteFunc(slices.Clone(value.Stores), func(s register.StoreMember) bool { return s.Node == store.Node })
		value.Missing = nil
		return w.change(func(*register.Value) (*register.Value, register.Outcome) { return &value, register.Taken })
	}
	var read, staying uint8
	holding := 0
	for k := range w.stores {
		other, listed := w.value.Store(nodeOf(k))
		if !listed || k == i {
			continue
		}
		if w.ordered[k] != w.sequence(w.value) || !other.Full() {
			return false
		}
		staying |= 1 << k
		read |= w.targets[k] | 1<<k
		holding++
	}
	for k := range w.stores {
		if _, listed := w.value.Store(nodeOf(k)); listed && k != i && (w.targets[k]|1<<k)&staying != staying {
			return false
		}
	}
	proof := register.Reconciled{Copies: holding, Tolerated: w.tolerated}
	for k := range w.stores {
		if other, listed := w.value.Store(nodeOf(k)); listed && read&(1<<k) != 0 {
			proof.Read = append(proof.Read, register.DiskRef{Node: other.Node, StoreID: other.StoreID})
		}
	}
	return w.change(register.RemoveStore(store.Node, proof))
}
