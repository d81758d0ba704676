package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"yardwharf/internal/config"
	"yardwharf/internal/loop"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func free(t *testing.T) string {
	l := listen(t)
	defer l.Close()
	return l.Addr().String()
}

// The example's configuration starts a program that knows a host from its last
// list only, with discovery down. Told to leave while it owes an answer, it stops
// listening, gives the answer, closes the connection and ends.
func TestLeave(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	host, address := listen(t), free(t)
	known := fmt.Sprintf(`"endpoints": [{"name":"s1","address":%q,"zone":"here","type":"toy","status":"SERVING"}]`, host.Addr())
	text = []byte(strings.NewReplacer("127.0.0.1:8080", address, "127.0.0.1:8500", free(t), `"endpoints": []`, known).Replace(string(text)))
	path := t.TempDir() + "/config.json"
	if !json.Valid(text) || os.WriteFile(path, text, 0o600) != nil {
		t.Fatalf("no configuration: %s", text)
	}
	c, err := config.Load(func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p, err := build(l, zerolog.Nop(), c)
	if err != nil {
		t.Fatal(err)
	}
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
