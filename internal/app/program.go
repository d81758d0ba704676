package app

import (
	"github.com/rs/zerolog"

	"yardwharf/internal/budget"
	"yardwharf/internal/config"
	"yardwharf/internal/dispatch"
	"yardwharf/internal/front"
	"yardwharf/internal/inventory"
	"yardwharf/internal/loop"
	"yardwharf/internal/membership"
	"yardwharf/internal/operator"
	"yardwharf/internal/southside"
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
	pool       *southside.Pool
	dispatcher *dispatch.Dispatcher
	front      *front.Front
	timer      loop.Timer
	leaving    bool
}

// build wires the parts together.
func build(l *loop.Loop, log zerolog.Logger, s sources, o Options) (*program, error) {
	c := s.config
	p := &program{options: o, config: c, operator: s.operator, loop: l, log: log}
	var err error
	if p.dispatcher, err = dispatch.New(l, c.Settings, c.Seed); err != nil {
		return nil, err
	}
	sockets := c.Limits.Sockets - reserve
	clients := int(clientPart * float64(sockets))
	buffers := budget.New(int(bufferPart * float64(c.Limits.MemoryMB) * (1 << 20)))
	p.fleet = membership.New(membership.Config{Zones: c.Settings.Zones, Kinds: c.Settings.Kinds})
	p.watcher = inventory.NewWatcher(l, log, c.Discovery, c.Known)
	p.watcher.Listen(p)
	p.pool = southside.NewPool(l, log, &c.Settings, sockets-clients, buffers, p.dispatcher)
	p.dispatcher.Connect(p.pool, p.watcher)
	if p.front, err = front.New(l, log, c.Listen, clients, buffers, &c.Settings, p.dispatcher); err != nil {
		return nil, err
	}
	p.known(c.Known)
	return p, nil
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
	p.log.Info().Stringer("discovery", c.Discovery).Strs("at_restart", p.config.Fixed(c)).Msg("configuration read again")
	p.operator = s.operator
	if p.config.Discovery != c.Discovery {
		p.config.Discovery = c.Discovery
		p.watcher.Move(c.Discovery)
	}
}
