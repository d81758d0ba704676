package app

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"time"

	"yardwharf"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/doors/admin"
	"yardwharf/internal/run/handover"
)

const (
	lookEvery = 50 * time.Millisecond  // at what the other process has written
	writeRest = time.Second            // after a write that failed and nobody waits for
	listWait  = 4 * time.Second        // a successor waits so long for its first list: it has 6 s
	lessonFor = 300 * time.Millisecond // and so long for what the other has learned
)

// operations is what operators have asked for, and what the other process of an
// upgrade does.
type operations struct {
	state  handover.State // what counts now
	store  *handover.Store
	phase  handover.Phase
	by     time.Duration // a successor that starts takes clients by then, listed or not
	began  time.Duration // when it started
	taught bool          // the process that starts now has been told what was learned
	peers  int           // other processes of this dispatcher
	ready  bool          // one of them takes clients
	timer  loop.Timer
	unread string // the fault in reading the store that was last told of
	broken string // the same in writing it
	listed int    // names that the fleet had when the state was last given its names
	rest   time.Duration
}

// enter begins to share what operators ask for: with other processes where there is
// a folder for it, else within this process alone. What an earlier process has
// written counts from the start.
func (p *program) enter(folder string) {
	ops := &p.operations
	ops.state, ops.phase = handover.NewState(), handover.Ready
	if folder == "" {
		p.log.Warn().Str("reason", "TMPDIR is not set").Msg("what operators ask for ends with this process")
		return
	}
	var err error
	if ops.store, err = handover.New(folder, p.config.Name); err != nil {
		p.storeFails(&ops.unread, err)
		return
	}
	_, err = ops.store.Look()
	p.storeFails(&ops.unread, err)
	ops.phase = handover.Starting
	if len(ops.store.Peers()) == 0 { // nobody serves: clients are taken at once
		ops.phase = handover.Ready
	}
	p.hold()
	p.front.SetClaims(ops.store)
	p.book(ops.phase)
	ops.began = p.loop.Now()
	ops.by = ops.began + listWait
	ops.timer.Task = loop.Func(p.look)
	p.look()
	if ops.phase == handover.Starting {
		p.log.Info().Int("processes", ops.peers).Msg("takes over from a process that serves")
		p.watcher.Watch() // it alone starts, so it need not wait for its turn
	}
}

// storeFails logs a fault of the store, once until another comes or it is over.
// Reading and writing are kept apart: on a full disk the one goes well and the
// other does not, time after time.
func (p *program) storeFails(last *string, err error) {
	why := ""
	if err != nil {
		why = err.Error()
	}
	if why != *last {
		if *last = why; err != nil {
			p.log.Error().Err(err).Msg("handover fails")
		}
	}
}

// look takes in what the other process has written, and whether there is one.
func (p *program) look() {
	ops := &p.operations
	_, err := ops.store.Look()
	p.storeFails(&ops.unread, err)
	ops.state = *ops.store.State()
	peers := ops.store.Peers()
	ops.ready = false
	starting := false
	for _, phase := range peers {
		ops.ready = ops.ready || phase == handover.Ready
		starting = starting || phase == handover.Starting
	}
	p.teach(starting)
	if n := len(peers); n != ops.peers {
		ops.peers = n
		p.log.Info().Int("others", n).Msg("processes of this dispatcher")
		p.shareOut()
	}
	p.takeOver()
	p.yield()
	if now := p.loop.Now(); now >= ops.rest {
		p.keepNames()
		if !ops.store.Entered() {
			p.book(ops.phase)
		}
	}
	p.apply()
	p.loop.Set(&ops.timer, p.loop.Now()+lookEvery)
}

// takeOver ends the start of a successor: it takes clients once its list is
// discovery's, has waited for that long enough, or is alone.
func (p *program) takeOver() {
	ops := &p.operations
	if ops.phase != handover.Starting || p.fleet.FitCount() == 0 && ops.ready {
		return
	}
	now, lesson := p.loop.Now(), ops.state.Lesson
	if ops.ready && (now < ops.by && !p.told && !p.fleet.Listed() || now < ops.began+lessonFor && lesson == nil) {
		return
	}
	p.learn(lesson)
	p.book(handover.Ready)
	p.log.Info().Bool("listed", p.told).Msg("takes clients")
	p.hold()
}

// teach writes down what the decisions have learned, for a process that starts to
// take over. Guards the first seconds after an upgrade, in which that process would
// not know how much work fits, and hold cold hosts to next to nothing.
func (p *program) teach(starting bool) {
	ops := &p.operations
	if ops.phase != handover.Ready || ops.taught == starting {
		return
	}
	if ops.taught = starting; !starting {
		return
	}
	lesson, err := json.Marshal(p.dispatcher.Learned())
	if err == nil {
		err = ops.store.Change(func(s *handover.State) { s.Lesson = lesson })
	}
	p.write(err)
}

// learn begins with what the other process has learned, if it has told.
func (p *program) learn(lesson json.RawMessage) {
	if lesson == nil {
		return
	}
	var l yardwharf.Learned
	err := json.Unmarshal(lesson, &l)
	if err == nil {
		p.dispatcher.Resume(l)
		err = p.operations.store.Change(func(s *handover.State) { s.Lesson = nil })
	}
	p.write(err)
}

// book writes down what this process is at, for the others to see.
func (p *program) book(phase handover.Phase) {
	p.operations.phase = phase
	p.write(p.operations.store.Enter(phase))
}

// write takes note of how a write ended that nobody waits for. Guards against a loop
// that is held up by one vain wait for the lock after the other.
func (p *program) write(err error) {
	if p.storeFails(&p.operations.broken, err); err != nil {
		p.operations.rest = p.loop.Now() + writeRest
	}
}

// yield leaves new clients to another process that takes them, while this one
// leaves; to none where there is none any more.
func (p *program) yield() {
	if p.leaving {
		p.succeeded = p.operations.ready
		p.hold()
	}
}

// finish takes this process out of those that run.
func (p *program) finish() {
	if p.operations.store != nil {
		p.loop.Clear(&p.operations.timer)
		p.storeFails(&p.operations.broken, p.operations.store.Leave())
	}
}

// keepNames writes down names that have been listed: a host of which an earlier
// process was told can still be taken out.
func (p *program) keepNames() {
	ops := &p.operations
	if n := p.fleet.HostsEverListed(); n != ops.listed {
		names := p.fleet.Names()
		err := ops.store.Change(func(s *handover.State) { s.List(names) })
		if p.write(err); err == nil {
			ops.listed = n
		}
	}
}

// change has operators' wish written down, and done. Where it cannot be written
// nothing is done: what is answered with a no has not happened.
func (p *program) change(wish func(*handover.State)) error {
	ops := &p.operations
	if ops.store == nil {
		wish(&ops.state)
		p.apply()
		return nil
	}
	if err := ops.store.Change(wish); err != nil {
		return fmt.Errorf("not written down, and not done: %w", err)
	}
	ops.state = *ops.store.State()
	p.apply()
	return nil
}

// apply makes the parts do what operators have asked for.
func (p *program) apply() {
	if p.fleet.SetTakenOut(p.loop.Now(), p.operations.state.Out) {
		p.tell(yardwharf.ListLocal)
	}
	if p.zones != nil {
		p.obey(p.operations.state.Zones)
	}
	p.settle()
}

// settle makes the front do as things are. While clients are sent away or the
// process leaves to a successor, no answer leaves a connection open.
func (p *program) settle() {
	drain := p.operations.state.Drain
	p.front.SetReady(!p.leaving && !p.unheard && !drain && p.fleet.UsableCount() > 0)
	p.front.SetAway(drain || p.leaving && p.succeeded)
}

// shareOut bounds this process by its part of what the dispatcher may use: all of
// its processes count together.
func (p *program) shareOut() {
	n := 1 + p.operations.peers
	clients, hosts := p.descriptors(n)
	p.dispatcher.SetParts(n)
	p.front.SetMost(clients)
	p.pool.SetMost(hosts)
	p.buffers.Resize(p.bufferBytes() / n)
	debug.SetMemoryLimit(p.heapBytes() / int64(n))
}

// calls is what operators can ask of a program.
type calls struct{ p *program }

var _ admin.Calls = calls{}

// Serving implements admin.Calls. Hosts out by hand count: an upgrade goes on
// whatever operators have taken out.
func (c calls) Serving() bool {
	return !c.p.leaving && c.p.operations.phase == handover.Ready && c.p.fleet.FitCount() > 0
}

// Drain implements admin.Calls.
func (c calls) Drain(on bool) error {
	if err := c.p.change(func(s *handover.State) { s.Drain = on }); err != nil {
		return err
	}
	c.p.log.Info().Bool("on", on).Msg("drain by hand")
	return nil
}

// Down implements admin.Calls.
func (c calls) Down(host string) error {
	if !c.known(host) {
		return admin.ErrUnknown
	}
	now := c.p.loop.Now()
	return c.hand(host, "down", func(s *handover.State) {
		if _, already := s.Out[host]; !already {
			s.Out[host] = now
		}
	})
}

// Up implements admin.Calls.
func (c calls) Up(host string) error {
	if !c.known(host) {
		return admin.ErrUnknown
	}
	return c.hand(host, "up", func(s *handover.State) { delete(s.Out, host) })
}

func (c calls) hand(host, call string, wish func(*handover.State)) error {
	if err := c.p.change(wish); err != nil {
		return err
	}
	c.p.log.Info().Str("host", host).Str("call", call).Msg("host by hand")
	return nil
}

// known says whether a host was ever listed, here or to an earlier process.
func (c calls) known(host string) bool {
	s := &c.p.operations.state
	_, out := s.Out[host]
	return out || c.p.fleet.Knows(host) || s.Has(host)
}
