package dispatcher

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"yardwharf/internal/service/transport"
)

// An episode without answers to renewals is logged once, with its end, and only if leases need those answers.
func TestUnansweredRenewalsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := withStores("a", "b", "c")
		for node, link := range d.stores {
			link.client = transport.NewClient(d.identity, node+":1")
		}
		var lines []string
		d.log = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
		answer := func(nodes ...string) {
			for _, node := range nodes {
				d.stores[node].lastReplyAt = d.now()
			}
			d.checkRenewals()
		}
		time.Sleep(time.Second)
		answer("a", "b", "c")
		time.Sleep(time.Second)
		answer("b", "c")
		c.Assert(lines, qt.HasLen, 0)
		time.Sleep(time.Second)
		answer("c")
		answer()
		c.Assert(lines, qt.HasLen, 1)
		c.Check(strings.Contains(lines[0], `"unanswered"=2`), qt.IsTrue, qt.Commentf("%s", lines[0]))
		time.Sleep(100 * time.Millisecond)
		answer("b")
		c.Assert(lines, qt.HasLen, 2)
		c.Check(strings.Contains(lines[1], `"after"="1s"`), qt.IsTrue, qt.Commentf("%s", lines[1]))
	})
}
