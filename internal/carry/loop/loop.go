// Package loop is the event loop of the program: one epoll set, one heap of
// timers and a queue of deferred tasks, all served by one goroutine. It knows
// descriptors and times, and nothing of what is spoken over them.
package loop

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// The events a Handler may be told of; errors and hang-ups always come.
const (
	In     = unix.EPOLLIN
	Out    = unix.EPOLLOUT
	Hangup = unix.EPOLLRDHUP
)

// Handler is told of what has happened on its descriptor.
type Handler interface{ Ready(events uint32) }

// Task is something to run later on the loop.
type Task interface{ Run() }

// Func makes a function a Task.
type Func func()

// Run implements Task.
func (f Func) Run() { f() }

// Loop serves descriptors, timers and tasks. All methods but Post belong to the
// goroutine that calls Run.
type Loop struct {
	epoll, wake int
	began       time.Time
	base        time.Duration
	slots       []slot // by descriptor
	events      [128]unix.EpollEvent
	timers      timers
	deferred    []Task
	yielded     []Task // for the next turn
	spare       []Task
	stopped     bool

	mu     sync.Mutex
	posted []Task
}

// slot is what is registered for a descriptor. The generation tells apart
// registrations that used the same number.
type slot struct {
	h          Handler
	generation int32
}

// New returns a Loop.
func New() (*Loop, error) {
	l := &Loop{began: time.Now()}
	l.base = time.Duration(l.began.UnixNano())
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if l.wake, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		unix.Close(l.epoll)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	if err := l.Add(l.wake, In, wakeup{l}); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Close gives the loop's own descriptors back; Run must have returned.
func (l *Loop) Close() {
	unix.Close(l.wake)
	unix.Close(l.epoll)
}

// Now is the time since the Unix epoch. It is read from the wall clock once and
// moves with the monotonic one, so that it never falls.
func (l *Loop) Now() time.Duration { return l.base + time.Since(l.began) }

// Add registers a descriptor.
func (l *Loop) Add(fd int, events uint32, h Handler) error {
	for fd >= len(l.slots) {
		l.slots = append(l.slots, slot{})
	}
	s := &l.slots[fd]
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: s.generation}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		return fmt.Errorf("epoll add: %w", err)
	}
	s.h = h
	return nil
}

// Want changes the events that a registered descriptor's Handler is told of.
func (l *Loop) Want(fd int, events uint32) error {
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.slots[fd].generation}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_MOD, fd, &ev); err != nil {
		return fmt.Errorf("epoll change: %w", err)
	}
	return nil
}

// CloseFD closes a descriptor that was given to Add. Events that the current
// round still holds for it are dropped, also if the number is used anew.
func (l *Loop) CloseFD(fd int) {
	l.slots[fd] = slot{generation: l.slots[fd].generation + 1}
	unix.Close(fd)
}

// Release takes a descriptor that was given to Add out of the loop and closes it.
// Guards against one that other processes hold as well: closing a copy alone leaves
// it in the epoll set, and its events come on.
func (l *Loop) Release(fd int) {
	unix.EpollCtl(l.epoll, unix.EPOLL_CTL_DEL, fd, &unix.EpollEvent{}) // fails only if it is not there
	l.CloseFD(fd)
}

// Defer runs a task once the current callback has returned.
func (l *Loop) Defer(t Task) { l.deferred = append(l.deferred, t) }

// Yield runs a task in the next turn, when others have had theirs. Guards against
// a connection that always has more to do and would keep the loop from the rest.
func (l *Loop) Yield(t Task) { l.yielded = append(l.yielded, t) }

// Post runs a task on the loop; it may be called from any goroutine.
func (l *Loop) Post(t Task) {
	l.mu.Lock()
	l.posted = append(l.posted, t)
	l.mu.Unlock()
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	unix.Write(l.wake, one[:]) // fails only if the count is full, and then it wakes
}

// wakeup takes the tasks that were posted.
type wakeup struct{ l *Loop }

// Ready implements Handler.
func (w wakeup) Ready(uint32) {
	var count [8]byte
	unix.Read(w.l.wake, count[:])
	w.l.mu.Lock()
	w.l.deferred = append(w.l.deferred, w.l.posted...)
	w.l.posted = w.l.posted[:0]
	w.l.mu.Unlock()
}

// Stop makes Run return after the current callback.
func (l *Loop) Stop() { l.stopped = true }

// Stopped says whether Stop was called since the last Run or Turn began.
func (l *Loop) Stopped() bool { return l.stopped }

// Run serves until Stop is called or waiting fails. It may be called again.
func (l *Loop) Run() error {
	l.stopped = false
	l.flush()
	for !l.stopped {
		if err := l.turn(l.pause(), nil); err != nil {
			return err
		}
	}
	return nil
}

// Turn takes one turn with what is there by now, without waiting for more; arrange, unless it
// is nil, may put the events in another order first. It is for who drives the loop by hand:
// that two things happen within one turn, in either order, is forced so and not hoped for.
func (l *Loop) Turn(arrange func([]unix.EpollEvent)) error {
	l.stopped = false
	l.flush()
	return l.turn(0, arrange)
}

// turn waits for events for so many milliseconds at most and does what is due: what the events
// tell, then the timers, so that a timer finds what had happened before it.
func (l *Loop) turn(wait int, arrange func([]unix.EpollEvent)) error {
	n, err := unix.EpollWait(l.epoll, l.events[:], wait)
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("epoll wait: %w", err)
	}
	if arrange != nil && n > 0 {
		arrange(l.events[:n])
	}
	for i := 0; i < n && !l.stopped; i++ {
		l.deliver(&l.events[i])
	}
	l.fire()
	l.resume()
	return nil
}

// resume runs what has yielded; what yields again waits for the turn after.
func (l *Loop) resume() {
	tasks := l.yielded
	l.yielded = l.spare[:0]
	for i := 0; i < len(tasks) && !l.stopped; i++ {
		tasks[i].Run()
		l.flush()
	}
	clear(tasks)
	l.spare = tasks[:0]
}

// deliver hands an event to the Handler it was meant for. Guards against events
// for a descriptor that an earlier callback of the same round has closed.
func (l *Loop) deliver(ev *unix.EpollEvent) {
	if s := l.slots[ev.Fd]; s.h != nil && s.generation == ev.Pad {
		s.h.Ready(ev.Events)
		l.flush()
	}
}

// flush runs deferred tasks until there are none.
func (l *Loop) flush() {
	done := 0
	for ; done < len(l.deferred) && !l.stopped; done++ {
		l.deferred[done].Run()
	}
	left := copy(l.deferred, l.deferred[done:])
	clear(l.deferred[left:])
	l.deferred = l.deferred[:left]
}

// pause is how many milliseconds may be waited; -1 is for ever.
func (l *Loop) pause() int {
	if len(l.yielded) > 0 {
		return 0
	}
	if len(l.timers) == 0 {
		return -1
	}
	left := max(0, l.timers[0].at-l.Now())
	return int(min((left+time.Millisecond-1)/time.Millisecond, time.Hour/time.Millisecond))
}

// fire runs the timers that are due.
func (l *Loop) fire() {
	for len(l.timers) > 0 && !l.stopped {
		t := l.timers[0]
		if t.at > l.Now() {
			return
		}
		l.timers.remove(t)
		t.Task.Run()
		l.flush()
	}
}
