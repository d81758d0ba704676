package yard

import (
	"slices"
	"time"

	"yardwharf/internal/tools/lab/sim"
)

// HostSpec is what a host is.
type HostSpec struct {
	Name  string
	Site  int
	Kind  int
	Cores float64
	Slots float64 // that jobs in work may take together
	Speed float64 // of a core, of the yardstick
	Queue int     // jobs that may wait
	Since time.Duration

	Account *Account // nil: Ferreira's
}

// End says how a task ended at its host.
type End uint8

// The ends.
const (
	Finished End = iota
	Full         // the waiting room was full: it has not run
	Lost         // the host fell over with it: it may have run
)

// Task is a job at a host.
type Task struct {
	Work    time.Duration // at speed 1, on the slots that it takes
	Slots   float64
	Started func()
	Ended   func(End)

	left    float64 // seconds of work
	running bool
	over    bool // ended or given up
}

// Host is a sender: cores that its jobs in work share, slots that bound these, and a
// waiting room that is served in order; the first one waits until it fits (BRIEF,
// "Senders in detail"; BENCH, "The world"). While it is cold its cores do less, and
// too much work pushes it over for good.
type Host struct {
	Spec    HostSpec
	clock   *sim.Clock
	running []*Task
	waiting []*Task
	taken   float64 // slots
	at      time.Duration
	turn    uint64 // of the next end that was set: an earlier one is void
	slow    float64
	hung    bool
	fallen  bool
	doses   []dose
	Busy    float64 // core seconds done so far
	Worst   float64 // pressure while cold, as a part of what pushes it over
}

// dose is work that reached a cold host.
type dose struct {
	at   time.Duration
	work float64 // core seconds
}

// NewHost returns a host that has nothing to do.
func NewHost(c *sim.Clock, s HostSpec) *Host {
	if s.Account == nil {
		s.Account = Ferreira()
	}
	return &Host{Spec: s, clock: c, at: c.Now(), slow: 1}
}

// Warmth is the part of its capacity that it has, from the account's start evenly to
// all of it over its warm-up.
func (h *Host) Warmth() float64 {
	age := h.clock.Now() - h.Spec.Since
	if h.Spec.Since <= 0 || age >= h.Spec.Account.WarmUp {
		return 1
	}
	a := h.Spec.Account
	return a.StartCapacity + (1-a.StartCapacity)*float64(max(age, 0))/float64(a.WarmUp)
}

// Capacity is how many core seconds of work it does in a second now, if it has
// enough to do.
func (h *Host) Capacity() float64 {
	if h.hung || h.fallen {
		return 0
	}
	return h.Spec.Cores * h.Spec.Speed * h.Warmth() / h.slow
}

// rate is how fast one slot's share of a job in work goes on: a core at most, else an
// even part of all cores.
func (h *Host) rate() float64 {
	if h.taken <= 0 {
		return 0
	}
	return h.Capacity() / h.Spec.Cores * min(1, h.Spec.Cores/h.taken)
}

// advance lets the jobs in work go on up to now.
func (h *Host) advance() {
	now := h.clock.Now()
	if done := (now - h.at).Seconds() * h.rate(); done > 0 {
		for _, t := range h.running {
			t.left -= done
			h.Busy += done * t.Slots
		}
	}
	h.at = now
}

// step is how often a cold host's rate is looked at anew: it rises all the time.
const step = 100 * time.Millisecond

// plan sets the time of the next end.
func (h *Host) plan() {
	h.turn++
	rate := h.rate()
	if len(h.running) == 0 || rate <= 0 {
		return
	}
	least := h.running[0].left
	for _, t := range h.running {
		least = min(least, t.left)
	}
	d := time.Duration(max(0, least)/rate*float64(time.Second)) + 1
	if h.Warmth() < 1 {
		d = min(d, step)
	}
	turn := h.turn
	h.clock.After(d, func() {
		if h.turn == turn {
			h.look()
		}
	})
}

// look ends what is done, begins what now fits, and plans on.
func (h *Host) look() {
	h.advance()
	var ended []*Task
	kept := h.running[:0]
	for _, t := range h.running {
		if t.left <= 1e-9 {
			h.taken -= t.Slots
			t.over = true
			ended = append(ended, t)
		} else {
			kept = append(kept, t)
		}
	}
	clear(h.running[len(kept):])
	h.running = kept
	h.begin()
	h.plan()
	for _, t := range ended {
		t.Ended(Finished)
	}
}

// begin starts waiting jobs in order, as long as the first one fits; where the account has it
// any that fits.
func (h *Host) begin() {
	if h.Spec.Account.Backfill && !h.hung {
		h.waiting = slices.DeleteFunc(h.waiting, func(t *Task) bool { return t.over || h.taken+t.Slots <= h.Spec.Slots && h.run(t) })
		return
	}
	for len(h.waiting) > 0 && !h.hung {
		t := h.waiting[0]
		if !t.over {
			if h.taken+t.Slots > h.Spec.Slots {
				return
			}
			h.run(t)
		}
		h.waiting[0] = nil
		h.waiting = h.waiting[1:]
	}
}

// run starts a job; it says true.
func (h *Host) run(t *Task) bool {
	h.taken += t.Slots
	t.running, t.left = true, t.Work.Seconds()
	h.running = append(h.running, t)
	if t.Started != nil {
		t.Started()
	}
	return true
}

// Up says whether it takes connections.
func (h *Host) Up() bool { return !h.fallen }

// Take takes a job. Where the waiting room is full it ends at once.
func (h *Host) Take(t *Task) {
	if h.press(t.Work.Seconds()*t.Slots) || h.fallen {
		t.over = true
		t.Ended(Lost)
		return
	}
	h.advance()
	waiting := 0
	for _, w := range h.waiting {
		if !w.over {
			waiting++
		}
	}
	if waiting >= h.Spec.Queue && (waiting > 0 || h.taken+t.Slots > h.Spec.Slots || h.hung) || t.Slots > h.Spec.Slots {
		t.over = true
		t.Ended(Full)
		return
	}
	h.waiting = append(h.waiting, t)
	h.begin()
	h.plan()
}

// GiveUp ends a job that its dispatcher waits for no longer: work stops, where a cancel stops it.
func (h *Host) GiveUp(t *Task) {
	if t.over || !h.Spec.Account.CancelStops {
		return
	}
	t.over = true
	if !t.running {
		return
	}
	h.advance()
	for i, r := range h.running {
		if r == t {
			h.taken -= t.Slots
			h.running = append(h.running[:i], h.running[i+1:]...)
			break
		}
	}
	h.begin()
	h.plan()
}

// press books work that reaches a cold host; more than OverloadFactor times what it
// can do, for OverloadFor, pushes it over. It says whether it has.
func (h *Host) press(work float64) bool {
	w := h.Warmth()
	if w >= 1 || h.fallen {
		h.doses = nil
		return false
	}
	now := h.clock.Now()
	h.doses = append(h.doses, dose{now, work})
	sum, keep := 0.0, h.doses[:0]
	for _, d := range h.doses {
		if d.at > now-h.Spec.Account.OverloadFor {
			keep = append(keep, d)
			sum += d.work
		}
	}
	h.doses = keep
	a := h.Spec.Account
	bears := a.OverloadFactor * w * h.Spec.Cores * h.Spec.Speed * a.OverloadFor.Seconds()
	h.Worst = max(h.Worst, sum/bears)
	if sum <= bears {
		return false
	}
	h.Fall()
	return true
}

// Fall ends it with all that it has; it stays down.
func (h *Host) Fall() {
	h.advance()
	h.fallen = true
	h.turn++
	lost := append(h.running, h.waiting...)
	h.running, h.waiting, h.taken = nil, nil, 0
	for _, t := range lost {
		if !t.over {
			t.over = true
			t.Ended(Lost)
		}
	}
}

// Fallen says whether it has been pushed over.
func (h *Host) Fallen() bool { return h.fallen }

// Slow makes it so many times slower; 1 is its own speed.
func (h *Host) Slow(times float64) {
	h.advance()
	h.slow = times
	h.plan()
}

// Hang lets it take jobs and do nothing, or go on.
func (h *Host) Hang(yes bool) {
	h.advance()
	h.hung = yes
	if !yes {
		h.begin()
	}
	h.plan()
}

// Held is how many jobs it has, in work and waiting.
func (h *Host) Held() int { return len(h.running) + len(h.waiting) }

// Load is what it reports: the part of its cores that is busy, and free slots.
func (h *Host) Load() (util, free float64) {
	return min(1, h.taken/h.Spec.Cores), max(0, h.Spec.Slots-h.taken)
}
