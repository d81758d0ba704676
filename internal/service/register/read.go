package register

// Survey collects the answers to one Read of every voter. It finds the decided
// value without a write where the voters agree.
type Survey struct {
	best     Versioned
	holders  votes
	answered votes
}

// NewSurvey begins a read from a value that was the register's at some time; it
// may have no value where the caller knows none yet.
func NewSurvey(known Versioned) *Survey {
	return &Survey{best: known, holders: votes{}, answered: votes{}}
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
		s.holders = votes{}
	}
	s.answered[from] = reply.Disk
	if reply.Voter && reply.Accepted == s.best.Ballot {
		s.holders[from] = reply.Disk
	}
	return newer
}

// Decided returns the newest decided value, where the answers show it.
func (s *Survey) Decided() (Versioned, bool) {
	if s.best.Value == nil || !s.holders.decide(s.best.Value) {
		return Versioned{}, false
	}
	return s.best, true
}
