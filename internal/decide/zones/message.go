package zones

import (
	"encoding/binary"
	"time"
)

// A message is a byte with the layout version, a byte with the number of decisions, these
// decisions, and reports up to the end. A reader ignores messages of an unknown layout and
// invalid entries in others.
const (
	layoutVersion   = 1
	headerBytes     = 2
	decisionBytes   = 7  // observers' zone, zone, generation, phase, age in hundredths of a second
	reportBytes     = 10 // dispatcher, stamp, age in fiftieths of a second, zone, verdicts
	decisionAgeUnit = 10 * time.Millisecond
	reportAgeUnit   = 20 * time.Millisecond
	maxDecisions    = 12
)

// encode returns a message with the decisions, those of the own zone first, and as many
// reports as fit: the own one, then those with an unreachable zone, then others, each from a
// random start, so that all are sent over time.
func (f *Coordinator) encode(now time.Duration) []byte {
	buf := f.appendOrders([]byte{layoutVersion, 0})
	appendDecision := func(observers, zone int) {
		d := f.decisions[[2]uint8{uint8(observers), uint8(zone)}]
		if d == nil || d.gen == 0 || buf[1] == maxDecisions || len(buf)+decisionBytes+reportBytes > f.config.MaxMessageBytes {
			return
		}
		buf[1]++
		buf = append(buf, uint8(observers), uint8(zone))
		buf = binary.LittleEndian.AppendUint16(buf, d.gen)
		buf = append(buf, uint8(d.phase))
		buf = binary.LittleEndian.AppendUint16(buf, uint16(min((now-d.since)/decisionAgeUnit, 1<<16-1)))
	}
	for z := range f.config.Zones {
		appendDecision(f.config.Zone, z)
	}
	from := f.rng.IntN(f.config.Zones)
	for n := range f.config.Zones * f.config.Zones {
		if observers := (from + n/f.config.Zones) % f.config.Zones; observers != f.config.Zone {
			appendDecision(observers, n%f.config.Zones)
		}
	}
	appendReport := func(i int) {
		r := &f.reports[i]
		buf = binary.LittleEndian.AppendUint16(buf, uint16(i))
		buf = binary.LittleEndian.AppendUint16(buf, r.stamp)
		buf = append(buf, uint8(min((now-r.madeAt)/reportAgeUnit, 255)), r.zone)
		buf = binary.LittleEndian.AppendUint32(buf, r.verdicts)
	}
	appendReport(f.config.Me)
	from = f.rng.IntN(len(f.reports))
	for _, withUnreachable := range []bool{true, false} {
		for n := range f.reports {
			i := (from + n) % len(f.reports)
			r := &f.reports[i]
			if len(buf)+reportBytes > f.config.MaxMessageBytes {
				return buf
			}
			if i != f.config.Me && r.madeAt > 0 && now-r.madeAt <= reachableValidity && r.anyUnreachable() == withUnreachable {
				appendReport(i)
			}
		}
	}
	return buf
}

// anyUnreachable reports whether any zone is reported unreachable.
func (r *report) anyUnreachable() bool { return r.verdicts&0xaaaaaaaa != 0 }

// ApplyMessage applies a message and reports whether it could be read. Only newer decisions and
// reports take effect, so messages may be reordered or duplicated.
func (f *Coordinator) ApplyMessage(now time.Duration, data []byte) bool {
	if len(data) < headerBytes || data[0] != layoutVersion || len(data) < headerBytes+int(data[1])*decisionBytes ||
		(len(data)-headerBytes-int(data[1])*decisionBytes)%reportBytes != 0 {
		return false
	}
	n := int(data[1])
	for data = data[headerBytes:]; n > 0; n, data = n-1, data[decisionBytes:] {
		f.applyDecision(now, int(data[0]), int(data[1]), decision{gen: binary.LittleEndian.Uint16(data[2:]), phase: Phase(data[4]),
			since: now - time.Duration(binary.LittleEndian.Uint16(data[5:]))*decisionAgeUnit})
	}
	for ; len(data) > 0; data = data[reportBytes:] {
		i := int(binary.LittleEndian.Uint16(data))
		r := report{stamp: binary.LittleEndian.Uint16(data[2:]), zone: data[5], verdicts: binary.LittleEndian.Uint32(data[6:]),
			madeAt: max(1, now-time.Duration(data[4])*reportAgeUnit)}
		if i >= len(f.reports) || i == f.config.Me || int(r.zone) >= f.config.Zones || now-r.madeAt > unreachableValidity {
			continue
		}
		// After a long silence any stamp is accepted: the dispatcher may have restarted its clock.
		if have := &f.reports[i]; have.madeAt == 0 || int16(r.stamp-have.stamp) > 0 || now-have.madeAt > unreachableValidity {
			*have = r
		}
	}
	return true
}

// applyDecision applies a decision if its generation is higher, or equal with a higher phase.
func (f *Coordinator) applyDecision(now time.Duration, observers, zone int, d decision) {
	if observers == manualOrder && d.gen > 0 && (d.phase == InUse || d.phase == Left) {
		f.ApplyOrder(zone, Order{d.gen, d.phase == Left})
		return
	}
	if observers >= f.config.Zones || zone >= f.config.Zones || d.phase > Left || d.gen == 0 {
		return
	}
	if observers == f.config.Zone && f.orders[zone].Away { // the sender does not know the order: treat its decision as one to leave
		d.phase = Left
	}
	have := f.decisionFor(observers, zone)
	newer := int16(d.gen-have.gen) > 0
	if !newer && (d.gen != have.gen || d.phase <= have.phase || have.phase == InUse) {
		return
	}
	was := have.phase
	*have = d
	if observers == f.config.Zone && was != d.phase {
		if d.phase == Left {
			if f.failures[zone]++; f.failedAt[zone] == 0 || now-f.failedAt[zone] > failureWindow {
				f.failures[zone] = 0
			}
			f.failedAt[zone] = now
		}
		unreachable, reachable := f.countReports(now, observers, zone)
		f.phaseStarted(zone, d.phase, unreachable, reachable)
	}
}
