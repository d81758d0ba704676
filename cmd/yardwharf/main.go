// Command yardwharf is a dispatcher: it takes messages from clients, relays them
// to south side hosts as the decision module says, and answers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"yardwharf"
	"yardwharf/internal/budget"
	"yardwharf/internal/config"
	"yardwharf/internal/dispatch"
	"yardwharf/internal/front"
	"yardwharf/internal/inventory"
	"yardwharf/internal/loop"
	"yardwharf/internal/southside"
)

const (
	bufferPart = 0.2 // of the machine's memory that the buffers of all connections may hold
	memoryPart = 0.6 // of the machine's memory that the heap may grow to
	reserve    = 24  // descriptors for all but clients and south side hosts
	clientPart = 0.5 // of the rest, for clients
	checkEvery = 10 * time.Millisecond

	// After SIGTERM the platform waits for the longest deadline, or leaveMost where
	// that is less, and leaveExtra before it kills.
	leaveMost   = 3 * time.Second
	leaveExtra  = 700 * time.Millisecond
	leaveMargin = 300 * time.Millisecond // kept of that for the last answers to get out
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "yardwharf:", err)
		os.Exit(1)
	}
}

func run() error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	signals := catch() // before anything that takes time: an early signal waits
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryPart * float64(c.Limits.MemoryMB) * (1 << 20)))
	log := zerolog.New(os.Stderr).With().Timestamp().Str("dispatcher", c.Name).Logger()
	l, err := loop.New()
	if err != nil {
		return err
	}
	defer l.Close()
	p, err := build(l, log, c)
	if err != nil {
		return err
	}
	log.Info().Stringer("listen", c.Listen).Int("known", len(c.Known.Endpoints)).Msg("started")
	go p.heed(signals)
	if err := l.Run(); err != nil {
		return err
	}
	log.Info().Msg("stopped")
	return nil
}

// catch takes the signals that the platform sends. Guards against SIGHUP, which
// ends a program that does not ask for it.
func catch() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// heed does on the loop what signals ask for.
func (p *program) heed(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			p.loop.Post(loop.Func(p.reload))
		} else {
			p.loop.Post(loop.Func(p.leave))
		}
	}
}

// program is the dispatcher's parts.
type program struct {
	config     *config.Config
	loop       *loop.Loop
	log        zerolog.Logger
	hosts      *inventory.Hosts
	watcher    *inventory.Watcher
	pool       *southside.Pool
	dispatcher *dispatch.Dispatcher
	front      *front.Front
	timer      loop.Timer
	leaving    bool
}

// build wires the parts together.
func build(l *loop.Loop, log zerolog.Logger, c *config.Config) (*program, error) {
	p := &program{config: c, loop: l, log: log}
	var err error
	if p.dispatcher, err = dispatch.New(l, c.Settings, c.Seed); err != nil {
		return nil, err
	}
	sockets := c.Limits.Sockets - reserve
	clients := int(clientPart * float64(sockets))
	buffers := budget.New(int(bufferPart * float64(c.Limits.MemoryMB) * (1 << 20)))
	p.hosts = inventory.NewHosts(c.Settings.Zones, c.Settings.Kinds)
	p.watcher = inventory.NewWatcher(l, log, c.Discovery, p.hosts, c.Known)
	p.watcher.Listen(p)
	p.pool = southside.NewPool(l, log, &c.Settings, sockets-clients, buffers, p.dispatcher)
	p.dispatcher.Connect(p.pool, p.watcher)
	if p.front, err = front.New(l, log, c.Listen, clients, buffers, &c.Settings, p.dispatcher); err != nil {
		return nil, err
	}
	known := c.Known
	known.Snapshot = true
	p.Told(yardwharf.ListCached, p.hosts.Apply(known))
	return p, nil
}

// Told implements inventory.Listener. The south side learns of hosts before the
// decisions do, which may send to them at once.
func (p *program) Told(kind yardwharf.ListKind, entries []inventory.Host) {
	if kind != yardwharf.ListFailed {
		p.pool.Update(entries)
		p.front.SetReady(!p.leaving && p.hosts.Serving() > 0)
	}
	members := make([]yardwharf.Member, len(entries))
	for i := range entries {
		members[i] = entries[i].Member
	}
	p.dispatcher.Members(kind, members)
}

// reload reads the configuration again, as SIGHUP asks. The watch moves to the
// discovery that it names; messages, connections and what the decisions have
// learned stay. One that cannot be used is logged and changes nothing.
func (p *program) reload() {
	if p.leaving {
		return
	}
	c, err := config.Load(os.Getenv)
	if err != nil {
		p.log.Error().Err(err).Msg("configuration refused")
		return
	}
	p.log.Info().Stringer("discovery", c.Discovery).Strs("at_restart", p.config.Fixed(c)).Msg("configuration read again")
	if p.config.Discovery != c.Discovery {
		p.config.Discovery = c.Discovery
		p.watcher.Move(c.Discovery)
	}
}

// leave ends the program as the platform asks: it serves on for half of the time
// that it is given, then takes nothing new and stops when all that was taken is
// answered. What it takes from now on is cut to end within that time. Guards the
// clients of dispatchers that leave one after the other: while the others are not
// back yet, the connections that they have are the only ones to be had.
func (p *program) leave() {
	if p.leaving {
		return
	}
	p.log.Info().Int("open", p.dispatcher.Open()).Msg("stopping")
	p.leaving = true
	p.front.SetReady(false)
	p.timer.Task = loop.Func(func() {
		p.front.Close()
		p.wait()
	})
	now, longest := p.loop.Now(), time.Duration(0)
	for _, c := range p.config.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	given := min(longest, leaveMost) + leaveExtra
	p.dispatcher.EndBy(now + given - leaveMargin)
	p.loop.Set(&p.timer, now+given/2)
}

func (p *program) wait() {
	if p.front.Clients() == 0 && p.dispatcher.Open() == 0 {
		p.watcher.Close()
		p.loop.Stop()
		return
	}
	p.timer.Task = loop.Func(p.wait)
	p.loop.Set(&p.timer, p.loop.Now()+checkEvery)
}
