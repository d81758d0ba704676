// Package receiver is a stand-in for those who take call-backs.
package receiver

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"yardwharf/internal/tools/standin/listener"
)

// Callback is the news of a message's end.
type Callback struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Stamp string `json:"stamp"`
}

// Receiver is one stand-in; Close ends it.
type Receiver struct {
	listener net.Listener
	server   *http.Server

	mutex   sync.Mutex
	failing int // calls that are answered with an error before one is taken
	taken   map[string][]Callback
}

// Start starts a receiver at a loopback address; port 0 is any. It fails the
// given number of calls before it takes any.
func Start(address string, failing int) (*Receiver, error) {
	opened, err := listener.Listen(address)
	if err != nil {
		return nil, err
	}
	r := &Receiver{listener: opened, failing: failing, taken: map[string][]Callback{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /done", r.take)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(opened) }()
	return r, nil
}

// URL returns where call-backs go.
func (r *Receiver) URL() string { return "http://" + r.listener.Addr().String() + "/done" }

// Close ends the receiver.
func (r *Receiver) Close() { _ = r.server.Close() }

// Taken returns the call-backs for a message.
func (r *Receiver) Taken(id string) []Callback {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Callback(nil), r.taken[id]...)
}

func (r *Receiver) take(response http.ResponseWriter, request *http.Request) {
	var callback Callback
	if err := json.NewDecoder(request.Body).Decode(&callback); err != nil {
		http.Error(response, err.Error(), http.StatusInternalServerError)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case callback.ID == "" || callback.State != "completed" && callback.State != "dead_letter":
		http.Error(response, "no end of a message", http.StatusBadRequest)
	case r.failing > 0:
		r.failing--
		http.Error(response, "not now", http.StatusServiceUnavailable)
	default:
		r.taken[callback.ID] = append(r.taken[callback.ID], callback)
	}
}
