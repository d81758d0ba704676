package mgmt

import (
	"context"
	"fmt"
	"slices"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// stream is one client's stream of either kind.
type stream struct {
	s       *Server
	n       int
	delta   bool
	asked   map[string]*asked // by type
	out     []response
	wake    chan struct{}
	ctx     context.Context
	end     context.CancelFunc
	sending func(response) error
}

// asked is what a stream has asked for of a type.
type asked struct {
	all   bool
	names map[string]bool
	held  map[string]string // incremental: versions that the client has
}

// StreamAggregatedResources implements the service, state of the world.
func (s *Server) StreamAggregatedResources(g discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	st := s.open(g.Context(), false, func(r response) error {
		m := &discoveryv3.DiscoveryResponse{TypeUrl: r.kind, VersionInfo: r.version, Nonce: r.nonce}
		for _, res := range r.resources {
			m.Resources = append(m.Resources, body(res))
		}
		return g.Send(m)
	})
	return st.serve(func() error {
		m, err := g.Recv()
		if err != nil {
			return err
		}
		st.heard(Heard{Type: m.GetTypeUrl(), Version: m.GetVersionInfo(), Nonce: m.GetResponseNonce(), Error: m.GetErrorDetail().GetMessage(),
			Names: m.GetResourceNames()}, m.GetResourceNames(), nil)
		return nil
	})
}

// DeltaAggregatedResources implements the service, incremental.
func (s *Server) DeltaAggregatedResources(g discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	st := s.open(g.Context(), true, func(r response) error {
		m := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: r.kind, SystemVersionInfo: r.version, Nonce: r.nonce, RemovedResources: r.removed}
		for _, res := range r.resources {
			version := res.Version
			if version == "" {
				version = r.version
			}
			m.Resources = append(m.Resources, &discoveryv3.Resource{Name: res.Name, Version: version, Resource: body(res)})
		}
		return g.Send(m)
	})
	return st.serve(func() error {
		m, err := g.Recv()
		if err != nil {
			return err
		}
		st.heard(Heard{Type: m.GetTypeUrl(), Nonce: m.GetResponseNonce(), Error: m.GetErrorDetail().GetMessage(),
			Names: m.GetResourceNamesSubscribe(), Initial: m.GetInitialResourceVersions()}, m.GetResourceNamesSubscribe(), m.GetResourceNamesUnsubscribe())
		return nil
	})
}

func (s *Server) open(ctx context.Context, delta bool, send func(response) error) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	st := &stream{s: s, n: s.last, delta: delta, asked: map[string]*asked{}, wake: make(chan struct{}, 1), sending: send}
	st.ctx, st.end = context.WithCancel(ctx)
	s.streams[st.n] = st
	return st
}

// serve runs a stream until the client or the server ends it.
func (st *stream) serve(receive func() error) error {
	defer func() {
		st.s.mu.Lock()
		defer st.s.mu.Unlock()
		st.end()
		delete(st.s.streams, st.n)
	}()
	go func() {
		for receive() == nil {
		}
		st.end()
	}()
	for {
		select {
		case <-st.ctx.Done():
			return st.ctx.Err()
		case <-st.wake:
		}
		for {
			st.s.mu.Lock()
			if len(st.out) == 0 {
				st.s.mu.Unlock()
				break
			}
			r := st.out[0]
			st.out = st.out[1:]
			st.s.mu.Unlock()
			if err := st.sending(r); err != nil {
				return err
			}
		}
	}
}

// queue puts a response out; the server's lock is held, as in all below.
func (st *stream) queue(r response) {
	if r.nonce == "" {
		st.s.nonce++
		r.nonce = fmt.Sprint(st.s.nonce)
	}
	st.out = append(st.out, r)
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// heard takes a request: it is kept, and what it newly asks for is sent.
func (st *stream) heard(h Heard, names, without []string) {
	s := st.s
	s.mu.Lock()
	defer s.mu.Unlock()
	a := st.asked[h.Type]
	h.First, h.Stream = a == nil, st.n
	s.heard = append(s.heard, h)
	s.changed.Broadcast()
	if h.First {
		a = &asked{names: map[string]bool{}, held: map[string]string{}, all: len(names) == 0}
		st.asked[h.Type] = a
		for name, version := range h.Initial {
			a.held[name] = version
		}
	}
	fresh := h.First
	if !st.delta && !a.all {
		next := map[string]bool{}
		for _, name := range names {
			next[name] = true
			fresh = fresh || !a.names[name]
		}
		a.names = next
	}
	if st.delta {
		for _, name := range names {
			fresh = fresh || !a.names[name]
			a.names[name] = true
		}
		for _, name := range without {
			delete(a.names, name)
			delete(a.held, name)
		}
	}
	if fresh && !s.muted {
		st.push(h.Type, true)
	}
}

// push sends what a stream has asked for of a type: what the last change touched,
// or all there is.
func (st *stream) push(kind string, all bool) {
	a, state := st.asked[kind], st.s.state[kind]
	if a == nil || state == nil {
		return
	}
	r := response{kind: kind, version: state.version}
	wanted := func(name string) bool { return a.all || a.names[name] }
	whole := !st.delta && kind == clusterType // the state of the world of clusters is one
	for name, res := range state.resources {
		if !wanted(name) || !(all || whole || state.touched[name]) {
			continue
		}
		if st.delta {
			if version, held := a.held[name]; held && version == res.Version {
				continue
			}
			a.held[name] = res.Version
		}
		r.resources = append(r.resources, res)
	}
	if st.delta {
		for name := range a.held {
			if _, there := state.resources[name]; !there && wanted(name) {
				r.removed = append(r.removed, name)
				delete(a.held, name)
			}
		}
		slices.Sort(r.removed)
	}
	if len(r.resources)+len(r.removed) == 0 && !whole {
		return
	}
	sorted(r.resources)
	st.queue(r)
}
