package virtual

import (
	"fmt"
	"slices"
	"time"

	"yardwharf"
	"yardwharf/internal/tools/lab/rules"
	"yardwharf/internal/tools/lab/yard"
)

// dispatcher is one, with its decision module; it carries out what that decides.
type dispatcher struct {
	w        *world
	index    int
	site     int
	b        *yardwharf.Balancer // nil while it is dead
	life     int
	messages map[yardwharf.RequestID]*message
	known    []yardwharf.Member // as last told
	noticed  time.Duration      // when the front notices that it is dead, or back
	front    bool               // what the front takes it for
	watches  bool
}

// dispatchers starts them all.
func (w *world) dispatchers() error {
	for site, s := range w.c.Sites {
		for range s.Dispatchers {
			d := &dispatcher{w: w, index: len(w.disp), site: site, front: true}
			w.disp = append(w.disp, d)
		}
	}
	for _, d := range w.disp {
		if err := d.start(w.members()); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) settings(d *dispatcher) yardwharf.Settings {
	a := w.account
	s := yardwharf.Settings{Me: d.index, Balancers: len(w.disp), Zone: d.site, MaxAttempts: a.MostAttempts, Cancel: true, ParallelTries: true,
		TellsStart: true, AskDiscovery: true, AskWithin: 10 * time.Second, StartCapacity: a.StartCapacity, WarmUp: a.WarmUp,
		OverloadFactor: a.OverloadFactor, OverloadFor: a.OverloadFor, DrainGrace: a.DrainGrace, MaxRetryAfter: 2 * time.Second,
		CrossZonePrice: 0.1, WorstClass: 0.2, Probes: a.Probes, ProbePrice: a.ProbePrice, PeerPrice: a.TalkPrice, Peers: a.Talk, OverShareWorth: a.OverShare}
	if a.Probes {
		s.ReportFields, s.ReportNames = []yardwharf.Field{yardwharf.FieldInflight, yardwharf.FieldFreeSlots}, []string{"inflight", "x0"}
	}
	for _, t := range a.Tenants {
		s.Tenants = append(s.Tenants, yardwharf.Tenant{Name: t.Name, Share: t.Share, Quota: t.Share * w.c.Rate})
	}
	for _, site := range w.c.Sites {
		s.Zones = append(s.Zones, site.Name)
	}
	for _, k := range w.classes {
		c := yardwharf.Class{Name: k.Name, Aim: k.Aim, Stretch: k.Stretch, Deadline: k.Patience, Worth: k.Worth, Kind: -1}
		switch k.Effect {
		case yard.Keyed:
			c.Effect, c.Group, c.KeyTTL = yardwharf.Keyed, yardwharf.SameZone, k.KeyTime
		case yard.Once:
			c.Effect = yardwharf.Unsafe
		}
		s.Classes = append(s.Classes, c)
	}
	return s
}

// members is what discovery knows: processes that run, drain or are gone.
func (w *world) members() (list []yardwharf.Member) {
	for _, h := range w.hosts {
		list = append(list, yardwharf.Member{ID: h.id, Zone: h.site, Cell: h.site, Kind: h.Spec.Kind, State: h.state, Started: h.Spec.Since, CapacityHint: 1})
	}
	return list
}

// start begins a life with the list that it last had.
func (d *dispatcher) start(known []yardwharf.Member) error {
	d.life++
	d.messages, d.watches = map[yardwharf.RequestID]*message{}, false
	var err error
	if d.b, err = yardwharf.New(d.w.settings(d), d.w.rng.Uint64(), d); err != nil {
		return fmt.Errorf("virtual: %w", err)
	}
	d.w.check.Forget(d.index)
	d.tell(yardwharf.ListCached, known)
	return nil
}

// tell hands a list over.
func (d *dispatcher) tell(kind yardwharf.ListKind, list []yardwharf.Member) {
	if kind != yardwharf.ListCached {
		for _, m := range list {
			d.w.check.Told(d.w.clock.Now(), d.index, int(m.ID)-1, m.State == yardwharf.Ready)
		}
	}
	if kind != yardwharf.ListFailed {
		d.known = list
	}
	list = d.mutate(list)
	d.b.Members(d.w.clock.Now(), kind, list)
}

// changed has discovery tell all that watch, after its lag.
func (w *world) changed() {
	list := w.members()
	w.clock.After(w.c.Lag, func() {
		for _, d := range w.disp {
			if d.b != nil && d.watches && !w.down {
				d.tell(yardwharf.ListFull, list)
			}
		}
	})
}

// listed says whether the front takes it for alive.
func (d *dispatcher) listed(now time.Duration) bool {
	if now >= d.noticed {
		d.front = d.b != nil
	}
	return d.front
}

// crash ends its life: what it had is void.
func (d *dispatcher) crash() {
	w := d.w
	d.b = nil
	d.noticed = w.clock.Now() + w.account.FrontLeast + time.Duration(w.rng.Float64()*float64(w.account.FrontMost-w.account.FrontLeast))
	for id := yardwharf.RequestID(1); id <= yardwharf.RequestID(w.last); id++ { // in order, so that a seed replays
		m := d.messages[id]
		if m == nil {
			continue
		}
		for _, r := range m.relays {
			if !r.ended {
				r.ended = true
				r.h.GiveUp(r.task)
			}
		}
		if !m.answered { // the client of one that is has its answer
			w.check.Void(m.id)
			w.again(m.req)
		}
	}
	d.messages = nil
}

// take takes a try on.
func (d *dispatcher) take(r *request) {
	w := d.w
	k := &w.classes[r.class]
	w.last++
	m := &message{id: w.last, req: r, d: d, deadline: r.came + k.Patience}
	now := w.clock.Now()
	if m.deadline <= now {
		return
	}
	d.messages[yardwharf.RequestID(m.id)] = m
	w.check.Taken(m.id, rules.Message{Deadline: m.deadline, Once: k.Effect == yard.Once, Keyed: k.Effect == yard.Keyed, KeyTime: k.KeyTime})
	w.clock.At(m.deadline, func() {
		for _, r := range m.relays {
			r.end(yardwharf.Timeout, true)
		}
	})
	d.b.Request(now, yardwharf.Request{ID: yardwharf.RequestID(m.id), Class: r.class, Tenant: r.owner, Deadline: m.deadline, Slots: r.slots, Retry: r.tries > 1})
}

// answer gives the final answer.
func (m *message) answer(harmless, served bool) {
	if m.answered {
		return
	}
	m.answered = true
	w := m.d.w
	w.check.Answered(w.clock.Now(), m.id, harmless)
	w.clock.After(0, m.forget) // not now: the module may be about to end a relay of it
	w.clock.After(w.delay(m.d.site, m.req.site), func() {
		if served {
			w.served(m.req)
		} else {
			w.again(m.req)
		}
	})
}

// end tells the module how a relay ended; giveUp ends it at the host as well.
func (r *relay) end(st yardwharf.Status, giveUp bool) {
	if r.ended {
		return
	}
	r.ended = true
	m, d := r.m, r.m.d
	w := d.w
	if giveUp {
		w.clock.After(w.delay(d.site, r.h.site), func() { r.h.GiveUp(r.task) })
	}
	if d.b == nil {
		return
	}
	if st == yardwharf.Full || st == yardwharf.ConnectFailed {
		w.check.NeverRan(m.id, r.n)
	}
	if st == yardwharf.OK {
		m.answer(false, true)
	}
	if st == yardwharf.Timeout && d.w.c.mutant == "forgets what ran" {
		st = yardwharf.ConnectFailed
	}
	d.b.Outcome(w.clock.Now(), yardwharf.Outcome{Request: yardwharf.RequestID(m.id), Attempt: r.n, Worker: r.h.id, Status: st,
		Latency: w.clock.Now() - r.sent, Closed: m.answered})
	m.forget()
}

// forget lets go of a message that has its answer and no relay out.
func (m *message) forget() {
	if !m.answered || m.d.messages[yardwharf.RequestID(m.id)] != m {
		return
	}
	for _, r := range m.relays {
		if !r.ended {
			return
		}
	}
	delete(m.d.messages, yardwharf.RequestID(m.id))
}

// Send implements yardwharf.Actions, as the rest.
func (d *dispatcher) Send(id yardwharf.RequestID, to yardwharf.WorkerID, _ time.Duration) {
	m := d.messages[id]
	if m == nil {
		return
	}
	w, h := d.w, d.w.hosts[to-1]
	now, there := w.clock.Now(), w.delay(d.site, h.site)
	r := &relay{m: m, n: len(m.relays), h: h, sent: now, task: &yard.Task{Work: m.req.work, Slots: m.req.slots}}
	m.relays = append(m.relays, r)
	w.result.Attempts++
	w.second().Sends++
	if h.Warmth() < 1 {
		w.second().ToCold++
		if h.met[d.index] != h.Spec.Since {
			h.met[d.index] = h.Spec.Since
			w.second().NewCold++
		}
	}
	if h.site != d.site {
		w.result.Crossings++
	}
	w.check.Sent(now, m.id, r.n, d.index, h.index, h.site)
	life := d.life
	back := func(f func()) {
		w.clock.After(there, func() {
			if d.life == life && d.b != nil {
				f()
			}
		})
	}
	r.task.Started = func() {
		back(func() {
			if !r.ended {
				d.b.Note(w.clock.Now(), id, r.n, yardwharf.Started, 0)
			}
		})
	}
	r.task.Ended = func(e yard.End) {
		st := map[yard.End]yardwharf.Status{yard.Finished: yardwharf.OK, yard.Full: yardwharf.Full, yard.Lost: yardwharf.Reset}[e]
		back(func() { r.end(st, false) })
	}
	w.clock.After(there, func() {
		switch {
		case r.ended:
		case h.dark: // silence: the connection does not come up
			w.clock.After(250*time.Millisecond, func() { r.end(yardwharf.ConnectFailed, false) })
		case !h.Up() || h.state == yardwharf.Gone:
			back(func() { r.end(yardwharf.ConnectFailed, false) })
		default:
			h.Take(r.task)
		}
	})
}

// Refuse is the back-off answer.
func (d *dispatcher) Refuse(id yardwharf.RequestID, _ time.Duration) {
	if m := d.messages[id]; m != nil && !m.answered {
		if d.w.c.mutant == "loses refusals" {
			return
		}
		d.w.result.Refused++
		m.answer(true, false)
	}
}

// Fail answers that the message failed.
func (d *dispatcher) Fail(id yardwharf.RequestID) {
	if m := d.messages[id]; m != nil && !m.answered {
		d.w.result.Failed++
		m.answer(false, false)
	}
}

// Cancel gives a relay up.
func (d *dispatcher) Cancel(id yardwharf.RequestID, n int) {
	if m := d.messages[id]; m != nil && n < len(m.relays) {
		r := m.relays[n]
		d.w.clock.After(0, func() { r.end(yardwharf.Cancelled, true) })
	}
}

// SetTimer sets one.
func (d *dispatcher) SetTimer(after time.Duration) {
	life := d.life
	d.w.clock.After(after, func() {
		if d.life == life && d.b != nil {
			d.b.Timer(d.w.clock.Now())
		}
	})
}

// Watch asks discovery; the whole list comes after its lag, or the call fails.
func (d *dispatcher) Watch() {
	w, life, c := d.w, d.life, d.w.c.Calls
	w.second().Calls++
	ends := func(after time.Duration, fails bool) {
		w.clock.After(max(after, time.Millisecond), func() {
			if d.life != life || d.b == nil {
				return
			}
			if fails || w.down {
				w.second().Failed++
				d.tell(yardwharf.ListFailed, nil)
				return
			}
			d.watches = true
			d.tell(yardwharf.ListFull, w.members())
		})
	}
	if c.Serve <= 0 || w.down {
		ends(w.c.Lag, false)
		return
	}
	if w.waiting >= c.Most {
		ends(0, true)
		return
	}
	w.waiting++
	w.busy = max(w.busy, w.clock.Now()) + c.Serve
	took := w.busy - w.clock.Now()
	w.clock.After(took, func() { w.waiting-- })
	if took > c.Patience {
		ends(c.Patience, true)
		return
	}
	ends(took+w.c.Lag, false)
}

// Probe asks a host for its report, which is as old as the account's refresh has it.
func (d *dispatcher) Probe(id yardwharf.WorkerID) {
	w, h, life, sent := d.w, d.w.hosts[id-1], d.life, d.w.clock.Now()
	there := w.delay(d.site, h.site)
	told := func(after time.Duration, st yardwharf.Status, load []float32) {
		w.clock.After(after, func() {
			if d.life == life && d.b != nil {
				d.b.Probed(w.clock.Now(), id, st, w.clock.Now()-sent, load)
			}
		})
	}
	w.clock.After(there, func() {
		switch {
		case h.dark:
			told(250*time.Millisecond, yardwharf.ConnectFailed, nil)
		case !h.Up() || h.state == yardwharf.Gone:
			told(there, yardwharf.ConnectFailed, nil)
		default:
			if now := w.clock.Now(); h.report == nil || now-h.reported >= w.account.Refresh {
				_, free := h.Load()
				h.report, h.reported = []float32{float32(h.Held()), float32(free)}, now
			}
			told(there, yardwharf.OK, h.report)
		}
	})
}

// Broadcast sends a message to the other dispatchers; some are lost.
func (d *dispatcher) Broadcast(message []byte) {
	w, a := d.w, d.w.account
	message = slices.Clone(message)
	for _, to := range w.disp {
		if to == d || w.rng.Float64() < a.TalkLost {
			continue
		}
		w.clock.After(a.TalkLeast+time.Duration(w.rng.Float64()*float64(a.TalkMost-a.TalkLeast)), func() {
			if to.b != nil {
				to.b.PeerMessage(w.clock.Now(), d.index, message)
			}
		})
	}
}
