package front

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yardwharf"
	"yardwharf/internal/carry/dispatch"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/sock"
)

// This file forces what may happen to a client's connection within one turn of the loop, in
// either order: the test drives the loop by hand, and takes a turn once both have happened.

// stepped is a front whose loop stands still between turns. Its south side keeps attempts.
type stepped struct {
	t       *testing.T
	l       *loop.Loop
	f       *Front
	address string
	relays  []*dispatch.Relay
	called  int // attempts called off
}

func (s *stepped) Start(r *dispatch.Relay) { s.relays = append(s.relays, r) }
func (s *stepped) Cancel(r *dispatch.Relay) {
	s.called++
	s.l.Defer(loop.Func(func() { r.End(yardwharf.Cancelled, nil, nil) }))
}
func (s *stepped) Probe(yardwharf.WorkerID) {}
func (s *stepped) Watch()                   {}

func newStepped(t *testing.T, most int) *stepped {
	t.Helper()
	l, _, settings, _ := world(t, true)
	s := &stepped{t: t, l: l}
	d, err := dispatch.New(l, *settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Connect(s, s)
	d.Members(yardwharf.ListFull, []yardwharf.Member{{ID: 1, State: yardwharf.Ready}, {ID: 2, State: yardwharf.Ready}})
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = free.Addr().String()
	free.Close()
	if s.f, err = New(l, zerolog.Nop(), Source{netip.MustParseAddrPort(s.address), -1}, most, nil, settings, d); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for c := range s.f.conns {
			c.close()
		}
		if s.f.fd >= 0 {
			s.f.stopListening()
		}
		l.Close()
	})
	return s
}

// turn takes turns until something holds, for a bounded time.
func (s *stepped) turn(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); {
		if time.Now().After(end) {
			s.t.Fatalf("%s: not so after 5 s", what)
		}
		if err := s.l.Turn(nil); err != nil {
			s.t.Fatal(err)
		}
	}
}

// settles waits until something holds that no turn of the loop is needed for.
func (s *stepped) settles(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%s: not so after 5 s", what)
		}
	}
}

// client connects, and is accepted.
func (s *stepped) client() (*net.TCPConn, *conn) {
	s.t.Helper()
	before := map[*conn]bool{}
	for c := range s.f.conns {
		before[c] = true
	}
	client, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { client.Close() })
	s.turn("accepted", func() bool { return len(s.f.conns) > len(before) })
	for c := range s.f.conns {
		if !before[c] {
			return client.(*net.TCPConn), c
		}
	}
	panic("unreachable")
}

// owes has a request taken and held at the south side.
func (s *stepped) owes(id string) (*net.TCPConn, *conn, *dispatch.Relay) {
	s.t.Helper()
	client, c := s.client()
	n := len(s.relays)
	io.WriteString(client, job(id, ""))
	s.turn("taken", func() bool { return len(s.relays) > n })
	return client, c, s.relays[n]
}

// answer reads an answer and then the end of the connection, if it is to end.
func (s *stepped) answer(client *net.TCPConn, status int, ends bool) {
	s.t.Helper()
	client.SetReadDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(client)
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		s.t.Errorf("no answer: %v", err)
		return
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != status || answer.Close != ends {
		s.t.Errorf("answer %d, closes %v, body %v; want %d, %v", answer.StatusCode, answer.Close, err, status, ends)
	}
	if !ends {
		return
	}
	if _, err := r.ReadByte(); err != io.EOF {
		s.t.Errorf("after the answer %v, want the end", err)
	}
}

// A request whose client has gone by the turn in which it is read is not begun, whatever came
// behind it.
func TestGoneBeforeItIsRead(t *testing.T) {
	for _, behind := range []string{"", job("b", "body"), job("b", strings.Repeat("x", bufferSize))[:bufferSize]} {
		s := newStepped(t, 10)
		client, c := s.client()
		io.WriteString(client, job("a", "")+behind)
		client.Close()
		s.settles("the end has come", func() bool { return sock.HungUp(c.fd) })
		s.turn("closed", func() bool { return c.closed })
		if len(s.relays) != 0 || s.f.dispatcher.Open() != 0 {
			t.Errorf("%d bytes behind it: begun for a client that has gone", len(behind))
		}
	}
}

// The end of a client's side that stands in the loop behind what begins an attempt is seen as
// that is about to begin, also where reads are held back, and calls everything off.
func TestGoneBehindTheAttempt(t *testing.T) {
	for _, behind := range []int{0, 100, 3 * bufferSize} {
		for _, reset := range []bool{false, true} {
			s := newStepped(t, 10)
			client, c, relay := s.owes("a")
			if !relay.MayBegin() {
				t.Error("not begun for a client that waits")
			}
			io.WriteString(client, strings.Repeat("x", behind))
			if behind > bufferSize {
				s.turn("reads are held back", func() bool { return c.wants&loop.In == 0 })
			}
			if reset {
				client.SetLinger(0)
			}
			client.Close()
			s.settles("the end has come", func() bool { return sock.HungUp(c.fd) })
			if relay.MayBegin() {
				t.Errorf("%d bytes behind, reset %v: begun for a client that has gone", behind, reset)
			}
			if s.turn("forgotten", func() bool { return s.f.dispatcher.Open() == 0 }); s.called != 1 || !c.closed || len(s.f.open) != 0 {
				t.Errorf("%d bytes behind, reset %v: %d called off, closed %v, %d ids in hand", behind, reset, s.called, c.closed, len(s.f.open))
			}
		}
	}
}

// The last answer on a connection reaches a client that has sent bytes which are never read:
// closing over them would reset it.
func TestLastAnswerIsNotReset(t *testing.T) {
	s := newStepped(t, 10)
	client, c, relay := s.owes("a")
	s.f.closing = true
	io.WriteString(client, strings.Repeat("x", 3*bufferSize))
	s.turn("reads are held back", func() bool { return c.wants&loop.In == 0 })
	relay.End(yardwharf.OK, []byte(strings.Repeat("r", 60<<10)), nil)
	s.turn("its side has ended", func() bool { return c.stage == leaving || c.closed })
	io.WriteString(client, "more")
	s.turn("all is thrown away", func() bool { return c.thrown >= 2*bufferSize || c.closed })
	s.answer(client, 200, true)
	client.Close()
	s.turn("closed", func() bool { return c.closed })
}

// A client that does not end its side is not waited for longer than the bound.
func TestLingersForABoundedTime(t *testing.T) {
	s := newStepped(t, 10)
	s.f.linger = 20 * time.Millisecond
	client, c, relay := s.owes("a")
	s.f.Close()
	s.f.linger = 20 * time.Millisecond
	relay.End(yardwharf.OK, nil, nil)
	s.turn("ended", func() bool { return c.closed })
	if s.answer(client, 200, true); !s.f.Closed() {
		t.Error("something is left after the end")
	}
}

// A request on a resting connection crosses its end. Come before, it is answered; come after,
// it is not sent on, and the client sees a clean end without an answer, so that it repeats it.
func TestRequestCrossesTheEnd(t *testing.T) {
	for _, before := range []bool{true, false} {
		s := newStepped(t, 10)
		client, c, relay := s.owes("a")
		relay.End(yardwharf.OK, nil, nil)
		s.turn("rests", func() bool { return c.idle() })
		s.answer(client, 200, false)
		if before {
			io.WriteString(client, job("b", ""))
			s.settles("it has come", func() bool { return !sock.Quiet(c.fd) })
		}
		s.f.Close()
		if !before {
			io.WriteString(client, job("b", ""))
			s.settles("it has come", func() bool { return !sock.Quiet(c.fd) })
			s.turn("thrown away", func() bool { return c.thrown > 0 })
			client.SetReadDeadline(time.Now().Add(5 * time.Second))
			if n, err := client.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("read %d, %v; want the end", n, err)
			}
			if len(s.relays) != 1 {
				t.Error("a request that came after the own end was sent on")
			}
			client.Close()
		} else {
			s.turn("taken", func() bool { return len(s.relays) == 2 })
			s.relays[1].End(yardwharf.OK, nil, nil)
			s.turn("its side has ended", func() bool { return c.stage == leaving })
			s.answer(client, 200, true)
			client.Close()
		}
		s.turn("over", s.f.Closed)
	}
}

// Connections that wait to be accepted when the front closes and has no room are accepted as
// room comes, not reset; then the listener closes.
func TestCloseWithoutRoom(t *testing.T) {
	s := newStepped(t, 1)
	first, _, relay := s.owes("a")
	second, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	io.WriteString(second, job("b", ""))
	s.f.Close()
	if s.f.Closed() || s.f.fd < 0 {
		t.Fatal("closed over a connection that waits")
	}
	relay.End(yardwharf.OK, nil, nil)
	s.turn("taken", func() bool { return len(s.relays) == 2 })
	s.answer(first, 200, true)
	s.relays[1].End(yardwharf.OK, nil, nil)
	s.turn("answered", func() bool { return s.f.fd < 0 && s.f.leaving.Oldest() != nil })
	s.answer(second.(*net.TCPConn), 200, true)
	first.Close()
	second.Close()
	s.turn("over", s.f.Closed)
	if c, err := net.Dial("tcp", s.address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dialled %v, %v after the end", c, err)
	}
}

// A connection that lingers gives way where places are needed, once its answer has had time to
// be read.
func TestLingeringGivesWay(t *testing.T) {
	s := newStepped(t, 1)
	client, c := s.client()
	io.WriteString(client, "garbage\r\n\r\n")
	s.turn("lingers", func() bool { return c.stage == leaving })
	s.answer(client, 400, true)
	other, fresh := s.client2(c)
	io.WriteString(other, job("b", ""))
	s.turn("taken", func() bool { return len(s.relays) == 1 })
	if !c.closed || fresh.closed {
		t.Error("the wrong one gave way")
	}
}

// One that lingers gives way first once its answer has had time to be read, and last before.
func TestWhoGivesWay(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		goes bool
	}{{0, false}, {leftLeast, true}} {
		s := newStepped(t, 10)
		client, lingers := s.client()
		io.WriteString(client, "garbage\r\n\r\n")
		s.turn("lingers", func() bool { return lingers.stage == leaving })
		_, silent := s.client()
		lingers.left = s.l.Now() - c.age
		if !s.f.evict() || lingers.closed != c.goes || silent.closed == c.goes {
			t.Errorf("%v after it began to linger: it went: %v, the silent one: %v", c.age, lingers.closed, silent.closed)
		}
	}
}

// client2 connects in place of another that gives way.
func (s *stepped) client2(old *conn) (*net.TCPConn, *conn) {
	s.t.Helper()
	client, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { client.Close() })
	s.turn("in its place", func() bool { return old.closed && len(s.f.conns) == 1 })
	for c := range s.f.conns {
		return client.(*net.TCPConn), c
	}
	panic("unreachable")
}
