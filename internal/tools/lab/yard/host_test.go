package yard

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"yardwharf/internal/tools/lab/sim"
)

// queue plays Poisson arrivals at one host and returns the mean time in the waiting
// room; draw gives service times in seconds.
func queue(cores int, rate float64, draw func(*rand.Rand) float64, seed uint64) float64 {
	const jobs = 400_000
	c, rng := sim.New(time.Hour), rand.New(rand.NewPCG(seed, 1))
	h := NewHost(c, HostSpec{Cores: float64(cores), Slots: float64(cores), Speed: 1, Queue: math.MaxInt})
	waited, counted, n := 0.0, 0, 0
	var arrive func()
	arrive = func() {
		if n++; n > jobs {
			return
		}
		came, first := c.Now(), n > jobs/20 // the beginning is no steady state
		h.Take(&Task{Work: time.Duration(draw(rng) * float64(time.Second)), Slots: 1, Ended: func(End) {}, Started: func() {
			if first {
				waited += (c.Now() - came).Seconds()
				counted++
			}
		}})
		c.After(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	c.Run(math.MaxInt64)
	return waited / float64(counted)
}

// erlangC is the mean wait in M/M/c with mean service 1 (Erlang's C formula).
func erlangC(c int, load float64) float64 {
	a := load * float64(c)
	term, sum := 1.0, 0.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - load)
	return last / (sum + last) / (float64(c) * (1 - load))
}

// Waits at a host agree with the closed forms of queueing theory: M/M/1 and M/M/c
// (Erlang C), M/G/1 (Pollaczek and Khinchine).
func TestClosedForms(t *testing.T) {
	exp := func(r *rand.Rand) float64 { return r.ExpFloat64() }
	uniform := func(r *rand.Rand) float64 { return 2 * r.Float64() } // mean 1, variance 1/3
	for _, q := range []struct {
		name  string
		cores int
		load  float64
		draw  func(*rand.Rand) float64
		want  float64
	}{
		{"M/M/1 at 50%", 1, 0.5, exp, erlangC(1, 0.5)}, {"M/M/1 at 80%", 1, 0.8, exp, erlangC(1, 0.8)},
		{"M/M/1 at 95%", 1, 0.95, exp, erlangC(1, 0.95)}, {"M/M/4 at 50%", 4, 0.5, exp, erlangC(4, 0.5)},
		{"M/M/4 at 80%", 4, 0.8, exp, erlangC(4, 0.8)}, {"M/M/4 at 95%", 4, 0.95, exp, erlangC(4, 0.95)},
		{"M/G/1 at 50%", 1, 0.5, uniform, 0.5 * (1 + 1.0/3) / 2 / 0.5}, {"M/G/1 at 80%", 1, 0.8, uniform, 0.8 * (1 + 1.0/3) / 2 / 0.2},
		{"M/G/1 at 95%", 1, 0.95, uniform, 0.95 * (1 + 1.0/3) / 2 / 0.05},
	} {
		t.Run(q.name, func(t *testing.T) {
			t.Parallel()
			seeds := 2
			if q.load > 0.9 { // waits hang together for long there
				seeds = 24
			}
			got := 0.0
			for s := range seeds {
				got += queue(q.cores, q.load*float64(q.cores), q.draw, uint64(s+1)) / float64(seeds)
			}
			t.Logf("%s: %.4f, closed form %.4f", q.name, got, q.want)
			if math.Abs(got/q.want-1) > 0.03 {
				t.Errorf("mean wait %.4f, want %.4f within 3%%", got, q.want)
			}
		})
	}
}

// A host that has just started does what the account says: 13% of its capacity at
// once, all of it after 24 s, evenly in between.
func TestWarmUp(t *testing.T) {
	c := sim.New(time.Hour)
	h := NewHost(c, HostSpec{Cores: 4, Slots: 4, Speed: 1, Queue: 1 << 20})
	for range 4 {
		h.Take(&Task{Work: time.Hour, Slots: 1, Ended: func(End) {}})
	}
	h.Spec.Since = time.Hour // now: so much work at once would push it over
	h.plan()
	done := 0.0
	for s := range 30 {
		c.Run(time.Hour + time.Duration(s+1)*time.Second)
		h.advance()
		middle := min(1, h.Spec.Account.StartCapacity+(1-h.Spec.Account.StartCapacity)*(float64(s)+0.5)/h.Spec.Account.WarmUp.Seconds())
		if got := (h.Busy - done) / 4; math.Abs(got/middle-1) > 0.03 {
			t.Errorf("in second %d it did %.3f of its capacity, want %.3f", s+1, got, middle)
		}
		done = h.Busy
	}
}

// A cold host that is sent a little under 4 times what it can do for 2 s bears it, a
// little over falls over, and stays down; a warm one bears anything.
func TestFallsOver(t *testing.T) {
	for _, c := range []struct {
		factor float64
		age    time.Duration
		falls  bool
	}{{3.9, 0, false}, {4.1, 0, true}, {3.9, 12 * time.Second, false}, {4.1, 12 * time.Second, true}, {50, 25 * time.Second, false}} {
		clock := sim.New(time.Hour + c.age)
		h := NewHost(clock, HostSpec{Cores: 4, Slots: 8, Speed: 1, Queue: 1 << 20, Since: time.Hour})
		lost, full := 0, 0
		const doses = 200
		last := clock.Now() + h.Spec.Account.OverloadFor*(doses-1)/doses
		warmth := 1.0
		if age := last - time.Hour; age < h.Spec.Account.WarmUp {
			warmth = h.Spec.Account.StartCapacity + (1-h.Spec.Account.StartCapacity)*float64(age)/float64(h.Spec.Account.WarmUp)
		}
		work := c.factor * warmth * 4 * h.Spec.Account.OverloadFor.Seconds() / doses // in the window that ends with the last one
		for i := range doses {
			clock.At(time.Hour+c.age+time.Duration(i)*h.Spec.Account.OverloadFor/doses, func() {
				h.Take(&Task{Work: time.Duration(work * float64(time.Second)), Slots: 1, Ended: func(e End) {
					switch e {
					case Lost:
						lost++
					case Full:
						full++
					}
				}})
			})
		}
		clock.Run(time.Hour + c.age + h.Spec.Account.OverloadFor)
		if h.Fallen() != c.falls || (lost > 0) != c.falls || full > 0 {
			t.Errorf("%.1f times at age %v: fallen %t, %d lost, worst %.3f", c.factor, c.age, h.Fallen(), lost, h.Worst)
		}
		if c.falls {
			clock.Run(clock.Now() + time.Hour)
			if h.Up() || h.Capacity() > 0 {
				t.Error("it is back")
			}
		}
	}
}

// The waiting room is served in order: a job of many slots holds up those behind it.
func TestInOrder(t *testing.T) {
	c := sim.New(time.Hour)
	h := NewHost(c, HostSpec{Cores: 4, Slots: 4, Speed: 1, Queue: 2})
	var order []string
	take := func(name string, slots float64) {
		h.Take(&Task{Work: time.Second, Slots: slots, Started: func() { order = append(order, name) },
			Ended: func(e End) {
				if e == Full {
					order = append(order, name+" full")
				}
			}})
	}
	take("a", 3)
	take("b", 2)
	take("c", 1)
	take("d", 1)
	c.Run(2 * time.Hour)
	want := []string{"a", "d full", "b", "c"}
	for i := range want {
		if i >= len(order) || order[i] != want[i] {
			t.Fatalf("%v, want %v", order, want)
		}
	}
}
