package dispatcher

import (
	"context"
	"sync"
	"time"

	"yardwharf/internal/service/placement"
	"yardwharf/internal/service/settings"
)

// Fractions of the grace period.
const (
	serveFraction        = 0.42 // clients are still served while the platform redirects them
	sharedQueuesFraction = 0.6  // deadline for deliveries of shared queues
	localQueueFraction   = 0.75 // deadline for deliveries of the local queue
	attemptsFraction     = 0.85 // deadline for deliveries that outlast their queues
	outcomesFraction     = 0.95 // deadline for making the outcomes that were read known to other processes
	requestsFraction     = 0.1  // for client requests under way, each time they are awaited
)

// leave ends the role: it keeps serving until the platform has redirected clients,
// hands its queues over and waits for work under way.
func (d *Dispatcher) leave(front *frontServer) {
	start := time.Now()
	grace := settings.Seconds(d.settings.Bounds.GraceS)
	d.draining.Store(true)
	d.log.Info("leaving")
	d.mutex.Lock()
	d.attemptsEnd = d.now() + fraction(grace, attemptsFraction)
	for _, link := range d.stores {
		signal(link.renewNow)
	}
	d.mutex.Unlock()
	finish, cancel := context.WithDeadline(context.Background(), start.Add(fraction(grace, localQueueFraction)))
	defer cancel()
	shared, cancelShared := context.WithDeadline(finish, start.Add(fraction(grace, sharedQueuesFraction)))
	d.handOverAll(shared, func(name string) bool { return !isLocal(name) })
	cancelShared()
	pause(finish, time.Until(start.Add(fraction(grace, serveFraction))))
	front.stopListening()
	front.awaitIdle(finish, fraction(grace, requestsFraction))
	d.mutex.Lock()
	d.closing = true
	d.mutex.Unlock()
	d.handOverAll(finish, isLocal)
	d.awaitFlush(finish)
	last, cancelLast := context.WithDeadline(context.Background(), start.Add(fraction(grace, attemptsFraction)))
	defer cancelLast()
	d.awaitAttempts(last)
	d.abandonAttempts()
	known, cancelKnown := context.WithDeadline(context.Background(), start.Add(fraction(grace, outcomesFraction)))
	defer cancelKnown()
	var ending sync.WaitGroup
	ending.Go(func() { front.shutdown(fraction(grace, requestsFraction)) })
	ending.Go(func() { d.awaitOutcomesKnown(known) })
	ending.Wait()
	time.Sleep(relayDrainTime)
	d.log.Info("left")
}

func fraction(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(duration))
}

// mayFinish reports whether an attempt that begins now ends before this process stops reading answers. One that may not
// is left to the next owner, which would have to run the message again. The mutex is held.
func (d *Dispatcher) mayFinish(timeout time.Duration) bool {
	return d.attemptsEnd == 0 || d.now()+timeout <= d.attemptsEnd
}

// handOverAll hands over the queues that the function selects.
func (d *Dispatcher) handOverAll(ctx context.Context, selected func(string) bool) {
	d.mutex.Lock()
	successors := map[string]string{}
	for name := range d.queues {
		if selected(name) {
			successors[name] = d.successor(name)
		}
	}
	d.mutex.Unlock()
	var handOvers sync.WaitGroup
	for name, successor := range successors {
		owned := d.beginLeaving(name)
		if owned == nil {
			continue
		}
		handOvers.Add(1)
		go func() {
			defer handOvers.Done()
			d.handOver(ctx, owned, successor)
		}()
	}
	handOvers.Wait()
}

// successor returns the most preferred other dispatcher for a queue. The mutex is
// held.
func (d *Dispatcher) successor(name string) string {
	for _, node := range placement.Order(name, d.table.nodes) {
		if node != d.identity.Node {
			return node
		}
	}
	return ""
}

// awaitFlush waits until all stores that are up have recorded all ends.
func (d *Dispatcher) awaitFlush(ctx context.Context) {
	for ctx.Err() == nil {
		d.mutex.Lock()
		done := d.allEndsRecorded()
		d.mutex.Unlock()
		if done {
			return
		}
		pause(ctx, 10*time.Millisecond)
	}
}
