package serviceyard

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/commands"
	"yardwharf/internal/service/status"
	"yardwharf/internal/tools/standin/worker"
)

// roleVariable makes the test's program run a role instead of the tests.
const roleVariable = "SERVICEYARD_ROLE"

const testTimeout = 90 * time.Second

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		os.Exit(commands.Main([]string{role}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// startYard starts a yard whose roles are processes of the test's own program,
// and awaits that it serves.
func startYard(c *qt.C) (context.Context, *Yard) {
	return startYardOf(c, Options{Edges: 0}, testTimeout)
}

// startYardOf starts a yard with so many edge machines, for so long at the most.
func startYardOf(c *qt.C, options Options, most time.Duration) (context.Context, *Yard) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	c.Cleanup(cancel)
	folder := c.TempDir()
	options.Folder, options.Failing = folder, 3
	options.Command = func(role string) *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), roleVariable+"="+role)
		return cmd
	}
	y, err := Start(options)
	c.Cleanup(func() { checkLogs(c, folder) })
	c.Cleanup(y.Close)
	c.Assert(err, qt.IsNil)
	c.Assert(y.Configure(ctx, 0, 1), qt.IsNil)
	c.Assert(y.AwaitReady(ctx), qt.IsNil)
	c.Assert(y.Started(), qt.IsNil)
	return ctx, y
}

// checkLogs fails where a process has panicked or the race detector has spoken,
// and prints what the processes of a failed test have logged.
func checkLogs(c *qt.C, folder string) {
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	c.Check(err, qt.IsNil)
	for _, path := range logs {
		content, err := os.ReadFile(path)
		c.Check(err, qt.IsNil)
		for _, defect := range []string{"DATA RACE", "panic: ", "fatal error: "} {
			c.Check(bytes.Contains(content, []byte(defect)), qt.IsFalse, qt.Commentf("%s: %s", filepath.Base(path), defect))
		}
		if c.Failed() {
			c.Logf("%s:\n%s", filepath.Base(path), content)
		}
	}
}

// awaitStores waits until every dispatcher is in touch with all stores and every
// control member knows the configuration, so that one more machine may be lost.
func awaitStores(c *qt.C, ctx context.Context, y *Yard) {
	c.Helper()
	c.Assert(y.AwaitReady(ctx), qt.IsNil)
	whole := func(address string) bool {
		report, err := status.Ask(ctx, address)
		up := 0
		for _, store := range report.Stores {
			if store.Up && !store.Recovering {
				up++
			}
		}
		return err == nil && report.Revision == 1 && up == machinesOfAClass
	}
	for _, role := range []string{RoleDispatcher, RoleControl} {
		for _, address := range y.InternalAddresses(role) {
			c.Assert(Await(ctx, func() bool { return whole(address) }), qt.IsNil, qt.Commentf("%s", address))
		}
	}
}

// TestNothingAcceptedIsLostWithFaults sends messages of all kinds while a store and a
// dispatcher are killed and started again, then a control member ends and
// returns, then another store stands still as one that is cut off. Never is more
// than one machine lost that counts for the quorum.
func TestNothingAcceptedIsLostWithFaults(t *testing.T) {
	c := qt.New(t)
	ctx, y := startYard(c)
	client := NewClient(y)
	sent := make(chan struct{})
	load := Load{Plain: 250, Delayed: 20, Rated: 120, Keys: 8, PerKey: 30, Every: 30 * time.Millisecond}
	go func() {
		defer close(sent)
		y.Send(ctx, client, load)
	}()
	more := func(count int) { // waits until so many more are accepted
		c.Helper()
		wanted := len(client.Accepted()) + count
		c.Assert(Await(ctx, func() bool { return len(client.Accepted()) >= wanted }), qt.IsNil)
		c.Logf("%d accepted, %d uncertain", len(client.Accepted()), len(client.Uncertain()))
	}
	more(40)
	store, frozen := y.Process(RoleStore, 1), y.Process(RoleStore, 2)
	dispatcher, control := y.Process(RoleDispatcher, 2), y.Process(RoleControl, 1)
	c.Assert(store.Kill(), qt.IsNil)
	more(60)
	c.Assert(dispatcher.Kill(), qt.IsNil)
	more(40)
	c.Assert(store.Start(), qt.IsNil)
	c.Assert(dispatcher.Start(), qt.IsNil)
	awaitStores(c, ctx, y)
	c.Assert(control.Terminate(), qt.IsNil)
	more(40)
	c.Assert(control.Start(), qt.IsNil)
	awaitStores(c, ctx, y)
	c.Assert(frozen.Freeze(), qt.IsNil)
	more(40)
	c.Assert(frozen.Thaw(), qt.IsNil)
	<-sent

	all := client.Accepted()
	uncertain := client.Uncertain()
	c.Logf("accepted %d of %d, uncertain %d", len(all), load.Total(), len(uncertain))
	for _, m := range uncertain {
		c.Logf("uncertain: %s, status %d after %v", m.ID, m.Status, m.Took)
	}
	c.Check(len(all)+len(uncertain), qt.Equals, load.Total())
	c.Check(len(uncertain) < load.Total()/10, qt.IsTrue)
	_ = Await(ctx, func() bool { return len(Unfinished(all, y.Ledger))+len(WithoutCallback(all, y.Receiver)) == 0 })
	runs := y.Ledger.Runs()
	c.Check(Unfinished(all, y.Ledger), qt.HasLen, 0)
	c.Check(WithoutCallback(all, y.Receiver), qt.HasLen, 0)
	c.Check(CallbackFaults(all, y.Ledger, y.Receiver), qt.HasLen, 0)
	c.Check(OrderFaults(all, runs), qt.HasLen, 0)
	c.Check(EarlyFaults(all, runs), qt.HasLen, 0)
	c.Check(RateFault(y.Ledger.Arrivals(RatedService), RatePerS), qt.Equals, "")
	for _, m := range all {
		var state State
		err := Await(ctx, func() bool {
			var err error
			state, err = client.State(ctx, m.ID)
			return err == nil && state.State == "completed"
		})
		c.Assert(err, qt.IsNil, qt.Commentf("%s", m.ID))
		c.Assert(state.Stamp, qt.Equals, y.Ledger.Seal(m.ID))
	}
}

// TestEachRoleTellsItsStatus asks all processes as an operator does, after a SIGHUP
// with a file that cannot be used, and one with a file that can.
func TestEachRoleTellsItsStatus(t *testing.T) {
	c := qt.New(t)
	ctx, y := startYard(c)
	client := NewClient(y)
	c.Assert(client.Send(ctx, Message{ID: "m-1", Path: PlainPath, Callback: y.Receiver.URL()}), qt.IsNil)
	c.Assert(Await(ctx, func() bool { return len(y.Receiver.Taken("m-1")) > 0 }), qt.IsNil)
	ask := func(role string) status.Report {
		c.Helper()
		report, err := status.Ask(ctx, y.InternalAddresses(role)[0])
		c.Assert(err, qt.IsNil)
		c.Assert(report.Identity.Role, qt.Equals, role)
		c.Assert(report.UptimeS > 0, qt.IsTrue)
		return report
	}
	for _, m := range y.machines {
		c.Assert(os.WriteFile(m.path, []byte("{"), 0o600), qt.IsNil)
	}
	hangup(c, ctx, y, "new settings are faulty; the old ones stay")
	for _, m := range y.machines {
		m.settings.Limits.MemoryMb++
		c.Assert(m.write(), qt.IsNil)
	}
	hangup(c, ctx, y, "settings loaded again")
	c.Assert(client.Send(ctx, Message{ID: "m-2", Path: PlainPath}), qt.IsNil)
	c.Assert(Await(ctx, func() bool { return y.Ledger.Seal("m-2") != "" }), qt.IsNil)

	dispatcher := ask(RoleDispatcher)
	c.Check(dispatcher.Revision, qt.Equals, int64(1))
	c.Check(dispatcher.Senders, qt.Equals, len(y.workers))
	c.Check(dispatcher.Stores, qt.HasLen, machinesOfAClass)
	c.Check(dispatcher.Sessions, qt.HasLen, machinesOfAClass)
	c.Check(len(dispatcher.Queues) > 0, qt.IsTrue)

	store := ask(RoleStore)
	c.Assert(store.Stores, qt.HasLen, 1)
	c.Check(store.Stores[0].SegmentMax > 0, qt.IsTrue)
	c.Check(store.Sessions, qt.HasLen, machinesOfAClass)

	for _, role := range []string{RoleAgent, RoleControl} {
		report := ask(role)
		c.Check(report.Revision, qt.Equals, int64(1), qt.Commentf("%s", role))
		c.Check(report.Senders, qt.Equals, len(y.workers), qt.Commentf("%s", role))
		c.Check(report.Stores, qt.HasLen, machinesOfAClass, qt.Commentf("%s", role))
		c.Check(len(report.Members) >= machinesOfAClass, qt.IsTrue, qt.Commentf("%s", role))
	}

	c.Assert(Await(ctx, func() bool {
		message, err := status.AskMessage(ctx, y.InternalAddresses(RoleDispatcher)[1], "m-1")
		return err == nil && message.State == "completed" && !message.CallbackDue && len(message.Holders) == machinesOfAClass
	}), qt.IsNil)
}

// hangup sends each process a SIGHUP and waits until it has logged a line.
func hangup(c *qt.C, ctx context.Context, y *Yard, line string) {
	c.Helper()
	for _, p := range y.processes {
		c.Assert(p.Hangup(), qt.IsNil)
	}
	for _, p := range y.processes {
		c.Assert(Await(ctx, func() bool {
			log, err := os.ReadFile(filepath.Join(y.options.Folder, p.Node+"-"+p.Role+".log"))
			return err == nil && bytes.Contains(log, []byte(line))
		}), qt.IsNil, qt.Commentf("%s/%s", p.Node, p.Role))
	}
}

// at returns a moment some milliseconds after an arbitrary one.
func at(milliseconds int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

func TestRulesFindFaults(t *testing.T) {
	c := qt.New(t)
	accepted := []Accepted{
		{Message{ID: "a", Key: "k"}, at(0)}, {Message{ID: "b", Key: "k"}, at(1)}, {Message{ID: "d", Delay: time.Second}, at(0)},
	}
	good := []worker.Run{{ID: "a", Key: "k", Began: at(1), Ended: at(2), Seal: "1"}, {ID: "b", Key: "k", Began: at(3), Ended: at(4), Seal: "2"}}
	c.Check(OrderFaults(accepted, good), qt.HasLen, 0)
	overtaking := []worker.Run{{ID: "a", Key: "k", Began: at(1), Ended: at(5), Seal: "1"}, good[1]}
	c.Check(OrderFaults(accepted, overtaking), qt.HasLen, 1)
	c.Check(OrderFaults(accepted, good[1:]), qt.HasLen, 1)
	c.Check(EarlyFaults(accepted, []worker.Run{{ID: "d", Began: at(950)}}), qt.HasLen, 0)
	c.Check(EarlyFaults(accepted, []worker.Run{{ID: "d", Began: at(800)}}), qt.HasLen, 1)
	var even, burst []time.Time
	for i := range 200 {
		even = append(even, at(i*100))
		burst = append(burst, at(i*10))
	}
	c.Check(RateFault(even, 10), qt.Equals, "")
	c.Check(RateFault(burst, 10), qt.Not(qt.Equals), "")
	c.Check(Unfinished(accepted, worker.NewLedger()), qt.DeepEquals, []string{"a", "b", "d"})
	c.Check(promises(http.StatusServiceUnavailable), qt.IsTrue)
	c.Check(promises(http.StatusGatewayTimeout), qt.IsFalse)
}
