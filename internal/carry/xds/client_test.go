package xds

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"

	"yardwharf/internal/carry/xdslink"
	"yardwharf/internal/decide/membership"
	"yardwharf/internal/tools/standin/mgmt"
)

const patience = 30 * time.Second // that slow machines are given

// hearer accepts all that is delivered and passes on what it hears, a line each.
type hearer struct {
	c     *Client
	lines chan string
}

func (h *hearer) Up(server string)   { h.lines <- "up " + server }
func (h *hearer) Down(err error)     { h.lines <- "down " + err.Error() }
func (h *hearer) Refused(why string) { h.lines <- "refused " + why }
func (h *hearer) Deliver(n uint64, u *membership.Update) {
	h.lines <- fmt.Sprintf("update %d clusters, %d assignments", len(u.Clusters), len(u.Assignments))
	h.c.Verdict(n, "", false)
}

// until returns the first line that begins so.
func (h *hearer) until(t *testing.T, begins string) string {
	t.Helper()
	late := time.After(patience)
	for heard := []string{}; ; {
		select {
		case line := <-h.lines:
			if strings.HasPrefix(line, begins) {
				return line
			}
			heard = append(heard, line)
		case <-late:
			t.Fatalf("no %q, but %q", begins, heard)
		}
	}
}

func run(t *testing.T, c xdslink.Config) *hearer {
	t.Helper()
	if c.MaxMessageMB == 0 {
		c.MaxMessageMB = 1
	}
	if c.Silence == 0 {
		c.Silence = patience
	}
	if c.BackoffMost == 0 {
		c.BackoffMost = 10 * time.Millisecond
	}
	c.Node = xdslink.Node{ID: "n0", Cluster: "yard", Zone: "salto"}
	h := &hearer{lines: make(chan string, 10000)}
	h.c = NewClient(c, 0, h)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); h.c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return h
}

func serve(t *testing.T, creds credentials.TransportCredentials) *mgmt.Server {
	t.Helper()
	s := mgmt.New(creds)
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	s.Put(mgmt.Clusters, "1", mgmt.EDS("a", ""))
	s.Put(mgmt.Assignments, "1", mgmt.Assignment("a", mgmt.Policy{}, mgmt.Endpoint{Name: "s1", Address: "10.0.0.1", Port: 80}))
	return s
}

// Servers are tried in order, each time from the first one on; one that takes the
// stream and says nothing is given up; one that goes half-way through as well.
func TestServersInOrder(t *testing.T) {
	for _, delta := range []bool{true, false} {
		dumb, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and nothing else
		if err != nil {
			t.Fatal(err)
		}
		defer dumb.Close()
		silent, good := serve(t, nil), serve(t, nil)
		silent.Mute(true)
		h := run(t, xdslink.Config{Delta: delta, Servers: []string{dumb.Addr().String(), silent.Addr(), good.Addr()}, Silence: 50 * time.Millisecond})
		h.until(t, "down xds: "+dumb.Addr().String())
		if line := h.until(t, "down xds: "+silent.Addr()); !strings.Contains(line, "says nothing") {
			t.Error(line)
		}
		h.until(t, "up "+good.Addr())
		h.until(t, "update 0 clusters, 1 assignments")
		good.Cut()
		h.until(t, "down xds: "+good.Addr())
		h.until(t, "down xds: "+dumb.Addr().String())
		silent.Mute(false)
		h.until(t, "up "+silent.Addr())
	}
}

// A response over the bound ends the stream, and the program goes on.
func TestMessageBound(t *testing.T) {
	s := serve(t, nil)
	var list []mgmt.Endpoint
	for i := range 40000 {
		list = append(list, mgmt.Endpoint{Name: fmt.Sprintf("a-long-name-of-a-sender-%d", i), Address: "10.0.0.1", Port: uint32(i + 1)})
	}
	h := run(t, xdslink.Config{Delta: true, Servers: []string{s.Addr()}})
	h.until(t, "update 0 clusters, 1 assignments")
	s.Put(mgmt.Assignments, "2", mgmt.Assignment("a", mgmt.Policy{}, list...))
	if line := h.until(t, "down"); !strings.Contains(line, "larger than max") {
		t.Error(line)
	}
	s.Put(mgmt.Assignments, "3", mgmt.Assignment("a", mgmt.Policy{}, list[:10]...))
	h.until(t, "update 0 clusters, 1 assignments")
}

// authority signs keys for a test.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	n    int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.write("ca", true)
	return a
}

// write makes a key and its certificate, NAME.pem and NAME.key.
func (a *authority) write(name string, ca bool) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.n++
	c := &x509.Certificate{SerialNumber: big.NewInt(a.n), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: ca, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	parent, signer := a.cert, a.key
	if ca {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	if ca {
		a.key = key
		if a.cert, err = x509.ParseCertificate(der); err != nil {
			a.t.Fatal(err)
		}
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{name + ".pem": {Type: "CERTIFICATE", Bytes: der}, name + ".key": {Type: "EC PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(filepath.Join(a.dir, file), pem.EncodeToMemory(block), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

// Both sides show certificates; a client without one, or with one that another
// authority signed, is not let in; keys that are replaced count without a restart.
func TestMutualTLS(t *testing.T) {
	a := newAuthority(t)
	a.write("xds", false)
	a.write("n0", false)
	pair, err := tls.LoadX509KeyPair(a.path("xds.pem"), a.path("xds.key"))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	s := serve(t, credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{pair}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}))
	config := func(change func(*xdslink.TLS)) xdslink.Config {
		k := &xdslink.TLS{CA: a.path("ca.pem"), Cert: a.path("n0.pem"), Key: a.path("n0.key"), ServerName: "xds"}
		change(k)
		return xdslink.Config{Delta: true, Servers: []string{s.Addr()}, TLS: k}
	}
	run(t, config(func(*xdslink.TLS) {})).until(t, "update 0 clusters, 1 assignments")
	for what, c := range map[string]xdslink.Config{
		"":                    config(func(k *xdslink.TLS) { k.Cert, k.Key = "", "" }),
		"certificate is val":  config(func(k *xdslink.TLS) { k.ServerName = "other" }),
		"tls: ca":             config(func(k *xdslink.TLS) { k.CA = a.path("missing.pem") }),
		"holds no cert":       config(func(k *xdslink.TLS) { k.CA = a.path("n0.key") }),
		"tls: cert and key":   config(func(k *xdslink.TLS) { k.Key = a.path("xds.key") }),
		"error reading serve": {Delta: true, Servers: []string{s.Addr()}}, // plain text
	} {
		if line := run(t, c).until(t, "down"); !strings.Contains(line, what) {
			t.Errorf("%s: %s", what, line)
		}
	}
	// A client whose key belongs to nobody gets in once its files have been replaced.
	other := newAuthority(t)
	other.write("n0", false)
	mine := config(func(k *xdslink.TLS) { k.Cert, k.Key = other.path("n0.pem"), other.path("n0.key") })
	h := run(t, mine)
	h.until(t, "down")
	other.key, other.cert = a.key, a.cert
	other.n = 100
	other.write("n0", false)
	h.until(t, "update 0 clusters, 1 assignments")
}
