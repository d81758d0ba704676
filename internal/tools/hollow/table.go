package hollow

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const megabyte = 1 << 20

// line is one line of the table: a name and how its figure is read off a report.
type line struct {
	name  string
	value func(*Report) string
}

func bytesText(n float64) string {
	switch {
	case n >= 10*megabyte:
		return fmt.Sprintf("%.0f MB", n/megabyte)
	case n >= 1<<20:
		return fmt.Sprintf("%.1f MB", n/megabyte)
	case n >= 10<<10:
		return fmt.Sprintf("%.0f KB", n/1024)
	default:
		return fmt.Sprintf("%.0f B", n)
	}
}

func shareText(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func timeText(d time.Duration) string {
	switch {
	case d >= time.Second:
		return fmt.Sprintf("%.2f s", d.Seconds())
	case d >= time.Millisecond:
		return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
	default:
		return fmt.Sprintf("%.1f us", float64(d)/float64(time.Microsecond))
	}
}

// lines are the lines of the table, by role.
var lines = []line{
	{"AGENT (one; hollow, virtual time)", nil},
	{"at rest: bytes/s", func(r *Report) string { return bytesText(r.Rest.bytesPerS(r.Rest.Agent)) }},
	{"at rest: calls/s", func(r *Report) string {
		return fmt.Sprintf("%.2f", float64(r.Rest.Agent.Calls)/r.Rest.Length.Seconds())
	}},
	{"at rest: processor share", func(r *Report) string { return shareText(r.Rest.share(r.Rest.Agent, r.Sockets.CallCost)) }},
	{"with changes: bytes/s", func(r *Report) string { return bytesText(r.Churn.bytesPerS(r.Churn.Agent)) }},
	{"CONTROL MEMBER (busiest of 9; virtual time)", nil},
	{"at rest: bytes/s", func(r *Report) string { return bytesText(r.Rest.bytesPerS(r.Rest.Member)) }},
	{"at rest: processor share", func(r *Report) string { return shareText(r.Rest.share(r.Rest.Member, r.Sockets.CallCost)) }},
	{"with changes: bytes/s", func(r *Report) string { return bytesText(r.Churn.bytesPerS(r.Churn.Member)) }},
	{"with changes: processor share", func(r *Report) string { return shareText(r.Churn.share(r.Churn.Member, r.Sockets.CallCost)) }},
	{"CHANGE OF CONFIGURATION (virtual time, 1.8% down, a core for control)", nil},
	{"changes", func(r *Report) string { return fmt.Sprint(r.Spread.Changes) }},
	{"decided, worst", func(r *Report) string { return timeText(r.Spread.Decided) }},
	{"in force at half of the dispatchers", func(r *Report) string { return timeText(r.Spread.Median) }},
	{"in force at the last dispatcher", func(r *Report) string { return timeText(r.Spread.Last) }},
	{"never in force at", func(r *Report) string { return fmt.Sprint(r.Spread.Unserved) }},
	{"bytes on the wire", func(r *Report) string { return bytesText(float64(r.Machine.ConfigurationSize)) }},
	{"agent / dispatcher processor", func(r *Report) string { return r.Machine.Configuration.text() }},
	{"CHANGE OF THE LIST", nil},
	{"bytes on the wire", func(r *Report) string { return bytesText(float64(r.ListBytes)) }},
	{"agent / dispatcher processor", func(r *Report) string { return r.Machine.List.text() }},
	{"whole list on the wire", func(r *Report) string { return bytesText(float64(r.Machine.WholeListBytes)) }},
	{"whole list over a real connection", func(r *Report) string { return r.Sockets.ListTransfer }},
	{"platform: pages, read", func(r *Report) string { return r.Platform.text() }},
	{"CHANGE OF A MONITOR'S VIEW", nil},
	{"bytes on the wire", func(r *Report) string { return bytesText(float64(r.MemberBytes)) }},
	{"agent / dispatcher processor", func(r *Report) string { return r.Machine.Members.text() }},
	{"MEMORY FOR CONTROL", nil},
	{"agent", func(r *Report) string { return bytesText(float64(r.Machine.AgentMemory)) }},
	{"dispatcher", func(r *Report) string { return bytesText(float64(r.Machine.DispatcherMemory)) }},
	{"both, before any change", func(r *Report) string { return bytesText(float64(r.Machine.FreshMemory)) }},
	{"CONTROL AT THE TARGET'S RATES (one machine)", nil},
	{"bytes/s (4 KB wanted)", func(r *Report) string { return bytesText(r.atTarget().Bytes) }},
	{"processor share (3.8% wanted)", func(r *Report) string { return shareText(r.atTarget().Share) }},
	{"memory (32 MB wanted)", func(r *Report) string { return bytesText(float64(r.atTarget().Memory)) }},
	{"LEASES (sessions of every dispatcher with every store)", nil},
	{"stores", func(r *Report) string { return fmt.Sprint(r.Leases.Stores) }},
	{"renewal: bytes", func(r *Report) string { return bytesText(float64(r.Leases.RenewalBytes)) }},
	{"renewal: store / dispatcher processor", func(r *Report) string {
		return timeText(r.Leases.StoreRenewal) + " / " + timeText(r.Leases.HolderRenewal)
	}},
	{"renewals: bytes/s of a dispatcher", func(r *Report) string { return bytesText(r.Leases.dispatcherBytesPerS()) }},
	{"renewals: share of a dispatcher", func(r *Report) string { return shareText(r.Leases.dispatcherShare(r.Sockets.CallCost)) }},
	{"renewals: share of a store", func(r *Report) string { return shareText(r.Leases.storeShare(r.Size, r.Sockets.CallCost)) }},
	{"table: bytes", func(r *Report) string { return bytesText(float64(r.Leases.TableBytes)) }},
	{"table: store / dispatcher processor", func(r *Report) string {
		return timeText(r.Leases.StoreTable) + " / " + timeText(r.Leases.HolderTable)
	}},
	{"table: memory at a dispatcher, of all stores", func(r *Report) string {
		return bytesText(float64(r.Leases.TableMemory) * float64(r.Leases.Stores))
	}},
	{"table: fold of all at a dispatcher", func(r *Report) string {
		return timeText(r.Leases.TableFold * time.Duration(r.Leases.Stores))
	}},
	{"one restart: new versions of the table", func(r *Report) string { return fmt.Sprint(r.Leases.RestartSteps) }},
	{"one restart: bytes at a store", func(r *Report) string { return bytesText(r.Leases.restartBytes(r.Size)) }},
	{"one restart: processor of a store", func(r *Report) string { return timeText(r.Leases.restartTime(r.Size)) }},
	{"check of one lease", func(r *Report) string { return timeText(r.Leases.ValidityCheck) }},
	{"memory: store / dispatcher", func(r *Report) string {
		return bytesText(float64(r.Leases.StoreMemory)) + " / " + bytesText(float64(r.Leases.HolderMemory))
	}},
	{"SOCKETS (real time, 3 members)", nil},
	{"agents", func(r *Report) string { return fmt.Sprint(r.Sockets.Agents) }},
	{"at rest: bytes/s of an agent", func(r *Report) string { return bytesText(r.Sockets.BytesPerS) }},
	{"configuration in force at the last", func(r *Report) string { return timeText(r.Sockets.InForce) }},
	{"processor of a call, both ends", func(r *Report) string { return timeText(r.Sockets.CallCost) }},
	{"THE RUN", nil},
	{"real time", func(r *Report) string { return timeText(r.RealTime) }},
	{"memory: estimate / peak so far", func(r *Report) string {
		return fmt.Sprintf("%s / %s", bytesText(r.Size.MemoryEstimate()), bytesText(float64(r.PeakMemory)))
	}},
}

func (c cost) text() string { return timeText(c.Agent) + " / " + timeText(c.Dispatcher) }

func (p platformResult) text() string {
	if p.Failure != "" {
		return fmt.Sprintf("%d, fails: %s", p.Pages, p.Failure)
	}
	return fmt.Sprintf("%d, %s", p.Pages, timeText(p.Time))
}

// dispatcherBytesPerS returns the bytes of a dispatcher's renewals at all stores.
func (l leaseCost) dispatcherBytesPerS() float64 {
	return renewalsPerSecond() * float64(l.Stores*l.RenewalBytes)
}

// dispatcherShare returns the part of a core that a dispatcher's renewals take.
func (l leaseCost) dispatcherShare(callCost time.Duration) float64 {
	return renewalsPerSecond() * float64(l.Stores) * (l.HolderRenewal + callCost/2).Seconds()
}

// storeShare returns the part of a core that all renewals take of a store.
func (l leaseCost) storeShare(size Size, callCost time.Duration) float64 {
	return renewalsPerSecond() * float64(size.Dispatchers) * (l.StoreRenewal + callCost/2).Seconds()
}

// restartBytes returns what a store sends when one dispatcher restarts: the changes of its table to every
// dispatcher.
func (l leaseCost) restartBytes(size Size) float64 {
	return float64(size.Dispatchers) * float64(l.RestartBytes)
}

// restartTime returns the processor time of a store for that.
func (l leaseCost) restartTime(size Size) time.Duration {
	return time.Duration(size.Dispatchers) * l.RestartStore
}

// WriteTable prints a column for each report.
func WriteTable(out io.Writer, reports []Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var dispatchers, destinations []string
	for _, r := range reports {
		dispatchers = append(dispatchers, fmt.Sprint(r.Size.Dispatchers))
		destinations = append(destinations, fmt.Sprint(r.Size.Destinations))
	}
	fmt.Fprintf(table, "dispatchers\t%s\t\n", strings.Join(dispatchers, "\t"))
	fmt.Fprintf(table, "destinations\t%s\t\n", strings.Join(destinations, "\t"))
	for _, l := range lines {
		fmt.Fprint(table, l.name)
		for i := range reports {
			value := ""
			if l.value != nil {
				value = l.value(&reports[i])
			}
			fmt.Fprintf(table, "\t%s", value)
		}
		fmt.Fprint(table, "\t\n")
	}
	if err := table.Flush(); err != nil {
		return Class.Wrap(err)
	}
	return writeBacklogs(out, reports)
}

// writeBacklogs prints what waiting messages take, where that was measured.
func writeBacklogs(out io.Writer, reports []Report) error {
	for _, r := range reports {
		b := r.Backlog
		if b.Messages == 0 {
			continue
		}
		_, err := fmt.Fprintf(out, "BACKLOG (%d messages with bodies of %d bytes, a real store over loopback)\n"+
			"a message: disk %.0f B, index of a store %.0f B, owner without body %.0f B\n"+
			"appends: %.0f/s, processor %s each (client and store); rebuild of the index: processor %s a message\n",
			b.Messages, b.BodyBytes, b.DiskBytes, b.StoreMemory, b.OwnerMemory, b.Appends, timeText(b.Processor), timeText(b.Rebuild))
		if err != nil {
			return Class.Wrap(err)
		}
	}
	return nil
}
