package membership

import (
	"time"

	"yardwharf"
)

// takenOutReason is the logged state of a host that operators have taken out.
const takenOutReason = "out by hand"

// SetTakenOut sets the hosts that operators have taken out, and since when; those no
// longer named are put back. A host that is out gets no new work, whatever a source
// says. One that is put back counts as just started, unless a source reports a start
// since it was taken out: hosts are usually taken out for a restart, lists arrive
// late, and a cold host must not get a warm one's work. It reports whether any known
// host is affected.
func (f *Fleet) SetTakenOut(now time.Duration, out map[string]time.Duration) bool {
	h := &f.hosts
	var affected []*host
	for _, name := range sortedNames(h.takenOut) {
		if _, still := out[name]; still {
			continue
		}
		if n := h.byName[name]; n != nil {
			n.lastTakenOut, n.putBackAt, n.ReinstatedAt = h.takenOut[name], now, now
			affected = append(affected, n)
		}
		delete(h.takenOut, name)
	}
	for _, name := range sortedNames(out) {
		if _, already := h.takenOut[name]; already {
			continue
		}
		h.takenOut[name] = out[name]
		if n := h.byName[name]; n != nil {
			affected = append(affected, n)
		}
	}
	for _, n := range affected {
		addToLevels(n, -1)
		f.refresh(n, now)
	}
	f.updateDegraded(now)
	return len(affected) > 0
}

// Knows reports whether a host of this name is listed or was until recently.
func (f *Fleet) Knows(name string) bool { return f.hosts.byName[name] != nil }

// HostsEverListed returns the number of hosts ever listed; it rises with each new name.
func (f *Fleet) HostsEverListed() int { return f.hosts.lastNumber }

// Names returns the names of all known hosts, sorted.
func (f *Fleet) Names() []string { return sortedNames(f.hosts.byName) }

// applyManual adjusts a host that operators have taken out or put back.
func (h *hostTable) applyManual(n *host) {
	if _, n.TakenOut = h.takenOut[n.Name]; n.TakenOut && n.State == yardwharf.Ready {
		n.State, n.Reason = yardwharf.Draining, takenOutReason
	}
	if n.putBackAt > 0 && n.Started <= n.lastTakenOut {
		n.Started = n.putBackAt
	}
}
