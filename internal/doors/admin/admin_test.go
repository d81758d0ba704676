package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yardwharf/internal/carry/loop"
)

// desk writes down what it is asked.
type desk struct {
	mu    sync.Mutex
	asked []string
}

func (d *desk) note(what string) {
	d.mu.Lock()
	d.asked = append(d.asked, what)
	d.mu.Unlock()
}

// taken is what was asked since the last call.
func (d *desk) taken() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	what := strings.Join(d.asked, ",")
	d.asked = nil
	return what
}

func (d *desk) Serving() bool { return true }
func (d *desk) Drain(on bool) error {
	d.note(fmt.Sprint("drain ", on))
	return nil
}
func (d *desk) Down(host string) error {
	d.note("down " + host)
	switch host {
	case "never":
		return ErrUnknown
	case "full":
		return errors.New("no room to write it down")
	}
	return nil
}
func (d *desk) Figures() (string, error)  { return "{}", nil }
func (d *desk) Settings() (string, error) { return "{}", nil }
func (d *desk) Zones() (string, error)    { return `{"zones":[]}`, nil }
func (d *desk) Zone(name string, away bool) error {
	d.note(fmt.Sprint("zone ", name, " ", away))
	return map[string]error{"none": ErrNot, "last": ErrConflict}[name]
}
func (d *desk) Up(host string) error {
	d.note("up " + host)
	return nil
}

// open runs a door until the test ends; dial connects to it.
func open(t *testing.T, calls Calls, patience time.Duration) (dial func() net.Conn) {
	t.Helper()
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	d, err := Open(l, zerolog.Nop(), netip.MustParseAddrPort(address), calls)
	if err != nil {
		t.Fatal(err)
	}
	d.patience = patience
	over := make(chan error)
	go func() { over <- l.Run() }()
	t.Cleanup(func() {
		l.Post(loop.Func(func() {
			d.Close()
			if len(d.callers) > 0 {
				t.Errorf("%d callers are left", len(d.callers))
			}
			l.Stop()
		}))
		if err := <-over; err != nil {
			t.Error(err)
		}
		l.Close()
	})
	return func() net.Conn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// ask reads the answer and the end of the connection.
func ask(t *testing.T, c net.Conn) (int, http.Header) {
	t.Helper()
	r := bufio.NewReader(c)
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, a.Body)
	if _, err := r.ReadByte(); err != io.EOF || !a.Close {
		t.Errorf("behind the answer comes %v, want the end of the connection", err)
	}
	return a.StatusCode, a.Header
}

// Each call is answered as it is worded, and does what it says once.
func TestCalls(t *testing.T) {
	d := &desk{}
	dial := open(t, d, time.Hour)
	for _, c := range []struct {
		text  string
		want  int
		asked string
	}{
		{"GET /ops/readiness HTTP/1.1\r\n\r\n", 200, ""},
		{"POST /ops/drain/start HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 200, "drain true"},
		{"POST /ops/drain/stop HTTP/1.0\r\n\r\n", 200, "drain false"},
		{"POST /ops/senders/down/s-1?now HTTP/1.1\r\n\r\n", 200, "down s-1"},
		{"POST /ops/senders/up/s%2d1%2525 HTTP/1.1\r\n\r\n", 200, "up s-1%25"},
		{"POST /ops/senders/down/never HTTP/1.1\r\n\r\n", 404, "down never"},
		{"POST /ops/senders/down/full HTTP/1.1\r\n\r\n", 500, "down full"},
		{"GET /ops/figures HTTP/1.1\r\n\r\n", 200, ""},
		{"GET /ops/zones HTTP/1.1\r\n\r\n", 200, ""},
		{"POST /ops/zones/leave/a%20b HTTP/1.1\r\n\r\n", 200, "zone a b true"},
		{"POST /ops/zones/return/a HTTP/1.1\r\n\r\n", 200, "zone a false"},
		{"POST /ops/zones/leave/none HTTP/1.1\r\n\r\n", 404, "zone none true"},
		{"POST /ops/zones/leave/last HTTP/1.1\r\n\r\n", 409, "zone last true"},
		{"GET /ops/zones/leave/a HTTP/1.1\r\n\r\n", 405, ""},
		{"POST /ops/senders/down/a%2fb HTTP/1.1\r\n\r\n", 400, ""},
		{"POST /ops/senders/down/a%zz HTTP/1.1\r\n\r\n", 400, ""},
		{"POST /ops/senders/down/a/b HTTP/1.1\r\n\r\n", 404, ""},
		{"POST /ops/senders/down/ HTTP/1.1\r\n\r\n", 404, ""},
		{"GET /ops HTTP/1.1\r\n\r\n", 404, ""},
		{"GET /ops/drain/start HTTP/1.1\r\n\r\n", 405, ""},
		{"POST /ops/readiness HTTP/1.1\r\n\r\n", 405, ""},
		{"POST /ops/drain/start HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", 413, ""},
		{"POST /ops/drain/start HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 413, ""},
		{"GET /ops/readiness HTTP/1.1\r\nA: " + strings.Repeat("x", headMost), 431, ""},
		{"garbage\r\n\r\n", 400, ""},
		{"POST /ops/drain/start HTTP/1.1\r\n\r\nPOST /ops/drain/stop HTTP/1.1\r\n\r\n", 200, "drain true"}, // one call to a connection
	} {
		d.taken()
		conn := dial()
		io.WriteString(conn, c.text)
		status, header := ask(t, conn)
		if asked := d.taken(); status != c.want || asked != c.asked {
			t.Errorf("%.50q: %d, asked %q; want %d, %q", c.text, status, asked, c.want, c.asked)
		}
		if allow := header.Get("Allow"); (status == 405) != (allow != "") {
			t.Errorf("%.50q: %d with Allow %q", c.text, status, allow)
		}
	}
}

// A call in single bytes is a call, also after a hundred callers who say nothing or
// half a call, and after one that has gone before its answer.
func TestSilentCallers(t *testing.T) {
	dial := open(t, &desk{}, time.Hour)
	real := dial()
	io.WriteString(real, "GET /ops/readiness HTTP/1.1\r\n\r\n") // its answer waits while others come
	for i := range 100 {
		if c := dial(); i%2 == 0 {
			io.WriteString(c, "GET /ops/rea")
		}
	}
	gone := dial()
	io.WriteString(gone, "GET /ops/readiness HTTP/1.1\r\n\r\n")
	gone.Close()
	slow := dial()
	for _, b := range []byte("GET /ops/readiness HTTP/1.1\r\n\r\n") {
		slow.Write([]byte{b})
	}
	for _, c := range []net.Conn{real, slow} {
		if status, _ := ask(t, c); status != 200 {
			t.Errorf("answered %d", status)
		}
	}
}

// Who sends no whole call in time is let go.
func TestPatience(t *testing.T) {
	dial := open(t, &desk{}, 10*time.Millisecond)
	c := dial()
	io.WriteString(c, "GET /ops")
	if got, err := io.ReadAll(c); len(got) > 0 || err != nil {
		t.Errorf("%q, %v; want the end", got, err)
	}
}

// The door says no at the start where it cannot listen.
func TestAddressInUse(t *testing.T) {
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if _, err := Open(l, zerolog.Nop(), netip.MustParseAddrPort(other.Addr().String()), &desk{}); err == nil || !slices.Contains(strings.Fields(err.Error()), "listen") {
		t.Errorf("error %v", err)
	}
}
