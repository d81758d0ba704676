package zones

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Manual orders of operators are one register per zone, the same for all observers, and are
// sent with the decisions. An order is encoded as a decision of an observer zone that cannot
// exist, so that builds without support for orders ignore it.
const (
	manualOrder     = 255             // marks an order in place of the observers' zone
	maxOrders       = 4               // in one message
	orderSpreadTime = 5 * time.Second // after an order, when all dispatchers have it
)

// ErrLastZone means that a zone is the last one in use.
var ErrLastZone = errors.New("zones: the others are left, this is the last one")

// Order is an operator's order to leave a zone or to return to it. The higher generation
// wins, and of equal ones the order to stay away. The zero Order has no effect.
type Order struct {
	Gen  uint16
	Away bool
}

// Supersedes reports whether an order supersedes another.
func (o Order) Supersedes(have Order) bool {
	return int16(o.Gen-have.Gen) > 0 || o.Gen == have.Gen && o.Away && !have.Away
}

// NewOrder returns the Order to leave a zone or to return to it. Nothing changes until the order
// is passed to ApplyOrder. If it is in force already, the present order is returned.
func (f *Coordinator) NewOrder(now time.Duration, zone int, away bool) (Order, error) {
	have := f.orders[zone]
	if have.Away == away {
		return have, nil
	}
	others := 0
	for z := range f.config.Zones {
		if z != zone && !f.orders[z].Away && f.Share(now, z) > 0 {
			others++
		}
	}
	if away && others == 0 {
		return have, ErrLastZone
	}
	return Order{have.Gen + 1, away}, nil
}

// ApplyOrder applies an order and reports whether it was new. The next tick leaves the zone; a
// return begins as after a failure, once probes have had answers, with the same ramp.
func (f *Coordinator) ApplyOrder(zone int, o Order) bool {
	if zone < 0 || zone >= f.config.Zones || !o.Supersedes(f.orders[zone]) {
		return false
	}
	if f.orders[zone] = o; !o.Away {
		f.failures[zone] = 0 // the zone was left by order, not after a failure
	}
	return true
}

// Order returns the order in force for a zone.
func (f *Coordinator) Order(zone int) Order { return f.orders[zone] }

// Status describes a zone as this dispatcher sees it.
type Status struct {
	Phase                  Phase
	Share                  float64 // share of its normal traffic
	Gen                    uint16  // of the decision
	Failures               int     // repeated failures, each within a minute of the one before
	Order                  Order
	Unreachable, Reachable int // numbers of reports that it is unreachable and reachable
}

// Status returns the status of a zone.
func (f *Coordinator) Status(now time.Duration, zone int) Status {
	unreachable, reachable := f.countReports(now, f.config.Zone, zone)
	d := f.decisionFor(f.config.Zone, zone)
	return Status{d.phase, f.Share(now, zone), d.gen, f.failures[zone], f.orders[zone], unreachable, reachable}
}

// appendOrders adds the orders to a message, so that peers learn why a zone was left.
func (f *Coordinator) appendOrders(buf []byte) []byte {
	from := f.rng.IntN(f.config.Zones)
	for n := range f.config.Zones {
		zone := (from + n) % f.config.Zones
		if o := f.orders[zone]; o.Gen > 0 && buf[1] < maxOrders {
			phase := InUse
			if o.Away {
				phase = Left
			}
			buf[1]++
			buf = append(buf, manualOrder, uint8(zone))
			buf = binary.LittleEndian.AppendUint16(buf, o.Gen)
			buf = append(buf, uint8(phase), 0, 0)
		}
	}
	return buf
}

// String returns the shared state in a fixed order: dispatchers with the same state return
// the same text.
func (f *Coordinator) String() string {
	var out strings.Builder
	for i := range f.reports {
		if r := &f.reports[i]; r.madeAt > 0 && i != f.config.Me {
			fmt.Fprintf(&out, "report %d: %d %d %x\n", i, r.stamp, r.zone, r.verdicts)
		}
	}
	for observers := range f.config.Zones {
		for zone := range f.config.Zones {
			if d := f.decisions[[2]uint8{uint8(observers), uint8(zone)}]; d != nil && d.gen > 0 {
				fmt.Fprintf(&out, "zone %d for %d: %d %v\n", zone, observers, d.gen, d.phase)
			}
		}
	}
	for zone, o := range f.orders {
		fmt.Fprintf(&out, "order %d: %+v\n", zone, o)
	}
	return out.String()
}
