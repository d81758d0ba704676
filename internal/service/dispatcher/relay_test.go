package dispatcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/verdict"
	"yardwharf/internal/service/view"
	"yardwharf/internal/simulation/simnet"
)

// connectionLimit resets the connections beyond a limit.
type connectionLimit struct {
	net.Listener
	mutex   sync.Mutex
	open    int
	limit   int
	refused int
}

// Accept returns the next connection within the limit.
func (l *connectionLimit) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return conn, err
		}
		l.mutex.Lock()
		l.open++
		within := l.open <= l.limit
		if !within {
			l.open--
			l.refused++
		}
		l.mutex.Unlock()
		if within {
			return &limitedConn{Conn: conn, limit: l}, nil
		}
		_ = conn.Close()
	}
}

type limitedConn struct {
	net.Conn
	limit *connectionLimit
	once  sync.Once
}

// Close makes room for another connection.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		c.limit.mutex.Lock()
		c.limit.open--
		c.limit.mutex.Unlock()
	})
	return c.Conn.Close()
}

// relayFleet is a number of dispatchers that deliver to an endpoint with one connection.
type relayFleet struct {
	dispatchers []*Dispatcher
	queues      []*ownedQueue
	peers       []*simnet.Process
	limit       *connectionLimit
	end         func()

	mutex sync.Mutex
	runs  map[string]int
}

const endpointConfiguration = `{"revision":2,"routes":[{"name":"r","hostname":"a.example","pathPrefix":"/a/","timeoutMs":2000,` +
	`"service":"s","maxRetries":3,"retentionS":90}],"services":[{"name":"s","maxConns":1,"staticEndpoint":"10.5.0.1:80"}],"limits":{}}`

func newRelayFleet(c *qt.C, count int, work time.Duration) *relayFleet {
	return newRelayFleetWith(c, count, work, endpointConfiguration)
}

func newRelayFleetWith(c *qt.C, count int, work time.Duration, raw string) *relayFleet {
	network := simnet.New(func(_, _ string) time.Duration { return time.Millisecond })
	f := &relayFleet{runs: map[string]int{}}
	endpoint := network.Process("10.5.0.1")
	listener, err := endpoint.Listen("10.5.0.1:80")
	c.Assert(err, qt.IsNil)
	f.limit = &connectionLimit{Listener: listener, limit: 1}
	go func() { _ = http.Serve(f.limit, http.HandlerFunc(f.run(work))) }()
	ctx, stop := context.WithCancel(context.Background())
	var ends []func()
	table := sessionTable{sessions: map[string]protocol.Session{}, holders: map[string]protocol.QueueState{}}
	for i := range count {
		node, ip := fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("10.1.0.%d", i+1)
		d, end := newSimulatedDispatcherAs(network, node, ip)
		d.applyConfiguration(view.Configuration{Revision: 2, Raw: []byte(raw)})
		f.dispatchers, f.peers, ends = append(f.dispatchers, d), append(f.peers, serveInternally(c, network, d)), append(ends, end)
		table.nodes = append(table.nodes, node)
		table.sessions[node] = protocol.Session{Identity: d.identity, Ready: true, Relays: true}
	}
	for _, d := range f.dispatchers {
		d.mutex.Lock()
		owned := addOwnedQueue(d, "ordered/"+d.identity.Node, 1)
		grantPermanentLease(d, owned)
		d.table = table
		d.refreshFleet()
		f.queues = append(f.queues, owned)
		d.mutex.Unlock()
		go d.runPump(ctx)
	}
	f.end = func() {
		stop()
		endpoint.Kill()
		for i, end := range ends {
			f.peers[i].Kill()
			end()
		}
	}
	return f
}

// run is the endpoint: it takes some time for each message.
func (f *relayFleet) run(work time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(headerRequestID)
		f.mutex.Lock()
		f.runs[id]++
		f.mutex.Unlock()
		time.Sleep(work)
		w.Header().Set(headerRequestID, id)
		w.Header().Set("X-Server-Seal", "seal")
		w.Header().Set("Keep-Alive", "timeout=60")
	}
}

// add adds messages to the queue of a dispatcher.
func (f *relayFleet) add(number, messages int) {
	d, owned := f.dispatchers[number], f.queues[number]
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for i := range messages {
		owned.Add(d.now(), protocol.Head{
			ID: fmt.Sprintf("%s-%d", d.identity.Node, i), State: protocol.Queued, Method: "POST", Host: "a.example", Target: "/a/", Retention: time.Minute,
		}, nil, nil)
	}
	d.pump(owned)
}

// open counts the messages that have not ended.
func (f *relayFleet) open() int {
	count := 0
	for i, d := range f.dispatchers {
		d.mutex.Lock()
		count += f.queues[i].Open()
		d.mutex.Unlock()
	}
	return count
}

// relaying returns the index of a dispatcher that has others make its attempts, and whether there is one.
func (f *relayFleet) relaying() (int, bool) {
	for i, d := range f.dispatchers {
		d.mutex.Lock()
		uses := len(d.services["s"].relays) > 0
		d.mutex.Unlock()
		if uses {
			return i, true
		}
	}
	return 0, false
}

// LOST: where there are more dispatchers than connections to an endpoint, the messages of all of them are delivered, also
// while the connection is never idle, and no connection over the limit is tried.
func TestMessagesOfAllDispatchersShareFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRelayFleet(c, 3, 20*time.Millisecond)
		defer f.end()
		const messages = 40
		for i := range f.dispatchers {
			f.add(i, messages)
		}
		time.Sleep(20 * time.Second)
		c.Check(f.open(), qt.Equals, 0)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		c.Check(f.runs, qt.HasLen, 3*messages)
		for id, runs := range f.runs {
			c.Check(runs, qt.Equals, 1, qt.Commentf("%s", id))
		}
		c.Check(f.limit.refused, qt.Equals, 0)
	})
}

// The same where the endpoint has a rate: relayed attempts count once, and all of them stay within the rate.
func TestRelayedAttemptsKeepTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const rate = 20
		raw := strings.Replace(endpointConfiguration, `"maxConns":1`, fmt.Sprintf(`"maxConns":1,"ratePerS":%d`, rate), 1)
		raw = strings.Replace(raw, `"service":"s"`, `"service":"s","ordered":true`, 1)
		f := newRelayFleetWith(c, 2, 5*time.Millisecond, raw)
		defer f.end()
		owner := f.dispatchers[0]
		owner.mutex.Lock()
		grantPermanentLease(owner, addOwnedQueue(owner, ratedPrefix+"s", 1))
		for i, d := range f.dispatchers {
			if i > 0 {
				d.mutex.Lock()
			}
			d.table.holders[ratedPrefix+"s"] = protocol.QueueState{Holder: owner.identity.Node}
			for k, queue := range f.queues {
				d.table.holders[queue.Name] = protocol.QueueState{Holder: f.dispatchers[k].identity.Node}
			}
			d.refreshFleet()
			if i > 0 {
				d.mutex.Unlock()
			}
		}
		owner.mutex.Unlock()
		began := time.Now()
		for i := range f.dispatchers {
			f.add(i, 2*rate)
		}
		for f.open() > 0 && time.Since(began) < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
		took := time.Since(began)
		c.Check(f.open(), qt.Equals, 0)
		c.Check(took > 3500*time.Millisecond && took < 7*time.Second, qt.IsTrue, qt.Commentf("%v for %d messages", took, 4*rate))
		c.Check(f.limit.refused, qt.Equals, 0)
	})
}

// TWICE: a dispatcher that leaves cancels its attempts at relays, and waits for their results.
func TestRelayedAttemptIsCancelledWhenItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRelayFleet(c, 2, time.Second)
		defer f.end()
		caller, found := f.relaying()
		c.Assert(found, qt.IsTrue)
		f.add(caller, 1)
		time.Sleep(500 * time.Millisecond)
		d := f.dispatchers[caller]
		d.abandonAttempts()
		time.Sleep(100 * time.Millisecond)
		d.mutex.Lock()
		c.Check(d.attemptsUnderWay, qt.Equals, 0)
		d.mutex.Unlock()
		f.limit.mutex.Lock()
		c.Check(f.limit.open, qt.Equals, 1) // the endpoint notices the end of the connection once it answers
		f.limit.mutex.Unlock()
		time.Sleep(time.Second)
		f.limit.mutex.Lock()
		c.Check(f.limit.open, qt.Equals, 0)
		f.limit.mutex.Unlock()
	})
}

// A relay makes no attempt after the time in which the caller's lease was valid, none while it leaves, and none
// that it would pass on itself.
func TestRelayRefusesWhatItMayNotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newRelayFleet(c, 2, time.Second)
		defer f.end()
		caller, _ := f.relaying()
		relay := f.dispatchers[1-caller]
		f.add(1-caller, 1) // keeps the connection in use
		time.Sleep(100 * time.Millisecond)
		request := protocol.Relay{Service: "s", Head: protocol.Head{ID: "m", Method: "POST", Host: "a.example", Target: "/a/", Retention: time.Minute}, StartWithin: 200 * time.Millisecond}
		try := func(d *Dispatcher) int {
			reply := d.handleRelay(t.Context(), f.dispatchers[caller].identity, request)
			c.Check(reply.Cause, qt.Not(qt.Equals), "")
			return reply.Status
		}
		began := time.Now()
		c.Check(try(relay), qt.Equals, http.StatusServiceUnavailable)
		c.Check(time.Since(began) < 300*time.Millisecond, qt.IsTrue)
		c.Check(try(f.dispatchers[caller]), qt.Equals, 0)
		relay.draining.Store(true)
		c.Check(try(relay), qt.Equals, 0)
		time.Sleep(5 * time.Second)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		c.Check(f.runs["m"], qt.Equals, 0)
	})
}

// All dispatchers together open no more connections to a static endpoint than it accepts; those without any have
// others relay their messages.
func TestConnectionsToStaticEndpoint(t *testing.T) {
	c := qt.New(t)
	for _, maxConns := range []int{1, 7, 8, 20} {
		direct, table := 0, tableOf([]string{"a", "b"}, 9, 0)
		for node, session := range table.sessions {
			session.Relays = true
			table.sessions[node] = session
		}
		for _, node := range table.nodes {
			d := newTestDispatcher(c)
			d.identity.Node, d.settings.Zone = node, table.sessions[node].Identity.Zone
			d.table = table
			d.refreshFleet()
			service := d.services["free"]
			endpoint := *service.configured
			endpoint.MaxConns, endpoint.StaticEndpoint = maxConns, "10.0.0.1:80"
			service.configured = &endpoint
			senders, relays := d.usableSenders(service, d.deliverers(service.configured))
			c.Check(len(senders) > 0, qt.Equals, len(relays) == 0)
			direct += len(senders) * balance.Connections(maxConns, len(table.nodes))
		}
		c.Check(direct > 0 && direct <= maxConns, qt.IsTrue, qt.Commentf("%d of %d", direct, maxConns))
	}
}

// A relay of an earlier build may report a success with a seal that no store keeps: the message is sent again.
func TestRelayedSealOverTheBound(t *testing.T) {
	c := qt.New(t)
	reply := protocol.RelayReply{Verdict: uint8(verdict.Ran), Status: http.StatusOK, Seal: strings.Repeat("5", protocol.MaxFieldBytes), Answered: true}
	result := relayedResult(reply)
	c.Check(result.Succeeded(), qt.IsTrue)
	reply.Seal += "5"
	result = relayedResult(reply)
	c.Check(result.Succeeded(), qt.IsFalse)
	c.Check(result.Inconclusive(), qt.IsTrue)
}
