package control

import (
	"context"
	"sync"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/transport"
)

// peers holds one client for each address that was called.
type peers struct {
	settings *settings.Settings
	identity protocol.Identity
	mutex    sync.Mutex
	clients  map[string]*transport.Client
}

func newPeers(s *settings.Settings, identity protocol.Identity) *peers {
	return &peers{settings: s, identity: identity, clients: map[string]*transport.Client{}}
}

func (p *peers) clientFor(address string) *transport.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	client := p.clients[address]
	if client == nil {
		client = transport.NewClientOn(p.settings.Net(), p.identity, address)
		p.clients[address] = client
	}
	return client
}

// call sends a request and waits for the reply.
func (p *peers) call(ctx context.Context, address string, request any) (any, error) {
	return transport.Call[any](ctx, p.clientFor(address), request)
}

// Close ends all connections.
func (p *peers) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, client := range p.clients {
		client.Close()
	}
}
