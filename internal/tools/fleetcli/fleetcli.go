// Package fleetcli is the command line of yardfleet: the commands of yardwharf that keep
// machines and drive changes.
package fleetcli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// The statuses that the program ends with, as yardwharf's.
const (
	statusOK     = 0
	statusFailed = 1
	statusFault  = 2 // the command line is wrong, or a file that it names
)

// fault is an error that ends the program with statusFault.
type fault struct{ error }

// Unwrap gives the error itself.
func (f fault) Unwrap() error { return f.error }

// told is a fault that has been printed already.
type told struct{}

// Error implements error.
func (told) Error() string { return "a fault was found" }

// Main runs the command line and returns the status to end with.
func Main(args []string, out, log io.Writer) int {
	root := &cobra.Command{Use: "yardwharf", Short: "Keep machines and drive changes", SilenceErrors: true, SilenceUsage: true}
	root.SetOut(out)
	root.SetErr(log)
	root.SetArgs(args)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fault{err} })
	root.AddCommand(stewardCommand(log), rolloutCommand(out, log))
	err := root.Execute()
	var bad fault
	switch {
	case err == nil:
		return statusOK
	case errors.Is(err, told{}):
		return statusFault
	}
	fmt.Fprintln(log, "yardwharf:", err)
	if errors.As(err, &bad) {
		return statusFault
	}
	return statusFailed
}

func exactly(n int, what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return fault{fmt.Errorf("%s: %d arguments, expected %s", c.CommandPath(), len(args), what)}
		}
		return nil
	}
}
