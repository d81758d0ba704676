package register

// Proposer issues the ballots of one process.
type Proposer struct {
	member  string
	process uint64
	counter uint64
}

// NewProposer returns a proposer. The process number must differ after each
// start.
func NewProposer(member string, process uint64) *Proposer {
	return &Proposer{member: member, process: process}
}

// Observe makes later ballots higher than an observed one.
func (p *Proposer) Observe(ballot Ballot) { p.counter = max(p.counter, ballot.Counter) }

func (p *Proposer) nextBallot() Ballot {
	p.counter++
	return Ballot{Counter: p.counter, Member: p.member, Process: p.process}
}

// Envelope is a message to a member.
type Envelope struct {
	To      string // address
	Message any
}

// Result is how a proposal ended. It has no decided value if the outcome is
// Undecided.
type Result struct {
	Outcome Outcome
	Decided Versioned
}

// phase is the current step of a proposal.
type phase uint8

const (
	preparing   phase = iota
	reproposing       // proposes an accepted value again that may not be decided
	accepting         // proposes the changed value
	ended
)

// Proposal carries one change through the rounds. It ends as Undecided if it was
// outbid or too many members failed; the caller may then begin another.
type Proposal struct {
	proposer      *Proposer
	change        Change
	phase         phase
	ballot        Ballot
	best          Versioned // the highest accepted value found
	knownDecided  Ballot    // the value accepted under this ballot is known to be decided
	proposed      *Value
	asked         map[string]bool
	promised      votes
	bestAcceptors votes // members that have accepted best under its ballot
	accepted      votes
	lost          map[string]bool // members that do not vote in this phase
	result        Result
}

// Begin starts a proposal from a value that some voter has accepted. The value
// may be known to be decided.
func (p *Proposer) Begin(known Versioned, decided bool, change Change) (*Proposal, []Envelope) {
	p.Observe(known.Ballot)
	proposal := &Proposal{proposer: p, change: change}
	if decided {
		proposal.knownDecided = known.Ballot
	}
	return proposal, proposal.prepare(known)
}

// Result returns the result, and whether the proposal has ended.
func (p *Proposal) Result() (Result, bool) { return p.result, p.phase == ended }

// Deliver handles the answer of a member and returns the messages to send.
func (p *Proposal) Deliver(from string, message any) []Envelope {
	switch answer := message.(type) {
	case Promise:
		return p.onPromise(from, answer)
	case Accepted:
		return p.onAccepted(from, answer)
	default:
		return nil
	}
}

// MemberFailed records that a member does not answer in the current phase.
func (p *Proposal) MemberFailed(from string) []Envelope {
	if p.phase != ended {
		p.loseVote(from)
	}
	return nil
}

// prepare begins the first round under a new ballot.
func (p *Proposal) prepare(known Versioned) []Envelope {
	p.phase, p.ballot, p.best, p.proposed = preparing, p.proposer.nextBallot(), known, nil
	p.asked, p.lost = map[string]bool{}, map[string]bool{}
	p.promised, p.bestAcceptors, p.accepted = votes{}, votes{}, votes{}
	return p.sendPrepare()
}

// sendPrepare sends Prepare to the voters of the best value that were not asked yet.
func (p *Proposal) sendPrepare() []Envelope {
	var out []Envelope
	for _, address := range p.best.Value.Voters() {
		if !p.asked[address] {
			p.asked[address] = true
			out = append(out, Envelope{To: address, Message: Prepare{Ballot: p.ballot, Known: p.best.Ballot}})
		}
	}
	return out
}

func (p *Proposal) onPromise(from string, answer Promise) []Envelope {
	p.proposer.Observe(answer.Promised)
	p.proposer.Observe(answer.Accepted)
	if p.phase != preparing || answer.Ballot != p.ballot {
		return nil
	}
	if answer.Status != Granted {
		p.loseVote(from)
		return nil
	}
	p.promised[from] = answer.Disk
	var out []Envelope
	switch order := answer.Accepted.Compare(p.best.Ballot); {
	case order == 0:
		p.bestAcceptors[from] = answer.Disk
	case order > 0 && answer.Value == nil:
		delete(p.promised, from)
		p.loseVote(from)
		return nil
	case order > 0:
		p.best = Versioned{Ballot: answer.Accepted, Value: answer.Value}
		p.bestAcceptors = votes{from: answer.Disk}
		out = p.sendPrepare()
	}
	if !p.promised.suffice(p.best.Value) {
		return out
	}
	return append(out, p.propose()...)
}

// propose begins the second round. A value that may not be decided is proposed
// again before the change is applied or its outcome reported.
func (p *Proposal) propose() []Envelope {
	if p.bestIsDecided() {
		return p.applyChange(p.best)
	}
	p.phase = reproposing
	return p.sendAccept(p.best.Value)
}

// bestIsDecided reports whether the best value is known to be decided. The
// value of the first start, under the zero ballot, always is.
func (p *Proposal) bestIsDecided() bool {
	return p.best.Ballot == (Ballot{}) || p.best.Ballot == p.knownDecided || p.bestAcceptors.suffice(p.best.Value)
}

// applyChange applies the change to a decided value and proposes the result under
// the current ballot.
func (p *Proposal) applyChange(current Versioned) []Envelope {
	next, outcome := p.change(current.Value)
	if next == nil {
		p.end(Result{Outcome: outcome, Decided: current})
		return nil
	}
	p.phase = accepting
	return p.sendAccept(completeNext(current.Value, next))
}

func (p *Proposal) sendAccept(value *Value) []Envelope {
	p.proposed, p.accepted, p.lost = value, votes{}, map[string]bool{}
	var out []Envelope
	for _, address := range value.Voters() {
		out = append(out, Envelope{To: address, Message: Accept{Ballot: p.ballot, Value: value}})
	}
	return out
}

func (p *Proposal) onAccepted(from string, answer Accepted) []Envelope {
	p.proposer.Observe(answer.Promised)
	if (p.phase != reproposing && p.phase != accepting) || answer.Ballot != p.ballot {
		return nil
	}
	if answer.Status != Granted {
		p.loseVote(from)
		return nil
	}
	p.accepted[from] = answer.Disk
	if !p.accepted.suffice(p.proposed) {
		return nil
	}
	return p.onDecided(Versioned{Ballot: p.ballot, Value: p.proposed})
}

// onDecided announces a decided value. If that value was one proposed again, it
// begins a new round for the change, unless the change writes nothing.
func (p *Proposal) onDecided(decided Versioned) []Envelope {
	var out []Envelope
	for _, address := range decided.Value.Voters() {
		out = append(out, Envelope{To: address, Message: Learn{Ballot: decided.Ballot}})
	}
	if p.phase == accepting {
		p.end(Result{Outcome: Taken, Decided: decided})
		return out
	}
	if next, outcome := p.change(decided.Value); next == nil {
		p.end(Result{Outcome: outcome, Decided: decided})
		return out
	}
	p.knownDecided = decided.Ballot
	return append(out, p.prepare(decided)...)
}

// loseVote records that a member does not vote, and ends the proposal if a quorum
// is out of reach.
func (p *Proposal) loseVote(from string) {
	p.lost[from] = true
	value := p.best.Value
	if p.phase != preparing {
		value = p.proposed
	}
	if !canBeDecided(value, p.lost) {
		p.end(Result{Outcome: Undecided})
	}
}

func (p *Proposal) end(result Result) { p.phase, p.result = ended, result }
