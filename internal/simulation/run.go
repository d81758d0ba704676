package simulation

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
)

// Options choose a run.
type Options struct {
	Seed  uint64
	Quiet bool     // no faults; the operator changes the configuration all the same
	Kinds []string // of faults; empty: all
	Log   logr.Logger

	Routes    []string      // that clients send messages to; empty: all
	Load      time.Duration // how long clients send; 0: loadTime
	StoreSync time.Duration // that a store's disk takes for a sync; 0: syncTime
	OnStorage bool          // control members run on the machines of the stores, and are lost with them
}

func (o *Options) routes() []string {
	if len(o.Routes) == 0 {
		return routeNames
	}
	return o.Routes
}

func (o *Options) load() time.Duration { return cmp.Or(o.Load, loadTime) }

// Report is what a run has shown.
type Report struct {
	Seed     uint64
	Sent     int // tries
	Accepted int
	Refused  int
	Runs     int // attempts that senders began
	Ended    int // accepted messages that have ended
	Orders   int // configurations acknowledged
	Faults   []string
	Breaks   []string
}

// Run plays one day. It must be called inside a bubble of testing/synctest.
func Run(options Options) Report {
	if options.Log.GetSink() == nil {
		options.Log = logr.Discard()
	}
	w := newWorld(options)
	ctx, cancel := context.WithCancel(context.Background())
	w.startAll()
	load, orders, faults := w.stream(10), w.stream(11), w.stream(12)
	w.operator.change(orders)
	w.parties.Go(func() { w.clients.watchReadiness(ctx) })
	time.Sleep(max(0, startTime-w.journal.now()))
	w.parties.Go(func() { w.changeConfigurations(orders) })
	if !options.Quiet {
		w.parties.Go(func() { w.injectFaults(faults) })
	}
	w.parties.Go(func() { w.clients.watchStates(ctx, w.stream(13)) })
	w.parties.Go(func() { w.operator.watchReads(ctx, w.stream(14)) })
	w.clients.run(options.load(), load)
	w.losses.Wait()
	time.Sleep(finishTime)
	w.clients.askAll(load)
	final := w.operator.read(orders)
	cancel()
	w.parties.Wait()
	report := w.check(final)
	w.stopAll()
	return report
}

// stream returns random numbers for one party.
func (w *world) stream(number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.options.Seed, number))
}

// changeConfigurations sends changes while the load lasts.
func (w *world) changeConfigurations(random *rand.Rand) {
	for w.journal.now() < startTime+w.options.load()-time.Second {
		time.Sleep(time.Second + time.Duration(random.IntN(1500))*time.Millisecond)
		if random.IntN(3) == 0 {
			w.operator.race(random)
		} else {
			w.operator.change(random)
		}
	}
}
