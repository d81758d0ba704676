package inventory

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"yardwharf"
	"yardwharf/internal/decide/membership"
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

// Split gives a list's hosts as endpoints, and the names of those that are gone.
func (l *List) Split() (hosts []membership.Endpoint, gone []string) {
	hosts = make([]membership.Endpoint, 0, len(l.Endpoints))
	for _, e := range l.Endpoints {
		state, _ := e.state()
		if state == yardwharf.Gone {
			gone = append(gone, e.Name)
			continue
		}
		h := membership.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Type: e.Type, Group: e.Group, HasGroup: true,
			Started: time.Duration(e.SinceMS * float64(time.Millisecond)), Weight: e.Weight}
		if state == yardwharf.Draining {
			h.Health = membership.Draining
		}
		hosts = append(hosts, h)
	}
	return hosts, gone
}
