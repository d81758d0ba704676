package dispatcher

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"
)

// What keeps the mutex for long is logged while it does, and that the dispatcher stood still afterwards.
func TestStandstillIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := withStores()
		var lines []string
		d.log = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
		ctx, stop := context.WithCancel(t.Context())
		go d.watchStandstill(ctx)
		time.Sleep(time.Second)
		c.Check(lines, qt.HasLen, 0)
		for !d.mutex.TryLock() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		c.Check(lines, qt.HasLen, 1)
		c.Check(strings.Contains(lines[0], "TestStandstillIsLogged"), qt.IsTrue)
		d.mutex.Unlock()
		time.Sleep(time.Second)
		c.Check(lines, qt.HasLen, 2)
		c.Check(strings.Contains(lines[1], `"stood still"`), qt.IsTrue)
		stop()
		time.Sleep(time.Second)
	})
}
