package mgmt

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"go.starlark.net/starlark"
	"google.golang.org/grpc/credentials"

	"yardwharf/internal/decide/script"
)

// Play runs a script that sets servers up and plays them, one line after the other.
// It returns when the script has ended; servers then go on as they are until Close.
type Play struct {
	Out     io.Writer // what the script prints, and what it waits for
	servers []*Server
	heard   map[*Server]int
	began   time.Time
}

// Run runs the script at path.
func (p *Play) Run(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("script: %w", err)
	}
	p.heard, p.began = map[*Server]int{}, time.Now()
	return script.Run(script.Options{Path: path, Text: text,
		ReadFile: func(name string) ([]byte, error) { return os.ReadFile(filepath.Join(filepath.Dir(path), name)) },
		Print:    func(line string) { p.say("%s", line) },
		Builtins: map[string]script.Func{"serve": p.serve, "endpoint": p.endpoint, "cluster": p.cluster, "assignment": p.assignment,
			"put": p.put, "change": p.change, "send": p.send, "cut": p.on((*Server).Cut), "stop": p.on((*Server).Stop),
			"mute": p.on(func(s *Server) { s.Mute(true) }), "unmute": p.on(func(s *Server) { s.Mute(false) }),
			"start": p.start, "sleep": p.sleep, "expect": p.expect}})
}

// Close stops all servers.
func (p *Play) Close() {
	for _, s := range p.servers {
		s.Stop()
	}
}

// Servers is how many there are.
func (p *Play) Servers() int { return len(p.servers) }

func (p *Play) say(format string, args ...any) {
	fmt.Fprintf(p.Out, "%8.3fs  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

const serverName, endpointName, resourceName = "server", "endpoint", "resource"

func (p *Play) serve(c script.Call) (starlark.Value, error) {
	a := c.Args("address")
	address := a.RequiredString("address")
	ca, cert, key := a.StringOr("ca", ""), a.StringOr("cert", ""), a.StringOr("key", "")
	if err := a.Err(); err != nil {
		return nil, err
	}
	var creds credentials.TransportCredentials
	if cert != "" {
		var err error
		if creds, err = serverKeys(ca, cert, key); err != nil {
			a.RecordError("cert", err.Error(), "files with keys")
			return nil, a.Err()
		}
	}
	s := New(creds)
	if err := s.Listen(address); err != nil {
		a.RecordError("address", err.Error(), "an address to listen at")
		return nil, a.Err()
	}
	p.servers = append(p.servers, s)
	p.say("serving at %s", s.Addr())
	return script.Value[*Server]{V: s, Name: serverName}, nil
}

// serverKeys reads a server's keys; with a CA clients must show a certificate.
func serverKeys(ca, cert, key string) (credentials.TransportCredentials, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, err
	}
	c := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	if ca != "" {
		text, err := os.ReadFile(ca)
		if err != nil {
			return nil, err
		}
		c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, x509.NewCertPool()
		c.ClientCAs.AppendCertsFromPEM(text)
	}
	return credentials.NewTLS(c), nil
}

func (p *Play) endpoint(c script.Call) (starlark.Value, error) {
	a := c.Args("address")
	e := Endpoint{Name: a.StringOr("name", ""), Zone: a.StringOr("zone", ""), Type: a.StringOr("type", ""), Weight: uint32(a.Int("weight", 0, 0, 1<<30)),
		Priority: uint32(a.Int("priority", 0, 0, 1000)), Group: a.Int("group", 0, 0, 1<<30)}
	host, port, err := net.SplitHostPort(a.RequiredString("address"))
	n, bad := strconv.ParseUint(port, 10, 32)
	if err != nil || bad != nil { // anything else may be odd on purpose
		a.RecordError("address", "is no host:port", `an address like "127.0.0.1:9001"`)
	}
	e.Address, e.Port = host, uint32(n)
	health := a.Choice("health", "HEALTHY", "UNKNOWN", "UNHEALTHY", "DRAINING", "TIMEOUT", "DEGRADED")
	e.Health = corev3.HealthStatus(corev3.HealthStatus_value[health])
	if s := a.StringOr("since", ""); s == "now" {
		e.SinceMS = float64(time.Now().UnixMilli())
	} else if s != "" {
		a.RecordError("since", "is "+strconv.Quote(s), `"now", or left out`)
	}
	return script.Value[Endpoint]{V: e, Name: endpointName}, a.Err()
}

// endpoints reads a list of endpoint(...).
func endpoints(a *script.Args, key string) (out []Endpoint) {
	for _, e := range a.List(key) {
		v, ok := e.(script.Value[Endpoint])
		if !ok {
			a.RecordError(key, "holds "+script.FormatValue(e), "endpoint(...)")
		}
		out = append(out, v.V)
	}
	return out
}

func (p *Play) cluster(c script.Call) (starlark.Value, error) {
	a := c.Args("name")
	name, eds, list := a.RequiredString("name"), a.StringOr("eds", ""), endpoints(a, "endpoints")
	r := EDS(name, eds)
	if len(list) > 0 {
		r = Static(name, list...)
	}
	r.Version = a.StringOr("version", "")
	return script.Value[Resource]{V: r, Name: resourceName}, a.Err()
}

func (p *Play) assignment(c script.Call) (starlark.Value, error) {
	a := c.Args("name", "endpoints")
	policy := Policy{Drop: uint32(a.Int("drop", 0, 0, 1000)), Overprovision: uint32(a.Int("overprovisioning", 0, 0, 1<<30)),
		StaleAfter: a.Duration("stale_after", 0, 0, 24*time.Hour), ByWeight: a.Bool("weighted_priority_health")}
	r := Assignment(a.RequiredString("name"), policy, endpoints(a, "endpoints")...)
	r.Version = a.StringOr("version", "")
	return script.Value[Resource]{V: r, Name: resourceName}, a.Err()
}

// server reads which server a call is about.
func server(a *script.Args) *Server {
	v, ok := a.Required("server", "serve(...)").(script.Value[*Server])
	if !ok {
		a.RecordError("server", "is no server", "serve(...)")
		return New(nil)
	}
	return v.V
}

// resources reads a list of cluster(...) or assignment(...).
func resources(a *script.Args, key string) (out []Resource) {
	for _, r := range a.List(key) {
		v, ok := r.(script.Value[Resource])
		if !ok {
			a.RecordError(key, "holds "+script.FormatValue(r), "cluster(...) or assignment(...)")
		}
		out = append(out, v.V)
	}
	return out
}

// kind reads which type of resources a call is about.
func kind(a *script.Args) string {
	return map[string]string{"eds": Assignments, "cds": Clusters}[a.Choice("type", "eds", "cds")]
}

// put makes these all the clusters, or all the assignments, that there are.
func (p *Play) put(c script.Call) (starlark.Value, error) {
	a := c.Args("server")
	s, k, version, list := server(a), kind(a), a.RequiredString("version"), resources(a, "resources")
	if err := a.Err(); err != nil {
		return nil, err
	}
	s.Put(k, version, list...)
	return starlark.None, nil
}

// change replaces or removes some.
func (p *Play) change(c script.Call) (starlark.Value, error) {
	a := c.Args("server")
	s, k, version, list, removed := server(a), kind(a), a.RequiredString("version"), resources(a, "resources"), a.Strings("removed")
	if err := a.Err(); err != nil {
		return nil, err
	}
	s.Change(k, version, list, removed)
	return starlark.None, nil
}

// send sends a response as it is, whatever has been put.
func (p *Play) send(c script.Call) (starlark.Value, error) {
	a := c.Args("server")
	s, k, version, nonce := server(a), kind(a), a.RequiredString("version"), a.StringOr("nonce", "")
	list, removed := resources(a, "resources"), a.Strings("removed")
	if err := a.Err(); err != nil {
		return nil, err
	}
	s.Raw(k, version, nonce, list, removed)
	return starlark.None, nil
}

func (p *Play) on(do func(*Server)) script.Func {
	return func(c script.Call) (starlark.Value, error) {
		a := c.Args("server")
		s := server(a)
		if err := a.Err(); err != nil {
			return nil, err
		}
		do(s)
		return starlark.None, nil
	}
}

// start lets a server that was stopped listen again where it did.
func (p *Play) start(c script.Call) (starlark.Value, error) {
	a := c.Args("server")
	s := server(a)
	if err := a.Err(); err != nil {
		return nil, err
	}
	if err := s.Listen(s.Addr()); err != nil {
		a.RecordError("server", err.Error(), "a server that was stopped")
	}
	return starlark.None, a.Err()
}

func (p *Play) sleep(c script.Call) (starlark.Value, error) {
	a := c.Args("time")
	d := a.Duration("time", time.Second, 0, 24*time.Hour)
	if err := a.Err(); err != nil {
		return nil, err
	}
	time.Sleep(d)
	return starlark.None, nil
}

// expect waits for the next request of a kind: "ask", "ack" or "nack".
func (p *Play) expect(c script.Call) (starlark.Value, error) {
	a := c.Args("server", "what")
	s, what := server(a), a.Choice("what", "ack", "nack", "ask")
	k, text := kind(a), a.StringOr("text", "")
	most := a.Duration("within", 10*time.Second, 0, time.Hour)
	if err := a.Err(); err != nil {
		return nil, err
	}
	is := func(h Heard) string {
		switch {
		case h.Error != "":
			return "nack"
		case h.First || h.Nonce == "":
			return "ask"
		}
		return "ack"
	}
	h, at, ok := s.Await(p.heard[s], most, func(h Heard) bool {
		return h.Type == k && is(h) == what && strings.Contains(h.Error, text)
	})
	if !ok {
		a.RecordError("what", fmt.Sprintf("no %s came within %v", what, most), fmt.Sprintf("one; heard were %s", short(s.Heard())))
		return nil, a.Err()
	}
	p.heard[s] = at + 1
	p.say("%s from stream %d, version %q%s", what, h.Stream, h.Version, h.Error)
	return starlark.None, nil
}

func short(list []Heard) string {
	var b []string
	for _, h := range slices.Backward(list) {
		if len(b) == 5 {
			break
		}
		b = append(b, fmt.Sprintf("%s nonce %q version %q error %.80q", h.Type[strings.LastIndex(h.Type, ".")+1:], h.Nonce, h.Version, h.Error))
	}
	slices.Reverse(b)
	return strings.Join(b, "; ")
}
