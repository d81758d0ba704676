package virtual

import (
	"encoding/json"
	"runtime"
	"sync"
	"testing"
	"time"

	"yardwharf/internal/tools/lab/yard"
)

func ferreira(seed uint64, failures ...Failure) Config {
	return Config{Seed: seed, Sites: []Site{{"montevideo", 6, 1}, {"salto", 4, 1}, {"maldonado", 4, 1}}, Rate: 50, Length: time.Minute,
		Lag: time.Second, Retry: "at_once", Failures: failures}
}

var troubles = []Failure{{Kind: "crash", At: 15 * time.Second, For: 3 * time.Second, Part: 0.34},
	{Kind: "drain", At: 10 * time.Second, For: 10 * time.Second, Part: 0.3}, {Kind: "hang", At: 20 * time.Second, For: 10 * time.Second, Part: 0.2},
	{Kind: "shared_slow", At: 35 * time.Second, For: 5 * time.Second, Size: 2}}

// One seed gives the same bytes, on one thread and on four that run beside each other.
func TestReplay(t *testing.T) {
	play := func(seed uint64) string {
		c := ferreira(seed, troubles...)
		if seed%2 == 0 { // the second site: reports by probes, messages between dispatchers, other rules
			c.Account, c.Rate = yard.Sofia(), 14
		}
		r, err := Run(c)
		if err != nil {
			t.Error(err)
			return ""
		}
		if r.Open > 0 {
			t.Errorf("seed %d: %d messages are held at the end", seed, r.Open)
		}
		for _, b := range r.Broken {
			t.Errorf("seed %d: %v", seed, b)
		}
		text, err := json.Marshal(r)
		if err != nil {
			t.Error(err)
		}
		return string(text)
	}
	before := runtime.GOMAXPROCS(1)
	want := []string{play(1), play(2), play(3), play(4)}
	runtime.GOMAXPROCS(4)
	var all sync.WaitGroup
	for i := range want {
		all.Go(func() {
			if got := play(uint64(i + 1)); got != want[i] {
				t.Errorf("seed %d: %.300s, then %.300s", i+1, want[i], got)
			}
		})
	}
	all.Wait()
	runtime.GOMAXPROCS(before)
	if want[0] == want[1] {
		t.Error("seeds make no difference")
	}
}

// The decisions as they are break no rule; each fault that is put into them breaks
// the rule that it must.
func TestMutants(t *testing.T) {
	drain := Failure{Kind: "drain", At: 10 * time.Second, For: 10 * time.Second, Part: 0.5}
	hang := Failure{Kind: "hang", At: 10 * time.Second, For: 30 * time.Second, Part: 0.5}
	for _, c := range []struct {
		mutant string
		rule   int
		f      Failure
		rate   float64
		each   int // dispatchers a site: what pushes a cold host over is how many send to it
	}{{"", 0, drain, 50, 1}, {"", 0, hang, 50, 1}, {"", 0, drain, 250, 20}, {"deaf to drains", 3, drain, 50, 1},
		{"deaf to starts", 4, drain, 250, 20}, {"loses refusals", 1, hang, 120, 1}, {"forgets what ran", 2, hang, 50, 1}} {
		config := ferreira(3, c.f)
		for i := range config.Sites {
			config.Sites[i].Dispatchers = c.each
		}
		config.mutant, config.Rate = c.mutant, c.rate
		r, err := Run(config)
		if err != nil {
			t.Fatal(err)
		}
		found := c.rule == 0 && len(r.Broken) == 0
		for _, b := range r.Broken {
			found = found || b.Rule == c.rule
		}
		if !found {
			t.Errorf("%q: %d broken %v, want rule %d; pressure %.2f", c.mutant, len(r.Broken), r.Broken[:min(3, len(r.Broken))], c.rule, r.Pressure)
		}
	}
}

// A dispatcher that is killed with messages in hand takes them with it; its clients'
// retries are served by the others.
func TestKilledWithMessages(t *testing.T) {
	c := ferreira(5, Failure{Kind: "crash", At: 20 * time.Second, For: 5 * time.Second, Part: 0.34})
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	c.Retry = "none"
	none, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	lost, alone := r.Requests-r.Served, none.Requests-none.Served
	if r.Tries <= r.Requests || lost >= alone || len(r.Broken) > 0 {
		t.Errorf("%d tries of %d requests, %d without a result, %d where clients do not retry, broken %v", r.Tries, r.Requests, lost, alone, r.Broken)
	}
}

// Clients that ask again at once make a storm of a lasting overload, no larger than
// their retries allow.
func TestRetryStorm(t *testing.T) {
	c := ferreira(6)
	c.Surge = []Surge{{At: 10 * time.Second, For: 20 * time.Second, Times: 4}}
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	tries := float64(r.Tries) / float64(r.Requests)
	if tries < 1.3 || tries > 3 || len(r.Broken) > 0 {
		t.Errorf("%.2f tries a request, broken %v", tries, r.Broken)
	}
}

// How fast the model runs.
func BenchmarkMinute(b *testing.B) {
	events := uint64(0)
	for b.Loop() {
		r, err := Run(ferreira(1, troubles...))
		if err != nil {
			b.Fatal(err)
		}
		events += r.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
	b.ReportMetric(60*float64(b.N)/b.Elapsed().Seconds(), "times-real-time")
}
