package inventory

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"yardwharf"
)

// List is a list of south side hosts, or changes to one, in discovery's form.
type List struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Entry is one south side host in discovery's form.
type Entry struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Type    string         `json:"type"`
	Group   int            `json:"group"`
	Status  string         `json:"status"`
	Weight  float64        `json:"weight"`
	SinceMS float64        `json:"since_ms"`
}

// ParseList reads a list and checks that every entry can be used.
func ParseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, fmt.Errorf("inventory: %w", err)
	}
	for i, e := range l.Endpoints {
		state, known := e.state()
		switch {
		case e.Name == "":
			return List{}, fmt.Errorf("inventory: endpoints[%d] has no name", i)
		case !known:
			return List{}, fmt.Errorf("inventory: endpoints[%d].status: unknown %q", i, e.Status)
		case state != yardwharf.Gone && !e.Address.IsValid():
			return List{}, fmt.Errorf("inventory: endpoints[%d] has no address", i)
		}
	}
	return l, nil
}

// state reads an entry's status.
func (e *Entry) state() (s yardwharf.WorkerState, known bool) {
	switch e.Status {
	case "SERVING":
		return yardwharf.Ready, true
	case "DRAINING":
		return yardwharf.Draining, true
	case "DELETED":
		return yardwharf.Gone, true
	}
	return yardwharf.Gone, false
}

// Host is one entry of the inventory.
type Host struct {
	Name    string
	Address netip.AddrPort
	Changed bool // of state, with this telling
	yardwharf.Member
}

// Hosts is the inventory: the south side hosts by their ids, as last told.
type Hosts struct {
	zones, kinds []string
	ids          map[string]yardwharf.WorkerID
	byID         map[yardwharf.WorkerID]*Host
}

// NewHosts returns an empty inventory. Zones and kinds are the names whose places
// in their lists members are told by.
func NewHosts(zones, kinds []string) *Hosts {
	return &Hosts{zones: zones, kinds: kinds,
		ids: map[string]yardwharf.WorkerID{}, byID: map[yardwharf.WorkerID]*Host{}}
}

// id names a host for the decisions. It comes from the name alone: dispatchers
// that sort by it agree on the order, which their homes are chosen by.
func (h *Hosts) id(name string) yardwharf.WorkerID {
	id, known := h.ids[name]
	if !known {
		sum := fnv.New64a()
		sum.Write([]byte(name))
		id = yardwharf.WorkerID(sum.Sum64())
		for h.byID[id] != nil { // another name's: take the next that is free
			id++
		}
		h.ids[name] = id
		h.byID[id] = &Host{Name: name, Member: yardwharf.Member{ID: id}}
	}
	return id
}

// place is a name's place in a list; -1 for one that is not in it.
func place(list []string, name string) int { return slices.Index(list, name) }

// Apply takes a list in and returns the entries that it tells of. A snapshot also
// tells of the hosts that it leaves out: they are gone.
func (h *Hosts) Apply(l List) []Host {
	told := make([]Host, 0, len(l.Endpoints))
	named := make(map[yardwharf.WorkerID]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		id := h.id(e.Name)
		host := h.byID[id]
		before := host.State
		host.State, _ = e.state()
		host.Changed = host.State != before
		if e.Address.IsValid() {
			host.Address = e.Address
		}
		if host.State != yardwharf.Gone {
			host.Zone, host.Kind, host.Cell = place(h.zones, e.Zone), place(h.kinds, e.Type), e.Group
			host.CapacityHint = e.Weight
			host.Started = time.Duration(e.SinceMS * float64(time.Millisecond))
		}
		told, named[id] = append(told, *host), true
	}
	if l.Snapshot {
		for _, id := range h.ids { // each on its own, so in any order
			if host := h.byID[id]; !named[id] && host.State != yardwharf.Gone {
				host.State, host.Changed = yardwharf.Gone, true
				told = append(told, *host)
			}
		}
	}
	return told
}

// Serving is how many hosts may be sent to.
func (h *Hosts) Serving() (n int) {
	for _, host := range h.byID {
		if host.State == yardwharf.Ready {
			n++
		}
	}
	return n
}
