// Command service tries the whole service on one machine: it starts every role as
// a process of its own on loopback, with stand-ins for the senders, the platform
// and a receiver of call-backs, sends messages of all kinds, kills a store and a
// dispatcher meanwhile, starts them again, and shows what became of the messages.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"time"

	"yardwharf/internal/service/status"
	"yardwharf/internal/tools/serviceyard"
)

const (
	timeout = 60 * time.Second
	failing = 3 // call-backs that the receiver refuses first
)

// Shares of the accepted messages at which something happens.
const (
	killStoreAt      = 0.2
	killDispatcherAt = 0.4
	restartAt        = 0.6
)

var load = serviceyard.Load{Plain: 200, Delayed: 20, Rated: 100, Keys: 6, PerKey: 30, Every: 25 * time.Millisecond}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := try(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "service:", err)
		stop()
		cancel()
		os.Exit(1)
	}
}

// try runs the whole example.
func try(ctx context.Context, out io.Writer) (err error) {
	folder, err := os.MkdirTemp("", "yardservice")
	if err != nil {
		return err
	}
	program := filepath.Join(folder, "yardservice")
	text, err := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/yardservice").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, text)
	}
	yard, err := serviceyard.Start(serviceyard.Options{
		Folder: folder, Failing: failing,
		Command: func(role string) *exec.Cmd { return exec.Command(program, role) },
	})
	defer func() {
		yard.Close()
		if err == nil {
			err = os.RemoveAll(folder)
		} else {
			fmt.Fprintln(out, "the logs are in", folder)
		}
	}()
	if err != nil {
		return err
	}
	if err := serve(ctx, out, yard); err != nil {
		return err
	}
	client := serviceyard.NewClient(yard)
	if err := sendWithFaults(ctx, out, yard, client); err != nil {
		return err
	}
	return show(ctx, out, yard, client)
}

// serve loads the first configuration and waits until the service is ready.
func serve(ctx context.Context, out io.Writer, yard *serviceyard.Yard) error {
	if err := yard.Configure(ctx, 0, 1); err != nil {
		return fmt.Errorf("no control member takes the configuration: %w", err)
	}
	if err := yard.AwaitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintln(out, "3 control members, 3 stores, 3 dispatchers with their agents serve configuration 1")
	return yard.Started()
}

// sendWithFaults sends all messages and kills a store and a dispatcher meanwhile.
func sendWithFaults(ctx context.Context, out io.Writer, yard *serviceyard.Yard, client *serviceyard.Client) error {
	store, dispatcher := yard.Process(serviceyard.RoleStore, 1), yard.Process(serviceyard.RoleDispatcher, 2)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		yard.Send(ctx, client, load)
	}()
	for _, step := range []struct {
		share float64
		act   func() error
		text  string
	}{
		{killStoreAt, store.Kill, fmt.Sprintf("killed a store (process %d)", store.ID())},
		{killDispatcherAt, dispatcher.Kill, fmt.Sprintf("killed a dispatcher (process %d)", dispatcher.ID())},
		{restartAt, func() error { return errors.Join(store.Start(), dispatcher.Start()) }, "started both again"},
	} {
		wanted := int(step.share * float64(load.Total()))
		if err := serviceyard.Await(ctx, func() bool { return len(client.Accepted()) >= wanted }); err != nil {
			return err
		}
		if err := step.act(); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s after %d accepted messages\n", step.text, len(client.Accepted()))
	}
	<-sent
	return ctx.Err()
}

// show waits until all is done and tells whether every rule was kept.
func show(ctx context.Context, out io.Writer, yard *serviceyard.Yard, client *serviceyard.Client) error {
	accepted := client.Accepted()
	done := serviceyard.Await(ctx, func() bool {
		return len(serviceyard.Unfinished(accepted, yard.Ledger))+len(serviceyard.WithoutCallback(accepted, yard.Receiver)) == 0
	})
	runs := yard.Ledger.Runs()
	unfinished, owed := serviceyard.Unfinished(accepted, yard.Ledger), serviceyard.WithoutCallback(accepted, yard.Receiver)
	overtaken, early := serviceyard.OrderFaults(accepted, runs), serviceyard.EarlyFaults(accepted, runs)
	wrong := serviceyard.CallbackFaults(accepted, yard.Ledger, yard.Receiver)
	tooMany := serviceyard.RateFault(yard.Ledger.Arrivals(serviceyard.RatedService), serviceyard.RatePerS)
	fmt.Fprintf(out, "accepted %d of %d messages (%d without a clear answer); completed %d\n",
		len(accepted), load.Total(), len(client.Uncertain()), len(accepted)-len(unfinished))
	fmt.Fprintf(out, "order: %d keys of %d messages, %d overtaken; delays: %d early\n", load.Keys, load.PerKey, len(overtaken), len(early))
	fmt.Fprintf(out, "rate: ceiling %d a second, %s\n", serviceyard.RatePerS, orKept(tooMany))
	fmt.Fprintf(out, "call-backs: %d owed, %d wrong\n", len(owed), len(wrong))
	if report, err := status.Ask(ctx, yard.InternalAddresses(serviceyard.RoleDispatcher)[0]); err == nil {
		fmt.Fprintf(out, "status of %s: %d stores, %d sessions, %d queues held, %d senders\n", report.Identity.Node,
			len(report.Stores), len(report.Sessions), len(report.Queues), report.Senders)
	}
	if done != nil || len(overtaken)+len(early)+len(wrong) > 0 || tooMany != "" {
		return errors.New("a rule was broken")
	}
	return nil
}

func orKept(fault string) string {
	if fault == "" {
		return "kept in each window of 5 s"
	}
	return fault
}
