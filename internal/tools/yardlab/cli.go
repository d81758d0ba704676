// Package yardlab is the command line of the laboratory: stand-ins for what
// surrounds a dispatcher, and tools that look at it from outside.
package yardlab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"yardwharf/internal/decide/script"
	"yardwharf/internal/tools/standin/mgmt"
	"yardwharf/internal/tools/standin/sender"
)

// errTold is a fault that has been printed already.
var errTold = errors.New("a fault was found")

// Main runs the command line and returns the status to end with: 0, 1 where
// something failed or was found wanting, 2 where the command line is wrong.
func Main(args []string, out, log io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var usage usageError
	root := command(out, log)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errTold):
		return 1
	}
	fmt.Fprintln(log, "yardlab:", err)
	if errors.As(err, &usage) {
		return 2
	}
	return 1
}

// usageError is a command line that makes no sense.
type usageError struct{ error }

func exactly(n int, what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{fmt.Errorf("%s: expected %s", c.CommandPath(), what)}
		}
		return nil
	}
}

func command(out, log io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "yardlab", Short: "The laboratory of yardwharf", SilenceErrors: true, SilenceUsage: true,
		Example: "  yardlab xds example/xds/server.star\n  yardlab xds dump --server 127.0.0.1:18000\n  yardlab sender --listen 127.0.0.1:9001 --name s1",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unknown command %q; see yardlab help", args[0])}
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.SetOut(out)
	root.SetErr(log)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(xdsCommand(out, log), senderCommand(out), orderCommand(out), runCommand(out, log), listCommand(out, log), loadCommand(out, log), countCommand(out, log), fleetCommand(out, log), rolloutCommand(out), badCommand())
	return root
}

func xdsCommand(out, log io.Writer) *cobra.Command {
	var once bool
	c := &cobra.Command{Use: "xds SCRIPT", Short: "Play a management server from a script",
		Long: `Run a Starlark script that sets management servers up and plays them: any delivery,
order, version, nonce, delay and cut. docs/XDS.md has the calls. Afterwards the
servers go on as they are until Ctrl-C.`,
		Example: "  yardlab xds example/xds/server.star\n  yardlab xds --once lab/lagging_replica.star",
		Args:    exactly(1, "one script"),
		RunE: func(c *cobra.Command, args []string) error {
			p := &mgmt.Play{Out: out}
			defer p.Close()
			if err := p.Run(args[0]); err != nil {
				var own *script.Error
				if errors.As(err, &own) { // the line begins with the file, as compilers have it
					fmt.Fprintln(log, own)
					return errTold
				}
				return err
			}
			if !once && p.Servers() > 0 {
				fmt.Fprintln(out, "the script has ended, the servers go on; Ctrl-C ends them")
				<-c.Context().Done()
			}
			return nil
		}}
	c.Flags().BoolVar(&once, "once", false, "end with the script")
	c.AddCommand(dumpCommand(out), benchCommand(out))
	return c
}

func senderCommand(out io.Writer) *cobra.Command {
	var listen, name string
	var work time.Duration
	c := &cobra.Command{Use: "sender", Short: "Play a south side host that does every job",
		Example: "  yardlab sender --listen 127.0.0.1:9001 --name s1 --work 50ms", Args: exactly(0, "no arguments"),
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := sender.Start(name, listen, work)
			if err != nil {
				return err
			}
			defer s.Close()
			fmt.Fprintf(out, "%s serves at %s; Ctrl-C ends it\n", name, s.Addr())
			<-c.Context().Done()
			fmt.Fprintf(out, "%s was sent %d jobs\n", name, len(s.Jobs()))
			return nil
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9001", "where it listens (loopback)")
	c.Flags().StringVar(&name, "name", "s1", "its name in answers")
	c.Flags().DurationVar(&work, "work", 50*time.Millisecond, "how long a job runs")
	return c
}
