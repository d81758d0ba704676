package serviceyard

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	finishMost   = 60 * time.Second // until all accepted messages have ended
	statesAsked  = 300
	statesAtOnce = 8
	stateTimeout = 20 * time.Second
)

// finish waits until all that was accepted has ended.
func (s *soak) finish(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, finishMost)
	defer cancel()
	s.awaitSettled(limited)
	accepted := s.accepted()
	_ = Await(limited, func() bool {
		time.Sleep(100 * time.Millisecond)
		return len(Unfinished(accepted, s.yard.Ledger)) == 0 && len(WithoutCallback(accepted, s.yard.Receiver)) == 0
	})
}

// accepted returns what all clients have had accepted, in the order of their acceptance.
func (s *soak) accepted() []Accepted {
	var all []Accepted
	for _, client := range s.clients {
		all = append(all, client.accepted...)
	}
	slices.SortStableFunc(all, func(a, b Accepted) int { return a.SentAt.Compare(b.SentAt) })
	return all
}

// judge checks the rules.
func (s *soak) judge(ctx context.Context) {
	accepted, runs := s.accepted(), s.yard.Ledger.Runs()
	s.report.Accepted = len(accepted)
	ran := map[string]bool{}
	for _, run := range runs {
		ran[run.ID] = true
	}
	for _, client := range s.clients {
		s.report.Refused += len(client.refused)
		s.report.Uncertain += client.uncertain
		s.report.Cut += len(client.cut)
		for _, id := range client.refused {
			if ran[id] {
				s.fault("REFUSED: %s was refused and ran", id)
			}
		}
		for _, cut := range client.cut {
			s.fault("LOST: %s", cut)
		}
	}
	for _, id := range Unfinished(accepted, s.yard.Ledger) {
		s.fault("LOST: %s was accepted and has not ended", id)
	}
	for _, id := range WithoutCallback(accepted, s.yard.Receiver) {
		s.fault("CALLBACK: %s is owed one", id)
	}
	for _, faults := range [][]string{
		CallbackFaults(accepted, s.yard.Ledger, s.yard.Receiver), OrderFaults(accepted, runs), EarlyFaults(accepted, runs),
	} {
		s.report.Faults = append(s.report.Faults, faults...)
	}
	for _, faults := range [][]string{
		ServiceFaults(runs, s.orders, s.calm), RepeatFaults(runs, s.yard.Ledger.Repeats(), s.calm),
	} {
		s.report.Faults = append(s.report.Faults, faults...)
	}
	if fault := RateFault(s.yard.Ledger.Arrivals(RatedService), RatePerS); fault != "" {
		s.fault("CEILING: %s", fault)
	}
	s.judgeStates(ctx, accepted)
}

// judgeStates asks for the states of some messages, at any dispatcher.
func (s *soak) judgeStates(ctx context.Context, accepted []Accepted) {
	limited, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	client := NewClient(s.yard)
	step := max(1, len(accepted)/statesAsked)
	places := make(chan struct{}, statesAtOnce)
	var asked sync.WaitGroup
	for i := 0; i < len(accepted); i += step {
		id := accepted[i].ID
		places <- struct{}{}
		asked.Go(func() {
			defer func() { <-places }()
			var state State
			err := Await(limited, func() bool {
				var err error
				state, err = client.State(limited, id)
				return err == nil
			})
			if err != nil || state.State != "completed" || state.Stamp != s.yard.Ledger.Seal(id) {
				s.fault("STATE: %s is %q with stamp %q: %v", id, state.State, state.Stamp, err)
			}
		})
	}
	asked.Wait()
}
