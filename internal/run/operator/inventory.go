package operator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"yardwharf/internal/carry/xdslink"
	"yardwharf/internal/decide/script"
)

// Inventory says where the list of south side hosts comes from in place of the
// platform's discovery.
type Inventory struct {
	XDS xdslink.Config
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

// reader fills in a File as the calls come.
type reader struct{ file File }

// calls are those of an operator's file.
func (r *reader) calls() map[string]script.Func {
	return map[string]script.Func{"inventory": r.inventory, "xds": r.xds, "node": r.node, "tls": r.tls, "route": r.route,
		"jobs": r.jobs, "ageing": r.ageing, "limits": r.limits, "zones": r.zones}
}

func (r *reader) inventory(c script.Call) (starlark.Value, error) {
	a := c.Args("source")
	source := a.Required("source", "xds(...)")
	x, ok := source.(script.Value[xdslink.Config])
	if !ok && source != nil {
		a.RecordError("source", "is "+source.Type(), "xds(...)")
	}
	if r.file.Inventory != nil {
		a.RecordError("inventory", "is called twice", "one call: a dispatcher has one list of hosts")
	}
	r.file.Inventory = &Inventory{XDS: x.V}
	return starlark.None, a.Err()
}

func (r *reader) xds(c script.Call) (starlark.Value, error) {
	a := c.Args("server", "node")
	x := xdslink.Config{
		Servers:      a.Addresses("server"),
		Delta:        a.Choice("mode", "delta", "sotw") == "delta",
		Clusters:     a.Strings("clusters"),
		InitialFetch: a.Duration("initial_fetch_timeout", 15*time.Second, 100*time.Millisecond, 10*time.Minute),
		StaleHold:    a.Duration("stale_hold", time.Minute, 0, time.Hour),
		AllowEmpty:   a.Bool("allow_empty"),
		MaxMessageMB: a.Int("max_message_mb", 16, 1, 256),
		MaxHosts:     a.Int("max_hosts", 100_000, 1, 10_000_000),
		BackoffMost:  a.Duration("backoff_most", 5*time.Second, 100*time.Millisecond, 5*time.Minute),
		Silence:      a.Duration("silence", 20*time.Second, time.Second, time.Hour),
	}
	if v := a.Required("node", `node(id = ...)`); v != nil {
		n, ok := v.(script.Value[xdslink.Node])
		if !ok {
			a.RecordError("node", "is "+v.Type(), "node(id = ...)")
		}
		x.Node = n.V
	}
	if v := a.Value("tls"); v != nil {
		t, ok := v.(script.Value[xdslink.TLS])
		if !ok {
			a.RecordError("tls", "is "+v.Type(), "tls(ca = ...) or None")
		}
		x.TLS = &t.V
	}
	return script.Value[xdslink.Config]{V: x, Name: "xds"}, a.Err()
}

func (r *reader) node(c script.Call) (starlark.Value, error) {
	a := c.Args("id")
	n := xdslink.Node{ID: a.RequiredString("id"), Cluster: a.StringOr("cluster", ""), Zone: a.StringOr("zone", "")}
	return script.Value[xdslink.Node]{V: n, Name: "node"}, a.Err()
}

func (r *reader) tls(c script.Call) (starlark.Value, error) {
	a := c.Args()
	t := xdslink.TLS{CA: a.RequiredString("ca"), Cert: a.StringOr("cert", ""), Key: a.StringOr("key", ""), ServerName: a.StringOr("server_name", "")}
	if t.Cert != "" && t.Key == "" {
		a.RecordError("key", "is missing", "the key of cert")
	} else if t.Cert == "" && t.Key != "" {
		a.RecordError("cert", "is missing", "the certificate of key")
	}
	return script.Value[xdslink.TLS]{V: t, Name: "tls"}, a.Err()
}

// mostWeight keeps a sum of weights well within what the draw counts in.
const mostWeight = 1_000_000

func (r *reader) route(c script.Call) (starlark.Value, error) {
	a := c.Args("class_", "clusters")
	const want = `a dict like {"senders": 90, "senders-b": 10}`
	out := Route{Pos: a.Pos(), Class: a.RequiredString("class_")}
	for _, other := range r.file.Routes {
		if other.Class == out.Class {
			a.RecordError("class_", fmt.Sprintf("%q has a route already, on line %d", out.Class, other.Pos.Line), "one route for each class")
		}
	}
	v := a.Required("clusters", want)
	d, ok := v.(*starlark.Dict)
	if !ok && v != nil {
		a.RecordError("clusters", "is "+v.Type(), want)
	} else if ok {
		sum := 0
		for _, item := range d.Items() {
			name, isText := starlark.AsString(item[0])
			weight, err := starlark.AsInt32(item[1])
			if !isText || name == "" {
				a.RecordError("clusters", "names "+script.FormatValue(item[0]), want)
			}
			if err != nil || weight < 0 || weight > mostWeight {
				a.RecordError("clusters", fmt.Sprintf("gives %s the weight %s", script.FormatValue(item[0]), script.FormatValue(item[1])), fmt.Sprintf("a whole number from 0 to %d", mostWeight))
			}
			sum += weight
			out.Clusters = append(out.Clusters, Weighted{name, uint32(weight)})
		}
		if sum == 0 {
			a.RecordError("clusters", "has no weight above 0", want)
		}
		slices.SortFunc(out.Clusters, func(a, b Weighted) int { return strings.Compare(a.Name, b.Name) })
	}
	r.file.Routes = append(r.file.Routes, out)
	return starlark.None, a.Err()
}
