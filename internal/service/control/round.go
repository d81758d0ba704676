package control

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"yardwharf/internal/service/register"
)

// Timeouts and backoff of the register's rounds.
const (
	proposeTimeout = 700 * time.Millisecond // for one change, including all attempts
	attemptTimeout = 350 * time.Millisecond
	surveyTimeout  = 300 * time.Millisecond
	backoffBase    = 25 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// memberResponse is the response of a member, or the error of the call.
type memberResponse struct {
	from    string
	message any
	err     error
}

// round is one exchange of messages with several members.
type round struct {
	replica   *replica
	timeout   time.Duration // timeout of each message
	responses chan memberResponse
	done      chan struct{} // closed when responses are no longer read
}

func (r *replica) newRound(timeout time.Duration) *round {
	return &round{replica: r, timeout: timeout, responses: make(chan memberResponse), done: make(chan struct{})}
}

func (r *round) close() { close(r.done) }

// send sends one message and delivers its response. The call is not canceled
// when the round ends, so that slower members get their messages as well.
func (r *round) send(envelope register.Envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	message, err := r.replica.call(ctx, envelope)
	if err == nil {
		r.replica.recordResponse(envelope.To, message)
	}
	select {
	case r.responses <- memberResponse{envelope.To, message, err}:
	case <-r.done:
	}
}

// sendAll sends messages concurrently.
func (r *round) sendAll(out []register.Envelope) {
	for _, envelope := range out {
		go r.send(envelope)
	}
}

// recordResponse records when a member responded, and the details it reported about itself.
func (r *replica) recordResponse(address string, message any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastResponse[address] = time.Now()
	if reply, ok := message.(register.ReadReply); ok {
		r.memberDetails[address] = register.Member{Node: reply.Node, Zone: reply.Zone, Address: address, Disk: reply.Disk}
	}
}

func (r *replica) call(ctx context.Context, envelope register.Envelope) (any, error) {
	if envelope.To == r.identity.Address {
		return r.handleMessage(envelope.Message)
	}
	return r.peers.call(ctx, envelope.To, envelope.Message)
}

// propose proposes a change, retrying until it is decided or the context ends.
// A process proposes one change at a time.
func (r *replica) propose(ctx context.Context, change register.Change) register.Result {
	select {
	case r.proposerLock <- struct{}{}:
		defer func() { <-r.proposerLock }()
	case <-ctx.Done():
		return register.Result{}
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		result := r.attempt(ctx, change)
		if result.Outcome != register.Undecided {
			r.adopt(result.Decided)
			return result
		}
		r.backOff(ctx, attempt)
	}
	return register.Result{}
}

// proposeWithTimeout proposes a change, bounded by proposeTimeout.
func (r *replica) proposeWithTimeout(parent context.Context, change register.Change) register.Result {
	ctx, cancel := context.WithTimeout(parent, proposeTimeout)
	defer cancel()
	return r.propose(ctx, change)
}

// backOff waits for a random backoff that grows with the number of attempts.
func (r *replica) backOff(ctx context.Context, attempt int) {
	limit := min(backoffBase<<min(attempt, 8), maxBackoff)
	timer := time.NewTimer(time.Millisecond + mathrand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// attempt runs one proposal; the outcome is Undecided if it is not decided in time.
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
		case response := <-round.responses:
			if response.err != nil {
				out = proposal.MemberFailed(response.from)
			} else {
				out = proposal.Deliver(response.from, response.message)
			}
		case <-ctx.Done():
			return register.Result{}
		}
	}
}

// survey reads from all voters without writing. It returns as soon as the
// newest decided value is known, and reports whether it is known.
func (r *replica) survey(parent context.Context) (register.Versioned, bool) {
	ctx, cancel := context.WithTimeout(parent, surveyTimeout)
	defer cancel()
	round := r.newRound(surveyTimeout)
	defer round.close()
	base, _ := r.base()
	survey := register.NewSurvey(base)
	asked := map[string]bool{}
	waiting := r.sendReads(round, survey.Best(), asked)
	for waiting > 0 {
		select {
		case response := <-round.responses:
			waiting--
			reply, ok := response.message.(register.ReadReply)
			if response.err == nil && ok && survey.Deliver(response.from, reply) {
				waiting += r.sendReads(round, survey.Best(), asked)
			}
		case <-ctx.Done():
			waiting = 0
		}
		if decided, known := survey.Decided(); known {
			r.adopt(decided)
			return decided, true
		}
	}
	r.recordUndecided(survey.Best())
	return survey.Best(), false
}

// sendReads sends Read to the voters of a value, or to the seeds if there is no value
// yet. It skips addresses that were asked before and returns the number asked now.
func (r *replica) sendReads(round *round, best register.Versioned, asked map[string]bool) int {
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

// readNewest reads the newest decided value from a majority. A value that is still
// undecided is settled first. It reports false if no majority responds.
func (r *replica) readNewest(ctx context.Context) (*register.Value, bool) {
	if decided, known := r.survey(ctx); known {
		return decided.Value, true
	}
	result := r.propose(ctx, register.ConfirmDecided)
	return result.Decided.Value, result.Outcome != register.Undecided
}
