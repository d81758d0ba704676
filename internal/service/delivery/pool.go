package delivery

import (
	"slices"
	"time"
)

// pool holds the connections to one address.
type pool struct {
	open int // in use, idle or being opened
	idle []*connection

	abandoned bool // connections are closed after use
}

// takeIdle takes the connection that was used last, or books a new one and returns
// nil. A connection is never used for two deliveries of one message: a second answer
// to the first, however late, would pass for that to the second.
func (c *Client) takeIdle(request *Request) (*connection, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[request.Address]
	if p == nil {
		p = &pool{}
		c.pools[request.Address] = p
	}
	p.abandoned = false
	p.closeExpired(c.now())
	for i := len(p.idle) - 1; i >= 0; i-- {
		if conn := p.idle[i]; !conn.hasCarried(request.Head.ID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			conn.reused = true
			return conn, nil
		}
	}
	if most := request.MaxConnections; most > 0 && p.open >= most {
		if len(p.idle) == 0 {
			return nil, ErrNoConnection
		}
		p.closeOldest()
	}
	p.open++
	return nil, nil
}

// put keeps a connection for later.
func (c *Client) put(conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[conn.address]
	if p == nil || c.closed {
		conn.close()
		return
	}
	if p.abandoned {
		conn.close()
		if p.open--; p.open <= 0 {
			delete(c.pools, conn.address)
		}
		return
	}
	conn.expires = c.now().Add(conn.idleFor)
	p.idle = append(p.idle, conn)
	if !c.sweeping {
		c.sweeping = true
		time.AfterFunc(sweepEvery, c.sweep)
	}
}

// Abandon closes the idle connections to some addresses, and those in use once their deliveries have ended,
// unless another delivery to the address begins before.
func (c *Client) Abandon(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, address := range addresses {
		p := c.pools[address]
		if p == nil {
			continue
		}
		p.abandoned = true
		if p.closeIdle(); p.open <= 0 {
			delete(c.pools, address)
		}
	}
}

// discard closes a connection for good.
func (c *Client) discard(conn *connection) {
	conn.close()
	c.release(conn.address)
}

// release books that a connection is gone.
func (c *Client) release(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.pools[address]; p != nil {
		if p.open--; p.open <= 0 {
			delete(c.pools, address)
		}
	}
}

// sweep closes the connections that their senders would close soon.
func (c *Client) sweep() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	idle := 0
	for address, p := range c.pools {
		p.closeExpired(c.now())
		if idle += len(p.idle); p.open <= 0 {
			delete(c.pools, address)
		}
	}
	if c.sweeping = idle > 0 && !c.closed; c.sweeping {
		time.AfterFunc(sweepEvery, c.sweep)
	}
}

// Idle is how many connections are kept for later.
func (c *Client) Idle() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	idle := 0
	for _, p := range c.pools {
		idle += len(p.idle)
	}
	return idle
}

func (p *pool) closeExpired(now time.Time) {
	p.idle = slices.DeleteFunc(p.idle, func(conn *connection) bool {
		expired := !now.Before(conn.expires)
		if expired {
			conn.close()
			p.open--
		}
		return expired
	})
}

func (p *pool) closeOldest() {
	p.idle[0].close()
	p.idle = slices.Delete(p.idle, 0, 1)
	p.open--
}

func (p *pool) closeIdle() {
	for len(p.idle) > 0 {
		p.closeOldest()
	}
}
