package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"yardwharf/internal/decide/figures"
)

// State is the state of a change.
type State string

// The states.
const (
	Planned     State = "planned"
	Rolling     State = "rolling"
	Watching    State = "watching"
	RollingBack State = "going back"
	Done        State = "done"
	Stopped     State = "stopped"
)

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	Begin    Kind = "begin"    // the change begins
	Upgrade  Kind = "upgrade"  // upgrade a dispatcher to the new version
	Upgraded Kind = "upgraded" // the upgrade ended; Fault is set if it failed
	Watch    Kind = "watch"    // all dispatchers of the stage are upgraded; its watch begins
	Pass     Kind = "pass"     // the stage is not worse; the next one begins
	Hold     Kind = "hold"     // start nothing new until resumed or rolled back
	Resume   Kind = "go"       // resume after a hold
	RollBack Kind = "back"     // roll the change back
	Revert   Kind = "return"   // return a dispatcher to the old version
	Reverted Kind = "returned" // the return ended; Fault is set if it failed, which needs an operator
	End      Kind = "end"      // the change is done or, with a Fault, stopped
)

// Record is one decision. It must be persisted before it is acted on.
type Record struct {
	Seq        int       `json:"seq"` // from 1
	At         time.Time `json:"at"`  // informational only
	Kind       Kind      `json:"kind"`
	Stage      int       `json:"stage"`
	Dispatcher string    `json:"dispatcher,omitempty"`
	Fault      string    `json:"fault,omitempty"`
	Why        string    `json:"why,omitempty"`
	Compared   []Line    `json:"compared,omitempty"`
}

// Act is the action that a record asks of a steward. Seq is the record's.
type Act struct {
	Seq        int
	Dispatcher int  // index in the plan
	New        bool // run the new version; otherwise the old one
}

// Report is the last report of a dispatcher's steward.
type Report struct {
	Reached     bool   // false if the steward did not answer; the other fields are then empty
	OtherChange string // another change that it takes part in
	Act         int    // Seq of the last act that it received
	InProgress  bool   // that act is in progress
	Fault       string // why that act failed; empty if it succeeded
	Crashes     int    // of the dispatcher's process since the last act
	FellBack    bool   // it has returned to the last good version by itself
	InService   bool   // the dispatcher is in service
	Figures     figures.Figures
}

const (
	unreachableAfter  = 30 * time.Second // how long a steward may be unreachable, or ignore an act, before the change is held
	minCrashes        = 2                // of upgraded dispatchers, below which crashes are no ground to roll back
	maxCrashRatio     = 3.0              // of the crash rate of upgraded dispatchers to that of old ones
	memoryExcessMB    = 16.0             // a leak is suspected above the old dispatchers' maximum plus this ...
	memoryExcessShare = 0.5              // ... plus this share of that maximum, ...
	minLeakSamples    = 30               // ... after this many samples, ...
	leakMBPerMinute   = 10.0             // ... if memory grows faster than this
)

// dispatcherState is what the Machine knows about a dispatcher.
type dispatcherState struct {
	isNew, notReverted bool
	lastReached        time.Duration // when its steward last answered
	lastFigures        figures.Figures
	hasFigures         bool      // lastFigures is of its current process
	lastCrashes        int       // crash counter of the last report
	crashesKnown       bool      // lastCrashes is set
	memorySamples      []float64 // MB, of its current process
	sampleTimes        []float64 // seconds
}

// Machine is the state machine of a change. Applying the same records to a new Machine resumes
// the change; only the measurements start anew.
type Machine struct {
	plan        *Plan
	order       []int
	dispatchers []dispatcherState
	state       State
	holdReason  string // empty if not held
	stage       int
	seq         int
	pending     Act      // Seq is 0 if none
	waitingFor  string   // for Status
	actClock    struct { // the pending act, and since when its steward has been reachable
		seq int
		at  time.Duration
	}
	watchBegan   time.Duration // start of the stage's watch; -1 if not begun in this process
	comparison   *Comparison
	lines        []Line
	answer       Answer
	started      bool // Step has been called in this process
	startedAt    time.Duration
	upgradeFault string // why an upgrade failed
	lastStep     time.Duration
	crashes      [2]float64 // of old and of upgraded dispatchers, seen in this process
	exposure     [2]float64 // dispatcher-seconds in which crashes were counted
}

// New returns a Machine for a plan, without any records.
func New(p *Plan) *Machine {
	m := &Machine{plan: p, order: p.upgradeOrder(), dispatchers: make([]dispatcherState, len(p.Dispatchers)), state: Planned, watchBegan: -1}
	m.resetComparison()
	return m
}

// resetComparison starts a new comparison. The false-alarm probability is split between the
// stages except the last, which has nothing to compare with.
func (m *Machine) resetComparison() {
	m.comparison = NewComparison(m.plan.Margin, m.plan.FalseAlarm/float64(max(1, len(m.plan.Stages)-1)))
	m.lines, m.answer = nil, Undecided
}

// Apply applies a record. It rejects a record that is out of sequence or names an unknown
// dispatcher, and changes nothing then.
func (m *Machine) Apply(r Record) error {
	if r.Seq != m.seq+1 {
		return fmt.Errorf("rollout: record %d follows %d", r.Seq, m.seq)
	}
	i := slices.IndexFunc(m.plan.Dispatchers, func(d Dispatcher) bool { return d.Name == r.Dispatcher })
	if i < 0 && (r.Dispatcher != "" || r.Kind == Upgrade || r.Kind == Upgraded || r.Kind == Revert || r.Kind == Reverted) {
		return fmt.Errorf("rollout: record %d names dispatcher %q, which the plan has not", r.Seq, r.Dispatcher)
	}
	m.seq = r.Seq
	switch r.Kind {
	case Begin:
		m.state, m.stage = Rolling, 0
	case Upgrade:
		// It may run the new version from now on. Its steward restarts the crash counter.
		m.dispatchers[i].isNew = true
		m.dispatchers[i].lastCrashes, m.dispatchers[i].crashesKnown, m.dispatchers[i].hasFigures = 0, true, false
		m.pending = Act{r.Seq, i, true}
	case Revert:
		m.pending = Act{r.Seq, i, false}
		m.dispatchers[i].lastCrashes, m.dispatchers[i].crashesKnown, m.dispatchers[i].hasFigures = 0, true, false
	case Upgraded:
		m.pending, m.upgradeFault = Act{}, r.Fault
		if r.Fault != "" {
			m.upgradeFault = fmt.Sprintf("%s: %s", r.Dispatcher, r.Fault)
		}
	case Reverted:
		m.pending = Act{}
		m.dispatchers[i].isNew, m.dispatchers[i].notReverted = r.Fault != "", r.Fault != ""
	case Watch:
		m.state, m.watchBegan = Watching, -1
		m.resetComparison()
	case Pass:
		m.stage++
		m.state = Rolling
		m.resetComparison()
	case Hold:
		m.holdReason = r.Why
	case Resume:
		m.holdReason, m.watchBegan = "", -1
		if m.state == Watching {
			m.resetComparison()
		}
	case RollBack:
		m.state, m.holdReason = RollingBack, ""
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

// Acts returns the acts to perform now. They stay the same until a record of their outcome
// is applied.
func (m *Machine) Acts() []Act {
	if m.pending.Seq == 0 {
		return nil
	}
	return []Act{m.pending}
}

// Ended reports whether the change has ended.
func (m *Machine) Ended() bool { return m.state == Done || m.state == Stopped }

// OperatorRecord returns the record for an operator's request, or an error if the request is not possible
// now.
func (m *Machine) OperatorRecord(k Kind, why string) (Record, error) {
	switch {
	case m.Ended():
		return Record{}, fmt.Errorf("the change is %s", m.state)
	case k == Hold && m.holdReason != "":
		return Record{}, fmt.Errorf("it is held already: %s", m.holdReason)
	case k == Resume && m.holdReason == "":
		return Record{}, fmt.Errorf("it is not held")
	case k == RollBack && m.state == RollingBack:
		return Record{}, fmt.Errorf("it goes back already")
	case k == Hold && m.state == RollingBack:
		return Record{}, fmt.Errorf("it goes back, which is not held")
	}
	return m.newRecord(k, why), nil
}

func (m *Machine) newRecord(k Kind, why string) Record {
	r := Record{Seq: m.seq + 1, Kind: k, Stage: m.stage, Why: why}
	if k == Pass || k == RollBack || k == Hold {
		r.Compared = m.lines
	}
	return r
}

func (m *Machine) dispatcherRecord(k Kind, i int, fault string) Record {
	r := m.newRecord(k, "")
	r.Dispatcher, r.Fault = m.plan.Dispatchers[i].Name, fault
	return r
}

// Step evaluates the reports of the stewards, in the plan's order, and returns the next
// decision, if one is due. The caller must persist, apply and act on it before the next Step.
func (m *Machine) Step(now time.Duration, seen []Report) (Record, bool) {
	if !m.started {
		m.started, m.startedAt = true, now
	}
	m.waitingFor = ""
	if m.Ended() || len(seen) != len(m.dispatchers) {
		return Record{}, false
	}
	m.observe(now, seen)
	if r, due := m.actOutcome(now, seen); due || m.pending.Seq > 0 {
		return r, due
	}
	if m.state == RollingBack {
		return m.revertNext(), true
	}
	if m.holdReason != "" {
		return Record{}, false
	}
	if why := m.blockedReason(now, seen); why != "" {
		return m.newRecord(Hold, why), true
	}
	if why := m.rollBackReason(seen); why != "" {
		return m.newRecord(RollBack, why), true
	}
	switch m.state {
	case Planned:
		return m.newRecord(Begin, m.plan.String()), true
	case Rolling:
		return m.upgradeNext(seen)
	case Watching:
		return m.watchStage(now)
	}
	return Record{}, false
}

// observe adds the reports to the comparison, as differences between two reports of the same
// process.
func (m *Machine) observe(now time.Duration, seen []Report) {
	elapsed := 0.0
	if m.lastStep > 0 {
		elapsed = (now - m.lastStep).Seconds()
	}
	m.lastStep = max(1, now)
	for i := range seen {
		s, u := &seen[i], &m.dispatchers[i]
		if !s.Reached {
			if u.lastReached == 0 {
				u.lastReached = m.startedAt
			}
			continue
		}
		u.lastReached = now
		if m.pending.Seq > 0 && m.pending.Dispatcher == i { // its report may predate the act
			u.hasFigures = false
			continue
		}
		m.countCrashes(u, s.Crashes, elapsed)
		if s.InProgress || s.Figures.Process == "" {
			u.hasFigures = false
			continue
		}
		if u.hasFigures && u.lastFigures.Process == s.Figures.Process {
			m.comparison.Add(now, m.plan.Dispatchers[i].Zone, u.isNew, figuresSince(s.Figures, u.lastFigures))
		} else {
			u.memorySamples, u.sampleTimes = nil, nil
		}
		u.lastFigures, u.hasFigures = s.Figures, true
		if len(u.memorySamples) < 1000 {
			u.memorySamples, u.sampleTimes = append(u.memorySamples, s.Figures.Memory), append(u.sampleTimes, now.Seconds())
		}
	}
}

// countCrashes adds a dispatcher's crashes since its last report.
func (m *Machine) countCrashes(u *dispatcherState, crashes int, elapsed float64) {
	side := 0
	if u.isNew {
		side = 1
	}
	m.exposure[side] += elapsed
	if u.crashesKnown && crashes > u.lastCrashes {
		m.crashes[side] += float64(crashes - u.lastCrashes)
	}
	u.lastCrashes, u.crashesKnown = crashes, true
}

// figuresSince returns what a process has done between two reports.
func figuresSince(now, before figures.Figures) figures.Figures {
	d := figures.Figures{Process: now.Process, Worth: now.Worth, CPU: now.CPU - before.CPU, Memory: now.Memory, Classes: map[string]figures.Counts{}}
	for name, c := range now.Classes {
		c.Add(before.Classes[name], -1)
		d.Classes[name] = c
	}
	return d
}

// actOutcome returns the record of the pending act's outcome, or a hold if its steward does not
// respond.
func (m *Machine) actOutcome(now time.Duration, seen []Report) (Record, bool) {
	a := m.pending
	if a.Seq == 0 {
		return Record{}, false
	}
	s, u := &seen[a.Dispatcher], &m.dispatchers[a.Dispatcher]
	if m.actClock.seq != a.Seq || !s.Reached {
		m.actClock.seq, m.actClock.at = a.Seq, now
	}
	ignored := s.Reached && s.Act != a.Seq && now-m.actClock.at > unreachableAfter
	k := Reverted
	if a.New {
		k = Upgraded
	}
	switch {
	case s.Reached && s.Act == a.Seq && !s.InProgress:
		return m.dispatcherRecord(k, a.Dispatcher, s.Fault), true
	case s.Reached && s.OtherChange != "":
		return m.dispatcherRecord(k, a.Dispatcher, "belongs to change "+s.OtherChange), true
	case ignored && (!a.New || m.state == RollingBack):
		return m.dispatcherRecord(k, a.Dispatcher, "does not take the act"), true
	case ignored && m.holdReason == "":
		return m.newRecord(Hold, m.plan.Dispatchers[a.Dispatcher].Name+" does not take its act"), true
	case !s.Reached && now-u.lastReached > unreachableAfter && (!a.New || m.state == RollingBack): // do not block the rest of the rollback
		return m.dispatcherRecord(k, a.Dispatcher, "out of reach"), true
	case !s.Reached && now-u.lastReached > unreachableAfter && m.holdReason == "":
		return m.newRecord(Hold, m.plan.Dispatchers[a.Dispatcher].Name+" is out of reach in its upgrade"), true
	}
	m.waitingFor = fmt.Sprintf("for %s", m.plan.Dispatchers[a.Dispatcher].Name)
	return Record{}, false
}

// revertNext returns upgraded dispatchers to the old version, the last upgraded first, and ends
// the change when none is left.
func (m *Machine) revertNext() Record {
	for n := len(m.order) - 1; n >= 0; n-- {
		if u := &m.dispatchers[m.order[n]]; u.isNew && !u.notReverted {
			return m.dispatcherRecord(Revert, m.order[n], "")
		}
	}
	r := m.newRecord(End, "")
	r.Fault = "taken back"
	var stuck []string
	for i, u := range m.dispatchers {
		if u.notReverted {
			stuck = append(stuck, m.plan.Dispatchers[i].Name)
		}
	}
	if len(stuck) > 0 {
		r.Why = "not returned: " + strings.Join(stuck, ", ")
	}
	return r
}

// blockedReason returns why the change must be held for want of reliable reports, or "".
func (m *Machine) blockedReason(now time.Duration, seen []Report) string {
	unreachable := 0
	for i := range seen {
		switch {
		case seen[i].OtherChange != "":
			return fmt.Sprintf("%s belongs to change %s", m.plan.Dispatchers[i].Name, seen[i].OtherChange)
		case !seen[i].Reached && now-m.dispatchers[i].lastReached > unreachableAfter:
			unreachable++
		}
	}
	if 2*unreachable >= len(seen) {
		return fmt.Sprintf("%d of %d stewards are out of reach", unreachable, len(seen))
	}
	return ""
}

// rollBackReason returns why the change must be rolled back regardless of the statistical
// comparison, or "".
func (m *Machine) rollBackReason(seen []Report) string {
	if m.upgradeFault != "" {
		return "an upgrade failed: " + m.upgradeFault
	}
	var memory [2][]float64
	for i := range seen {
		u := &m.dispatchers[i]
		side := 0
		if u.isNew {
			side = 1
			if seen[i].FellBack {
				return m.plan.Dispatchers[i].Name + " has fallen back by itself after crashes"
			}
		}
		if u.hasFigures && len(u.memorySamples) > 0 {
			memory[side] = append(memory[side], u.lastFigures.Memory)
		}
	}
	if m.crashes[1] >= minCrashes && m.crashes[1]*m.exposure[0] > maxCrashRatio*m.crashes[0]*m.exposure[1] {
		return fmt.Sprintf("%.0f crashes of new dispatchers in %.0f s of them, %.0f of old ones in %.0f s", m.crashes[1], m.exposure[1], m.crashes[0], m.exposure[0])
	}
	if len(memory[0]) == 0 || len(memory[1]) == 0 {
		return ""
	}
	old := slices.Max(memory[0])
	for i := range m.dispatchers {
		if u := &m.dispatchers[i]; u.isNew && len(u.memorySamples) >= minLeakSamples && u.lastFigures.Memory > old*(1+memoryExcessShare)+memoryExcessMB {
			if _, slope := stat.LinearRegression(u.sampleTimes, u.memorySamples, nil, false); slope*60 > leakMBPerMinute {
				return fmt.Sprintf("memory of %s is %.0f MB and grows by %.0f MB a minute; old ones have %.0f MB at most", m.plan.Dispatchers[i].Name, u.lastFigures.Memory, slope*60, old)
			}
		}
	}
	return ""
}

// upgradeNext upgrades the next dispatcher of the stage, unless too many are out of service or a
// zone is in trouble.
func (m *Machine) upgradeNext(seen []Report) (Record, bool) {
	for i := range seen {
		if len(seen[i].Figures.ZonesLeft) > 0 && seen[i].Reached {
			m.waitingFor = "zone " + seen[i].Figures.ZonesLeft[0] + " is left or returns"
			return Record{}, false
		}
	}
	if answer, lines := m.comparison.Verdict(); answer == Worse { // dispatchers upgraded so far
		m.lines, m.answer = lines, answer
		return m.newRecord(RollBack, "the new ones are worse: "+describeWorse(lines)), true
	}
	outOfService := 0
	for i := range seen {
		if !seen[i].Reached || !seen[i].InService {
			outOfService++
		}
	}
	for _, i := range m.order[:m.plan.dispatchersThrough(m.plan.Stages[m.stage])] {
		if m.dispatchers[i].isNew {
			continue
		}
		if outOfService >= m.plan.MaxOutOfService {
			m.waitingFor = fmt.Sprintf("%d dispatchers are out", outOfService)
			return Record{}, false
		}
		return m.dispatcherRecord(Upgrade, i, ""), true
	}
	return m.newRecord(Watch, ""), true
}

// watchStage decides on a stage whose dispatchers are all upgraded.
func (m *Machine) watchStage(now time.Duration) (Record, bool) {
	if m.watchBegan < 0 {
		m.watchBegan = now
	}
	s := m.plan.Stages[m.stage]
	m.answer, m.lines = m.comparison.Verdict()
	lastStage := m.stage == len(m.plan.Stages)-1
	watchedEnough := now-m.watchBegan >= s.MinWatch
	switch {
	case lastStage && watchedEnough: // no dispatcher is left on the old version to compare with
		return m.newRecord(End, ""), true
	case lastStage:
	case m.answer == Worse:
		return m.newRecord(RollBack, "the new ones are worse: "+describeWorse(m.lines)), true
	case m.answer == NotWorse && watchedEnough && m.comparison.Messages >= float64(s.MinMessages):
		return m.newRecord(Pass, ""), true
	case now-m.watchBegan >= s.MaxWatch:
		return m.newRecord(Hold, fmt.Sprintf("not told after %v and %.0f messages", s.MaxWatch, m.comparison.Messages)), true
	}
	m.waitingFor = fmt.Sprintf("%s after %v and %.0f messages", m.answer, (now - m.watchBegan).Round(time.Second), m.comparison.Messages)
	return Record{}, false
}

// describeWorse lists the figures that are worse.
func describeWorse(lines []Line) string {
	var out []string
	for _, l := range lines {
		if l.Answer == Worse {
			out = append(out, l.String())
		}
	}
	return strings.Join(out, "; ")
}

// Status summarizes a change.
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

// Status returns the current status of the change.
func (m *Machine) Status() Status {
	s := Status{Change: m.plan.Change, State: m.state, Stage: m.stage + 1, Stages: len(m.plan.Stages), Held: m.holdReason, Waits: m.waitingFor,
		New: []string{}, Answer: m.answer.String(), Messages: m.comparison.Messages, LastRecord: m.seq}
	for i, u := range m.dispatchers {
		if u.isNew {
			s.New = append(s.New, m.plan.Dispatchers[i].Name)
		}
		if u.notReverted {
			s.NotBack = append(s.NotBack, m.plan.Dispatchers[i].Name)
		}
	}
	for _, l := range m.lines {
		s.Compared = append(s.Compared, l.String())
	}
	return s
}
