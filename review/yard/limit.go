package yard

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener takes a number of connections at once and resets those beyond.
type limitedListener struct {
	net.Listener
	limit int
	open  atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.limit == 0 {
			return conn, err
		}
		if l.open.Add(1) <= int64(l.limit) {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close closes the connection and makes room for another one.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
