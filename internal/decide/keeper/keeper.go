// Package keeper supervises the dispatcher processes of one machine for a steward: it starts
// one, upgrades it by starting a second one that takes over, restarts it after crashes with
// exponential backoff, and falls back to the last good version. A change is a rollout; its acts
// are numbered requests to run a version. The package does no I/O: events and their times are
// arguments, and the actions to carry out are returned in order.
package keeper

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"yardwharf/internal/decide/rollout"
)

const (
	readyTimeout    = 10 * time.Second // from the start of a process until it can serve
	exitTimeout     = 6 * time.Second  // from Terminate until the process has ended
	minRestartDelay = 200 * time.Millisecond
	maxRestartDelay = 30 * time.Second
	fallbackCrashes = 3 // crashes within crashWindow after which an unproven version is given up
	crashWindow     = time.Minute
)

// ErrHeldByOtherChange is returned by RequestVersion while another change has not released the machine.
var ErrHeldByOtherChange = errors.New("this machine belongs to another change")

var errActInProgress = errors.New("an act is under way")

// State is the state that the steward writes to disk and reads after a restart.
type State struct {
	LastGood   rollout.Version `json:"good"`             // the last version known to be good
	Target     rollout.Version `json:"now"`              // the version to run
	Change     string          `json:"change,omitempty"` // the change that holds the machine; empty if none
	LastChange string          `json:"last,omitempty"`   // the change that LastAct belongs to
	LastAct    int             `json:"act"`              // the last accepted act
	InProgress bool            `json:"doing"`            // the act is in progress
	Fault      string          `json:"fault,omitempty"`  // why the act failed
	FellBack   bool            `json:"fell"`             // went back to LastGood after crashes, without being asked
}

// Kind is the kind of an action.
type Kind int

// The kinds of actions. A Save precedes the actions that need the state on disk first.
const (
	Save      Kind = iota // write the state to disk
	Start                 // start a process
	Terminate             // ask a process to end
	Kill
)

// Action is one action for the steward to carry out.
type Action struct {
	Kind       Kind
	Process    int             // number of the process
	AdminIndex int             // index of its admin address, 0 or 1; never shared by two processes
	Version    rollout.Version // version to start
}

// process is a running process.
type process struct {
	version    rollout.Version
	adminIndex int
	startedAt  time.Duration
	ready      bool
	termSentAt time.Duration // when it was asked to end; 0 if it was not
	killed     bool
}

// Keeper supervises the processes of one machine. It is not safe for concurrent use.
type Keeper struct {
	saved         State
	processes     map[int]*process
	lastNumber    int // number of the last process started
	current       int // number of the current process; 0 if none
	next          int // number of the process that will take over; 0 if none
	restartDelay  time.Duration
	restartAt     time.Duration   // when the current version is started again
	recentCrashes []time.Duration // times of crashes within crashWindow
	crashCount    int             // crashes since the last act
	ending        bool            // End was called
	pending       []Action
}

// New returns a keeper with the saved state, or with a first version if none was saved.
func New(saved State, first rollout.Version) *Keeper {
	if saved.LastGood == (rollout.Version{}) {
		saved.LastGood, saved.Target = first, first
	}
	if saved.InProgress { // the steward ended during an act, and its processes with it
		saved.InProgress = false // the new version runs from the start
	}
	return &Keeper{saved: saved, processes: map[int]*process{}}
}

// takePending returns the pending actions and clears them.
func (k *Keeper) takePending() []Action {
	actions := k.pending
	k.pending = nil
	return actions
}

func (k *Keeper) add(d Action) { k.pending = append(k.pending, d) }

// start starts a process at a free admin address and returns its number.
func (k *Keeper) start(now time.Duration, v rollout.Version) int {
	adminIndex := 0
	for _, p := range k.processes {
		if p.adminIndex == 0 && p.termSentAt == 0 || len(k.processes) == 1 {
			adminIndex = 1 - p.adminIndex
		}
	}
	k.lastNumber++
	k.processes[k.lastNumber] = &process{version: v, adminIndex: adminIndex, startedAt: now}
	k.add(Action{Start, k.lastNumber, adminIndex, v})
	return k.lastNumber
}

// Tick handles starts and time-outs that are due. It is called about ten times a second.
func (k *Keeper) Tick(now time.Duration) []Action {
	if k.ending {
		for n, p := range k.processes {
			k.killOverdue(now, n, p)
		}
		return k.takePending()
	}
	if k.current == 0 && k.next == 0 && now >= k.restartAt && len(k.processes) < 2 {
		k.current = k.start(now, k.saved.Target)
	}
	if p := k.processes[k.next]; p != nil && !p.ready && now-p.startedAt > readyTimeout && !p.killed {
		p.killed = true
		k.add(Action{Kind: Kill, Process: k.next})
		k.failAct(now, fmt.Sprintf("not ready after %v", readyTimeout))
	}
	for _, n := range sortedNumbers(k.processes) {
		k.killOverdue(now, n, k.processes[n])
	}
	return k.takePending()
}

// killOverdue kills a process that did not end in time after Terminate.
func (k *Keeper) killOverdue(now time.Duration, n int, p *process) {
	if p.termSentAt > 0 && !p.killed && now-p.termSentAt > exitTimeout {
		p.killed = true
		k.add(Action{Kind: Kill, Process: n})
	}
}

func sortedNumbers(m map[int]*process) (list []int) {
	for n := range m {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

// failAct ends an act whose process did not become ready: the old process goes on, or the
// last good version is started.
func (k *Keeper) failAct(now time.Duration, why string) {
	k.next = 0
	k.saved.InProgress, k.saved.Fault = false, why
	if p := k.processes[k.current]; p != nil {
		k.saved.Target = p.version
	} else {
		k.saved.Target = k.saved.LastGood
		k.restartAt = now
	}
	k.add(Action{Kind: Save})
}

// Ready notes that a process can serve. A new one takes over from the current one.
func (k *Keeper) Ready(now time.Duration, n int) []Action {
	p := k.processes[n]
	if p == nil || p.ready {
		return nil
	}
	p.ready = true
	if n == k.next {
		if old := k.processes[k.current]; old != nil {
			old.termSentAt = max(1, now)
			k.add(Action{Kind: Terminate, Process: k.current})
		} else {
			k.finishAct()
		}
	}
	return k.takePending()
}

// finishAct ends an act with success: the old process has ended and the next one is current.
func (k *Keeper) finishAct() {
	k.current, k.next = k.next, 0
	k.saved.InProgress = false
	k.recentCrashes, k.crashCount, k.restartDelay = nil, 0, 0
	k.add(Action{Kind: Save})
}

// Exited notes that a process has ended.
func (k *Keeper) Exited(now time.Duration, n int, why string) []Action {
	p := k.processes[n]
	if p == nil {
		return nil
	}
	delete(k.processes, n)
	if k.ending {
		return k.takePending()
	}
	switch n {
	case k.next:
		k.failAct(now, "it ended before it was ready: "+why)
	case k.current:
		k.current = 0
		if next := k.processes[k.next]; next != nil {
			if next.ready {
				k.finishAct()
			}
			break // the next one takes over once it is ready, or fails
		}
		k.scheduleRestart(now, why)
	}
	return k.takePending()
}

// scheduleRestart schedules a restart of the current version with backoff, or falls back to
// the last good version if an unproven one keeps crashing.
func (k *Keeper) scheduleRestart(now time.Duration, why string) {
	k.crashCount++
	k.recentCrashes = slices.DeleteFunc(append(k.recentCrashes, now), func(at time.Duration) bool { return now-at > crashWindow })
	if len(k.recentCrashes) == 1 {
		k.restartDelay = 0
	}
	k.restartDelay = min(maxRestartDelay, max(minRestartDelay, 2*k.restartDelay))
	k.restartAt = now + k.restartDelay
	if k.saved.Target != k.saved.LastGood && len(k.recentCrashes) >= fallbackCrashes {
		k.saved.Target, k.saved.FellBack, k.saved.Fault = k.saved.LastGood, true, "it crashed again and again: "+why
		k.recentCrashes, k.restartDelay, k.restartAt = nil, 0, now
		k.add(Action{Kind: Save})
	}
}

// RequestVersion handles an act of a change, a request to run a version. Empty fields of the version are
// taken from the last good one. An act that was accepted before has no effect.
func (k *Keeper) RequestVersion(now time.Duration, change string, act int, to rollout.Version) ([]Action, error) {
	s := &k.saved
	if s.Change != "" && s.Change != change {
		return nil, fmt.Errorf("%w, %s", ErrHeldByOtherChange, s.Change)
	}
	if k.ending {
		return nil, errors.New("the steward ends")
	}
	if s.LastChange == change && act <= s.LastAct {
		return nil, nil
	}
	if s.InProgress {
		return nil, errActInProgress
	}
	s.Change, s.LastChange, s.LastAct, s.Fault, s.FellBack = change, change, act, "", false
	if to = withDefaults(to, s.LastGood); to == s.Target {
		k.add(Action{Kind: Save})
		return k.takePending(), nil
	}
	s.InProgress, s.Target = true, to
	k.add(Action{Kind: Save})
	if k.current == 0 { // it waits for a restart after a crash, which does not delay the new version
		k.recentCrashes, k.crashCount, k.restartDelay = nil, 0, 0
	}
	k.next = k.start(now, to)
	return k.takePending(), nil
}

// withDefaults returns a version whose empty fields are taken from a base.
func withDefaults(v, base rollout.Version) rollout.Version {
	for _, field := range []struct {
		to   *string
		from string
	}{{&v.Build, base.Build}, {&v.Config, base.Config}, {&v.Operator, base.Operator}} {
		if *field.to == "" {
			*field.to = field.from
		}
	}
	return v
}

// Release ends a change's hold of the machine; with keep the version that runs now becomes the
// last good one. It is refused while an act is in progress: the change would hold the machine
// for ever.
func (k *Keeper) Release(change string, keep bool) ([]Action, error) {
	s := &k.saved
	if s.Change != change {
		return nil, nil
	}
	if s.InProgress {
		return nil, errActInProgress
	}
	if s.Change = ""; keep && !s.FellBack {
		s.LastGood = s.Target
	}
	k.add(Action{Kind: Save})
	return k.takePending(), nil
}

// End asks all processes to end and starts no more.
func (k *Keeper) End(now time.Duration) []Action {
	k.ending = true
	for _, n := range sortedNumbers(k.processes) {
		if p := k.processes[n]; p.termSentAt == 0 {
			p.termSentAt = max(1, now)
			k.add(Action{Kind: Terminate, Process: n})
		}
	}
	return k.takePending()
}

// AllExited reports whether all processes have ended after End.
func (k *Keeper) AllExited() bool { return k.ending && len(k.processes) == 0 }

// State returns the state to write to disk.
func (k *Keeper) State() State { return k.saved }

// Current returns the current process, the index of its admin address and whether it is
// ready; 0 if there is none.
func (k *Keeper) Current() (number, door int, ready bool) {
	if p := k.processes[k.current]; p != nil {
		return k.current, p.adminIndex, p.ready
	}
	return 0, 0, false
}

// Starting returns the processes that are neither ready nor killed, each with the index of its
// admin address.
func (k *Keeper) Starting() map[int]int {
	m := map[int]int{}
	for n, p := range k.processes {
		if !p.ready && !p.killed {
			m[n] = p.adminIndex
		}
	}
	return m
}

// CrashCount returns the number of crashes since the last act.
func (k *Keeper) CrashCount() int { return k.crashCount }
