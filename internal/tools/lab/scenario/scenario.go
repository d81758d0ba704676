// Package scenario reads the laboratory's scenarios: Starlark files that say which
// fleet, which traffic, what goes wrong when, and what is expected.
package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"go.starlark.net/starlark"

	"yardwharf/internal/decide/script"
	"yardwharf/internal/tools/lab/virtual"
	"yardwharf/internal/tools/lab/yard"
)

// Scenario is one, checked.
type Scenario struct {
	Name   string
	About  string // what an operator would call it, in a sentence
	Config virtual.Config
	Seeds  int
	Expect []Expectation
}

// Expectation holds one figure of the result against a bound.
type Expectation struct {
	Figure string
	Least  bool // else: most
	Bound  float64
}

// figures are what can be expected of.
func figures() map[string]func(*virtual.Result) float64 {
	return map[string]func(*virtual.Result) float64{
		"service":      (*virtual.Result).Service,
		"worst_window": func(r *virtual.Result) float64 { return r.WorstWindow },
		"crossings":    func(r *virtual.Result) float64 { return float64(r.Crossings) / float64(max(1, r.Requests)) },
		"attempts":     func(r *virtual.Result) float64 { return float64(r.Attempts) / float64(max(1, r.Requests)) },
		"tries":        func(r *virtual.Result) float64 { return float64(r.Tries) / float64(max(1, r.Requests)) },
		"refused":      func(r *virtual.Result) float64 { return float64(r.Refused) / float64(max(1, r.Requests)) },
		"failed":       func(r *virtual.Result) float64 { return float64(r.Failed) / float64(max(1, r.Requests)) },
		"calls_peak":   peak(func(s virtual.Second) int { return s.Calls }),
		"cold_peak":    peak(func(s virtual.Second) int { return s.NewCold }),
		"retries_peak": peak(func(s virtual.Second) int { return s.Retries }),
		"pressure":     func(r *virtual.Result) float64 { return r.Pressure },
	}
}

// peak is the most of something in a second, over the fleet.
func peak(of func(virtual.Second) int) func(*virtual.Result) float64 {
	return func(r *virtual.Result) float64 {
		most := 0
		for _, s := range r.Seconds {
			most = max(most, of(s))
		}
		return float64(most)
	}
}

// Names are the names of the figures.
func Names() (names []string) {
	for name := range figures() {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

const mostSteps = 1_000_000

// Load reads a scenario; a fault in it is a *script.Error.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s := &Scenario{Name: strings.TrimSuffix(filepath.Base(path), ".star"), Seeds: 3,
		Config: virtual.Config{Rate: 50, Length: time.Minute, Retry: "none", Lag: time.Second}}
	err = script.Run(script.Options{Path: path, Text: text, MaxSteps: mostSteps,
		ReadFile: func(name string) ([]byte, error) { return os.ReadFile(filepath.Join(filepath.Dir(path), name)) },
		Builtins: map[string]script.Func{"about": s.about, "account": s.account, "site": s.site, "traffic": s.traffic, "surge": s.surge, "failure": s.failure, "expect": s.expect, "run": s.run, "discovery": s.discovery}})
	if err != nil {
		return nil, err
	}
	if len(s.Config.Sites) == 0 || len(s.Expect) == 0 {
		return nil, fmt.Errorf("scenario: %s: has no site or expects nothing", path)
	}
	return s, nil
}

func (s *Scenario) about(c script.Call) (starlark.Value, error) {
	a := c.Args("text")
	s.About = a.RequiredString("text")
	return starlark.None, a.Err()
}

// account says whose deployment it is.
func (s *Scenario) account(c script.Call) (starlark.Value, error) {
	a := c.Args("name")
	if known := yard.Accounts()[a.Choice("name", yard.Names()...)]; known != nil {
		s.Config.Account = known()
	}
	return starlark.None, a.Err()
}

func (s *Scenario) site(c script.Call) (starlark.Value, error) {
	a := c.Args("name")
	s.Config.Sites = append(s.Config.Sites, virtual.Site{Name: a.RequiredString("name"), Hosts: a.Int("hosts", 5, 0, 100_000),
		Dispatchers: a.Int("dispatchers", 1, 0, 10_000)})
	return starlark.None, a.Err()
}

// discovery says how its calls are served.
func (s *Scenario) discovery(c script.Call) (starlark.Value, error) {
	a := c.Args()
	s.Config.Calls = virtual.Discovery{Serve: a.Duration("serve", 80*time.Millisecond, time.Millisecond, time.Minute), Most: a.Int("queue", 20, 1, 100_000),
		Patience: a.Duration("patience", 2*time.Second, time.Millisecond, time.Minute)}
	return starlark.None, a.Err()
}

// percent is a number that is told in percent.
func percent(a *script.Args, key string, def, most int) float64 {
	return float64(a.Int(key, def, 0, most)) / 100
}

func (s *Scenario) traffic(c script.Call) (starlark.Value, error) {
	a := c.Args("rate")
	s.Config.Rate = float64(a.Int("rate", 50, 1, 1_000_000))
	s.Config.Retry = a.Choice("retries", "none", "at_once", "later")
	return starlark.None, a.Err()
}

func (s *Scenario) surge(c script.Call) (starlark.Value, error) {
	a := c.Args()
	s.Config.Surge = append(s.Config.Surge, virtual.Surge{At: a.Duration("at", 0, 0, time.Hour), For: a.Duration("length", 10*time.Second, 0, time.Hour),
		Times: percent(a, "percent", 200, 100_000)})
	return starlark.None, a.Err()
}

func (s *Scenario) failure(c script.Call) (starlark.Value, error) {
	a := c.Args("kind")
	var kinds []string
	for k := range virtual.Kinds() {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	f := virtual.Failure{Kind: a.RequiredString("kind"), At: a.Duration("at", 0, 0, time.Hour), For: a.Duration("length", 10*time.Second, 0, time.Hour),
		Part: percent(a, "percent", 20, 100), Size: percent(a, "times_percent", 200, 10_000), Site: a.StringOr("site", "")}
	if _, known := virtual.Kinds()[f.Kind]; !known {
		a.RecordError("kind", fmt.Sprintf("is %q", f.Kind), "one of "+script.QuoteNames(kinds))
	}
	known := f.Site == ""
	for _, site := range s.Config.Sites {
		known = known || site.Name == f.Site
	}
	if !known {
		a.RecordError("site", fmt.Sprintf("is %q", f.Site), "a site that is named above")
	}
	s.Config.Failures = append(s.Config.Failures, f)
	return starlark.None, a.Err()
}

// expect takes FIGURE = "at least 95%" or "at most 1.2".
func (s *Scenario) expect(c script.Call) (starlark.Value, error) {
	a := c.Args()
	for _, name := range Names() {
		text := a.StringOr(name, "")
		if text == "" {
			continue
		}
		e := Expectation{Figure: name}
		rest, least := strings.CutPrefix(text, "at least ")
		if e.Least = least; !least {
			var most bool
			if rest, most = strings.CutPrefix(text, "at most "); !most {
				a.RecordError(name, fmt.Sprintf("is %q", text), `"at least 95%" or "at most 1.2"`)
			}
		}
		number, isPercent := strings.CutSuffix(rest, "%")
		if _, err := fmt.Sscan(number, &e.Bound); err != nil {
			a.RecordError(name, fmt.Sprintf("is %q", text), `"at least 95%" or "at most 1.2"`)
		}
		if isPercent {
			e.Bound /= 100
		}
		s.Expect = append(s.Expect, e)
	}
	return starlark.None, a.Err()
}

func (s *Scenario) run(c script.Call) (starlark.Value, error) {
	a := c.Args()
	s.Config.Length = a.Duration("length", time.Minute, time.Second, time.Hour)
	s.Config.Lag = a.Duration("discovery_lag", time.Second, time.Millisecond, time.Minute)
	s.Seeds = a.Int("seeds", 3, 1, 1000)
	return starlark.None, a.Err()
}

// Outcome is a scenario that was played.
type Outcome struct {
	Results []*virtual.Result
	Faults  []string // what was not as expected
}

// Play plays a scenario on its seeds, from first on. A broken rule is never as
// expected; figures are held as means over the seeds.
func (s *Scenario) Play(first uint64) (*Outcome, error) {
	out := &Outcome{}
	for n := range s.Seeds {
		c := s.Config
		c.Seed = first + uint64(n)
		r, err := virtual.Run(c)
		if err != nil {
			return nil, err
		}
		out.Results = append(out.Results, r)
		for i, b := range r.Broken {
			if i == 3 {
				out.Faults = append(out.Faults, fmt.Sprintf("seed %d: %d more rules broken", c.Seed, len(r.Broken)-i))
				break
			}
			out.Faults = append(out.Faults, fmt.Sprintf("seed %d: %v", c.Seed, b))
		}
	}
	for _, e := range s.Expect {
		got := out.Mean(e.Figure)
		if e.Least && got < e.Bound || !e.Least && got > e.Bound {
			word := "at most"
			if e.Least {
				word = "at least"
			}
			out.Faults = append(out.Faults, fmt.Sprintf("%s is %.3f, expected %s %.3f", e.Figure, got, word, e.Bound))
		}
	}
	return out, nil
}

// Mean is a figure's mean over the seeds.
func (o *Outcome) Mean(figure string) float64 {
	sum := 0.0
	for _, r := range o.Results {
		sum += figures()[figure](r)
	}
	return sum / float64(max(1, len(o.Results)))
}
