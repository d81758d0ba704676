package dispatcher

import (
	"context"
	"strings"
	"sync"
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
		var mutex sync.Mutex
		var lines []string
		d.log = funcr.New(func(_, line string) {
			mutex.Lock()
			defer mutex.Unlock()
			lines = append(lines, line)
		}, funcr.Options{})
		logged := func() []string {
			mutex.Lock()
			defer mutex.Unlock()
			return lines
		}
		ctx, stop := context.WithCancel(t.Context())
		go d.watchStandstill(ctx)
		time.Sleep(time.Second)
		c.Check(logged(), qt.HasLen, 0)
		for !d.mutex.TryLock() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		c.Check(logged(), qt.HasLen, 1)
		c.Check(strings.Contains(logged()[0], "TestStandstillIsLogged"), qt.IsTrue)
		d.mutex.Unlock()
		time.Sleep(time.Second)
		c.Check(logged(), qt.HasLen, 2)
		c.Check(strings.Contains(logged()[1], `"stood still"`), qt.IsTrue)
		stop()
		time.Sleep(time.Second)
	})
}
