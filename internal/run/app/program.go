package app

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"yardwharf/internal/carry/budget"
	"yardwharf/internal/carry/dispatch"
	"yardwharf/internal/carry/inventory"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/peers"
	"yardwharf/internal/carry/southside"
	"yardwharf/internal/decide/membership"
	"yardwharf/internal/decide/route"
	"yardwharf/internal/doors/admin"
	"yardwharf/internal/doors/front"
	"yardwharf/internal/doors/jobs"
	"yardwharf/internal/run/config"
	"yardwharf/internal/run/operator"
)

const (
	bufferPart = 0.2 // of the machine's memory that the buffers of all connections may hold
	reserve    = 24  // descriptors for all but clients and south side hosts
	clientPart = 0.5 // of the rest, for clients
)

// program is the dispatcher's parts.
type program struct {
	options    Options
	config     *config.Config
	operator   *operator.File
	loop       *loop.Loop
	log        zerolog.Logger
	fleet      *membership.Fleet
	watcher    *inventory.Watcher
	xds        *xdsSource // nil: the platform's discovery is watched
	routes     *route.Table
	rng        *rand.Rand
	missing    []string     // clusters that routes name and that are not there, as logged
	due        loop.Timer   // for what the fleet has to do at a time
	first      loop.Timer   // for the agent's first answer
	peers      *peers.Link  // nil: dispatchers tell each other nothing
	zones      *fleetZones  // nil: each dispatcher finds out alone that a zone is lost
	jobs       *jobs.Runner // nil: there is no front for jobs that wait
	jobsAPI    *jobs.API
	pool       *southside.Pool
	dispatcher *dispatch.Dispatcher
	front      *front.Front
	timer      loop.Timer
	leaving    bool
	leaveBy    time.Duration // the program has ended by then
	succeeded  bool          // another process takes clients while this one leaves
	told       bool          // discovery's list has come
	unheard    bool          // the agent that has the list has not answered yet: clients wait
	buffers    *budget.Budget
	operations operations
	door       *admin.Door // nil: operators cannot call
}

// build wires the parts together.
func build(l *loop.Loop, log zerolog.Logger, s sources, o Options) (*program, error) {
	c := s.config
	p := &program{options: o, config: c, operator: s.operator, loop: l, log: log}
	debug.SetMemoryLimit(p.heapBytes())
	var err error
	if p.dispatcher, err = dispatch.New(l, c.Settings, c.Seed); err != nil {
		return nil, err
	}
	if p.sockets(1) < 2 {
		return nil, fmt.Errorf("config: key limits.sockets leaves none beside the %d that are kept", c.Limits.Sockets-p.sockets(1))
	}
	clients, hosts := p.descriptors(1)
	p.buffers = budget.New(p.bufferBytes())
	p.fleet = membership.New(membership.Config{Zones: c.Settings.Zones, Kinds: c.Settings.Kinds})
	p.watcher = inventory.NewWatcher(l, log, c.Discovery, c.Known, !c.Settings.AskDiscovery)
	p.watcher.Listen(p)
	p.pool = southside.NewPool(l, log, &c.Settings, hosts, p.buffers, p.dispatcher)
	p.dispatcher.Connect(p.pool, p)
	if c.Peers.Listen.IsValid() {
		if p.peers, err = peers.Open(l, log, c.Peers, p.hear); err != nil {
			return nil, fmt.Errorf("config: key peer_listen: %w", err)
		}
		p.dispatcher.SetTeller(p)
	}
	p.due.Task = loop.Func(p.tick)
	p.routes, p.rng = route.New(s.classes()), rand.New(rand.NewPCG(c.Seed, routeSeed))
	if p.front, err = front.New(l, log, front.Source{Address: c.Listen, Inherited: c.FD}, clients, p.buffers, &c.Settings, p.dispatcher); err != nil {
		return nil, err
	}
	if s.operator.Zones != nil {
		if err := p.startZones(s.operator.Zones); err != nil {
			return nil, err
		}
	}
	if s.operator.Jobs != nil {
		if err := p.startJobs(s.operator.Jobs); err != nil {
			return nil, err
		}
	}
	if c.Admin.IsValid() || c.FD >= 0 {
		p.enter(o.Getenv("TMPDIR"))
	}
	if c.Admin.IsValid() {
		if p.door, err = admin.Open(l, log, c.Admin, calls{p}); err != nil {
			return nil, fmt.Errorf("config: key admin: %w", err)
		}
	}
	p.known(c.Known)
	p.setRoutes()
	if s.operator.Inventory != nil {
		p.watchXDS()
	} else if !c.Settings.AskDiscovery {
		p.hearAgent()
	}
	return p, nil
}

// Broadcast implements dispatch.Teller. A process that another has taken over from tells so,
// as the two have their own jobs in work.
func (p *program) Broadcast(message []byte) {
	kind := peers.Counts
	if p.succeeded {
		kind = peers.Leaving
	}
	p.peers.Tell(kind, message)
}

// hear takes what another dispatcher tells.
func (p *program) hear(from int, kind peers.Kind, message []byte) {
	if kind == peers.Zones {
		if p.zones != nil {
			p.zones.fleet.ApplyMessage(p.loop.Now(), message)
		}
		return
	}
	if kind == peers.Leaving {
		from += p.config.Settings.Balancers
	}
	p.dispatcher.Peer(from, message)
}

// sockets is how many descriptors there are for clients and hosts, where so many
// processes share what the dispatcher may use.
func (p *program) sockets(processes int) int {
	n := p.config.Limits.Sockets/processes - reserve
	if p.operator.Jobs != nil {
		n -= jobs.ConnsMost
	}
	if p.config.Admin.IsValid() {
		n -= admin.CallersMost + 1
	}
	return n
}

// descriptors is how many of them clients and hosts may have.
func (p *program) descriptors(processes int) (clients, hosts int) {
	n := max(2, p.sockets(processes))
	clients = int(clientPart * float64(n))
	return clients, n - clients
}

// bufferBytes is the bound of all buffers, heapBytes that of the heap.
func (p *program) bufferBytes() int {
	return int(bufferPart * float64(p.config.Limits.MemoryMB) * (1 << 20))
}

func (p *program) heapBytes() int64 {
	return int64(memoryPart * float64(p.config.Limits.MemoryMB) * (1 << 20))
}

// reload reads both files again, as SIGHUP asks, and takes them whole or not at
// all. The watch moves to the discovery that is now named; messages, connections
// and what the decisions have learned stay.
func (p *program) reload() {
	if p.leaving {
		return
	}
	s, err := read(p.options)
	if err != nil {
		p.log.Error().Err(err).Msg("configuration refused")
		return
	}
	c := s.config
	live, fixed := p.config.Changes(c)
	if most := c.Limits.Sockets - (p.config.Limits.Sockets - p.sockets(1)); most < 2 {
		p.log.Error().Int("sockets", c.Limits.Sockets).Msg("configuration refused: key limits.sockets leaves none beside those that are kept")
		return
	}
	if !reflect.DeepEqual(p.operator.Jobs, s.operator.Jobs) {
		fixed = append(fixed, "jobs")
	}
	if (p.operator.Zones == nil) != (s.operator.Zones == nil) {
		fixed = append(fixed, "zones")
	}
	p.log.Info().Stringer("discovery", c.Discovery).Strs("changed", live).Strs("at_restart", fixed).Msg("configuration read again")
	if p.peers != nil && c.Peers.Listen == p.config.Peers.Listen {
		p.peers.Set(c.Peers)
	}
	moved := p.config.Discovery != c.Discovery
	settings, err := p.dispatcher.Adjust(c.Settings)
	if err != nil { // it was checked when it was read
		p.log.Error().Err(err).Msg("configuration refused")
		return
	}
	p.config.Settings, p.config.Limits, p.config.Text = settings, c.Limits, c.Text
	p.front.Adjust(&p.config.Settings)
	p.pool.Adjust(&p.config.Settings)
	if p.jobs != nil {
		p.jobs.Adjust(&p.config.Settings)
	}
	p.shareOut()
	if p.zones != nil && s.operator.Zones != nil {
		p.zones.fleet.SetInitialShare(s.operator.Zones.Start)
	}
	p.config.Discovery = c.Discovery
	before := p.operator
	p.operator = s.operator
	p.setRoutes()
	switch {
	case !reflect.DeepEqual(before.Inventory, s.operator.Inventory):
		p.switchSource()
	case moved && p.xds == nil:
		p.dispatcher.Moved(movedWithin)
		p.watcher.Move(c.Discovery)
	}
}
