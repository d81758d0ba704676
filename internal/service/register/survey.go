package register

// Survey collects the answers of all voters to one Read. If a quorum agrees, it
// finds the decided value without a write.
type Survey struct {
	best          Versioned
	bestAcceptors votes
	answered      votes
}

// NewSurvey begins a read from an earlier value of the register; the value is nil
// if the caller knows none yet.
func NewSurvey(known Versioned) *Survey {
	return &Survey{best: known, bestAcceptors: votes{}, answered: votes{}}
}

// Best returns the highest accepted value found so far.
func (s *Survey) Best() Versioned { return s.best }

// Deliver handles one answer. It reports whether a newer value was found, which
// may name voters that have not been asked.
func (s *Survey) Deliver(from string, reply ReadReply) bool {
	if s.best.Value == nil && reply.Value == nil {
		return false
	}
	newer := reply.Value != nil && (s.best.Value == nil || s.best.Ballot.Less(reply.Accepted))
	if newer {
		s.best = Versioned{Ballot: reply.Accepted, Value: reply.Value}
		s.bestAcceptors = votes{}
	}
	s.answered[from] = reply.Disk
	if reply.Voter && reply.Accepted == s.best.Ballot {
		s.bestAcceptors[from] = reply.Disk
	}
	return newer
}

// Decided returns the newest decided value if the answers prove it.
func (s *Survey) Decided() (Versioned, bool) {
	if s.best.Value == nil || !s.bestAcceptors.suffice(s.best.Value) {
		return Versioned{}, false
	}
	return s.best, true
}
