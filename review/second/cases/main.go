// The command cases runs one case of the second review. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"yardwharf/review/second/yard"
)

const (
	held     = 0
	broken   = 1
	notRun   = 2
	mostTime = 110 * time.Second
)

// cases are the cases by name. Each returns the breaks of its rule that clients, senders or the platform have seen.
var cases = map[string]func(record *yard.Record, trouble bool) ([]string, error){
	"sigterm":   sigterm,
	"cancelled": cancelled,
	"limits":    limits,
	"seal":      longSeal,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *path, os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	record, err := yard.NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.Close()
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		breaks []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		breaks, err := play(record, trouble)
		done <- result{breaks, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			record.Add("not run: %v", r.err)
			fmt.Fprintln(os.Stderr, "not run:", r.err)
			return notRun
		}
		for _, b := range r.breaks {
			record.Add("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		if len(r.breaks) > 0 {
			return broken
		}
		record.Add("held")
		fmt.Println("held")
		return held
	case <-signals:
	case <-time.After(mostTime):
	}
	yard.CloseAll()
	record.Add("not run: stopped, or out of time")
	return notRun
}
