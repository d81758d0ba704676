package zoneyard

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Measure is what many runs of one kind have shown: a zone is lost for all for 10 s and comes
// back cold, played as a fleet and, with the same seeds, by each dispatcher alone; then runs in
// which single dispatchers are cut off, and nobody should leave anything.
type Measure struct {
	Runs           int
	Left, Alone    []time.Duration // for each run: when 95% had left; -1: they had not
	Home           []time.Duration // when all were home, from the heal on
	Wasted, AloneW int             // messages sent into the dark, in all runs
	Moves          float64         // of a dispatcher, for one loss and one return
	False          int             // runs with a dispatcher that left what it should not have
	Rest, Busy     float64         // bytes a second of a dispatcher at rest, and from the loss to its home
	Datagrams      float64         // a second of a dispatcher at rest
	Turn           time.Duration   // what a turn costs, with what is heard meanwhile
}

const (
	lostAt   = 5 * time.Second
	lostFor  = 10 * time.Second
	falseFor = 12 * time.Second
	part     = 0.95
)

// Take plays so many seeds, on all cores.
func Take(o Options, seeds int) (Measure, error) {
	m := Measure{Runs: seeds}
	var mu sync.Mutex
	var failed error
	next := make(chan uint64)
	var wait sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := range next {
				one := o
				one.Seed = seed
				err := m.add(one, &mu)
				mu.Lock()
				if err != nil {
					failed = err
				}
				mu.Unlock()
			}
		}()
	}
	for seed := range seeds {
		next <- uint64(seed + 1)
	}
	close(next)
	wait.Wait()
	n := float64(seeds)
	m.Moves, m.Rest, m.Busy, m.Datagrams, m.Turn = m.Moves/n, m.Rest/n, m.Busy/n, m.Datagrams/n, m.Turn/time.Duration(seeds)
	slices.Sort(m.Left)
	slices.Sort(m.Alone)
	slices.Sort(m.Home)
	return m, failed
}

func (m *Measure) add(o Options, mu *sync.Mutex) error {
	each := float64(o.Dispatchers)
	y, err := New(o)
	if err != nil {
		return err
	}
	mute := o
	mute.Mute = true
	alone, err := New(mute)
	if err != nil {
		return err
	}
	lost := y.Now + lostAt
	for _, y := range []*Yard{y, alone} {
		y.Dark = func(_, zone int, now time.Duration) bool { return zone == 0 && now >= lost && now < lost+lostFor }
	}
	y.Cold = func(zone int, now time.Duration) bool { return zone == 0 && now == lost+lostFor }
	y.Play(lostAt)
	rest, datagrams := float64(y.Bytes)/each/lostAt.Seconds(), float64(y.Sent)/each/lostAt.Seconds()
	began := time.Now()
	length := lostFor + o.Ramp + 5*time.Second
	y.Play(length)
	took := time.Since(began)
	busy := (float64(y.Bytes)/each - rest*lostAt.Seconds()) / length.Seconds()
	alone.Play(lostAt + lostFor)

	cut, err := New(o)
	if err != nil {
		return err
	}
	ill := int(o.Seed) % o.Dispatchers // it loses one zone, and its neighbour all
	cut.Dark = func(from, zone int, now time.Duration) bool {
		return now >= lost && (from == ill && zone == 0 || from == (ill+1)%o.Dispatchers)
	}
	cut.Play(lostAt + falseFor)

	mu.Lock()
	defer mu.Unlock()
	m.Left = append(m.Left, y.Within(y.Left, lost, 0, part, nil))
	m.Alone = append(m.Alone, alone.Within(alone.Alone, lost, 0, part, nil))
	m.Home = append(m.Home, y.Within(y.Back, lost+lostFor, 0, 1, nil))
	m.Wasted, m.AloneW = m.Wasted+y.Wasted, m.AloneW+alone.Wasted
	m.Moves += float64(y.Moves) / each
	m.Rest, m.Busy, m.Datagrams = m.Rest+rest, m.Busy+busy, m.Datagrams+datagrams
	m.Turn += took / time.Duration(o.Dispatchers*int(length/turn))
	if slices.ContainsFunc(cut.Left, func(l map[int]time.Duration) bool { return len(l) > 0 }) {
		m.False++
	}
	return nil
}

// Quantile is a quantile of sorted times; -1 where it is of a run in which they
// have not come to it.
func Quantile(q float64, sorted []time.Duration) time.Duration {
	v := make([]float64, 0, len(sorted))
	for _, d := range sorted {
		if d >= 0 {
			v = append(v, d.Seconds())
		}
	}
	never := len(sorted) - len(v)
	for range never { // they come last
		v = append(v, math.Inf(1))
	}
	if q = max(0, q); len(v) == 0 || math.IsInf(stat.Quantile(q, stat.Empirical, v, nil), 1) {
		return -1
	}
	return time.Duration(stat.Quantile(q, stat.Empirical, v, nil) * float64(time.Second))
}

// String is one line of a table, under Head.
func (m *Measure) String() string {
	return fmt.Sprintf("%6d %8v %8v %8v %8v %6v %8v %7d %8d %7.2f %6d %7.1f %7.0f %7.0f %8v", m.Runs, short(Quantile(0.5, m.Left)), short(Quantile(0.99, m.Left)),
		short(Quantile(0.5, m.Alone)), short(Quantile(0.99, m.Alone)), m.ratio(),
		short(Quantile(1, m.Home)), m.Wasted/max(1, m.Runs), m.AloneW/max(1, m.Runs), m.Moves, m.False, m.Datagrams, m.Rest, m.Busy, m.Turn.Round(100*time.Nanosecond))
}

// Head names the figures of a line.
const Head = "  runs left p50      p99 alone p50     p99  ratio     home    dark   alone   moves  false  dgrams    rest    busy     turn"

// ratio is the fleet's time over that of each alone.
func (m *Measure) ratio() string {
	left, alone := Quantile(0.5, m.Left), Quantile(0.5, m.Alone)
	if left < 0 || alone <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", left.Seconds()/alone.Seconds())
}

// short is a time in a table; those that have not come to it within the loss are named so.
func short(d time.Duration) string {
	if d < 0 {
		return fmt.Sprintf(">%v", lostFor)
	}
	return d.Round(10 * time.Millisecond).String()
}
