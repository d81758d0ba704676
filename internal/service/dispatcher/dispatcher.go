// Package dispatcher is the data plane of the service. It accepts messages from
// clients, stores copies of them at the stores, delivers the messages of the queues
// that it owns through the decision module, and answers queries for their outcome.
package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"yardwharf/internal/service/agent"
	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/delivery"
	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/status"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/view"
)

// Role is the name of this role in identities.
const Role = "dispatcher"

// Class is the class of errors that this package makes.
var Class = errs.Class("dispatcher")

// Dispatcher runs the dispatcher role. The mutex guards all fields below it.
type Dispatcher struct {
	settings      *settings.Settings
	identity      protocol.Identity
	log           logr.Logger
	started       time.Time
	client        *delivery.Client
	configuration atomic.Pointer[configuration.Configuration]
	configured    chan struct{} // closed when the first configuration is in force
	draining      atomic.Bool   // shutdown has begun: new work goes to other dispatchers
	counters      counters

	attemptsContext context.Context // of all attempts
	cancelAttempts  context.CancelFunc

	ownershipWake chan struct{}
	repairWake    chan struct{}
	pumpWake      chan struct{}

	mutex               sync.Mutex
	localQueue          string // queue of this process's own messages
	lostLocalQueues     int    // local queues lost to other dispatchers so far
	closing             bool
	enoughStoresAt      time.Duration // when enough stores were last seen up
	ended               bool          // the role has ended; timers that are still set do nothing
	haveSenders         bool
	stores              map[string]*storeLink
	storesKnown         uint64 // register sequence of the latest known change of the stores
	queues              map[string]*ownedQueue
	acquireBackoff      acquireBackoff
	acquiring           map[string]bool   // queues with a lease request under way
	highestEpochs       map[string]uint64 // highest epoch seen, by queue
	leases              *lease.Holder
	table               sessionTable
	fleet               fleet         // dispatchers in the table
	tableMergedAt       time.Duration // when the tables of all stores were last merged
	tableMergePending   bool          // a timer is set for the next merge
	services            map[string]*serviceState
	senders             map[string][]view.Sender // by service
	deliveries          map[string]*deliveryState
	peers               map[string]*transport.Client
	receivers           map[string]*receiver // of callbacks, by address
	repairs             []repairItem
	bodyBytes           int
	memoryMb            int           // memory limit of this process
	nextWake            time.Duration // when the timer fires; 0: after its default interval
	leaseWatch          leaseWatch
	unansweredSince     time.Duration // since when too few stores have answered renewals; 0 if enough do
	unsafeEndsCheckedAt time.Duration // when ends that are not safe were last checked
	lateEnds            lateEnds
	unreportedOutcomes  map[string]*outcomeReport // by queue
	attemptsEnd         time.Duration             // when this process, which is leaving, stops reading answers; 0 if it is not leaving
	attemptsUnderWay    int                       // calls of senders that have not returned
	abandoning          bool                      // connections to senders are closed; answers that were not read whole prove nothing
	awaitedRevision     int64                     // latest revision that a message was accepted under and that is not in force here yet
}

// Run runs the role until the context ends, then hands over its queues.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	d := newDispatcher(s, log)
	front, err := s.Net().Listen(s.Listen.Front)
	if err != nil {
		return Class.Wrap(err)
	}
	readiness, err := s.Net().Listen(s.Listen.Readiness)
	if err != nil {
		return Class.Wrap(err)
	}
	internal, err := s.Net().Listen(s.Internal(protocol.DispatcherPort))
	if err != nil {
		return Class.Wrap(err)
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	server := d.internalServer()
	go func() { _ = server.Serve(internal) }()
	readinessServer := &http.Server{Handler: d.readinessHandler(), ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = readinessServer.Serve(readiness) }()
	go agent.Feed(background, s, d.identity, agent.Updates{
		Configuration: d.applyConfiguration,
		Senders:       d.applySenders,
	})
	go s.Watch(background, settings.CheckInterval, d.reload, log)
	go d.runOwnership(background)
	go d.runRepairs(background)
	go d.runPump(background)
	go d.watchStalls(background)
	frontServer := d.serveFront(ctx, front)
	<-ctx.Done()
	d.leave(frontServer)
	server.Close()
	_ = readinessServer.Close()
	d.stop()
	return nil
}

// stop stops what would otherwise outlive the role: links to stores, connections
// to peers and senders, and timers.
func (d *Dispatcher) stop() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ended = true
	d.abandoning = true
	d.cancelAttempts()
	for _, link := range d.stores {
		link.stop()
	}
	for _, peer := range d.peers {
		peer.Close()
	}
	d.client.Close()
}

func newDispatcher(s *settings.Settings, log logr.Logger) *Dispatcher {
	now := time.Now()
	identity := s.Identity(Role, protocol.DispatcherPort)
	attemptsContext, cancelAttempts := context.WithCancel(context.Background())
	return &Dispatcher{
		settings: s, identity: identity, log: log, started: now,
		localQueue:         localQueueName(identity, 0),
		client:             delivery.NewClientOn(s.Net()),
		configured:         make(chan struct{}),
		ownershipWake:      make(chan struct{}, 1),
		repairWake:         make(chan struct{}, 1),
		pumpWake:           make(chan struct{}, 1),
		stores:             map[string]*storeLink{},
		queues:             map[string]*ownedQueue{},
		acquiring:          map[string]bool{},
		highestEpochs:      map[string]uint64{},
		leases:             lease.NewHolder(),
		services:           map[string]*serviceState{},
		senders:            map[string][]view.Sender{},
		deliveries:         map[string]*deliveryState{},
		receivers:          map[string]*receiver{},
		unreportedOutcomes: map[string]*outcomeReport{},
		attemptsContext:    attemptsContext,
		cancelAttempts:     cancelAttempts,
		peers:              map[string]*transport.Client{},
		memoryMb:           s.Limits.MemoryMb,
	}
}

// reload applies the limits that may change while the role runs. The agent
// reloads the seeds.
func (d *Dispatcher) reload(changed *settings.Settings) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.memoryMb = changed.Limits.MemoryMb
}

// now returns the monotonic time since this process started.
func (d *Dispatcher) now() time.Duration { return time.Since(d.started) }

// takesSharedQueues reports whether this dispatcher acquires shared queues. The
// mutex is held.
func (d *Dispatcher) takesSharedQueues() bool {
	return d.configuration.Load() != nil && d.haveSenders && !d.closing && !d.draining.Load()
}

// ready reports whether clients should send requests to this dispatcher.
func (d *Dispatcher) ready() bool {
	if d.draining.Load() || d.configuration.Load() == nil {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	enough := len(d.copyCandidates()) >= d.requiredCopies()
	if enough {
		d.enoughStoresAt = d.now()
	}
	return d.haveSenders && d.queues[d.localQueue] != nil && enough
}

func (d *Dispatcher) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (d *Dispatcher) internalServer() *transport.Server {
	server := transport.NewServer(d.identity, d.log)
	transport.Handle(server, func(ctx context.Context, _ *transport.Peer, request protocol.Accept) (protocol.AcceptReply, error) {
		return d.acceptLocally(ctx, request.Message), nil
	})
	transport.Handle(server, func(ctx context.Context, _ *transport.Peer, request protocol.Offer) (protocol.OfferReply, error) {
		d.acquireOffered(ctx, request.Queues)
		return protocol.OfferReply{}, nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.CheckOwner) (protocol.CheckOwnerReply, error) {
		return d.handleAskOwner(request), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.ReportOutcomes) (protocol.ReportOutcomesReply, error) {
		return d.handleAttemptsOver(request), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.Relinquish) (protocol.RelinquishReply, error) {
		return d.handleRelinquish(request)
	})
	transport.Handle(server, func(ctx context.Context, peer *transport.Peer, request protocol.Relay) (protocol.RelayReply, error) {
		return d.handleRelay(ctx, peer.Identity, request), nil
	})
	transport.Handle(server, func(_ context.Context, peer *transport.Peer, request protocol.CancelRelay) (protocol.CancelRelayReply, error) {
		d.handleCancelRelay(peer.Identity, request)
		return protocol.CancelRelayReply{}, nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.AcquirePermits) (protocol.AcquirePermitsReply, error) {
		return d.grantPermits(request), nil
	})
	status.Serve(server, d.started, d.fillStatus)
	status.ServeMessages(server, d.messageReport)
	return server
}

// applyConfiguration applies a newer configuration and a newer list of stores.
func (d *Dispatcher) applyConfiguration(update view.Configuration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if update.StoresChanged >= d.storesKnown {
		d.updateStores(update.Stores)
		d.storesKnown = update.StoresChanged
	}
	current := d.configuration.Load()
	if len(update.Raw) == 0 || current != nil && update.Revision <= current.Revision() {
		return
	}
	parsed, err := configuration.Parse(update.Raw)
	if err != nil {
		d.log.Error(err, "configuration cannot be used", "revision", update.Revision)
		return
	}
	d.configuration.Store(parsed)
	if current == nil {
		close(d.configured)
	}
	d.log.Info("configuration in force", "revision", parsed.Revision(), "waiting", len(d.deliveries), "decidedOtherwise", d.countRerouted(parsed))
	d.reconfigure(parsed)
	d.wakeOwnership()
	d.pumpAll()
}

// updateStores connects to new stores and removes the links to those that are no
// longer listed. The mutex is held.
func (d *Dispatcher) updateStores(nodes []view.Node) {
	if len(nodes) == 0 {
		return
	}
	listed := map[string]bool{}
	for _, node := range nodes {
		listed[node.Name] = true
		known := d.stores[node.Name]
		if known != nil && known.client.Address() != node.Address {
			d.removeStore(known)
			known = nil
		}
		if known == nil {
			known = d.addStore(node)
		}
		known.listedSequence = node.Since
		d.noteListed(known, node.StoreID, node.FullStoreID)
		signal(known.renewNow)
		d.noteLeaving(known, node.Leaving)
	}
	for name, link := range d.stores {
		if !listed[name] {
			d.removeStore(link)
		}
	}
	d.checkLeases()
}

func (d *Dispatcher) addStore(node view.Node) *storeLink {
	ctx, cancel := context.WithCancel(context.Background())
	link := &storeLink{
		node: node.Name, zone: node.Zone,
		client:   transport.NewClientOn(d.settings.Net(), d.identity, node.Address),
		renewNow: make(chan struct{}, 1), sendEndsNow: make(chan struct{}, 1),
		pendingEnds: map[string]protocol.End{}, pendingFailures: map[string]int{}, lostDisks: map[string]bool{},
		holders: map[string]protocol.QueueState{}, stop: cancel,
	}
	d.stores[node.Name] = link
	d.log.Info("store listed", "store", node.Name, "disk", node.StoreID)
	link.client.OnClose(func() { d.connectionLost(link) })
	go d.runStore(ctx, link)
	return link
}

func (d *Dispatcher) removeStore(link *storeLink) {
	link.stop()
	link.up = false
	delete(d.stores, link.node)
	d.leases.Lost(link.node)
	d.handleLostCopiesOf(link)
	d.log.Info("store removed", "store", link.node)
}

// applySenders replaces the list of senders.
func (d *Dispatcher) applySenders(update view.Senders) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	byService := map[string][]view.Sender{}
	for _, sender := range update.List {
		byService[sender.Service] = append(byService[sender.Service], sender)
	}
	d.senders = byService
	d.haveSenders = true
	for _, service := range d.services {
		d.updateSenders(service)
	}
	d.wakeOwnership()
	d.pumpAll()
}

// peer returns the client for another dispatcher.
func (d *Dispatcher) peer(address string) *transport.Client {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	client := d.peers[address]
	if client == nil {
		client = transport.NewClientOn(d.settings.Net(), d.identity, address)
		d.peers[address] = client
	}
	return client
}
