package simulation

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

var (
	seeds     = flag.Int("seeds", 3, "number of seeds to play")
	longSeeds = flag.Int("long", 2, "number of seeds to play of long days")
	firstSeed = flag.Uint64("seed", 1, "first seed")
	kinds     = flag.String("kinds", "", "kinds of faults, separated by commas; empty: all")
	verbose   = flag.Bool("roles", false, "print the logs of the roles")
)

// backlogLoad is how long clients send while services are dark again and again.
const backlogLoad = 20 * time.Second

// Syncs of slow disks take slowSync, longer than a store is waited for: most new messages are refused, for
// less than RECOVER looks at.
const (
	slowSync = 200 * time.Millisecond
	slowLoad = 11 * time.Second
)

// longLoad is how long clients send on a long day.
const longLoad = 45 * time.Second

// play plays one run and prints what it has shown.
func play(t *testing.T, options Options) Report {
	var report Report
	began := time.Now()
	synctest.Test(t, func(*testing.T) {
		start := time.Now()
		if *verbose {
			options.Log = funcr.New(func(prefix, line string) {
				fmt.Printf("%8.3f %s %s\n", time.Since(start).Seconds(), prefix, line)
			}, funcr.Options{})
		} else {
			options.Log = logr.Discard()
		}
		report = Run(options)
	})
	t.Logf("seed %d in %v: %d tries, %d accepted, %d refused, %d runs, %d ended, %d orders, %d faults",
		report.Seed, time.Since(began).Round(time.Millisecond), report.Sent, report.Accepted, report.Refused,
		report.Runs, report.Ended, report.Orders, len(report.Faults))
	if len(report.Breaks) > 0 {
		t.Errorf("seed %d:\n  %s\nfaults:\n  %s", report.Seed, strings.Join(report.Breaks, "\n  "), strings.Join(report.Faults, "\n  "))
	}
	return report
}

func TestQuietDay(t *testing.T) {
	report := play(t, Options{Seed: *firstSeed, Quiet: true})
	if report.Accepted < 500 || report.Refused > 0 || report.Ended < report.Accepted {
		t.Errorf("a quiet day: %+v", report)
	}
}

func TestDaysWithFaults(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, Options{Seed: seed, Kinds: chosenKinds()}) })
	}
}

// STATE: the clock of a store is set half a second before all machines lose power, and the disk of another store is lost later.
// Ended messages are still answered for.
func TestClockSetBeforeAllPowerIsLost(t *testing.T) {
	const seed = 910012
	play(t, Options{Seed: seed})
}

// chosenKinds returns the kinds of faults that were asked for; nil: all.
func chosenKinds() []string {
	if *kinds == "" {
		return nil
	}
	return strings.Split(*kinds, ",")
}

// Services to which a route leads are dark while the operator moves the route on: what has
// waited for them goes where the configuration in force sends it.
func TestBacklogsThroughChanges(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, Options{Seed: seed, Kinds: []string{"darkRoute"}, Routes: []string{"changed"}, Load: backlogLoad})
		})
	}
}

// Dispatchers and stores are stopped in turn, and senders leave, while disks take longer than a store is
// waited for: what has succeeded does not run again, whoever has its queue.
func TestMessagesRunOnceThroughPlannedWork(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, Options{
				Seed: seed, Kinds: []string{"stopDispatcher", "stopStore", "drainSender"}, Load: slowLoad, StoreSync: slowSync,
			})
		})
	}
}

// Storage machines are lost for good and replaced at other addresses, each with its
// control member, and others are killed between.
func TestMachinesReplacedInTurn(t *testing.T) {
	for i := range *longSeeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, Options{Seed: seed, Kinds: []string{"replaceMachine", "killMachine"}, Load: longLoad, OnStorage: true})
		})
	}
}

// A long day of machines that are lost as a whole, the control member with the store:
// replaced at other addresses, restarted, all at once.
func TestLongDaysOfWholeMachines(t *testing.T) {
	for i := range *longSeeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, Options{Seed: seed, Kinds: chosenKinds(), Load: longLoad, OnStorage: true})
		})
	}
}
