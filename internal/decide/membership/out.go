package membership

import (
	"time"

	"yardwharf"
)

// outByHand is why a host that would serve does not, as logs show it.
const outByHand = "out by hand"

// SetOut says which hosts are out by hand, and since when; those out so far that
// are not named are back. Whatever a source says, now or later, a host that is out
// gets nothing new. One that is back is taken as just started, unless a source has
// told of a start since it went out: it went out to be restarted, lists come late,
// and a cold host must not get a warm one's work. It says whether anything changes.
func (f *Fleet) SetOut(now time.Duration, out map[string]time.Duration) bool {
	h := &f.hosts
	var again []*host
	for _, name := range sortedNames(h.out) {
		if _, still := out[name]; still {
			continue
		}
		if n := h.byName[name]; n != nil {
			n.wasOut, n.back, n.PutBack = h.out[name], now, now
			again = append(again, n)
		}
		delete(h.out, name)
	}
	for _, name := range sortedNames(out) {
		if _, already := h.out[name]; already {
			continue
		}
		h.out[name] = out[name]
		if n := h.byName[name]; n != nil {
			again = append(again, n)
		}
	}
	for _, n := range again {
		count(n, -1)
		f.remerge(n, now)
	}
	f.settleDegraded(now)
	return len(again) > 0
}

// Knows says whether a host of this name is listed, or was not long ago.
func (f *Fleet) Knows(name string) bool { return f.hosts.byName[name] != nil }

// Listings counts the names that there ever were: it rises with each new one.
func (f *Fleet) Listings() int { return f.hosts.number }

// Names are the names of all such hosts, in order.
func (f *Fleet) Names() []string { return sortedNames(f.hosts.byName) }

// byHand sets what is told of a host that operators have taken out, or put back.
func (h *hosts) byHand(n *host) {
	if _, n.Out = h.out[n.Name]; n.Out && n.State == yardwharf.Ready {
		n.State, n.Why = yardwharf.Draining, outByHand
	}
	if n.back > 0 && n.Started <= n.wasOut {
		n.Started = n.back
	}
}
