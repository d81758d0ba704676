package loop

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// Timers run in the order of their times, whatever was set anew or taken back.
func TestTimers(t *testing.T) {
	l := newLoop(t)
	rng := rand.New(rand.NewPCG(1, 2))
	now := l.Now()
	var ran, want []time.Duration
	timers := make([]Timer, 200)
	for i := range timers {
		tm := &timers[i]
		tm.Task = Func(func() { ran = append(ran, tm.at) })
		l.Set(tm, now-time.Duration(rng.IntN(1000)))
	}
	for i := range timers {
		switch tm := &timers[i]; i % 3 {
		case 0:
			l.Clear(tm)
			l.Clear(tm)
		case 1:
			l.Set(tm, now-time.Duration(rng.IntN(1000)))
			want = append(want, tm.at)
		default:
			want = append(want, tm.at)
		}
	}
	slices.Sort(want)
	l.fire()
	if !slices.Equal(ran, want) {
		t.Errorf("timers ran at %v, want %v", ran, want)
	}
}

// handler is a Handler made of a function.
type handler func()

func (h handler) Ready(uint32) { h() }

// An event that waits for a descriptor closed in the same round is dropped, also
// where the number has been given to a new one by then.
func TestEventOfClosedDescriptor(t *testing.T) {
	l := newLoop(t)
	var fds [2][2]int
	for i := range fds {
		pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		fds[i] = pair
		defer unix.Close(pair[1])
		unix.Write(pair[1], []byte("x"))
	}
	told := 0
	for i := range fds {
		other := fds[1-i][0]
		h := handler(func() {
			if told++; told > 1 {
				t.Error("told of a descriptor that was closed")
				return
			}
			l.CloseFD(other)
			fresh, err := unix.Dup(fds[i][1])
			if err != nil || fresh != other {
				t.Fatalf("dup gave %d for %d: %v", fresh, other, err)
			}
			if err := l.Add(fresh, In, handler(func() { t.Error("the new one is told of the old one's event") })); err != nil {
				t.Fatal(err)
			}
			l.Stop()
		})
		if err := l.Add(fds[i][0], In, h); err != nil {
			t.Fatal(err)
		}
	}
	n, err := unix.EpollWait(l.epoll, l.events[:], 0)
	if err != nil || n != 2 {
		t.Fatalf("%d events, %v", n, err)
	}
	for i := range n {
		l.deliver(&l.events[i])
	}
	if told != 1 {
		t.Errorf("%d handlers were told, want 1", told)
	}
}

// Posted tasks and the tasks these defer run in order, then Run returns.
func TestPost(t *testing.T) {
	l := newLoop(t)
	var ran []int
	go l.Post(Func(func() {
		l.Defer(Func(func() {
			ran = append(ran, 2)
			l.Stop()
		}))
		ran = append(ran, 1)
	}))
	if err := l.Run(); err != nil || !slices.Equal(ran, []int{1, 2}) {
		t.Errorf("ran %v, error %v", ran, err)
	}
}

// What yields goes on only after the others have had their turn.
func TestYield(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var order []string
	var greedy Func
	greedy = func() {
		if order = append(order, "greedy"); len(order) < 4 {
			l.Yield(greedy)
		} else {
			l.Stop()
		}
	}
	l.Yield(greedy)
	var timer Timer
	timer.Task = Func(func() { order = append(order, "timer") })
	l.Set(&timer, 0)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if len(order) != 4 || order[0] != "timer" {
		t.Errorf("order %v", order)
	}
}
