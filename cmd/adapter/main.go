// Command adapter runs the decision module on the bench's wire: frames of
// events on standard input, one reply of actions to each on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	cm "yardwharf"
	"yardwharf/internal/carry/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers frames until the input ends between two of them.
func run(in io.Reader, out io.Writer) error {
	debug.SetGCPercent(400)
	a := &adapter{balancers: make(map[uint32]*cm.Balancer)}
	dec := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	for n := 0; ; n++ {
		a.enc.Reset()
		err := dec.Next(func(now time.Duration) { a.now = now }, a)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if _, err := out.Write(a.enc.Bytes()); err != nil {
			return fmt.Errorf("frame %d: reply: %w", n, err)
		}
	}
}

// adapter holds one Balancer per running instance; they share nothing.
type adapter struct {
	enc       wire.Encoder
	now       time.Duration
	balancers map[uint32]*cm.Balancer
}

// with calls f on an instance's Balancer. A panic becomes the wire's crash.
func (a *adapter) with(inst uint32, f func(b *cm.Balancer)) {
	b := a.balancers[inst]
	if b == nil {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintf(os.Stderr, "adapter: instance %d: panic: %v\n%s", inst, r, debug.Stack())
			a.enc.Crash(inst, fmt.Sprint(r))
			delete(a.balancers, inst)
		}
	}()
	f(b)
}

// Launch implements wire.Handler.
func (a *adapter) Launch(inst uint32, seed uint64, params []byte) error {
	s, err := wire.Settings(params)
	if err != nil {
		return err
	}
	b, err := cm.New(s, seed, wire.Instance{Enc: &a.enc, ID: inst})
	if err != nil {
		return err
	}
	a.balancers[inst] = b
	return nil
}

// Halt implements wire.Handler.
func (a *adapter) Halt(inst uint32) { delete(a.balancers, inst) }

// Members implements wire.Handler.
func (a *adapter) Members(inst uint32, kind cm.ListKind, list []cm.Member) {
	a.with(inst, func(b *cm.Balancer) { b.Members(a.now, kind, list) })
}

// Request implements wire.Handler.
func (a *adapter) Request(inst uint32, r cm.Request) {
	a.with(inst, func(b *cm.Balancer) { b.Request(a.now, r) })
}

// Outcome implements wire.Handler.
func (a *adapter) Outcome(inst uint32, o cm.Outcome) {
	a.with(inst, func(b *cm.Balancer) { b.Outcome(a.now, o) })
}

// Note implements wire.Handler.
func (a *adapter) Note(inst uint32, id cm.RequestID, n int, kind cm.NoteKind, v float64) {
	a.with(inst, func(b *cm.Balancer) { b.Note(a.now, id, n, kind, v) })
}

// First implements wire.Handler.
func (a *adapter) First(inst uint32, id cm.RequestID, n int) {
	a.with(inst, func(b *cm.Balancer) { b.AnswerStarted(a.now, id, n) })
}

// Withdrawn implements wire.Handler.
func (a *adapter) Withdrawn(inst uint32, id cm.RequestID) {
	a.with(inst, func(b *cm.Balancer) { b.Withdrawn(a.now, id) })
}

// Probed implements wire.Handler.
func (a *adapter) Probed(inst uint32, w cm.WorkerID, st cm.Status, took time.Duration, load []float32) {
	a.with(inst, func(b *cm.Balancer) { b.Probed(a.now, w, st, took, load) })
}

// Peer implements wire.Handler.
func (a *adapter) Peer(inst uint32, from int, data []byte) {
	a.with(inst, func(b *cm.Balancer) { b.PeerMessage(a.now, from, data) })
}

// Timer implements wire.Handler.
func (a *adapter) Timer(inst uint32) {
	a.with(inst, func(b *cm.Balancer) { b.Timer(a.now) })
}
