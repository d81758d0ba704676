package yardlab

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"yardwharf/internal/decide/script"
	"yardwharf/internal/decide/zones"
	"yardwharf/internal/tools/lab/processes"
	"yardwharf/internal/tools/lab/zoneyard"
)

// fleetCommand plays incidents against several real processes of the dispatcher.
func fleetCommand(out, log io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Play incidents against several processes, with faults between them"}
	c.AddCommand(fleetRun(out, log), fleetList(out, log), fleetModel(out))
	return c
}

func fleetRun(out, log io.Writer) *cobra.Command {
	var binary, other, logs string
	program, _ := os.Executable()
	var seed uint64
	var network int
	c := &cobra.Command{Use: "run SCENARIO...", Short: "Play scenarios, one after the other, and hold them against what they expect",
		Long: `Start dispatchers, stand-in senders, discovery and clients on loopback addresses, each
pair of them with a link of its own, and play the scenarios' faults. The status is 1 if
a rule was broken or a figure is not as the scenario expects.`,
		Example: "  yardlab fleet run lab/fleet/*.star\n  yardlab fleet run --other /tmp/yardwharf.old --logs /tmp/logs lab/fleet/zone_dark.star",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("fleet run: expected scenarios, like lab/fleet/*.star")}
			}
			if network < 1 || network > 254 {
				return usageError{fmt.Errorf("--net: %d is not from 1 to 254", network)}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			failed := false
			fmt.Fprintf(out, "%-16s %8s %8s %7s %7s %7s %6s %8s %6s %8s %7s %9s %8s\n", "scenario", "messages", "service", "refused", "failed", "broken", "left", "last", "back", "last", "changes", "datagrams", "attempts")
			for _, path := range args {
				s, err := processes.Load(path)
				var own *script.Error
				if errors.As(err, &own) {
					fmt.Fprintln(log, own)
					return errTold
				}
				if err != nil {
					return err
				}
				dir := filepath.Join(logs, s.Name)
				if logs == "" {
					if dir, err = os.MkdirTemp("", "yardlab-"); err != nil {
						return err
					}
					defer os.RemoveAll(dir)
				} else if err := os.MkdirAll(dir, 0o755); err != nil {
					return err
				}
				r, err := processes.Run(c.Context(), s, processes.Options{Binary: binary, Other: other, Net: byte(network), Dir: dir, Seed: seed, Lab: program})
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%-16s %8d %8.3f %7d %7d %7d %6d %8v %6d %8v %7d %9d %8.2f\n", s.Name, r.Messages, r.Service(), r.Refused, r.Failed, r.Broken,
					len(r.Left), longest(r.Left), len(r.Back), longest(r.Back), r.Changes, r.Datagrams, float64(r.Hits)/float64(max(1, r.Messages)))
				if r.State != "" {
					fmt.Fprintf(out, "  change: %s %s, %d dispatchers are new, %d upgrades\n", r.State, r.Held, r.New, r.Upgrades)
				}
				for _, f := range s.Faults(&r) {
					failed = true
					fmt.Fprintf(out, "  not as expected: %s\n", f)
				}
			}
			if failed {
				return errTold
			}
			return nil
		}}
	f := c.Flags()
	f.StringVar(&binary, "binary", filepath.Join(filepath.Dir(program), "yardwharf"), "the dispatcher")
	f.StringVar(&other, "other", "", "another build of it, for every second process")
	f.StringVar(&logs, "logs", "", "a folder for configurations and logs (default: none are kept)")
	f.Uint64Var(&seed, "seed", 1, "of arrivals and losses")
	f.IntVar(&network, "net", 77, "second part of the loopback addresses")
	return c
}

// longest is the last of some sorted times.
func longest(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	return d[len(d)-1].Round(time.Millisecond)
}

func fleetList(out, log io.Writer) *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "list", Short: "List the scenarios of a folder", Args: exactly(0, "no arguments"),
		RunE: func(*cobra.Command, []string) error {
			paths, err := filepath.Glob(filepath.Join(dir, "*.star"))
			if err != nil {
				return err
			}
			for _, path := range paths {
				s, err := processes.Load(path)
				if err != nil {
					fmt.Fprintln(log, err)
					return errTold
				}
				fmt.Fprintf(out, "%-16s %s\n", s.Name, s.About)
			}
			return nil
		}}
	c.Flags().StringVar(&dir, "dir", "lab/fleet", "the folder")
	return c
}

// fleetModel measures the decisions on zones in virtual time.
func fleetModel(out io.Writer) *cobra.Command {
	o := zoneyard.Options{Zones: 3}
	var sizes []int
	var seeds, loss int
	c := &cobra.Command{Use: "model", Short: "Measure how fleets of any size leave a zone and return, in virtual time",
		Long: `For each size play so many seeds of a fleet that loses a zone for 10 s and has it back
cold, beside the same seeds by each dispatcher alone, and as many in which single
dispatchers are cut off. Times are those until 95% have left (as a fleet, alone), their
ratio, and until all are home; messages sent into the dark a run, as a fleet and alone; phases entered a dispatcher; runs
with a false leave; datagrams and bytes a second at rest and around a loss; the time of a turn.
The status is 1 if there was a false leave, or one that did not leave or come home.`,
		Example: "  yardlab fleet model --dispatchers 3,30,300 --loss 30 --seeds 100",
		Args:    exactly(0, "no arguments"),
		RunE: func(*cobra.Command, []string) error {
			if loss < 0 || loss > 99 || seeds < 1 || o.Rate <= 0 || o.Zones < 2 || o.Zones > zones.MaxZones {
				return usageError{fmt.Errorf("fleet model: --loss is from 0 to 99, --seeds at least 1, --rate over 0, --zones from 2 to %d", zones.MaxZones)}
			}
			o.Loss = float64(loss) / 100
			bad := false
			fmt.Fprintln(out, "fleet ", zoneyard.Head)
			for _, n := range sizes {
				if n < 2*o.Zones {
					return usageError{fmt.Errorf("fleet model: --dispatchers: %d cannot agree in %d zones, %d at least", n, o.Zones, 2*o.Zones)}
				}
				o.Dispatchers = n
				m, err := zoneyard.Take(o, seeds)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%6d %v\n", n, &m)
				bad = bad || m.False > 0 || zoneyard.Quantile(1, m.Left) < 0 || zoneyard.Quantile(1, m.Home) < 0
			}
			if bad {
				return errTold
			}
			return nil
		}}
	f := c.Flags()
	f.IntSliceVar(&sizes, "dispatchers", []int{6, 30, 300}, "sizes of the fleet")
	f.IntVar(&o.Zones, "zones", 3, "zones")
	f.IntVar(&seeds, "seeds", 20, "runs of each size")
	f.IntVar(&loss, "loss", 30, "percent of the datagrams that are lost")
	f.Float64Var(&o.Rate, "rate", 1.5, "ends a second that a dispatcher has in each zone")
	f.DurationVar(&o.Ramp, "warm-up", 10*time.Second, "of hosts that start anew")
	return c
}
