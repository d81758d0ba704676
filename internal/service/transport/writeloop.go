package transport

import (
	"context"
	"errors"
	"net"
)

// writeLoop writes queued envelopes to a connection.
type writeLoop struct {
	conn     net.Conn
	writer   *frameWriter
	queue    <-chan envelope
	writing  *stopwatch                                 // measures each write
	tooLarge func(rejected envelope, cause error) error // handles an envelope that does not fit into a frame
}

// run writes envelopes and flushes when the queue is empty. It closes the connection when it returns, which ends the
// reader as well.
func (l *writeLoop) run(ctx context.Context) {
	defer l.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-l.queue:
			l.writing.start()
			if l.write(next) != nil {
				return
			}
		}
		for more := true; more; {
			select {
			case next := <-l.queue:
				if l.write(next) != nil {
					return
				}
			default:
				more = false
			}
		}
		if l.writer.flush() != nil {
			return
		}
		l.writing.stop()
	}
}

// write writes one envelope, or rejects it if it is too large.
func (l *writeLoop) write(next envelope) error {
	err := l.writer.write(next)
	if tooLarge := (*frameTooLargeError)(nil); errors.As(err, &tooLarge) {
		return l.tooLarge(next, err)
	}
	return err
}
