package control

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"yardwharf/internal/service/register"
)

// Times of the register's rounds.
const (
	orderTimeout   = 700 * time.Millisecond // for one order, all its attempts together
	attemptTimeout = 350 * time.Millisecond
	surveyTimeout  = 300 * time.Millisecond
	backoffBase    = 25 * time.Millisecond
	backoffMost    = 200 * time.Millisecond
)

// delivery is the answer of a member, or its failure.
type delivery struct {
	from    string
	message any
	err     error
}

// round is one exchange with several members.
type round struct {
	replica *replica
	limit   time.Duration // for each message
	answers chan delivery
	done    chan struct{} // closed when answers are no longer read
}

func (r *replica) newRound(limit time.Duration) *round {
	return &round{replica: r, limit: limit, answers: make(chan delivery), done: make(chan struct{})}
}

func (r *round) close() { close(r.done) }

// send sends one message and hands its answer over. It goes on when the round
// has ended, so that the slower members get their messages as well.
func (r *round) send(envelope register.Envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), r.limit)
	defer cancel()
	message, err := r.replica.call(ctx, envelope)
	if err == nil {
		r.replica.heardFrom(envelope.To, message)
	}
	select {
	case r.answers <- delivery{envelope.To, message, err}:
	case <-r.done:
	}
}

// sendAll sends messages side by side.
func (r *round) sendAll(out []register.Envelope) {
	for _, envelope := range out {
		go r.send(envelope)
	}
}

// heardFrom remembers that a member has answered, and what it told of itself.
func (r *replica) heardFrom(address string, message any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.heard[address] = time.Now()
	if reply, told := message.(register.ReadReply); told {
		r.names[address] = register.Member{Node: reply.Node, Zone: reply.Zone, Address: address, Disk: reply.Disk}
	}
}

func (r *replica) call(ctx context.Context, envelope register.Envelope) (any, error) {
	if envelope.To == r.identity.Address {
		return r.callSelf(envelope.Message)
	}
	return r.peers.call(ctx, envelope.To, envelope.Message)
}

// propose carries a change through, with further attempts while the context
// lasts. Changes of one process wait for each other.
func (r *replica) propose(ctx context.Context, change register.Change) register.Result {
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-ctx.Done():
		return register.Result{}
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		result := r.attempt(ctx, change)
		if result.Outcome != register.Undecided {
			r.adopt(result.Decided)
			return result
		}
		r.pause(ctx, attempt)
	}
	return register.Result{}
}

// order proposes a change within the time of one order.
func (r *replica) order(parent context.Context, change register.Change) register.Result {
	ctx, cancel := context.WithTimeout(parent, orderTimeout)
	defer cancel()
	return r.propose(ctx, change)
}

// pause waits a random time that grows with the attempts.
func (r *replica) pause(ctx context.Context, attempt int) {
	most := min(backoffBase<<min(attempt, 8), backoffMost)
	timer := time.NewTimer(time.Millisecond + mathrand.N(most))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// attempt runs one proposal.
func (r *replica) attempt(parent context.Context, change register.Change) register.Result {
	base, decided := r.base()
	if base.Value == nil {
		r.survey(parent)
		if base, decided = r.base(); base.Value == nil {
			return register.Result{}
		}
	}
	ctx, cancel := context.WithTimeout(parent, attemptTimeout)
	defer cancel()
	round := r.newRound(attemptTimeout)
	defer round.close()
	proposal, out := r.proposer.Begin(base, decided, change)
	for {
		round.sendAll(out)
		if result, ended := proposal.Result(); ended {
			return result
		}
		select {
		case answer := <-round.answers:
			if answer.err != nil {
				out = proposal.Fail(answer.from)
			} else {
				out = proposal.Deliver(answer.from, answer.message)
			}
		case <-ctx.Done():
			return register.Result{}
		}
	}
}

// survey reads from all voters without a write. It returns early once the
// newest decided value is known, and reports whether it is.
func (r *replica) survey(parent context.Context) (register.Versioned, bool) {
	ctx, cancel := context.WithTimeout(parent, surveyTimeout)
	defer cancel()
	round := r.newRound(surveyTimeout)
	defer round.close()
	base, _ := r.base()
	survey := register.NewSurvey(base)
	asked := map[string]bool{}
	waiting := r.ask(round, survey.Best(), asked)
	for waiting > 0 {
		select {
		case answer := <-round.answers:
			waiting--
			reply, whole := answer.message.(register.ReadReply)
			if answer.err == nil && whole && survey.Deliver(answer.from, reply) {
				waiting += r.ask(round, survey.Best(), asked)
			}
		case <-ctx.Done():
			waiting = 0
		}
		if decided, known := survey.Decided(); known {
			r.adopt(decided)
			return decided, true
		}
	}
	r.found(survey.Best())
	return survey.Best(), false
}

// ask sends Read to the voters of a value, or to the seeds where there is none
// yet, and returns to how many that it had not been sent to before.
func (r *replica) ask(round *round, best register.Versioned, asked map[string]bool) int {
	addresses := r.currentSeeds()
	if best.Value != nil {
		addresses = best.Value.Voters()
	}
	var out []register.Envelope
	for _, address := range addresses {
		if !asked[address] {
			asked[address] = true
			read := register.Read{Known: best.Ballot, Empty: best.Value == nil}
			out = append(out, register.Envelope{To: address, Message: read})
		}
	}
	round.sendAll(out)
	return len(out)
}

// newest returns the newest decided value by a read of a majority, which
// finishes what is undecided.
func (r *replica) newest(ctx context.Context) (*register.Value, bool) {
	if decided, known := r.survey(ctx); known {
		return decided.Value, true
	}
	result := r.propose(ctx, register.Settle)
	return result.Decided.Value, result.Outcome != register.Undecided
}
