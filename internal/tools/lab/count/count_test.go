package count

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func logLine(dispatcher string, second int, message, more string) string {
	return fmt.Sprintf(`{"level":"info","dispatcher":%q,"time":"2026-12-01T10:00:%02dZ","message":%q%s}`+"\n", dispatcher, second, message, more)
}

// The logs of a fleet add up by second; what is cut off, garbled, plain or too long
// counts for nothing and is told.
func TestCount(t *testing.T) {
	c := New()
	for _, text := range []string{
		"[0.24] " + logLine("n0", 5, "started", "") + logLine("n0", 7, "discovery watch lost", "") + `{"level":"warn","dispatcher":"n0","ti`,
		logLine("n1", 7, "discovery watch lost", "") + logLine("n1", 7, "host changed", `,"state":"gone"`) + "\n" +
			logLine("n1", 9, "readiness changed", `,"ready":true`) + logLine("n1", 9, "readiness changed", `,"ready":false`),
		"yardwharf: config: key listen\n" + `{"a":1}` + "\n" + `{"level":"info"}{` + "\n" + `{"x":"` + strings.Repeat("x", 2*lineMost) + "\"}\n" + logLine("n2", 9, "host changed", `,"state":"serving"`),
	} {
		if err := c.Add(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	got, err := c.Table()
	if err != nil || got.Dispatchers != 3 || got.Lines != 7 || got.Unreadable != 4 || got.Plain != 1 {
		t.Fatalf("%+v, %v", got, err)
	}
	at := func(second int, column string) int {
		for _, r := range got.Rows {
			if r.Second == second {
				return r.Counts[slices.Index(got.Columns, column)]
			}
		}
		return 0
	}
	for _, w := range []struct {
		second int
		column string
		n      int
	}{{0, "started", 1}, {2, "watch lost", 2}, {2, "gone", 1}, {4, "ready", 1}, {4, "unready", 1}, {4, "serving", 1}, {4, "gone", 0}} {
		if n := at(w.second, w.column); n != w.n {
			t.Errorf("second %d, %s: %d, want %d", w.second, w.column, n, w.n)
		}
	}
	if len(got.Rows) != 3 || got.Rows[0].Second != 0 {
		t.Errorf("rows %v", got.Rows)
	}
	if _, err := New().Table(); err == nil {
		t.Error("no line at all is a table of zeros")
	}
}
