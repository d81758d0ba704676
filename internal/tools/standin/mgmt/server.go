// Package mgmt is a stand-in management server: it speaks Envoy's aggregated xDS
// over gRPC, incremental and state of the world, from what a test or a script puts
// into it, and sends whatever else it is told to, in any order. It is written from
// "xDS REST and gRPC protocol" of Envoy's documentation and holds no client to more
// than that.
package mgmt

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"yardwharf/internal/tools/standin/listener"
)

// Resource is a named resource with its version.
type Resource struct {
	Name, Version string
	Body          proto.Message
}

// Heard is a request that a client has sent.
type Heard struct {
	Stream  int // counted from 1 over the life of the server
	Type    string
	Version string
	Nonce   string
	Error   string // of a NACK
	Names   []string
	Initial map[string]string
	First   bool // of its type on its stream
}

// Server is one stand-in.
type Server struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer

	address string
	creds   credentials.TransportCredentials
	grpc    *grpc.Server
	served  chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	state   map[string]*state // by type
	streams map[int]*stream
	last    int
	nonce   int
	heard   []Heard
	muted   bool
}

// state is the resources of one type.
type state struct {
	version   string
	resources map[string]Resource
	removed   map[string]bool // in the last change
	touched   map[string]bool // the same
}

// New returns a server that does not listen yet. creds nil is plain text.
func New(creds credentials.TransportCredentials) *Server {
	s := &Server{creds: creds, state: map[string]*state{}, streams: map[int]*stream{}}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Listen starts to serve at a loopback address; port 0 is any. After Stop it may be
// called again.
func (s *Server) Listen(address string) error {
	l, err := listener.Listen(address)
	if err != nil {
		return fmt.Errorf("stand-in management server: %w", err)
	}
	options := []grpc.ServerOption{grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second}),
		grpc.MaxSendMsgSize(1 << 30)}
	if s.creds != nil {
		options = append(options, grpc.Creds(s.creds))
	}
	g, served := grpc.NewServer(options...), make(chan struct{})
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(g, s)
	s.mu.Lock()
	s.address, s.grpc, s.served = l.Addr().String(), g, served
	s.mu.Unlock()
	go func() {
		defer close(served)
		g.Serve(l)
	}()
	return nil
}

// Addr is where it listens, or did.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Stop closes the door and all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	g, served := s.grpc, s.served
	s.mu.Unlock()
	if g != nil {
		g.Stop()
		<-served // the address is free then
	}
}

// Cut ends all streams; clients may come again.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.end()
	}
}

// Mute lets nothing out any more, or again: a server that is there and silent.
// What was put meanwhile goes out as one change.
func (s *Server) Mute(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.muted = yes; !yes {
		for kind := range s.state {
			s.push(kind, true)
		}
	}
}

// Put makes these all the resources of a type, at a version, and tells the clients.
// A resource without a version of its own has that one.
func (s *Server) Put(kind, version string, list ...Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &state{version: version, resources: map[string]Resource{}, removed: map[string]bool{}, touched: map[string]bool{}}
	before := s.state[kind]
	for _, r := range list {
		if r.Version == "" {
			r.Version = version
		}
		next.resources[r.Name] = r
		if before == nil || before.resources[r.Name].Version != r.Version {
			next.touched[r.Name] = true
		}
	}
	if before != nil {
		for name := range before.resources {
			if _, still := next.resources[name]; !still {
				next.removed[name] = true
			}
		}
	}
	s.state[kind] = next
	s.push(kind, false)
}

// Change replaces or removes single resources of a type and tells the clients.
func (s *Server) Change(kind, version string, list []Resource, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state[kind]
	if st == nil {
		st = &state{resources: map[string]Resource{}}
		s.state[kind] = st
	}
	st.version, st.touched, st.removed = version, map[string]bool{}, map[string]bool{}
	for _, r := range list {
		if r.Version == "" {
			r.Version = version
		}
		st.resources[r.Name], st.touched[r.Name] = r, true
	}
	for _, name := range removed {
		delete(st.resources, name)
		st.removed[name] = true
	}
	s.push(kind, false)
}

// Raw sends a response as it is to every stream, whatever has been put or asked for.
func (s *Server) Raw(kind, version, nonce string, list []Resource, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.queue(response{kind, version, nonce, list, removed})
	}
}

// push tells all streams of the last change of a type, or of all there is.
func (s *Server) push(kind string, all bool) {
	if s.muted {
		return
	}
	for _, st := range s.streams {
		st.push(kind, all)
	}
}

// Heard are the requests that have come so far.
func (s *Server) Heard() []Heard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.heard)
}

// Await waits until a request has come that fits, from the n-th on, and returns it
// with its place; ok is false after the time.
func (s *Server) Await(from int, most time.Duration, fits func(Heard) bool) (h Heard, at int, ok bool) {
	end := time.Now().Add(most)
	timer := time.AfterFunc(most, func() { s.mu.Lock(); defer s.mu.Unlock(); s.changed.Broadcast() })
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for at := from; ; {
		for ; at < len(s.heard); at++ {
			if fits(s.heard[at]) {
				return s.heard[at], at, true
			}
		}
		if !time.Now().Before(end) {
			return Heard{}, at, false
		}
		s.changed.Wait()
	}
}

// response is what is to be sent.
type response struct {
	kind, version, nonce string
	resources            []Resource
	removed              []string
}

// body packs a resource. The bytes are the same each time.
func body(r Resource) *anypb.Any {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(r.Body)
	if err != nil {
		panic(err) // made by this program
	}
	return &anypb.Any{TypeUrl: "type.googleapis.com/" + string(r.Body.ProtoReflect().Descriptor().FullName()), Value: value}
}

func sorted(list []Resource) []Resource {
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
