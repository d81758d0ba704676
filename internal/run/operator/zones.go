package operator

import (
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"yardwharf/internal/decide/script"
)

// Zones has zones left and regained together with the other dispatchers.
type Zones struct {
	Start float64 // part of the draws with which a return begins
	Pos   syntax.Position
}

// ZoneStatus is what a dispatcher tells at its door of a zone.
type ZoneStatus struct {
	Zone   string  `json:"zone"`
	Phase  string  `json:"phase"`
	Part   float64 `json:"part"`    // of its draws
	ByHand bool    `json:"by_hand"` // left so
	Step   uint16  `json:"step"`    // its decisions: dispatchers of a zone that differ have not heard the same
	Falls  int     `json:"falls"`   // in the last minute
	Dark   int     `json:"dark"`    // dispatchers of the own zone that say so
	Fine   int     `json:"fine"`
}

func (r *reader) zones(c script.Call) (starlark.Value, error) {
	a := c.Args()
	if r.file.Zones != nil {
		a.RecordError("zones", "is called twice", "one call")
	}
	r.file.Zones = &Zones{Start: float64(a.Int("start_percent", 10, 1, 100)) / 100, Pos: a.Pos()}
	return starlark.None, a.Err()
}

// CheckPeers holds what needs other dispatchers against whether they can be talked to.
func (f *File) CheckPeers(talk bool) error {
	if f.Zones == nil || talk {
		return nil
	}
	return &script.Error{Pos: f.Zones.Pos, Key: "zones", Problem: "dispatchers cannot talk to each other here",
		Expected: "settings that allow peers, and peer_listen and peers in the configuration"}
}
