// Package commands is the command line of yardservice.
package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/integrii/flaggy"

	"yardwharf/internal/service/agent"
	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/control"
	"yardwharf/internal/service/dispatcher"
	"yardwharf/internal/service/logging"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/store"
)

// Exit codes of the program.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// agentLinger is the part of the grace time for which an agent outlives the
// signal to end, so that the dispatcher beside it keeps its link.
const agentLinger = 0.85

// role is a long-running part of the service.
type role struct {
	name, description string
	run               func(context.Context, *settings.Settings, logr.Logger) error
	linger            float64 // part of the grace time that it serves on after the signal
}

var roles = []role{
	{name: "dispatcher", description: "take messages and deliver them", run: dispatcher.Run},
	{name: "agent", description: "link a dispatcher to the control plane", run: agent.Run, linger: agentLinger},
	{name: "store", description: "keep copies of messages and grant leases", run: store.Run},
	{name: "control", description: "keep the configuration and the membership", run: control.Run},
}

// Main runs the program with its arguments and returns its exit code.
func Main(arguments []string, out, errors io.Writer) int {
	parser := flaggy.NewParser("yardservice")
	parser.Description = "yardwharf's ingest and dispatch service"
	parser.ShowVersionWithVersionFlag = false
	commands := map[string]*flaggy.Subcommand{}
	for _, r := range roles {
		commands[r.name] = flaggy.NewSubcommand(r.name)
		commands[r.name].Description = r.description
		parser.AttachSubcommand(commands[r.name], 1)
	}
	check := flaggy.NewSubcommand("check")
	check.Description = "check a settings file or, with --configuration, a configuration"
	var path string
	var isConfiguration bool
	check.AddPositionalValue(&path, "FILE", 1, true, "the file")
	check.Bool(&isConfiguration, "c", "configuration", "the file is an operator's configuration")
	parser.AttachSubcommand(check, 1)
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(errors, "yardservice:", err)
		return exitUsage
	}
	if check.Used {
		return runCheck(path, isConfiguration, out, errors)
	}
	for _, r := range roles {
		if commands[r.name].Used {
			return runRole(r, errors)
		}
	}
	parser.ShowHelp()
	return exitUsage
}

// runCheck checks a file and prints one line for each fault.
func runCheck(path string, isConfiguration bool, out, errors io.Writer) int {
	var err error
	if isConfiguration {
		var content []byte
		if content, err = os.ReadFile(path); err == nil {
			_, err = configuration.Parse(content)
		}
	} else {
		_, err = settings.Load(path)
	}
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	fmt.Fprintln(out, path+": valid")
	return exitSuccess
}

// runRole runs a role until a signal to end.
func runRole(r role, errors io.Writer) int {
	path, err := settings.Path()
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	loaded, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	log := logging.New(errors, loaded.Node+"/"+r.name)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go awaitSignals(cancel, log, time.Duration(r.linger*float64(settings.Seconds(loaded.Bounds.GraceS))))
	if err := r.run(ctx, loaded, log); err != nil {
		log.Error(err, "role ended")
		return exitFailure
	}
	return exitSuccess
}

// awaitSignals cancels the context some time after a signal to end.
func awaitSignals(cancel context.CancelFunc, log logr.Logger, linger time.Duration) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGPIPE)
	for received := range signals {
		if received == syscall.SIGTERM || received == syscall.SIGINT {
			log.Info("told to end", "signal", received.String())
			time.Sleep(linger)
			cancel()
			return
		}
	}
}
