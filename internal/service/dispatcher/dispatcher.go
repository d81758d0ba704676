// Package dispatcher is the data plane of the service. It takes messages from
// clients, has them kept by the stores, delivers those of the queues that it
// owns through the decision module, and answers what became of them.
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

// Dispatcher is the running role. The mutex guards all fields below it.
type Dispatcher struct {
	settings      *settings.Settings
	identity      protocol.Identity
	log           logr.Logger
	started       time.Time
	client        *delivery.Client
	configuration atomic.Pointer[configuration.Configuration]
	configured    chan struct{} // closed when the first configuration is there
	draining      atomic.Bool   // told to end: new work goes elsewhere
	counters      counters

	ownershipWake chan struct{}
	repairWake    chan struct{}
	pumpWake      chan struct{}
	work          sync.WaitGroup

	mutex       sync.Mutex
	localQueue  string // of this process's own messages
	localQueues int    // how many of those were lost
	closing     bool
	enoughAt    time.Duration // when enough stores were last seen up
	ended       bool          // the role has left; timers that are still set do nothing
	haveList    bool
	members     []string
	stores      map[string]*storeLink
	storesKnown uint64 // sequence of the register's last change of the stores
	queues      map[string]*ownedQueue
	pace        acquirePace
	acquiring   map[string]bool   // queues that the stores are being asked for
	epochs      map[string]uint64 // highest epoch heard of for queues asked for
	leases      *lease.Holder
	table       sessionTable
	fleet       fleet         // of the table
	tableFolded time.Duration // when the table was folded last
	tableStale  bool          // it is folded again soon
	services    map[string]*serviceState
	senders     map[string][]view.Sender // by service
	deliveries  map[string]*deliveryState
	peers       map[string]*transport.Client
	receivers   map[string]*receiver // of call-backs, by address
	repairs     []repairItem
	bodyBytes   int
	memoryMb    int           // limit of this process
	nextWake    time.Duration // when the timer fires; 0: at its usual pace
	leaseWatch  leaseWatch
	endsWatched time.Duration // when unsafe ends were looked at last
	lateEnds    lateEnds
	untold      map[string][]protocol.Outcome // by queue: of attempts that new owners are being told of
	awaited     int64                         // latest configuration that a message was accepted under and that has not come yet
}

// Run runs the role until the context ends, then hands over what it holds.
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
		Configuration: d.takeConfiguration,
		Senders:       d.takeSenders,
	})
	go s.Watch(background, settings.LookEvery, d.reload, log)
	go d.runOwnership(background)
	go d.runRepairs(background)
	go d.runPump(background)
	go d.watchStandstill(background)
	frontServer := d.serveFront(ctx, front)
	<-ctx.Done()
	d.leave(frontServer)
	server.Close()
	_ = readinessServer.Close()
	d.end()
	return nil
}

// end stops what would go on without the role: links to stores, connections to
// senders and timers.
func (d *Dispatcher) end() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ended = true
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
	return &Dispatcher{
		settings: s, identity: identity, log: log, started: now,
		localQueue:    localQueueName(identity, 0),
		client:        delivery.NewClientOn(s.Net()),
		configured:    make(chan struct{}),
		ownershipWake: make(chan struct{}, 1),
		repairWake:    make(chan struct{}, 1),
		pumpWake:      make(chan struct{}, 1),
		stores:        map[string]*storeLink{},
		queues:        map[string]*ownedQueue{},
		acquiring:     map[string]bool{},
		epochs:        map[string]uint64{},
		leases:        lease.NewHolder(),
		services:      map[string]*serviceState{},
		senders:       map[string][]view.Sender{},
		deliveries:    map[string]*deliveryState{},
		receivers:     map[string]*receiver{},
		untold:        map[string][]protocol.Outcome{},
		peers:         map[string]*transport.Client{},
		memoryMb:      s.Limits.MemoryMb,
	}
}

// reload takes over the limits that may change while the role runs. Seeds are
// the agent's concern.
func (d *Dispatcher) reload(changed *settings.Settings) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.memoryMb = changed.Limits.MemoryMb
}

// now returns the steady clock of this process.
func (d *Dispatcher) now() time.Duration { return time.Since(d.started) }

// takesQueues reports whether this dispatcher takes shared queues. The mutex is
// held.
func (d *Dispatcher) takesQueues() bool {
	return d.configuration.Load() != nil && d.haveList && !d.closing && !d.draining.Load()
}

// ready reports whether clients should come here.
func (d *Dispatcher) ready() bool {
	if d.draining.Load() || d.configuration.Load() == nil {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	enough := len(d.copyCandidates()) >= d.copiesWanted()
	if enough {
		d.enoughAt = d.now()
	}
	return d.haveList && d.queues[d.localQueue] != nil && enough
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
		return d.acceptHere(ctx, request.Message), nil
	})
	transport.Handle(server, func(ctx context.Context, _ *transport.Peer, request protocol.Offer) (protocol.OfferReply, error) {
		d.offered(ctx, request.Queues)
		return protocol.OfferReply{}, nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.AskOwner) (protocol.AskOwnerReply, error) {
		return d.answerOwner(request), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.AttemptsOver) (protocol.AttemptsOverReply, error) {
		return d.takeAttemptsOver(request), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.TakeRate) (protocol.TakeRateReply, error) {
		return d.grantPermits(request), nil
	})
	status.Serve(server, d.started, d.fillStatus)
	status.ServeMessages(server, d.messageReport)
	return server
}

// takeConfiguration puts a newer configuration in force.
func (d *Dispatcher) takeConfiguration(update view.Configuration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if update.StoresChanged >= d.storesKnown {
		d.takeStores(update.Stores)
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
	d.log.Info("configuration in force", "revision", parsed.Revision(), "waiting", len(d.deliveries), "decidedOtherwise", d.decidedOtherwise(parsed))
	d.reconfigure(parsed)
	d.considerQueues()
	d.pumpAll()
}

// takeStores connects to stores that are new and forgets those that were
// removed. The mutex is held.
func (d *Dispatcher) takeStores(nodes []view.Node) {
	if len(nodes) == 0 {
		return
	}
	listed := map[string]bool{}
	for _, node := range nodes {
		listed[node.Name] = true
		known := d.stores[node.Name]
		if known != nil && known.client.Address() != node.Address {
			d.forgetStore(known)
			known = nil
		}
		if known == nil {
			known = d.addStore(node)
		}
		known.since = node.Since
		d.noteListed(known, node.StoreID, node.FullStoreID)
		signal(known.kick)
		d.noteLeaving(known, node.Leaving)
	}
	for name, link := range d.stores {
		if !listed[name] {
			d.forgetStore(link)
		}
	}
	d.watchLeases()
}

func (d *Dispatcher) addStore(node view.Node) *storeLink {
	ctx, cancel := context.WithCancel(context.Background())
	link := &storeLink{
		node: node.Name, zone: node.Zone,
		client: transport.NewClientOn(d.settings.Net(), d.identity, node.Address),
		kick:   make(chan struct{}, 1), flush: make(chan struct{}, 1),
		ends: map[string]protocol.End{}, failures: map[string]int{}, formerDisks: map[string]bool{},
		holders: map[string]protocol.QueueState{}, stop: cancel,
	}
	d.stores[node.Name] = link
	d.log.Info("store listed", "store", node.Name, "disk", node.StoreID)
	link.client.OnClose(func() { d.connectionLost(link) })
	go d.runStore(ctx, link)
	return link
}

func (d *Dispatcher) forgetStore(link *storeLink) {
	link.stop()
	link.up = false
	delete(d.stores, link.node)
	d.leases.Lost(link.node)
	d.copiesLost(link)
	d.log.Info("store removed", "store", link.node)
}

// takeSenders takes in a newer list of senders.
func (d *Dispatcher) takeSenders(update view.Senders) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	byService := map[string][]view.Sender{}
	for _, sender := range update.List {
		byService[sender.Service] = append(byService[sender.Service], sender)
	}
	d.senders = byService
	d.haveList = true
	for _, service := range d.services {
		d.updateSenders(service)
	}
	d.considerQueues()
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
