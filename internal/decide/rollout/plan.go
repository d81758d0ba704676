// Package rollout decides on a change that goes through a fleet in stages: which dispatcher
// is upgraded next, whether the new ones do worse than the old ones beside them, and when the
// change goes on, is held or goes back. It does no I/O: times and what was seen are arguments,
// and each decision is a Record that is to be written down before it is acted on.
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

// Version is what a dispatcher runs.
type Version struct {
	Build    string `json:"build"`              // the program
	Config   string `json:"config"`             // what PROXY_CONFIG names
	Operator string `json:"operator,omitempty"` // the operator's file
}

// Dispatcher is one of the fleet.
type Dispatcher struct {
	Name, Zone string
	Steward    string // ip:port
}

// Stage is a part of the fleet that runs the new version before the next one begins.
type Stage struct {
	Part     float64 // of the fleet, with the stages before
	Least    time.Duration
	Most     time.Duration // then it is held if it could not be told
	Messages int           // that the new ones must have taken, at least
}

// Plan is a change, checked.
type Plan struct {
	Change      string
	To          Version // empty parts stay as they are
	Stages      []Stage
	Margin      float64 // of the worth: a loss under it is borne
	FalseAlarm  float64 // chance that a change without fault is stopped
	Out         int     // upgrades at once
	Dispatchers []Dispatcher
	Listen      string // where the controller is spoken to

	pos syntax.Position
}

const (
	mostSteps       = 1_000_000
	mostDispatchers = 10_000
)

var names = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Parse reads the text of a plan; what it is to blame for is a *script.Error. Plans load no files.
func Parse(path string, text []byte) (*Plan, error) {
	p := &Plan{Margin: 0.02, FalseAlarm: 0.05, Out: 1}
	err := script.Run(script.Options{Path: path, Text: text, MaxSteps: mostSteps,
		Read:  func(name string) ([]byte, error) { return nil, fmt.Errorf("a plan loads no other file, %s", name) },
		Calls: map[string]script.Func{"change": p.change, "stage": p.stage, "bounds": p.bounds, "dispatcher": p.dispatcher}})
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
	case p.Stages[len(p.Stages)-1].Part < 1:
		wrong, want = "ends before all of the fleet", "a last stage of 100 percent"
	case len(p.Stages) > 1 && p.count(p.Stages[0]) >= len(p.Dispatchers):
		wrong, want = "has a first stage with all of the fleet", "some that stay as they are beside it"
	}
	if wrong != "" {
		return nil, &script.Error{Pos: p.pos, Key: "change", Wrong: wrong, Want: want}
	}
	return p, nil
}

func (p *Plan) change(c script.Call) (starlark.Value, error) {
	a := c.Args("name")
	if p.Change != "" {
		a.Fault("change", "is called twice", "one call")
	}
	p.pos = a.Pos()
	p.Change = a.NeedStr("name")
	if !names.MatchString(p.Change) {
		a.Fault("name", fmt.Sprintf("is %q", p.Change), "letters, digits, dots, - and _, 64 at most")
	}
	p.To = Version{a.Str("build", ""), a.Str("config", ""), a.Str("operator", "")}
	if p.To == (Version{}) {
		a.Fault("change", "changes nothing", "build, config or operator")
	}
	for _, file := range []struct{ key, path string }{{"build", p.To.Build}, {"config", p.To.Config}, {"operator", p.To.Operator}} {
		if file.path != "" && !filepath.IsAbs(file.path) {
			a.Fault(file.key, fmt.Sprintf("is %q", file.path), "a path from the root on, as it is on each machine")
		}
	}
	p.Listen = a.Str("listen", "127.0.0.1:8099")
	if _, err := netip.ParseAddrPort(p.Listen); err != nil {
		a.Fault("listen", fmt.Sprintf("is %q", p.Listen), "ip:port")
	}
	return starlark.None, a.Done()
}

func (p *Plan) stage(c script.Call) (starlark.Value, error) {
	a := c.Args("percent")
	s := Stage{Part: float64(a.Number("percent", 0, 1, 100)) / 100, Least: a.Span("least", 30*time.Second, time.Second, 24*time.Hour),
		Most: a.Span("most", 10*time.Minute, time.Second, 7*24*time.Hour), Messages: a.Number("messages", 500, 0, 1_000_000_000)}
	if n := len(p.Stages); n > 0 && s.Part <= p.Stages[n-1].Part {
		a.Fault("percent", "is no more than that of the stage before", "stages that grow")
	}
	if s.Most < s.Least {
		a.Fault("most", fmt.Sprintf("is %v", s.Most), fmt.Sprintf("at least the %v of least", s.Least))
	}
	p.Stages = append(p.Stages, s)
	return starlark.None, a.Done()
}

func (p *Plan) bounds(c script.Call) (starlark.Value, error) {
	a := c.Args()
	p.Margin = float64(a.Number("margin_percent", 2, 1, 50)) / 100
	p.FalseAlarm = float64(a.Number("false_alarm_percent", 5, 1, 20)) / 100
	p.Out = a.Number("out", 1, 1, 100)
	return starlark.None, a.Done()
}

func (p *Plan) dispatcher(c script.Call) (starlark.Value, error) {
	a := c.Args("name")
	d := Dispatcher{a.NeedStr("name"), a.NeedStr("zone"), a.NeedStr("steward")}
	if !names.MatchString(d.Name) {
		a.Fault("name", fmt.Sprintf("is %q", d.Name), "letters, digits, dots, - and _, 64 at most")
	}
	if _, err := netip.ParseAddrPort(d.Steward); err != nil {
		a.Fault("steward", fmt.Sprintf("is %q", d.Steward), "ip:port")
	}
	for _, other := range p.Dispatchers {
		if other.Name == d.Name || other.Steward == d.Steward {
			a.Fault("dispatcher", fmt.Sprintf("%s is there twice, or its steward is", d.Name), "each once")
		}
	}
	if len(p.Dispatchers) >= mostDispatchers {
		a.Fault("dispatcher", "is one too many", fmt.Sprintf("%d at most", mostDispatchers))
	}
	p.Dispatchers = append(p.Dispatchers, d)
	return starlark.None, a.Done()
}

// count is how many dispatchers run the new version once a stage is rolled out.
func (p *Plan) count(s Stage) int {
	n := int(s.Part*float64(len(p.Dispatchers)) + 0.999)
	return min(max(n, 1), len(p.Dispatchers))
}

// order is the plan's dispatchers as they are upgraded: in turn from zone to zone, so that each
// stage is spread over the zones and each zone keeps old ones as long as possible.
func (p *Plan) order() (list []int) {
	var zones []string
	in := map[string][]int{}
	for i, d := range p.Dispatchers {
		if in[d.Zone] == nil {
			zones = append(zones, d.Zone)
		}
		in[d.Zone] = append(in[d.Zone], i)
	}
	for len(list) < len(p.Dispatchers) {
		for _, z := range zones {
			if len(in[z]) > 0 {
				list = append(list, in[z][0])
				in[z] = in[z][1:]
			}
		}
	}
	return list
}

// String says in a line what a plan does.
func (p *Plan) String() string {
	var stages []string
	for _, s := range p.Stages {
		stages = append(stages, fmt.Sprint(p.count(s)))
	}
	return fmt.Sprintf("change %s of %d dispatchers in stages of %s", p.Change, len(p.Dispatchers), strings.Join(stages, ", "))
}
