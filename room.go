package yardwharf

import (
	"math"
	"slices"
	"time"
)

// This file keeps the books of room: how many slots a worker has for jobs that start at
// once, and how many of them are taken. Reports of free slots tell how many slots a kind
// of worker has; starts and waits tell where less of that is to be had, as where jobs of
// dispatchers are there that tell nothing. Where reports come with probes only, workers
// are asked in turn.

const (
	roomUp     = 0.25                   // a job that starts at once with all room taken adds this to it
	roomDown   = 0.25                   // one that waits takes this
	roomPart   = 2                      // even parts of a worker's slots that a dispatcher begins with where none tell
	freeFresh  = 3 * time.Second        // how long a report of free slots counts: workers refresh theirs each 0.3 to 1.6 s
	copyGuess  = 0.15                   // part of the slack after which a copy goes where room is guessed
	roomAgain  = 8 * time.Second        // a worker without room that looks empty gets a job this often
	slotsMost  = 1024                   // a worker is not believed to have more
	reportsFew = 24                     // reports up to which workers are asked as fast as may be
	slotsSure  = 3                      // sightings that count
	crossKeen  = 2.0                    // how long a request waits at home before it crosses, by the crossing's price
	crossMost  = 0.9                    // of its patience, at most
	askCost    = 0.003                  // of a request's worth that probes may cost
	askMost    = 2.0                    // probes for each request taken, whatever the price
	askGap     = 100 * time.Millisecond // least time between two of a dispatcher's
	askRare    = 2 * time.Second        // and most
)

// learnRoom follows how many jobs a worker starts at once, as one has started there.
func (w *worker) learnRoom(atOnce bool) {
	if !atOnce {
		w.room = max(0, w.room-roomDown)
	} else if w.used()+1 > w.room {
		w.room += roomUp
	}
}

// slots is how many slots a kind of worker has, as far as seen.
type slots struct {
	most float64
	seen map[float64]int // how often more were seen
}

// sight takes note of so many slots seen at a worker.
func (b *Balancer) sight(kind int, n float64) {
	k := &b.slots[kind]
	if n <= k.most || n > slotsMost {
		return
	}
	if k.seen == nil {
		k.seen = map[float64]int{}
	}
	if k.seen[n]++; k.seen[n] >= slotsSure {
		b.raise(kind, n)
	}
}

// raise books that a kind of worker has so many slots at least.
func (b *Balancer) raise(kind int, n float64) {
	if k := &b.slots[kind]; n > k.most {
		*k = slots{most: n}
		b.slotsLeast = n
		for _, o := range b.slots {
			b.slotsLeast = min(b.slotsLeast, max(1, o.most))
		}
		for _, o := range b.workers {
			if o.kind == kind {
				o.room = max(o.room, b.firstRoom(kind))
			}
		}
	}
}

// used is how many slots own jobs at a worker need, and those that peers told of.
func (w *worker) used() float64 { return w.load + float64(w.others) }

// goesOn is how much longer a job is taken to hold its slots that nobody waits for any
// more. Guards against slots that look free as soon as a client has gone away, where that
// stops no work; where it does they are free a little later than they might be.
func (b *Balancer) goesOn(r *request, a *attempt, st Status) time.Duration {
	if st != Cancelled || !b.known() {
		return 0
	}
	run := seconds(b.classes[r.Class].service)
	if a.hasStarted {
		return run - (b.now - a.started)
	}
	return 0
}

// ghost is a job that is taken to go on.
type ghost struct {
	w     *worker
	slots float64
}

// keepFor books slots as in use for a while.
func (b *Balancer) keepFor(d time.Duration, w *worker, slots float64) {
	b.ghost++
	b.ghosts[b.ghost] = ghost{w, slots}
	b.after(d, b.ghost, timerGhost)
}

// letGo frees slots that were kept.
func (b *Balancer) letGo(id RequestID) {
	if g, kept := b.ghosts[id]; kept {
		g.w.load -= g.slots
		b.load -= g.slots
		delete(b.ghosts, id)
	}
}

// mayCross says whether a request may leave the zone yet: while a host at home could serve,
// it waits there for a part of its patience, the longer the more of its worth a crossing
// costs. Guards against crossings for what would have had room in a moment. Where others'
// work is not told, home being full is a guess, and waiting for it costs more than it saves.
func (b *Balancer) mayCross(r *request) bool {
	if !b.alone() || r.class.Worth <= 0 || b.s.CrossZonePrice <= 0 ||
		b.lost[b.s.Zone] >= zoneLost || !b.zoneFit(b.s.Zone) {
		return true
	}
	part := min(crossMost, crossKeen*b.s.CrossZonePrice*b.meanWorth/(r.class.Worth*max(r.share, 0.01)))
	return float64(b.now-r.came) >= part*float64(r.patience-r.came) ||
		!slices.ContainsFunc(r.split.near, func(m *member) bool { return b.now >= m.w.shunned && !b.hung(m.w) })
}

// total is that over all workers.
func (b *Balancer) total() float64 {
	if b.heard != nil && b.now != b.summed {
		b.others, b.summed = 0, b.now
		for _, m := range b.splits[0].m {
			b.others += m.w.others
		}
	}
	return b.load + float64(b.others)
}

// known says whether it is known where jobs start at once: reports have told how many
// slots workers have, and others tell what they use or leave this dispatcher a slot of
// each. Then nothing is sent where no room is: what waits does so here, the worthiest
// first. Guards a large fleet, in which each sees too few starts, from going by them.
func (b *Balancer) known() bool {
	return b.reports > 0 && (b.s.Peers || b.slotsLeast >= float64(b.s.Balancers))
}

// alone says whether a dispatcher knows all that is sent, so that room alone limits it.
func (b *Balancer) alone() bool { return b.known() && (b.s.Peers || b.s.Balancers == 1) }

// holds is how many slots a worker is held to have for what this dispatcher knows of.
func (b *Balancer) holds(w *worker) float64 {
	if b.known() && w.kind >= 0 && w.kind < len(b.slots) && b.slots[w.kind].most > 0 {
		return min(b.slots[w.kind].most, w.room)
	}
	return w.room
}

// takes says whether a job of so many slots would start at once at a worker. Guards
// against jobs that need more slots than were ever seen free: where nothing is known to
// run, they may try.
func (b *Balancer) takes(w *worker, slots float64) bool {
	return w.used()+slots <= b.holds(w) || b.known() && w.used() == 0 && b.now-w.lastSent >= roomAgain
}

// reported takes the free slots that a worker told of. All of a kind have as many.
func (b *Balancer) reported(w *worker, load []float32) {
	free, told := b.told(load, FieldFreeSlots)
	if told {
		w.freeTold, w.free = b.now, math.Round(free)
	}
	if free = math.Round(free); !told || free < 1 || free > slotsMost || w.kind < 0 || w.kind > math.MaxUint8 {
		return
	}
	b.reports++
	for len(b.slots) <= w.kind {
		b.slots = append(b.slots, slots{})
	}
	b.raise(w.kind, free)
	if held, told := b.told(load, FieldInflight); told {
		b.sight(w.kind, math.Round(free+held))
	}
}

// copySure is when a second copy of a request may go to where room is only guessed; at once
// where workers never tell of it.
func (b *Balancer) copySure(r *request) time.Duration {
	last := r.attempts[len(r.attempts)-1].sent
	if !slices.Contains(b.s.ReportFields, FieldFreeSlots) {
		return last
	}
	return last + max(2*copyLeast, time.Duration(copyGuess*float64(b.slack(r.Class))))
}

// copyTo says whether a second copy may go to a worker yet: at once where it has told of a free
// slot and was sent nothing since, later also where it only seems to have room. Guards, where a
// cancel stops no work, against copies that wait as well: each is run in full for nobody.
func (b *Balancer) copyTo(r *request, w *worker) bool {
	told := w.freeTold > 0 && b.now-w.freeTold < freeFresh && w.free >= 1 && w.lastSent <= w.freeTold
	return told || b.now >= b.copySure(r)
}

// firstRoom is the room that a worker is given before its starts have told.
func (b *Balancer) firstRoom(kind int) float64 {
	if kind < 0 || kind >= len(b.slots) {
		return 1
	}
	if b.s.Peers {
		return max(1, b.slots[kind].most)
	}
	return max(1, min(1, roomPart/float64(b.s.Balancers))*b.slots[kind].most)
}

// asks says whether workers tell of free slots, and only when probed.
func (s *Settings) asks() bool {
	return s.TellsStart && s.Probes && !s.ReportsInReply && slices.Contains(s.ReportFields, FieldFreeSlots)
}

// askPart is how many probes there are for each request taken.
func (b *Balancer) askPart() float64 {
	if b.s.ProbePrice <= 0 {
		return askMost
	}
	return min(askMost, askCost/b.s.ProbePrice)
}

// askAll probes each worker of the first list; from then on they are asked in turn.
func (b *Balancer) askAll() {
	for _, w := range b.workers {
		if w.state == Ready {
			b.do.Probe(w.id)
		}
	}
	b.after(b.jitter(askGap), 0, timerReport)
}

// askNext probes the next worker in turn.
func (b *Balancer) askNext() {
	if list := b.splits[0].m; len(list) > 0 {
		b.turn = (b.turn + 1) % len(list)
		if w := list[b.turn].w; b.now >= w.shunned && !b.hung(w) {
			b.do.Probe(w.id)
		}
	}
	gap := askGap
	if b.reports >= reportsFew {
		gap = max(gap, min(askRare, seconds(1/(b.askPart()*max(b.rate, 0.1)))))
	}
	b.after(b.jitter(2*gap), 0, timerReport)
}
