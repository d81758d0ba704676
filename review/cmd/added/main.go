// Command added shows whether messages that dispatchers on added machines have accepted reach an endpoint that takes
// fewer connections than there are dispatchers then.
//
// It exits with 1 if the rule LOST was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 no machine
// is added.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"yardwharf/internal/service/configuration"
	"yardwharf/review/yard"
)

const (
	edges     = 6 // of psl-yardwharf-control
	added     = 3 // its spare ones
	maxConns  = 7
	keepAlive = 60 * time.Second
	every     = 40 * time.Millisecond  // a message
	deadline  = 500 * time.Millisecond // of clients
	before    = 8 * time.Second        // of traffic, before machines are added
	after     = 16 * time.Second       // of traffic, after that
	fromStart = 4 * time.Second        // contactMs
	finish    = 12 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/yardservice", "the service's program")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	y, err := yard.Start(*program, *record, edges)
	if y != nil {
		defer y.Close()
	}
	if err != nil {
		return cannotRun(err)
	}
	runs := yard.NewRuns()
	if err := setUp(y, runs); err != nil {
		return cannotRun(err)
	}
	entry := yard.NewEntry(y)
	defer entry.Close()
	time.Sleep(fromStart)
	messages := send(y, entry, nil, before)
	if os.Getenv("TROUBLE") != "0" {
		for range added {
			number, err := y.AddEdge()
			if err != nil {
				return cannotRun(err)
			}
			entry.Add(number)
			y.Record.Sayf("edge-%d is added", number)
		}
	}
	messages = send(y, entry, messages, after)
	y.Record.Sayf("%d messages sent; no more are", len(messages))
	time.Sleep(finish)
	return y.JudgeStuck(runs, messages)
}

func cannotRun(err error) int {
	fmt.Println("could not run:", err)
	return 2
}

// setUp starts the endpoint, gives the configuration and waits until all dispatchers are ready.
func setUp(y *yard.Yard, runs *yard.Runs) error {
	endpoint := &yard.Sender{
		ID: "endpoint", Service: "relay", Zone: yard.Zones[0], Slots: 22, Static: true, MaxConns: maxConns, KeepAlive: keepAlive,
		Work: func(string) time.Duration { return 30 * time.Millisecond },
	}
	other := &yard.Sender{ID: "i-1", Service: "avisos", Zone: yard.Zones[0], Slots: 12, Work: endpoint.Work}
	for _, s := range []*yard.Sender{endpoint, other} {
		if err := y.AddSender(s, runs); err != nil {
			return err
		}
	}
	route := configuration.Route{
		Name: "r-1", Hostname: yard.Host, PathPrefix: "/bose230/", RouteType: "async", Service: "relay", Priority: 2,
		TimeoutMs: 1500, TargetLatencyMs: 80, ScheduleTargetMs: 1200, MaxRetries: 4, RetentionS: yard.Retention.Seconds(),
	}
	services := []configuration.Service{
		{Name: "relay", HealthCheck: "/health", MaxConns: maxConns, Protocol: "h1", StaticEndpoint: endpoint.Address()},
		{Name: "avisos", HealthCheck: "/health", MaxConns: 110, Protocol: "h1"},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if status := y.Configure(ctx, 0, yard.Configuration(1, []configuration.Route{route}, services)); status != http.StatusOK {
		return fmt.Errorf("the configuration was not taken: %d", status)
	}
	return y.AwaitReady(ctx)
}

// send sends messages for some time, each to a dispatcher that the platform has in.
func send(y *yard.Yard, entry *yard.Entry, messages []*yard.Message, length time.Duration) []*yard.Message {
	for until := y.Record.Now() + length; y.Record.Now() < until; time.Sleep(every) {
		m := &yard.Message{ID: fmt.Sprintf("m-%d", len(messages)), Target: "/bose230/zi72/2f", Body: []byte("push")}
		y.Send(entry.Pick(), m, deadline)
		messages = append(messages, m)
	}
	return messages
}
