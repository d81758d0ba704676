package yardlab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yardwharf"
	"yardwharf/internal/carry/xds"
	"yardwharf/internal/carry/xdslink"
	"yardwharf/internal/decide/membership"
)

// dumpCommand asks a management server for all it gives and judges it as a
// dispatcher would.
func dumpCommand(out io.Writer) *cobra.Command {
	var c xdslink.Config
	var mode string
	var keys xdslink.TLS
	var wait time.Duration
	var asJSON bool
	cmd := &cobra.Command{Use: "dump", Short: "Print what a management server gives, and whether yardwharf would take it",
		Example: "  yardlab xds dump --server 127.0.0.1:18000 --mode sotw --clusters senders",
		Args:    exactly(0, "no arguments"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if mode != "delta" && mode != "sotw" {
				return usageError{fmt.Errorf("--mode: unknown %q, expected delta or sotw", mode)}
			}
			for _, s := range c.Servers {
				if _, _, err := net.SplitHostPort(s); err != nil {
					return usageError{fmt.Errorf("--server: %w", err)}
				}
			}
			if len(c.Servers) == 0 {
				return usageError{fmt.Errorf("--server is missing")}
			}
			if c.Delta = mode == "delta"; keys.CA != "" {
				c.TLS = &keys
			}
			c.MaxMessageMB, c.BackoffMost, c.Silence = 256, time.Second, wait
			d := dump(cmd.Context(), c, wait)
			if asJSON {
				text, err := json.MarshalIndent(d, "", " ")
				if err != nil {
					return err
				}
				fmt.Fprintln(out, string(text))
			} else {
				d.print(out)
			}
			if !d.Taken {
				return errTold
			}
			return nil
		}}
	f := cmd.Flags()
	f.StringSliceVar(&c.Servers, "server", nil, "ip:port of the management server; several are tried in order")
	f.StringVar(&mode, "mode", "delta", "delta or sotw")
	f.StringSliceVar(&c.Clusters, "clusters", nil, "clusters to ask for (default: all)")
	f.StringVar(&c.Node.ID, "id", "yardlab", "the node's id")
	f.StringVar(&c.Node.Cluster, "node-cluster", "", "the node's cluster")
	f.StringVar(&c.Node.Zone, "zone", "", "the node's zone")
	f.StringVar(&keys.CA, "ca", "", "who signs the server's certificate (default: plain text)")
	f.StringVar(&keys.Cert, "cert", "", "our certificate")
	f.StringVar(&keys.Key, "key", "", "its key")
	f.StringVar(&keys.ServerName, "server-name", "", "the name in the server's certificate")
	f.DurationVar(&wait, "wait", 5*time.Second, "how long to wait for all of it")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// Dump is what a management server gave, as a dispatcher sees it.
type Dump struct {
	Server   string        `json:"server"`
	Taken    bool          `json:"taken"` // all of it
	Clusters []DumpCluster `json:"clusters"`
	Hosts    []DumpHost    `json:"hosts"`
	Faults   []string      `json:"faults,omitempty"`
	fleet    *membership.Fleet
	client   *xds.Client
	whole    chan struct{}
	specs    map[string]membership.Cluster
	ended    bool
}

// DumpCluster is one cluster.
type DumpCluster struct {
	Name    string  `json:"name"`
	Version string  `json:"version"`
	Source  string  `json:"source"` // the EDS resource; empty: its endpoints are inside
	Arrived bool    `json:"arrived"`
	Size    float64 `json:"size"`
	Parts   []int   `json:"parts"` // percent by priority that has hosts
}

// DumpHost is one host.
type DumpHost struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Cluster  string  `json:"cluster"`
	Zone     string  `json:"zone"`
	Priority uint32  `json:"priority"`
	Weight   float64 `json:"weight"`
	Health   string  `json:"health"`
	NewWork  bool    `json:"new_work"`
}

// dump runs a client until all clusters have their endpoints, a fault is found, or
// the time is over.
func dump(ctx context.Context, c xdslink.Config, wait time.Duration) *Dump {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	d := &Dump{fleet: membership.New(membership.Config{AllowEmpty: true, InitialFetch: wait}), whole: make(chan struct{}),
		specs: map[string]membership.Cluster{}}
	d.client = xds.NewClient(c, 0, d)
	ended := make(chan struct{})
	go func() { defer close(ended); d.client.Run(ctx) }()
	select {
	case <-d.whole:
		time.Sleep(min(wait/10, 200*time.Millisecond)) // what comes along with it
	case <-ctx.Done():
	}
	cancel()
	<-ended
	d.finish()
	return d
}

// Up implements xds.Handler, as the rest.
func (d *Dump) Up(server string) { d.Server = server }

// Down books why no server could be asked.
func (d *Dump) Down(err error) {
	if !slices.Contains(d.Faults, err.Error()) {
		d.Faults = append(d.Faults, err.Error())
	}
}

// Refused books what could not be read.
func (d *Dump) Refused(why string) { d.Faults = append(d.Faults, why) }

// Deliver takes an update as a dispatcher would.
func (d *Dump) Deliver(n uint64, u *membership.Update) {
	reason := ""
	err := d.fleet.ApplyUpdate(time.Duration(time.Now().UnixNano()), u)
	if errors.Is(err, membership.ErrUnknownBase) {
		d.client.Again(n)
		return
	}
	if err != nil {
		reason = err.Error()
		d.Faults = append(d.Faults, reason)
	} else {
		for _, c := range u.Clusters {
			d.specs[c.Name] = c
		}
		for _, name := range u.Removed {
			if u.OfClusters {
				delete(d.specs, name)
			}
		}
	}
	d.client.Verdict(n, reason, false)
	if d.fleet.Listed() && !d.ended {
		d.ended = true
		close(d.whole)
	}
}

// finish works out what is printed.
func (d *Dump) finish() {
	ch, _ := d.fleet.TakeChanges(time.Duration(time.Now().UnixNano()))
	views, work := map[string]membership.View{}, map[string]bool{}
	for _, v := range ch.Views {
		views[v.Name] = v
	}
	for _, h := range ch.Hosts {
		work[h.Name] = h.State == yardwharf.Ready && len(h.Pools) > 0
	}
	for _, name := range sortedKeys(d.specs) {
		c := d.specs[name]
		list := d.fleet.Assignment(c.Source)
		if c.Inline != nil {
			list = c.Inline
		}
		there := list != nil
		if !there {
			list = &membership.Assignment{}
		}
		out := DumpCluster{Name: name, Version: c.Version, Source: c.Source, Arrived: there, Size: views[name].Weight}
		for _, l := range views[name].Loads {
			out.Parts = append(out.Parts, int(l.Share*100+0.5))
		}
		d.Clusters = append(d.Clusters, out)
		if !there {
			d.Faults = append(d.Faults, fmt.Sprintf("the endpoints of cluster %q have not come", name))
		}
		for _, e := range list.Endpoints {
			d.Hosts = append(d.Hosts, DumpHost{e.Name, e.Address.String(), name, e.Zone, e.Priority, e.Weight, e.Health.String(), work[e.Name]})
		}
	}
	if d.Server == "" && len(d.Faults) == 0 {
		d.Faults = append(d.Faults, "no server has answered in time")
	}
	d.Taken = len(d.Faults) == 0
}

func sortedKeys[T any](m map[string]T) (names []string) {
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (d *Dump) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CLUSTER\tVERSION\tENDPOINTS\tSIZE\tBY PRIORITY")
	for _, c := range d.Clusters {
		from := "inside"
		if c.Source != "" {
			from = "EDS " + c.Source
		}
		if !c.Arrived {
			from += " (not come)"
		}
		parts := ""
		for _, p := range c.Parts {
			parts += fmt.Sprintf("%d%% ", p)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%s\n", c.Name, c.Version, from, c.Size, parts)
	}
	fmt.Fprintln(w, "\nHOST\tADDRESS\tCLUSTER\tZONE\tPRIORITY\tWEIGHT\tHEALTH\tNEW WORK")
	for _, h := range d.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%g\t%s\t%t\n", h.Name, h.Address, h.Cluster, h.Zone, h.Priority, h.Weight, h.Health, h.NewWork)
	}
	w.Flush()
	fmt.Fprintln(out)
	for _, f := range d.Faults {
		fmt.Fprintln(out, "fault:", f)
	}
	if d.Taken {
		fmt.Fprintf(out, "%s: yardwharf would take it\n", d.Server)
	} else {
		fmt.Fprintln(out, "yardwharf would not take all of it")
	}
}
