package southside

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"yardwharf"
	"yardwharf/internal/carry/dispatch"
	"yardwharf/internal/carry/sock"
)

// This file forces what may happen on a connection to a host within one turn of the loop, in
// either order: the test drives the loop by hand and plays the host itself.

// by is a yard whose loop stands still between turns.
type by struct {
	*yard
	accepted chan net.Conn
	conns    []*conn // that attempts went out on
}

// Start implements dispatch.South.
func (b *by) Start(r *dispatch.Relay) {
	b.pool.Start(r)
	b.conns = append(b.conns, r.Conn.(*conn))
}
func (b *by) Cancel(r *dispatch.Relay)    { b.pool.Cancel(r) }
func (b *by) Probe(id yardwharf.WorkerID) { b.pool.Probe(id) }

func newBy(t *testing.T, change func(*yardwharf.Settings)) *by {
	t.Helper()
	b := &by{accepted: make(chan net.Conn, 10)}
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	b.yard = newYard(t, change, func(c net.Conn) {
		b.accepted <- c
		<-release
	})
	b.pool.rest = restLeast
	b.d.Connect(b, watcher{})
	return b
}

// turn takes turns until something holds, for a bounded time.
func (b *by) turn(what string, holds func() bool) {
	b.t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); {
		if time.Now().After(end) {
			b.t.Fatalf("%s: not so after 5 s", what)
		}
		if err := b.loop.Turn(nil); err != nil {
			b.t.Fatal(err)
		}
	}
}

// settles waits until something holds that no turn of the loop is needed for.
func (b *by) settles(what string, holds func() bool) {
	b.t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("%s: not so after 5 s", what)
		}
	}
}

// sent takes a message and returns the host's end of the connection that it came on.
func (b *by) sent() (*dispatch.Message, *client, net.Conn) {
	b.t.Helper()
	m, c := b.take()
	var host net.Conn
	b.turn("connected", func() bool {
		select {
		case host = <-b.accepted:
		default:
		}
		return host != nil
	})
	got := make(chan error, 1)
	go func() {
		_, err := http.ReadRequest(bufio.NewReader(host))
		got <- err
	}()
	b.turn("sent", func() bool { return len(got) > 0 })
	if err := <-got; err != nil {
		b.t.Fatal(err)
	}
	return m, c, host
}

// ready says whether a connection of ours can be read.
func ready(c *conn) bool { return !sock.Quiet(c.fd) }

// A second answer to the message before comes as the next message is about to go out, or after
// it has: it is never taken for the answer to that one.
func TestSecondAnswer(t *testing.T) {
	for _, second := range []string{"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
		strings.ReplaceAll(chunked(done), "ID", "m1"), "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "garbage"} {
		for _, before := range []bool{true, false} {
			b := newBy(t, nil)
			_, one, host := b.sent()
			io.WriteString(host, strings.ReplaceAll(chunked(done), "ID", "m1"))
			b.turn("answered", func() bool { return one.got != "" && len(b.pool.hosts[7].idle) == 1 })
			old := b.pool.hosts[7].idle[0]
			if before {
				io.WriteString(host, second)
				b.settles("it has come", func() bool { return ready(old) })
			}
			_, two, other := b.sent()
			if !before {
				io.WriteString(host, second)
				b.settles("it has come", func() bool { return ready(old) })
			}
			b.turn("the connection goes", func() bool { return old.closed })
			if two.got != "" {
				t.Errorf("%.20q, before %v: taken for the answer to the next message: %s", second, before, two.got)
			}
			io.WriteString(other, strings.ReplaceAll(chunked(done), "ID", "m2"))
			if b.turn("answered", func() bool { return two.got != "" }); two.got != "served résult" {
				t.Errorf("%.20q, before %v: %s", second, before, two.got)
			}
		}
	}
}

// A connection that has rested is used again for what must not run twice; what may be repeated
// does not wait for that.
func TestRested(t *testing.T) {
	for _, c := range []struct {
		p      dispatch.Payload
		rested bool
		opened int
	}{
		{dispatch.Payload{Once: true}, true, 0}, {dispatch.Payload{Once: true}, false, 1},
		{dispatch.Payload{Key: []byte("k")}, true, 0}, {dispatch.Payload{Key: []byte("k")}, false, 1},
		{dispatch.Payload{}, false, 0},
	} {
		b := newBy(t, nil)
		_, one, host := b.sent()
		io.WriteString(host, strings.ReplaceAll(chunked(done), "ID", "m1"))
		b.turn("answered", func() bool { return one.got != "" && len(b.pool.hosts[7].idle) == 1 })
		b.pool.hosts[7].idle[0].since = b.loop.Now() - restLeast
		if !c.rested {
			b.pool.rest = time.Hour
		}
		c.p.ID, c.p.Method, c.p.Target = []byte("m2"), []byte("POST"), []byte("/a")
		before := b.pool.open
		b.d.Take(c.p, yardwharf.Request{Deadline: b.loop.Now() + time.Hour}, &client{loop: b.loop})
		if opened := b.pool.open - before; opened != c.opened {
			t.Errorf("%+v: %d connections opened, want %d", c, opened, c.opened)
		}
	}
}

// The client goes in the turn in which the connection for its message comes up, told before
// that or standing behind it: no byte goes out, and nothing is left.
func TestGoneAsConnectionComesUp(t *testing.T) {
	for _, told := range []bool{true, false} {
		b := newBy(t, nil)
		m, c := b.take()
		b.settles("connected", func() bool { return len(b.accepted) > 0 })
		host := <-b.accepted
		gone := func() { b.d.Withdraw(m) }
		if told {
			gone()
		} else {
			c.gone = func() bool { gone(); return true }
		}
		b.turn("nothing is left", func() bool { return b.pool.open == 0 && b.d.Open() == 0 })
		host.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := host.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("told %v: the host reads %d bytes, %v", told, n, err)
		}
		if c.got != "" {
			t.Errorf("told %v: answered %s", told, c.got)
		}
	}
}

// An answer that has told how the attempt ended and then goes on, or never ends, holds nothing
// up: the end counts at once, and the connection goes unless the rest comes soon.
func TestAnswerThatNeverEnds(t *testing.T) {
	started := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := func(s string) string { return chunked(s)[len(started) : len(chunked(s))-len("0\r\n\r\n")] }
	for _, c := range []struct{ text, rest, want string }{
		{"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 100\r\n\r\n", "", "refused"},
		{"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "", "refused"},
		{"HTTP/1.1 500 Oops\r\nContent-Length: 100\r\n\r\n", "", "failed"},
		{"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 3\r\n\r\n", "abc", "refused"},
		{started + line(`{"id":"m1","state":"returned"}`), "", "refused"},
		{started + line(strings.ReplaceAll(done, "ID", "m1")), "", "served résult"},
		{started + line(strings.ReplaceAll(done, "ID", "m1")), "0\r\n\r\n", "served résult"},
	} {
		b := newBy(t, nil)
		b.pool.tail = 20 * time.Millisecond
		if c.rest != "" {
			b.pool.tail = time.Hour
		}
		_, one, host := b.sent()
		io.WriteString(host, c.text)
		if b.turn("answered", func() bool { return one.got != "" }); one.got != c.want {
			t.Errorf("%q: %s, want %s", c.text, one.got, c.want)
		}
		io.WriteString(host, c.rest)
		b.turn("the rest", func() bool { return b.pool.open == 0 || len(b.pool.hosts[7].idle) == 1 })
		if used := b.pool.open == 1; used != (c.rest != "") {
			t.Errorf("%q, then %q: the connection is kept: %v", c.text, c.rest, used)
		}
	}
}

// An answer and the end of the connection, or its reset, stand in one turn: what the answer
// says counts, whichever event the loop is told of first.
func TestAnswerAndEndInOneTurn(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{chunked(done), "served résult"},
		{chunked(`{"id":"ID","state":"returned"}`), "refused"},
		{"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", "refused"},
		{chunked(`{"id":"ID","state":"started"}`)[:60], "failed"},
		{"", "failed"},
	} {
		for _, reversed := range []bool{false, true} {
			b := newBy(t, nil)
			_, one, host := b.sent()
			_, two, other := b.sent()
			for i, h := range []net.Conn{host, other} {
				io.WriteString(h, strings.ReplaceAll(c.text, "ID", []string{"m1", "m2"}[i]))
				h.Close()
			}
			b.settles("both have come", func() bool {
				return !slices.ContainsFunc(b.conns, func(c *conn) bool { return !sock.HungUp(c.fd) })
			})
			err := b.loop.Turn(func(events []unix.EpollEvent) {
				if reversed {
					slices.Reverse(events)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			b.turn("over", func() bool { return one.got != "" && two.got != "" && b.d.Open() == 0 })
			if one.got != c.want || two.got != c.want {
				t.Errorf("%q, reversed %v: %s and %s, want %s", c.text, reversed, one.got, two.got, c.want)
			}
		}
	}
}
