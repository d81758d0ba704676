// Package zones decides, together with the other dispatchers, which zones this one
// leaves and how it returns to them. It does no I/O: times, randomness, what was seen and
// what others say are arguments. docs/DESIGN-FLEET.md says why it is as it is.
package zones

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Most is how many zones there may be: two bits each in a word.
	Most = 16

	// SilentLeast is how many silent ends in a row make a zone dark for a dispatcher.
	SilentLeast = 2

	window    = time.Second            // an answer shows that a zone is fine for so long
	weigh     = 300 * time.Millisecond // from the first word on dark: others have a say
	settle    = 300 * time.Millisecond // words of before a phase come in for so long
	fineFor   = time.Second            // others' words on fine count for so long, ...
	fineLate  = 2 * time.Second        // ... and for this where they came after the first on dark
	darkFor   = 3 * time.Second        // and on dark
	memberFor = 4 * time.Second        // one that was heard counts as there for so long
	refresh   = 500 * time.Millisecond // a word is said again after this
	voices    = 2                      // that must agree
	anyone    = -1                     // viewers of any zone
	lookers   = 2                      // dispatchers that look into a zone that was left
	witnesses = 12                     // that look into one that is accused
	lookEvery = 300 * time.Millisecond
	looksOK   = 2           // turns in a row with an answer that let a zone return
	holdLeast = time.Second // a zone stays left for so long; doubles with each fall
	holdMost  = 8 * time.Second
	fallsFor  = time.Minute
	shortRamp = 2 * time.Second        // where no host has restarted
	stopped   = time.Second            // a turn that comes so late was no turn: the process stood still
	idleEvery = 500 * time.Millisecond // between two datagrams at rest ...
	busyEvery = 100 * time.Millisecond // ... and while there is something to decide
	idlePeers = 2
	busyPeers = 3
)

// Config is what a Fleet is told when it starts.
type Config struct {
	Me, Dispatchers int
	Zone, Zones     int           // this dispatcher's zone, and how many there are
	Ramp            time.Duration // of a return to hosts that have restarted
	Start           float64       // the part with which a return begins
	Room            int           // bytes of a message
	Seed            uint64
}

// Verdict is what a dispatcher says of a zone.
type Verdict uint8

// The verdicts.
const (
	None Verdict = iota
	Fine
	Dark
)

// Phase is where a zone stands for the viewers of a zone.
type Phase uint8

// The phases; of two with the same generation the higher one counts.
const (
	Here Phase = iota
	Return
	Gone
)

// String names a phase in the log.
func (p Phase) String() string { return [...]string{"here", "returns", "left"}[min(p, Gone)] }

// Seen is what was seen of a zone since the last turn: ends that were silent, and others.
type Seen struct{ Silent, Heard int }

// word is what a dispatcher said last.
type word struct {
	stamp uint16 // its clock
	zone  uint8
	says  uint32        // two bits a zone
	at    time.Duration // when it came here; 0: never
}

func (w *word) of(zone int) Verdict { return Verdict(w.says >> (2 * zone) & 3) }

// decision is where a zone stands for the viewers of one.
type decision struct {
	gen   uint16
	phase Phase
	since time.Duration
}

// Fleet is one dispatcher's part of the decisions.
type Fleet struct {
	c         Config
	rng       *rand.Rand
	words     []word // by dispatcher
	decided   map[[2]uint8]*decision
	seen      []sight         // by zone
	accused   []time.Duration // by zone: the first word on dark of those that stand; 0: none
	ill       bool
	turned    time.Duration
	spoke     time.Duration
	looked    []time.Duration
	answers   []int // turns in a row in which something was heard
	falls     []int
	fell      []time.Duration
	restarted []bool
	orders    []Order // by zone, by hand
	news      []Change
}

// sight is what was seen of a zone last.
type sight struct {
	silent int           // ends since the last that was not
	begun  time.Duration // the first of them
	at     time.Duration // of the last of them
	heard  time.Duration // the last that was not
}

// Change is a zone that stands elsewhere now, for the log.
type Change struct {
	Zone       int
	Phase      Phase
	Dark, Fine int // words at that time
}

// Turn is what a turn asks for.
type Turn struct {
	Tell    []int // peers to send Message to
	Message []byte
	Look    []int // zones to probe
	Changes []Change
	Ill     bool // this dispatcher sees no zone at all
}

// New returns a Fleet, or an error that names what cannot be.
func New(c Config) (*Fleet, error) {
	if c.Zones < 1 || c.Zones > Most || c.Zone < 0 || c.Zone >= c.Zones {
		return nil, fmt.Errorf("zones: %d zones, of which ours is number %d: there may be %d", c.Zones, c.Zone, Most)
	}
	if c.Me < 0 || c.Me >= c.Dispatchers || c.Dispatchers > 1<<16 {
		return nil, fmt.Errorf("zones: dispatcher %d of %d", c.Me, c.Dispatchers)
	}
	if c.Room < head+decisionBytes*2+wordBytes {
		return nil, fmt.Errorf("zones: messages of %d bytes hold nothing", c.Room)
	}
	return &Fleet{c: c, rng: rand.New(rand.NewPCG(c.Seed, 0x7a6f6e65)), words: make([]word, c.Dispatchers),
		decided: map[[2]uint8]*decision{}, seen: make([]sight, c.Zones), accused: make([]time.Duration, c.Zones), looked: make([]time.Duration, c.Zones),
		answers: make([]int, c.Zones), falls: make([]int, c.Zones), fell: make([]time.Duration, c.Zones), restarted: make([]bool, c.Zones),
		orders: make([]Order, c.Zones)}, nil
}

// SetStart sets the part of the draws with which returns begin.
func (f *Fleet) SetStart(part float64) { f.c.Start = part }

// at is the decision of the viewers of a zone on another; it is made where there is none.
func (f *Fleet) at(viewers, zone int) *decision {
	key := [2]uint8{uint8(viewers), uint8(zone)}
	d := f.decided[key]
	if d == nil {
		d = &decision{}
		f.decided[key] = d
	}
	return d
}

// Part is the part of a zone's draws that this dispatcher may make now.
func (f *Fleet) Part(now time.Duration, zone int) float64 {
	if zone < 0 || zone >= f.c.Zones {
		return 1
	}
	if f.orders[zone].Away {
		return 0
	}
	switch d := f.at(f.c.Zone, zone); d.phase {
	case Gone:
		return 0
	case Return:
		return min(1, f.c.Start+(1-f.c.Start)*(now-d.since).Seconds()/f.ramp(zone).Seconds())
	}
	return 1
}

func (f *Fleet) ramp(zone int) time.Duration {
	if f.restarted[zone] {
		return max(shortRamp, f.c.Ramp)
	}
	return shortRamp
}

// Restarted says that a host of a zone has started anew: it comes back cold.
func (f *Fleet) Restarted(zone int) {
	if zone >= 0 && zone < f.c.Zones && f.at(f.c.Zone, zone).phase != Here {
		f.restarted[zone] = true
	}
}

// Turn takes what was seen since the last one, by zone, and says what is to be done. It
// comes about ten times a second.
func (f *Fleet) Turn(now time.Duration, seen []Seen) Turn {
	if f.turned > 0 && now-f.turned >= stopped { // what was seen is old, and so may be its reason
		clear(f.seen)
		seen = nil
	}
	f.turned = now
	f.book(now, seen)
	f.vote(now)
	for z := range f.c.Zones {
		f.decide(now, z)
	}
	t := Turn{Ill: f.ill, Changes: f.news, Look: f.look(now)}
	f.news = nil
	every, peers := idleEvery, idlePeers
	if f.busy(now) {
		every, peers = busyEvery, busyPeers
	}
	if now-f.spoke >= every || f.spoke == 0 {
		f.spoke = now
		if t.Tell = f.some(peers); len(t.Tell) > 0 {
			t.Message = f.write(now)
		}
	}
	return t
}

// book keeps what was seen. Of a turn with both the answer counts: something is there.
func (f *Fleet) book(now time.Duration, seen []Seen) {
	for z := range min(len(seen), len(f.seen)) {
		switch v := &f.seen[z]; {
		case seen[z].Heard > 0:
			v.silent, v.heard = 0, now
			f.answers[z]++
		case seen[z].Silent > 0:
			if v.silent == 0 {
				v.begun = now
			}
			v.silent, v.at = v.silent+seen[z].Silent, now
			f.answers[z] = 0
		}
	}
}

// verdict is what was seen of a zone shows.
func (f *Fleet) verdict(now time.Duration, zone int) Verdict {
	switch v := &f.seen[zone]; {
	case v.silent >= SilentLeast && now-v.at <= darkFor:
		return Dark
	case v.heard == 0 || v.silent >= SilentLeast:
	case now-v.heard <= window, f.accused[zone] > 0 && v.heard >= f.accused[zone] && now-v.heard <= fineLate:
		return Fine
	}
	return None
}

// vote says anew what was seen, if that has changed or is due. It accuses a zone only while
// another has answered since: one that sees no zone at all has itself to blame, and one that
// is just being cut off does not know it yet.
func (f *Fleet) vote(now time.Duration) {
	says, dark, fine := uint32(0), 0, 0
	for z := range f.c.Zones {
		v := f.verdict(now, z)
		switch v {
		case Dark:
			if dark++; !f.well(z) {
				v = None
			}
		case Fine:
			fine++
		}
		says |= uint32(v) << (2 * z)
	}
	f.ill = dark > 0 && fine == 0 && (dark > 1 || f.c.Zones == 1)
	w := &f.words[f.c.Me]
	if w.at == 0 || says != w.says || now-w.at >= refresh {
		*w = word{stamp: max16(w.stamp+1, uint16(now/(10*time.Millisecond)), w.at != 0), zone: uint8(f.c.Zone), says: says, at: max(1, now)}
	}
}

// well says whether another zone has answered since one fell silent.
func (f *Fleet) well(zone int) bool {
	for z := range f.seen {
		if z != zone && f.seen[z].heard >= f.seen[zone].begun && f.seen[z].heard > 0 {
			return true
		}
	}
	return false
}

// max16 is the later of two turning stamps.
func max16(a, b uint16, known bool) uint16 {
	if known && int16(b-a) < 0 {
		return a
	}
	return b
}

// count is how many viewers of a zone say that another is dark, and fine.
// Where viewers is negative all viewers' words count.
func (f *Fleet) count(now time.Duration, viewers, zone int) (dark, fine int) {
	d := f.at(f.c.Zone, zone)
	for i := range f.words {
		w := &f.words[i]
		if w.at == 0 || viewers >= 0 && int(w.zone) != viewers || d.gen > 0 && w.at < d.since+settle {
			continue
		}
		switch age := now - w.at; {
		case w.of(zone) == Dark && age <= darkFor:
			dark++
		case w.of(zone) != Fine:
		case age <= fineFor, age <= fineLate && f.accused[zone] > 0 && w.at >= f.accused[zone]:
			fine++
		}
	}
	return dark, fine
}

// decide moves the phase of a zone for this dispatcher's viewers.
func (f *Fleet) decide(now time.Duration, zone int) {
	d := f.at(f.c.Zone, zone)
	if f.orders[zone].Away {
		if d.phase != Gone {
			f.move(now, zone, Gone, 0, 0)
		}
		return
	}
	dark, fine := f.count(now, f.c.Zone, zone)
	if dark+fine == 0 { // its own viewers have sent nothing there: others' word will do if none differs
		if dark, fine = f.count(now, anyone, zone); fine > 0 {
			dark = 0
		}
	}
	switch d.phase {
	case Gone:
		hold := min(holdMost, holdLeast<<min(f.falls[zone], 8))
		if now-d.since >= hold && (f.answers[zone] >= looksOK || fine >= voices && fine > dark) {
			f.move(now, zone, Return, dark, fine)
		}
		return
	case Return:
		if now-d.since >= f.ramp(zone) {
			f.move(now, zone, Here, dark, fine)
			return
		}
	}
	if dark == 0 {
		f.accused[zone] = 0
	} else if f.accused[zone] == 0 {
		f.accused[zone] = now
	}
	if dark >= voices && dark > fine && now-f.accused[zone] >= weigh && f.informed(now, zone) {
		if now-f.fell[zone] > fallsFor || f.fell[zone] == 0 {
			f.falls[zone] = 0
		} else {
			f.falls[zone]++
		}
		f.fell[zone] = now
		f.move(now, zone, Gone, dark, fine)
	}
}

// informed says whether two thirds of those that were there of late have had their say
// since a zone was accused. Guards against the first words on dark that come around before
// others' words on fine do.
func (f *Fleet) informed(now time.Duration, zone int) bool {
	fresh, known := 0, 0
	for i := range f.words {
		if w := &f.words[i]; w.at > 0 && int(w.zone) == f.c.Zone && now-w.at <= memberFor {
			known++
			if w.at >= f.accused[zone] {
				fresh++
			}
		}
	}
	return 3*fresh >= 2*known
}

// move begins a phase. The end of a return is everyone's own, as all know when it began.
func (f *Fleet) move(now time.Duration, zone int, p Phase, dark, fine int) {
	d := f.at(f.c.Zone, zone)
	if p != Here {
		d.gen++
	}
	d.phase, d.since = p, now
	f.entered(zone, p, dark, fine)
}

// entered is what a phase brings, whoever has begun it.
func (f *Fleet) entered(zone int, p Phase, dark, fine int) {
	f.answers[zone] = 0
	f.seen[zone], f.accused[zone] = sight{}, 0 // what is from before says nothing of now
	if p == Here {
		f.restarted[zone] = false
	}
	f.news = append(f.news, Change{zone, p, dark, fine})
}

// look says which zones this dispatcher is to probe now, if it is one of those chosen for it
// among those that were heard of late: a few look into those that were left, and some more
// into those that somebody accuses, so that not only those decide that met with silence.
func (f *Fleet) look(now time.Duration) (zones []int) {
	for z := range f.c.Zones {
		d := f.at(f.c.Zone, z)
		left := d.phase == Gone && !f.orders[z].Away && f.chosen(now, z, d.gen, lookers)
		asked := d.phase != Gone && f.accused[z] > 0 && f.verdict(now, z) == None && f.chosen(now, z, d.gen, witnesses)
		if now-f.looked[z] < lookEvery || !left && !asked && !f.unsure(now, z) {
			continue
		}
		f.looked[z] = now
		zones = append(zones, z)
	}
	return zones
}

// unsure says whether an answer of a zone would tell that another, which is silent, is to
// blame and not this dispatcher. Guards one with few messages, which else has to wait for the
// next before it has a say.
func (f *Fleet) unsure(now time.Duration, zone int) bool {
	for z := range f.c.Zones {
		if z != zone && f.verdict(now, z) == Dark && !f.well(z) {
			return f.verdict(now, zone) != Dark && f.at(f.c.Zone, zone).phase != Gone
		}
	}
	return false
}

// chosen says whether this dispatcher is one of the lookers: those of its zone with the
// highest hashes. All that hear the same of who is there choose the same.
func (f *Fleet) chosen(now time.Duration, zone int, gen uint16, most int) bool {
	hash := func(i int) uint64 {
		var b [8]byte
		binary.LittleEndian.PutUint16(b[:], uint16(i))
		binary.LittleEndian.PutUint16(b[2:], gen)
		b[4], b[5] = byte(zone), byte(f.c.Zone)
		return xxhash.Sum64(b[:])
	}
	mine, before := hash(f.c.Me), 0
	for i := range f.words {
		w := &f.words[i]
		if i != f.c.Me && w.at > 0 && now-w.at <= darkFor && int(w.zone) == f.c.Zone && hash(i) > mine {
			before++
		}
	}
	return before < most
}

// busy says whether there is something to decide: somebody says dark, or a zone is not here.
func (f *Fleet) busy(now time.Duration) bool {
	for k, d := range f.decided {
		if d.phase != Here && !(f.orders[k[1]].Away && now-d.since > quiet) {
			return true
		}
	}
	for i := range f.words {
		w := &f.words[i]
		if w.at == 0 || now-w.at > darkFor {
			continue
		}
		for z := range f.c.Zones {
			if w.of(z) == Dark {
				return true
			}
		}
	}
	return false
}

// some are peers drawn at random, each once.
func (f *Fleet) some(n int) (peers []int) {
	for n = min(n, f.c.Dispatchers-1); len(peers) < n; {
		if i := f.rng.IntN(f.c.Dispatchers); i != f.c.Me && !slices.Contains(peers, i) {
			peers = append(peers, i)
		}
	}
	return peers
}
