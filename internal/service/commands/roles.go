package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/agent"
	"yardwharf/internal/service/control"
	"yardwharf/internal/service/dispatcher"
	"yardwharf/internal/service/logging"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/store"
)

// agentLingerShare is the share of the grace period for which an agent keeps running
// after a termination signal, so that the dispatcher on its machine stays connected.
const agentLingerShare = 0.85

// heapShare is the share of a process's memory available to the heap. Stacks, socket buffers and data received
// but not yet read need the rest.
const heapShare = 0.7

// signalBuffer is the number of signals buffered while a role starts.
const signalBuffer = 4

// role is a long-running part of the service.
type role struct {
	name, description string
	requiredKeys      []string // settings keys that the role requires and others may omit
	run               func(context.Context, *settings.Settings, logr.Logger) error
	lingerShare       float64 // share of the grace period for which it serves on after a termination signal
}

var roles = []role{
	{
		name: "dispatcher", description: "take messages and deliver them", run: dispatcher.Run,
		requiredKeys: []string{settings.KeyFront, settings.KeyReadiness},
	},
	{name: "agent", description: "link a dispatcher to the control plane", run: agent.Run, lingerShare: agentLingerShare},
	{
		name: "store", description: "keep copies of messages and grant leases", run: store.Run,
		requiredKeys: []string{settings.KeyDataDir},
	},
	{
		name: "control", description: "keep the configuration and the membership", run: control.Run,
		requiredKeys: []string{settings.KeyDataDir, settings.KeyControl},
	},
}

// runRole runs a role until it receives a termination signal.
func runRole(r role, verbose bool, errors io.Writer) int {
	signals := make(chan os.Signal, signalBuffer) // first, because an unhandled SIGHUP ends the process
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGPIPE)
	path, err := settings.Path()
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	loaded, err := settings.Load(path)
	if err == nil {
		err = loaded.Require(path, r.requiredKeys...)
	}
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	limitHeap(loaded.Limits.MemoryMb)
	log := logging.New(errors, loaded.Node+"/"+r.name, verbose)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go awaitSignals(signals, cancel, log, time.Duration(r.lingerShare*float64(settings.Seconds(loaded.Bounds.GraceS))))
	if err := r.run(ctx, loaded, log); err != nil {
		log.Error(err, "role failed")
		return exitFailure
	}
	return exitSuccess
}

// limitHeap sets a soft memory limit, so that garbage is collected more often as the heap nears the memory that
// the process may use; a process that exceeds it is killed. Without a limit in the settings it does nothing.
func limitHeap(memoryMb int) {
	if memoryMb > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memoryMb) * (1 << 20)))
	}
}

// awaitSignals cancels the context the linger time after a termination signal.
func awaitSignals(signals <-chan os.Signal, cancel context.CancelFunc, log logr.Logger, linger time.Duration) {
	for received := range signals {
		if received == syscall.SIGTERM || received == syscall.SIGINT {
			log.Info("shutting down", "signal", received.String())
			time.Sleep(linger)
			cancel()
			return
		}
	}
}
