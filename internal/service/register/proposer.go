package register

// Proposer makes the ballots of one process.
type Proposer struct {
	member  string
	process uint64
	counter uint64
}

// NewProposer returns a proposer. The process number must be another one after
// each start.
func NewProposer(member string, process uint64) *Proposer {
	return &Proposer{member: member, process: process}
}

// Observe makes later ballots higher than one that was seen.
func (p *Proposer) Observe(ballot Ballot) { p.counter = max(p.counter, ballot.Counter) }

func (p *Proposer) next() Ballot {
	p.counter++
	return Ballot{Counter: p.counter, Member: p.member, Process: p.process}
}

// Envelope is a message to a member.
type Envelope struct {
	To      string // address
	Message any
}

// Result is how a proposal ended. The decided value is left out where the
// outcome is Undecided.
type Result struct {
	Outcome Outcome
	Decided Versioned
}

// phase is the step that a proposal is in.
type phase uint8

const (
	preparing phase = iota
	finishing       // a value found, which may not be decided, is proposed again
	accepting       // the changed value is proposed
	ended
)

// Proposal carries one change through the rounds. It ends as Undecided when it
// was outbid or lost too many members; the caller may then begin another.
type Proposal struct {
	proposer *Proposer
	change   Change
	phase    phase
	ballot   Ballot
	best     Versioned // the highest accepted value found
	settled  Ballot    // the value accepted under it is known to be decided
	proposed *Value
	asked    map[string]bool
	promised votes
	holders  votes // members that have accepted best under its ballot
	accepted votes
	lost     map[string]bool // members whose vote will not come in this phase
	result   Result
}

// Begin starts a proposal from a value that some voter has accepted. The value
// may be known to be decided.
func (p *Proposer) Begin(known Versioned, decided bool, change Change) (*Proposal, []Envelope) {
	p.Observe(known.Ballot)
	proposal := &Proposal{proposer: p, change: change}
	if decided {
		proposal.settled = known.Ballot
	}
	return proposal, proposal.prepare(known)
}

// Result returns how the proposal ended, once it has.
func (p *Proposal) Result() (Result, bool) { return p.result, p.phase == ended }

// Deliver handles the answer of a member.
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

// Fail notes that a member does not answer in the present phase.
func (p *Proposal) Fail(from string) []Envelope {
	if p.phase != ended {
		p.lose(from)
	}
	return nil
}

// prepare begins the first round under a new ballot.
func (p *Proposal) prepare(known Versioned) []Envelope {
	p.phase, p.ballot, p.best, p.proposed = preparing, p.proposer.next(), known, nil
	p.asked, p.lost = map[string]bool{}, map[string]bool{}
	p.promised, p.holders, p.accepted = votes{}, votes{}, votes{}
	return p.ask()
}

// ask sends Prepare to those voters of the best value that have not got it.
func (p *Proposal) ask() []Envelope {
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
		p.lose(from)
		return nil
	}
	p.promised[from] = answer.Disk
	var out []Envelope
	switch order := answer.Accepted.Compare(p.best.Ballot); {
	case order == 0:
		p.holders[from] = answer.Disk
	case order > 0 && answer.Value == nil:
		delete(p.promised, from)
		p.lose(from)
		return nil
	case order > 0:
		p.best = Versioned{Ballot: answer.Accepted, Value: answer.Value}
		p.holders = votes{from: answer.Disk}
		out = p.ask()
	}
	if !p.promised.decide(p.best.Value) {
		return out
	}
	return append(out, p.propose()...)
}

// propose begins the second round. A value that may not be decided is finished
// before the change is applied or answered.
func (p *Proposal) propose() []Envelope {
	if p.bestIsDecided() {
		return p.apply(p.best)
	}
	p.phase = finishing
	return p.accept(p.best.Value)
}

// bestIsDecided reports whether the best value is known to be decided. The
// value of the first start, under the zero ballot, always is.
func (p *Proposal) bestIsDecided() bool {
	return p.best.Ballot == (Ballot{}) || p.best.Ballot == p.settled || p.holders.decide(p.best.Value)
}

// apply makes the change of a decided value, under the present ballot.
func (p *Proposal) apply(current Versioned) []Envelope {
	next, outcome := p.change(current.Value)
	if next == nil {
		p.end(Result{Outcome: outcome, Decided: current})
		return nil
	}
	p.phase = accepting
	return p.accept(follow(current.Value, next))
}

func (p *Proposal) accept(value *Value) []Envelope {
	p.proposed, p.accepted, p.lost = value, votes{}, map[string]bool{}
	var out []Envelope
	for _, address := range value.Voters() {
		out = append(out, Envelope{To: address, Message: Accept{Ballot: p.ballot, Value: value}})
	}
	return out
}

func (p *Proposal) onAccepted(from string, answer Accepted) []Envelope {
	p.proposer.Observe(answer.Promised)
	if (p.phase != finishing && p.phase != accepting) || answer.Ballot != p.ballot {
		return nil
	}
	if answer.Status != Granted {
		p.lose(from)
		return nil
	}
	p.accepted[from] = answer.Disk
	if !p.accepted.decide(p.proposed) {
		return nil
	}
	return p.decided(Versioned{Ballot: p.ballot, Value: p.proposed})
}

// decided announces a decided value, and goes on where it was not the change.
func (p *Proposal) decided(decided Versioned) []Envelope {
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
	p.settled = decided.Ballot
	return append(out, p.prepare(decided)...)
}

// lose gives a vote up, and the proposal when too few votes can come.
func (p *Proposal) lose(from string) {
	p.lost[from] = true
	value := p.best.Value
	if p.phase != preparing {
		value = p.proposed
	}
	if !possible(value, p.lost) {
		p.end(Result{Outcome: Undecided})
	}
}

func (p *Proposal) end(result Result) { p.phase, p.result = ended, result }
