package configuration

import (
	"slices"
	"strings"
)

// prefixTable finds the longest path prefix of one host. It holds each length
// that occurs, longest first, so that a look-up costs one step for each length
// and not for each route.
type prefixTable struct {
	lengths []int
	routes  map[string]*Route
}

func (t *prefixTable) add(route *Route) {
	t.routes[route.PathPrefix] = route
	length := len(route.PathPrefix)
	index, found := slices.BinarySearchFunc(t.lengths, length, func(a, b int) int { return b - a })
	if !found {
		t.lengths = slices.Insert(t.lengths, index, length)
	}
}

func (t *prefixTable) find(path string) *Route {
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

// Match picks the route of a request by its Host header and the longest path
// prefix. A query after the path is ignored.
func (c *Configuration) Match(host, path string) (*Route, *Service, bool) {
	table := c.hosts[hostKey(host)]
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

// hostKey is a host without its port, in small letters.
func hostKey(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
