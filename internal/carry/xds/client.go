package xds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"

	"yardwharf/internal/carry/xdslink"
	"yardwharf/internal/decide/membership"
)

const (
	backoffFirst = 100 * time.Millisecond // doubles, half of it random
	connectMost  = 5 * time.Second
	agent        = "yardwharf"
)

// Handler hears what the servers say. It is called from one goroutine.
type Handler interface {
	// Up says that a new stream stands: the server has answered, or has taken the
	// stream and need not answer, as all it can say may be known.
	Up(server string)
	// Down says that a stream has ended, or that no server could be reached.
	Down(err error)
	// Deliver hands over an update; Client.Verdict is owed for it.
	Deliver(n uint64, u *membership.Update)
	// Refused names a response that could not be read.
	Refused(why string)
}

// Client keeps one aggregated stream to one of its servers.
type Client struct {
	c       xdslink.Config
	core    *Core
	handler Handler
	calls   chan func(*Core)
	kick    chan struct{}
}

// NewClient returns a Client whose deliveries are counted from base on; Run runs it.
func NewClient(c xdslink.Config, base uint64, h Handler) *Client {
	core := NewCore(c.Delta, c.Clusters)
	core.CountFrom(base)
	return &Client{c: c, core: core, handler: h, calls: make(chan func(*Core), 16), kick: make(chan struct{}, 1)}
}

// Verdict answers a delivery; it may be called from any goroutine, as Accepted and
// Kick.
func (c *Client) Verdict(n uint64, reason string, old bool) {
	c.calls <- func(core *Core) { core.Verdict(n, reason, old) }
}

// Again asks for a delivery whole, see Core.Again.
func (c *Client) Again(n uint64) {
	c.calls <- func(core *Core) { core.Again(n) }
}

// Accepted says that an update that was refused as old counts after all.
func (c *Client) Accepted(m membership.Mark) {
	c.calls <- func(core *Core) { core.Accepted(m) }
}

// Kick has the next attempt to reach a server made now.
func (c *Client) Kick() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run keeps a stream up until the context ends. Servers are tried in order, the
// first one first each time; after each round of failures there is a pause that
// doubles.
func (c *Client) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		for _, server := range c.c.Servers {
			answered, err := c.stream(ctx, server)
			if ctx.Err() != nil {
				return
			}
			c.handler.Down(fmt.Errorf("xds: %s: %w", server, err))
			if answered {
				failures = 0
				break
			}
		}
		pause := min(backoffFirst<<min(failures, 16), c.c.BackoffMost)
		failures++
		timer := time.NewTimer(pause/2 + rand.N(pause/2+1))
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				waiting = false
			case <-c.kick:
				waiting = failures == 1 // the first pause is kept: it spreads those who lost a server together
			case call := <-c.calls: // about a stream that has ended
				call(c.core)
				c.core.Ready()
			case <-ctx.Done():
				return
			}
		}
		timer.Stop()
	}
}

// wire is a stream of either kind.
type wire interface {
	send(Request, *corev3.Node) error
	receive() (Response, error)
}

// stream runs one stream until it ends; answered says whether the server has said
// anything on it.
func (c *Client) stream(ctx context.Context, server string) (answered bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	creds, err := transport(c.c.TLS)
	if err != nil {
		return false, err
	}
	conn, err := grpc.NewClient("passthrough:///"+server, grpc.WithTransportCredentials(creds), grpc.WithUserAgent(agent),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(c.c.MaxMessageMB<<20)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: backoffFirst, Multiplier: 1, MaxDelay: backoffFirst}, MinConnectTimeout: min(c.c.Silence, connectMost)}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: c.c.Silence / 2, Timeout: c.c.Silence / 2}))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	w, err := dial(ctx, conn, c.c.Delta)
	if err != nil {
		return false, err
	}
	c.core.Open()
	defer c.core.Closed()

	type received struct {
		r   Response
		err error
	}
	in, more := make(chan received), make(chan struct{}, 1)
	go func() { // reads one response at a time: a flood waits in the connection
		for {
			r, err := w.receive()
			select {
			case in <- received{r, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
			select {
			case <-more:
			case <-ctx.Done():
				return
			}
		}
	}()
	silent := time.NewTimer(c.c.Silence) // until the first answer; keepalive watches after it
	defer silent.Stop()
	heard := func() {
		if !answered {
			answered = true
			silent.Stop()
			c.handler.Up(server)
		}
	}
	if c.core.Quiet() {
		heard()
	}
	later, reading, node := make(chan Request, 64), true, c.node()
	for {
		ready := c.core.Ready()
		for _, why := range ready.Refused {
			c.handler.Refused(why)
		}
		for _, r := range ready.Send {
			if r.After > 0 {
				time.AfterFunc(r.After, func() {
					select {
					case later <- r:
					case <-ctx.Done():
					}
				})
				continue
			}
			if err := w.send(r, node); err != nil {
				return answered, ended(w, err)
			}
			node = nil // the first request of a stream is enough ("Node identification")
		}
		if ready.Deliver != nil {
			c.handler.Deliver(ready.Deliver.N, ready.Deliver.Update)
		}
		if !reading && !c.core.Busy() {
			reading = true
			more <- struct{}{}
		}
		select {
		case got := <-in:
			if got.err != nil {
				return answered, got.err
			}
			heard()
			reading = false
			c.core.Receive(got.r)
		case call := <-c.calls:
			call(c.core)
		case r := <-later:
			if c.core.Current(r) {
				if err := w.send(r, node); err != nil {
					return answered, ended(w, err)
				}
			}
		case <-c.kick:
		case <-silent.C:
			return false, errors.New("the server takes the stream and says nothing")
		case <-ctx.Done():
			return answered, ctx.Err()
		}
	}
}

// ended is why a stream cannot be written to: the reason comes with reading.
func ended(w wire, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	for {
		if _, err := w.receive(); err != nil {
			return err
		}
	}
}

func (c *Client) node() *corev3.Node {
	return &corev3.Node{Id: c.c.Node.ID, Cluster: c.c.Node.Cluster, Locality: &corev3.Locality{Zone: c.c.Node.Zone},
		UserAgentName: agent}
}

// dial opens a stream.
func dial(ctx context.Context, conn *grpc.ClientConn, delta bool) (wire, error) {
	ads := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	if delta {
		s, err := ads.DeltaAggregatedResources(ctx)
		return deltaWire{s}, err
	}
	s, err := ads.StreamAggregatedResources(ctx)
	return sotwWire{s}, err
}

// detail is what a NACK carries.
func detail(why string) *status.Status {
	if why == "" {
		return nil
	}
	return &status.Status{Code: int32(codes.InvalidArgument), Message: why}
}

type sotwWire struct {
	s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
}

func (w sotwWire) send(r Request, node *corev3.Node) error {
	return w.s.Send(&discoveryv3.DiscoveryRequest{Node: node, TypeUrl: r.Type, VersionInfo: r.Version, ResourceNames: r.Names,
		ResponseNonce: r.Nonce, ErrorDetail: detail(r.Error)})
}

func (w sotwWire) receive() (Response, error) {
	m, err := w.s.Recv()
	if err != nil {
		return Response{}, err
	}
	r := Response{Type: m.GetTypeUrl(), Version: m.GetVersionInfo(), Nonce: m.GetNonce()}
	for _, body := range m.GetResources() {
		r.Resources = append(r.Resources, Resource{Body: body})
	}
	return r, nil
}

type deltaWire struct {
	s discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

func (w deltaWire) send(r Request, node *corev3.Node) error {
	return w.s.Send(&discoveryv3.DeltaDiscoveryRequest{Node: node, TypeUrl: r.Type, ResourceNamesSubscribe: r.Subscribe,
		ResourceNamesUnsubscribe: r.Unsubscribe, InitialResourceVersions: r.Initial, ResponseNonce: r.Nonce, ErrorDetail: detail(r.Error)})
}

func (w deltaWire) receive() (Response, error) {
	m, err := w.s.Recv()
	if err != nil {
		return Response{}, err
	}
	r := Response{Type: m.GetTypeUrl(), Nonce: m.GetNonce(), Removed: m.GetRemovedResources()}
	for _, res := range m.GetResources() {
		r.Resources = append(r.Resources, Resource{Name: res.GetName(), Version: res.GetVersion(), Body: res.GetResource()})
	}
	return r, nil
}
