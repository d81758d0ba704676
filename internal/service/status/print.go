package status

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const metricPrefix = "yardservice_"

// Print writes a report in human-readable form.
func Print(out io.Writer, r Report) {
	fmt.Fprintf(out, "%s/%s  zone %s  %s  up %s\n", r.Identity.Node, r.Identity.Role, r.Identity.Zone,
		r.Identity.Address, formatSeconds(r.UptimeS))
	fmt.Fprintf(out, "  configuration %d, senders %d\n", r.Revision, r.Senders)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, m := range r.Members {
		fmt.Fprintf(table, "  member\t%s/%s\t%s\t%s\t%s\n", m.Node, m.Role, m.Zone, m.Address, m.State)
	}
	for _, s := range r.Sessions {
		fmt.Fprintf(table, "  session\t%s\t%s\t%s\n", s.Node, s.Address, choose(s.Ready, "ready", "not ready"))
	}
	for _, s := range r.Stores {
		fmt.Fprintf(table, "  store\t%s\t%s\t%s\t%s\n", s.Node, s.Zone, s.Address, s.describe())
	}
	for _, q := range r.Queues {
		fmt.Fprintf(table, "  queue\t%s\tepoch %d\theld by %s\topen %d, running %d\n",
			q.Name, q.Epoch, choose(q.Holder != "", q.Holder, "nobody"), q.Open, q.Running)
	}
	for _, c := range r.Counters {
		fmt.Fprintf(table, "  counter\t%s\t%d\n", strings.TrimSpace(c.Name+" "+c.End), c.Value)
	}
	_ = table.Flush()
}

// describe returns a human-readable description of a store's state.
func (s Store) describe() string {
	text := choose(s.Up, "up", "down") + choose(s.Recovering, ", recovering", "") + choose(s.Leaving, ", leaving", "")
	if s.SegmentMax > 0 {
		text += fmt.Sprintf(", segments %d of %d, messages %d, bytes %d live of %d",
			s.Segments, s.SegmentMax, s.Messages, s.LiveBytes, s.FileBytes)
	}
	return text
}

// PrintMetrics writes the metrics of a report, one per line.
func PrintMetrics(out io.Writer, r Report) {
	line := func(name, labels string, value any) {
		fmt.Fprintf(out, "%s%s{node=%q,role=%q%s} %v\n", metricPrefix, name, r.Identity.Node, r.Identity.Role, labels, value)
	}
	line("uptime_seconds", "", r.UptimeS)
	line("configuration_revision", "", r.Revision)
	line("senders", "", r.Senders)
	held, open, running := 0, 0, 0
	for _, q := range r.Queues {
		open, running = open+q.Open, running+q.Running
		if q.Holder != "" {
			held++
		}
	}
	line("queues_held", "", held)
	line("messages_open", "", open)
	line("messages_running", "", running)
	for _, s := range r.Stores {
		if s.SegmentMax == 0 {
			line("store_up", fmt.Sprintf(",store=%q", s.Node), boolToInt(s.Up))
			continue
		}
		line("segments", "", s.Segments)
		line("messages", "", s.Messages)
		line("live_bytes", "", s.LiveBytes)
		line("file_bytes", "", s.FileBytes)
	}
	for _, c := range r.Counters {
		labels := ""
		if c.End != "" {
			labels = fmt.Sprintf(",end=%q", c.End)
		}
		line(c.Name+"_total", labels, c.Value)
	}
}

// PrintMessage writes the report of a message in human-readable form.
func PrintMessage(out io.Writer, m MessageReport) {
	if !m.Found {
		fmt.Fprintf(out, "%s: %s\n", m.ID, choose(m.Complete, "not known", "not found, but too few stores answer"))
	} else {
		fmt.Fprintf(out, "%s: %s, %s old, failures %d, queue %s, owner %s\n", m.ID, m.State, formatSeconds(m.AgeS),
			m.Failures, m.Queue, choose(m.Owner != "", m.Owner, "not known"))
	}
	if m.Stamp != "" {
		fmt.Fprintf(out, "  seal %s\n", m.Stamp)
	}
	if m.CallbackURL != "" || m.CallbackDue {
		fmt.Fprintf(out, "  call-back %s: %s\n", m.CallbackURL, m.callbackState())
	}
	for _, h := range m.Holders {
		fmt.Fprintf(out, "  store %s: %s\n", h.Store, h.describe())
	}
}

func (m MessageReport) callbackState() string {
	switch {
	case m.CallbackDue:
		return "owed"
	case m.State == "queued":
		return "after the end"
	default:
		return "taken"
	}
}

func (h Holder) describe() string {
	switch {
	case !h.Answered:
		return "no answer"
	case h.State == "":
		return "no record"
	default:
		return h.State
	}
}

func formatSeconds(value float64) string {
	return time.Duration(value * float64(time.Second)).Round(time.Millisecond).String()
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
