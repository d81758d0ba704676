package zones

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// yard is a fleet in virtual time: dispatchers in zones that take turns, datagrams that are
// late, lost and doubled, and links between zones that are dark or not.
type yard struct {
	fleets []*Fleet
	zones  int
	rng    *rand.Rand
	now    time.Duration
	loss   float64
	rate   float64                                      // ends a second of a dispatcher in each zone that it draws from
	dark   func(from, zone int, now time.Duration) bool // from a dispatcher to a zone
	deaf   func(i int, now time.Duration) bool          // its datagrams do not get through
	still  func(i int, now time.Duration) bool          // stopped
	cold   func(zone int, now time.Duration) bool       // hosts start anew at this turn
	mail   []letter
	left   []map[int]time.Duration // by dispatcher: when it left a zone, first
	back   []map[int]time.Duration // when it was all back
	moves  int
	bytes  int
	sent   int
	wasted int // ends in the dark after the loss
	hint   map[[2]int]bool
	probed map[[2]int]time.Duration
	due    map[[2]int]int
}

type letter struct {
	at   time.Duration
	to   int
	data []byte
}

func newYard(t testing.TB, dispatchers, zones int, seed uint64) *yard {
	y := &yard{zones: zones, rng: rand.New(rand.NewPCG(seed, 5)), rate: 1.5, now: time.Minute, hint: map[[2]int]bool{}, probed: map[[2]int]time.Duration{}, due: map[[2]int]int{}}
	no := func(int, time.Duration) bool { return false }
	y.deaf, y.still, y.cold = no, no, no
	y.dark = func(int, int, time.Duration) bool { return false }
	for i := range dispatchers {
		f, err := New(Config{Me: i, Dispatchers: dispatchers, Zone: i % zones, Zones: zones, Ramp: 10 * time.Second, Start: 0.1, Room: 249, Seed: seed + uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		y.fleets = append(y.fleets, f)
		y.left, y.back = append(y.left, map[int]time.Duration{}), append(y.back, map[int]time.Duration{})
	}
	return y
}

// play lets time pass, a turn of each dispatcher in each tenth of a second.
func (y *yard) play(d time.Duration) {
	for end := y.now + d; y.now < end; y.now += 100 * ms {
		slices.SortStableFunc(y.mail, func(a, b letter) int { return int(a.at - b.at) })
		n := 0
		for ; n < len(y.mail) && y.mail[n].at <= y.now; n++ {
			if m := y.mail[n]; !y.still(m.to, y.now) {
				y.fleets[m.to].Hear(m.at, m.data)
			}
		}
		y.mail = append([]letter(nil), y.mail[n:]...)
		for i, f := range y.fleets {
			if !y.still(i, y.now) {
				y.turn(i, f)
			}
		}
	}
}

func (y *yard) turn(i int, f *Fleet) {
	seen := make([]Seen, y.zones)
	end := func(zone int) {
		if y.dark(i, zone, y.now) {
			seen[zone].Silent++
			y.wasted++
			y.hint[[2]int{i, zone}] = true
		} else {
			seen[zone].Heard++
		}
	}
	for zone := range y.zones {
		if y.cold(zone, y.now) {
			f.Restarted(zone)
		}
		for p := y.rate / 10 * f.Part(y.now, zone); p > 0; p-- {
			if y.rng.Float64() < p {
				end(zone)
			}
		}
	}
	for zone := range y.zones { // as the Balancer does, a silent end has some hosts probed
		k := [2]int{i, zone}
		if y.hint[k] && y.now-y.probed[k] >= time.Second {
			y.probed[k], y.due[k] = y.now, 3
		}
		for ; y.due[k] > 0; y.due[k]-- {
			end(zone)
		}
		y.hint[k] = false
	}
	t := f.Turn(y.now, seen)
	for _, zone := range t.Look { // three probes come back before the next turn
		y.due[[2]int{i, zone}] = 3
	}
	for _, c := range t.Changes {
		y.moves++
		switch _, was := y.left[i][c.Zone]; {
		case c.Phase == Gone && !was:
			y.left[i][c.Zone] = y.now
		case c.Phase == Here:
			y.back[i][c.Zone] = y.now
		}
	}
	for _, to := range t.Tell {
		y.sent++
		y.bytes += len(t.Message)
		for range 1 + y.rng.IntN(20)/19 { // some are doubled
			if y.rng.Float64() >= y.loss && !y.deaf(i, y.now) && !y.deaf(to, y.now) {
				y.mail = append(y.mail, letter{y.now + time.Duration(1+y.rng.IntN(120))*ms, to, t.Message})
			}
		}
	}
}

// within says how long after a time a part of the dispatchers had left a zone; -1: never.
func (y *yard) within(from time.Duration, zone int, part float64, viewers func(i int) bool) time.Duration {
	var took []time.Duration
	all := 0
	for i := range y.fleets {
		if viewers(i) {
			all++
			if at, left := y.left[i][zone]; left {
				took = append(took, at-from)
			}
		}
	}
	slices.Sort(took)
	if n := int(part*float64(all)+0.999) - 1; n < len(took) {
		return took[n]
	}
	return -1
}

// A zone is lost and returns: nearly all leave within the aim though a third of the
// datagrams is lost, nobody leaves another, and each changes twice and once more at the end
// of the way back.
func TestLostZone(t *testing.T) {
	for _, c := range []struct {
		dispatchers int
		loss        float64
		aim         time.Duration
	}{{6, 0, 2500 * ms}, {30, 0.33, 1500 * ms}, {300, 0, 1500 * ms}, {300, 0.3, 1500 * ms}} {
		y := newYard(t, c.dispatchers, 3, 7)
		y.loss = c.loss
		lost, found := y.now+5*time.Second, y.now+15*time.Second
		y.dark = func(_, zone int, now time.Duration) bool { return zone == 2 && now >= lost && now < found }
		y.cold = func(zone int, now time.Duration) bool { return zone == 2 && now == found }
		y.play(40 * time.Second)
		all := func(int) bool { return true }
		if took := y.within(lost, 2, 0.95, all); took < 0 || took > c.aim {
			t.Errorf("%d dispatchers, %.0f%% lost: 95%% have left after %v, want %v", c.dispatchers, 100*c.loss, took, c.aim)
		}
		for i := range y.fleets {
			back, is := y.back[i][2]
			if len(y.left[i]) != 1 || !is || back < found+10*time.Second || back > found+14*time.Second {
				t.Fatalf("dispatcher %d of %d: left %v, back %v after the return, with a ramp of 10 s", i, c.dispatchers, y.left[i], back-found)
			}
		}
		if each := float64(y.moves) / float64(c.dispatchers); each > 3.05 {
			t.Errorf("%d dispatchers: %.2f changes each, want left, returns, here", c.dispatchers, each)
		}
		t.Logf("%d dispatchers, %.0f%% lost: %v, %.0f B/s each, %d ends in the dark", c.dispatchers, 100*c.loss, y.within(lost, 2, 0.95, all), float64(y.bytes)/float64(c.dispatchers)/40, y.wasted)
	}
}

// What must not make anyone leave, and who leaves what where only some are cut off.
func TestWhoLeaves(t *testing.T) {
	type faults struct {
		dark func(from, zone int) bool
		deaf func(i int) bool
	}
	for name, c := range map[string]struct {
		faults
		leaves func(i, zone int) bool
	}{
		"one dispatcher is cut off from a zone": {faults{dark: func(from, zone int) bool { return from == 4 && zone == 2 }}, func(int, int) bool { return false }},
		"one is cut off from all":               {faults{dark: func(from, _ int) bool { return from == 4 }}, func(int, int) bool { return false }},
		"three of one zone are ill":             {faults{dark: func(from, _ int) bool { return from < 9 && from%3 == 1 }}, func(int, int) bool { return false }},
		"a zone is cut off from another": {faults{dark: func(from, zone int) bool { return from%3 != zone && (from%3 == 2 || zone == 2) }},
			func(i, zone int) bool { return i%3 != zone && (zone == 2 || i%3 == 2) }},
		"a minority":       {faults{dark: func(from, zone int) bool { return from%3 == 0 && from < 9 && zone == 1 }}, func(int, int) bool { return false }},
		"their own zone":   {faults{dark: func(_, zone int) bool { return zone == 0 }}, func(_, zone int) bool { return zone == 0 }},
		"one that is deaf": {faults{dark: func(_, zone int) bool { return zone == 0 }, deaf: func(i int) bool { return i == 5 }}, func(i, zone int) bool { return zone == 0 && i != 5 }},
	} {
		for seed := range uint64(20) {
			y := newYard(t, 30, 3, seed)
			y.loss = 0.2
			from := y.now + 4*time.Second
			y.dark = func(i, zone int, now time.Duration) bool { return now >= from && c.dark(i, zone) }
			if c.deaf != nil {
				y.deaf = func(i int, _ time.Duration) bool { return c.deaf(i) }
			}
			y.play(14 * time.Second)
			for i := range y.fleets {
				for zone := range 3 {
					if _, left := y.left[i][zone]; left != c.leaves(i, zone) {
						t.Errorf("%s (seed %d): dispatcher %d left zone %d: %v", name, seed, i, zone, left)
					}
				}
			}
		}
	}
}

// One that was stopped wakes with old evidence, and says nothing by it.
func TestStopped(t *testing.T) {
	y := newYard(t, 9, 3, 3)
	lost, found := y.now+3*time.Second, y.now+6*time.Second
	y.dark = func(_, zone int, now time.Duration) bool { return zone == 1 && now >= lost && now < found }
	y.still = func(i int, now time.Duration) bool {
		return i%3 == 0 && now >= lost+300*ms && now < lost+20*time.Second
	}
	y.play(40 * time.Second)
	for i := range y.fleets {
		if at, left := y.left[i][1]; i%3 == 0 && left && at > found+10*time.Second {
			t.Errorf("dispatcher %d, which was stopped, left at %v for what had passed at %v", i, at, found)
		}
		if part := y.fleets[i].Part(y.now, 1); part != 1 {
			t.Errorf("dispatcher %d draws %v of its share in a zone that has long returned", i, part)
		}
	}
}

// A zone that is lost again on its way back is left again, for longer.
func TestLostAgain(t *testing.T) {
	y := newYard(t, 30, 3, 9)
	at := y.now
	gone := func(now time.Duration) bool {
		s := now - at
		return s >= 3*time.Second && s < 8*time.Second || s >= 12*time.Second && s < 16*time.Second
	}
	y.dark = func(_, zone int, now time.Duration) bool { return zone == 0 && gone(now) }
	y.cold = func(zone int, now time.Duration) bool { return zone == 0 && now == at+8*time.Second }
	y.play(45 * time.Second)
	for i, f := range y.fleets {
		if f.Part(y.now, 0) != 1 || f.decided[[2]uint8{uint8(i % 3), 0}].gen != 4 || f.falls[0] != 1 {
			t.Fatalf("dispatcher %d: part %v, %+v, %d falls", i, f.Part(y.now, 0), f.decided[[2]uint8{uint8(i % 3), 0}], f.falls[0])
		}
	}
}

// Messages in any order, any number of times, some of them lost on the way of another that
// says as much, leave the same words and decisions; what is no message changes nothing.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var letters [][]byte
		y := newYard(nopT{}, 8, 3, rapid.Uint64().Draw(t, "seed"))
		from := y.now + 2*time.Second
		y.dark = func(_, zone int, now time.Duration) bool { return zone == 1 && now >= from }
		for n := range 40 {
			if n == 10 || n == 20 {
				y.fleets[n/10].Obey(0, Order{uint16(n / 10), n == 10})
			}
			y.play(100 * ms)
			for _, m := range y.mail {
				letters = append(letters, m.data)
			}
		}
		state := func(order []int) string {
			f, _ := New(Config{Me: 0, Dispatchers: 8, Zone: 0, Zones: 3, Ramp: time.Second, Start: 0.1, Room: 249})
			for _, i := range order {
				f.Hear(y.now, letters[i])
			}
			out := ""
			for i := 1; i < 8; i++ {
				out += fmt.Sprint(f.words[i].stamp, f.words[i].says, " ")
			}
			for viewers := range 3 {
				for zone := range 3 {
					d := f.at(viewers, zone)
					out += fmt.Sprint(d.gen, d.phase, f.Order(zone), " ")
				}
			}
			return out
		}
		order := make([]int, len(letters))
		for i := range order {
			order[i] = i
		}
		want := state(order)
		shuffled := rapid.Permutation(order).Draw(t, "order")
		doubled := append(append([]int(nil), shuffled...), rapid.SliceOfN(rapid.IntRange(0, len(letters)-1), 0, 20).Draw(t, "again")...)
		if got := state(doubled); got != want {
			t.Fatalf("in another order\n%s\nwant\n%s", got, want)
		}
		f := y.fleets[0]
		before := fmt.Sprintf("%+v", f.words)
		decided := map[[2]uint8]decision{}
		for k, d := range f.decided {
			decided[k] = *d
		}
		junk := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "junk")
		if len(junk) > 0 && junk[0] == layout {
			junk[0]++
		}
		f.Hear(y.now, junk)
		after := map[[2]uint8]decision{}
		for k, d := range f.decided {
			after[k] = *d
		}
		if fmt.Sprintf("%+v", f.words) != before || !reflect.DeepEqual(decided, after) {
			t.Fatal("what is no message has changed something")
		}
	})
}

// A zone is left by hand though one alone was told and a third of the datagrams is lost; new
// processes that know nothing stay out; it is returned to when another is told.
func TestByHand(t *testing.T) {
	y := newYard(t, 30, 3, 11)
	y.loss = 0.33
	y.play(2 * time.Second)
	told := func(i int, away bool) {
		o, err := y.fleets[i].Ask(y.now, 1, away)
		if err != nil || !y.fleets[i].Obey(1, o) || y.fleets[i].Obey(1, o) {
			t.Fatalf("order %+v: %v", o, err)
		}
	}
	parts := func(what string, want float64) {
		t.Helper()
		for i, f := range y.fleets {
			if got := f.Part(y.now, 1); got != want {
				t.Fatalf("%s: dispatcher %d draws %v of its share, want %v", what, i, got, want)
			}
		}
	}
	told(4, true)
	y.play(1500 * ms)
	parts("left by hand", 0)
	for i := range 15 {
		f, _ := New(Config{Me: i, Dispatchers: 30, Zone: i % 3, Zones: 3, Ramp: 10 * time.Second, Start: 0.1, Room: 249, Seed: uint64(i)})
		y.fleets[i] = f
	}
	y.play(1500 * ms)
	parts("half of them are new", 0)
	y.play(20 * time.Second) // it answers whoever asks, and nobody does
	parts("much later", 0)
	told(20, false)
	y.play(8 * time.Second)
	parts("returned by hand", 1)

	f := y.fleets[0]
	for zone := range 2 {
		f.Obey(zone, Order{9, true})
	}
	if _, err := f.Ask(y.now, 2, true); err != ErrLast {
		t.Errorf("the last zone: %v", err)
	}
	if f.Obey(0, Order{8, false}) || f.Obey(0, Order{9, false}) || f.Obey(7, Order{1, true}) || !f.Obey(0, Order{10, false}) {
		t.Error("an older order counts, or a newer one does not")
	}
}

// nopT stands for a test where none may fail.
type nopT struct{ testing.TB }

// What cannot be is named.
func TestNew(t *testing.T) {
	good := Config{Dispatchers: 2, Zones: 2, Room: 249}
	for _, change := range []func(*Config){
		func(c *Config) { c.Zones = 0 }, func(c *Config) { c.Zones = Most + 1 }, func(c *Config) { c.Zone = 2 },
		func(c *Config) { c.Me = 2 }, func(c *Config) { c.Dispatchers = 0 }, func(c *Config) { c.Room = 20 },
	} {
		c := good
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}

// A dispatcher accuses a zone only while another answers, and not by what it saw before it
// was stopped; words of before a phase do not end it.
func TestWords(t *testing.T) {
	fresh := func() *Fleet {
		f, err := New(Config{Me: 0, Dispatchers: 3, Zone: 0, Zones: 2, Ramp: time.Second, Start: 0.1, Room: 249})
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	f, now := fresh(), time.Minute
	says := func(what string, want Verdict) {
		t.Helper()
		if got := f.words[0].of(1); got != want {
			t.Errorf("%s: says %d of the zone, want %d", what, got, want)
		}
	}
	f.Turn(now, []Seen{{}, {Silent: 3}})
	says("nothing answers", None)
	f.Turn(now+100*ms, []Seen{{Heard: 1}, {}})
	says("another zone answers", Dark)
	f.Turn(now+200*ms, []Seen{{}, {Heard: 1}})
	says("an answer", Fine)
	if turn := f.Turn(now+300*ms, []Seen{{Silent: 2}, {Silent: 2}}); !turn.Ill || f.words[0].says != 0 {
		t.Errorf("no zone answers: ill %v, says %b", turn.Ill, f.words[0].says)
	}
	f = fresh()
	f.Turn(now, []Seen{{Heard: 1}, {Silent: 3}})
	says("it met with silence", Dark)
	f.Turn(now+2*time.Second, []Seen{{Heard: 1}, {Silent: 5}})
	says("it was stopped", None)

	f = fresh()
	now += 10 * time.Second
	for i := 1; i < 3; i++ { // what others say of before the return
		f.words[i] = word{stamp: 1, says: uint32(Dark) << 2, at: now + 50*ms}
	}
	*f.at(0, 1) = decision{gen: 2, phase: Return, since: now}
	for n := range 8 {
		f.Turn(now+time.Duration(n)*100*ms, nil)
	}
	if p := f.at(0, 1).phase; p != Return {
		t.Errorf("a zone that returns is %v by words of before", p)
	}
}
