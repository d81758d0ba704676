package jobs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yardwharf"
	"yardwharf/internal/carry/dispatch"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/decide/waiting"
)

// scene is the job API with a dispatcher whose south side the test plays.
type scene struct {
	t       *testing.T
	loop    *loop.Loop
	r       *Runner
	api     *API
	c       *Client
	relays  chan *dispatch.Relay
	cancels chan *dispatch.Relay
}

func (s *scene) Start(r *dispatch.Relay)  { s.relays <- r }
func (s *scene) Probe(yardwharf.WorkerID) {}
func (s *scene) Watch()                   {}
func (s *scene) Cancel(r *dispatch.Relay) {
	s.cancels <- r
	s.loop.Defer(loop.Func(func() { r.End(yardwharf.Cancelled, nil, nil) }))
}

func play(t *testing.T, c waiting.Config) *scene {
	t.Helper()
	settings := yardwharf.Settings{Balancers: 1, MaxAttempts: 1, Cancel: true, TellsStart: true, StartCapacity: 1, OverloadFactor: 4,
		OverloadFor: time.Second, MaxRetryAfter: 50 * time.Millisecond, Classes: []yardwharf.Class{
			{Name: "status-check", Aim: time.Hour, Deadline: time.Hour, Worth: 5, Kind: -1},
			{Name: "send-alert", Aim: time.Hour, Deadline: time.Hour, Worth: 5, Kind: -1, Effect: yardwharf.Unsafe},
			{Name: "campaign-batch", Aim: time.Hour, Deadline: time.Hour, Worth: 3, Kind: -1, Effect: yardwharf.Keyed, KeyTTL: time.Hour}}}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	s := &scene{t: t, loop: l, relays: make(chan *dispatch.Relay, 1000), cancels: make(chan *dispatch.Relay, 1000)}
	d, err := dispatch.New(l, settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Connect(s, s)
	d.Members(yardwharf.ListFull, []yardwharf.Member{{ID: 1, State: yardwharf.Ready}, {ID: 2, State: yardwharf.Ready}})
	s.r = NewRunner(l, zerolog.Nop(), c, &settings, 1, d, time.Now)
	s.r.SetOpen(true)
	if s.api, err = Serve("127.0.0.1:0", s.r); err != nil {
		t.Fatal(err)
	}
	s.c = NewClient(s.api.Addr())
	ended := make(chan struct{})
	go func() { defer close(ended); l.Run() }()
	t.Cleanup(func() { s.api.Close(); l.Post(loop.Func(l.Stop)); <-ended; l.Close() })
	return s
}

func (s *scene) on(f func()) {
	done := make(chan struct{})
	s.loop.Post(loop.Func(func() { f(); close(done) }))
	<-done
}

// next is the next relay; end ends it.
func (s *scene) next() *dispatch.Relay {
	s.t.Helper()
	select {
	case r := <-s.relays:
		return r
	case <-time.After(30 * time.Second):
		s.t.Fatal("no relay has begun")
		return nil
	}
}

func (s *scene) end(r *dispatch.Relay, st yardwharf.Status, result string) {
	s.on(func() { r.End(st, []byte(result), nil) })
}

func (s *scene) submit(batch ...Submit) Page {
	s.t.Helper()
	p, err := s.c.Submit(context.Background(), batch)
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

func (s *scene) wait(id string) Job {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	j, err := s.c.Wait(ctx, id)
	if err != nil {
		s.t.Fatal(err)
	}
	return j
}

// A batch runs in its order; each message is worded as the platform's clients word
// theirs, and a keyed job's key is the same each time it goes.
func TestBatch(t *testing.T) {
	s := play(t, waiting.Config{})
	p := s.submit(Submit{Class: "status-check", Target: "ana", Body: "hello", Slots: 2}, Submit{Class: "campaign-batch", After: []Link{{Ref: 1}}})
	if len(p.Jobs) != 2 || p.Jobs[0].ID != "j1" || p.Jobs[1].State != "waiting" {
		t.Fatalf("%+v", p)
	}
	first := s.next()
	if m := &first.Message.Payload; string(m.Target) != "/status-check/ana" || string(m.Body) != "hello" || string(m.Method) != "POST" ||
		len(m.ID) != 16 || m.Key != nil || m.Once {
		t.Errorf("sent %s %s, id %s, key %q", m.Method, m.Target, m.ID, m.Key)
	}
	s.end(first, yardwharf.OK, "done it")
	if j := s.wait("j1"); j.State != "done" || j.Result != "done it" {
		t.Errorf("%+v", j)
	}
	second := s.next()
	key, id := string(second.Message.Payload.Key), string(second.Message.Payload.ID)
	s.end(second, yardwharf.Full, "")
	again := s.next()
	if m := &again.Message.Payload; string(m.Key) != key || len(key) != 32 || string(m.ID) == id {
		t.Errorf("went again with key %s and id %s, before with %s and %s", m.Key, m.ID, key, id)
	}
	s.end(again, yardwharf.OK, "")
	if j := s.wait("j2"); j.State != "done" || j.Tries != 2 {
		t.Errorf("%+v", j)
	}
}

// What must not run twice never goes again once it may have run.
func TestNeverTwice(t *testing.T) {
	s := play(t, waiting.Config{})
	s.submit(Submit{Class: "send-alert"}, Submit{Class: "send-alert", After: []Link{{Ref: 1}}}, Submit{Class: "status-check", After: []Link{{Ref: 1, On: "end"}}})
	r := s.next()
	if !r.Message.Payload.Once {
		t.Error("the message may run twice")
	}
	s.end(r, yardwharf.Reset, "")
	if j := s.wait("j1"); j.State != "failed" || j.Tries != 1 {
		t.Errorf("%+v", j)
	}
	if j := s.wait("j2"); j.State != "failed" || len(j.Causes) != 1 || j.Causes[0].ID != "j1" || j.Tries != 0 {
		t.Errorf("%+v", j)
	}
	s.end(s.next(), yardwharf.OK, "")
	if j := s.wait("j3"); j.State != "done" {
		t.Errorf("%+v", j)
	}
}

// Cancelling a job whose relay is out gives the relay up.
func TestCancelRunning(t *testing.T) {
	s := play(t, waiting.Config{})
	s.submit(Submit{Class: "status-check"}, Submit{Class: "status-check", After: []Link{{Ref: 1}}})
	s.next()
	j, err := s.c.Cancel(context.Background(), "j1", true)
	if err != nil || j.State != "cancelled" || !strings.Contains(j.Reason, "may have run") {
		t.Errorf("%+v, %v", j, err)
	}
	<-s.cancels
	if j := s.wait("j2"); j.State != "cancelled" {
		t.Errorf("%+v", j)
	}
	s.on(func() {
		if s.r.Running() > 0 {
			t.Error("a cancelled job runs")
		}
	})
	if _, err := s.c.Cancel(context.Background(), "j1", false); err == nil || !strings.Contains(err.Error(), "j1 is cancelled") {
		t.Error(err)
	}
}

// Each refusal has its status and its kind.
func TestProblems(t *testing.T) {
	s := play(t, waiting.Config{Limits: waiting.Limits{Jobs: 2}})
	s.on(func() { s.r.SetOpen(false) })
	s.submit(Submit{Class: "status-check", Key: "a"})
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string // in the answer
	}{
		{"POST", "/v1/jobs", "{", 400, "unexpected EOF"},
		{"POST", "/v1/jobs", `{"class":"status-check","colour":"red"}`, 400, `unknown field \"colour\"`},
		{"POST", "/v1/jobs", `{"class":"status"}`, 400, "urn:yardwharf:jobs:invalid"},
		{"POST", "/v1/jobs", `{"jobs":[]}`, 400, "no job is submitted"},
		{"POST", "/v1/jobs", `{"jobs":[{"class":"status-check"}],"class":"x"}`, 400, "alone"},
		{"POST", "/v1/jobs", `{"class":"status-check","after":[{"job":"j1","on":"noon"}]}`, 400, "after[0].on"},
		{"POST", "/v1/jobs", `{"class":"status-check","after":[{"job":"17"}]}`, 400, "expected one like"},
		{"POST", "/v1/jobs", `{"class":"status-check","after":[{}]}`, 400, "expected job or ref"},
		{"POST", "/v1/jobs", `{"class":"status-check","target":"a b"}`, 400, "visible"},
		{"POST", "/v1/jobs", `{"class":"status-check","body":"` + strings.Repeat("x", 70000) + `"}`, 400, "70000 bytes"},
		{"POST", "/v1/jobs", `{"class":"status-check","not_after":"2020-01-01T00:00:00Z"}`, 400, "its time is over"},
		{"POST", "/v1/jobs", `{"class":"status-check","after":[{"job":"j9"}]}`, 422, "unknown-job"},
		{"POST", "/v1/jobs", `{"class":"send-alert","key":"a"}`, 409, "key-conflict"},
		{"POST", "/v1/jobs", `{"jobs":[{"class":"status-check","after":[{"ref":2}]},{"class":"status-check","after":[{"ref":1}]}]}`, 429, "full"},
		{"POST", "/v1/jobs", `{"jobs":[{"class":"status-check"},{"class":"status-check"},{"class":"status-check"}]}`, 422, "over-limit"},
		{"POST", "/v1/jobs", `{"class":"status-check","after":[{"ref":1}]}`, 422, `"path":["job 1 of the batch"]`},
		{"POST", "/v1/jobs", `"` + strings.Repeat("x", requestMost) + `"`, 413, "too-large"},
		{"GET", "/v1/jobs/j9", "", 404, "unknown-job"},
		{"GET", "/v1/jobs/x", "", 404, "unknown-job"},
		{"GET", "/v1/jobs?limit=0", "", 400, "limit"},
		{"GET", "/v1/jobs?state=odd", "", 400, "state"},
		{"GET", "/v1/jobs?after=x", "", 400, "after"},
		{"GET", "/v1/jobs/j1/wait?timeout=1h", "", 400, "timeout"},
		{"PUT", "/v1/jobs/j1", "", 405, "method"},
		{"GET", "/v2", "", 404, "not-found"},
	} {
		req, _ := http.NewRequest(c.method, "http://"+s.api.Addr()+c.path, strings.NewReader(c.body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s %.60s: %v", c.method, c.path, err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != c.status || !strings.Contains(string(text), c.want) {
			t.Errorf("%s %s %.80s: %d %.200s, want %d with %q", c.method, c.path, c.body, resp.StatusCode, text, c.status, c.want)
		}
		if resp.Header.Get("Content-Type") != "application/problem+json" {
			t.Errorf("%s %s: %s", c.method, c.path, resp.Header.Get("Content-Type"))
		}
		if (c.status == 429) != (resp.Header.Get("Retry-After") != "") {
			t.Errorf("%s %s: Retry-After %q", c.method, c.path, resp.Header.Get("Retry-After"))
		}
	}
	// Nothing of all this stayed; the same key again is the same job.
	if p := s.submit(Submit{Class: "status-check", Key: "a"}); p.Jobs[0].ID != "j1" {
		t.Errorf("%+v", p)
	}
	if p, err := s.c.List(context.Background(), "", "", "", "", 10); err != nil || len(p.Jobs) != 1 {
		t.Errorf("%+v, %v", p, err)
	}
}

// Events come in order and end with the job; a reader that does not read is let go,
// and holds nothing up.
func TestEvents(t *testing.T) {
	s := play(t, waiting.Config{})
	s.submit(Submit{Class: "status-check", Held: true})
	resp, err := http.Get("http://" + s.api.Addr() + "/v1/jobs/j1/events")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	in := bufio.NewScanner(resp.Body)
	event := func() string {
		for in.Scan() {
			if name, ok := strings.CutPrefix(in.Text(), "event: "); ok {
				return name
			}
		}
		return "end"
	}
	if e := event(); e != "waiting" {
		t.Fatal(e)
	}
	if _, err := s.c.Hold(context.Background(), "j1", false); err != nil {
		t.Fatal(err)
	}
	s.end(s.next(), yardwharf.OK, "")
	got := []string{event(), event(), event(), event()}
	if !reflect.DeepEqual(got, []string{"ready", "running", "done", "end"}) {
		t.Errorf("events %v", got)
	}
	// A watcher that nobody reads from.
	s.on(func() {
		w := s.r.watch(0)
		for range watchMost + 10 {
			s.r.core.Submit(s.loop.Now(), s.r.unix(), []waiting.Spec{{Class: 0, Held: true}})
			s.r.tell()
		}
		if !w.lost || len(s.r.watchers) != 0 {
			t.Error("a reader that does not read is kept")
		}
	})
}

// Submissions at full speed past the limits: each is answered, what is over is
// refused with the time to come back, and what is held stays within the limits.
func TestFlood(t *testing.T) {
	const most = 300
	s := play(t, waiting.Config{Limits: waiting.Limits{Jobs: most, Bytes: 1 << 20}})
	s.on(func() { s.r.SetOpen(false) })
	var taken, refused atomic.Int64
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 20 {
				var batch []Submit
				for range 10 {
					batch = append(batch, Submit{Class: "status-check", Body: strings.Repeat("x", 100)})
				}
				p, err := s.c.Submit(context.Background(), batch)
				var problem *Problem
				switch {
				case err == nil:
					taken.Add(int64(len(p.Jobs)))
				case errors.As(err, &problem) && problem.Status == 429 && strings.Contains(problem.Detail, "come back in"):
					refused.Add(10)
				default:
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
	if taken.Load() != most || refused.Load() != 1600-most {
		t.Errorf("%d were taken, %d refused", taken.Load(), refused.Load())
	}
	s.on(func() {
		if n := s.r.core.Count(waiting.Ready); n != most {
			t.Errorf("%d are held", n)
		}
	})
}

// Lists are paged and filtered.
func TestList(t *testing.T) {
	s := play(t, waiting.Config{})
	var batch []Submit
	for i := range 25 {
		batch = append(batch, Submit{Class: []string{"status-check", "send-alert"}[i%2], Held: true, Key: fmt.Sprint("k", i)})
	}
	s.submit(batch...)
	seen, after := 0, ""
	for {
		p, err := s.c.List(context.Background(), "waiting", "send-alert", "", after, 5)
		if err != nil {
			t.Fatal(err)
		}
		seen += len(p.Jobs)
		if after = p.Next; after == "" {
			break
		}
	}
	if seen != 12 {
		t.Errorf("%d jobs were listed, want 12", seen)
	}
	if p, _ := s.c.List(context.Background(), "", "", "k7", "", 5); len(p.Jobs) != 1 || p.Jobs[0].ID != "j8" {
		t.Errorf("%+v", p)
	}
}

// The description names each route and no other, and each field that is written.
func TestOpenAPI(t *testing.T) {
	var doc struct {
		Paths      map[string]map[string]json.RawMessage
		Components struct {
			Schemas map[string]struct{ Properties map[string]json.RawMessage }
		}
	}
	if err := json.Unmarshal(openAPI, &doc); err != nil {
		t.Fatal(err)
	}
	routes := map[string]bool{}
	for _, r := range (&API{}).table() {
		routes[r.pattern] = true
		method, path, _ := strings.Cut(r.pattern, " ")
		if doc.Paths[path][strings.ToLower(method)] == nil {
			t.Errorf("%s is not described", r.pattern)
		}
	}
	for path, methods := range doc.Paths {
		for method := range methods {
			if !routes[strings.ToUpper(method)+" "+path] {
				t.Errorf("%s %s is described and not served", method, path)
			}
		}
	}
	for name, v := range map[string]any{"Submit": Submit{}, "Link": Link{}, "Job": Job{}, "Cause": Cause{}, "Page": Page{}, "Problem": Problem{}} {
		have := doc.Components.Schemas[name].Properties
		kind := reflect.TypeOf(v)
		for i := range kind.NumField() {
			field, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
			if have[field] == nil {
				t.Errorf("%s.%s is not described", name, field)
			}
		}
		if len(have) != kind.NumField() {
			t.Errorf("%s: %d fields are described, %d there", name, len(have), kind.NumField())
		}
	}
}

// Jobs are handed to the next start, once; a torn or foreign file is refused whole.
func TestSnapshot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs.snapshot")
	s := play(t, waiting.Config{})
	s.submit(Submit{Class: "send-alert"})
	s.next() // it is under way, and stays so
	s.on(func() { s.r.SetOpen(false) })
	s.submit(Submit{Class: "send-alert", After: []Link{{Job: "j1"}}}, Submit{Class: "campaign-batch", Key: "k", Body: "b", Target: "x"},
		Submit{Class: "status-check", After: []Link{{Ref: 2}, {Job: "j1", On: "end"}}, Held: true})
	s.on(func() {
		if n, err := s.r.Save(path, "n0"); n != 4 || err != nil {
			t.Errorf("%d jobs, %v", n, err)
		}
	})
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for what, text := range map[string][]byte{
		"its first line":    []byte("garbage"),
		"expected 1":        bytes.Replace(whole, []byte(`"yardwharf_jobs":1`), []byte(`"yardwharf_jobs":2`), 1),
		"not of \"n0\"":     bytes.Replace(whole, []byte(`"n0"`), []byte(`"n7"`), 1),
		"it is torn":        whole[:len(whole)-10],
		"its header says 9": bytes.Replace(whole, []byte(`"jobs":4`), []byte(`"jobs":9`), 1),
	} {
		other := play(t, waiting.Config{})
		os.WriteFile(path, text, 0o600)
		other.on(func() {
			if n, err := other.r.Load(path, "n0"); err == nil || n != 0 || !strings.Contains(err.Error(), what) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %d jobs, %v", what, n, err)
			}
			if other.r.core.Last() != 0 {
				t.Errorf("%s: something was taken", what)
			}
		})
		if _, err := os.Stat(path); err != nil {
			t.Errorf("%s: the file is not left alone", what)
		}
	}
	os.WriteFile(path, whole, 0o600)
	next := play(t, waiting.Config{})
	next.on(func() {
		if n, err := next.r.Load(path, "n0"); n != 4 || err != nil {
			t.Fatalf("%d jobs, %v", n, err)
		}
		if n, err := next.r.Load(path, "n0"); n != 0 || err != nil {
			t.Errorf("taken in twice: %d, %v", n, err)
		}
	})
	if j := next.wait("j1"); j.State != "failed" || !strings.Contains(j.Reason, "may have run") {
		t.Errorf("%+v", j)
	}
	if j := next.wait("j2"); j.State != "failed" || len(j.Causes) != 1 {
		t.Errorf("%+v", j)
	}
	r := next.next()
	if string(r.Message.Payload.Target) != "/campaign-batch/x" || string(r.Message.Payload.Body) != "b" {
		t.Errorf("sent %s %q", r.Message.Payload.Target, r.Message.Payload.Body)
	}
	next.end(r, yardwharf.OK, "")
	next.wait("j3")
	if j, err := next.c.Show(context.Background(), "j4"); err != nil || j.State != "waiting" || !j.Held {
		t.Errorf("%+v, %v", j, err)
	}
	if p := next.submit(Submit{Class: "campaign-batch", Key: "k", Body: "b", Target: "x"}); p.Jobs[0].ID != "j3" {
		t.Errorf("the key is not known: %+v", p)
	}
	if p := next.submit(Submit{Class: "status-check"}); p.Jobs[0].ID != "j5" {
		t.Errorf("an id was used again: %+v", p)
	}
}

// The API takes no more connections than it may hold.
func TestConnections(t *testing.T) {
	s := play(t, waiting.Config{})
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for range ConnsMost {
		c, err := net.Dial("tcp", s.api.Addr())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := s.c.Show(ctx, "j1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("one more is served: %v", err)
	}
	open[0].Close()
	var p *Problem
	if _, err := s.c.Show(context.Background(), "j1"); !errors.As(err, &p) || p.Status != 404 {
		t.Error(err)
	}
}
