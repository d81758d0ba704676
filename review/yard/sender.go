package yard

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"yardwharf/internal/service/discovery"
)

// Run is one run of a message at a sender.
type Run struct {
	ID, Key, Sender string
	Began, Ended    time.Duration // since the start of the record; Ended is 0 while it runs
	Status          int
	Seal            string
	Body            string // hash of the body
	Read            bool   // the connection was still open some time after the answer
}

// Runs holds the runs of all senders.
type Runs struct {
	mutex sync.Mutex
	runs  []*Run
	byID  map[string][]*Run
}

// NewRuns returns an empty table.
func NewRuns() *Runs { return &Runs{byID: map[string][]*Run{}} }

// Of returns the runs of a message.
func (r *Runs) Of(id string) []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var runs []Run
	for _, run := range r.byID[id] {
		runs = append(runs, *run)
	}
	return runs
}

// All returns all runs in the order in which they began.
func (r *Runs) All() []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var runs []Run
	for _, run := range r.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Succeeded reports whether a run of the message has succeeded.
func (r *Runs) Succeeded(id string) bool {
	for _, run := range r.Of(id) {
		if run.Status == http.StatusOK && run.Ended > 0 {
			return true
		}
	}
	return false
}

// Sender is a stand-in of a sender.
type Sender struct {
	ID, Service, Zone string
	Slots             int
	Work              func(id string) time.Duration
	MaxConns          int           // connections that it takes; those beyond are reset; 0: no limit
	KeepAlive         time.Duration // after which it closes idle connections; 0: not told
	Static            bool          // it stands in no list
	// Answer may write another answer than a success; it reports whether it has.
	Answer func(w http.ResponseWriter, id string, attempt int) bool

	record   *Record
	runs     *Runs
	listener net.Listener
	server   *http.Server
	free     chan struct{}
	closed   sync.Map // connections that have ended
}

// connKey is the context's key of a connection.
type connKey struct{}

// readAfter is how long a connection stays open after an answer that counts as read.
const readAfter = 50 * time.Millisecond

// AddSender starts a sender and puts it on the platform's list.
func (y *Yard) AddSender(s *Sender, runs *Runs) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.record, s.runs, s.listener, s.free = y.Record, runs, listener, make(chan struct{}, s.Slots)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", s.ID) })
	mux.HandleFunc("/", s.serve)
	s.server = &http.Server{
		Handler: mux, MaxHeaderBytes: 1 << 16,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				s.closed.Store(c, true)
			}
		},
	}
	s.server.IdleTimeout = s.KeepAlive
	go func() { _ = s.server.Serve(&limitedListener{Listener: listener, limit: s.MaxConns}) }()
	y.Senders = append(y.Senders, s)
	if s.Static {
		return nil
	}
	y.Platform.Set(append(y.Platform.List(), discovery.Instance{
		ID: s.ID, Service: s.Service, Address: listener.Addr().String(), Zone: s.Zone, Revision: "v1", Slots: s.Slots, State: "ready",
	})...)
	return nil
}

// Address returns where the sender listens.
func (s *Sender) Address() string { return s.listener.Addr().String() }

// Close ends the sender.
func (s *Sender) Close() { _ = s.server.Close() }

func (s *Sender) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if s.KeepAlive > 0 {
		w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(s.KeepAlive.Seconds())))
	}
	hash := sha256.New()
	if _, err := io.Copy(hash, r.Body); err != nil || id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.ID {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.free <- struct{}{}
	defer func() { <-s.free }()
	run := &Run{ID: id, Key: r.Header.Get("X-Ordering-Key"), Sender: s.ID, Began: s.record.Now(), Body: hex.EncodeToString(hash.Sum(nil))}
	s.runs.mutex.Lock()
	s.runs.runs = append(s.runs.runs, run)
	s.runs.byID[id] = append(s.runs.byID[id], run)
	attempt := len(s.runs.byID[id])
	s.runs.mutex.Unlock()
	s.record.Printf("run %s at %s begins (%d)", id, s.ID, attempt)
	time.Sleep(s.Work(id))
	status := http.StatusOK
	seal := fmt.Sprintf("%s.%s.%d", s.ID, id, attempt)
	s.runs.mutex.Lock()
	run.Ended, run.Status, run.Seal = s.record.Now(), status, seal
	s.runs.mutex.Unlock()
	s.record.Printf("run %s at %s ends: 200 %s", id, s.ID, seal)
	w.Header().Set("X-Server-Seal", seal)
	time.AfterFunc(readAfter, func() {
		if _, closed := s.closed.Load(r.Context().Value(connKey{})); !closed {
			s.runs.mutex.Lock()
			defer s.runs.mutex.Unlock()
			run.Read = true
		}
	})
	if s.Answer != nil && s.Answer(w, id, attempt) {
		return
	}
	_, _ = io.WriteString(w, "ok")
}
