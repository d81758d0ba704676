package hollow

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/view"
)

// smallSize is a deployment that is measured within about a second.
func smallSize() Size {
	return Size{
		Dispatchers: 20, Destinations: 300, Tolerated: 1, Rest: 4 * time.Second, Churn: 8 * time.Second,
		Messages: 200, Sockets: 3, SocketTime: 200 * time.Millisecond,
	}
}

func TestSmallSizeIsMeasured(t *testing.T) {
	report, err := Run(context.Background(), smallSize(), defaultMemoryGb)
	if err != nil {
		t.Fatal(err)
	}
	if report.Spread.Changes == 0 || report.Spread.Unserved > 0 {
		t.Errorf("%d changes of configuration, of which %d did not come: want some changes, all of which come",
			report.Spread.Changes, report.Spread.Unserved)
	}
	if last := report.Spread.Last; last < 2*nearLatency || last > 4*time.Second {
		t.Errorf("the last dispatcher worked by a configuration after %v, want some milliseconds to 4 s", last)
	}
	if rest, churn := report.Rest.bytesPerS(report.Rest.Agent), report.Churn.bytesPerS(report.Churn.Agent); rest <= 0 || churn <= rest {
		t.Errorf("an agent takes %.0f bytes/s at rest and %.0f with changes, want more with changes", rest, churn)
	}
	if report.Machine.AgentMemory <= 0 || report.Machine.DispatcherMemory <= 0 {
		t.Errorf("memory of agent and dispatcher: %d and %d bytes", report.Machine.AgentMemory, report.Machine.DispatcherMemory)
	}
	if report.Sockets.ListTransfer != "works" {
		t.Errorf("the transfer of a short list over a connection %s", report.Sockets.ListTransfer)
	}
	if report.Backlog.DiskBytes < bodyBytes {
		t.Errorf("a message takes %.0f bytes of disk, less than its body", report.Backlog.DiskBytes)
	}
	var table bytes.Buffer
	if err := WriteTable(&table, []Report{report}); err != nil {
		t.Fatal(err)
	}
	for _, wanted := range []string{"in force at the last dispatcher", "BACKLOG"} {
		if !strings.Contains(table.String(), wanted) {
			t.Errorf("the table lacks %q:\n%s", wanted, &table)
		}
	}
}

func TestSizeBeyondTheMemoryIsRefused(t *testing.T) {
	_, err := Run(context.Background(), NewSize(3200, 23_000_000), defaultMemoryGb)
	if err == nil || !strings.Contains(err.Error(), "GB of memory, over the limit of 6.0 GB") {
		t.Fatalf("error %v, want a refusal with the figure", err)
	}
	var out, log bytes.Buffer
	began := time.Now()
	status := Main([]string{"--dispatchers", "100,1000000", "--destinations", "2300"}, &out, &log)
	if status != 1 || !strings.Contains(log.String(), "over the limit") || out.Len() > 0 {
		t.Errorf("status %d, output %q, log %q: want a refusal", status, &out, &log)
	}
	if spent := time.Since(began); spent > time.Second {
		t.Errorf("the refusal took %v: a smaller size has run before it", spent)
	}
}

func TestSizesWithoutSenseAreRefused(t *testing.T) {
	for _, args := range [][]string{{"--dispatchers", "0"}, {"--destinations", "-3"}, {"--dispatchers", ""}} {
		var out, log bytes.Buffer
		if status := Main(args, &out, &log); status == 0 {
			t.Errorf("%q ends with status 0", args)
		}
	}
	var out, log bytes.Buffer
	if status := Main([]string{"--no-such-flag"}, &out, &log); status != 2 {
		t.Errorf("an unknown flag ends with status %d, want 2", status)
	}
}

// The bytes that the simulation counts are those of a real connection: with
// the same topics, an agent takes about the same at rest.
func TestSimulatedBytesMatchSockets(t *testing.T) {
	size := smallSize()
	size.Messages, size.SocketTime = 0, 1200*time.Millisecond
	sockets, err := measureSockets(context.Background(), size)
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(size, machineCost{})
	rest := f.measure(10 * time.Second)
	simulated := rest.bytesPerS(rest.Agent)
	if ratio := sockets.BytesPerS / simulated; ratio < 0.6 || ratio > 1.8 {
		t.Errorf("%.0f bytes/s over sockets and %.0f simulated", sockets.BytesPerS, simulated)
	}
}

// An agent that restarts holds all topics again, under the newest versions.
func TestRestartedAgentCatchesUp(t *testing.T) {
	f := newFleet(smallSize(), machineCost{})
	agent := f.agents[0]
	f.runUntil(f.now.Add(time.Second))
	f.restart(agent)
	f.runUntil(f.now.Add(restartTime + time.Second))
	for _, update := range f.members[0].hub.All("") {
		if held := agent.vector[update.Topic]; held != update.Version {
			t.Errorf("topic %s: version %v, want %v", update.Topic, held, update.Version)
		}
	}
}

// A machine that fails without a word is declared dead at all control members.
func TestFailedAgentIsDeclaredDead(t *testing.T) {
	f := newFleet(smallSize(), machineCost{})
	failed := f.agents[3]
	f.runUntil(f.now.Add(time.Second))
	f.fail(failed)
	f.runUntil(f.now.Add(6 * heartbeatPeriod))
	for _, member := range f.members {
		found := 0
		for _, update := range member.hub.All(view.TopicMembers) {
			for _, state := range update.Payload.(view.Members).Nodes {
				if state.Key() != view.Key(failed.identity) {
					continue
				}
				found++
				if state.Alive {
					t.Errorf("%s holds %s for alive by the word of %s", member.identity.Node, state.Key(), update.Topic)
				}
			}
		}
		if found != f.size.Tolerated+1 {
			t.Errorf("%s knows %d statements on the machine that failed, want %d", member.identity.Node, found, f.size.Tolerated+1)
		}
	}
}

// An agent that was too busy for one configuration and got the next one works
// by both.
func TestSkippedConfigurationIsInForceWithTheNext(t *testing.T) {
	f := newFleet(smallSize(), machineCost{})
	first := &configurationChange{version: distribution.Version{Epoch: 1, Counter: 5}, inForce: map[*process]time.Time{}}
	second := &configurationChange{version: distribution.Version{Epoch: 1, Counter: 6}, inForce: map[*process]time.Time{}}
	undecided := &configurationChange{inForce: map[*process]time.Time{}}
	f.changes = []*configurationChange{first, second, undecided}
	f.noteInForce(f.agents[0], second.version, f.now)
	for name, change := range map[string]*configurationChange{"first": first, "second": second} {
		if at, noted := change.inForce[f.agents[0]]; !noted || !at.Equal(f.now) {
			t.Errorf("%s change: in force at %v (%v), want at %v", name, at, noted, f.now)
		}
	}
	if len(undecided.inForce) > 0 {
		t.Error("a change that is not decided is in force")
	}
}
