package front

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"yardwharf"
	"yardwharf/internal/carry/budget"
	"yardwharf/internal/carry/dispatch"
	"yardwharf/internal/carry/loop"
)

// TestMain fixes the seed: the same cases each time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// south serves each message with its method, target and body, or holds it.
type south struct {
	l         *loop.Loop
	hold      bool
	held      chan struct{}
	cancelled chan struct{}
}

func (s *south) Start(r *dispatch.Relay) {
	if s.hold {
		close(s.held)
		return
	}
	p := &r.Message.Payload
	result := fmt.Appendf(nil, "%s %s %s", p.ID, p.Target, p.Body)
	s.l.Defer(loop.Func(func() { r.End(yardwharf.OK, result, nil) }))
}
func (s *south) Cancel(r *dispatch.Relay) {
	s.l.Defer(loop.Func(func() { r.End(yardwharf.Cancelled, nil, nil) }))
	close(s.cancelled)
}
func (s *south) Probe(yardwharf.WorkerID) {}
func (s *south) Watch()                   {}

// open runs a front in the background until the test ends.
func open(t *testing.T, most int, hold bool) (*Front, *south, func() net.Conn) {
	t.Helper()
	l, d, s, side := world(t, hold)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	return serve(t, l, d, s, side, Source{netip.MustParseAddrPort(address), -1}, address, most)
}

// world is a dispatcher with one class and one host.
func world(t *testing.T, hold bool) (*loop.Loop, *dispatch.Dispatcher, *yardwharf.Settings, *south) {
	t.Helper()
	s := yardwharf.Settings{Balancers: 1, MaxAttempts: 1, StartCapacity: 1, OverloadFactor: 4, OverloadFor: time.Second,
		Classes: []yardwharf.Class{{Name: "job", Aim: time.Hour, Deadline: time.Hour, Worth: 1, Kind: -1}}}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	d, err := dispatch.New(l, s, 1)
	if err != nil {
		t.Fatal(err)
	}
	side := &south{l: l, hold: hold, held: make(chan struct{}), cancelled: make(chan struct{})}
	d.Connect(side, side)
	d.Members(yardwharf.ListFull, []yardwharf.Member{{ID: 1, State: yardwharf.Ready}})
	return l, d, &s, side
}

// inherit runs a front on a copy of a listening socket.
func inherit(t *testing.T, listener net.Listener) *Front {
	t.Helper()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := unix.Dup(int(file.Fd()))
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	l, d, s, side := world(t, false)
	f, _, _ := serve(t, l, d, s, side, Source{Inherited: fd}, "", 100)
	return f
}

func serve(t *testing.T, l *loop.Loop, d *dispatch.Dispatcher, s *yardwharf.Settings, side *south, source Source, address string,
	most int) (*Front, *south, func() net.Conn) {
	t.Helper()
	f, err := New(l, zerolog.Nop(), source, most, nil, s, d)
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan error)
	go func() { over <- l.Run() }()
	t.Cleanup(func() {
		l.Post(loop.Func(func() {
			f.Close()
			l.Stop()
		}))
		if err := <-over; err != nil {
			t.Error(err)
		}
		l.Close()
	})
	return f, side, func() net.Conn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
}

func job(id, body string) string {
	return fmt.Sprintf("POST /job/%s HTTP/1.1\r\nX-Txn: %s\r\nX-Remaining: 60.5\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// What cannot be read or is too large is answered so, and the connection closed;
// what is only unknown is answered, and the connection kept.
func TestBadRequests(t *testing.T) {
	_, _, dial := open(t, 100, false)
	for _, c := range []struct {
		text   string
		status int
		closes bool
	}{
		{"garbage\r\n\r\n", 400, true},
		{"POST /job/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, true},
		{fmt.Sprintf("POST /job/1 HTTP/1.1\r\nX-Txn: a\r\nContent-Length: %d\r\n\r\n", maxBody+1), 413, true},
		{"POST /job/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 0x20000), 413, true},
		{"POST /job/1 HTTP/1.1\r\nA: " + strings.Repeat("x", 1<<15), 431, true},
		{"POST /other/1 HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 0\r\n\r\n", 404, false},
		{"GET /job/1 HTTP/1.1\r\nX-Txn: a\r\n\r\n", 405, false},
		{"POST /job/1 HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400, false},
		{"POST /job/1 HTTP/1.1\r\nX-Txn: a\r\nX-Remaining: soon\r\nContent-Length: 0\r\n\r\n", 400, false},
		{"POST /job/1 HTTP/1.1\r\nX-Txn: a\r\nX-Remaining: NaN\r\nContent-Length: 0\r\n\r\n", 400, false},
		{"POST /job/1 HTTP/1.1\r\nX-Txn: a\r\nX-Remaining: \r\nContent-Length: 0\r\n\r\n", 400, false},
		{"POST /job/1 HTTP/1.1\r\nX-Txn: a b\r\nContent-Length: 0\r\n\r\n", 400, false},
		{"POST /job/\xc3\xa4 HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 0\r\n\r\n", 400, true},
		{"POST /job/1 HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n", 400, true},
		{"POST /job/1 HTTP/1.1\r\nX-Txn: a\r\nContent-Length: -1\r\n\r\n", 400, true},
		{"POST /job/1 HTTP/1.1\r\nX-Txn: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 400, true},
		{"POST /job/1 HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + job("b", ""), 400, true},
		{"GET /ready HTTP/1.1\r\n\r\n", 503, false},
		{job("a", strings.Repeat("x", maxBody)), 200, false},
	} {
		conn := dial()
		go io.WriteString(conn, c.text)
		r := bufio.NewReader(conn)
		answer, err := http.ReadResponse(r, nil)
		if err != nil || answer.StatusCode != c.status || answer.Close != c.closes {
			t.Errorf("%.60q: %+v, %v; want %d", c.text, answer, err, c.status)
		}
		if c.closes { // without a reset over the answer
			if _, err := r.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("%.60q: then %v, want the end", c.text, err)
			}
		}
		conn.Close()
	}
}

// Requests cut anywhere and sent one behind the other are answered in order.
func TestCuts(t *testing.T) {
	_, _, dial := open(t, 100, false)
	rapid.Check(t, func(t *rapid.T) {
		var text bytes.Buffer
		var want []string
		for i := range rapid.IntRange(1, 4).Draw(t, "requests") {
			id, body := fmt.Sprint("m", i), rapid.StringN(0, 3000, 9000).Draw(t, "body")
			if rapid.Bool().Draw(t, "chunked") {
				half := len(body) / 2
				fmt.Fprintf(&text, "POST /job/%s HTTP/1.1\r\nX-Txn: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
				for _, part := range []string{body[:half], body[half:]} {
					if part != "" {
						fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
					}
				}
				text.WriteString("0\r\n\r\n")
			} else {
				text.WriteString(job(id, body))
			}
			want = append(want, fmt.Sprintf("%s /job/%s %s", id, id, body))
		}
		conn := dial()
		defer conn.Close()
		go func() {
			for b := text.Bytes(); len(b) > 0; {
				n, _ := conn.Write(b[:min(len(b), 1+len(b)/3)])
				b = b[max(n, 1):]
			}
		}()
		r := bufio.NewReader(conn)
		for _, w := range want {
			answer, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(answer.Body); err != nil || string(got) != w {
				t.Fatalf("answer %.80q, %v; want %.80q", got, err, w)
			}
		}
	})
}

// Garbage gets answers that refuse it, or none, and harms nobody else.
func TestGarbage(t *testing.T) {
	_, _, dial := open(t, 100, false)
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(job("a", "body"))
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		conn := dial()
		defer conn.Close()
		conn.Write(text)
		conn.(*net.TCPConn).CloseWrite()
		if got, _ := io.ReadAll(conn); len(got) > 0 && !bytes.HasPrefix(got, []byte("HTTP/1.1 ")) {
			t.Fatalf("answer %q", got)
		}
	})
	conn := dial()
	defer conn.Close()
	io.WriteString(conn, job("a", ""))
	if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || answer.StatusCode != 200 {
		t.Errorf("after the garbage: %+v, %v", answer, err)
	}
}

// A client that closes its connection withdraws its message.
func TestClientGone(t *testing.T) {
	_, side, dial := open(t, 100, true)
	conn := dial()
	io.WriteString(conn, job("a", ""))
	<-side.held
	conn.Close()
	<-side.cancelled
}

// Over the cap, the connection that has idled for longest makes room.
func TestCap(t *testing.T) {
	_, _, dial := open(t, 1, false)
	first, second := dial(), dial()
	defer second.Close()
	if _, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection reads %v, want its end", err)
	}
	io.WriteString(second, job("a", ""))
	if answer, err := http.ReadResponse(bufio.NewReader(second), nil); err != nil || answer.StatusCode != 200 {
		t.Errorf("%+v, %v", answer, err)
	}
}

// Requests that have come when the front closes are answered, whether their
// connection has been accepted or not; then the connections end.
func TestClose(t *testing.T) {
	f, _, dial := open(t, 100, false)
	old := dial()
	defer old.Close()
	io.WriteString(old, job("a", ""))
	r := bufio.NewReader(old)
	if answer, err := http.ReadResponse(r, nil); err != nil || answer.Close {
		t.Fatalf("%+v, %v", answer, err)
	} else {
		io.Copy(io.Discard, answer.Body)
	}
	fresh := make(chan net.Conn, 1)
	f.loop.Post(loop.Func(func() {
		c := dial()
		io.WriteString(old, job("b", ""))
		io.WriteString(c, job("c", ""))
		f.Close()
		fresh <- c
	}))
	c := <-fresh
	defer c.Close()
	for _, r := range []*bufio.Reader{r, bufio.NewReader(c)} {
		answer, err := http.ReadResponse(r, nil)
		if err != nil || answer.StatusCode != 200 || !answer.Close {
			t.Errorf("%+v, %v", answer, err)
			continue
		}
		if _, err := io.ReadAll(answer.Body); err != nil {
			t.Error(err)
		}
	}
}

// While a relay still refers to an answered message, the next one that comes on
// the connection does not touch its bytes.
func TestPayloadStays(t *testing.T) {
	f, _, _ := open(t, 1, false)
	c := &conn{f: f, closed: true, in: []byte("first second"), have: 12, size: 6, ticket: &ticket{lent: true}}
	payload, over := c.in[:6], make(chan struct{})
	f.loop.Post(loop.Func(func() {
		c.advance()
		copy(c.in, "XXXXXX")
		close(over)
	}))
	<-over
	if string(payload) != "first " || c.have != 6 {
		t.Errorf("payload %q, %d bytes kept", payload, c.have)
	}
}

// on runs a step on the front's loop and waits for it.
func (f *Front) on(step func()) {
	over := make(chan struct{})
	f.loop.Post(loop.Func(func() { step(); close(over) }))
	<-over
}

func status(conn net.Conn) int {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// Whoever is silent, sends half a request or a byte at a time is closed, counted
// from the accept; no byte renews the time.
func TestNeverWhole(t *testing.T) {
	f, _, dial := open(t, 100, false)
	f.on(func() { f.whole = 50 * time.Millisecond })
	for _, text := range []string{"", "POST /job/1 HTTP/1.1\r\nX-T", job("a", "body")[:60], "drip"} {
		conn := dial()
		go func() {
			for text == "drip" { // until it is closed
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
			io.WriteString(conn, text)
		}()
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("%q was answered", text)
		}
		conn.Close()
	}
}

// Where there is no more room, those that never brought a message go before a
// client's idle connection; one whose request has come unread is served.
func TestSilentGoFirst(t *testing.T) {
	f, _, dial := open(t, 2, false)
	usual, silent := dial(), dial()
	io.WriteString(usual, job("a", ""))
	if s := status(usual); s != 200 {
		t.Fatal(s)
	}
	f.on(func() {}) // both are accepted
	fresh := dial()
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the silent one reads %v, want its end", err)
	}
	for i, conn := range []net.Conn{usual, fresh} {
		io.WriteString(conn, job(fmt.Sprint("b", i), ""))
		if s := status(conn); s != 200 {
			t.Errorf("connection %d is answered %d", i, s)
		}
	}
}

// A message whose ID is in hand already is not taken, and does not touch the first.
func TestOpenID(t *testing.T) {
	f, side, dial := open(t, 100, true)
	first, second := dial(), dial()
	io.WriteString(first, job("a", ""))
	<-side.held
	io.WriteString(second, strings.Replace(job("a", "other"), "/job/a", "/job/b", 1))
	if s := status(second); s != 400 {
		t.Errorf("the second is answered %d", s)
	}
	f.on(func() {
		if n := f.dispatcher.Open(); n != 1 || len(f.open) != 1 {
			t.Errorf("%d messages in hand, %d IDs", n, len(f.open))
		}
	})
	first.Close()
	<-side.cancelled
	f.on(func() {})
	f.on(func() {
		if len(f.open) != 0 {
			t.Errorf("%d IDs are kept", len(f.open))
		}
	})
}

// After an error of the client's nothing is read for a while: one that asks again
// at full speed takes little of the loop. For room it goes as it is.
func TestRestAfterError(t *testing.T) {
	f, side, dial := open(t, 100, true)
	for _, rest := range []time.Duration{1, time.Hour} {
		f.on(func() { f.restFor = rest })
		conn := dial()
		defer conn.Close()
		r := bufio.NewReader(conn)
		for range 2 { // the second time once it has rested
			io.WriteString(conn, "POST /other HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
			if answer, err := http.ReadResponse(r, nil); err != nil || answer.StatusCode != 404 {
				t.Fatalf("%+v, %v", answer, err)
			}
			if rest == time.Hour {
				break
			}
		}
		io.WriteString(conn, job(fmt.Sprint(rest), ""))
		if rest == 1 {
			<-side.held
		}
	}
	f.on(func() {
		for c := range f.conns { // the one that does not rest has brought a message
			if !c.proven && !c.resting {
				t.Error("a connection is read on")
			}
		}
		open := f.dispatcher.Open()
		f.evict()
		if f.dispatcher.Open() != open {
			t.Error("a resting connection was read")
		}
	})
}

// Buffers are bounded together: a connection that no message came from gives way,
// and what still does not fit is turned away.
func TestBudget(t *testing.T) {
	f, _, dial := open(t, 100, false)
	f.on(func() { f.budget = budget.New(3 * bufferSize) })
	half := dial()
	io.WriteString(half, job("a", strings.Repeat("x", maxBody))[:bufferSize])
	for _, c := range []struct{ size, status int }{{bufferSize, 200}, {maxBody / 2, 503}, {0, 200}} {
		conn := dial()
		io.WriteString(conn, job("b", strings.Repeat("x", c.size)))
		if s := status(conn); s != c.status {
			t.Errorf("%d bytes are answered %d, want %d", c.size, s, c.status)
		}
		conn.Close()
	}
	if _, err := half.Read(make([]byte, 1)); err == nil {
		t.Error("the half request was answered")
	}
}

// Two processes on one listening socket serve all that comes, whichever of them is
// woken. One that leaves it closes its copy only: it has no further events, and
// what waits is served by the other.
func TestInheritedListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	first, second := inherit(t, listener), inherit(t, listener)
	served := func() (n int) {
		for i := range 20 {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			io.WriteString(conn, job(fmt.Sprint("m", i), ""))
			if status(conn) == 200 {
				n++
			}
		}
		return n
	}
	clients := func(f *Front) (n int) { f.on(func() { n = f.Clients() }); return n }
	if n := served(); n != 20 || clients(first)+clients(second) != 20 {
		t.Errorf("%d of 20 served together, by %d and %d connections", n, clients(first), clients(second))
	}
	before := clients(first)
	first.on(func() { first.Hold(true) })
	if n := served(); n != 20 || clients(first) != before {
		t.Errorf("%d of 20 served beside one that holds back", n)
	}
	second.on(func() { second.Hold(true) })
	waiting, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	io.WriteString(waiting, job("w", ""))
	first.on(func() { first.Close() }) // leaves the backlog, and the socket listening
	second.on(func() { second.Hold(false) })
	if s := status(waiting); s != 200 {
		t.Errorf("what waited is answered %d", s)
	}
	if n := served(); n != 20 {
		t.Errorf("%d of 20 served after one has left", n)
	}
}

// A drain that ends at once leaves the connections; one on which a message runs
// for longer than the drain takes ends with its answer, not before.
func TestAwayWhileRunning(t *testing.T) {
	f, side, dial := open(t, 100, true)
	idle, busy := dial(), dial()
	defer idle.Close()
	io.WriteString(busy, job("a", ""))
	<-side.held
	f.on(func() {
		f.SetAway(true)
		f.SetAway(false)
	})
	f.on(func() {
		if f.Clients() != 2 {
			t.Errorf("%d connections are left of 2", f.Clients())
		}
		f.SetAway(true)
		f.awayBy = 0 // all its time is over
		f.sendAway()
		if f.Clients() == 0 || f.dispatcher.Open() != 1 {
			t.Error("a message that runs is given up")
		}
		for _, c := range f.open {
			c.Served([]byte("late"))
		}
	})
	answer, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || answer.StatusCode != 200 || !answer.Close {
		t.Errorf("%+v, %v", answer, err)
	}
}

// With less room for clients' connections the idle ones give way, and no others.
func TestSetMost(t *testing.T) {
	f, side, dial := open(t, 100, true)
	busy := dial()
	defer busy.Close()
	io.WriteString(busy, job("a", ""))
	<-side.held
	for range 3 {
		defer dial().Close()
	}
	f.on(func() {})
	f.on(func() {
		if f.SetMost(1); f.Clients() != 1 || f.dispatcher.Open() != 1 {
			t.Errorf("%d connections and %d messages are left", f.Clients(), f.dispatcher.Open())
		}
	})
}

// What is no listening TCP socket is not taken.
func TestNotInherited(t *testing.T) {
	l, d, s, _ := world(t, false)
	defer l.Close()
	connected, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(connected)
	for fd, want := range map[int]string{connected: "no listening socket", 0x3ff: "not open"} {
		if _, err := New(l, zerolog.Nop(), Source{Inherited: fd}, 1, nil, s, d); err == nil ||
			!strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "PROXY_FD") {
			t.Errorf("descriptor %d: %v, want %q", fd, err, want)
		}
	}
}

// Clients are sent away: a request half read and one on a new connection are
// answered, and each connection ends, the idle and the silent ones by themselves.
// Taken in again, connections stay.
func TestSetAway(t *testing.T) {
	f, _, dial := open(t, 100, false)
	idle, half, silent := dial(), dial(), dial()
	for _, c := range []net.Conn{idle, half} {
		io.WriteString(c, job(fmt.Sprint("a", c.LocalAddr()), ""))
		if s := status(c); s != 200 {
			t.Fatal(s)
		}
	}
	text := job("b", "body")
	io.WriteString(half, text[:40])
	f.on(func() {
		f.SetReady(true)
		f.SetAway(true)
	})
	fresh := dial()
	io.WriteString(fresh, job("c", ""))
	for _, c := range []net.Conn{idle, silent} {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("a connection without a message reads %v, want its end", err)
		}
	}
	io.WriteString(half, text[40:])
	for _, c := range []net.Conn{half, fresh} {
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || answer.StatusCode != 200 || !answer.Close {
			t.Errorf("%+v, %v", answer, err)
		}
	}
	f.on(func() { f.SetAway(false) })
	back := dial()
	io.WriteString(back, job("d", ""))
	if answer, err := http.ReadResponse(bufio.NewReader(back), nil); err != nil || answer.Close {
		t.Errorf("%+v, %v", answer, err)
	}
	stages := map[stage]int{}
	f.on(func() {
		for c := range f.conns {
			stages[c.stage]++
		}
	})
	if stages[waiting]+stages[writing] != 1 || stages[leaving] != 4 {
		t.Errorf("connections by stage: %v, want one that came back and four that have ended", stages)
	}
	for _, c := range []net.Conn{idle, half, silent, fresh} {
		c.Close()
	}
	n := 0
	for end := time.Now().Add(5 * time.Second); n != 1; time.Sleep(time.Millisecond) {
		if f.on(func() { n = f.Clients() }); time.Now().After(end) {
			t.Fatalf("%d connections, want the one that came back", n)
		}
	}
}

// A message belongs to the tenant that its client names, or to none.
func TestTenant(t *testing.T) {
	f := &Front{tenants: []yardwharf.Tenant{{Name: "north"}, {Name: "south"}}}
	for name, want := range map[string]int{"north": 0, "south": 1, "": -1, "nor": -1, "northern": -1} {
		if got := f.tenant([]byte(name)); got != want {
			t.Errorf("%q is tenant %d, want %d", name, got, want)
		}
	}
}
