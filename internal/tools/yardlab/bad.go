package yardlab

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"yardwharf/internal/tools/lab/badbuild"
)

// badCommand is a build of the dispatcher that is bad on purpose.
func badCommand() *cobra.Command {
	var known []string
	for _, name := range slices.Sorted(maps.Keys(badbuild.Faults)) {
		known = append(known, fmt.Sprintf("  %-12s %s", name, badbuild.Faults[name]))
	}
	return &cobra.Command{Use: "bad FAULT BINARY [ARGUMENT...]", Short: "Run a build of the dispatcher that is bad on purpose", DisableFlagParsing: true,
		Long: "Start BINARY and spoil it; scenarios of rolling changes do so. The faults are:\n" + strings.Join(known, "\n"),
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) < 2 || badbuild.Faults[args[0]] == "" {
				return usageError{fmt.Errorf("bad: expected a fault and a program; the faults are %s", strings.Join(slices.Sorted(maps.Keys(badbuild.Faults)), ", "))}
			}
			return badbuild.Run(args[0], args[1], args[2:])
		}}
}
