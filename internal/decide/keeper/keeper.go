// Package keeper decides for one machine which processes of the dispatcher run there: it
// starts one, upgrades it by a second one that takes over, starts it again after crashes with
// growing waits, and falls back to the last good version. It does no I/O: what happens and when
// are arguments, and what is to be done comes back in order.
package keeper

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"yardwharf/internal/decide/rollout"
)

const (
	readyFor   = 10 * time.Second // a new process may take so long until it can serve
	leaveFor   = 6 * time.Second  // an old one until it has ended
	waitLeast  = 200 * time.Millisecond
	waitMost   = 30 * time.Second
	crashesFew = 3 // of a version that is not known to be good ...
	crashSpan  = time.Minute
)

// ErrTaken says that the machine belongs to another change.
var ErrTaken = errors.New("this machine belongs to another change")

var errUnderWay = errors.New("an act is under way")

// Saved is what must outlive the steward.
type Saved struct {
	Good   rollout.Version `json:"good"` // the last that is known to be
	Now    rollout.Version `json:"now"`
	Change string          `json:"change,omitempty"` // that the machine belongs to; empty: none
	Last   string          `json:"last,omitempty"`   // whose acts Act counts
	Act    int             `json:"act"`              // the last that was taken
	Doing  bool            `json:"doing"`
	Fault  string          `json:"fault,omitempty"` // what became of it
	Fell   bool            `json:"fell"`            // back to Good, by itself
}

// Kind is what is to be done.
type Kind int

// The kinds. Save comes before all that it must be written down for.
const (
	Save Kind = iota
	Start
	Term
	Kill
)

// Do is one thing to be done.
type Do struct {
	Kind    Kind
	Process int             // its number
	Door    int             // 0 or 1: two processes never share one
	Version rollout.Version // to start
}

// process is one that runs.
type process struct {
	version rollout.Version
	door    int
	began   time.Duration
	ready   bool
	leaving time.Duration // when it was told; 0: it was not
	killed  bool
}

// Keeper is the processes of a machine.
type Keeper struct {
	saved   Saved
	runs    map[int]*process
	number  int
	current int // 0: none
	next    int // it is to take over; 0: none
	wait    time.Duration
	due     time.Duration   // the current one is started again then
	crashes []time.Duration // of what runs now, since its act
	count   int
	ended   bool
	todo    []Do
}

// New begins with what was saved, or with a first version where nothing was.
func New(saved Saved, first rollout.Version) *Keeper {
	if saved.Good == (rollout.Version{}) {
		saved.Good, saved.Now = first, first
	}
	if saved.Doing { // the steward has ended in the middle of an act, and its processes with it
		saved.Doing = false // what it was to run runs from the start
	}
	return &Keeper{saved: saved, runs: map[int]*process{}}
}

// take hands out what is to be done.
func (k *Keeper) take() []Do {
	todo := k.todo
	k.todo = nil
	return todo
}

func (k *Keeper) do(d Do) { k.todo = append(k.todo, d) }

// start starts a process and returns its number.
func (k *Keeper) start(now time.Duration, v rollout.Version) int {
	door := 0
	for _, p := range k.runs {
		if p.door == 0 && p.leaving == 0 || len(k.runs) == 1 {
			door = 1 - p.door
		}
	}
	k.number++
	k.runs[k.number] = &process{version: v, door: door, began: now}
	k.do(Do{Start, k.number, door, v})
	return k.number
}

// Turn lets time pass. It comes about ten times a second.
func (k *Keeper) Turn(now time.Duration) []Do {
	if k.ended {
		for n, p := range k.runs {
			k.late(now, n, p)
		}
		return k.take()
	}
	if k.current == 0 && k.next == 0 && now >= k.due && len(k.runs) < 2 {
		k.current = k.start(now, k.saved.Now)
	}
	if p := k.runs[k.next]; p != nil && !p.ready && now-p.began > readyFor && !p.killed {
		p.killed = true
		k.do(Do{Kind: Kill, Process: k.next})
		k.failed(now, fmt.Sprintf("not ready after %v", readyFor))
	}
	for _, n := range sorted(k.runs) {
		k.late(now, n, k.runs[n])
	}
	return k.take()
}

// late kills one that was told to end and has not.
func (k *Keeper) late(now time.Duration, n int, p *process) {
	if p.leaving > 0 && !p.killed && now-p.leaving > leaveFor {
		p.killed = true
		k.do(Do{Kind: Kill, Process: n})
	}
}

func sorted(m map[int]*process) (list []int) {
	for n := range m {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

// failed ends an act whose process is not to be had: what ran goes on.
func (k *Keeper) failed(now time.Duration, why string) {
	k.next = 0
	k.saved.Doing, k.saved.Fault = false, why
	if p := k.runs[k.current]; p != nil {
		k.saved.Now = p.version
	} else {
		k.saved.Now = k.saved.Good
		k.due = now
	}
	k.do(Do{Kind: Save})
}

// Ready says that a process can serve.
func (k *Keeper) Ready(now time.Duration, n int) []Do {
	p := k.runs[n]
	if p == nil || p.ready {
		return nil
	}
	p.ready = true
	if n == k.next {
		if old := k.runs[k.current]; old != nil {
			old.leaving = max(1, now)
			k.do(Do{Kind: Term, Process: k.current})
		} else {
			k.over()
		}
	}
	return k.take()
}

// over ends an act: the next process is the current one, and the old one is gone.
func (k *Keeper) over() {
	k.current, k.next = k.next, 0
	k.saved.Doing = false
	k.crashes, k.count, k.wait = nil, 0, 0
	k.do(Do{Kind: Save})
}

// Exited says that a process has ended.
func (k *Keeper) Exited(now time.Duration, n int, why string) []Do {
	p := k.runs[n]
	if p == nil {
		return nil
	}
	delete(k.runs, n)
	if k.ended {
		return k.take()
	}
	switch n {
	case k.next:
		k.failed(now, "it ended before it was ready: "+why)
	case k.current:
		k.current = 0
		if next := k.runs[k.next]; next != nil {
			if next.ready {
				k.over()
			}
			break // the next one will take over, or fail
		}
		k.crashed(now, why)
	}
	return k.take()
}

// crashed has the current process started again, later each time, and another version where
// it keeps crashing.
func (k *Keeper) crashed(now time.Duration, why string) {
	k.count++
	k.crashes = slices.DeleteFunc(append(k.crashes, now), func(at time.Duration) bool { return now-at > crashSpan })
	if len(k.crashes) == 1 {
		k.wait = 0
	}
	k.wait = min(waitMost, max(waitLeast, 2*k.wait))
	k.due = now + k.wait
	if k.saved.Now != k.saved.Good && len(k.crashes) >= crashesFew {
		k.saved.Now, k.saved.Fell, k.saved.Fault = k.saved.Good, true, "it crashed again and again: "+why
		k.crashes, k.wait, k.due = nil, 0, now
		k.do(Do{Kind: Save})
	}
}

// Ask takes an act of a change: a version to run. One that was taken already changes nothing.
func (k *Keeper) Ask(now time.Duration, change string, act int, to rollout.Version) ([]Do, error) {
	s := &k.saved
	if s.Change != "" && s.Change != change {
		return nil, fmt.Errorf("%w, %s", ErrTaken, s.Change)
	}
	if k.ended {
		return nil, errors.New("the steward ends")
	}
	if s.Last == change && act <= s.Act {
		return nil, nil
	}
	if s.Doing {
		return nil, errUnderWay
	}
	s.Change, s.Last, s.Act, s.Fault, s.Fell = change, change, act, "", false
	if to = over(to, s.Good); to == s.Now {
		k.do(Do{Kind: Save})
		return k.take(), nil
	}
	s.Doing, s.Now = true, to
	k.do(Do{Kind: Save})
	if k.current == 0 { // it has crashed and waits: the other version does not
		k.crashes, k.count, k.wait = nil, 0, 0
	}
	k.next = k.start(now, to)
	return k.take(), nil
}

// over is a version whose empty parts are another's.
func over(v, base rollout.Version) rollout.Version {
	for _, part := range []struct {
		to   *string
		from string
	}{{&v.Build, base.Build}, {&v.Config, base.Config}, {&v.Operator, base.Operator}} {
		if *part.to == "" {
			*part.to = part.from
		}
	}
	return v
}

// Release ends what a change has to say here; with keep what runs now is known to be good.
// While an act is under way it is an error: the machine would belong to the change for ever.
func (k *Keeper) Release(change string, keep bool) ([]Do, error) {
	s := &k.saved
	if s.Change != change {
		return nil, nil
	}
	if s.Doing {
		return nil, errUnderWay
	}
	if s.Change = ""; keep && !s.Fell {
		s.Good = s.Now
	}
	k.do(Do{Kind: Save})
	return k.take(), nil
}

// End ends all processes.
func (k *Keeper) End(now time.Duration) []Do {
	k.ended = true
	for _, n := range sorted(k.runs) {
		if p := k.runs[n]; p.leaving == 0 {
			p.leaving = max(1, now)
			k.do(Do{Kind: Term, Process: n})
		}
	}
	return k.take()
}

// Gone says whether nothing runs any more after End.
func (k *Keeper) Gone() bool { return k.ended && len(k.runs) == 0 }

// Saved is what is to be written down now.
func (k *Keeper) Saved() Saved { return k.saved }

// Current is the process that serves and its door; 0 where there is none.
func (k *Keeper) Current() (number, door int, ready bool) {
	if p := k.runs[k.current]; p != nil {
		return k.current, p.door, p.ready
	}
	return 0, 0, false
}

// Starting are the processes that are not known to be ready, with their doors.
func (k *Keeper) Starting() map[int]int {
	m := map[int]int{}
	for n, p := range k.runs {
		if !p.ready && !p.killed {
			m[n] = p.door
		}
	}
	return m
}

// Crashes is how often what runs has crashed since its act.
func (k *Keeper) Crashes() int { return k.count }
