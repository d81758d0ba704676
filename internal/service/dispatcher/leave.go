package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"yardwharf/internal/service/placement"
	"yardwharf/internal/service/settings"
)

// Parts of the grace time.
const (
	serveOnPart = 0.42 // clients are served on, while the platform turns to others
	finishPart  = 0.75 // deliveries under way may end until then
)

// leave ends the role: it serves on until the platform has turned to others,
// hands its queues over and lets what is under way end.
func (d *Dispatcher) leave(server *http.Server) {
	begun := time.Now()
	grace := settings.Seconds(d.settings.Bounds.GraceS)
	d.draining.Store(true)
	d.log.Info("leaving")
	d.mutex.Lock()
	for _, link := range d.stores {
		signal(link.kick)
	}
	d.mutex.Unlock()
	finish, cancel := context.WithDeadline(context.Background(), begun.Add(part(grace, finishPart)))
	defer cancel()
	d.handOverAll(finish, func(name string) bool { return !isLocal(name) })
	pause(finish, time.Until(begun.Add(part(grace, serveOnPart))))
	stop, cancelStop := context.WithTimeout(context.Background(), part(grace, 0.2))
	_ = server.Shutdown(stop)
	cancelStop()
	d.mutex.Lock()
	d.closing = true
	d.mutex.Unlock()
	d.handOverAll(finish, isLocal)
	d.awaitFlush(finish)
	d.log.Info("left")
}

func part(whole time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(whole))
}

// handOverAll hands over the queues that a function chooses.
func (d *Dispatcher) handOverAll(ctx context.Context, choose func(string) bool) {
	d.mutex.Lock()
	successors := map[string]string{}
	for name := range d.queues {
		if choose(name) {
			successors[name] = d.successor(name)
		}
	}
	d.mutex.Unlock()
	var moves sync.WaitGroup
	for name, successor := range successors {
		owned := d.beginLeaving(name)
		if owned == nil {
			continue
		}
		moves.Add(1)
		go func() {
			defer moves.Done()
			d.handOver(ctx, owned, successor)
		}()
	}
	moves.Wait()
}

// successor returns the first other dispatcher in a queue's order. The mutex is
// held.
func (d *Dispatcher) successor(name string) string {
	for _, node := range placement.Order(name, d.table.nodes) {
		if node != d.identity.Node {
			return node
		}
	}
	return ""
}

// awaitFlush waits until the stores have all ends.
func (d *Dispatcher) awaitFlush(ctx context.Context) {
	for ctx.Err() == nil {
		d.mutex.Lock()
		done := d.flushed()
		d.mutex.Unlock()
		if done {
			return
		}
		pause(ctx, 10*time.Millisecond)
	}
}
