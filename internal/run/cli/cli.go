// Package cli is the command line of yardwharf.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"yardwharf/internal/decide/script"
	"yardwharf/internal/run/app"
)

// The statuses that the program ends with.
const (
	statusOK     = 0
	statusFailed = 1 // it could not start or run
	statusFault  = 2 // the command line is wrong, or a file that was to be checked
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
	root := command(out, log)
	root.SetArgs(args)
	err := root.Execute()
	var bad fault
	switch {
	case err == nil:
		return statusOK
	case errors.Is(err, told{}):
		return statusFault
	case errors.As(err, &bad):
		fmt.Fprintln(log, "yardwharf:", err)
		return statusFault
	}
	fmt.Fprintln(log, "yardwharf:", err)
	return statusFailed
}

// command builds the tree of commands.
func command(out, log io.Writer) *cobra.Command {
	var level, format, file string
	run := func(*cobra.Command, []string) error {
		o := app.Options{Operator: file, Log: log, Getenv: os.Getenv, Console: format == "console"}
		var err error
		if o.Level, err = zerolog.ParseLevel(level); err != nil || level == "" {
			return fault{fmt.Errorf("--log-level: unknown %q, expected debug, info, warn or error", level)}
		}
		if format != "json" && format != "console" {
			return fault{fmt.Errorf("--log-format: unknown %q, expected json or console", format)}
		}
		return app.Run(o)
	}
	none := func(c *cobra.Command, args []string) error {
		if len(args) > 0 {
			return fault{fmt.Errorf("%s: unexpected %q; see yardwharf help", c.CommandPath(), args[0])}
		}
		return nil
	}
	root := &cobra.Command{
		Use:   "yardwharf",
		Short: "A dispatcher for notification jobs",
		Long: `yardwharf takes messages from clients, relays each to a south side host and
answers it once. Without a command it runs, as the platform starts it.`,
		Example: `  PROXY_CONFIG=example/config.json yardwharf
  PROXY_CONFIG=example/config.json yardwharf run --operator deploy/operator.star
  yardwharf check deploy/operator.star`,
		Args: none, RunE: run, SilenceErrors: true, SilenceUsage: true,
	}
	root.SetOut(out)
	root.SetErr(log)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fault{err} })
	root.PersistentFlags().StringVar(&level, "log-level", "info", "least level of log lines: debug, info, warn or error")
	root.PersistentFlags().StringVar(&format, "log-format", "json", "form of log lines: json or console")

	runs := &cobra.Command{
		Use: "run", Short: "Run the dispatcher", Args: none, RunE: run,
		Long: `Run the dispatcher that the configuration at $PROXY_CONFIG describes, with what
the operator's file adds. SIGHUP reads both again, SIGTERM ends it in order.`,
		Example: `  PROXY_CONFIG=example/config.json yardwharf run --operator deploy/operator.star --log-format console`,
	}
	runs.Flags().StringVar(&file, "operator", "", "the operator's file (Starlark)")
	var against string
	check := &cobra.Command{
		Use: "check FILE", Short: "Check an operator's file, or a configuration, without running anything",
		Long: `Run the operator's file and say what it asks for. A fault is told as
FILE:LINE:COL: key: what is wrong, expected what; the status is then 2. A file that ends in
.json is a configuration, as PROXY_CONFIG names one. With --against it is held against the
one that counts at a running dispatcher: which keys differ that SIGHUP makes count at once,
and which need a new process.`,
		Example: "  yardwharf check deploy/operator.star\n  yardwharf check config.json --against 10.0.0.4:8081",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) != 1 {
				return fault{fmt.Errorf("check: %d files are named, expected one", len(args))}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			if strings.HasSuffix(args[0], ".json") {
				return checkConfig(out, args[0], against)
			}
			if against != "" {
				return fault{errors.New("--against: is for a configuration (.json)")}
			}
			said, err := app.Check(args[0])
			var own *script.Error
			switch {
			case errors.As(err, &own): // the line begins with the file, as compilers have it
				fmt.Fprintln(log, own)
				return fault{told{}}
			case err != nil:
				return fault{err}
			}
			fmt.Fprintln(out, said)
			return nil
		},
	}
	check.Flags().StringVar(&against, "against", "", "ip:port of the operators' door of a running dispatcher")
	version := &cobra.Command{
		Use: "version", Short: "Say which build this is", Args: none,
		Run: func(*cobra.Command, []string) { fmt.Fprintln(out, build()) },
	}
	root.AddCommand(runs, check, version, jobsCommand(out), zoneCommand(out),
		beside("steward", "Keep the dispatcher's processes on this machine, for installations without a platform"),
		beside("rollout", "Take a new build or new settings through the fleet in stages"))
	return root
}

// build names the build: the module's version, the Go release and, where the
// build recorded it, the commit.
func build() string {
	s := "yardwharf"
	info, ok := debug.ReadBuildInfo()
	if ok && info.Main.Version != "" {
		s += " " + info.Main.Version
	}
	s += " " + runtime.Version() + " " + runtime.GOOS + "/" + runtime.GOARCH
	if ok {
		for _, v := range info.Settings {
			if v.Key == "vcs.revision" {
				s += " " + v.Value
			}
		}
	}
	return s
}
