package app

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yardwharf"
	"yardwharf/internal/carry/dispatch"
	"yardwharf/internal/carry/loop"
)

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// free returns an address that nothing listens at, one of this process alone: on 127.0.0.1 another process may be given the port before
// it is listened at.
func free(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.200.%d.%d:0", byte(pid>>8), byte(pid)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// configure writes the example's configuration with other addresses, and one host
// in the list as last known.
func configure(t *testing.T, path, address, discovery string, host net.Listener) {
	t.Helper()
	text, err := os.ReadFile("../../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	known := fmt.Sprintf(`"endpoints": [{"name":"s1","address":%q,"zone":"here","type":"toy","status":"SERVING"}]`, host.Addr())
	text = []byte(strings.NewReplacer("127.0.0.1:8080", address, "127.0.0.1:8500", discovery, `"endpoints": []`, known).Replace(string(text)))
	if !json.Valid(text) || os.WriteFile(path, text, 0o600) != nil {
		t.Fatalf("no configuration: %s", text)
	}
}

// start builds a program from a configuration; it is for the caller to run.
func start(t *testing.T, path string) *program {
	t.Helper()
	t.Setenv("PROXY_CONFIG", path)
	o := Options{Getenv: os.Getenv}
	s, err := read(o)
	if err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	p, err := build(l, zerolog.Nop(), s, o)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// SIGHUP moves the watch to the discovery that the file now names, and the old one
// is let go; a file that cannot be used changes nothing.
func TestReload(t *testing.T) {
	first, second, host := listen(t), listen(t), listen(t)
	path, address := t.TempDir()+"/config.json", free(t)
	configure(t, path, address, first.Addr().String(), host)
	p := start(t, path)
	go p.heed(catch())
	asked := func(l net.Listener) (net.Conn, string) {
		conn, err := l.Accept()
		if err != nil {
			t.Error(err)
			p.loop.Post(loop.Func(p.loop.Stop))
			return nil, ""
		}
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			t.Error(err)
			p.loop.Post(loop.Func(p.loop.Stop))
			return conn, ""
		}
		return conn, r.RequestURI
	}
	go func() {
		old, _ := asked(first)
		if old == nil {
			return
		}
		defer old.Close()
		os.WriteFile(path, []byte("{"), 0o600)
		kept := make(chan bool)
		p.loop.Post(loop.Func(func() {
			p.reload()
			kept <- p.config.Discovery.String() == first.Addr().String()
		}))
		if !<-kept {
			t.Error("a file that cannot be read changed something")
		}
		configure(t, path, address, second.Addr().String(), host)
		text, _ := os.ReadFile(path)
		os.WriteFile(path, []byte(strings.NewReplacer(`"Points": 5`, `"Points": 7`, `"DrainGrace": 500`, `"DrainGrace": 250`, `"OpenCap": 20000`, `"OpenCap": 33`, `"sockets": 1024`, `"sockets": 512`).Replace(string(text))), 0o600)
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		fresh, uri := asked(second)
		if fresh == nil {
			return
		}
		defer fresh.Close()
		if uri != "/v1/endpoints?watch=1&from=0" {
			t.Errorf("the new discovery is asked for %s", uri)
		}
		if _, err := old.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the old watch reads %v, want its end", err)
		}
		p.loop.Post(loop.Func(func() {
			if p.config.Settings.Classes[0].Worth != 7 || p.config.Limits.Sockets != 512 || !strings.Contains(string(p.config.Text), `"Points":7`) {
				t.Errorf("worth and limits have not changed: %+v, %+v", p.config.Settings.Classes[0], p.config.Limits)
			}
			grace := time.Duration(reflect.ValueOf(p.pool).Elem().FieldByName("grace").Int())
			if most := reflect.ValueOf(p.front).Elem().FieldByName("maxOpen").Int(); grace != 250*time.Millisecond || most != 33 {
				t.Errorf("a grace of %v and %d open messages count after the reload", grace, most)
			}
			p.loop.Stop()
		}))
	}()
	if err := p.loop.Run(); err != nil {
		t.Fatal(err)
	}
}

// holder is a client that waits for its answer.
type holder struct{ answered bool }

func (h *holder) Served([]byte)         { h.answered = true }
func (h *holder) Refused(time.Duration) { h.answered = true }
func (h *holder) Failed()               { h.answered = true }
func (h *holder) Gone() bool            { return false }
func (h *holder) Released()             {}

// When the time to leave is over, the program ends by itself over connections whose clients just
// do not end their side, but over no message in hand, no request half read and no listener.
func TestEndsOverNothingOwed(t *testing.T) {
	host, address, path := listen(t), free(t), t.TempDir()+"/config.json"
	configure(t, path, address, free(t), host)
	p := start(t, path)
	ends := func() bool {
		p.leaveBy = p.loop.Now()
		p.wait()
		return p.loop.Stopped()
	}
	turns := func(until func() bool) {
		for end := time.Now().Add(5 * time.Second); !until(); {
			if err := p.loop.Turn(nil); err != nil || time.Now().After(end) {
				t.Fatalf("not so after 5 s: %v", err)
			}
		}
	}
	p.leaving = true
	if ends() {
		t.Error("ended while it listens")
	}
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	io.WriteString(client, "GET /ready HTTP/1.1\r\n")
	turns(func() bool { return p.front.Clients() == 1 })
	p.front.Close()
	if ends() {
		t.Error("ended over a request half read")
	}
	io.WriteString(client, "\r\n")
	turns(p.front.Answered) // the client does not end its side
	waits := &holder{}
	m := p.dispatcher.Take(dispatch.Payload{ID: []byte("m"), Method: []byte("POST"), Target: []byte("/a")},
		yardwharf.Request{Deadline: p.loop.Now() + time.Hour}, waits)
	if ends() || waits.answered {
		t.Error("ended over a message in hand")
	}
	p.dispatcher.Withdraw(m)
	turns(func() bool { return p.dispatcher.Open() == 0 })
	if p.front.Closed() || !ends() {
		t.Error("does not end, though all is answered")
	}
}

// The example's configuration starts a program that knows a host from its last
// list only, with discovery down. Told to leave while it owes an answer, it stops
// listening, gives the answer, closes the connection and ends.
func TestLeave(t *testing.T) {
	host, address, path := listen(t), free(t), t.TempDir()+"/config.json"
	configure(t, path, address, free(t), host)
	p := start(t, path)
	l := p.loop
	go func() {
		conn, err := host.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		l.Post(loop.Func(p.leave))
		for { // until the front has closed its door
			again, err := net.Dial("tcp", netip.MustParseAddrPort(address).String())
			if err != nil {
				break
			}
			again.Close()
		}
		line := fmt.Sprintf(`{"id":%q,"state":"done","result":"late but whole"}`+"\n", r.Header.Get("X-Txn"))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
		io.Copy(io.Discard, conn)
	}()
	got := make(chan string, 1)
	go func() {
		r, _ := http.NewRequest("POST", "http://"+address+"/send-alert/ana", strings.NewReader("body"))
		r.Header.Set("X-Txn", "m1")
		r.Header.Set("X-Remaining", "600")
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			got <- err.Error()
			l.Post(loop.Func(l.Stop))
			return
		}
		defer answer.Body.Close()
		body, _ := io.ReadAll(answer.Body)
		got <- fmt.Sprintf("%d %s close=%t", answer.StatusCode, body, answer.Close)
		if answer.StatusCode != 200 {
			l.Post(loop.Func(l.Stop))
		}
	}()
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if g := <-got; g != "200 late but whole close=true" {
		t.Error(g)
	}
}
