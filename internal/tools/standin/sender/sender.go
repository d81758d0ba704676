// Package sender is a stand-in south side host: it takes jobs over HTTP as the
// platform's senders do (PROTOCOL, "Dispatchers to senders"), says that each has
// started and a moment later that it is done, and remembers what it was sent.
package sender

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"yardwharf/internal/tools/standin/listener"
)

// Job is one attempt that has reached a sender.
type Job struct {
	ID     string // X-Txn
	Sender string
	Target string
	At     time.Time // when its head had been read
}

// Sender is one stand-in; Close ends it.
type Sender struct {
	Name   string
	Work   time.Duration // a job's time
	listen net.Listener
	server *http.Server

	mu   sync.Mutex
	jobs []Job
}

// Start starts a sender at a loopback address; port 0 is any.
func Start(name, address string, work time.Duration) (*Sender, error) {
	l, err := listener.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("stand-in sender: %w", err)
	}
	s := &Sender{Name: name, Work: work, listen: l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.take)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

// Addr is where it listens.
func (s *Sender) Addr() string { return s.listen.Addr().String() }

// Close ends it, with the connections it has.
func (s *Sender) Close() { s.server.Close() }

// Jobs are those that have come so far, in order.
func (s *Sender) Jobs() []Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Job(nil), s.jobs...)
}

func (s *Sender) take(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	id := r.Header.Get("X-Txn")
	s.mu.Lock()
	s.jobs = append(s.jobs, Job{ID: id, Sender: s.Name, Target: r.RequestURI, At: at})
	s.mu.Unlock()
	out := json.NewEncoder(w)
	line := map[string]any{"id": id, "from": s.Name, "state": "started"}
	out.Encode(line)
	http.NewResponseController(w).Flush()
	select {
	case <-r.Context().Done(): // the dispatcher has given the job up
		return
	case <-time.After(s.Work):
	}
	line["state"], line["result"] = "done", fmt.Sprintf("%s did %s with %q\n", s.Name, r.URL, body)
	out.Encode(line)
}
