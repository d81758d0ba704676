// Package control is the role on the core machines: a member of the
// configuration register, the operator's API, and the source from which agents
// pull what the control plane knows.
package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/view"
)

// Class is the class of errors that this package makes.
var Class = errs.Class("control")

const (
	roleName      = "control"
	folderName    = "control"
	shutdownGrace = 2 * time.Second
)

// Run serves until the context ends. Orders in hand are finished first.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	if s.DataDir == "" {
		return Class.New("dataDir: the role needs a disk")
	}
	if s.Listen.Control == "" {
		return Class.New("listen.control: is empty")
	}
	storage, state, found, err := openStorage(filepath.Join(s.DataDir, folderName))
	if err != nil {
		return Class.Wrap(err)
	}
	defer storage.Close()
	identity := s.Identity(roleName, protocol.ControlPort, time.Now())
	replica, err := newReplica(identity, s.ControlMembers(), s.Bootstrap, storage, state, found, log)
	if err != nil {
		return Class.Wrap(err)
	}
	defer replica.peers.Close()
	hub := distribution.NewHub(log)
	replica.publishTo(hub)
	return Class.Wrap(serve(ctx, s, identity, replica, hub, log))
}

// serve runs the internal server, the operator's API and the upkeep.
func serve(ctx context.Context, s *settings.Settings, identity protocol.Identity,
	replica *replica, hub *distribution.Hub, log logr.Logger) error {
	server := transport.NewServer(identity, log)
	replica.register(server)
	replica.registerJoin(server)
	hub.Register(server)
	internal, err := net.Listen("tcp4", s.Internal(protocol.ControlPort))
	if err != nil {
		return err
	}
	defer server.Close()
	operator, err := net.Listen("tcp4", s.Listen.Control)
	if err != nil {
		return err
	}
	api := newAPIServer(replica, noRetirement{replica}, log)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	failures := make(chan error, 2)
	group.Go(func() { failures <- server.Serve(internal) })
	group.Go(func() { failures <- api.Serve(operator) })
	group.Go(func() { replica.keepUp(running) })
	log.Info("serving", "operator", s.Listen.Control, "internal", identity.Address)
	select {
	case <-ctx.Done():
		err = nil
	case err = <-failures:
	}
	closing, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	_ = api.Shutdown(closing)
	_ = api.Close()
	stop()
	server.Close()
	group.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// configurationEpoch is the epoch of all versions of the configuration's topic:
// the register's sequence alone orders them.
const configurationEpoch = 1

// publishTo publishes every newer decided value.
func (r *replica) publishTo(hub *distribution.Hub) {
	publish := func(value *register.Value) {
		version := distribution.Version{Epoch: configurationEpoch, Counter: value.Sequence}
		hub.Publish(view.TopicConfiguration, version, configurationView(value))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.onChange = publish
	if r.decided.Value != nil {
		publish(r.decided.Value)
	}
}

// configurationView is the payload that agents and other processes pull.
func configurationView(value *register.Value) view.Configuration {
	result := view.Configuration{Sequence: value.Sequence, Revision: value.Revision, Raw: value.Configuration}
	for _, store := range value.Stores {
		result.Stores = append(result.Stores, view.Node{Name: store.Node, Zone: store.Zone, Address: store.Address})
	}
	for _, member := range value.Members {
		result.Members = append(result.Members, view.Node{Name: member.Node, Zone: member.Zone, Address: member.Address})
	}
	return result
}
