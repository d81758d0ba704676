package waiting

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// story is one transcript: jobs, a clock that nobody sets, and the one on the wall.
type story struct {
	k         *Core
	now, wall time.Duration
}

func (s *story) span(text string) time.Duration {
	d, err := time.ParseDuration(strings.TrimPrefix(text, "+"))
	if err != nil {
		panic(err)
	}
	return d
}

// edges reads "j1,?j2,#3": after j1, after any end of j2, after the third of the batch.
func edges(text string) (out []SpecEdge) {
	for one := range strings.SplitSeq(text, ",") {
		var e SpecEdge
		one, e.Any = strings.CutPrefix(one, "?")
		if ref, ok := strings.CutPrefix(one, "#"); ok {
			e.Ref, _ = strconv.Atoi(ref)
		} else {
			e.Job = ParseID(one)
		}
		out = append(out, e)
	}
	return out
}

func (s *story) specs(text string) (out []Spec) {
	for line := range strings.Lines(text) {
		h := fnv.New64a()
		h.Write([]byte(strings.TrimSpace(line)))
		spec := Spec{Size: 1, Digest: h.Sum64()}
		for word := range strings.FieldsSeq(line) {
			key, value, _ := strings.Cut(word, "=")
			switch key {
			case "status":
				spec.Class = 0
			case "campaign":
				spec.Class = 1
			case "key":
				spec.Key = value
			case "size":
				spec.Size, _ = strconv.Atoi(value)
			case "after":
				spec.After = edges(value)
			case "before":
				spec.Before = edges(value)
			case "not_before":
				spec.NotBefore = s.wall + s.span(value)
			case "not_after":
				spec.NotAfter = s.wall + s.span(value)
			case "held":
				spec.Held = true
			default:
				panic("unknown word " + word)
			}
		}
		out = append(out, spec)
	}
	return out
}

// said writes what has happened since.
func (s *story) said() string {
	var b strings.Builder
	for _, e := range s.k.Take() {
		fmt.Fprintf(&b, "  %s %s", e.Job.ID, e.State)
		if e.State.Final() && e.Job.Why != "" {
			fmt.Fprintf(&b, ": %s", e.Job.Why)
		}
		b.WriteString("\n")
	}
	if b.Len() == 0 {
		return "  nothing\n"
	}
	return b.String()
}

func (s *story) run(t *testing.T, d *datadriven.TestData) string {
	arg := func(n int) string { return d.CmdArgs[n].Key }
	value := func(key string) string {
		for _, a := range d.CmdArgs {
			if a.Key == key && len(a.Vals) > 0 {
				return a.Vals[0]
			}
		}
		return ""
	}
	switch d.Cmd {
	case "core":
		c := Config{Worth: []float64{5, 1}}
		for _, a := range d.CmdArgs {
			n := 0
			if len(a.Vals) > 0 {
				n, _ = strconv.Atoi(a.Vals[0])
			}
			switch a.Key {
			case "jobs":
				c.Limits.Jobs = n
			case "per_class":
				c.Limits.PerClass = n
			case "edges":
				c.Limits.Edges = n
			case "fan_in":
				c.Limits.FanIn = n
			case "depth":
				c.Limits.Depth = n
			case "bytes":
				c.Limits.Bytes = n
			case "repeats":
				c.Limits.Repeats = n
			case "keep_bytes":
				c.Limits.KeepBytes = n
			case "ageing":
				c.Ageing.Off = true
			}
		}
		s.k, s.now, s.wall = New(c), time.Hour, 1000*time.Hour
		s.k.Advance(s.now, s.wall, 1)
		s.k.SetOpen(true)
		return ""
	case "submit":
		jobs, old, err := s.k.Submit(s.now, s.wall, s.specs(d.Input))
		var f *Fault
		if errors.As(err, &f) {
			out := fmt.Sprintf("refused: %v\n", err)
			if f.Wait > 0 {
				out += fmt.Sprintf("  come back in %v\n", f.Wait)
			}
			return out + s.said()
		}
		var b strings.Builder
		for i, j := range jobs {
			if old[i] {
				fmt.Fprintf(&b, "  job %d is %s, there already\n", i+1, j.ID)
			}
		}
		return b.String() + s.said()
	case "after":
		d0 := s.span(arg(0))
		s.now, s.wall = s.now+d0, s.wall+d0
		fallthrough
	case "advance":
		for s.k.Advance(s.now, s.wall, 1000) {
		}
		return s.said()
	case "step": // somebody sets the clock
		s.wall += s.span(arg(0))
		for s.k.Advance(s.now, s.wall, 1000) {
		}
		return s.said()
	case "release":
		var b strings.Builder
		for {
			j, ahead := s.k.Release(s.now)
			if j == nil {
				break
			}
			fmt.Fprintf(&b, "  %s goes", j.ID)
			if ahead {
				b.WriteString(" ahead of all")
			}
			b.WriteString("\n")
		}
		s.k.Take()
		if after, ok := s.k.NextRelease(); ok {
			fmt.Fprintf(&b, "  next look in %v\n", after.Round(time.Millisecond))
		}
		if b.Len() == 0 {
			return "  nothing\n"
		}
		return b.String()
	case "end":
		o := map[string]Outcome{"served": Served, "lost": Lost, "back": TurnedAway}[arg(1)]
		after := time.Duration(0)
		if v := value("after"); v != "" {
			after = s.span(v)
		}
		s.k.End(s.now, ParseID(arg(0)), o, []byte("result"), 0, after, 0.5)
		for s.k.Advance(s.now, s.wall, 1000) {
		}
		return s.said()
	case "cancel":
		running, ok := s.k.Cancel(ParseID(arg(0)), len(d.CmdArgs) > 1)
		if !ok {
			return "  not to be cancelled\n"
		}
		for s.k.Advance(s.now, s.wall, 1000) {
		}
		out := s.said()
		for _, j := range running {
			out += fmt.Sprintf("  give up the message of %s\n", j.ID)
		}
		return out
	case "hold", "let":
		if !s.k.Hold(ParseID(arg(0)), d.Cmd == "hold") {
			return "  not possible\n"
		}
		return s.said()
	case "chain":
		j, _ := s.k.Get(ParseID(arg(0)))
		if j == nil {
			return "  none\n"
		}
		chain, whole := s.k.Chain(j, 4)
		var b strings.Builder
		for _, j := range chain {
			fmt.Fprintf(&b, "  %s %s: %s\n", j.ID, j.State, j.Why)
		}
		if !whole {
			b.WriteString("  and so on\n")
		}
		return b.String()
	case "open", "closed":
		s.k.SetOpen(d.Cmd == "open")
		return ""
	case "completed":
		s.k.Completed(s.span(arg(0)))
		return ""
	case "get":
		j, forgotten := s.k.Get(ParseID(arg(0)))
		if j == nil {
			return fmt.Sprintf("  none; forgotten: %t\n", forgotten)
		}
		return fmt.Sprintf("  %s %s %q, tried %d times\n", j.ID, j.State, j.Result, j.Tries)
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

// The hard cases, each as a story.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata/stories", func(t *testing.T, path string) {
		s := &story{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}
