package dispatcher

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"
)

// A queue that gets no lease is logged once, with the stores that lack; so is that
// too few stores count for any.
func TestLeasesThatCannotBeHadAreLogged(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	var lines []string
	d.log = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	for _, node := range []string{"a", "b", "c"} {
		d.stores[node] = &storeLink{node: node, up: true, storeID: "disk", fullDisk: "disk"}
	}
	owned := own(d, "ordered/1", 3)
	d.leases.Renewed("a", d.now(), d.now())
	d.leases.Granted("a", owned.Name, 3, d.now())
	look := func(ago time.Duration) {
		d.started = d.started.Add(-ago)
		d.leases.Renewed("a", d.now(), d.now())
		d.leases.Granted("a", owned.Name, 3, d.now())
		d.watchLeases()
	}
	look(leaseWatchEvery)
	look(leaseLateAfter / 2)
	c.Assert(lines, qt.HasLen, 0)
	look(leaseLateAfter)
	look(leaseLateAfter)
	c.Assert(lines, qt.HasLen, 2, qt.Commentf("one line a store that lacks: %v", lines))
	c.Assert(strings.Contains(lines[0], `"store"="b"`) && strings.Contains(lines[1], `"store"="c"`), qt.IsTrue)

	d.stores["b"].storeID, d.stores["c"].up = "new", false
	look(leaseWatchEvery)
	look(leaseWatchEvery)
	c.Assert(lines, qt.HasLen, 3)
	c.Assert(lines[2], qt.Contains, `"enough"=false "known"=3 "counting"=1 "wanted"=2`)
}
