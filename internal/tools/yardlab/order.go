package yardlab

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"yardwharf/internal/decide/waiting"
	"yardwharf/internal/tools/lab/order"
)

// orderCommand compares the ways in which age can count against worth.
func orderCommand(out io.Writer) *cobra.Command {
	var seeds int
	var loads []float64
	c := order.Config{}
	cmd := &cobra.Command{Use: "order", Short: "Play waiting jobs against worthier messages, by several orders, in virtual time",
		Example: "  yardlab order --load 1.2 --jobs 0.05,0.2 --seeds 3 --length 3m", Args: exactly(0, "no arguments"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 || c.Hosts < 1 || c.Slots < 1 || c.Load < 0 || c.Length < time.Second {
				return usageError{fmt.Errorf("order: expected at least one seed, host and slot, a load and a second")}
			}
			ways := []struct {
				name string
				a    waiting.Ageing
			}{
				{"worth alone", waiting.Ageing{Disabled: true}},
				{"linear ageing", waiting.Ageing{Reserve: 1}}, // age outbids worth at half the bound, without a limit
				{"fair share", waiting.Ageing{MaxWait: 1, Reserve: 0.1}},
				{"virtual deadline with a reserve", waiting.Ageing{Reserve: 0.1}},
			}
			fmt.Fprintf(out, "%-32s %5s %9s %9s %9s %9s %9s\n", "order", "jobs", "served", "p50", "p99", "longest", "service")
			for _, c.JobLoad = range loads {
				for _, w := range ways {
					var sum order.Result
					for seed := range seeds {
						c.Seed, c.Ageing = uint64(seed+1), w.a
						r, err := order.Run(c)
						if err != nil {
							return err
						}
						sum.Messages, sum.InTime = sum.Messages+r.Messages, sum.InTime+r.InTime
						sum.Jobs, sum.Served = sum.Jobs+r.Jobs, sum.Served+r.Served
						sum.Longest, sum.P50, sum.P99 = max(sum.Longest, r.Longest), max(sum.P50, r.P50), max(sum.P99, r.P99)
					}
					fmt.Fprintf(out, "%-32s %4.0f%% %8.0f%% %9v %9v %9v %9.3f\n", w.name, 100*c.JobLoad, 100*float64(sum.Served)/float64(max(1, sum.Jobs)),
						sum.P50.Round(100*time.Millisecond), sum.P99.Round(100*time.Millisecond), sum.Longest.Round(100*time.Millisecond), sum.Service())
				}
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&seeds, "seeds", 3, "runs of each")
	f.IntVar(&c.Hosts, "hosts", 13, "hosts of the fleet")
	f.IntVar(&c.Slots, "slots", 4, "slots of a host")
	f.Float64Var(&c.Load, "load", 1.2, "worthier work, as a part of what the fleet can do")
	f.Float64SliceVar(&loads, "jobs", []float64{0.05, 0.2}, "work of the waiting jobs, the same")
	f.DurationVar(&c.Length, "length", 3*time.Minute, "of virtual time")
	return cmd
}
