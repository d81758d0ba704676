package worker

import "net"

// repeatingListener opens connections on which some answers are given twice.
type repeatingListener struct {
	net.Listener
	every int // one answer in so many; 0: none
}

// Accept returns the next connection.
func (l *repeatingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.every <= 0 {
		return conn, err
	}
	return &repeatingConn{Conn: conn, every: l.every}, nil
}

// repeatingConn holds a second copy of some answers back until the next answer, and sends
// it before that one. The worker's answers are small: each is one call of Write.
type repeatingConn struct {
	net.Conn
	every   int
	written int
	held    []byte
}

// Write sends an answer.
func (c *repeatingConn) Write(answer []byte) (int, error) {
	before := len(c.held)
	n, err := c.Conn.Write(append(c.held, answer...))
	c.held = nil
	if c.written++; c.written%c.every == 0 {
		c.held = append(c.held, answer...)
	}
	return max(0, n-before), err
}
