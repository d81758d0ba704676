package serviceyard

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"yardwharf/internal/service/status"
)

const (
	settleMost  = 15 * time.Second // until all processes that count are in touch again after one has been away
	awayMost    = 1200             // milliseconds that a process stays away
	stormSize   = 6                // configurations in quick succession
	silentPause = 3000             // milliseconds between two services that are silent, at most
	silentLeast = applyTime + time.Second
	silentMore  = 3000 // milliseconds
)

// disturb ends, freezes or signals a process, and has it back a while later.
func (s *soak) disturb(p *Process, random *rand.Rand) {
	away := time.Duration(random.IntN(awayMost)) * time.Millisecond
	kinds := []string{"terminate", "hangup", "kill", "freeze", "kill twice"}
	if s.options.Planned {
		kinds = kinds[:2]
	}
	kind := kinds[random.IntN(len(kinds))]
	s.note("%s of %s/%s, away %v", kind, p.Node, p.Role, away)
	var err error
	switch kind {
	case "hangup":
		err = p.Hangup()
	case "freeze":
		s.noteUnplanned()
		err = p.Freeze()
		time.Sleep(away)
		err = errors.Join(err, p.Thaw())
		s.noteUnplanned()
	case "terminate":
		err = errors.Join(p.Terminate(), s.startAfter(p, away))
	case "kill twice":
		s.noteUnplanned()
		err = errors.Join(p.Kill(), s.startAfter(p, away/4), p.Kill(), s.startAfter(p, away))
	default:
		s.noteUnplanned()
		err = errors.Join(p.Kill(), s.startAfter(p, away))
	}
	if err != nil {
		s.fault("%s of %s/%s: %v", kind, p.Node, p.Role, err)
	}
}

func (s *soak) startAfter(p *Process, away time.Duration) error {
	time.Sleep(away)
	return p.Start()
}

// noteUnplanned notes that a process is killed or frozen.
func (s *soak) noteUnplanned() {
	s.mutex.Lock()
	s.unplanned = append(s.unplanned, time.Now())
	s.mutex.Unlock()
}

// disturbCounted disturbs stores and control members, one at a time, and once all
// processes at the same moment.
func (s *soak) disturbCounted(ctx context.Context, random *rand.Rand) {
	allAt, allKilled := time.Now().Add(s.options.Duration/2), s.options.Planned
	for ctx.Err() == nil {
		if !allKilled && time.Now().After(allAt) {
			allKilled = true
			s.killAll(random)
		} else {
			role := []string{RoleStore, RoleControl}[random.IntN(2)]
			p := s.yard.Process(role, 1+random.IntN(machinesOfAClass))
			if release, held := s.hold(p); held {
				s.disturb(p, random)
				release()
			}
		}
		s.awaitSettled(ctx)
	}
}

// killAll ends all processes at once that no other actor holds, and starts them.
func (s *soak) killAll(random *rand.Rand) {
	var held []*Process
	for _, p := range s.yard.processes {
		if release, free := s.hold(p); free {
			defer release()
			held = append(held, p)
		}
	}
	s.note("kill of %d of %d processes", len(held), len(s.yard.processes))
	var ends sync.WaitGroup
	for _, p := range held {
		s.noteUnplanned()
		ends.Go(func() { _ = p.Kill() })
	}
	ends.Wait()
	time.Sleep(time.Duration(random.IntN(awayMost)) * time.Millisecond)
	random.Shuffle(len(held), func(i, k int) { held[i], held[k] = held[k], held[i] })
	for _, p := range held {
		if err := p.Start(); err != nil {
			s.fault("start of %s/%s: %v", p.Node, p.Role, err)
		}
	}
}

// awaitSettled waits until every dispatcher that runs is in touch with all stores.
func (s *soak) awaitSettled(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, settleMost)
	defer cancel()
	started := time.Now()
	err := Await(limited, func() bool {
		settled := 0
		for _, address := range s.yard.InternalAddresses(RoleDispatcher) {
			if s.wholeAt(limited, address) {
				settled++
			}
		}
		return settled >= len(s.yard.InternalAddresses(RoleDispatcher))-edgeActors
	})
	if err != nil && ctx.Err() == nil {
		s.fault("RECOVER: not all stores count %v after one was away", time.Since(started).Round(time.Millisecond))
	}
}

// wholeAt reports whether a dispatcher is in touch with all stores.
func (s *soak) wholeAt(ctx context.Context, address string) bool {
	asking, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	report, err := status.Ask(asking, address)
	up := 0
	for _, store := range report.Stores {
		if store.Up && !store.Recovering {
			up++
		}
	}
	return err == nil && up == machinesOfAClass
}

// disturbEdges disturbs dispatchers and agents; several actors do at once.
func (s *soak) disturbEdges(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		role := []string{RoleDispatcher, RoleDispatcher, RoleAgent}[random.IntN(3)]
		p := s.yard.Process(role, 1+random.IntN(s.yard.count(classEdge)))
		if release, held := s.hold(p); held {
			s.disturb(p, random)
			release()
		}
		sleep(ctx, time.Duration(random.IntN(awayMost))*time.Millisecond)
	}
}

// changeConfigurations sends changes, at times several in quick succession.
func (s *soak) changeConfigurations(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		for range 1 + random.IntN(2)*stormSize {
			next := order{revision: s.revision + 1, sent: time.Now()}
			err := s.yard.Configure(ctx, s.revision, next.revision)
			if err == nil {
				next.acknowledged = time.Now()
				s.revision++
			}
			s.orders = append(s.orders, next)
			if err != nil {
				break // the time is over: it may or may not be taken
			}
		}
		sleep(ctx, time.Duration(200+random.IntN(600))*time.Millisecond)
	}
}

// silenceServices silences one of the services to which the plain route leads, for so long
// that a change which moves the route counts meanwhile.
func (s *soak) silenceServices(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.IntN(silentPause))*time.Millisecond)
		service := []string{plainService, otherService}[random.IntN(2)]
		span := silentLeast + time.Duration(random.IntN(silentMore))*time.Millisecond
		s.note("%s is silent for %v", service, span)
		s.yard.Silence(service, true)
		sleep(ctx, span)
		s.yard.Silence(service, false)
	}
}
