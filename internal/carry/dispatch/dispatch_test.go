package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"yardwharf"
	"yardwharf/internal/carry/loop"
)

// world plays the south side, the inventory and a client, and keeps what it is told.
type world struct {
	l      *loop.Loop
	d      *Dispatcher
	relays []*Relay
	told   []string
	gone   func() bool // nil: the client stays
}

func (w *world) Start(r *Relay) { w.relays = append(w.relays, r) }
func (w *world) Cancel(r *Relay) {
	w.told = append(w.told, fmt.Sprintf("cancel %d", slices.Index(w.relays, r)))
	w.l.Defer(loop.Func(func() { r.End(yardwharf.Cancelled, nil, nil) }))
}
func (w *world) Probe(yardwharf.WorkerID) {}
func (w *world) Watch()                   {}
func (w *world) Served(result []byte)     { w.told = append(w.told, "served "+string(result)) }
func (w *world) Refused(time.Duration)    { w.told = append(w.told, "refused") }
func (w *world) Failed()                  { w.told = append(w.told, "failed") }
func (w *world) Gone() bool               { return w.gone != nil && w.gone() }
func (w *world) Released()                { w.told = append(w.told, "released") }

func newWorld(t *testing.T, attempts int) *world {
	t.Helper()
	s := yardwharf.Settings{Balancers: 1, MaxAttempts: attempts, Cancel: true, ParallelTries: true, TellsStart: true,
		StartCapacity: 1, OverloadFactor: 4, OverloadFor: time.Second, MaxRetryAfter: time.Second,
		Classes: []yardwharf.Class{{Aim: 100 * time.Millisecond, Deadline: time.Hour, Worth: 1, Kind: -1}}}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	w := &world{l: l}
	if w.d, err = New(l, s, 1); err != nil {
		t.Fatal(err)
	}
	w.d.Connect(w, w)
	w.d.Members(yardwharf.ListFull, []yardwharf.Member{{ID: 1, State: yardwharf.Ready}, {ID: 2, State: yardwharf.Ready}})
	return w
}

func (w *world) take() *Message {
	return w.d.Take(Payload{}, yardwharf.Request{Deadline: w.l.Now() + time.Hour}, w)
}

// do runs a step on the loop, and what it defers.
func (w *world) do(t *testing.T, step func()) {
	t.Helper()
	w.l.Defer(loop.Func(step))
	w.l.Defer(loop.Func(func() { w.l.Defer(loop.Func(func() { w.l.Defer(loop.Func(w.l.Stop)) })) }))
	if err := w.l.Run(); err != nil {
		t.Fatal(err)
	}
}

func (w *world) want(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(w.told, want) {
		t.Errorf("told %q, want %q", w.told, want)
	}
	if w.d.Open() != 0 {
		t.Errorf("%d messages are kept", w.d.Open())
	}
}

// The first result is the answer; a second end of a relay counts for nothing.
func TestServedOnce(t *testing.T) {
	w := newWorld(t, 3)
	w.do(t, func() { w.take() })
	w.do(t, func() {
		w.relays[0].End(yardwharf.OK, []byte("a"), nil)
		w.relays[0].End(yardwharf.OK, []byte("b"), nil)
	})
	w.want(t, "served a", "released")
}

// A relay that never ran is followed by another.
func TestGoesOn(t *testing.T) {
	w := newWorld(t, 3)
	w.do(t, func() { w.take() })
	w.do(t, func() { w.relays[0].End(yardwharf.Full, nil, nil) })
	w.do(t, func() { w.relays[1].End(yardwharf.OK, []byte("b"), nil) })
	w.want(t, "served b", "released")
}

// A withdrawn message has its relays cancelled and no answer; it is kept until
// they have ended. Withdrawing what is settled does nothing.
func TestWithdraw(t *testing.T) {
	w := newWorld(t, 3)
	var m *Message
	w.do(t, func() { m = w.take() })
	w.do(t, func() {
		w.d.Withdraw(m)
		w.d.Withdraw(m)
		if w.d.Open() != 1 {
			t.Error("the message is forgotten before its relay has ended")
		}
	})
	w.want(t, "cancel 0", "released")
}

// With no attempt left the answer is given at once, by the module's word.
func TestRefused(t *testing.T) {
	w := newWorld(t, 1)
	w.do(t, func() { w.take() })
	w.do(t, func() { w.relays[0].End(yardwharf.Reset, nil, nil) })
	w.want(t, "refused", "released")
}

// Before the program ends, messages are taken with what is left of its time.
func TestEndBy(t *testing.T) {
	w := newWorld(t, 1)
	w.do(t, func() {
		end := w.l.Now() + time.Minute
		w.d.EndBy(end)
		if m := w.take(); m.Deadline != end {
			t.Errorf("the deadline is %v after the end", m.Deadline-end)
		}
	})
	w.do(t, func() { w.relays[0].End(yardwharf.Reset, nil, nil) })
	w.want(t, "refused", "released")
}

// As an attempt's first byte is about to go out it may not begin any more where the client has
// gone, the answer was given or its time is over, whatever has not been told of that yet.
func TestMayBegin(t *testing.T) {
	for _, c := range []struct {
		name   string
		happen func(w *world, m *Message)
		want   bool
	}{
		{"nothing happened", func(w *world, m *Message) {}, true},
		{"the client has gone", func(w *world, m *Message) { w.gone = func() bool { w.d.Withdraw(m); return true } }, false},
		{"it was withdrawn", func(w *world, m *Message) { w.d.Withdraw(m) }, false},
		{"the answer was given", func(w *world, m *Message) { m.settled = true }, false},
		{"its time is over", func(w *world, m *Message) { w.relays[0].Until = w.l.Now() }, false},
	} {
		w := newWorld(t, 3)
		w.do(t, func() {
			m := w.take()
			if c.happen(w, m); w.relays[0].MayBegin() != c.want {
				t.Errorf("%s: may begin is not %v", c.name, c.want)
			}
		})
	}
}
