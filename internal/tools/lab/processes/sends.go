package processes

import (
	"net/netip"
	"sync"
	"time"
)

// sends keeps, for each connection, when the first byte of the request in hand on it left its
// dispatcher. For drains a send's time runs from its first byte (PROTOCOL, "Rules"): a request that
// a dark link holds arrives long after that.
type sends struct {
	mu sync.Mutex
	at map[netip.AddrPort]time.Time // by the address that the sender sees the connection come from
}

func newSends() *sends { return &sends{at: map[netip.AddrPort]time.Time{}} }

// sent books that bytes of a request have left the dispatcher; the first ones count.
func (s *sends) sent(from netip.AddrPort, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, begun := s.at[from]; !begun {
		s.at[from] = at
	}
}

// answered books that an answer has gone back, or that the connection is over: what the
// dispatcher sends from then on is another request.
func (s *sends) answered(from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.at, from)
}

// first is when the request in hand left its dispatcher; now where no link has carried it.
func (s *sends) first(from netip.AddrPort) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, begun := s.at[from]; begun {
		return at
	}
	return time.Now()
}
