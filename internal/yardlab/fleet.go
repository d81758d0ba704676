package yardlab

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"yardwharf/internal/lab/processes"
	"yardwharf/internal/script"
)

// fleetCommand plays incidents against several real processes of the dispatcher.
func fleetCommand(out, log io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Play incidents against several processes, with faults between them"}
	c.AddCommand(fleetRun(out, log), fleetList(out, log))
	return c
}

func fleetRun(out, log io.Writer) *cobra.Command {
	var binary, other, logs string
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
				r, err := processes.Run(c.Context(), s, processes.Options{Binary: binary, Other: other, Net: byte(network), Dir: dir, Seed: seed})
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%-16s %8d %8.3f %7d %7d %7d %6d %8v %6d %8v %7d %9d %8.2f\n", s.Name, r.Messages, r.Service(), r.Refused, r.Failed, r.Broken,
					len(r.Left), longest(r.Left), len(r.Back), longest(r.Back), r.Changes, r.Datagrams, float64(r.Hits)/float64(max(1, r.Messages)))
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
	own, _ := os.Executable()
	f.StringVar(&binary, "binary", filepath.Join(filepath.Dir(own), "yardwharf"), "the dispatcher")
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
