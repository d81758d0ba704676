// Package load is an open-loop load generator: requests are due at times that do not
// wait for answers, and latencies count from those times, so that a server that
// stalls cannot hide what it kept waiting (coordinated omission).
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config is one step: a steady rate for a while.
type Config struct {
	URL         string
	Method      string
	Body        string
	Header      http.Header // "{id}" in a value stands for a name that is new in each request
	Rate        float64     // a second, at random times (Poisson)
	Length      time.Duration
	WarmUp      time.Duration // cut off from its beginning
	Connections int
	Timeout     time.Duration
	Seed        uint64
}

// Result is what a step has shown. Latencies count from when a request was due.
type Result struct {
	Rate     float64       `json:"rate"`
	Achieved float64       `json:"achieved"` // answers a second
	Answers  map[int]int   `json:"answers"`  // by status
	Errors   int           `json:"errors"`   // without an answer
	P50      time.Duration `json:"p50_ns"`
	P90      time.Duration `json:"p90_ns"`
	P99      time.Duration `json:"p99_ns"`
	P999     time.Duration `json:"p999_ns"`
	Max      time.Duration `json:"max_ns"`
	Waited   int           `json:"waited"` // requests that were due while all connections were busy
	Lag      time.Duration `json:"lag_ns"` // the tool's own: the 99th percentile
	Fault    string        `json:"fault,omitempty"`
	First    error         `json:"-"` // the first request without an answer
}

// lagMost is how late the tool itself may be before its figures say more of it than
// of the server.
const lagMost = 5 * time.Millisecond

// Run plays a step, until its end or that of the context: what was measured by then
// is what is returned.
func Run(ctx context.Context, c Config, progress func(sent, answered int)) *Result {
	transport := &http.Transport{MaxConnsPerHost: c.Connections, MaxIdleConnsPerHost: c.Connections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: c.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) // microseconds
	lag := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	out := &Result{Rate: c.Rate, Answers: map[int]int{}}
	due := make(chan time.Time, 1<<20)
	var mu sync.Mutex
	var busy, answered atomic.Int64
	var given atomic.Bool // what still waits is given up
	var workers sync.WaitGroup
	began := time.Now()
	counts := began.Add(c.WarmUp)
	for n := range c.Connections {
		workers.Go(func() {
			for i := 0; ; i++ {
				at, ok := <-due
				if !ok {
					return
				}
				if given.Load() {
					mu.Lock()
					out.Errors++
					mu.Unlock()
					continue
				}
				busy.Add(1)
				status, err := one(ctx, client, &c, fmt.Sprintf("%08x%04x%04x", c.Seed&0xffffffff, n, i&0xffff))
				took := time.Since(at)
				busy.Add(-1)
				answered.Add(1)
				if ctx.Err() != nil || at.Before(counts) {
					continue
				}
				mu.Lock()
				if err != nil {
					if out.Errors++; out.First == nil {
						out.First = err
					}
				} else {
					out.Answers[status]++
					latency.RecordValue(min(max(took.Microseconds(), 1), int64(time.Minute/time.Microsecond)))
				}
				mu.Unlock()
			}
		})
	}
	rng, sent := rand.New(rand.NewPCG(c.Seed, 1)), 0
	next, look := began, began.Add(time.Second)
	for end := began.Add(c.Length); next.Before(end) && ctx.Err() == nil; {
		if d := time.Until(next); d > 0 {
			time.Sleep(d)
		}
		now := time.Now()
		if !next.Before(counts) {
			lag.RecordValue(min(max(now.Sub(next).Microseconds(), 1), int64(time.Minute/time.Microsecond)))
			if busy.Load() >= int64(c.Connections) {
				out.Waited++
			}
		}
		select {
		case due <- next:
		default:
			out.Fault = "a million requests wait for a connection: the server is far behind"
			next = end
		}
		sent++
		if progress != nil && now.After(look) {
			look = now.Add(time.Second)
			progress(sent, int(answered.Load()))
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second)))
	}
	measured := time.Since(counts)
	close(due)
	if out.Fault != "" {
		given.Store(true)
	} else { // a backlog is worked off for as long as one request may take
		defer time.AfterFunc(c.Timeout, func() { given.Store(true) }).Stop()
	}
	workers.Wait()
	total := 0
	for _, n := range out.Answers {
		total += n
	}
	at := func(q float64) time.Duration { return time.Duration(latency.ValueAtQuantile(q)) * time.Microsecond }
	out.P50, out.P90, out.P99, out.P999 = at(50), at(90), at(99), at(99.9)
	out.Max = time.Duration(latency.Max()) * time.Microsecond
	out.Lag = time.Duration(lag.ValueAtQuantile(99)) * time.Microsecond
	if measured > 0 {
		out.Achieved = float64(total) / max(measured.Seconds(), time.Since(counts).Seconds())
	}
	switch {
	case out.Fault != "":
	case out.Lag > max(lagMost, out.P99/2):
		out.Fault = fmt.Sprintf("the load tool itself was late (p99 %v): its figures would be its own", out.Lag.Round(time.Microsecond))
	case total+out.Errors == 0:
		out.Fault = "nothing was measured"
	}
	return out
}

// one sends a request and reads its answer.
func one(ctx context.Context, client *http.Client, c *Config, id string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		return 0, err
	}
	for name, values := range c.Header {
		for _, v := range values {
			req.Header.Add(name, strings.ReplaceAll(v, "{id}", id))
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Knee is the last step before latency or throughput gives way: the next one has a
// p99 of more than four times the first step's, or answers less than 95% of what was
// due. ok is false where no step gives way.
func Knee(steps []*Result) (at int, ok bool) {
	for i, s := range steps {
		if i > 0 && (s.P99 > 4*steps[0].P99 || s.Achieved < 0.95*s.Rate) {
			return i - 1, true
		}
	}
	return 0, false
}
