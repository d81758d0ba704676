package configuration

import (
	"slices"
	"strings"
)

// prefixIndex finds the longest matching path prefix of one host. It holds the
// distinct prefix lengths, longest first, so that a lookup costs one step per
// length rather than per route.
type prefixIndex struct {
	lengths []int
	routes  map[string]*Route
}

func (t *prefixIndex) add(route *Route) {
	t.routes[route.PathPrefix] = route
	length := len(route.PathPrefix)
	index, found := slices.BinarySearchFunc(t.lengths, length, func(a, b int) int { return b - a })
	if !found {
		t.lengths = slices.Insert(t.lengths, index, length)
	}
}

func (t *prefixIndex) find(path string) *Route {
	for _, length := range t.lengths {
		if length > len(path) {
			continue
		}
		if route := t.routes[path[:length]]; route != nil {
			return route
		}
	}
	return nil
}

// Match returns the route and service of a request by its Host header and the
// longest matching path prefix. A query string is ignored.
func (c *Configuration) Match(host, path string) (*Route, *Service, bool) {
	table := c.hosts[normalizeHost(host)]
	if table == nil {
		return nil, nil, false
	}
	path, _, _ = strings.Cut(path, "?")
	route := table.find(path)
	if route == nil {
		return nil, nil, false
	}
	return route, c.services[route.Service], true
}

// normalizeHost returns a host in lower case, without its port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
