// Package network abstracts the network that a process uses. Roles take it from
// their settings, so that a simulation can replace TCP by its own network.
package network

import (
	"context"
	"net"
	"time"
)

// Network listens for connections and opens them.
type Network interface {
	// Listen accepts connections at an address with a port.
	Listen(address string) (net.Listener, error)
	// Dial connects to an address with a port.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the network of the operating system.
var TCP Network = tcp{}

type tcp struct{}

// Listen accepts connections over IPv4.
func (tcp) Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// Dial connects over IPv4.
func (tcp) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}

// DialFunc has the signature of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that dials on a network with a timeout.
func Dialer(n Network, timeout time.Duration) DialFunc {
	if n == TCP {
		return (&net.Dialer{Timeout: timeout}).DialContext
	}
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return n.Dial(ctx, address)
	}
}
