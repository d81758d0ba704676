// Package count adds up the logs of many dispatchers by second. What each does that
// is harmless alone shows in the sum only.
package count

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// lineMost is the longest line that is read, in bytes; what is longer is unreadable.
const lineMost = 1 << 20

// columns are what is counted, in the order of a Row's counts.
var columns = []struct {
	Name  string
	match func(l *line) bool
}{
	{"started", message("started")},
	{"stopping", message("stopping")},
	{"stopped", message("stopped")},
	{"ready", func(l *line) bool { return l.Message == "readiness changed" && l.Ready }},
	{"unready", func(l *line) bool { return l.Message == "readiness changed" && !l.Ready }},
	{"watch lost", message("discovery watch lost")},
	{"watch stands", message("discovery watch stands")},
	{"serving", state("serving")},
	{"draining", state("draining")},
	{"gone", state("gone")},
	{"by hand", state("out by hand")},
	{"out of reach", message("host out of reach")},
	{"in reach", message("host in reach")},
	{"paused", message("accepting paused")},
	{"away", func(l *line) bool { return l.Message == "sending clients away" && l.On }},
	{"errors", func(l *line) bool { return l.Level == "error" }},
}

func message(m string) func(*line) bool { return func(l *line) bool { return l.Message == m } }

func state(s string) func(*line) bool {
	return func(l *line) bool { return l.Message == "host changed" && l.State == s }
}

// Columns names what is counted.
func Columns() (names []string) {
	for _, c := range columns {
		names = append(names, c.Name)
	}
	return names
}

// line is what is read of a log line.
type line struct {
	Time       time.Time `json:"time"`
	Level      string    `json:"level"`
	Dispatcher string    `json:"dispatcher"`
	Message    string    `json:"message"`
	State      string    `json:"state"`
	Ready      bool      `json:"ready"`
	On         bool      `json:"on"`
}

// Row is a second of the whole fleet.
type Row struct {
	Second int   `json:"second"` // since the first line
	Counts []int `json:"counts"`
}

// Table is the count of a fleet.
type Table struct {
	Columns     []string  `json:"columns"`
	Began       time.Time `json:"began"`
	Dispatchers int       `json:"dispatchers"`
	Lines       int       `json:"lines"`
	Unreadable  int       `json:"unreadable"` // cut off or garbled; they count for nothing
	Plain       int       `json:"plain"`      // lines that are no JSON: faults at the start, traces
	Partial     bool      `json:"partial"`    // not all files were read
	Rows        []Row     `json:"rows"`       // seconds in which something happened
}

// Counter adds logs up.
type Counter struct {
	seconds     map[int64][]int
	dispatchers map[string]bool
	table       Table
}

// New returns a Counter of nothing.
func New() *Counter {
	return &Counter{seconds: map[int64][]int{}, dispatchers: map[string]bool{}}
}

// Add reads a dispatcher's log. A line may have something in brackets in front, as
// where a collector adds its own time. One that is cut off, as a killed process
// leaves it, is passed over and counted.
func (c *Counter) Add(r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		text, err := in.ReadSlice('\n')
		long := errors.Is(err, bufio.ErrBufferFull)
		if long {
			if text, err = rest(in, text); len(text) > lineMost {
				text = []byte("{")
			}
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("count: %w", err)
		}
		c.line(bytes.TrimSpace(text), err == io.EOF)
		if err == io.EOF {
			return nil
		}
	}
}

// rest reads on to the end of a line that is longer than the reader's buffer.
func rest(in *bufio.Reader, first []byte) ([]byte, error) {
	text := bytes.Clone(first)
	for {
		more, err := in.ReadSlice('\n')
		if len(text) <= lineMost {
			text = append(text, more...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return text, err
		}
	}
}

func (c *Counter) line(text []byte, last bool) {
	if len(text) > 0 && text[0] == '[' {
		if _, behind, found := bytes.Cut(text, []byte("] ")); found {
			text = behind
		}
	}
	if len(text) == 0 {
		return
	}
	if text[0] != '{' && !last {
		c.table.Plain++
		return
	}
	var l line
	if err := json.Unmarshal(text, &l); err != nil || l.Time.IsZero() || l.Message == "" {
		c.table.Unreadable++
		return
	}
	c.table.Lines++
	c.dispatchers[l.Dispatcher] = true
	at := l.Time.Unix()
	for i := range columns {
		if columns[i].match(&l) {
			if c.seconds[at] == nil {
				c.seconds[at] = make([]int, len(columns))
			}
			c.seconds[at][i]++
		}
	}
	if began := l.Time.Truncate(time.Second); c.table.Began.IsZero() || began.Before(c.table.Began) {
		c.table.Began = began
	}
}

// Table is the count of what was read.
func (c *Counter) Table() (Table, error) {
	t := c.table
	t.Columns, t.Dispatchers = Columns(), len(c.dispatchers)
	if t.Lines == 0 {
		return t, fmt.Errorf("count: no log line of a dispatcher (%d plain, %d unreadable)", t.Plain, t.Unreadable)
	}
	for at, counts := range c.seconds {
		t.Rows = append(t.Rows, Row{int(at - t.Began.Unix()), counts})
	}
	slices.SortFunc(t.Rows, func(a, b Row) int { return a.Second - b.Second })
	return t, nil
}
