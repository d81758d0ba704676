package store

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/membership"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/status"
	"yardwharf/internal/service/transport"
)

// Role is the name of this role, DispatcherRole that of the callers that hold leases.
const (
	Role           = "store"
	DispatcherRole = "dispatcher"
)

const (
	messagesDir         = "messages"
	segmentDiskShare    = 0.8 // of diskMb, for segments
	maxSegmentBytes     = 8 << 20
	minSegmentBytes     = 1 << 20
	targetSegments      = 16
	defaultDiskMb       = 1024
	indexMemoryShare    = 0.4 // of memoryMb, for the index, by estimate
	defaultMemoryMb     = 256
	tickInterval        = time.Second
	ticksPerFullCleanup = 10
	storeIDBytes        = 8
	closeTimeout        = time.Second
	formatRetryInterval = 200 * time.Millisecond // between checks of an empty disk that is full
)

// Run serves the role until the context ends or the disk fails.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	identity := s.Identity(Role, protocol.StorePort)
	log = log.WithName(Role)
	opened, err := openStore(storeOptions(s, identity, log))
	if err != nil {
		return err
	}
	if err := opened.awaitFormat(ctx); err != nil {
		return err
	}
	listener, err := s.Net().Listen(s.Internal(protocol.StorePort))
	if err != nil {
		_ = opened.close()
		return Class.Wrap(err)
	}
	log.Info("store ready", "id", opened.log.StoreID(), "formatted", opened.log.Formatted(), "messages", opened.messages())
	reconciler := newReconciler(opened, s.Net(), identity, log)
	defer reconciler.close()
	server := newServer(opened, reconciler, identity, log)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	heartbeats := membership.StartHeartbeats(ctx, s, identity, heartbeatDetails(s, opened), log)
	go s.Watch(ctx, settings.CheckInterval, func(changed *settings.Settings) {
		opened.reload(changed)
		heartbeats.SetMembers(changed.ControlMembers())
	}, log)
	err = opened.watch(ctx, served)
	if ctx.Err() != nil {
		defer func() { <-heartbeats.Done() }()
	}
	return opened.shutDown(listener, server, err)
}

// awaitFormat waits until an empty disk has been formatted. If the disk is full this may
// take long; the store has nothing to serve until then.
func (s *store) awaitFormat(ctx context.Context) error {
	if !s.log.Formatted() {
		return nil
	}
	for {
		commit := s.log.Barrier()
		select {
		case <-commit.Done():
		case <-ctx.Done():
			return s.close()
		}
		if err := commit.Wait(); !errors.Is(err, segment.ErrFull) {
			return err
		}
		select {
		case <-time.After(formatRetryInterval):
		case <-ctx.Done():
			return s.close()
		}
	}
}

// heartbeatDetails returns what the store announces in its heartbeats.
func heartbeatDetails(s *settings.Settings, opened *store) membership.Details {
	return membership.Details{Class: s.MachineClass, StoreID: opened.log.StoreID()}
}

// watch calls tick periodically until the context ends or the server or the log fails.
func (s *store) watch(ctx context.Context, served <-chan error) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for count := 1; ; count++ {
		select {
		case <-ctx.Done():
			return nil
		case err := <-served:
			return err
		case <-s.log.Stopped():
			return s.log.Failed()
		case <-ticker.C:
			s.tick(count%ticksPerFullCleanup == 0)
		}
	}
}

// shutDown commits pending writes and closes the store. It refuses new connections first
// and leaves time for the replies to committed writes.
func (s *store) shutDown(listener net.Listener, server *transport.Server, cause error) error {
	_ = listener.Close()
	closed := make(chan error, 1)
	go func() { closed <- s.close() }()
	select {
	case err := <-closed:
		if cause == nil {
			cause = err
		}
	case <-time.After(closeTimeout):
	}
	time.Sleep(replyDrainTime)
	server.Close()
	return cause
}

// replyDrainTime lets replies be sent before the connections are closed.
const replyDrainTime = 50 * time.Millisecond

func storeOptions(s *settings.Settings, identity protocol.Identity, log logr.Logger) options {
	size, count := ringLayout(s.Limits.DiskMb)
	return options{
		files:         s.Files(filepath.Join(s.DataDir, messagesDir)),
		clocks:        clockSource{steady: s.MonotonicClock, wall: s.WallClock},
		storeID:       newStoreID(),
		segmentSize:   size,
		maxSegments:   count,
		maxIndexBytes: indexMemory(s.Limits.MemoryMb),
		statusTime:    settings.Seconds(s.Bounds.StatusS),
		bootstrap:     s.Bootstrap,
		role:          DispatcherRole,
		version:       identity.Incarnation,
		log:           log,
	}
}

// reload applies the limits that may change while the store runs. The segment ring only
// grows: shrinking it could lose messages that are still needed.
func (s *store) reload(changed *settings.Settings) {
	s.log.Grow(ringBytes(changed.Limits.DiskMb))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.options.maxIndexBytes = indexMemory(changed.Limits.MemoryMb)
	s.options.statusTime = settings.Seconds(changed.Bounds.StatusS)
}

// indexMemory returns how many bytes the index may take.
func indexMemory(memoryMb int) int {
	if memoryMb <= 0 {
		memoryMb = defaultMemoryMb
	}
	return int(indexMemoryShare * float64(memoryMb) * (1 << 20))
}

// ringLayout returns the size and the maximum number of the segments.
func ringLayout(diskMb int) (size, count int) {
	room := ringBytes(diskMb)
	size = min(max(room/targetSegments, minSegmentBytes), maxSegmentBytes)
	return size, room / size
}

// ringBytes returns how many bytes the segments may fill.
func ringBytes(diskMb int) int {
	if diskMb <= 0 {
		diskMb = defaultDiskMb
	}
	return int(segmentDiskShare * float64(diskMb) * (1 << 20))
}

func newStoreID() string {
	id := make([]byte, storeIDBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// newServer returns the server with the request handlers of the role.
func newServer(s *store, reconciler *reconciler, identity protocol.Identity, log logr.Logger) *transport.Server {
	server := transport.NewServer(identity, log)
	server.OnConnect(func(peer *transport.Peer) {
		s.addPeer(peer)
		s.connected(peer.Identity)
	})
	server.OnClose(func(peer *transport.Peer) {
		s.disconnected(peer.Identity)
		s.removePeer(peer)
	})
	transport.Handle(server, func(_ context.Context, peer *transport.Peer, request protocol.Append) (protocol.AppendReply, error) {
		status, commit, err := s.append(peer.Identity, &request.Message)
		return protocol.AppendReply{Status: status, StoreID: s.log.StoreID()}, awaitCommit(commit, err)
	})
	transport.Handle(server, func(_ context.Context, peer *transport.Peer, request protocol.EndBatch) (protocol.EndBatchReply, error) {
		refused, commit, err := s.endBatch(peer.Identity, &request)
		return protocol.EndBatchReply{StoreID: s.log.StoreID(), Refused: refused}, awaitCommit(commit, err)
	})
	transport.Handle(server, func(_ context.Context, peer *transport.Peer, request protocol.Acquire) (protocol.AcquireReply, error) {
		reply, commit, err := s.acquire(peer.Identity, request)
		return reply, awaitCommit(commit, err)
	})
	transport.Handle(server, func(_ context.Context, peer *transport.Peer, request protocol.ReadHeads) (protocol.ReadHeadsReply, error) {
		reply, err := s.readHeads(peer.Identity, request)
		return reply, awaitCommit(s.log.Barrier(), err)
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.FindEnds) (protocol.FindEndsReply, error) {
		reply, err := s.findEnds(request)
		return reply, awaitCommit(s.log.Barrier(), err)
	})
	transport.Handle(server, func(_ context.Context, peer *transport.Peer, request protocol.Renew) (protocol.RenewReply, error) {
		reply, commit, err := s.renew(peer.Identity, request)
		return reply, awaitCommit(commit, err)
	})
	transport.Handle(server, func(_ context.Context, peer *transport.Peer, request protocol.Release) (protocol.ReleaseReply, error) {
		s.release(peer.Identity, request)
		return protocol.ReleaseReply{}, nil
	})
	transport.Handle(server, func(_ context.Context, peer *transport.Peer, request protocol.KeepAttempts) (protocol.KeepAttemptsReply, error) {
		return s.keepAttempts(peer.Identity, request)
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.ReadAttempts) (protocol.ReadAttemptsReply, error) {
		return s.readAttempts(request), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.ListEntries) (protocol.ListEntriesReply, error) {
		return s.listEntries(request), awaitCommit(s.log.Barrier(), nil)
	})
	transport.Handle(server, func(ctx context.Context, _ *transport.Peer, request protocol.Reconcile) (protocol.ReconcileReply, error) {
		return reconciler.handle(ctx, request)
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, _ protocol.Retire) (protocol.RetireReply, error) {
		return s.retire(), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.Query) (protocol.QueryReply, error) {
		return s.query(request)
	})
	started := time.Now()
	status.Serve(server, started, func(report *status.Report) { s.fillStatus(report, identity) })
	status.ServeMessages(server, s.messageReporter(identity.Node))
	return server
}

// awaitCommit waits for a commit before the reply is sent.
func awaitCommit(commit *segment.Commit, err error) error {
	if err != nil || commit == nil {
		return err
	}
	return commit.Wait()
}
