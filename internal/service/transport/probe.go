package transport

import (
	"context"
	"errors"
	"syscall"

	"yardwharf/internal/service/network"
)

// Reachability is what an attempt to connect tells about a process.
type Reachability uint8

// The results of a probe.
const (
	Unreachable Reachability = iota // no answer: its machine may be off or cut off
	Refused                         // its machine answers, but nothing listens there: the process has ended
	Listening                       // the process exists; it may be stalled
)

// Probe tries to connect to the internal address of a process. A stalled process is found as well, because its
// machine accepts the connection.
func Probe(ctx context.Context, on network.Network, address string) Reachability {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := on.Dial(ctx, address)
	switch {
	case err == nil:
		_ = conn.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	default:
		return Unreachable
	}
}
