package keeper

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yardwharf/internal/decide/rollout"
)

var old, new_ = rollout.Version{Build: "/old", Config: "/c"}, rollout.Version{Build: "/new"}

// machine carries out what a Keeper decides, with processes that start, get ready, crash and
// end when the test says so.
type machine struct {
	t     interface{ Fatalf(string, ...any) }
	k     *Keeper
	now   time.Duration
	runs  map[int]Do
	told  map[int]bool
	saved Saved
	stuck map[string]bool // builds that do not heed
	never map[string]bool // and that are never ready
}

func newMachine(t interface{ Fatalf(string, ...any) }, saved Saved) *machine {
	return &machine{t: t, k: New(saved, old), runs: map[int]Do{}, told: map[int]bool{}, saved: saved, stuck: map[string]bool{}, never: map[string]bool{}}
}

func (m *machine) carry(todo []Do) {
	for _, d := range todo {
		switch d.Kind {
		case Save:
			m.saved = m.k.Saved()
		case Start:
			for _, other := range m.runs {
				if other.Door == d.Door {
					m.t.Fatalf("two processes at door %d", d.Door)
				}
			}
			if m.runs[d.Process] = d; len(m.runs) > 2 {
				m.t.Fatalf("%d processes", len(m.runs))
			}
			if s := m.k.Saved(); s.Doing && s != m.saved {
				m.t.Fatalf("an act begins before it is written down")
			}
		case Term:
			m.told[d.Process] = true
		case Kill:
			m.exit(d.Process)
		}
	}
}

func (m *machine) exit(n int) {
	if _, runs := m.runs[n]; runs {
		delete(m.runs, n)
		m.carry(m.k.Exited(m.now, n, "test"))
	}
}

// pass lets time pass: processes are ready after half a second and end one after they are told.
func (m *machine) pass(d time.Duration) {
	for end := m.now + d; m.now < end; m.now += 500 * time.Millisecond {
		for n := range m.k.Starting() {
			if r, runs := m.runs[n]; runs && !m.never[r.Version.Build] {
				m.carry(m.k.Ready(m.now, n))
			}
		}
		for n := range m.told {
			if r := m.runs[n]; !m.stuck[r.Version.Build] {
				delete(m.told, n)
				m.exit(n)
			}
		}
		m.carry(m.k.Turn(m.now))
	}
}

func (m *machine) build() string {
	n, _, ready := m.k.Current()
	if !ready {
		return ""
	}
	return m.runs[n].Version.Build
}

func (m *machine) ask(change string, act int, to rollout.Version) error {
	todo, err := m.k.Ask(m.now, change, act, to)
	m.carry(todo)
	return err
}

func TestActs(t *testing.T) {
	for name, c := range map[string]struct {
		do    func(m *machine)
		build string
		fault bool
		fell  bool
	}{
		"an upgrade":       {func(m *machine) {}, "/new", false, false},
		"asked again":      {func(m *machine) { m.ask("c", 1, rollout.Version{Build: "/other"}) }, "/new", false, false},
		"asked later":      {func(m *machine) { m.pass(9 * time.Second); m.ask("c", 1, old) }, "/new", false, false},
		"another change":   {func(m *machine) { m.pass(9 * time.Second); m.ask("d", 1, old) }, "/new", false, false},
		"taken back":       {func(m *machine) { m.pass(9 * time.Second); m.ask("c", 2, rollout.Version{}) }, "/old", false, false},
		"never ready":      {func(m *machine) { m.never["/new"] = true }, "/old", true, false},
		"old one is stuck": {func(m *machine) { m.stuck["/old"] = true }, "/new", false, false},
		"it crashes thrice": {func(m *machine) {
			m.pass(9 * time.Second)
			for range 3 {
				n, _, _ := m.k.Current()
				m.exit(n)
				m.pass(3 * time.Second)
			}
		}, "/old", true, true},
		"it crashes twice": {func(m *machine) {
			m.pass(9 * time.Second)
			for range 2 {
				n, _, _ := m.k.Current()
				m.exit(n)
				m.pass(3 * time.Second)
			}
		}, "/new", false, false},
		"the old one crashes meanwhile": {func(m *machine) { n, _, _ := m.k.Current(); m.exit(n) }, "/new", false, false},
		"the new one crashes meanwhile": {func(m *machine) { m.exit(m.k.next) }, "/old", true, false},
	} {
		m := newMachine(t, Saved{})
		m.pass(2 * time.Second)
		if err := m.ask("c", 1, new_); err != nil || m.build() != "/old" {
			t.Fatalf("%s: %v, runs %q", name, err, m.build())
		}
		c.do(m)
		m.pass(40 * time.Second)
		s := m.k.Saved()
		if m.build() != c.build || (s.Fault != "") != c.fault || s.Fell != c.fell || s.Doing || s != m.saved || len(m.runs) != 1 {
			t.Errorf("%s: runs %q (%d processes), %+v, saved %+v", name, m.build(), len(m.runs), s, m.saved)
		}
	}
	m := newMachine(t, Saved{})
	m.pass(time.Second)
	if m.ask("c", 1, new_); !errors.Is(m.ask("d", 1, old), ErrTaken) {
		t.Error("a second change is taken")
	}
	release := func(change string) error {
		todo, err := m.k.Release(change, true)
		m.carry(todo)
		return err
	}
	if release("c") == nil || m.k.Saved().Change != "c" {
		t.Error("it is released in the middle of an act")
	}
	m.pass(9 * time.Second)
	release("d")
	if m.k.Saved().Change != "c" {
		t.Error("another change releases it")
	}
	release("c")
	if s := m.saved; s.Change != "" || s.Good.Build != "/new" || s.Good.Config != "/c" {
		t.Errorf("released: %+v", s)
	}
	m.carry(m.k.End(m.now))
	if m.pass(10 * time.Second); !m.k.Gone() {
		t.Error("it does not end")
	}
}

// Whatever happens in whatever order, also the steward's own death: two processes at most,
// each at its own door, each act written down before it is begun, and in the end one serves.
func TestKeeps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, Saved{})
		act := 0
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				act++
				to := rapid.SampledFrom([]rollout.Version{old, new_, {Build: "/third"}, {}}).Draw(t, "version")
				if m.ask("c", act, to) != nil {
					act--
				}
			case 1:
				for n := range m.runs {
					m.exit(n)
					break
				}
			case 2:
				build := rapid.SampledFrom([]string{"/new", "/third"}).Draw(t, "build")
				m.never[build] = !m.never[build]
			case 3:
				m.stuck["/new"] = !m.stuck["/new"]
			case 4: // the steward dies, and its processes with it
				saved := m.saved
				never, stuck, now := m.never, m.stuck, m.now
				m = newMachine(t, saved)
				m.never, m.stuck, m.now = never, stuck, now
			default:
				m.pass(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			}
		}
		m.never = map[string]bool{}
		m.pass(3 * time.Minute)
		if m.build() == "" || len(m.runs) != 1 || m.k.Saved().Doing {
			t.Fatalf("%d processes, %q serves, %+v", len(m.runs), m.build(), m.k.Saved())
		}
	})
}
