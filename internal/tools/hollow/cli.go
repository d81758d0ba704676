package hollow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

const backlogMessages = 20_000

// options are the flags of the command.
type options struct {
	dispatchers  []int
	destinations []int
	memoryGb     float64
	messages     int
	tolerated    int
}

// usageError is a command line that makes no sense.
type usageError struct{ error }

// Main runs the command line and returns the status to end with: 0, 1 where a
// run failed or was refused, 2 where the command line is wrong.
func Main(args []string, out, log io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := command(out, log)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(log, "yardhollow:", err)
	var usage usageError
	if errors.As(err, &usage) {
		return 2
	}
	return 1
}

func command(out, log io.Writer) *cobra.Command {
	var o options
	root := &cobra.Command{
		Use: "yardhollow", Short: "Measure how the service's roles grow, with thousands of hollow processes",
		Long: `Run the pure cores of agents, control members and lease grantors in one process, for each
pair of a number of dispatchers and one of destinations, and print a table. Most of it runs in
virtual time. docs/CAPACITY.md says what follows from the figures.`,
		Example:      "  yardhollow --dispatchers 100,300 --destinations 2300",
		SilenceUsage: true, SilenceErrors: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unexpected argument %q", args[0])}
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error { return o.run(c.Context(), out, log) },
	}
	root.SetOut(out)
	root.SetErr(log)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.Flags()
	flags.IntSliceVar(&o.dispatchers, "dispatchers", []int{100, 300, 1000, 3200}, "numbers of dispatchers")
	flags.IntSliceVar(&o.destinations, "destinations", []int{2300, 23000, 230000}, "numbers of destinations")
	flags.Float64Var(&o.memoryGb, "memory-gb", defaultMemoryGb, "memory that a run may take; a larger size is refused")
	flags.IntVar(&o.messages, "messages", backlogMessages, "messages to fill a store with, beside the first size; 0: none")
	flags.IntVar(&o.tolerated, "tolerated", 1, "machines that may be lost at once")
	return root
}

// sizes returns all pairs of the numbers.
func (o *options) sizes() []Size {
	var sizes []Size
	for _, destinations := range o.destinations {
		for _, dispatchers := range o.dispatchers {
			size := NewSize(dispatchers, destinations)
			size.Tolerated = o.tolerated
			if len(sizes) == 0 {
				size.Messages = o.messages
			}
			sizes = append(sizes, size)
		}
	}
	return sizes
}

// run checks all sizes before it measures the first.
func (o *options) run(ctx context.Context, out, log io.Writer) error {
	sizes := o.sizes()
	if len(sizes) == 0 {
		return usageError{errors.New("no size is given")}
	}
	for _, size := range sizes {
		if err := size.Check(o.memoryGb); err != nil {
			return err
		}
	}
	var reports []Report
	for _, size := range sizes {
		report, err := Run(ctx, size, o.memoryGb)
		if err != nil {
			return fmt.Errorf("%s: %w", size, err)
		}
		fmt.Fprintf(log, "%s: measured in %s\n", size, timeText(report.RealTime))
		reports = append(reports, report)
	}
	return WriteTable(out, reports)
}
