package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yardwharf/internal/decide/rollout"
	"yardwharf/internal/tools/steward"
)

// A record is read back whole, is refused for another plan and to a second controller, and
// where it is damaged with the last good decision named.
func TestRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r")
	plan := []byte("the plan")
	r, err := Open(path, "c", plan)
	if err != nil {
		t.Fatal(err)
	}
	list := []rollout.Record{{Seq: 1, Kind: rollout.Begin}, {Seq: 2, Kind: rollout.Upgrade, Dispatcher: "n0"}, {Seq: 3, Kind: rollout.Hold, Why: "not told",
		Compared: []rollout.Line{{Figure: "failed", Interval: rollout.Interval{Low: -1, Mid: 0, High: 1}, Answer: rollout.Worse}}}}
	for _, l := range list {
		if err := r.Write(l); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Open(path, "c", plan); !errors.Is(err, ErrTaken) {
		t.Errorf("a second controller: %v", err)
	}
	change := r.Change
	r.Close()
	if r, err = Open(path, "c", plan); err != nil || r.Change != change || fmt.Sprint(r.List) != fmt.Sprint(list) {
		t.Fatalf("%v, %+v", err, r)
	}
	r.Close()
	if _, err := Open(path, "c", []byte("another")); err == nil || !strings.Contains(err.Error(), "plan: ") {
		t.Errorf("another plan: %v", err)
	}
	var page bytes.Buffer
	if err := Report(&page, Log{Plan: "<plan>", List: list, Status: rollout.Status{Change: "c"}}); err != nil || !strings.Contains(page.String(), "<svg") || !strings.Contains(page.String(), "&lt;plan&gt;") {
		t.Errorf("report: %v\n%s", err, page.String())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(path, bytes.ReplaceAll(text, []byte("not told"), []byte("not tald")), 0o600)
	if _, err := Open(path, "c", plan); err == nil || !strings.Contains(err.Error(), "last good decision is 2, upgrade n0") || strings.Contains(err.Error(), "\n") {
		t.Errorf("damaged: %v", err)
	}
	os.WriteFile(path, bytes.Repeat([]byte("x"), 1<<15), 0o600)
	if _, err := Open(path, "c", plan); err == nil {
		t.Error("what is no record is taken")
	}
}

// fleet is stewards that upgrade at once.
type fleet struct {
	mu    sync.Mutex
	s     []steward.Status
	taken map[string]int
}

func (f *fleet) serve(t *testing.T, i int) string {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter) { json.NewEncoder(w).Encode(f.s[i]) }
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { f.mu.Lock(); defer f.mu.Unlock(); reply(w) })
	mux.HandleFunc("POST /act", func(w http.ResponseWriter, q *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		var a steward.Ask
		json.NewDecoder(q.Body).Decode(&a)
		s := &f.s[i]
		if s.Change != "" && s.Change != a.Change {
			http.Error(w, "taken", http.StatusConflict)
			return
		}
		if s.Last != a.Change || a.Act > s.Act {
			s.Change, s.Last, s.Act, s.Now = a.Change, a.Change, a.Act, a.To
			f.taken[fmt.Sprint(a.Change, a.Act)]++
		}
		reply(w)
	})
	mux.HandleFunc("POST /release", func(w http.ResponseWriter, q *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.s[i].Change = ""
		reply(w)
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// A controller that is ended and started again, with people's wishes between, takes each step
// once; a change that comes meanwhile with a record of its own gets no steward.
func TestRun(t *testing.T) {
	f := &fleet{s: make([]steward.Status, 3), taken: map[string]int{}}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := free.Addr().String()
	free.Close()
	text := fmt.Sprintf("change(\"c\", build = \"/new\", listen = %q)\nstage(percent = 100, least = \"1s\")\n", listen)
	for i := range f.s {
		f.s[i].Serves = true
		text += fmt.Sprintf("dispatcher(\"n%d\", zone = \"z%d\", steward = %q)\n", i, i, f.serve(t, i))
	}
	plan, err := rollout.Parse("p", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Plan: plan, Text: []byte(text), Record: filepath.Join(t.TempDir(), "r"), Tell: func(rollout.Record, rollout.Status) {}}
	run := func(o Options, until func(rollout.Record) bool) (rollout.Status, error) {
		ctx, stop := context.WithTimeout(context.Background(), 60*time.Second)
		defer stop()
		o.Tell = func(r rollout.Record, _ rollout.Status) {
			if until(r) {
				stop()
			}
		}
		return Run(ctx, zerolog.Nop(), o)
	}
	if st, err := run(o, func(r rollout.Record) bool { return r.Kind == rollout.Upgraded && r.Dispatcher == "n1" }); err != nil || len(st.New) == 0 {
		t.Fatalf("%+v, %v", st, err)
	}
	other := o
	other.Record += "2"
	if st, err := run(other, func(r rollout.Record) bool { return r.Kind == rollout.Hold }); err != nil || !strings.Contains(st.Held, "belongs to change") {
		t.Errorf("a second change: %+v, %v", st, err)
	}
	st, err := run(o, func(rollout.Record) bool { return false })
	if err != nil || st.State != rollout.Done || len(st.New) != 3 {
		t.Errorf("%+v, %v", st, err)
	}
	for act, times := range f.taken {
		if times != 1 {
			t.Errorf("act %s was taken %d times", act, times)
		}
	}
	if len(f.taken) != 3 || f.s[0].Change != "" {
		t.Errorf("%d acts, %+v", len(f.taken), f.s)
	}
}
