package processes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const folder = "../../../../lab/fleet"

const (
	leastPlayed  = 19  // scripts that are short enough to be played here
	firstNetwork = 160 // second parts of the loopback addresses of played scripts follow on it
)

var binary string // the dispatcher, built for these tests

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "processes-")
	if err == nil {
		binary = filepath.Join(dir, "yardwharf")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", dir+"/", "yardwharf/cmd/yardwharf", "yardwharf/cmd/yardfleet", "yardwharf/cmd/yardlab").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// playedLength is how long a script may be for the tests to play it; the longer ones are for yardlab.
const playedLength = 25 * time.Second

// Several processes with faults between them keep the rules and do what the scripts expect: every
// committed script that ends within seconds.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.star"))
	if err != nil {
		t.Fatal(err)
	}
	played := 0
	for _, path := range paths {
		s, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if s.Length > playedLength {
			continue
		}
		played++
		network := firstNetwork + byte(played)
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			r, err := Run(context.Background(), s, Options{Binary: binary, Net: network, Dir: t.TempDir(), Seed: 1, Lab: filepath.Join(filepath.Dir(binary), "yardlab")})
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range s.Faults(&r) {
				t.Error(f)
			}
			t.Logf("%d messages, service %.3f, %d left within %v, %d changes", r.Messages, r.Service(), len(r.Left), r.Left, r.Changes)
		})
	}
	if played < leastPlayed {
		t.Errorf("%d scripts are played, want %d at least", played, leastPlayed)
	}
}

// Every committed script can be read, and a faulty one is told with file, line and key.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.star"))
	if err != nil || len(paths) < 12 {
		t.Fatalf("%d scripts, %v", len(paths), err)
	}
	for _, path := range paths {
		if s, err := Load(path); err != nil || s.About == "" {
			t.Errorf("%s: %v", path, err)
		}
	}
	const site = "site(zones = [\"a\"])\n"
	for text, want := range map[string]string{
		"site(zones = [])":                                  "zones: names none",
		site + `at("1s", "melt")`:                           `s.star:2:10: what: is "melt"`,
		site + `at("1s", "dark", zone = "z")`:               `zone: is "z"`,
		site + `at("1s", "kill")`:                           "dispatchers: names none",
		site + `at("1s", "kill", dispatchers = [9])`:        "dispatchers: holds 9",
		site + `expect("luck", least = 1)`:                  `figure: is "luck"`,
		site + `expect("service")`:                          "expect: has no bound",
		site + `expect("service", least = "much")`:          "bound: is",
		site + `site(zones = ["b"])`:                        "site: is called twice",
		site + `at("1s", "drain")`:                          "sender: is missing",
		`site(zones = ["a", "b", "c"], dispatchers = 1000)`: "dispatchers: is 1000",
		site: "expects nothing",
	} {
		path := filepath.Join(t.TempDir(), "s.star")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// A link does what it is told: dark, nothing comes up and what was open is silent; cut,
// both break; healed, bytes go through again.
func TestLink(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	at := func(d byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 150, 1, d}), 9000) }
	l, err := newLink(at(2), at(1), echo.Addr().(*net.TCPAddr).AddrPort(), newSends())
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	dial := func() net.Conn {
		c, err := net.DialTimeout("tcp", at(1).String(), 300*time.Millisecond)
		if err != nil {
			return nil
		}
		return c
	}
	answers := func(c net.Conn, within time.Duration) error {
		c.SetDeadline(time.Now().Add(within))
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	timedOut := func(err error) bool { e, ok := err.(net.Error); return ok && e.Timeout() }
	first := dial()
	if first == nil || answers(first, 5*time.Second) != nil {
		t.Fatal("an open link does not answer")
	}
	l.set(dark)
	if c := dial(); c != nil {
		t.Error("a connection comes up on a dark link")
	}
	if err := answers(first, 300*time.Millisecond); !timedOut(err) {
		t.Errorf("a connection on a dark link: %v, want silence", err)
	}
	l.set(open)
	healed := false
	for n := 0; n < 50 && !healed; n++ { // first packets that were dropped are sent again after a second
		c := dial()
		healed = c != nil && answers(c, 5*time.Second) == nil
	}
	if !healed {
		t.Error("a healed link does not answer")
	}
	l.set(silent)
	if c := dial(); c == nil {
		t.Error("a silent link takes no connection")
	} else if err := answers(c, 300*time.Millisecond); !timedOut(err) {
		t.Errorf("a connection on a silent link: %v, want silence", err)
	}
	l.set(cut)
	if err := answers(first, 5*time.Second); err == nil || timedOut(err) {
		t.Errorf("a connection on a cut link: %v, want its end", err)
	}
}

// A drain is held to when a message left its dispatcher: one that was sent before the drain was told,
// and that a dark link holds, breaks nothing when it arrives; one that is sent too late does, also
// where the link holds it.
func TestDrainCountsFromTheFirstByte(t *testing.T) {
	r := &rig{s: &Scenario{Zones: []string{"a"}}, o: Options{Net: 151}, began: time.Now(), sends: newSends(), runs: map[string]int{},
		known_: map[string]bool{"m0": true, "m1": true, "m2": true}, touched: map[string]bool{}}
	s := &sender{name: "s", at: r.addr(3, 1, 9000), r: r, told: map[int]time.Time{}}
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	defer s.stop()
	l, err := newLink(r.addr(linksFrom, 200, 0), r.addr(linksFrom, 1, 9000), s.at, r.sends)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	for n, c := range []struct {
		told  time.Duration // before the message is sent; negative: after
		rules int
	}{{-time.Millisecond, 0}, {grace + drainSlack + 100*time.Millisecond, 1}} {
		dispatcher, err := net.Dial("tcp", l.at.String())
		if err != nil {
			t.Fatal(err)
		}
		defer dispatcher.Close()
		dispatcher.SetDeadline(time.Now().Add(10 * time.Second))
		ask := func(id string) {
			fmt.Fprintf(dispatcher, "POST /look/x HTTP/1.1\r\nHost: s\r\nX-Txn: %s\r\nContent-Length: 0\r\n\r\n", id)
		}
		answer := func() {
			a, err := http.ReadResponse(bufio.NewReader(dispatcher), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, a.Body)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		ask("m0")
		answer()
		l.set(dark)
		ask(fmt.Sprintf("m%d", n+1))
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
			r.sends.mu.Lock()
			read := len(r.sends.at) > 0
			r.sends.mu.Unlock()
			if read {
				break
			}
			if time.Now().After(end) {
				t.Fatal("the link has not read the message")
			}
		}
		s.mu.Lock()
		s.told[0] = time.Now().Add(-c.told)
		s.mu.Unlock()
		time.Sleep(grace + drainSlack + 50*time.Millisecond) // the message arrives too late in any case
		l.set(open)
		answer()
		s.mu.Lock()
		delete(s.told, 0)
		s.mu.Unlock()
		if len(r.result.Rules) != c.rules || c.rules > 0 && !strings.Contains(r.result.Rules[0], "rule 3") {
			t.Errorf("told %v before it was sent: %q, want %d", c.told, r.result.Rules, c.rules)
		}
	}
}

// The rig sees what breaks a rule.
func TestSees(t *testing.T) {
	r := &rig{runs: map[string]int{}, known_: map[string]bool{"a": true}, began: time.Now()}
	look, book := classOf("look"), classOf("book")
	r.ran("a", look)
	r.ran("a", look)
	r.ran("b", book)
	if len(r.result.Rules) != 0 || r.known("b") || !r.known("a") {
		t.Errorf("%v", r.result.Rules)
	}
	r.ran("b", book)
	s := &sender{name: "s", r: r, since: time.Now()}
	for range 100 {
		s.press(time.Now(), 0.1)
	}
	if len(r.result.Rules) != 2 || !strings.Contains(r.result.Rules[0], "rule 2") || !strings.Contains(r.result.Rules[1], "rule 4") {
		t.Errorf("%q", r.result.Rules)
	}
}
