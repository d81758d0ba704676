// Package simnet is a network in memory for simulations in virtual time. It
// connects processes on machines, and can cut links, freeze machines, end
// processes and take the power from machines.
package simnet

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	loopback    = "127.0.0.1"
	localDelay  = 20 * time.Microsecond
	silenceMost = 3 * time.Second // after which an end gives up bytes that nobody acknowledged
)

// link is a direction between two machines.
type link struct{ from, to string }

// Network connects machines, which are named by their IP addresses.
type Network struct {
	mutex       sync.Mutex
	delay       func(from, to string) time.Duration
	waiters     map[*connection][]chan struct{}
	idle        map[chan struct{}]bool // dials and accepts that wait for any change
	connections map[*connection]bool
	listeners   map[string]*listener // by machine and address
	cuts        map[link]bool
	frozen      map[string]bool
	silent      map[string]bool // without power
	ports       int
}

// New returns a network whose links have the delays that a function tells.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{
		delay: delay, waiters: map[*connection][]chan struct{}{}, idle: map[chan struct{}]bool{},
		connections: map[*connection]bool{}, listeners: map[string]*listener{},
		cuts: map[link]bool{}, frozen: map[string]bool{}, silent: map[string]bool{},
	}
}

// Process returns the network as one process on a machine uses it.
func (n *Network) Process(machine string) *Process { return &Process{network: n, machine: machine} }

// Cut cuts one direction between two machines or joins it. Bytes wait meanwhile.
func (n *Network) Cut(from, to string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !cut {
		delete(n.cuts, link{from, to})
		n.broadcast()
		return
	}
	n.cuts[link{from, to}] = true
	for c := range n.connections {
		if c.local == from && c.remote == to && c.outgoing.waiting > 0 {
			n.watchSilence(c)
		}
	}
}

// Reset resets all connections between two machines.
func (n *Network) Reset(a, b string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for c := range n.connections {
		if c.local == a && c.remote == b || c.local == b && c.remote == a {
			n.breakEnd(c, syscall.ECONNRESET)
		}
	}
}

// Freeze stops all input and output of a machine's processes or lets them go on.
func (n *Network) Freeze(machine string, frozen bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.frozen[machine] = frozen
	n.broadcast()
}

// Power takes the power from a machine, or gives it back. The processes that
// ran there must be ended beside it.
func (n *Network) Power(machine string, on bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.silent[machine] = !on
	for c := range n.connections {
		if c.remote == machine && c.peer.closed && on {
			n.after(n.latency(c.local, c.remote), func() { n.breakEnd(c, syscall.ECONNRESET) })
		}
	}
	n.broadcast()
}

// blocked reports whether bytes do not pass in a direction. The mutex is held.
func (n *Network) blocked(from, to string) bool {
	return n.cuts[link{from, to}] || n.silent[from] || n.silent[to]
}

func (n *Network) latency(from, to string) time.Duration {
	if from == to {
		return localDelay
	}
	return n.delay(from, to)
}

// after runs a function with the mutex held, later.
func (n *Network) after(span time.Duration, run func()) {
	time.AfterFunc(span, func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		run()
	})
}

// watchSilence breaks a connection whose bytes are not acknowledged for long.
func (n *Network) watchSilence(c *connection) {
	n.after(silenceMost, func() {
		if !c.closed && c.outgoing.waiting > 0 && (n.blocked(c.local, c.remote) || n.blocked(c.remote, c.local)) {
			n.breakEnd(c, syscall.ETIMEDOUT)
		}
	})
}

// breakEnd makes one end fail; the other learns of it when it sends. The mutex
// is held.
func (n *Network) breakEnd(c *connection, failure error) {
	if c.incoming.failure == nil {
		c.incoming.failure = failure
	}
	n.wake(c)
	if !n.blocked(c.local, c.remote) && c.peer.incoming.failure == nil {
		c.peer.incoming.failure = syscall.ECONNRESET
		n.wake(c.peer)
	}
}

// deliverEnd tells the peer that an end was closed; a cut holds that up.
func (n *Network) deliverEnd(c, peer *connection, failure error) {
	if n.blocked(c.local, c.remote) {
		if !peer.closed {
			n.after(100*time.Millisecond, func() { n.deliverEnd(c, peer, failure) })
		}
		return
	}
	peer.incoming.ended = true
	if failure != nil && peer.incoming.failure == nil {
		peer.incoming.failure = failure
	}
	n.wake(peer)
}

// wait releases the mutex until something happens to a connection, or a moment.
func (n *Network) wait(c *connection, until time.Time) {
	signal := make(chan struct{})
	n.waiters[c] = append(n.waiters[c], signal)
	n.mutex.Unlock()
	await(context.Background(), signal, until)
	n.mutex.Lock()
}

// waitIdle releases the mutex until anything changes or the context ends.
func (n *Network) waitIdle(ctx context.Context) {
	signal := make(chan struct{})
	n.idle[signal] = true
	n.mutex.Unlock()
	await(ctx, signal, time.Time{})
	n.mutex.Lock()
	delete(n.idle, signal)
}

func await(ctx context.Context, signal <-chan struct{}, until time.Time) {
	var expiry <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		expiry = timer.C
	}
	select {
	case <-signal:
	case <-expiry:
	case <-ctx.Done():
	}
}

// wake wakes those who wait on one end.
func (n *Network) wake(c *connection) {
	for _, signal := range n.waiters[c] {
		close(signal)
	}
	delete(n.waiters, c)
}

// broadcast wakes everybody.
func (n *Network) broadcast() {
	for c := range n.waiters {
		n.wake(c)
	}
	for signal := range n.idle {
		close(signal)
		delete(n.idle, signal)
	}
}

// Process is the network of one process. It implements network.Network.
type Process struct {
	network *Network
	machine string
	dead    bool
}

// Kill ends all that the process has open.
func (p *Process) Kill() {
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p.dead = true
	for c := range n.connections {
		if c.owner == p {
			c.closeLocked()
		}
	}
	for key, l := range n.listeners {
		if l.owner == p {
			l.closed = true
			delete(n.listeners, key)
			for _, c := range l.queue {
				c.closeLocked()
			}
		}
	}
	n.broadcast()
}

// key names a listener; loopback addresses belong to their machine.
func (p *Process) key(address string) (key, machine string) {
	host, _, _ := net.SplitHostPort(address)
	if host == loopback {
		return p.machine + "/" + address, p.machine
	}
	return address, host
}

// Listen accepts connections at an address of the process's machine.
func (p *Process) Listen(at string) (net.Listener, error) {
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key, _ := p.key(at)
	if p.dead || n.listeners[key] != nil {
		return nil, fmt.Errorf("listen %s: %w", at, syscall.EADDRINUSE)
	}
	l := &listener{owner: p, key: key, address: address(at)}
	n.listeners[key] = l
	return l, nil
}

// Dial connects to an address.
func (p *Process) Dial(ctx context.Context, at string) (net.Conn, error) {
	n := p.network
	key, remote := p.key(strings.TrimPrefix(at, "tcp://"))
	n.mutex.Lock()
	trip := 2 * n.latency(p.machine, remote)
	n.mutex.Unlock()
	timer := time.NewTimer(trip)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, dialFailure(at, ctx.Err())
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for {
		l := n.listeners[key]
		switch {
		case p.dead:
			return nil, dialFailure(at, net.ErrClosed)
		case ctx.Err() != nil:
			return nil, dialFailure(at, ctx.Err())
		case n.frozen[p.machine] || n.blocked(p.machine, remote) || n.blocked(remote, p.machine): // wait
		case l == nil:
			return nil, dialFailure(at, syscall.ECONNREFUSED)
		default:
			return n.connect(p, l, remote), nil
		}
		n.waitIdle(ctx)
	}
}

func dialFailure(at string, cause error) error { return fmt.Errorf("dial %s: %w", at, cause) }

// connect makes a connection to a listener. The mutex is held.
func (n *Network) connect(p *Process, l *listener, remote string) *connection {
	n.ports++
	from := address(fmt.Sprintf("%s:%d", p.machine, 20000+n.ports%40000))
	up, down := &stream{}, &stream{}
	near := &connection{
		network: n, owner: p, local: p.machine, remote: remote, localAddress: from, remoteAddress: l.address,
		incoming: down, outgoing: up,
	}
	far := &connection{
		network: n, owner: l.owner, local: remote, remote: p.machine, localAddress: l.address, remoteAddress: from,
		incoming: up, outgoing: down, peer: near,
	}
	near.peer = far
	n.connections[near], n.connections[far] = true, true
	l.queue = append(l.queue, far)
	n.broadcastIdle()
	return near
}

func (n *Network) broadcastIdle() {
	for signal := range n.idle {
		close(signal)
		delete(n.idle, signal)
	}
}

// listener accepts the connections to one address.
type listener struct {
	owner   *Process
	key     string
	address address
	queue   []*connection
	closed  bool
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	n := l.owner.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for {
		switch {
		case l.closed:
			return nil, net.ErrClosed
		case len(l.queue) > 0 && !n.frozen[l.owner.machine]:
			c := l.queue[0]
			l.queue = l.queue[1:]
			return c, nil
		}
		n.waitIdle(context.Background())
	}
}

// Close stops listening.
func (l *listener) Close() error {
	n := l.owner.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !l.closed {
		l.closed = true
		delete(n.listeners, l.key)
		n.broadcast()
	}
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return l.address }
