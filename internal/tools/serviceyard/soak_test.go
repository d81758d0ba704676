package serviceyard

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	soakSeeds   = flag.Int("soak.seeds", 2, "number of soak runs")
	soakSeed    = flag.Uint64("soak.seed", 2, "seed of the first soak run")
	soakTime    = flag.Duration("soak.time", 15*time.Second, "how long load and faults of a soak run last")
	soakEdges   = flag.Int("soak.edges", 0, "edge machines of a soak run, two processes each; 0: three")
	soakClients = flag.Int("soak.clients", 9, "clients of a soak run")
	soakPause   = flag.Duration("soak.pause", 40*time.Millisecond, "pause of a client between two messages, on average")
)

// soakMost bounds a run beyond its load: its start, the ends of all messages and their states.
const soakMost = 2 * time.Minute

// soakSecondAnswers: one answer of a worker in so many is given twice.
const soakSecondAnswers = 7

// plannedEvery is how many seeds there are for each whose processes are only asked to
// end: after a kill, a connection that breaks is nobody's fault.
const plannedEvery = 3

// TestSoak runs load and faults on real processes. By hand:
//
//	go test ./internal/tools/serviceyard -run Soak -timeout 1h -soak.seeds 50 -soak.time 20s
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			ctx, y := startYardOf(c, Options{Edges: *soakEdges, SecondAnswers: soakSecondAnswers}, *soakTime+soakMost)
			report := y.Soak(ctx, SoakOptions{
				Seed: seed, Duration: *soakTime, Clients: *soakClients, Pause: *soakPause, Planned: seed%plannedEvery == 0,
			})
			t.Logf("seed %d: %d accepted, %d refused, %d uncertain, %d cut, %d events",
				seed, report.Accepted, report.Refused, report.Uncertain, report.Cut, len(report.Events))
			c.Check(report.Accepted > 0, qt.IsTrue)
			for _, fault := range report.Faults {
				t.Error(fault)
			}
			if t.Failed() {
				for _, event := range report.Events {
					t.Log(event)
				}
			}
		})
	}
}
