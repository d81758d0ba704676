package peers

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/sock"
)

const (
	tick   = 100 * time.Microsecond // unit of the clock in frames, which turns over after 5 days
	lapse  = 2 * time.Second        // after so much silence a peer's clock may begin anew
	turn   = 64                     // datagrams read in one turn of the loop
	logGap = 10 * time.Second       // least time between two lines about datagrams passed over
)

// Addresses says where messages between dispatchers go.
type Addresses struct {
	Listen netip.AddrPort   // where they arrive; not valid: there are none
	Peers  []netip.AddrPort // by dispatcher's number, this one's own as well
	All    netip.AddrPort   // reaches every dispatcher; not valid: each is sent to
	Me     int
}

// Heard is told of each message that arrives; the bytes are the callee's only for the
// time of the call.
type Heard func(from int, kind Kind, message []byte)

// Link sends and receives messages. It belongs to the loop's goroutine.
type Link struct {
	loop   *loop.Loop
	log    zerolog.Logger
	heard  Heard
	to     Addresses
	fd     int
	from   map[netip.AddrPort]int
	last   []latest // by dispatcher
	out    []byte
	in     [Most + 1]byte
	passed map[string]int // datagrams passed over, by reason, since they were last logged
	logged time.Duration
}

// latest is the newest message taken from a process of a dispatcher, which has two
// while one takes over from the other.
type latest struct {
	tick [kinds]uint32
	at   [kinds]time.Duration
}

// Open begins to listen.
func Open(l *loop.Loop, log zerolog.Logger, to Addresses, heard Heard) (*Link, error) {
	k := &Link{loop: l, log: log, heard: heard, passed: map[string]int{}}
	var err error
	if k.fd, err = sock.Datagrams(to.Listen); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	k.Set(to)
	if err := l.Add(k.fd, loop.In, k); err != nil {
		sock.Close(k.fd)
		return nil, fmt.Errorf("peers: %w", err)
	}
	return k, nil
}

// Set changes where messages go and from where they are taken; the address to listen
// at stays.
func (k *Link) Set(to Addresses) {
	k.to, k.from = to, map[netip.AddrPort]int{}
	for i, a := range to.Peers {
		if i != to.Me {
			k.from[a] = i
		}
	}
	for len(k.last) < len(to.Peers) {
		k.last = append(k.last, latest{})
	}
}

// Tell sends a message to every peer. It may be lost, and is not sent where it is too long.
func (k *Link) Tell(kind Kind, message []byte) {
	if len(message) > Room {
		k.pass("too long to send")
		return
	}
	k.out = appendFrame(k.out[:0], kind, uint32(k.loop.Now()/tick), message)
	if k.to.All.IsValid() {
		k.send(k.to.All)
		return
	}
	for i, a := range k.to.Peers {
		if i != k.to.Me {
			k.send(a)
		}
	}
}

// TellOne sends a message to one peer; it may be lost.
func (k *Link) TellOne(peer int, kind Kind, message []byte) {
	if len(message) > Room || peer < 0 || peer >= len(k.to.Peers) || peer == k.to.Me {
		k.pass("not to be sent")
		return
	}
	k.out = appendFrame(k.out[:0], kind, uint32(k.loop.Now()/tick), message)
	k.send(k.to.Peers[peer])
}

// send sends what is in the frame. What the socket does not take now is lost, as any
// datagram may be.
func (k *Link) send(to netip.AddrPort) {
	if err := sock.SendTo(k.fd, k.out, to); err != nil && err != sock.ErrWait {
		k.pass("not sent")
	}
}

// Ready implements loop.Handler.
func (k *Link) Ready(uint32) {
	for range turn {
		n, from, err := sock.ReceiveFrom(k.fd, k.in[:])
		if err != nil {
			return // nothing there, or the word of one that could not be sent
		}
		k.take(k.in[:n], from)
	}
}

// take hands a datagram on if it is whole, a peer's, and no older than the last.
func (k *Link) take(data []byte, from netip.AddrPort) {
	peer, known := k.from[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		if n := k.to.Me; n < 0 || n >= len(k.to.Peers) || from != k.to.Peers[n] { // its own come back from All
			k.pass("stranger")
		}
		return
	}
	kind, at, message, why := readFrame(data)
	if why != "" {
		k.pass(why)
		return
	}
	if kind >= kinds {
		k.pass("kind")
		return
	}
	last, now := &k.last[peer], k.loop.Now()
	if int32(at-last.tick[kind]) < 0 && now-last.at[kind] < lapse {
		k.pass("old")
		return
	}
	last.tick[kind], last.at[kind] = at, now
	k.heard(peer, kind, message)
}

// pass counts a datagram that was passed over and tells of them now and then. Guards
// against a log that a stranger can fill.
func (k *Link) pass(why string) {
	k.passed[why]++
	if now := k.loop.Now(); k.logged == 0 || now-k.logged >= logGap {
		k.logged = now
		line := k.log.Warn()
		for why, n := range k.passed {
			line = line.Int(why, n)
		}
		line.Msg("datagrams passed over")
		clear(k.passed)
	}
}

// Close stops listening.
func (k *Link) Close() { k.loop.CloseFD(k.fd) }
