package yardlab

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yardwharf/internal/decide/script"
	"yardwharf/internal/tools/lab/scenario"
)

// runCommand plays scenarios in virtual time.
func runCommand(out, log io.Writer) *cobra.Command {
	var seed uint64
	var seeds int
	var asJSON bool
	c := &cobra.Command{Use: "run SCENARIO...", Short: "Play scenarios in virtual time and hold them against what they expect",
		Long: `Play scenarios with the decision module of this build, in virtual time. One seed
replays a run to the bit. The status is 1 if a rule was broken or a figure is not as
the scenario expects.`,
		Example: "  yardlab run lab/scenarios/*.star\n  yardlab run --seed 7 --seeds 20 lab/scenarios/salto_dark.star",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("run: expected scenarios, like lab/scenarios/*.star")}
			}
			return nil
		},
		RunE: func(_ *cobra.Command, args []string) error {
			failed := false
			if !asJSON {
				fmt.Fprintf(out, "%-22s %8s %8s %8s %9s %8s %8s %9s\n", "scenario", "service", "worst", "refused", "crossings", "attempts", "pressure", "wall time")
			}
			for _, path := range args {
				if len(args) > 1 && strings.HasPrefix(filepath.Base(path), "_") { // for others to load
					continue
				}
				s, err := scenarioAt(path, log)
				if err != nil {
					return err
				}
				if seeds > 0 {
					s.Seeds = seeds
				}
				began := time.Now()
				o, err := s.Play(seed)
				if err != nil {
					return err
				}
				failed = failed || len(o.Faults) > 0
				if asJSON {
					text, err := json.MarshalIndent(map[string]any{"scenario": s.Name, "seed": seed, "faults": o.Faults, "results": o.Results}, "", " ")
					if err != nil {
						return err
					}
					fmt.Fprintln(out, string(text))
					continue
				}
				fmt.Fprintf(out, "%-22s %8.3f %8.3f %8.3f %9.3f %8.2f %8.2f %9v\n", s.Name, o.Mean("service"), o.Mean("worst_window"), o.Mean("refused"),
					o.Mean("crossings"), o.Mean("attempts"), o.Mean("pressure"), time.Since(began).Round(time.Millisecond))
				for _, f := range o.Faults {
					fmt.Fprintf(out, "  not as expected: %s\n", f)
				}
			}
			if failed {
				return errTold
			}
			return nil
		}}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "the first seed")
	f.IntVar(&seeds, "seeds", 0, "how many (default: as the scenario says)")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// scenarioAt reads a scenario; a fault in the file is printed as compilers have it.
func scenarioAt(path string, log io.Writer) (*scenario.Scenario, error) {
	s, err := scenario.Load(path)
	var own *script.Error
	if errors.As(err, &own) {
		fmt.Fprintln(log, own)
		return nil, errTold
	}
	return s, err
}

func listCommand(out, log io.Writer) *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "list", Short: "List the scenarios", Example: "  yardlab list", Args: exactly(0, "no arguments"),
		RunE: func(*cobra.Command, []string) error {
			paths, err := filepath.Glob(filepath.Join(dir, "[^_]*.star")) // those with _ are for others to load
			if err != nil || len(paths) == 0 {
				return usageError{fmt.Errorf("list: there are no scenarios in %s", dir)}
			}
			for _, path := range paths {
				s, err := scenarioAt(path, log)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%-22s %s\n", s.Name, s.About)
			}
			return nil
		}}
	c.Flags().StringVar(&dir, "dir", "lab/scenarios", "where they are")
	return c
}
