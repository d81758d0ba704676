package yardlab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yardwharf/internal/tools/lab/load"
)

// loadCommand puts load on an HTTP address.
func loadCommand(out, log io.Writer) *cobra.Command {
	c := load.Config{Header: http.Header{}}
	var rates []float64
	var headers []string
	var asJSON bool
	cmd := &cobra.Command{Use: "load URL", Short: "Put an open-loop load on an HTTP address and measure latencies",
		Long: `Requests are due at random times of a steady rate, whether or not earlier ones have
been answered, and latencies count from when they were due. Several rates are played
one after the other, to find where the server gives way. Only loopback addresses are
loaded. If the tool itself was late it says so, and the status is 1.`,
		Example: `  yardlab load http://127.0.0.1:8080/status-check/ana --rate 100,200,400 --length 10s -H 'X-Txn: {id}' -H 'X-Remaining: 2'`,
		Args:    exactly(1, "one URL"),
		RunE: func(cmd *cobra.Command, args []string) error {
			u, err := url.Parse(args[0])
			if err != nil || u.Scheme != "http" {
				return usageError{fmt.Errorf("load: %q is no http URL", args[0])}
			}
			if ip := net.ParseIP(u.Hostname()); u.Hostname() != "localhost" && (ip == nil || !ip.IsLoopback()) {
				return usageError{fmt.Errorf("load: %s is no loopback address", u.Hostname())}
			}
			for _, h := range headers {
				name, value, ok := strings.Cut(h, ":")
				if !ok {
					return usageError{fmt.Errorf("load: -H %q, expected NAME: VALUE", h)}
				}
				c.Header.Add(name, strings.TrimSpace(value))
			}
			c.URL = args[0]
			var all []*load.Result
			if !asJSON {
				fmt.Fprintf(out, "%9s %9s %9s %9s %9s %9s %9s %8s %8s  %s\n", "rate", "answers/s", "p50", "p90", "p99", "p99.9", "max", "errors", "waited", "answers")
			}
			for i, rate := range rates {
				c.Rate = rate
				if c.Rate <= 0 {
					return usageError{fmt.Errorf("--rate: %v is not above 0", c.Rate)}
				}
				c.Seed = uint64(time.Now().UnixNano()) + uint64(i)
				r := load.Run(cmd.Context(), c, watch(log))
				all = append(all, r)
				if !asJSON {
					printStep(out, r)
				}
				if cmd.Context().Err() != nil {
					break
				}
			}
			if asJSON {
				text, err := json.MarshalIndent(all, "", " ")
				if err != nil {
					return err
				}
				fmt.Fprintln(out, string(text))
			} else if at, ok := load.Knee(all); ok {
				fmt.Fprintf(out, "it gives way after %g a second\n", all[at].Rate)
			}
			for _, r := range all {
				if r.Fault != "" {
					return errTold
				}
			}
			return nil
		}}
	f := cmd.Flags()
	f.Float64SliceVar(&rates, "rate", []float64{100}, "requests a second; several are played one after the other")
	f.DurationVar(&c.Length, "length", 10*time.Second, "of each rate")
	f.DurationVar(&c.WarmUp, "warm-up", time.Second, "cut off from the beginning of each rate")
	f.IntVar(&c.Connections, "connections", 64, "at the most")
	f.DurationVar(&c.Timeout, "timeout", 10*time.Second, "of a request")
	f.StringVar(&c.Method, "method", "POST", "the method")
	f.StringVar(&c.Body, "body", "", "the body")
	f.StringArrayVarP(&headers, "header", "H", nil, "a header; {id} in it is new in each request")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func printStep(out io.Writer, r *load.Result) {
	if r.Fault != "" {
		fmt.Fprintf(out, "%9g  no figure: %s\n", r.Rate, r.Fault)
		return
	}
	round := func(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
	fmt.Fprintf(out, "%9g %9.0f %9v %9v %9v %9v %9v %8d %8d  %v\n", r.Rate, r.Achieved, round(r.P50), round(r.P90), round(r.P99), round(r.P999), round(r.Max),
		r.Errors, r.Waited, r.Answers)
	if r.First != nil {
		fmt.Fprintf(out, "  the first without an answer: %v\n", r.First)
	}
}

// watch says how far it has come, where a person reads along.
func watch(log io.Writer) func(sent, answered int) {
	f, ok := log.(*os.File)
	if !ok {
		return nil
	}
	if info, err := f.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(sent, answered int) { fmt.Fprintf(f, "\r%d sent, %d answered ", sent, answered) }
}
