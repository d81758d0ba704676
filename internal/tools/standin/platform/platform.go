// Package platform is a stand-in for the platform's list of senders: GET
// /instances answers with pages of what a test has put into it.
package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"

	"yardwharf/internal/service/discovery"
	"yardwharf/internal/tools/standin/listener"
)

// pageSize is how many senders a page holds.
const pageSize = 4

// Platform is one stand-in; Close ends it.
type Platform struct {
	listener net.Listener
	server   *http.Server

	mutex     sync.Mutex
	instances []discovery.Instance
}

// Start starts a platform at a loopback address; port 0 is any.
func Start(address string) (*Platform, error) {
	opened, err := listener.Listen(address)
	if err != nil {
		return nil, err
	}
	p := &Platform{listener: opened}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.serve)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(opened) }()
	return p, nil
}

// Address returns where the platform listens.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close ends the platform.
func (p *Platform) Close() { _ = p.server.Close() }

// Set replaces the list.
func (p *Platform) Set(instances ...discovery.Instance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.instances = append([]discovery.Instance{}, instances...)
}

// serve answers with the page that the token names.
func (p *Platform) serve(response http.ResponseWriter, request *http.Request) {
	first := 0
	if token := request.URL.Query().Get("pageToken"); token != "" {
		number, err := strconv.Atoi(token)
		if err != nil || number < 0 {
			http.Error(response, "no such page", http.StatusBadRequest)
			return
		}
		first = number
	}
	p.mutex.Lock()
	all := p.instances
	p.mutex.Unlock()
	first = min(first, len(all))
	end := min(first+pageSize, len(all))
	page := discovery.Page{Instances: append([]discovery.Instance{}, all[first:end]...)}
	if end < len(all) {
		next := strconv.Itoa(end)
		page.NextToken = &next
	}
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(page)
}

// List returns the list.
func (p *Platform) List() []discovery.Instance {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]discovery.Instance(nil), p.instances...)
}
