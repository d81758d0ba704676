// Package listener opens listening sockets for stand-ins that are stopped and started again at one address.
package listener

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// inheritedFor bounds how long a closed listening socket may live on in another process: one that
	// is forked while the socket is open holds it until it executes its program, as the descriptor is
	// closed only then.
	inheritedFor = 3 * time.Second
	// retryInterval is the pause between two attempts.
	retryInterval = 5 * time.Millisecond
)

// Listen listens at a TCP address. While the address is in use it tries again for a bounded time.
func Listen(address string) (net.Listener, error) {
	last := time.Now().Add(inheritedFor)
	for {
		l, err := net.Listen("tcp4", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || !time.Now().Before(last) {
			return l, err
		}
		time.Sleep(retryInterval)
	}
}
