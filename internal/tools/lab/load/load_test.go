package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// A server that stalls once is seen in the latencies of all that were due meanwhile,
// though the tool has one connection only.
func TestNoCoordinatedOmission(t *testing.T) {
	var n atomic.Int64
	url := serve(t, func(http.ResponseWriter, *http.Request) {
		if n.Add(1) == 20 {
			time.Sleep(500 * time.Millisecond)
		}
	})
	r := Run(context.Background(), Config{URL: url, Method: "GET", Rate: 200, Length: time.Second, Connections: 1, Timeout: time.Minute, Seed: 1}, nil)
	// About half of the requests were due during the stall, and waited for part of it.
	if r.P90 < 100*time.Millisecond || r.Max < 400*time.Millisecond || r.Waited == 0 {
		t.Errorf("%+v", r)
	}
}

// Each request has a name of its own; statuses and errors are told apart.
func TestCounts(t *testing.T) {
	names := make(chan string, 10_000)
	var n atomic.Int64
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		names <- r.Header.Get("X-Txn")
		if n.Add(1)%2 == 0 {
			w.WriteHeader(503)
		}
	})
	r := Run(context.Background(), Config{URL: url, Method: "POST", Body: "b", Header: http.Header{"X-Txn": {"{id}"}}, Rate: 500,
		Length: 500 * time.Millisecond, Connections: 4, Timeout: time.Minute, Seed: 1}, nil)
	close(names)
	seen := map[string]bool{}
	for name := range names {
		if seen[name] || len(name) != 16 {
			t.Errorf("%q comes twice, or is no name", name)
		}
		seen[name] = true
	}
	if r.Answers[200]+r.Answers[503] != len(seen) || r.Answers[503] == 0 || r.Errors > 0 || len(seen) < 100 {
		t.Errorf("%d requests, %+v", len(seen), r)
	}
	dead := Run(context.Background(), Config{URL: "http://127.0.0.1:1/", Method: "GET", Rate: 100, Length: 100 * time.Millisecond, Connections: 1,
		Timeout: time.Minute, Seed: 1}, nil)
	if dead.Errors == 0 || dead.First == nil || !strings.Contains(dead.First.Error(), "refused") {
		t.Errorf("%+v", dead)
	}
}

// A tool that cannot keep up says so.
func TestOwnBottleneck(t *testing.T) {
	url := serve(t, func(http.ResponseWriter, *http.Request) {})
	r := Run(context.Background(), Config{URL: url, Method: "GET", Rate: 50_000_000, Length: 300 * time.Millisecond, Connections: 2, Timeout: time.Minute, Seed: 1}, nil)
	if r.Fault == "" {
		t.Errorf("%+v", r)
	}
}

// An end before the time gives what was measured by then.
func TestInterrupted(t *testing.T) {
	url := serve(t, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(300*time.Millisecond, cancel)
	r := Run(ctx, Config{URL: url, Method: "GET", Rate: 500, Length: time.Hour, Connections: 2, Timeout: time.Minute, Seed: 1}, nil)
	if r.Answers[200] == 0 {
		t.Errorf("%+v", r)
	}
}

func TestKnee(t *testing.T) {
	step := func(rate, achieved float64, p99 time.Duration) *Result {
		return &Result{Rate: rate, Achieved: achieved, P99: p99}
	}
	if at, ok := Knee([]*Result{step(100, 100, 10), step(200, 199, 20), step(400, 390, 50)}); !ok || at != 1 {
		t.Error(at, ok)
	}
	if at, ok := Knee([]*Result{step(100, 100, 10), step(200, 150, 20)}); !ok || at != 0 {
		t.Error(at, ok)
	}
	if _, ok := Knee([]*Result{step(100, 100, 10), step(200, 200, 20)}); ok {
		t.Error("a knee where nothing gives way")
	}
}
