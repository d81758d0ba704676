// Package zoneyard plays fleets of dispatchers that decide on zones (internal/decide/zones) in
// virtual time: they take turns, their datagrams are late, lost and doubled, and the way from
// each to each zone is dark or not. One seed plays the same run to the byte.
package zoneyard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yardwharf/internal/decide/zones"
)

const (
	turn      = 100 * time.Millisecond
	probes    = 3           // that a look sends
	lookAgain = time.Second // the Balancer looks around after a silent end, so often at most
	lateMost  = 120         // ms that a datagram is on its way
	doubled   = 20          // one of so many is
	room      = 249
	start     = 0.1
)

// Options say what a Yard is.
type Options struct {
	Dispatchers, Zones int
	Seed               uint64
	Loss               float64       // of the datagrams
	Rate               float64       // ends a second of a dispatcher in each zone that it draws from
	Ramp               time.Duration // of a return to hosts that have restarted
	Mute               bool          // nothing is told: each sees what it sees alone
}

// Yard is a fleet in virtual time. The functions may be set before Play; nil is never.
type Yard struct {
	Dark  func(from, zone int, now time.Duration) bool // the way of a dispatcher to a zone
	Deaf  func(i int, now time.Duration) bool          // its datagrams do not get through
	Still func(i int, now time.Duration) bool          // stopped
	Cold  func(zone int, now time.Duration) bool       // its hosts start anew at this turn
	Reads func(i int, data []byte) []byte              // what it can read of a datagram; nil: all

	Now    time.Duration
	Fleets []*zones.Coordinator
	Left   []map[int]time.Duration // by dispatcher: when it left a zone, first
	Back   []map[int]time.Duration // when it was all back
	Alone  []map[int]time.Duration // when it had itself met with enough silence to leave
	Moves  int                     // phases entered by all
	Sent   int                     // datagrams
	Bytes  int
	Wasted int // messages sent into the dark
	Mail   []Letter

	o      Options
	rng    *rand.Rand
	hint   map[[2]int]bool
	probed map[[2]int]time.Duration
	due    map[[2]int]int
	silent map[[2]int]int // ends in a row
}

// Letter is a datagram on its way.
type Letter struct {
	At   time.Duration
	To   int
	Data []byte
}

// New makes a Yard.
func New(o Options) (*Yard, error) {
	y := &Yard{o: o, rng: rand.New(rand.NewPCG(o.Seed, 5)), Now: time.Minute, hint: map[[2]int]bool{},
		probed: map[[2]int]time.Duration{}, due: map[[2]int]int{}, silent: map[[2]int]int{}}
	for i := range o.Dispatchers {
		if err := y.Renew(i); err != nil {
			return nil, err
		}
		y.Left, y.Back, y.Alone = append(y.Left, map[int]time.Duration{}), append(y.Back, map[int]time.Duration{}), append(y.Alone, map[int]time.Duration{})
	}
	return y, nil
}

// Renew puts a process that knows nothing in the place of a dispatcher.
func (y *Yard) Renew(i int) error {
	f, err := zones.New(zones.Config{Me: i, Dispatchers: y.o.Dispatchers, Zone: i % y.o.Zones, Zones: y.o.Zones, Ramp: y.o.Ramp,
		InitialShare: start, MaxMessageBytes: room, Seed: y.o.Seed + uint64(i)})
	if err != nil {
		return fmt.Errorf("zoneyard: %w", err)
	}
	if i == len(y.Fleets) {
		y.Fleets = append(y.Fleets, f)
	}
	y.Fleets[i] = f
	return nil
}

// Play lets time pass, a turn of each dispatcher in each tenth of a second.
func (y *Yard) Play(d time.Duration) {
	for end := y.Now + d; y.Now < end; y.Now += turn {
		slices.SortStableFunc(y.Mail, func(a, b Letter) int { return int(a.At - b.At) })
		n := 0
		for ; n < len(y.Mail) && y.Mail[n].At <= y.Now; n++ {
			if m := y.Mail[n]; !is(y.Still, m.To, y.Now) {
				if y.Reads != nil {
					m.Data = y.Reads(m.To, m.Data)
				}
				y.Fleets[m.To].ApplyMessage(m.At, m.Data)
			}
		}
		y.Mail = append([]Letter(nil), y.Mail[n:]...)
		for i, f := range y.Fleets {
			if !is(y.Still, i, y.Now) {
				y.turn(i, f)
			}
		}
	}
}

func is(f func(int, time.Duration) bool, n int, now time.Duration) bool { return f != nil && f(n, now) }

func (y *Yard) turn(i int, f *zones.Coordinator) {
	seen := make([]zones.Seen, y.o.Zones)
	for zone := range y.o.Zones {
		if is(y.Cold, zone, y.Now) {
			f.Restarted(zone)
		}
		for p := y.o.Rate * turn.Seconds() * f.Share(y.Now, zone); p > 0; p-- {
			if y.rng.Float64() >= p || y.struck(i, zone) {
				continue
			}
			if y.end(i, zone, seen) {
				y.Wasted++
			}
		}
	}
	for zone := range y.o.Zones { // as the Balancer does, a silent end has some hosts probed
		k := [2]int{i, zone}
		if y.hint[k] && y.Now-y.probed[k] >= lookAgain {
			y.probed[k], y.due[k] = y.Now, probes
		}
		for ; y.due[k] > 0; y.due[k]-- {
			y.end(i, zone, seen)
		}
		y.hint[k] = false
	}
	t := f.Tick(y.Now, seen)
	for _, zone := range t.Probe { // its probes come back before the next turn
		y.due[[2]int{i, zone}] = probes
	}
	for _, c := range t.Changes {
		y.Moves++
		switch _, was := y.Left[i][c.Zone]; {
		case c.Phase == zones.Left && !was:
			y.Left[i][c.Zone] = y.Now
		case c.Phase == zones.InUse:
			y.Back[i][c.Zone] = y.Now
		}
	}
	if y.o.Mute {
		return
	}
	for _, to := range t.Peers {
		y.Sent++
		y.Bytes += len(t.Message)
		for range 1 + y.rng.IntN(doubled)/(doubled-1) {
			if y.rng.Float64() >= y.o.Loss && !is(y.Deaf, i, y.Now) && !is(y.Deaf, to, y.Now) {
				y.Mail = append(y.Mail, Letter{y.Now + time.Duration(1+y.rng.IntN(lateMost))*time.Millisecond, to, t.Message})
			}
		}
	}
}

// struck says whether one that hears nothing of others has itself seen enough to stay out.
func (y *Yard) struck(i, zone int) bool {
	_, is := y.Alone[i][zone]
	return is && y.o.Mute
}

// end is an end of an attempt or a probe in a zone; it says whether it was silent.
func (y *Yard) end(i, zone int, seen []zones.Seen) bool {
	k := [2]int{i, zone}
	if y.Dark == nil || !y.Dark(i, zone, y.Now) {
		seen[zone].Heard++
		y.silent[k] = 0
		return false
	}
	seen[zone].Silent++
	y.hint[k] = true
	if y.silent[k]++; y.silent[k] == zones.MinSilentAttempts {
		if _, already := y.Alone[i][zone]; !already {
			y.Alone[i][zone] = y.Now
		}
	}
	return true
}

// Within says how long after a time a part of some dispatchers had come to what at tells of
// (Left, Back, Alone); -1: they have not.
func (y *Yard) Within(at []map[int]time.Duration, from time.Duration, zone int, part float64, of func(i int) bool) time.Duration {
	var took []time.Duration
	all := 0
	for i := range y.Fleets {
		if of == nil || of(i) {
			all++
			if at, is := at[i][zone]; is {
				took = append(took, at-from)
			}
		}
	}
	slices.Sort(took)
	if n := int(part*float64(all)+0.999) - 1; n >= 0 && n < len(took) {
		return took[n]
	}
	return -1
}
