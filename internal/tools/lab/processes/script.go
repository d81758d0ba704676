package processes

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"

	"yardwharf/internal/decide/script"
	"yardwharf/internal/tools/lab/badbuild"
)

// Scenario is an incident for several processes, checked.
type Scenario struct {
	Name, About string
	Zones       []string
	Dispatchers int // of each zone
	Senders     int // of each zone
	Rate        int // messages a second
	Length      time.Duration
	Stewards    bool   // each dispatcher is kept by one
	Talk        bool   // dispatchers may tell each other something
	Operator    string // the operator's file
	Steps       []Step
	Expect      []Expectation
}

// Step is a fault at a time, or the end of one.
type Step struct {
	At           time.Duration
	What         string
	Zone, Sender string
	Nodes        []int
	Part         float64
	Build        string // of a rolling change, with its stages in percent
	Stages       []int
	Least, Most  time.Duration
}

// Expectation holds one figure against a bound.
type Expectation struct {
	Figure string
	Least  bool
	Bound  float64
}

// steps are the kinds of steps, each with what it needs.
var steps = map[string]struct{ zone, nodes, sender bool }{
	"dark": {zone: true}, "silent": {zone: true}, "cut": {zone: true}, "heal": {zone: true}, "restart": {zone: true}, "lossy": {},
	"deaf": {nodes: true}, "hears": {nodes: true}, "kill": {nodes: true}, "stop": {nodes: true}, "continue": {nodes: true}, "start": {nodes: true}, "end": {nodes: true}, "reload": {nodes: true},
	"rollout": {}, "kill_controller": {}, "hold": {}, "go": {}, "back": {}, "leave": {zone: true, nodes: true}, "return": {zone: true, nodes: true}, "drain": {sender: true}, "serve": {sender: true},
}

// figures are what can be expected of.
var figures = map[string]func(*Result) float64{
	"service":      (*Result).Service,
	"failed":       func(r *Result) float64 { return float64(r.Failed) / float64(max(1, r.Messages)) },
	"refused":      func(r *Result) float64 { return float64(r.Refused) / float64(max(1, r.Messages)) },
	"broken":       func(r *Result) float64 { return float64(r.Broken) / float64(max(1, r.Messages)) },
	"left":         func(r *Result) float64 { return float64(len(r.Left)) },
	"left_ms":      func(r *Result) float64 { return last(r.Left) },
	"back":         func(r *Result) float64 { return float64(len(r.Back)) },
	"back_ms":      func(r *Result) float64 { return last(r.Back) },
	"false_leaves": func(r *Result) float64 { return float64(r.FalseLeaves) },
	"done":         func(r *Result) float64 { return yes(r.State == "done") },
	"stopped":      func(r *Result) float64 { return yes(r.State == "stopped") },
	"held":         func(r *Result) float64 { return yes(r.Held != "") },
	"new":          func(r *Result) float64 { return float64(r.New) },
	"upgrades":     func(r *Result) float64 { return float64(r.Upgrades) },
	"broken_each":  func(r *Result) float64 { return float64(r.Broken) / float64(max(1, r.Upgrades)) },
	"astray":       func(r *Result) float64 { return float64(r.Astray) },
	"changes":      func(r *Result) float64 { return float64(r.Changes) },
	"attempts":     func(r *Result) float64 { return float64(r.Hits) / float64(max(1, r.Messages)) },
}

func yes(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func last(d []time.Duration) float64 {
	if len(d) == 0 {
		return 0
	}
	return float64(d[len(d)-1].Milliseconds())
}

const mostSteps = 1_000_000

// Load reads a scenario; a fault in it is a *script.Error.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("processes: %w", err)
	}
	s := &Scenario{Name: strings.TrimSuffix(filepath.Base(path), ".star")}
	err = script.Run(script.Options{Path: path, Text: text, MaxSteps: mostSteps,
		ReadFile: func(name string) ([]byte, error) { return os.ReadFile(filepath.Join(filepath.Dir(path), name)) },
		Builtins: map[string]script.Func{"about": s.about, "site": s.site, "at": s.at, "expect": s.expect}})
	if err != nil {
		return nil, err
	}
	if len(s.Zones) == 0 || len(s.Expect) == 0 {
		return nil, fmt.Errorf("processes: %s: has no site or expects nothing", path)
	}
	return s, nil
}

func (s *Scenario) about(c script.Call) (starlark.Value, error) {
	a := c.Args("text")
	s.About = a.RequiredString("text")
	return starlark.None, a.Err()
}

func (s *Scenario) site(c script.Call) (starlark.Value, error) {
	a := c.Args("zones")
	if len(s.Zones) > 0 {
		a.RecordError("site", "is called twice", "one call")
	}
	s.Zones = a.Strings("zones")
	if len(s.Zones) == 0 {
		a.RecordError("zones", "names none", "one zone at least")
	}
	most := mostNodes / max(1, len(s.Zones))
	s.Dispatchers, s.Senders = a.Int("dispatchers", 2, 1, most), a.Int("senders", 2, 1, most)
	s.Rate, s.Length = a.Int("rate", 40, 1, 1000), a.Duration("length", 10*time.Second, time.Second, 5*time.Minute)
	s.Talk, s.Operator = !a.Bool("mute"), a.StringOr("operator", "")
	s.Stewards = a.Bool("stewards")
	return starlark.None, a.Err()
}

func (s *Scenario) at(c script.Call) (starlark.Value, error) {
	a := c.Args("time", "what")
	st := Step{At: a.Duration("time", 0, 0, 5*time.Minute), What: a.RequiredString("what"), Zone: a.StringOr("zone", ""), Sender: a.StringOr("sender", ""),
		Part: float64(a.Int("percent", 0, 0, 100)) / 100}
	need, known := steps[st.What]
	switch {
	case !known:
		a.RecordError("what", fmt.Sprintf("is %q", st.What), "one of "+script.QuoteNames(slices.Sorted(maps.Keys(steps))))
	case need.zone && !slices.Contains(s.Zones, st.Zone):
		a.RecordError("zone", fmt.Sprintf("is %q", st.Zone), "one of "+script.QuoteNames(s.Zones))
	case need.sender && st.Sender == "":
		a.RecordError("sender", "is missing", `a name like "s-0"`)
	}
	if st.What == "rollout" {
		st.Build, st.Least, st.Most = a.StringOr("build", "good"), a.Duration("least", 5*time.Second, time.Second, time.Minute), a.Duration("most", time.Minute, time.Second, time.Hour)
		if badbuild.Faults[st.Build] == "" {
			a.RecordError("build", fmt.Sprintf("is %q", st.Build), "one of "+script.QuoteNames(slices.Sorted(maps.Keys(badbuild.Faults))))
		}
		if !s.Stewards {
			a.RecordError("what", "is a rolling change without stewards", "site(stewards = True, ...)")
		}
		for _, v := range a.List("stages") {
			n, err := starlark.AsInt32(v)
			if err != nil {
				a.RecordError("stages", "holds "+script.FormatValue(v), "percents")
			}
			st.Stages = append(st.Stages, n)
		}
		if len(st.Stages) == 0 {
			st.Stages = []int{25, 100}
		}
	}
	for _, v := range a.List("dispatchers") {
		n, err := starlark.AsInt32(v)
		if err != nil || n < 0 || n >= s.Dispatchers*len(s.Zones) {
			a.RecordError("dispatchers", "holds "+script.FormatValue(v), fmt.Sprintf("numbers from 0 to %d", s.Dispatchers*len(s.Zones)-1))
			break
		}
		st.Nodes = append(st.Nodes, n)
	}
	if need.nodes && len(st.Nodes) == 0 {
		a.RecordError("dispatchers", "names none", "a list of numbers")
	}
	s.Steps = append(s.Steps, st)
	return starlark.None, a.Err()
}

func (s *Scenario) expect(c script.Call) (starlark.Value, error) {
	a := c.Args("figure")
	e := Expectation{Figure: a.RequiredString("figure")}
	if figures[e.Figure] == nil {
		a.RecordError("figure", fmt.Sprintf("is %q", e.Figure), "one of "+script.QuoteNames(slices.Sorted(maps.Keys(figures))))
	}
	least, most := a.Value("least"), a.Value("most")
	if e.Least = least != nil; (least == nil) == (most == nil) {
		a.RecordError("expect", "has no bound, or two", "least or most")
	} else {
		v := most
		if e.Least {
			v = least
		}
		f, ok := starlark.AsFloat(v)
		if !ok {
			a.RecordError("bound", "is "+script.FormatValue(v), "a number")
		}
		e.Bound = f
	}
	s.Expect = append(s.Expect, e)
	return starlark.None, a.Err()
}

// Faults are the rules that a run has broken and the figures that are not as expected.
func (s *Scenario) Faults(r *Result) (faults []string) {
	faults = append(faults, r.Rules...)
	for _, e := range s.Expect {
		v := figures[e.Figure](r)
		if e.Least && v < e.Bound || !e.Least && v > e.Bound {
			word := map[bool]string{true: "least", false: "most"}[e.Least]
			faults = append(faults, fmt.Sprintf("%s is %.3g, expected %.3g at %s", e.Figure, v, e.Bound, word))
		}
	}
	return faults
}
