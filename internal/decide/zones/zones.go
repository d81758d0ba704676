// Package zones decides, together with the other dispatchers, which zones this dispatcher
// stops using and how it returns to them. It does no I/O: times, observations, the seed and
// messages of other dispatchers are arguments. docs/DESIGN-FLEET.md explains the design.
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
	// MaxZones is the maximum number of zones: a report has two bits for each.
	MaxZones = 16

	// MinSilentAttempts is how many attempts in a row without an answer make a zone unreachable
	// for a dispatcher.
	MinSilentAttempts = 2

	answerValidity        = time.Second            // an answer proves a zone reachable for this long
	decisionDelay         = 300 * time.Millisecond // from the first unreachable report to a decision, so that others can report
	phaseSettleTime       = 300 * time.Millisecond // reports dated this soon after a phase change may predate it
	reachableValidity     = time.Second            // validity of reachable reports ...
	lateReachableValidity = 2 * time.Second        // ... and of those made after the first unreachable one
	unreachableValidity   = 3 * time.Second        // validity of unreachable reports
	memberTimeout         = 4 * time.Second        // a dispatcher counts as present for this long after a report
	reportInterval        = 500 * time.Millisecond // an unchanged report is renewed after this time
	minVotes              = 2                      // number of dispatchers that must agree
	anyZone               = -1                     // stands for observers of all zones
	leftZoneProbers       = 2                      // dispatchers that probe a left zone
	suspectProbers        = 12                     // dispatchers that probe a suspected zone
	probeInterval         = 300 * time.Millisecond
	minAnsweredTicks      = 2           // ticks in a row with an answer that let a zone return
	minHold               = time.Second // minimum time that a zone stays left; doubles with each failure
	maxHold               = 8 * time.Second
	failureWindow         = time.Minute
	shortRamp             = 2 * time.Second        // if no host has restarted
	stallThreshold        = time.Second            // a tick this late means that the process was stopped
	idleInterval          = 500 * time.Millisecond // between messages while there is nothing to decide ...
	busyInterval          = 100 * time.Millisecond // ... and while there is
	idlePeers             = 2
	busyPeers             = 3
)

// Config configures a Coordinator.
type Config struct {
	Me, Dispatchers int
	Zone, Zones     int           // index of this dispatcher's zone, and number of zones
	Ramp            time.Duration // duration of the ramp if hosts have restarted
	InitialShare    float64       // traffic share at which a return begins
	MaxMessageBytes int           // maximum message size in bytes
	Seed            uint64
}

// Verdict is a dispatcher's opinion on a zone.
type Verdict uint8

// The verdicts.
const (
	NoVerdict Verdict = iota
	Reachable
	Unreachable
)

// Phase is the state of a zone for the dispatchers of an observing zone.
type Phase uint8

// The phases; of two with the same generation the higher one wins.
const (
	InUse Phase = iota
	Returning
	Left
)

// String returns the name used in logs.
func (p Phase) String() string { return [...]string{"here", "returns", "left"}[min(p, Left)] }

// Seen counts the attempts and probes in a zone since the last tick that ended without an
// answer, and those that ended with one.
type Seen struct{ Silent, Heard int }

// report is the latest report of a dispatcher.
type report struct {
	stamp    uint16 // sender's clock, wraps around
	zone     uint8
	verdicts uint32        // a Verdict in two bits per zone
	madeAt   time.Duration // local time at which it was made, not counting transit; 0: never
}

func (r *report) verdict(zone int) Verdict { return Verdict(r.verdicts >> (2 * zone) & 3) }

// decision is the phase of a zone for the dispatchers of an observing zone.
type decision struct {
	gen   uint16
	phase Phase
	since time.Duration
}

// Coordinator is one dispatcher's state in the fleet-wide decisions on zones.
type Coordinator struct {
	config         Config
	rng            *rand.Rand
	reports        []report               // by dispatcher index
	decisions      map[[2]uint8]*decision // by observers' zone and zone
	observations   []observation          // by zone
	suspectedSince []time.Duration        // by zone: since when it has been reported unreachable; 0: it is not
	isolated       bool
	lastTick       time.Duration
	lastSent       time.Duration
	lastProbed     []time.Duration
	answeredTicks  []int           // ticks in a row with an answer
	failures       []int           // by zone: repeated failures, each within failureWindow of the one before
	failedAt       []time.Duration // by zone: time of the last failure
	restarted      []bool
	orders         []Order // by zone: manual orders
	changes        []Change
}

// observation is what this dispatcher has observed of a zone.
type observation struct {
	silentCount int           // attempts without an answer since the last one with
	firstSilent time.Duration // when the first of them ended
	lastSilent  time.Duration // when the last of them ended
	lastAnswer  time.Duration // when the last answer came
}

// Change is a phase change of a zone, for the log.
type Change struct {
	Zone                   int
	Phase                  Phase
	Unreachable, Reachable int // numbers of unreachable and reachable reports at that time
}

// Actions is what the caller has to do after a tick.
type Actions struct {
	Peers    []int // peers to send Message to
	Message  []byte
	Probe    []int // zones to probe
	Changes  []Change
	Isolated bool // this dispatcher reaches no zone, so it is probably at fault itself
}

// New returns a Coordinator, or an error for an invalid Config.
func New(c Config) (*Coordinator, error) {
	if c.Zones < 1 || c.Zones > MaxZones || c.Zone < 0 || c.Zone >= c.Zones {
		return nil, fmt.Errorf("zones: %d zones with own zone index %d: want 1 to %d zones and an index below their number", c.Zones, c.Zone, MaxZones)
	}
	if c.Me < 0 || c.Me >= c.Dispatchers || c.Dispatchers > 1<<16 {
		return nil, fmt.Errorf("zones: invalid dispatcher index %d of %d", c.Me, c.Dispatchers)
	}
	if c.MaxMessageBytes < headerBytes+decisionBytes*2+reportBytes {
		return nil, fmt.Errorf("zones: message size of %d bytes is too small", c.MaxMessageBytes)
	}
	return &Coordinator{config: c, rng: rand.New(rand.NewPCG(c.Seed, 0x7a6f6e65)), reports: make([]report, c.Dispatchers),
		decisions: map[[2]uint8]*decision{}, observations: make([]observation, c.Zones), suspectedSince: make([]time.Duration, c.Zones), lastProbed: make([]time.Duration, c.Zones),
		answeredTicks: make([]int, c.Zones), failures: make([]int, c.Zones), failedAt: make([]time.Duration, c.Zones), restarted: make([]bool, c.Zones),
		orders: make([]Order, c.Zones)}, nil
}

// SetInitialShare sets the traffic share at which returns begin.
func (f *Coordinator) SetInitialShare(part float64) { f.config.InitialShare = part }

// decisionFor returns the decision of the observers' zone on a zone and creates it if needed.
func (f *Coordinator) decisionFor(observers, zone int) *decision {
	key := [2]uint8{uint8(observers), uint8(zone)}
	d := f.decisions[key]
	if d == nil {
		d = &decision{}
		f.decisions[key] = d
	}
	return d
}

// Share returns the share of a zone's normal traffic that this dispatcher may send to it now.
func (f *Coordinator) Share(now time.Duration, zone int) float64 {
	if zone < 0 || zone >= f.config.Zones {
		return 1
	}
	if f.orders[zone].Away {
		return 0
	}
	switch d := f.decisionFor(f.config.Zone, zone); d.phase {
	case Left:
		return 0
	case Returning:
		return min(1, f.config.InitialShare+(1-f.config.InitialShare)*(now-d.since).Seconds()/f.ramp(zone).Seconds())
	}
	return 1
}

func (f *Coordinator) ramp(zone int) time.Duration {
	if f.restarted[zone] {
		return max(shortRamp, f.config.Ramp)
	}
	return shortRamp
}

// Restarted records that a host of a zone has restarted and is cold.
func (f *Coordinator) Restarted(zone int) {
	if zone >= 0 && zone < f.config.Zones && f.decisionFor(f.config.Zone, zone).phase != InUse {
		f.restarted[zone] = true
	}
}

// Tick processes one tick: it takes the observations since the last one, by zone, and
// returns what to do. It is called about ten times a second.
func (f *Coordinator) Tick(now time.Duration, seen []Seen) Actions {
	if f.lastTick > 0 && now-f.lastTick >= stallThreshold { // the observations are old, and their cause may have passed
		clear(f.observations)
		seen = nil
	}
	f.lastTick = now
	f.observe(now, seen)
	f.updateOwnReport(now)
	for z := range f.config.Zones {
		f.decide(now, z)
	}
	t := Actions{Isolated: f.isolated, Changes: f.changes, Probe: f.zonesToProbe(now)}
	f.changes = nil
	every, peers := idleInterval, idlePeers
	if f.busy(now) {
		every, peers = busyInterval, busyPeers
	}
	if now-f.lastSent >= every || f.lastSent == 0 {
		f.lastSent = now
		if t.Peers = f.randomPeers(peers); len(t.Peers) > 0 {
			t.Message = f.encode(now)
		}
	}
	return t
}

// observe records observations. In a tick with both, an answer outweighs silence.
func (f *Coordinator) observe(now time.Duration, seen []Seen) {
	for z := range min(len(seen), len(f.observations)) {
		switch o := &f.observations[z]; {
		case seen[z].Heard > 0:
			o.silentCount, o.lastAnswer = 0, now
			f.answeredTicks[z]++
		case seen[z].Silent > 0:
			if o.silentCount == 0 {
				o.firstSilent = now
			}
			o.silentCount, o.lastSilent = o.silentCount+seen[z].Silent, now
			f.answeredTicks[z] = 0
		}
	}
}

// ownVerdict derives a verdict on a zone from this dispatcher's observations.
func (f *Coordinator) ownVerdict(now time.Duration, zone int) Verdict {
	switch o := &f.observations[zone]; {
	case o.silentCount >= MinSilentAttempts && now-o.lastSilent <= unreachableValidity:
		return Unreachable
	case o.lastAnswer == 0 || o.silentCount >= MinSilentAttempts:
	case now-o.lastAnswer <= answerValidity, f.suspectedSince[zone] > 0 && o.lastAnswer >= f.suspectedSince[zone] && now-o.lastAnswer <= lateReachableValidity:
		return Reachable
	}
	return NoVerdict
}

// updateOwnReport renews this dispatcher's report if it has changed or is due. It reports a
// zone unreachable only if another zone has answered since the silence began: a dispatcher that
// reaches no zone is itself at fault, and one that is just being cut off cannot tell yet.
func (f *Coordinator) updateOwnReport(now time.Duration) {
	verdicts, unreachable, reachable := uint32(0), 0, 0
	for z := range f.config.Zones {
		v := f.ownVerdict(now, z)
		switch v {
		case Unreachable:
			if unreachable++; !f.otherZoneAnswered(z) {
				v = NoVerdict
			}
		case Reachable:
			reachable++
		}
		verdicts |= uint32(v) << (2 * z)
	}
	f.isolated = unreachable > 0 && reachable == 0 && (unreachable > 1 || f.config.Zones == 1)
	r := &f.reports[f.config.Me]
	if r.madeAt == 0 || verdicts != r.verdicts || now-r.madeAt >= reportInterval {
		*r = report{stamp: laterStamp(r.stamp+1, uint16(now/(10*time.Millisecond)), r.madeAt != 0), zone: uint8(f.config.Zone), verdicts: verdicts, madeAt: max(1, now)}
	}
}

// otherZoneAnswered reports whether another zone has answered since this one fell silent.
func (f *Coordinator) otherZoneAnswered(zone int) bool {
	for z := range f.observations {
		if z != zone && f.observations[z].lastAnswer >= f.observations[zone].firstSilent && f.observations[z].lastAnswer > 0 {
			return true
		}
	}
	return false
}

// laterStamp returns the later of two stamps, which wrap around.
func laterStamp(a, b uint16, known bool) uint16 {
	if known && int16(b-a) < 0 {
		return a
	}
	return b
}

// countReports counts the valid reports of a zone's observers that a zone is unreachable or
// reachable. If observers is negative, reports from all zones count.
func (f *Coordinator) countReports(now time.Duration, observers, zone int) (unreachable, reachable int) {
	d := f.decisionFor(f.config.Zone, zone)
	for i := range f.reports {
		r := &f.reports[i]
		if r.madeAt == 0 || observers >= 0 && int(r.zone) != observers || d.gen > 0 && r.madeAt < d.since+phaseSettleTime {
			continue
		}
		switch age := now - r.madeAt; {
		case r.verdict(zone) == Unreachable && age <= unreachableValidity:
			unreachable++
		case r.verdict(zone) != Reachable:
		case age <= reachableValidity, age <= lateReachableValidity && f.suspectedSince[zone] > 0 && r.madeAt >= f.suspectedSince[zone]:
			reachable++
		}
	}
	return unreachable, reachable
}

// decide updates the phase of a zone for the dispatchers of this dispatcher's zone.
func (f *Coordinator) decide(now time.Duration, zone int) {
	d := f.decisionFor(f.config.Zone, zone)
	if f.orders[zone].Away {
		if d.phase != Left {
			f.startPhase(now, zone, Left, 0, 0)
		}
		return
	}
	unreachable, reachable := f.countReports(now, f.config.Zone, zone)
	if unreachable+reachable == 0 { // own zone has no reports: use those of other zones if they agree
		if unreachable, reachable = f.countReports(now, anyZone, zone); reachable > 0 {
			unreachable = 0
		}
	}
	switch d.phase {
	case Left:
		hold := min(maxHold, minHold<<min(f.failures[zone], 8))
		if now-d.since >= hold && (f.answeredTicks[zone] >= minAnsweredTicks || reachable >= minVotes && reachable > unreachable) {
			f.startPhase(now, zone, Returning, unreachable, reachable)
		}
		return
	case Returning:
		if now-d.since >= f.ramp(zone) {
			f.startPhase(now, zone, InUse, unreachable, reachable)
			return
		}
	}
	if unreachable == 0 {
		f.suspectedSince[zone] = 0
	} else if f.suspectedSince[zone] == 0 {
		f.suspectedSince[zone] = now
	}
	if unreachable >= minVotes && unreachable > reachable && now-f.suspectedSince[zone] >= decisionDelay && f.enoughReports(now, zone) {
		if now-f.failedAt[zone] > failureWindow || f.failedAt[zone] == 0 {
			f.failures[zone] = 0
		} else {
			f.failures[zone]++
		}
		f.failedAt[zone] = now
		f.startPhase(now, zone, Left, unreachable, reachable)
	}
}

// enoughReports reports whether two thirds of the dispatchers present have reported since a
// zone was suspected. Otherwise early unreachable reports could decide before the reachable
// ones arrive.
func (f *Coordinator) enoughReports(now time.Duration, zone int) bool {
	fresh, known := 0, 0
	for i := range f.reports {
		if r := &f.reports[i]; r.madeAt > 0 && int(r.zone) == f.config.Zone && now-r.madeAt <= memberTimeout {
			known++
			if r.madeAt >= f.suspectedSince[zone] {
				fresh++
			}
		}
	}
	return 3*fresh >= 2*known
}

// startPhase begins a phase. The end of a return gets no new generation: each dispatcher
// derives it from the time at which the return began.
func (f *Coordinator) startPhase(now time.Duration, zone int, p Phase, unreachable, reachable int) {
	d := f.decisionFor(f.config.Zone, zone)
	if p != InUse {
		d.gen++
	}
	d.phase, d.since = p, now
	f.phaseStarted(zone, p, unreachable, reachable)
}

// phaseStarted resets the state of a zone after a phase change, whichever dispatcher decided it.
func (f *Coordinator) phaseStarted(zone int, p Phase, unreachable, reachable int) {
	f.answeredTicks[zone] = 0
	f.observations[zone], f.suspectedSince[zone] = observation{}, 0 // observations from before the change do not count
	if p == InUse {
		f.restarted[zone] = false
	}
	f.changes = append(f.changes, Change{zone, p, unreachable, reachable})
}

// zonesToProbe returns the zones that this dispatcher is to probe now. Of the dispatchers
// heard from recently, a few probe each left zone, and more probe each suspected one, so that
// not only those with failed attempts decide.
func (f *Coordinator) zonesToProbe(now time.Duration) (zones []int) {
	for z := range f.config.Zones {
		d := f.decisionFor(f.config.Zone, z)
		left := d.phase == Left && !f.orders[z].Away && f.selected(now, z, d.gen, leftZoneProbers)
		suspected := d.phase != Left && f.suspectedSince[z] > 0 && f.ownVerdict(now, z) == NoVerdict && f.selected(now, z, d.gen, suspectProbers)
		if now-f.lastProbed[z] < probeInterval || !left && !suspected && !f.needsAnswer(now, z) {
			continue
		}
		f.lastProbed[z] = now
		zones = append(zones, z)
	}
	return zones
}

// needsAnswer reports whether an answer from this zone would show that another, silent zone
// is at fault rather than this dispatcher. Without a probe, a dispatcher with little traffic
// could not report before its next message.
func (f *Coordinator) needsAnswer(now time.Duration, zone int) bool {
	for z := range f.config.Zones {
		if z != zone && f.ownVerdict(now, z) == Unreachable && !f.otherZoneAnswered(z) {
			return f.ownVerdict(now, zone) != Unreachable && f.decisionFor(f.config.Zone, zone).phase != Left
		}
	}
	return false
}

// selected reports whether this dispatcher is one of the probers: those of its zone with the
// highest hashes. Dispatchers that have heard from the same peers select the same ones.
func (f *Coordinator) selected(now time.Duration, zone int, gen uint16, limit int) bool {
	hash := func(i int) uint64 {
		var b [8]byte
		binary.LittleEndian.PutUint16(b[:], uint16(i))
		binary.LittleEndian.PutUint16(b[2:], gen)
		b[4], b[5] = byte(zone), byte(f.config.Zone)
		return xxhash.Sum64(b[:])
	}
	mine, before := hash(f.config.Me), 0
	for i := range f.reports {
		r := &f.reports[i]
		if i != f.config.Me && r.madeAt > 0 && now-r.madeAt <= unreachableValidity && int(r.zone) == f.config.Zone && hash(i) > mine {
			before++
		}
	}
	return before < limit
}

// busy reports whether there is something to decide: a zone is reported unreachable, left or
// returning.
func (f *Coordinator) busy(now time.Duration) bool {
	for k, d := range f.decisions {
		if d.phase != InUse && !(f.orders[k[1]].Away && now-d.since > orderSpreadTime) {
			return true
		}
	}
	for i := range f.reports {
		r := &f.reports[i]
		if r.madeAt == 0 || now-r.madeAt > unreachableValidity {
			continue
		}
		for z := range f.config.Zones {
			if r.verdict(z) == Unreachable {
				return true
			}
		}
	}
	return false
}

// randomPeers returns n distinct peers chosen at random.
func (f *Coordinator) randomPeers(n int) (peers []int) {
	for n = min(n, f.config.Dispatchers-1); len(peers) < n; {
		if i := f.rng.IntN(f.config.Dispatchers); i != f.config.Me && !slices.Contains(peers, i) {
			peers = append(peers, i)
		}
	}
	return peers
}
