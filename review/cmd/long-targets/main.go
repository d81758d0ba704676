// Command long-targets shows whether accepted, delayed messages with long targets still run after
// the planned stop and start of the dispatcher that has accepted them.
//
// It exits with 1 if the rule LOST was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 nothing is stopped.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yardwharf/internal/service/configuration"
	"yardwharf/review/yard"
)

const (
	host            = yard.Host
	edges           = 3
	prefix          = "/dera652/"
	deadline        = 500 * time.Millisecond // of clients
	perSecond       = 127                    // 380 a second, the site's traffic, at three dispatchers
	backgroundPause = 50 * time.Millisecond
	finish          = 10 * time.Second
	sendFor         = 28 * time.Second
	fromStart       = 4 * time.Second // contactMs: all machines are in touch then
)

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/yardservice", "the service's program")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	count := flag.Int("count", 2400, "number of delayed messages")
	size := flag.Int("target", 8000, "bytes of a message's target; limits.maxHeaderBytes is 16384")
	delay := flag.Duration("delay", 40*time.Second, "delay of the messages")
	kill := flag.Bool("kill", false, "kill the machine's processes instead of stopping them")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
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
	time.Sleep(fromStart)

	var stop atomic.Bool
	var background sync.WaitGroup
	background.Go(func() { sendBackground(y, &stop) })
	messages, accepted := sendDelayed(y, *count, *size, *delay)
	y.Record.Sayf("%d delayed messages accepted by edge-1, %d sent", accepted, len(messages))
	if accepted < *count {
		return cannotRun(fmt.Errorf("only %d messages accepted in %v", accepted, sendFor))
	}
	if trouble {
		m := y.Machine("edge-1")
		if *kill {
			m.Kill()
		} else {
			m.Stop()
		}
		time.Sleep(yard.RestartDelay)
		if err := m.Start(); err != nil {
			return cannotRun(err)
		}
	}
	last := messages[len(messages)-1]
	sleepUntil(y, last.SentAt+*delay)
	stop.Store(true)
	background.Wait()
	y.Record.Sayf("the last message is due; no more messages are sent")
	sleepUntil(y, last.SentAt+*delay+finish)
	return y.JudgeStuck(runs, messages)
}

func cannotRun(err error) int {
	fmt.Println("could not run:", err)
	return 2
}

func sleepUntil(y *yard.Yard, at time.Duration) { time.Sleep(at - y.Record.Now()) }

// setUp starts the senders, gives the configuration and waits until all dispatchers are ready.
func setUp(y *yard.Yard, runs *yard.Runs) error {
	for i, zone := range yard.Zones {
		s := &yard.Sender{
			ID: fmt.Sprintf("i-%d", i+1), Service: "avisos", Zone: zone, Slots: 12,
			Work: func(string) time.Duration { return 20 * time.Millisecond },
		}
		if err := y.AddSender(s, runs); err != nil {
			return err
		}
	}
	route := configuration.Route{
		Name: "r-1", Hostname: host, PathPrefix: prefix, RouteType: "async", Service: "avisos", Priority: 2,
		TimeoutMs: 1200, TargetLatencyMs: 80, ScheduleTargetMs: 800, MaxRetries: 3, RetentionS: yard.Retention.Seconds(),
	}
	service := configuration.Service{Name: "avisos", HealthCheck: "/health", MaxConns: 110, Protocol: "h1"}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	content := yard.Configuration(1, []configuration.Route{route}, []configuration.Service{service})
	if status := y.Configure(ctx, 0, content); status != http.StatusOK {
		return fmt.Errorf("the configuration was not taken: %d", status)
	}
	return y.AwaitReady(ctx)
}

// sendBackground sends small messages to the other dispatchers, to show that the service works.
func sendBackground(y *yard.Yard, stop *atomic.Bool) {
	for n := 0; !stop.Load(); n++ {
		m := &yard.Message{ID: fmt.Sprintf("b-%d", n), Target: fmt.Sprintf("%sb/%d", prefix, n), Body: []byte("x")}
		y.Send(y.Front(2+n%2), m, deadline)
		time.Sleep(backgroundPause)
	}
}

// sendDelayed sends delayed messages with long targets to edge-1 until so many are accepted, or until
// sendFor has passed. It returns all that it has sent, and how many were accepted.
func sendDelayed(y *yard.Yard, count, size int, delay time.Duration) ([]*yard.Message, int) {
	var messages []*yard.Message
	var accepted atomic.Int64
	work := make(chan *yard.Message)
	var clients sync.WaitGroup
	for range 16 {
		clients.Go(func() {
			for m := range work {
				y.Send(y.Front(1), m, deadline)
				if m.Status == http.StatusAccepted {
					accepted.Add(1)
				}
			}
		})
	}
	target := prefix + "2f?token="
	target += strings.Repeat("k", max(0, size-len(target)))
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for until := y.Record.Now() + sendFor; accepted.Load() < int64(count) && y.Record.Now() < until; {
		<-ticker.C
		m := &yard.Message{ID: fmt.Sprintf("m-%05d", len(messages)), Target: target, Delay: delay, Body: bytes.Repeat([]byte("b"), 600)}
		messages = append(messages, m)
		work <- m
	}
	close(work)
	clients.Wait()
	return messages, int(accepted.Load())
}
