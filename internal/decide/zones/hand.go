package zones

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"time"
)

// What operators ask of a zone by hand is one register a zone, the same for all viewers, that
// goes with the other words. It is told as a decision of viewers that cannot be: a build that
// does not know of it passes over it.
const (
	byHand     = 255             // stands for the viewers of every zone
	ordersMost = 4               // in a message
	quiet      = 5 * time.Second // after an order: all have heard it
)

// ErrLast says that a zone is the last that may be drawn from.
var ErrLast = errors.New("zones: the others are left, this is the last one")

// Order is what operators ask of a zone: the one with the higher generation counts, and
// between equal ones to stay away. The zero Order asks nothing.
type Order struct {
	Gen  uint16
	Away bool
}

// Over says whether an order counts more than another.
func (o Order) Over(have Order) bool {
	return int16(o.Gen-have.Gen) > 0 || o.Gen == have.Gen && o.Away && !have.Away
}

// Ask is the Order that has a zone left by hand, or let return; nothing is changed by it
// until it is obeyed. What is asked for already is the same order again.
func (f *Fleet) Ask(now time.Duration, zone int, away bool) (Order, error) {
	have := f.orders[zone]
	if have.Away == away {
		return have, nil
	}
	others := 0
	for z := range f.c.Zones {
		if z != zone && !f.orders[z].Away && f.Part(now, z) > 0 {
			others++
		}
	}
	if away && others == 0 {
		return have, ErrLast
	}
	return Order{have.Gen + 1, away}, nil
}

// Obey takes an order, and says whether it was new. The next turn leaves the zone; a return
// begins as after a loss, when those that look there have had answers, with the same ramp.
func (f *Fleet) Obey(zone int, o Order) bool {
	if zone < 0 || zone >= f.c.Zones || !o.Over(f.orders[zone]) {
		return false
	}
	if f.orders[zone] = o; !o.Away {
		f.falls[zone] = 0 // it was no fall that ends
	}
	return true
}

// Order is what is asked of a zone now.
func (f *Fleet) Order(zone int) Order { return f.orders[zone] }

// Status is where a zone stands for this dispatcher.
type Status struct {
	Phase      Phase
	Part       float64 // of its draws
	Gen        uint16  // of the decision
	Falls      int     // within a minute
	Order      Order
	Dark, Fine int // words of its viewers
}

// Status tells of a zone.
func (f *Fleet) Status(now time.Duration, zone int) Status {
	dark, fine := f.count(now, f.c.Zone, zone)
	d := f.at(f.c.Zone, zone)
	return Status{d.phase, f.Part(now, zone), d.gen, f.falls[zone], f.orders[zone], dark, fine}
}

// writeOrders adds the orders, so that who hears of a zone that was left by hand hears why.
func (f *Fleet) writeOrders(buf []byte) []byte {
	from := f.rng.IntN(f.c.Zones)
	for n := range f.c.Zones {
		zone := (from + n) % f.c.Zones
		if o := f.orders[zone]; o.Gen > 0 && buf[1] < ordersMost {
			phase := Here
			if o.Away {
				phase = Gone
			}
			buf[1]++
			buf = append(buf, byHand, uint8(zone))
			buf = binary.LittleEndian.AppendUint16(buf, o.Gen)
			buf = append(buf, uint8(phase), 0, 0)
		}
	}
	return buf
}

// String is all that others have told or could be told, in one order: two that have heard the
// same say the same.
func (f *Fleet) String() string {
	var out strings.Builder
	for i := range f.words {
		if w := &f.words[i]; w.at > 0 && i != f.c.Me {
			fmt.Fprintf(&out, "word %d: %d %d %x\n", i, w.stamp, w.zone, w.says)
		}
	}
	for viewers := range f.c.Zones {
		for zone := range f.c.Zones {
			if d := f.decided[[2]uint8{uint8(viewers), uint8(zone)}]; d != nil && d.gen > 0 {
				fmt.Fprintf(&out, "zone %d for %d: %d %v\n", zone, viewers, d.gen, d.phase)
			}
		}
	}
	for zone, o := range f.orders {
		fmt.Fprintf(&out, "order %d: %+v\n", zone, o)
	}
	return out.String()
}
