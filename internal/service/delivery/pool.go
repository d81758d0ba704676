package delivery

import (
	"slices"
	"time"
)

// pool holds the connections to one address.
type pool struct {
	open int // in use, idle or being opened
	idle []*connection

	limit     int  // of open connections; 0 means no limit
	abandoned bool // connections are closed after use
}

// takeIdleOrReserve takes the most recently used idle connection, or reserves a slot for a
// new one and returns nil. A connection never carries two deliveries of one message: a late
// second response to the first would be mistaken for the response to the second.
func (c *Client) takeIdleOrReserve(request *Request) (*connection, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[request.Address]
	if p == nil {
		p = &pool{}
		c.pools[request.Address] = p
	}
	p.abandoned = false
	p.limit = request.MaxConnections
	p.closeExpired(c.now())
	for i := len(p.idle) - 1; i >= 0; i-- {
		if conn := p.idle[i]; !conn.hasCarried(request.Head.ID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			conn.reused = true
			return conn, nil
		}
	}
	if limit := request.MaxConnections; limit > 0 && p.open >= limit {
		if len(p.idle) == 0 {
			return nil, ErrNoConnection
		}
		p.closeOldest()
	}
	p.open++
	return nil, nil
}

// putIdle returns a connection to its pool, or closes it if the client is closed, the address
// was abandoned or too many connections are open.
func (c *Client) putIdle(conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[conn.address]
	if p == nil || c.closed {
		conn.close()
		return
	}
	if p.abandoned || p.limit > 0 && p.open > p.limit {
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
		time.AfterFunc(sweepInterval, c.sweep)
	}
}

// Abandon closes the idle connections to the given addresses, and those in use once their deliveries have
// ended, unless another delivery to the address begins first.
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

// Limit sets how many connections to the given addresses may be open; 0 means no limit. Idle connections beyond the limit
// are closed, as another process may wait for them, and those in use once their deliveries have ended.
func (c *Client) Limit(addresses []string, limit int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, address := range addresses {
		p := c.pools[address]
		if p == nil {
			continue
		}
		p.limit = limit
		for limit > 0 && p.open > limit && len(p.idle) > 0 {
			p.closeOldest()
		}
	}
}

// discard closes a connection and frees its slot.
func (c *Client) discard(conn *connection) {
	conn.close()
	c.releaseSlot(conn.address)
}

// releaseSlot frees the slot of a connection that is closed or could not be opened.
func (c *Client) releaseSlot(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.pools[address]; p != nil {
		if p.open--; p.open <= 0 {
			delete(c.pools, address)
		}
	}
}

// sweep closes the idle connections that have expired, before their senders close them.
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
		time.AfterFunc(sweepInterval, c.sweep)
	}
}

// IdleConnections returns the number of idle connections.
func (c *Client) IdleConnections() int {
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
