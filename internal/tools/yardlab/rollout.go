package yardlab

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"yardwharf/internal/decide/rollout"
	"yardwharf/internal/tools/lab/rollyard"
)

// rolloutCommand measures the decisions on rolling changes.
func rolloutCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "rollout", Short: "Measure rolling changes and what stops them"}
	c.AddCommand(rolloutModel(out))
	return c
}

func rolloutModel(out io.Writer) *cobra.Command {
	var o rollyard.Options
	var builds []string
	var seeds int
	var why bool
	var known []string
	for _, b := range rollyard.Builds {
		known = append(known, b.Name)
	}
	c := &cobra.Command{Use: "model", Short: "Play changes in virtual time, with builds that are bad on purpose",
		Long: `Play so many changes of each build through a fleet with the troubles of a yard, in
three stages: how many are done, stopped (and of these in the first stage) and held, after
how long and how many messages of the new ones, and what worth was lost by them against
what all at once would have lost in an hour, and against stages that go by time alone.
"same" is the build against itself: what is stopped there is stopped wrongly.`,
		Example: "  yardlab rollout model --seeds 100\n  yardlab rollout model --builds same --seeds 1000 --why",
		Args:    exactly(0, "no arguments"),
		RunE: func(*cobra.Command, []string) error {
			if o.Zones < 1 || o.Dispatchers < 2*o.Zones || o.Rate <= 0 || seeds < 1 {
				return usageError{fmt.Errorf("rollout model: two dispatchers a zone at least, --rate over 0, --seeds at least 1")}
			}
			o.Stages = []rollout.Stage{
				{Fraction: 0.1, MinWatch: time.Minute, MaxWatch: 10 * time.Minute, MinMessages: 1000},
				{Fraction: 0.5, MinWatch: time.Minute, MaxWatch: 10 * time.Minute, MinMessages: 1000},
				{Fraction: 1, MinWatch: time.Minute, MaxWatch: 10 * time.Minute},
			}
			fmt.Fprintln(out, rollyard.Head)
			for _, name := range builds {
				i := slices.Index(known, name)
				if i < 0 {
					return usageError{fmt.Errorf("--builds: unknown %q, expected some of %s", name, strings.Join(known, ", "))}
				}
				o.Build = rollyard.Builds[i]
				sum, err := changes(o, seeds)
				if err != nil {
					return err
				}
				fmt.Fprintln(out, sum)
				for w, n := range sum.Whys {
					if why {
						fmt.Fprintf(out, "  %d: %s\n", n, w)
					}
				}
			}
			return nil
		}}
	f := c.Flags()
	f.IntVar(&o.Dispatchers, "dispatchers", 30, "size of the fleet")
	f.IntVar(&o.Zones, "zones", 3, "zones")
	f.Float64Var(&o.Rate, "rate", 20, "messages a second of a dispatcher")
	f.BoolVar(&o.Quiet, "quiet", false, "no troubles in the yard")
	f.IntVar(&seeds, "seeds", 20, "changes of each build")
	f.StringSliceVar(&builds, "builds", known, "builds")
	f.BoolVar(&why, "why", false, "say why they were stopped or held")
	return c
}

// changes plays seeds on all cores.
func changes(o rollyard.Options, seeds int) (*rollyard.Sum, error) {
	results, errs := make([]rollyard.Result, seeds), make([]error, seeds)
	var wait sync.WaitGroup
	for w := range runtime.GOMAXPROCS(0) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := w; i < seeds; i += runtime.GOMAXPROCS(0) {
				one := o
				one.Seed = uint64(i + 1)
				results[i], errs[i] = rollyard.Play(one)
			}
		}()
	}
	wait.Wait()
	sum := &rollyard.Sum{Build: o.Build.Name}
	for i, r := range results {
		if errs[i] != nil {
			return nil, fmt.Errorf("rollout model: seed %d: %w", i+1, errs[i])
		}
		sum.Add(r)
	}
	return sum, nil
}
