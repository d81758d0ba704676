// Package controller drives a rolling change: it asks the stewards what they see, has
// internal/decide/rollout decide, writes each decision down before it acts on it, and tells people
// where the change stands.
package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yardwharf/internal/decide/rollout"
	"yardwharf/internal/tools/steward"
)

const (
	every      = time.Second
	askFor     = 2 * time.Second
	releaseFor = 30 * time.Second // after the end, for stewards that are out of reach
	answerMost = 1 << 20
)

// Options say how a change is driven.
type Options struct {
	Plan   *rollout.Plan
	Text   []byte // of the plan: a record belongs to one text
	Record string // the file
	Tell   func(rollout.Record, rollout.Status)
}

// controller is a change under way.
type controller struct {
	o       Options
	log     zerolog.Logger
	began   time.Time
	client  http.Client
	record  *Record
	machine *rollout.Machine
	mu      sync.Mutex // of machine and record
	seen    []rollout.Report
}

// Run drives a change to its end, or until the context ends: it is continued by the next Run.
func Run(ctx context.Context, log zerolog.Logger, o Options) (rollout.Status, error) {
	record, err := Open(o.Record, o.Plan.Change, o.Text)
	if err != nil {
		return rollout.Status{}, err
	}
	defer record.Close()
	c := &controller{o: o, log: log, began: time.Now(), client: http.Client{Timeout: askFor}, record: record, seen: make([]rollout.Report, len(o.Plan.Dispatchers))}
	if c.machine, err = Fold(o.Plan, record); err != nil {
		return rollout.Status{}, fmt.Errorf("%s: %w", o.Record, err)
	}
	l, err := net.Listen("tcp", o.Plan.Listen)
	if err != nil {
		return rollout.Status{}, fmt.Errorf("controller: listen: %w; does another one drive this change?", err)
	}
	server := &http.Server{Handler: c.calls(), ReadTimeout: 5 * time.Second}
	go server.Serve(l)
	defer server.Close()
	for tick := time.NewTicker(every); ctx.Err() == nil; {
		c.look(ctx)
		if err := c.turn(ctx); err != nil {
			return c.status(), err
		}
		if c.over() {
			return c.status(), c.release(ctx)
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	return c.status(), nil
}

func (c *controller) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Ended()
}

func (c *controller) status() rollout.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Status()
}

// each does something with all stewards at once.
func (c *controller) each(do func(i int)) {
	var wait sync.WaitGroup
	for i := range c.o.Plan.Dispatchers {
		wait.Add(1)
		go func() { defer wait.Done(); do(i) }()
	}
	wait.Wait()
}

// look asks all stewards where they are.
func (c *controller) look(ctx context.Context) {
	c.each(func(i int) {
		var s steward.Status
		err := c.call(ctx, i, "GET", "/status", nil, &s)
		c.seen[i] = c.read(s, err)
	})
}

// read is what a steward's status means for this change.
func (c *controller) read(s steward.Status, err error) rollout.Report {
	if err != nil {
		return rollout.Report{}
	}
	v := rollout.Report{Reached: true, Crashes: s.Crashes, InService: s.Serves, Figures: s.Figures}
	if s.Change != "" && s.Change != c.record.Change {
		v.OtherChange = s.Change
	}
	if s.Last == c.record.Change {
		v.Act, v.InProgress, v.Fault, v.FellBack = s.Act, s.Doing, s.Fault, s.Fell
	}
	return v
}

// turn decides, writes down and acts, until nothing is due.
func (c *controller) turn(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		r, due := c.machine.Step(time.Since(c.began), c.seen)
		if !due {
			break
		}
		if err := c.decide(r); err != nil {
			return err
		}
	}
	for _, a := range c.machine.Acts() {
		if s := c.seen[a.Dispatcher]; s.Reached && s.Act == a.Seq {
			continue
		}
		ask := steward.Ask{Change: c.record.Change, Act: a.Seq}
		if a.New {
			ask.To = c.o.Plan.Target
		}
		// One that is lost is asked again in the next turn; the steward takes it once.
		if err := c.call(ctx, a.Dispatcher, "POST", "/act", ask, nil); err != nil {
			c.log.Warn().Err(err).Str("dispatcher", c.o.Plan.Dispatchers[a.Dispatcher].Name).Int("act", a.Seq).Msg("a steward has not taken an act")
		}
	}
	return nil
}

// decide writes a decision down, and only then makes it count.
func (c *controller) decide(r rollout.Record) error {
	r.At = time.Now()
	if err := c.record.Write(r); err != nil {
		return fmt.Errorf("controller: decision %d is not written down, and not done: %w", r.Seq, err)
	}
	if err := c.machine.Apply(r); err != nil {
		return err
	}
	c.o.Tell(r, c.machine.Status())
	return nil
}

// release gives the stewards back, each once it is reached.
func (c *controller) release(ctx context.Context) error {
	st := c.status()
	left := make([]bool, len(c.seen))
	for until := time.Now().Add(releaseFor); ; {
		c.each(func(i int) {
			if !left[i] {
				left[i] = c.call(ctx, i, "POST", "/release", steward.Release{Change: c.record.Change, Keep: st.State == rollout.Done}, nil) == nil
			}
		})
		var not []string
		for i, ok := range left {
			if !ok {
				not = append(not, c.o.Plan.Dispatchers[i].Name)
			}
		}
		if len(not) == 0 {
			return nil
		}
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("the change is %s, but %v still belong to it: start it again to release them", st.State, not)
		}
		time.Sleep(every)
	}
}

// call speaks with a steward.
func (c *controller) call(ctx context.Context, i int, method, path string, in, out any) error {
	return Call(ctx, &c.client, c.o.Plan.Dispatchers[i].Steward, method, path, in, out)
}

// No is an answer that is no yes.
type No struct {
	At     string
	Status int
	Text   string
}

// Error implements error.
func (n *No) Error() string { return fmt.Sprintf("%s says %d: %s", n.At, n.Status, n.Text) }

// Call makes a call and reads its answer; one that is no yes is a *No.
func Call(ctx context.Context, client *http.Client, at, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, body)
	if err != nil {
		return err
	}
	a, err := client.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, answerMost))
	switch {
	case err != nil:
		return err
	case a.StatusCode/100 != 2:
		return &No{at, a.StatusCode, string(bytes.TrimSpace(text))}
	case out != nil:
		return json.Unmarshal(text, out)
	}
	return nil
}

// Log is all of a change.
type Log struct {
	Status rollout.Status   `json:"status"`
	Plan   string           `json:"plan"`
	List   []rollout.Record `json:"decisions"`
}

// calls are what people can ask for.
func (c *controller) calls() http.Handler {
	mux := http.NewServeMux()
	tell := func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(c.status())
	}
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { tell(w) })
	mux.HandleFunc("GET /log", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		answer := Log{Status: c.machine.Status(), Plan: string(c.record.Plan), List: c.record.List}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(answer)
	})
	for path, kind := range map[string]rollout.Kind{"hold": rollout.Hold, "go": rollout.Resume, "back": rollout.RollBack} {
		mux.HandleFunc("POST /"+path, func(w http.ResponseWriter, q *http.Request) {
			c.mu.Lock()
			err := Wish(c.machine, kind, c.decide)
			c.mu.Unlock()
			if err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			tell(w)
		})
	}
	return mux
}

// Fold makes a change of its plan and its decisions.
func Fold(p *rollout.Plan, r *Record) (*rollout.Machine, error) {
	m := rollout.New(p)
	for _, l := range r.List {
		if err := m.Apply(l); err != nil {
			return nil, fmt.Errorf("decision %d cannot follow: %w", l.Seq, err)
		}
	}
	return m, nil
}

// Wish has an operator's wish decided.
func Wish(m *rollout.Machine, kind rollout.Kind, decide func(rollout.Record) error) error {
	r, err := m.OperatorRecord(kind, "asked by hand")
	if err != nil {
		return err
	}
	return decide(r)
}

// ErrTaken says that the record is in use.
var ErrTaken = errors.New("another controller has it open")
