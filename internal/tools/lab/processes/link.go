package processes

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// state is what a link between two parties does.
type state uint8

// The states. Open connections of a dark link stay open and silent, and new ones never
// come up; a silent one takes connections and passes nothing on; a cut one resets both.
const (
	open state = iota
	dark
	silent
	cut
)

var states = map[string]state{"heal": open, "dark": dark, "silent": silent, "cut": cut}

// link carries connections from one party to another.
type link struct {
	from, at, to netip.AddrPort // the party behind it sees it come from from
	listener     *net.TCPListener
	sends        *sends

	mu      sync.Mutex
	changed *sync.Cond
	state   state
	over    bool
	conns   map[net.Conn]struct{}
	fillers []net.Conn // that keep the queue of a dark link full
}

// listen opens a listening socket whose queue holds one connection: once it is full the
// kernel lets others' first packets go unanswered, as a machine that is not there.
func listen(at netip.AddrPort) (*net.TCPListener, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		if err = unix.Bind(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err == nil {
			err = unix.Listen(fd, 0)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", at, err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

func newLink(from, at, to netip.AddrPort, times *sends) (*link, error) {
	l := &link{from: from, at: at, to: to, sends: times, conns: map[net.Conn]struct{}{}}
	l.changed = sync.NewCond(&l.mu)
	var err error
	if l.listener, err = listen(at); err != nil {
		return nil, err
	}
	go l.serve()
	return l, nil
}

// set changes what the link does.
func (l *link) set(s state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == s || l.over {
		return
	}
	l.state = s
	for _, c := range l.fillers {
		c.Close()
	}
	l.fillers = nil
	switch s {
	case dark:
		for n, refused := 0, 0; n < 8 && refused < 2; n++ { // full when two in a row do not come up
			c, err := net.DialTimeout("tcp", l.at.String(), 100*time.Millisecond)
			if err != nil {
				refused++
				continue
			}
			refused = 0
			l.fillers = append(l.fillers, c)
		}
	case cut:
		for c := range l.conns {
			reset(c)
		}
	}
	l.changed.Broadcast()
}

// reset closes a connection so that the other side sees it break.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// pass waits until bytes go through; false: the link is over.
func (l *link) pass() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for (l.state == dark || l.state == silent) && !l.over {
		l.changed.Wait()
	}
	return !l.over && l.state == open
}

func (l *link) serve() {
	for {
		l.mu.Lock()
		for l.state == dark && !l.over {
			l.changed.Wait()
		}
		l.mu.Unlock()
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		held := l.state == dark // it fell between: this one has come up, and nothing more
		gone := l.over || l.state == cut
		if !gone {
			l.conns[c] = struct{}{}
		}
		l.mu.Unlock()
		if gone {
			reset(c)
		} else if held {
			go func() { l.pass(); l.drop(c) }()
		} else {
			go l.carry(c)
		}
	}
}

func (l *link) drop(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	reset(c)
}

// pieceSize is the most that a link reads from a connection at once.
const pieceSize = 16 << 10

// carry passes a connection's bytes on, both ways, as long as the link lets them. The first ones
// are read whatever it lets, so that it is known when they were sent.
func (l *link) carry(c net.Conn) {
	defer l.drop(c)
	first := make([]byte, pieceSize)
	n, err := c.Read(first)
	began := time.Now()
	if err != nil || !l.pass() {
		return
	}
	d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(l.from.Addr(), 0)), Timeout: time.Second}
	back, err := d.Dial("tcp", l.to.String())
	if err != nil {
		return
	}
	l.mu.Lock()
	l.conns[back] = struct{}{}
	l.mu.Unlock()
	defer l.drop(back)
	name := back.LocalAddr().(*net.TCPAddr).AddrPort()
	defer l.sends.answered(name)
	l.sends.sent(name, began)
	if _, err := back.Write(first[:n]); err != nil {
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		l.copy(back, c, func() { l.sends.sent(name, time.Now()) })
	}()
	go func() {
		defer both.Done()
		l.copy(c, back, func() { l.sends.answered(name) })
	}()
	both.Wait()
}

// copy passes bytes on one way until an end or an error; came is called as some have come.
func (l *link) copy(to, from net.Conn, came func()) {
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			came()
			if l.pass() {
				_, err = to.Write(buf[:n])
			}
		}
		switch {
		case err == io.EOF:
			to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			reset(from)
			reset(to)
			return
		}
	}
}

func (l *link) close() {
	l.mu.Lock()
	l.over = true
	for c := range l.conns {
		reset(c)
	}
	for _, c := range l.fillers {
		c.Close()
	}
	l.changed.Broadcast()
	l.mu.Unlock()
	l.listener.Close()
}

// post carries datagrams between dispatchers: from the address at which i reaches j, to j,
// as if sent from where j reaches i.
type post struct {
	mu      sync.Mutex
	rng     *rand.Rand
	lost    float64 // part of the datagrams that is lost
	doubled float64
	late    time.Duration // most that one is held, so that some overtake others
	deaf    map[[2]int]bool
	sent    int
	bytes   int
	conns   map[[2]int]*net.UDPConn
	reach   []netip.AddrPort // where each listens
}

func (p *post) open(i, j int, at netip.AddrPort) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("datagrams at %s: %w", at, err)
	}
	p.conns[[2]int{i, j}] = c
	return nil
}

// serve passes on what i sends to j.
func (p *post) serve(i, j int) {
	buf := make([]byte, 2048)
	c, back := p.conns[[2]int{i, j}], p.conns[[2]int{j, i}]
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		data := append([]byte(nil), buf[:n]...)
		p.mu.Lock()
		p.sent++
		p.bytes += n
		times := 1
		if p.rng.Float64() < p.doubled {
			times = 2
		}
		if p.deaf[[2]int{i, j}] || p.rng.Float64() < p.lost {
			times = 0
		}
		hold := time.Duration(p.rng.Float64() * float64(p.late))
		p.mu.Unlock()
		for range times {
			time.AfterFunc(hold, func() { back.WriteToUDPAddrPort(data, p.reach[j]) })
		}
	}
}

func (p *post) close() {
	for _, c := range p.conns {
		c.Close()
	}
}
