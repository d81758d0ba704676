// Package handover keeps what must outlive a process of a dispatcher, and shares it
// between the two processes of an upgrade: hosts out by hand, names once listed,
// whether clients are sent away, and who runs. The state and its text need no I/O;
// Store keeps them in a folder.
package handover

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"
	"strings"
	"time"
)

// listedMost bounds the names that are kept: the oldest go.
const listedMost = 10_000

// unknownMost bounds the lines that are kept for another build.
const unknownMost = 256

const format = 1

// Phase is what a process is at.
type Phase string

// The phases.
const (
	Starting Phase = "starting" // it takes no clients yet
	Ready    Phase = "ready"
	Leaving  Phase = "leaving"
)

// State is what is kept.
type State struct {
	Drain  bool                     // clients are sent away
	Out    map[string]time.Duration // hosts out by hand, and since when
	Listed []string                 // names of hosts that were listed once, the oldest first
	Runs   map[string]Phase         // processes, by their tokens
	Zones  map[string]Zone          // what is asked of zones by hand
	Lesson json.RawMessage          // what a process has learned, for the one that takes over; nil: nothing

	unknown []json.RawMessage // whole lines of another build, which are kept for it
}

// Zone is what is asked of a zone: the higher generation is the later wish.
type Zone struct {
	Gen  uint16 `json:"gen"`
	Away bool   `json:"away"`
}

// NewState returns a State that says nothing.
func NewState() State {
	return State{Out: map[string]time.Duration{}, Runs: map[string]Phase{}, Zones: map[string]Zone{}}
}

// Clone is a copy that can be changed.
func (s *State) Clone() State {
	return State{Drain: s.Drain, Out: maps.Clone(s.Out), Listed: slices.Clone(s.Listed), Runs: maps.Clone(s.Runs), Zones: maps.Clone(s.Zones), Lesson: s.Lesson,
		unknown: slices.Clone(s.unknown)}
}

// Has says whether a name was listed.
func (s *State) Has(name string) bool { return slices.Contains(s.Listed, name) }

// List adds names that were listed, and says whether one of them is new.
func (s *State) List(names []string) bool {
	known := make(map[string]bool, len(s.Listed))
	for _, n := range s.Listed {
		known[n] = true
	}
	before := len(known)
	for _, n := range names {
		if !known[n] {
			known[n] = true
			s.Listed = append(s.Listed, n)
		}
	}
	if over := len(s.Listed) - listedMost; over > 0 {
		s.Listed = slices.Delete(s.Listed, 0, over)
	}
	return len(known) > before
}

// record is a line's content; each line has one of its kinds.
type record struct {
	Format     int           `json:"yardwharf_handover,omitempty"` // of the first line
	Dispatcher string        `json:"dispatcher,omitempty"`
	Drain      bool          `json:"drain,omitempty"`
	Out        string        `json:"out,omitempty"`
	Since      time.Duration `json:"since_ns,omitempty"`
	Listed     string        `json:"listed,omitempty"`
	Run        string        `json:"run,omitempty"`
	Phase      Phase         `json:"phase,omitempty"`

	Lesson json.RawMessage `json:"lesson,omitempty"`

	Zone  string `json:"zone,omitempty"`
	Asked *Zone  `json:"asked,omitempty"`
}

// text writes a State down: a line for each thing, with a checksum in front.
func (s *State) text(dispatcher string) ([]byte, error) {
	records := []record{{Format: format, Dispatcher: dispatcher}}
	if s.Drain {
		records = append(records, record{Drain: true})
	}
	for _, name := range slices.Sorted(maps.Keys(s.Out)) {
		records = append(records, record{Out: name, Since: s.Out[name]})
	}
	for _, token := range slices.Sorted(maps.Keys(s.Runs)) {
		records = append(records, record{Run: token, Phase: s.Runs[token]})
	}
	for _, name := range slices.Sorted(maps.Keys(s.Zones)) {
		z := s.Zones[name]
		records = append(records, record{Zone: name, Asked: &z})
	}
	if s.Lesson != nil {
		records = append(records, record{Lesson: s.Lesson})
	}
	for _, name := range s.Listed {
		records = append(records, record{Listed: name})
	}
	var out []byte
	put := func(line []byte) { out = fmt.Appendf(out, "%08x %s\n", crc32.ChecksumIEEE(line), line) }
	for i := range records {
		line, err := json.Marshal(&records[i])
		if err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
		put(line)
	}
	for _, line := range s.unknown {
		put(line)
	}
	return out, nil
}

// read reads what text has written. A line that is damaged is left out, and the
// others count; an error says how many there were, or that all of it is another
// dispatcher's.
func read(text []byte, dispatcher string) (State, error) {
	s, bad, foreign, first := NewState(), 0, "", true
	var names []string
	for line := range strings.Lines(string(text)) {
		sum, content, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		var r record
		if sum != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(content))) || !strings.HasSuffix(line, "\n") ||
			json.Unmarshal([]byte(content), &r) != nil {
			bad++
			continue
		}
		switch {
		case r.Format != 0:
			first = false
			if r.Format != format || r.Dispatcher != dispatcher {
				foreign = fmt.Sprintf("format %d of dispatcher %q", r.Format, r.Dispatcher)
			}
		case r.Drain:
			s.Drain = true
		case r.Out != "":
			s.Out[r.Out] = r.Since
		case r.Lesson != nil:
			s.Lesson = r.Lesson
		case r.Listed != "":
			names = append(names, r.Listed)
		case r.Run != "" && !strings.ContainsAny(r.Run, "/."): // it names a file
			s.Runs[r.Run] = r.Phase
		case r.Zone != "" && r.Asked != nil:
			s.Zones[r.Zone] = *r.Asked
		case r.Run == "" && len(s.unknown) < unknownMost:
			s.unknown = append(s.unknown, json.RawMessage(content))
		}
	}
	s.List(names)
	switch {
	case foreign != "":
		return NewState(), fmt.Errorf("handover: the state is of %s, nothing of it counts", foreign)
	case bad > 0 || first && len(text) > 0:
		return s, fmt.Errorf("handover: %d lines of the state are damaged, %d hosts out by hand and %d names are left", bad, len(s.Out), len(s.Listed))
	}
	return s, nil
}
