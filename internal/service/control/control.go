// Package control implements the control role, which runs on the core machines: a
// member of the configuration register, the operator's API, and the server from
// which agents pull the state of the control plane.
package control

import (
	"context"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"yardwharf/internal/service/coordination"
	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/status"
	"yardwharf/internal/service/transport"
)

// Class is the class of this package's errors.
var Class = errs.Class("control")

const (
	roleName      = "control"
	folderName    = "control"
	shutdownGrace = 2 * time.Second
)

// Run serves until the context ends. Requests in progress are finished first.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	if s.DataDir == "" {
		return Class.New("dataDir: is required by the control role")
	}
	if s.Listen.Control == "" {
		return Class.New("listen.control: is empty")
	}
	folder := filepath.Join(s.DataDir, folderName)
	identity := s.Identity(roleName, protocol.ControlPort)
	peers := newPeers(s, identity)
	defer peers.Close()
	var opened *replica
	var storage *slotStorage
	err := retryWhileDiskFull(ctx, log, func() error {
		var state register.State
		var found bool
		var err error
		if storage, state, found, err = openStorage(s.Files(folder), folder); err != nil {
			return err
		}
		opened, err = newReplica(identity, s.ControlMembers(), s.Bootstrap, newLoggingStorage(storage, log), state, found, peers, log)
		if err == nil {
			opened.history, err = openHistory(s.Files(folder), log)
		}
		if err != nil {
			storage.Close()
		}
		return err
	})
	if err != nil || ctx.Err() != nil {
		return Class.Wrap(err)
	}
	defer storage.Close()
	return Class.Wrap(serve(ctx, s, opened, log))
}

// serve runs the internal server, the operator's API and the background loops.
func serve(ctx context.Context, s *settings.Settings, replica *replica, log logr.Logger) error {
	internal, err := s.Net().Listen(s.Internal(protocol.ControlPort))
	if err != nil {
		return err
	}
	defer internal.Close()
	operator, err := s.Net().Listen(s.Listen.Control)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := transport.NewServer(replica.identity, log)
	defer server.Close()
	replica.registerHandlers(server)
	replica.registerJoin(server)
	replica.registerHistory(server)
	hub := distribution.NewHub(log)
	replica.publishTo(hub)
	coordination := coordination.Attach(running, s, replica.identity, server, hub, replica.memberAddresses, log)
	started := time.Now()
	status.Serve(server, started, func(report *status.Report) { fillStatus(report, replica, hub, coordination) })
	retirement := &retirement{replica: replica, stores: coordination.Stores, tolerated: s.FaultTolerance.Machines}
	maintenance := newMaintenance(replica, retirement, coordination.Stores, coordination.MonitorsReportingAlive, s.FaultTolerance.Machines)
	api := newAPIServer(replica, retirement, log)

	var group sync.WaitGroup
	failures := make(chan error, 2)
	group.Go(func() { failures <- server.Serve(internal) })
	group.Go(func() { failures <- api.Serve(operator) })
	group.Go(func() { maintenance.run(running) })
	group.Go(func() { replica.maintainHistory(running) })
	group.Go(func() { replica.watchTopic(running, hub) })
	go s.Watch(running, settings.CheckInterval, func(changed *settings.Settings) { replica.setSeeds(changed.ControlMembers()) }, log)
	log.Info("serving", "operator", s.Listen.Control, "internal", replica.identity.Address)
	select {
	case <-ctx.Done():
		err = nil
	case err = <-failures:
	}
	shutDownAPI(api)
	replica.leave()
	stop()
	server.Close()
	group.Wait()
	return err
}

// shutDownAPI shuts the operator's API down, after requests in progress are
// answered or shutdownGrace has passed.
func shutDownAPI(api *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	_ = api.Shutdown(ctx)
	_ = api.Close()
}
