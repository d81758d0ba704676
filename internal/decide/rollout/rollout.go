package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"yardwharf/internal/decide/figures"
)

// State is where a change stands.
type State string

// The states.
const (
	Planned  State = "planned"
	Rolling  State = "rolling"
	Watching State = "watching"
	Back     State = "going back"
	Done     State = "done"
	Stopped  State = "stopped"
)

// Kind is what a record says.
type Kind string

// The kinds of records.
const (
	Begin    Kind = "begin"    // the change begins
	Upgrade  Kind = "upgrade"  // a dispatcher is to run the new version
	Upgraded Kind = "upgraded" // it does; Fault: it does not
	Watch    Kind = "watch"    // all of a stage run it
	Pass     Kind = "pass"     // the stage is not worse
	Hold     Kind = "hold"
	Go       Kind = "go"
	GoBack   Kind = "back"
	Return   Kind = "return"   // a dispatcher is to run the old version
	Returned Kind = "returned" // it does; Fault: it does not, and is left to people
	End      Kind = "end"      // done, or stopped
)

// Record is one decision, written down before it is acted on.
type Record struct {
	Seq        int       `json:"seq"` // from 1
	At         time.Time `json:"at"`  // for people
	Kind       Kind      `json:"kind"`
	Stage      int       `json:"stage"`
	Dispatcher string    `json:"dispatcher,omitempty"`
	Fault      string    `json:"fault,omitempty"`
	Why        string    `json:"why,omitempty"`
	Compared   []Line    `json:"compared,omitempty"`
}

// Act is what a record asks of a steward; its number is the record's.
type Act struct {
	Seq        int
	Dispatcher int // of the plan
	New        bool
}

// Seen is what a dispatcher's steward told last.
type Seen struct {
	Reached bool
	Taken   string // the other change that it belongs to
	Act     int    // the last act that it has heard of
	Doing   bool   // it is at it
	Fault   string // what became of it; empty: it is done
	Crashes int    // of what it runs, since its last act
	Fell    bool   // it has fallen back to the last good version by itself
	Serves  bool
	Figures figures.Figures
}

const (
	reachFor    = 30 * time.Second // a steward out of reach holds the change after it
	crashesMost = 2                // of new ones
	crashRate   = 3.0              // times that of old ones
	grownMB     = 16.0             // memory: over the old ones' by so much and ...
	grownPart   = 0.5              // ... by this part of it
	leakLooks   = 30               // looks after which growth counts
	leakMB      = 10.0             // a minute
)

// unit is what the machine knows of a dispatcher.
type unit struct {
	isNew, stuck bool
	heard        time.Duration // last reached
	last         figures.Figures
	has          bool
	crashes      int       // when it was last looked at, ...
	counted      bool      // ... if it was
	memory       []float64 // by look, of this process
	looked       []float64 // seconds
}

// Machine is a change. It is made of its records: two with the same records are the same.
type Machine struct {
	plan    *Plan
	order   []int
	units   []unit
	state   State
	held    string // why; empty: it is not
	stage   int
	seq     int
	pending Act // Seq 0: none
	waits   string
	asked   struct { // the act under way, and since when its steward could have taken it
		seq int
		at  time.Duration
	}
	began   time.Duration // of the stage's watch; -1: not yet since the start
	comp    *Comparison
	lines   []Line
	answer  Answer
	begun   bool // in this process
	start   time.Duration
	fault   string // an upgrade's
	looked  time.Duration
	crashed [2]float64 // of old and new ones, as seen in this process
	exposed [2]float64 // seconds of dispatchers that these came in
}

// New begins with a plan and nothing decided.
func New(p *Plan) *Machine {
	m := &Machine{plan: p, order: p.order(), units: make([]unit, len(p.Dispatchers)), state: Planned, began: -1}
	m.compare()
	return m
}

// compare begins to compare anew.
func (m *Machine) compare() {
	m.comp = NewComparison(m.plan.Margin, m.plan.FalseAlarm/float64(max(1, len(m.plan.Stages)-1)))
	m.lines, m.answer = nil, NotTold
}

// Apply folds a record in. One that does not follow is an error, and changes nothing.
func (m *Machine) Apply(r Record) error {
	if r.Seq != m.seq+1 {
		return fmt.Errorf("rollout: record %d follows %d", r.Seq, m.seq)
	}
	i := slices.IndexFunc(m.plan.Dispatchers, func(d Dispatcher) bool { return d.Name == r.Dispatcher })
	if i < 0 && (r.Dispatcher != "" || r.Kind == Upgrade || r.Kind == Upgraded || r.Kind == Return || r.Kind == Returned) {
		return fmt.Errorf("rollout: record %d names dispatcher %q, which the plan has not", r.Seq, r.Dispatcher)
	}
	m.seq = r.Seq
	switch r.Kind {
	case Begin:
		m.state, m.stage = Rolling, 0
	case Upgrade:
		m.units[i].isNew = true                                                 // it may run it from now on
		m.units[i].crashes, m.units[i].counted, m.units[i].has = 0, true, false // its steward counts anew
		m.pending = Act{r.Seq, i, true}
	case Return:
		m.pending = Act{r.Seq, i, false}
		m.units[i].crashes, m.units[i].counted, m.units[i].has = 0, true, false
	case Upgraded:
		m.pending, m.fault = Act{}, r.Fault
		if r.Fault != "" {
			m.fault = fmt.Sprintf("%s: %s", r.Dispatcher, r.Fault)
		}
	case Returned:
		m.pending = Act{}
		m.units[i].isNew, m.units[i].stuck = r.Fault != "", r.Fault != ""
	case Watch:
		m.state, m.began = Watching, -1
		m.compare()
	case Pass:
		m.stage++
		m.state = Rolling
		m.compare()
	case Hold:
		m.held = r.Why
	case Go:
		m.held, m.began = "", -1
		if m.state == Watching {
			m.compare()
		}
	case GoBack:
		m.state, m.held = Back, ""
	case End:
		m.state = Done
		if r.Fault != "" {
			m.state = Stopped
		}
	default:
		return fmt.Errorf("rollout: record %d is of kind %q", r.Seq, r.Kind)
	}
	return nil
}

// Acts is what is to be done now: the same until its outcome is written down.
func (m *Machine) Acts() []Act {
	if m.pending.Seq == 0 {
		return nil
	}
	return []Act{m.pending}
}

// Over says whether the change has ended.
func (m *Machine) Over() bool { return m.state == Done || m.state == Stopped }

// Ask is the record of an operator's wish, or an error that says why it cannot be.
func (m *Machine) Ask(k Kind, why string) (Record, error) {
	switch {
	case m.Over():
		return Record{}, fmt.Errorf("the change is %s", m.state)
	case k == Hold && m.held != "":
		return Record{}, fmt.Errorf("it is held already: %s", m.held)
	case k == Go && m.held == "":
		return Record{}, fmt.Errorf("it is not held")
	case k == GoBack && m.state == Back:
		return Record{}, fmt.Errorf("it goes back already")
	case k == Hold && m.state == Back:
		return Record{}, fmt.Errorf("it goes back, which is not held")
	}
	return m.record(k, why), nil
}

func (m *Machine) record(k Kind, why string) Record {
	r := Record{Seq: m.seq + 1, Kind: k, Stage: m.stage, Why: why}
	if k == Pass || k == GoBack || k == Hold {
		r.Compared = m.lines
	}
	return r
}

func (m *Machine) about(k Kind, i int, fault string) Record {
	r := m.record(k, "")
	r.Dispatcher, r.Fault = m.plan.Dispatchers[i].Name, fault
	return r
}

// Step takes what the stewards have told (in the plan's order) and says which decision is due,
// if one is. It is to be written down, applied, and acted on before the next step.
func (m *Machine) Step(now time.Duration, seen []Seen) (Record, bool) {
	if !m.begun {
		m.begun, m.start = true, now
	}
	m.waits = ""
	if m.Over() || len(seen) != len(m.units) {
		return Record{}, false
	}
	m.take(now, seen)
	if r, due := m.outcome(now, seen); due || m.pending.Seq > 0 {
		return r, due
	}
	if m.state == Back {
		return m.back(), true
	}
	if m.held != "" {
		return Record{}, false
	}
	if why := m.blocked(now, seen); why != "" {
		return m.record(Hold, why), true
	}
	if why := m.bad(seen); why != "" {
		return m.record(GoBack, why), true
	}
	switch m.state {
	case Planned:
		return m.record(Begin, m.plan.String()), true
	case Rolling:
		return m.roll(seen)
	case Watching:
		return m.watch(now)
	}
	return Record{}, false
}

// take books what was told: differences of one process's counters.
func (m *Machine) take(now time.Duration, seen []Seen) {
	elapsed := 0.0
	if m.looked > 0 {
		elapsed = (now - m.looked).Seconds()
	}
	m.looked = max(1, now)
	for i := range seen {
		s, u := &seen[i], &m.units[i]
		if !s.Reached {
			if u.heard == 0 {
				u.heard = m.start
			}
			continue
		}
		u.heard = now
		if m.pending.Seq > 0 && m.pending.Dispatcher == i { // what it tells may be of before its act
			u.has = false
			continue
		}
		m.crash(u, s.Crashes, elapsed)
		if s.Doing || s.Figures.Process == "" {
			u.has = false
			continue
		}
		if u.has && u.last.Process == s.Figures.Process {
			m.comp.Add(now, m.plan.Dispatchers[i].Zone, u.isNew, less(s.Figures, u.last))
		} else {
			u.memory, u.looked = nil, nil
		}
		u.last, u.has = s.Figures, true
		if len(u.memory) < 1000 {
			u.memory, u.looked = append(u.memory, s.Figures.Memory), append(u.looked, now.Seconds())
		}
	}
}

// crash books how often a dispatcher has crashed by now.
func (m *Machine) crash(u *unit, crashes int, elapsed float64) {
	side := 0
	if u.isNew {
		side = 1
	}
	m.exposed[side] += elapsed
	if u.counted && crashes > u.crashes {
		m.crashed[side] += float64(crashes - u.crashes)
	}
	u.crashes, u.counted = crashes, true
}

// less is what a process has done between two looks.
func less(now, before figures.Figures) figures.Figures {
	d := figures.Figures{Process: now.Process, Worth: now.Worth, CPU: now.CPU - before.CPU, Memory: now.Memory, Classes: map[string]figures.Counts{}}
	for name, c := range now.Classes {
		c.Add(before.Classes[name], -1)
		d.Classes[name] = c
	}
	return d
}

// outcome is what has become of the act that is under way.
func (m *Machine) outcome(now time.Duration, seen []Seen) (Record, bool) {
	a := m.pending
	if a.Seq == 0 {
		return Record{}, false
	}
	s, u := &seen[a.Dispatcher], &m.units[a.Dispatcher]
	if m.asked.seq != a.Seq || !s.Reached {
		m.asked.seq, m.asked.at = a.Seq, now
	}
	ignored := s.Reached && s.Act != a.Seq && now-m.asked.at > reachFor
	k := Returned
	if a.New {
		k = Upgraded
	}
	switch {
	case s.Reached && s.Act == a.Seq && !s.Doing:
		return m.about(k, a.Dispatcher, s.Fault), true
	case s.Reached && s.Taken != "":
		return m.about(k, a.Dispatcher, "belongs to change "+s.Taken), true
	case ignored && (!a.New || m.state == Back):
		return m.about(k, a.Dispatcher, "does not take the act"), true
	case ignored && m.held == "":
		return m.record(Hold, m.plan.Dispatchers[a.Dispatcher].Name+" does not take its act"), true
	case !s.Reached && now-u.heard > reachFor && (!a.New || m.state == Back): // the rest goes on
		return m.about(k, a.Dispatcher, "out of reach"), true
	case !s.Reached && now-u.heard > reachFor && m.held == "":
		return m.record(Hold, m.plan.Dispatchers[a.Dispatcher].Name+" is out of reach in its upgrade"), true
	}
	m.waits = fmt.Sprintf("for %s", m.plan.Dispatchers[a.Dispatcher].Name)
	return Record{}, false
}

// back returns the new ones, the last first.
func (m *Machine) back() Record {
	for n := len(m.order) - 1; n >= 0; n-- {
		if u := &m.units[m.order[n]]; u.isNew && !u.stuck {
			return m.about(Return, m.order[n], "")
		}
	}
	r := m.record(End, "")
	r.Fault = "taken back"
	var stuck []string
	for i, u := range m.units {
		if u.stuck {
			stuck = append(stuck, m.plan.Dispatchers[i].Name)
		}
	}
	if len(stuck) > 0 {
		r.Why = "not returned: " + strings.Join(stuck, ", ")
	}
	return r
}

// blocked is why nothing can be decided; empty if it can.
func (m *Machine) blocked(now time.Duration, seen []Seen) string {
	out := 0
	for i := range seen {
		switch {
		case seen[i].Taken != "":
			return fmt.Sprintf("%s belongs to change %s", m.plan.Dispatchers[i].Name, seen[i].Taken)
		case !seen[i].Reached && now-m.units[i].heard > reachFor:
			out++
		}
	}
	if 2*out >= len(seen) {
		return fmt.Sprintf("%d of %d stewards are out of reach", out, len(seen))
	}
	return ""
}

// bad is why the change is to go back, by what needs no test; empty if nothing is.
func (m *Machine) bad(seen []Seen) string {
	if m.fault != "" {
		return "an upgrade failed: " + m.fault
	}
	var memory [2][]float64
	for i := range seen {
		u := &m.units[i]
		side := 0
		if u.isNew {
			side = 1
			if seen[i].Fell {
				return m.plan.Dispatchers[i].Name + " has fallen back by itself after crashes"
			}
		}
		if u.has && len(u.memory) > 0 {
			memory[side] = append(memory[side], u.last.Memory)
		}
	}
	if m.crashed[1] >= crashesMost && m.crashed[1]*m.exposed[0] > crashRate*m.crashed[0]*m.exposed[1] {
		return fmt.Sprintf("%.0f crashes of new dispatchers in %.0f s of them, %.0f of old ones in %.0f s", m.crashed[1], m.exposed[1], m.crashed[0], m.exposed[0])
	}
	if len(memory[0]) == 0 || len(memory[1]) == 0 {
		return ""
	}
	old := slices.Max(memory[0])
	for i := range m.units {
		if u := &m.units[i]; u.isNew && len(u.memory) >= leakLooks && u.last.Memory > old*(1+grownPart)+grownMB {
			if _, slope := stat.LinearRegression(u.looked, u.memory, nil, false); slope*60 > leakMB {
				return fmt.Sprintf("memory of %s is %.0f MB and grows by %.0f MB a minute; old ones have %.0f MB at most", m.plan.Dispatchers[i].Name, u.last.Memory, slope*60, old)
			}
		}
	}
	return ""
}

// roll upgrades the next of the stage, once all that are out are back and no zone is in trouble.
func (m *Machine) roll(seen []Seen) (Record, bool) {
	for i := range seen {
		if len(seen[i].Figures.Trouble) > 0 && seen[i].Reached {
			m.waits = "zone " + seen[i].Figures.Trouble[0] + " is left or returns"
			return Record{}, false
		}
	}
	if answer, lines := m.comp.Verdict(); answer == Worse { // those that are new already
		m.lines, m.answer = lines, answer
		return m.record(GoBack, "the new ones are worse: "+worst(lines)), true
	}
	out := 0
	for i := range seen {
		if !seen[i].Reached || !seen[i].Serves {
			out++
		}
	}
	for _, i := range m.order[:m.plan.count(m.plan.Stages[m.stage])] {
		if m.units[i].isNew {
			continue
		}
		if out >= m.plan.Out {
			m.waits = fmt.Sprintf("%d dispatchers are out", out)
			return Record{}, false
		}
		return m.about(Upgrade, i, ""), true
	}
	return m.record(Watch, ""), true
}

// watch decides on a stage whose dispatchers are all new.
func (m *Machine) watch(now time.Duration) (Record, bool) {
	if m.began < 0 {
		m.began = now
	}
	s := m.plan.Stages[m.stage]
	m.answer, m.lines = m.comp.Verdict()
	last := m.stage == len(m.plan.Stages)-1
	long := now-m.began >= s.Least
	switch {
	case last && long: // none is left to compare with
		return m.record(End, ""), true
	case last:
	case m.answer == Worse:
		return m.record(GoBack, "the new ones are worse: "+worst(m.lines)), true
	case m.answer == NotWorse && long && m.comp.Messages >= float64(s.Messages):
		return m.record(Pass, ""), true
	case now-m.began >= s.Most:
		return m.record(Hold, fmt.Sprintf("not told after %v and %.0f messages", s.Most, m.comp.Messages)), true
	}
	m.waits = fmt.Sprintf("%s after %v and %.0f messages", m.answer, (now - m.began).Round(time.Second), m.comp.Messages)
	return Record{}, false
}

// worst names the figures that stop a change.
func worst(lines []Line) string {
	var out []string
	for _, l := range lines {
		if l.Answer == Worse {
			out = append(out, l.String())
		}
	}
	return strings.Join(out, "; ")
}

// Status is a change at a glance.
type Status struct {
	Change     string   `json:"change"`
	State      State    `json:"state"`
	Stage      int      `json:"stage"` // from 1
	Stages     int      `json:"stages"`
	Held       string   `json:"held,omitempty"`
	Waits      string   `json:"waits,omitempty"`
	New        []string `json:"new"`
	NotBack    []string `json:"not_back,omitempty"`
	Answer     string   `json:"answer"`
	Compared   []string `json:"compared,omitempty"`
	Messages   float64  `json:"messages"`
	LastRecord int      `json:"last_record"`
}

// Status tells where the change stands.
func (m *Machine) Status() Status {
	s := Status{Change: m.plan.Change, State: m.state, Stage: m.stage + 1, Stages: len(m.plan.Stages), Held: m.held, Waits: m.waits,
		New: []string{}, Answer: m.answer.String(), Messages: m.comp.Messages, LastRecord: m.seq}
	for i, u := range m.units {
		if u.isNew {
			s.New = append(s.New, m.plan.Dispatchers[i].Name)
		}
		if u.stuck {
			s.NotBack = append(s.NotBack, m.plan.Dispatchers[i].Name)
		}
	}
	for _, l := range m.lines {
		s.Compared = append(s.Compared, l.String())
	}
	return s
}
