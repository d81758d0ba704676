// Package rollout controls a change that is rolled out through a fleet in stages: which
// dispatcher is upgraded next, whether upgraded dispatchers do worse than those on the old
// version, and when the change proceeds, is held or is rolled back. It does no I/O: times and
// observations are arguments, and each decision is a Record that the caller must persist
// before it acts on it.
package rollout

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"yardwharf/internal/decide/script"
)

// Version is what a dispatcher runs; its fields are paths of files.
type Version struct {
	Build    string `json:"build"`              // the binary
	Config   string `json:"config"`             // the file that PROXY_CONFIG names
	Operator string `json:"operator,omitempty"` // the operator's file
}

// Dispatcher is a member of the fleet.
type Dispatcher struct {
	Name, Zone string
	Steward    string // ip:port
}

// Stage is a step of the change: a part of the fleet is upgraded and watched before the next
// stage begins.
type Stage struct {
	Fraction    float64       // fraction of the fleet, earlier stages included
	MinWatch    time.Duration // shortest watch
	MaxWatch    time.Duration // the change is held if it is still undecided after this
	MinMessages int           // messages that upgraded dispatchers must have taken before it passes
}

// Plan is a validated description of a change.
type Plan struct {
	Change          string
	Target          Version // empty fields leave that part unchanged
	Stages          []Stage
	Margin          float64 // tolerated loss, as a fraction of the worth
	FalseAlarm      float64 // probability that a faultless change is stopped
	MaxOutOfService int     // dispatchers that may be out of service at once
	Dispatchers     []Dispatcher
	Listen          string // ip:port on which the controller listens

	changePos syntax.Position
}

const (
	maxSteps       = 1_000_000
	maxDispatchers = 10_000
)

var validName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Parse parses and validates the text of a plan. A fault in the text is a *script.Error,
// except for a missing call of change. Plans cannot load other files.
func Parse(path string, text []byte) (*Plan, error) {
	p := &Plan{Margin: 0.02, FalseAlarm: 0.05, MaxOutOfService: 1}
	err := script.Run(script.Options{Path: path, Text: text, MaxSteps: maxSteps,
		ReadFile: func(name string) ([]byte, error) { return nil, fmt.Errorf("a plan cannot load other files: %s", name) },
		Builtins: map[string]script.Func{"change": p.change, "stage": p.stage, "bounds": p.bounds, "dispatcher": p.dispatcher}})
	if err != nil {
		return nil, err
	}
	wrong, want := "", ""
	switch {
	case p.Change == "":
		return nil, fmt.Errorf("%s: change: is missing, expected one call", path)
	case len(p.Dispatchers) < 2:
		wrong, want = "has fewer than two dispatchers", "dispatcher(...) for each of the fleet"
	case len(p.Stages) == 0:
		wrong, want = "has no stages", "stage(percent = ...)"
	case p.Stages[len(p.Stages)-1].Fraction < 1:
		wrong, want = "ends before all of the fleet", "a last stage of 100 percent"
	case len(p.Stages) > 1 && p.dispatchersThrough(p.Stages[0]) >= len(p.Dispatchers):
		wrong, want = "has a first stage with all of the fleet", "some dispatchers left on the old version for comparison"
	}
	if wrong != "" {
		return nil, &script.Error{Pos: p.changePos, Key: "change", Problem: wrong, Expected: want}
	}
	return p, nil
}

func (p *Plan) change(c script.Call) (starlark.Value, error) {
	a := c.Args("name")
	if p.Change != "" {
		a.RecordError("change", "is called twice", "one call")
	}
	p.changePos = a.Pos()
	p.Change = a.RequiredString("name")
	if !validName.MatchString(p.Change) {
		a.RecordError("name", fmt.Sprintf("is %q", p.Change), "letters, digits, dots, - and _, 64 at most")
	}
	p.Target = Version{a.StringOr("build", ""), a.StringOr("config", ""), a.StringOr("operator", "")}
	if p.Target == (Version{}) {
		a.RecordError("change", "changes nothing", "build, config or operator")
	}
	for _, file := range []struct{ key, path string }{{"build", p.Target.Build}, {"config", p.Target.Config}, {"operator", p.Target.Operator}} {
		if file.path != "" && !filepath.IsAbs(file.path) {
			a.RecordError(file.key, fmt.Sprintf("is %q", file.path), "an absolute path that exists on each machine")
		}
	}
	p.Listen = a.StringOr("listen", "127.0.0.1:8099")
	if _, err := netip.ParseAddrPort(p.Listen); err != nil {
		a.RecordError("listen", fmt.Sprintf("is %q", p.Listen), "ip:port")
	}
	return starlark.None, a.Err()
}

func (p *Plan) stage(c script.Call) (starlark.Value, error) {
	a := c.Args("percent")
	s := Stage{Fraction: float64(a.Int("percent", 0, 1, 100)) / 100, MinWatch: a.Duration("least", 30*time.Second, time.Second, 24*time.Hour),
		MaxWatch: a.Duration("most", 10*time.Minute, time.Second, 7*24*time.Hour), MinMessages: a.Int("messages", 500, 0, 1_000_000_000)}
	if n := len(p.Stages); n > 0 && s.Fraction <= p.Stages[n-1].Fraction {
		a.RecordError("percent", "is no more than that of the stage before", "a higher percentage in each stage")
	}
	if s.MaxWatch < s.MinWatch {
		a.RecordError("most", fmt.Sprintf("is %v", s.MaxWatch), fmt.Sprintf("at least the %v of least", s.MinWatch))
	}
	p.Stages = append(p.Stages, s)
	return starlark.None, a.Err()
}

func (p *Plan) bounds(c script.Call) (starlark.Value, error) {
	a := c.Args()
	p.Margin = float64(a.Int("margin_percent", 2, 1, 50)) / 100
	p.FalseAlarm = float64(a.Int("false_alarm_percent", 5, 1, 20)) / 100
	p.MaxOutOfService = a.Int("out", 1, 1, 100)
	return starlark.None, a.Err()
}

func (p *Plan) dispatcher(c script.Call) (starlark.Value, error) {
	a := c.Args("name")
	d := Dispatcher{a.RequiredString("name"), a.RequiredString("zone"), a.RequiredString("steward")}
	if !validName.MatchString(d.Name) {
		a.RecordError("name", fmt.Sprintf("is %q", d.Name), "letters, digits, dots, - and _, 64 at most")
	}
	if _, err := netip.ParseAddrPort(d.Steward); err != nil {
		a.RecordError("steward", fmt.Sprintf("is %q", d.Steward), "ip:port")
	}
	for _, other := range p.Dispatchers {
		if other.Name == d.Name || other.Steward == d.Steward {
			a.RecordError("dispatcher", fmt.Sprintf("%s or its steward is listed twice", d.Name), "each once")
		}
	}
	if len(p.Dispatchers) >= maxDispatchers {
		a.RecordError("dispatcher", "is one too many", fmt.Sprintf("%d at most", maxDispatchers))
	}
	p.Dispatchers = append(p.Dispatchers, d)
	return starlark.None, a.Err()
}

// dispatchersThrough returns how many dispatchers run the new version once stage s is rolled
// out.
func (p *Plan) dispatchersThrough(s Stage) int {
	n := int(s.Fraction*float64(len(p.Dispatchers)) + 0.999)
	return min(max(n, 1), len(p.Dispatchers))
}

// upgradeOrder returns the indexes of the dispatchers in upgrade order. It alternates between
// zones, so that each stage is spread over the zones and each zone keeps dispatchers on the
// old version as long as possible.
func (p *Plan) upgradeOrder() (order []int) {
	var zones []string
	byZone := map[string][]int{}
	for i, d := range p.Dispatchers {
		if byZone[d.Zone] == nil {
			zones = append(zones, d.Zone)
		}
		byZone[d.Zone] = append(byZone[d.Zone], i)
	}
	for len(order) < len(p.Dispatchers) {
		for _, z := range zones {
			if len(byZone[z]) > 0 {
				order = append(order, byZone[z][0])
				byZone[z] = byZone[z][1:]
			}
		}
	}
	return order
}

// String summarizes the plan in a line.
func (p *Plan) String() string {
	var stages []string
	for _, s := range p.Stages {
		stages = append(stages, fmt.Sprint(p.dispatchersThrough(s)))
	}
	return fmt.Sprintf("change %s of %d dispatchers in stages of %s", p.Change, len(p.Dispatchers), strings.Join(stages, ", "))
}
