package zones

import (
	"encoding/binary"
	"time"
)

// A message is a byte with its layout, one with the number of decisions, these, and words
// until it ends. A reader passes over a layout that it does not know, and over what makes
// no sense in a message that it does.
const (
	layout        = 1
	head          = 2
	decisionBytes = 7  // viewers, zone, generation, phase, age in hundredths of a second
	wordBytes     = 10 // dispatcher, stamp, age in fiftieths of a second, zone, verdicts
	ageUnit       = 10 * time.Millisecond
	wordUnit      = 20 * time.Millisecond
	decisionsMost = 12
)

// write says what is decided, the own viewers' first, and as many words as fit: the own
// one, then those that say dark, then others, each from a place drawn anew.
func (f *Fleet) write(now time.Duration) []byte {
	buf := f.writeOrders([]byte{layout, 0})
	put := func(viewers, zone int) {
		d := f.decided[[2]uint8{uint8(viewers), uint8(zone)}]
		if d == nil || d.gen == 0 || buf[1] == decisionsMost || len(buf)+decisionBytes+wordBytes > f.c.Room {
			return
		}
		buf[1]++
		buf = append(buf, uint8(viewers), uint8(zone))
		buf = binary.LittleEndian.AppendUint16(buf, d.gen)
		buf = append(buf, uint8(d.phase))
		buf = binary.LittleEndian.AppendUint16(buf, uint16(min((now-d.since)/ageUnit, 1<<16-1)))
	}
	for z := range f.c.Zones {
		put(f.c.Zone, z)
	}
	from := f.rng.IntN(f.c.Zones)
	for n := range f.c.Zones * f.c.Zones {
		if viewers := (from + n/f.c.Zones) % f.c.Zones; viewers != f.c.Zone {
			put(viewers, n%f.c.Zones)
		}
	}
	said := func(i int) {
		w := &f.words[i]
		buf = binary.LittleEndian.AppendUint16(buf, uint16(i))
		buf = binary.LittleEndian.AppendUint16(buf, w.stamp)
		buf = append(buf, uint8(min((now-w.at)/wordUnit, 255)), w.zone)
		buf = binary.LittleEndian.AppendUint32(buf, w.says)
	}
	said(f.c.Me)
	from = f.rng.IntN(len(f.words))
	for _, dark := range []bool{true, false} {
		for n := range f.words {
			i := (from + n) % len(f.words)
			w := &f.words[i]
			if len(buf)+wordBytes > f.c.Room {
				return buf
			}
			if i != f.c.Me && w.at > 0 && now-w.at <= fineFor && w.dark() == dark {
				said(i)
			}
		}
	}
	return buf
}

// dark says whether any zone is.
func (w *word) dark() bool { return w.says&0xaaaaaaaa != 0 }

// Hear takes a message; it says whether it could be read. What is no newer than what is
// known changes nothing, so that the order and number of messages does not matter.
func (f *Fleet) Hear(now time.Duration, data []byte) bool {
	if len(data) < head || data[0] != layout || len(data) < head+int(data[1])*decisionBytes ||
		(len(data)-head-int(data[1])*decisionBytes)%wordBytes != 0 {
		return false
	}
	n := int(data[1])
	for data = data[head:]; n > 0; n, data = n-1, data[decisionBytes:] {
		f.hearDecision(now, int(data[0]), int(data[1]), decision{gen: binary.LittleEndian.Uint16(data[2:]), phase: Phase(data[4]),
			since: now - time.Duration(binary.LittleEndian.Uint16(data[5:]))*ageUnit})
	}
	for ; len(data) > 0; data = data[wordBytes:] {
		i := int(binary.LittleEndian.Uint16(data))
		w := word{stamp: binary.LittleEndian.Uint16(data[2:]), zone: data[5], says: binary.LittleEndian.Uint32(data[6:]),
			at: max(1, now-time.Duration(data[4])*wordUnit)}
		if i >= len(f.words) || i == f.c.Me || int(w.zone) >= f.c.Zones || now-w.at > darkFor {
			continue
		}
		// The clock of one that was silent for long may begin anew: its process has restarted.
		if have := &f.words[i]; have.at == 0 || int16(w.stamp-have.stamp) > 0 || now-have.at > darkFor {
			*have = w
		}
	}
	return true
}

// hearDecision takes a decision that has a higher generation, or the same and is more careful.
func (f *Fleet) hearDecision(now time.Duration, viewers, zone int, d decision) {
	if viewers == byHand && d.gen > 0 && (d.phase == Here || d.phase == Gone) {
		f.Obey(zone, Order{d.gen, d.phase == Gone})
		return
	}
	if viewers >= f.c.Zones || zone >= f.c.Zones || d.phase > Gone || d.gen == 0 {
		return
	}
	if viewers == f.c.Zone && f.orders[zone].Away { // of one that does not know: the same step, more careful
		d.phase = Gone
	}
	have := f.at(viewers, zone)
	newer := int16(d.gen-have.gen) > 0
	if !newer && (d.gen != have.gen || d.phase <= have.phase || have.phase == Here) {
		return
	}
	was := have.phase
	*have = d
	if viewers == f.c.Zone && was != d.phase {
		if d.phase == Gone {
			if f.falls[zone]++; f.fell[zone] == 0 || now-f.fell[zone] > fallsFor {
				f.falls[zone] = 0
			}
			f.fell[zone] = now
		}
		dark, fine := f.count(now, viewers, zone)
		f.entered(zone, d.phase, dark, fine)
	}
}
