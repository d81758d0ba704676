package inventory

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"yardwharf"
	"yardwharf/internal/loop"
)

func entry(name, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:80","zone":"b","type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":1500}`, name, status)
}

func list(index int, snapshot bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, snapshot, strings.Join(entries, ","))
}

func TestParseList(t *testing.T) {
	for text, want := range map[string]string{
		list(1, true, entry("s1", "SERVING"), `{"name":"s2","address":"","status":"DELETED"}`): "",
		`{"index":"x"}`:                                  "index",
		"garbage":                                        "invalid",
		list(1, true, entry("", "SERVING")):              "endpoints[0] has no name",
		list(1, true, entry("s1", "MAYBE")):              `endpoints[0].status: unknown "MAYBE"`,
		list(1, true, `{"name":"s","status":"SERVING"}`): "endpoints[0] has no address",
		strings.Replace(list(1, true, entry("s1", "SERVING")), "127.0.0.1:80", "nowhere", 1): "ip:port",
	} {
		_, err := ParseList([]byte(text))
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
}

func parse(t *testing.T, text string) List {
	t.Helper()
	l, err := ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Hosts keep their ids; a snapshot tells of those it leaves out as gone.
func TestApply(t *testing.T) {
	h, other := NewHosts([]string{"a", "b"}, []string{"m1", "m2"}), NewHosts(nil, nil)
	first := h.Apply(parse(t, list(1, true, entry("s1", "SERVING"), entry("s2", "DRAINING"))))
	m := first[0]
	if m.Zone != 1 || m.Kind != 1 || m.Cell != 3 || m.Started.Seconds() != 1.5 || m.CapacityHint != 1.5 || h.Serving() != 1 {
		t.Errorf("read as %+v", m)
	}
	second := h.Apply(parse(t, list(2, true, entry("s2", "SERVING"))))
	if len(second) != 2 || second[0].ID != first[1].ID || second[1].ID != m.ID || second[1].State != yardwharf.Gone {
		t.Errorf("then told %+v", second)
	}
	if h.Apply(parse(t, list(3, false))) != nil && h.Serving() != 1 {
		t.Error("an empty change changed something")
	}
	if o := other.Apply(parse(t, list(1, true, entry("s2", "SERVING")))); o[0].ID != first[1].ID {
		t.Error("dispatchers name the same host differently")
	}
}

// told keeps what the listener hears, and stops the loop after a failure.
type told struct {
	loop *loop.Loop
	list []string
}

func (o *told) Told(kind yardwharf.ListKind, entries []Host) {
	o.list = append(o.list, fmt.Sprintf("%d:%d", kind, len(entries)))
	if kind == yardwharf.ListFailed {
		o.loop.Stop()
	}
}

// watching runs one watch against a discovery that says this, and returns what
// the listener heard and what discovery was asked.
func watching(t *testing.T, hosts *Hosts, says string, silent bool) ([]string, string) {
	t.Helper()
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	asked := make(chan string, 1)
	go func() {
		defer discovery.Close()
		c, err := discovery.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			asked <- r.RequestURI
		}
		for _, b := range []byte(says) { // cut everywhere
			c.Write([]byte{b})
		}
		if silent {
			c.Read(make([]byte, 1))
		}
	}()
	w := NewWatcher(l, zerolog.Nop(), netip.MustParseAddrPort(discovery.Addr().String()), hosts, List{Index: 41})
	if silent {
		w.silence = 1
	}
	o := &told{loop: l}
	w.Listen(o)
	w.Watch()
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	return o.list, <-asked
}

func chunks(lines ...string) string {
	s := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, l := range lines {
		s += fmt.Sprintf("%x\r\n%s\n\r\n", len(l)+1, l)
	}
	return s
}

// Whatever discovery says, each watch brings its lists and then one failure, and
// garbage leaves the inventory as it was.
func TestWatch(t *testing.T) {
	for _, c := range []struct {
		says string
		want []string
	}{
		{chunks(list(1, true, entry("s1", "SERVING")), "", list(2, false, entry("s2", "SERVING"))), []string{"1:1", "0:1", "3:0"}},
		{chunks(list(1, true, entry("s1", "SERVING")), "garbage"), []string{"1:1", "3:0"}},
		{chunks(list(1, true, entry("s1", "MAYBE"))), []string{"3:0"}},
		{chunks("") + "0\r\n\r\n", []string{"3:0"}},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", []string{"3:0"}},
		{"garbage\r\n\r\n", []string{"3:0"}},
		{strings.Repeat("garbage", 4000), []string{"3:0"}},
		{"", []string{"3:0"}},
	} {
		hosts := NewHosts(nil, nil)
		hosts.Apply(parse(t, list(1, true, entry("s1", "SERVING"))))
		heard, asked := watching(t, hosts, c.says, false)
		if !slices.Equal(heard, c.want) || asked != "/v1/endpoints?watch=1&from=41" || hosts.Serving() < 1 {
			t.Errorf("%.60q: heard %v, want %v; asked %s; %d hosts serve", c.says, heard, c.want, asked, hosts.Serving())
		}
	}
}

// A watch that says nothing for too long has failed, though its connection stands.
func TestSilentWatch(t *testing.T) {
	heard, _ := watching(t, NewHosts(nil, nil), chunks(list(1, true, entry("s1", "SERVING"))), true)
	if !slices.Equal(heard, []string{"1:1", "3:0"}) {
		t.Errorf("heard %v", heard)
	}
}
