package operator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Inventory says where the list of south side hosts comes from in place of the
// platform's discovery.
type Inventory struct {
	XDS XDS
}

// XDS is a management server that speaks Envoy's xDS over an aggregated stream.
// The JSON form is what the helper program is told.
type XDS struct {
	Servers      []string      `json:"servers"` // ip:port, tried in order
	Delta        bool          `json:"delta"`   // incremental; else state of the world
	Node         Node          `json:"node"`
	Clusters     []string      `json:"clusters"` // none: all that CDS gives
	TLS          *TLS          `json:"tls"`      // nil: plain text
	InitialFetch time.Duration `json:"initial_fetch_timeout"`
	StaleHold    time.Duration `json:"stale_hold"`   // how long an update that looks old is held
	AllowEmpty   bool          `json:"allow_empty"`  // an update may take every host
	MaxMessageMB int           `json:"max_message"`  // of one response
	BackoffMost  time.Duration `json:"backoff_most"` // between two attempts to reach a server
	Silence      time.Duration `json:"silence"`      // without a sign of life the connection counts as dead
}

// Node is what the management server is told of this dispatcher (xDS
// core.v3.Node).
type Node struct {
	ID      string `json:"id"`
	Cluster string `json:"cluster"`
	Zone    string `json:"zone"`
}

// TLS names files with keys, read again when they change. Without Cert the
// server is checked, and the dispatcher shows no certificate.
type TLS struct {
	CA         string `json:"ca"`
	Cert       string `json:"cert"`
	Key        string `json:"key"`
	ServerName string `json:"server_name"`
}

// Route says which clusters may serve a class, and with which weights.
type Route struct {
	Pos      syntax.Position
	Class    string
	Clusters []Weighted // sorted by name
}

// Weighted is a cluster's part of a route: weight out of the sum of weights.
type Weighted struct {
	Name   string
	Weight uint32
}

// value carries a checked setting from one call to another.
type value[T any] struct {
	T    T
	name string
}

func (v value[T]) String() string        { return v.name + "(...)" }
func (v value[T]) Type() string          { return v.name }
func (v value[T]) Freeze()               {}
func (v value[T]) Truth() starlark.Bool  { return true }
func (v value[T]) Hash() (uint32, error) { return 0, fmt.Errorf("%s cannot be a key", v.name) }

// builtins are the calls of an operator's file.
func (r *run) builtins() starlark.StringDict {
	calls := map[string]func(a *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error){
		"inventory": r.inventory, "xds": r.xds, "node": r.node, "tls": r.tls, "route": r.route,
	}
	names := starlark.StringDict{}
	for name, f := range calls {
		names[name] = starlark.NewBuiltin(name, func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			return f(b, args, kwargs)
		})
	}
	return names
}

func (r *run) inventory(b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	a := r.args(b.Name(), args, kwargs, "source")
	source := a.need("source", "xds(...)")
	x, ok := source.(value[XDS])
	if !ok && source != nil {
		a.fault("source", "is "+source.Type(), "xds(...)")
	}
	if r.file.Inventory != nil {
		a.fault("inventory", "is called twice", "one call: a dispatcher has one list of hosts")
	}
	r.file.Inventory = &Inventory{XDS: x.T}
	return starlark.None, a.done()
}

func (r *run) xds(b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	a := r.args(b.Name(), args, kwargs, "server", "node")
	x := XDS{
		Servers:      a.addresses("server"),
		Delta:        a.choice("mode", "delta", "sotw") == "delta",
		Clusters:     a.strs("clusters"),
		InitialFetch: a.span("initial_fetch_timeout", 15*time.Second, 100*time.Millisecond, 10*time.Minute),
		StaleHold:    a.span("stale_hold", time.Minute, 0, time.Hour),
		AllowEmpty:   a.yes("allow_empty"),
		MaxMessageMB: a.number("max_message_mb", 16, 1, 256),
		BackoffMost:  a.span("backoff_most", 5*time.Second, 100*time.Millisecond, 5*time.Minute),
		Silence:      a.span("silence", 20*time.Second, time.Second, time.Hour),
	}
	if v := a.need("node", `node(id = ...)`); v != nil {
		n, ok := v.(value[Node])
		if !ok {
			a.fault("node", "is "+v.Type(), "node(id = ...)")
		}
		x.Node = n.T
	}
	if v := a.value("tls"); v != nil {
		t, ok := v.(value[TLS])
		if !ok {
			a.fault("tls", "is "+v.Type(), "tls(ca = ...) or None")
		}
		x.TLS = &t.T
	}
	return value[XDS]{x, "xds"}, a.done()
}

func (r *run) node(b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	a := r.args(b.Name(), args, kwargs, "id")
	n := Node{ID: a.needStr("id"), Cluster: a.str("cluster", ""), Zone: a.str("zone", "")}
	return value[Node]{n, "node"}, a.done()
}

func (r *run) tls(b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	a := r.args(b.Name(), args, kwargs)
	t := TLS{CA: a.needStr("ca"), Cert: a.str("cert", ""), Key: a.str("key", ""), ServerName: a.str("server_name", "")}
	if t.Cert != "" && t.Key == "" {
		a.fault("key", "is missing", "the key of cert")
	} else if t.Cert == "" && t.Key != "" {
		a.fault("cert", "is missing", "the certificate of key")
	}
	return value[TLS]{t, "tls"}, a.done()
}

// mostWeight keeps a sum of weights well within what the draw counts in.
const mostWeight = 1_000_000

func (r *run) route(b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	a := r.args(b.Name(), args, kwargs, "class_", "clusters")
	const want = `a dict like {"senders": 90, "senders-b": 10}`
	out := Route{Pos: a.pos, Class: a.needStr("class_")}
	for _, other := range r.file.Routes {
		if other.Class == out.Class {
			a.fault("class_", fmt.Sprintf("%q has a route already, on line %d", out.Class, other.Pos.Line), "one route for each class")
		}
	}
	v := a.need("clusters", want)
	d, ok := v.(*starlark.Dict)
	if !ok && v != nil {
		a.fault("clusters", "is "+v.Type(), want)
	} else if ok {
		sum := 0
		for _, item := range d.Items() {
			name, isText := starlark.AsString(item[0])
			weight, err := starlark.AsInt32(item[1])
			if !isText || name == "" {
				a.fault("clusters", "names "+short(item[0]), want)
			}
			if err != nil || weight < 0 || weight > mostWeight {
				a.fault("clusters", fmt.Sprintf("gives %s the weight %s", short(item[0]), short(item[1])), fmt.Sprintf("a whole number from 0 to %d", mostWeight))
			}
			sum += weight
			out.Clusters = append(out.Clusters, Weighted{name, uint32(weight)})
		}
		if sum == 0 {
			a.fault("clusters", "has no weight above 0", want)
		}
		slices.SortFunc(out.Clusters, func(a, b Weighted) int { return strings.Compare(a.Name, b.Name) })
	}
	r.file.Routes = append(r.file.Routes, out)
	return starlark.None, a.done()
}
