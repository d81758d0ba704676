package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yardwharf/internal/decide/figures"
	"yardwharf/internal/decide/script"
)

const text = `change("c", build = "/new")
stage(percent = 10, least = "10s", most = "1m", messages = 10)
stage(percent = 50, least = "10s", most = "1m", messages = 10)
stage(percent = 100, least = "10s")
[dispatcher("n%d" % i, zone = "abc"[i % 3], steward = "127.0.0.1:%d" % (1000 + i)) for i in range(9)]
`

func planOf(t interface{ Fatal(...any) }) *Plan {
	p, err := Parse("p.star", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A plan that cannot be used is told in one line with its place and key.
func TestPlanFaults(t *testing.T) {
	p := planOf(t)
	if p.count(p.Stages[0]) != 1 || p.count(p.Stages[1]) != 5 || len(p.order()) != 9 || p.order()[3] != 3 {
		t.Errorf("stages of %d and %d, order %v", p.count(p.Stages[0]), p.count(p.Stages[1]), p.order())
	}
	for change, want := range map[string]string{
		`"/new"`: `p.star:1:21: build: is "new"`, `"c",`: "name: is", `percent = 50`: "percent: is no more", `least = "10s")`: "change: ends before",
		`range(9)`: "two dispatchers", `1000 + i`: "each once", `most = "1m"`: "most: is 1s",
	} {
		to := map[string]string{`"/new"`: `"new"`, `"c",`: `"c d",`, `percent = 50`: "percent = 10", `least = "10s")`: `least = "10s") if False else None`,
			`range(9)`: "range(1)", `1000 + i`: "1000", `most = "1m"`: `most = "1s"`}[change]
		_, err := Parse("p.star", []byte(strings.Replace(text, change, to, 1)))
		var own *script.Error
		if !errors.As(err, &own) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", to, err, want)
		}
	}
}

// world is stewards that may be out of reach and answer late, and a controller that may be
// killed between any two instructions: what it had not written down is gone.
type world struct {
	t       *rapid.T
	plan    *Plan
	log     []Record
	m       *Machine
	now     time.Duration
	rng     *rand.Rand
	isNew   []bool
	act     []int // the last that each has taken
	left    []int // turns until it is done
	fault   []string
	away    []int // turns out of reach
	crashes []int
	taken   map[int]int // by act: how often it was done
	process []int
	counts  []float64
	quiet   bool // no messages
	refuses bool // one takes no acts
	down    bool // one that is not upgraded does not serve
}

func newWorld(t *rapid.T) *world {
	p := planOf(t)
	n := len(p.Dispatchers)
	return &world{t: t, plan: p, m: New(p), rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), isNew: make([]bool, n), act: make([]int, n),
		left: make([]int, n), fault: make([]string, n), away: make([]int, n), crashes: make([]int, n), taken: map[int]int{}, process: make([]int, n), counts: make([]float64, n)}
}

// kill loses all that is not in the log.
func (w *world) kill() {
	w.m = New(w.plan)
	for _, r := range w.log {
		if err := w.m.Apply(r); err != nil {
			w.t.Fatalf("its own record cannot follow: %v", err)
		}
	}
}

func (w *world) seen() []Seen {
	list := make([]Seen, len(w.act))
	for i := range list {
		if w.away[i] > 0 {
			continue
		}
		k := figures.Counts{Taken: w.counts[i], InTime: w.counts[i]}
		list[i] = Seen{Reached: true, Act: w.act[i], Doing: w.left[i] > 0, Fault: w.fault[i], Crashes: w.crashes[i], Serves: !w.down || i != 8,
			Figures: figures.Figures{Process: fmt.Sprint(w.process[i]), Classes: map[string]figures.Counts{"look": k}, Worth: map[string]float64{"look": 1}, Memory: 30}}
	}
	return list
}

// turn is a second of the controller's life, which may end at any point of it.
func (w *world) turn(dies int) {
	w.now += time.Second
	for i := range w.act {
		if w.away[i] > 0 {
			w.away[i]--
		}
		if w.left[i] > 0 {
			if w.left[i]--; w.left[i] == 0 && w.fault[i] == "" {
				w.process[i]++
				w.counts[i] = 0
			}
		}
		if !w.quiet {
			w.counts[i] += 10 + float64(w.rng.IntN(10))
		}
	}
	seen := w.seen()
	for point := 0; ; point += 2 {
		r, due := w.m.Step(w.now, seen)
		if !due {
			break
		}
		if point == dies { // before the write
			w.kill()
			return
		}
		w.log = append(w.log, r)
		if point+1 == dies { // after it
			w.kill()
			return
		}
		if err := w.m.Apply(r); err != nil {
			w.t.Fatalf("record %+v: %v", r, err)
		}
	}
	out := 0
	for _, a := range w.m.Acts() {
		if w.away[a.Dispatcher] == 0 && w.rng.IntN(4) > 0 { // some are lost on the way
			w.do(a)
		}
	}
	for i := range w.act {
		if w.left[i] > 0 {
			out++
		}
	}
	if out > w.plan.Out {
		w.t.Fatalf("%d dispatchers are out at once, %d may be", out, w.plan.Out)
	}
	if dies >= 0 {
		w.kill()
	}
}

// do is a steward that takes an act, once.
func (w *world) do(a Act) {
	i := a.Dispatcher
	if w.act[i] >= a.Seq || w.refuses && i == 0 {
		return
	}
	if len(w.log) < a.Seq || w.log[a.Seq-1].Kind != Upgrade && w.log[a.Seq-1].Kind != Return {
		w.t.Fatalf("act %d is not in the record", a.Seq)
	}
	w.act[i], w.crashes[i] = a.Seq, 0
	w.taken[a.Seq]++
	if w.isNew[i] != a.New {
		w.isNew[i], w.left[i] = a.New, 1+w.rng.IntN(4)
	}
}

// Whatever the order of crashes, lost and late answers, each step is done once and written down
// before, no more dispatchers are out than may be, and the change comes to an end: all new, or
// none but those that are named.
func TestContinued(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(0, 60).Draw(t, "troubled turns") {
			switch rapid.IntRange(0, 9).Draw(t, "trouble") {
			case 0:
				w.away[rapid.IntRange(0, 8).Draw(t, "who")] = rapid.IntRange(1, 40).Draw(t, "turns")
			case 1:
				w.crashes[rapid.IntRange(0, 8).Draw(t, "who")]++
			case 2:
				if r, err := w.m.Ask(rapid.SampledFrom([]Kind{Hold, Go, GoBack}).Draw(t, "wish"), "by hand"); err == nil {
					w.log = append(w.log, r)
					w.kill()
				}
			case 3:
				w.turn(rapid.IntRange(0, 4).Draw(t, "dies"))
			default:
				w.turn(-1)
			}
		}
		for range 400 {
			if w.m.held != "" {
				r, _ := w.m.Ask(Go, "by hand")
				w.log = append(w.log, r)
				w.kill()
			}
			w.turn(-1)
		}
		st := w.m.Status()
		if w.m.Apply(Record{Seq: 1, Kind: Begin}) == nil || w.m.Apply(Record{Seq: w.m.seq + 2, Kind: Go}) == nil {
			t.Fatal("a record that does not follow is taken")
		}
		if !w.m.Over() {
			t.Fatalf("it has not ended: %+v", st)
		}
		for i, d := range w.plan.Dispatchers {
			named := strings.Contains(strings.Join(st.NotBack, " "), d.Name)
			if w.isNew[i] != (st.State == Done) && !named {
				t.Fatalf("%s at the end of a change that is %s: new is %v", d.Name, st.State, w.isNew[i])
			}
		}
		for act, times := range w.taken {
			if times > 1 {
				t.Fatalf("act %d was done %d times", act, times)
			}
		}
		text, err := json.Marshal(w.log)
		var again []Record
		if err != nil || json.Unmarshal(text, &again) != nil || len(again) != len(w.log) {
			t.Fatalf("the record does not read back: %v", err)
		}
	})
}

// What stops, holds or lets go a change that has no other fault.
func TestDecides(t *testing.T) {
	for name, c := range map[string]struct {
		change func(w *world, turn int)
		state  State
		held   string
		why    string
	}{
		"nothing is wrong": {func(*world, int) {}, Done, "", ""},
		"no traffic":       {func(w *world, _ int) { w.quiet = true }, Watching, "not told", ""},
		"an upgrade fails": {func(w *world, _ int) { w.fault[0] = "not ready" }, Stopped, "", "n0: not ready"},
		"new ones crash": {func(w *world, turn int) {
			if turn%10 == 9 && w.isNew[0] {
				w.crashes[0]++
			}
		}, Stopped, "", "crashes"},
		"all crash alike": {func(w *world, turn int) {
			if turn%10 == 9 {
				for i := range w.crashes {
					w.crashes[i]++
				}
			}
		}, Done, "", ""},
		"one crash": {func(w *world, turn int) {
			if turn == 20 {
				w.crashes[0]++
			}
		}, Done, "", ""},
		"one is out":       {func(w *world, _ int) { w.down = true }, Rolling, "", ""},
		"one takes no act": {func(w *world, _ int) { w.refuses = true }, Rolling, "does not take", ""},
		"one takes no act, back": {func(w *world, turn int) {
			if w.refuses = true; turn == 5 {
				r, _ := w.m.Ask(GoBack, "by hand")
				w.log = append(w.log, r)
				w.kill()
			}
		}, Stopped, "", "by hand"},
		"half are out of reach": {func(w *world, turn int) {
			for i := range 5 {
				w.away[i] = 2
			}
		}, Rolling, "out of reach", ""},
		"new ones lose a tenth": {func(w *world, _ int) {
			for i, isNew := range w.isNew {
				if isNew && w.left[i] == 0 {
					w.counts[i] -= 1.5 // of what was in time; the rest of the world counts them as not taken
				}
			}
		}, Done, "", ""}, // fewer messages are no fault of its own
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t)
				for turn := range 150 {
					c.change(w, turn)
					w.turn(-1)
				}
				st := w.m.Status()
				why := ""
				for _, r := range w.log {
					if r.Kind == GoBack {
						why = r.Why
					}
				}
				if st.State != c.state || !strings.Contains(st.Held, c.held) || (c.held == "") != (st.Held == "") || !strings.Contains(why, c.why) {
					t.Fatalf("%s, held %q, back because of %q; want %s, %q, %q", st.State, st.Held, why, c.state, c.held, c.why)
				}
			})
		})
	}
}

// The interval holds the truth whenever it is looked at, and narrows.
func TestInterval(t *testing.T) {
	missed := 0
	const runs = 400
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var s series
		for n := range 200 {
			s.values, s.weights = append(s.values, 0.1+rng.NormFloat64()), append(s.weights, 1)
			if in, known := s.interval(0.05); known && (in.Low > 0.1 || in.High < 0.1) {
				missed++
				break
			} else if n == 199 && in.High-in.Low > 0.7 {
				t.Fatalf("after 200 blocks it is still %v", in)
			}
		}
	}
	if missed > runs/20 {
		t.Errorf("in %d of %d runs the truth lay outside once, want 5%% at most", missed, runs)
	}
}
