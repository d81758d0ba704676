// Package xds is a client of Envoy's xDS protocol: clusters (CDS) and their
// endpoints (EDS) over one aggregated stream (ADS), incremental or state of the
// world. The protocol's state (Core) does no I/O; Client runs it over gRPC.
//
// See "xDS REST and gRPC protocol" of Envoy's documentation, which the comments
// name by its sections.
package xds

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/anypb"

	"yardwharf/internal/decide/membership"
)

// Request is what is to be sent: a DiscoveryRequest or a DeltaDiscoveryRequest.
type Request struct {
	Type        string
	Version     string            // state of the world: the last accepted one
	Names       []string          // state of the world: all that is asked for; none is all that there are
	Subscribe   []string          // incremental
	Unsubscribe []string          // incremental
	Initial     map[string]string // incremental, first of a stream: what is held, by name
	Nonce       string            // of the response that is answered; empty at first
	Error       string            // why that response is refused; empty accepts it
	After       time.Duration     // to be sent so much later, unless the type has had another response
}

// Response is a DiscoveryResponse or a DeltaDiscoveryResponse.
type Response struct {
	Type, Version, Nonce string
	Resources            []Resource
	Removed              []string
}

// Resource is one of a Response. Name and Version are empty in state of the world.
type Resource struct {
	Name, Version string
	Body          *anypb.Any
}

// Delivery is an update to be judged: Verdict is owed for it.
type Delivery struct {
	N      uint64
	Update *membership.Update
}

// Ready is what is to be done: it is all that comes out of a Core.
type Ready struct {
	Send    []Request
	Deliver *Delivery
	Refused []string // responses that could not be read, for logs
}

// Core is one client's side of the protocol, over all the streams that it has one
// after the other. At most one delivery is out at a time; what comes meanwhile waits.
type Core struct {
	delta    bool
	clusters []string // asked for; none is all
	open     bool
	types    map[string]*typeState
	sources  map[string]string                 // the EDS resource of each accepted cluster
	held     map[string]*membership.Assignment // accepted endpoints, by EDS resource
	waiting  []Response
	out      *pending
	n        uint64
	aside    map[membership.Mark]*membership.Update // refused as old, may count later
	ready    Ready
}

// typeState is what is known of one type of resources.
type typeState struct {
	version  string            // accepted, state of the world
	versions map[string]string // accepted, incremental
	names    []string          // asked for on this stream
	asked    bool              // a request has gone out on this stream
	nonce    string            // of the last response on this stream
	refusals int               // in a row
}

// pending is a response whose update is being judged.
type pending struct {
	Delivery
	whole *membership.Update
	r     Response
}

// NewCore returns a Core that asks for these clusters; none is all that there are.
func NewCore(delta bool, clusters []string) *Core {
	c := &Core{delta: delta, clusters: slices.Sorted(slices.Values(clusters)), sources: map[string]string{}, held: map[string]*membership.Assignment{},
		aside: map[membership.Mark]*membership.Update{}}
	c.types = map[string]*typeState{ClusterType: {versions: map[string]string{}}, AssignmentType: {versions: map[string]string{}}}
	return c
}

// CountFrom sets the number that deliveries are counted from.
func (c *Core) CountFrom(n uint64) { c.n = n }

// Ready returns what is to be done since it was last called.
func (c *Core) Ready() Ready {
	r := c.ready
	c.ready = Ready{}
	return r
}

// Busy says whether a delivery is being judged: nothing more need be read.
func (c *Core) Busy() bool { return c.out != nil }

// Open says that a new stream stands. Nonces of the last one mean nothing on it;
// what has been accepted is told, so that a server sends only what differs
// ("ACK and NACK semantics summary"; "Incremental xDS", initial_resource_versions).
func (c *Core) Open() {
	c.open, c.waiting, c.out = true, nil, nil
	clear(c.aside)
	for _, t := range c.types {
		t.nonce, t.names, t.asked, t.refusals = "", nil, false, 0
	}
	c.ask(ClusterType, c.clusters)
	if names := c.wanted(); len(names) > 0 {
		c.ask(AssignmentType, names)
	}
}

// Quiet says whether a server may rightly have nothing to say on the stream that
// has just been opened: it was told of what is held, and nothing has changed.
func (c *Core) Quiet() bool { return c.delta && len(c.types[ClusterType].versions) > 0 }

// Closed says that the stream has ended.
func (c *Core) Closed() { c.open, c.waiting, c.out = false, nil, nil }

// wanted are the EDS resources that the accepted clusters name.
func (c *Core) wanted() []string {
	names := slices.Sorted(maps.Values(c.sources))
	return slices.Compact(slices.DeleteFunc(names, func(s string) bool { return s == "" }))
}

// ask asks for resources of a type, if that differs from what is asked for.
func (c *Core) ask(kind string, names []string) {
	t := c.types[kind]
	if !c.open || t.asked && slices.Equal(t.names, names) {
		return
	}
	r := Request{Type: kind, Nonce: t.nonce}
	if !c.delta {
		r.Version, r.Names = t.version, names
	} else {
		r.Subscribe = without(names, t.names)
		r.Unsubscribe = without(t.names, names)
		if !t.asked {
			r.Initial = maps.Clone(t.versions)
		}
		for _, name := range r.Unsubscribe { // a server forgets it, too
			delete(t.versions, name)
		}
		r.Nonce = ""
	}
	t.asked, t.names = true, names
	c.ready.Send = append(c.ready.Send, r)
}

func without(a, b []string) (out []string) {
	for _, s := range a {
		if !slices.Contains(b, s) {
			out = append(out, s)
		}
	}
	return out
}

// Receive takes a response. Responses are worked through in the order in which
// they come.
func (c *Core) Receive(r Response) {
	c.waiting = append(c.waiting, r)
	c.next()
}

// next takes up the oldest response that waits.
func (c *Core) next() {
	for c.out == nil && len(c.waiting) > 0 {
		r := c.waiting[0]
		c.waiting = c.waiting[1:]
		t := c.types[r.Type]
		if t == nil || !t.asked {
			c.ready.Refused = append(c.ready.Refused, fmt.Sprintf("a response of type %.80q, which was not asked for", r.Type))
			continue
		}
		t.nonce = r.Nonce
		u, err := c.read(&r)
		if err != nil { // not a part of it counts
			c.ready.Refused = append(c.ready.Refused, err.Error())
			c.refuse(&r, err.Error())
			continue
		}
		c.deliver(u, c.differences(u), r)
	}
}

func (c *Core) deliver(whole, told *membership.Update, r Response) {
	c.n++
	c.out = &pending{Delivery{c.n, told}, whole, r}
	c.ready.Deliver = &c.out.Delivery
}

// differences tells endpoints by what differs from those that were accepted last.
func (c *Core) differences(u *membership.Update) *membership.Update {
	out := *u
	out.Assignments = nil
	for i := range u.Assignments {
		a := u.Assignments[i]
		if base := c.held[a.Name]; base != nil {
			a = a.DeltaFrom(base)
		}
		out.Assignments = append(out.Assignments, a)
	}
	return &out
}

// Again says that the delivery that is out is wanted whole: the differences in it
// are from something that is not held there.
func (c *Core) Again(n uint64) {
	if c.out != nil && c.out.N == n {
		c.deliver(c.out.whole, c.out.whole, c.out.r)
	}
}

// read turns a response into an update.
func (c *Core) read(r *Response) (*membership.Update, error) {
	u := &membership.Update{OfClusters: r.Type == ClusterType, Version: r.Version, Removed: r.Removed}
	u.Whole = u.OfClusters && !c.delta
	seen := map[string]bool{}
	for _, res := range r.Resources {
		version := res.Version
		if !c.delta {
			version = r.Version
		}
		var name string
		if u.OfClusters {
			cl, err := Cluster(version, res.Body)
			if err != nil {
				return nil, err
			}
			name = cl.Name
			u.Clusters = append(u.Clusters, cl)
		} else {
			a, err := Assignment(version, res.Body)
			if err != nil {
				return nil, err
			}
			name = a.Name
			u.Assignments = append(u.Assignments, a)
		}
		if seen[name] {
			return nil, fmt.Errorf("%q is in one response twice", name)
		}
		if c.delta && res.Name != "" && res.Name != name {
			return nil, fmt.Errorf("resource %q holds what is named %q", res.Name, name)
		}
		seen[name] = true
	}
	return u, nil
}

// Verdict says whether the delivery that is out has been accepted; reason is empty
// where it has. old says that it may count later, see Accepted.
func (c *Core) Verdict(n uint64, reason string, old bool) {
	if c.out == nil || c.out.N != n {
		return // of a stream that has ended
	}
	p := c.out
	c.out = nil
	if reason != "" {
		if old {
			c.keepAside(p.whole)
		}
		c.refuse(&p.r, reason)
	} else {
		c.accept(p.whole, &p.r)
	}
	c.next()
}

// accept books an update and answers with an ACK; new clusters' endpoints are then
// asked for.
func (c *Core) accept(u *membership.Update, r *Response) {
	t := c.types[r.Type]
	t.refusals = 0
	c.book(u, t)
	ack := Request{Type: r.Type, Nonce: r.Nonce}
	if !c.delta {
		ack.Version, ack.Names = t.version, t.names
	}
	c.ready.Send = append(c.ready.Send, ack)
	if u.OfClusters {
		c.ask(AssignmentType, c.wanted())
	}
}

// book moves what is held to an accepted update.
func (c *Core) book(u *membership.Update, t *typeState) {
	if !c.delta {
		t.version = u.Version
	}
	if u.Whole {
		clear(c.sources)
	}
	for _, cl := range u.Clusters {
		c.sources[cl.Name] = cl.Source
		t.versions[cl.Name] = cl.Version
	}
	for i := range u.Assignments {
		t.versions[u.Assignments[i].Name] = u.Assignments[i].Version
		c.held[u.Assignments[i].Name] = &u.Assignments[i]
	}
	for _, name := range u.Removed {
		delete(t.versions, name)
		if u.OfClusters {
			delete(c.sources, name)
		} else {
			delete(c.held, name)
		}
	}
	if u.OfClusters {
		wanted := c.wanted()
		for name := range c.held {
			if _, still := slices.BinarySearch(wanted, name); !still {
				delete(c.held, name)
			}
		}
	}
}

const (
	refusalsFree = 3 // in a row that are sent at once
	refusalFirst = 100 * time.Millisecond
	refusalMost  = 5 * time.Second
)

// refuse answers with a NACK: the version held stays the one before. Those in a
// row wait longer and longer: a server that answers each with the same response
// would keep both sides busy with nothing else.
func (c *Core) refuse(r *Response, why string) {
	t := c.types[r.Type]
	nack := Request{Type: r.Type, Nonce: r.Nonce, Error: why}
	if !c.delta {
		nack.Version, nack.Names = t.version, t.names
	}
	if t.refusals++; t.refusals > refusalsFree {
		nack.After = min(refusalMost, refusalFirst<<min(t.refusals-refusalsFree-1, 10))
	}
	c.ready.Send = append(c.ready.Send, nack)
}

// Current says whether a request that was put off is still to be sent.
func (c *Core) Current(r Request) bool { return c.open && c.types[r.Type].nonce == r.Nonce }

// keepAside remembers what an update holds that may count later.
func (c *Core) keepAside(u *membership.Update) {
	if u.Whole {
		c.aside[membership.Mark{OfClusters: true, Version: u.Version}] = u
		return
	}
	for _, cl := range u.Clusters {
		c.aside[membership.Mark{OfClusters: true, Name: cl.Name, Version: cl.Version}] =
			&membership.Update{OfClusters: true, Clusters: []membership.Cluster{cl}}
	}
	for _, a := range u.Assignments {
		c.aside[membership.Mark{Name: a.Name, Version: a.Version}] =
			&membership.Update{Version: u.Version, Assignments: []membership.Assignment{a}}
	}
}

// Accepted says that an update that was refused as old counts after all. Where the
// last response is still that one, an ACK follows the NACK.
func (c *Core) Accepted(m membership.Mark) {
	u := c.aside[m]
	if u == nil || !c.open {
		return
	}
	delete(c.aside, m)
	kind := AssignmentType
	if m.OfClusters {
		kind = ClusterType
	}
	t := c.types[kind]
	c.book(u, t)
	ack := Request{Type: kind, Nonce: t.nonce}
	if !c.delta {
		ack.Version, ack.Names = t.version, t.names
	}
	c.ready.Send = append(c.ready.Send, ack)
	if m.OfClusters {
		c.ask(AssignmentType, c.wanted())
	}
}

// String is a request as transcripts and logs show it.
func (r Request) String() string {
	var b strings.Builder
	kind := "CDS"
	if r.Type == AssignmentType {
		kind = "EDS"
	}
	switch {
	case r.Error != "":
		fmt.Fprintf(&b, "NACK %s", kind)
	case r.Nonce != "":
		fmt.Fprintf(&b, "ACK %s", kind)
	default:
		fmt.Fprintf(&b, "ask %s", kind)
	}
	add := func(name string, v any, empty bool) {
		if !empty {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	add("version", r.Version, r.Version == "")
	add("names", r.Names, len(r.Names) == 0)
	add("subscribe", r.Subscribe, len(r.Subscribe) == 0)
	add("unsubscribe", r.Unsubscribe, len(r.Unsubscribe) == 0)
	add("initial", r.Initial, len(r.Initial) == 0)
	add("nonce", r.Nonce, r.Nonce == "")
	add("after", r.After, r.After == 0)
	if r.Error != "" {
		fmt.Fprintf(&b, ": %s", r.Error)
	}
	return b.String()
}
