package yard

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"yardwharf/internal/service/discovery"
)

// Sender is a stand-in for a sender. The header of a message does not reach it, so the last number in the path tells how
// many milliseconds a run takes.
type Sender struct {
	ID, Service, Zone string
	Slots             int
	listener          net.Listener
	server            *http.Server
	free              chan struct{}
	ledger            *Ledger
}

// Run is one run of a message.
type Run struct {
	ID, Key, Sender string
	Began, Ended    time.Time
	Status          int
	Seal            string
	Read            bool // its answer was written to an open connection
}

// Ledger holds the runs of all senders.
type Ledger struct {
	mutex  sync.Mutex
	runs   []*Run
	record *Record
	fail   map[string]int  // answers of 500 that a message still gets
	refuse map[string]bool // messages that can never be done
	seals  int
}

// NewLedger returns an empty ledger.
func NewLedger(record *Record) *Ledger {
	return &Ledger{record: record, fail: map[string]int{}, refuse: map[string]bool{}}
}

// Fail has the next runs of a message fail.
func (l *Ledger) Fail(id string, times int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fail[id] = times
}

// Refuse has a message answered with 422.
func (l *Ledger) Refuse(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refuse[id] = true
}

// Runs returns the runs of a message, or all if the id is empty.
func (l *Ledger) Runs(id string) []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var runs []Run
	for _, run := range l.runs {
		if id == "" || run.ID == id {
			runs = append(runs, *run)
		}
	}
	return runs
}

// StartSender starts a sender.
func StartSender(id, service, zone string, slots int, ledger *Ledger) (*Sender, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Sender{ID: id, Service: service, Zone: zone, Slots: slots, listener: listener, free: make(chan struct{}, slots), ledger: ledger}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close ends the sender.
func (s *Sender) Close() error { return s.server.Close() }

// Instance returns the entry of the platform's list.
func (s *Sender) Instance() discovery.Instance {
	return discovery.Instance{
		ID: s.ID, Service: s.Service, Address: s.listener.Addr().String(), Zone: s.Zone, Revision: "v1", Slots: s.Slots, State: "ready",
	}
}

func (s *Sender) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.ID)
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		return
	}
	arrived := time.Now()
	_, err := io.Copy(io.Discard, r.Body)
	target := r.Header.Get("X-Target-Instance")
	switch {
	case err != nil || id == "":
		refuse(w, http.StatusBadRequest)
		return
	case target != "" && target != s.ID:
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	limit := 24 * time.Hour
	if given, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		limit = time.Duration(given * float64(time.Millisecond))
	}
	deadline := time.NewTimer(time.Until(arrived.Add(limit)))
	defer deadline.Stop()
	select {
	case s.free <- struct{}{}:
	case <-deadline.C:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.free }()
	run := s.ledger.begin(id, r.Header.Get("X-Ordering-Key"), s.ID)
	work := time.NewTimer(workTime(r.URL.Path))
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline.C:
		s.ledger.end(run, http.StatusGatewayTimeout)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done(): // the connection is closed: the message is dropped
		s.ledger.end(run, 0)
		return
	}
	status := s.ledger.outcome(run)
	s.ledger.end(run, status)
	if status == http.StatusOK {
		w.Header().Set("X-Server-Seal", run.Seal)
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "done")
	if w.(http.Flusher) != nil {
		w.(http.Flusher).Flush()
	}
}

// workTime returns the time that a run takes: the last element of the path, in milliseconds.
func workTime(path string) time.Duration {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			ms, _ := strconv.Atoi(path[i+1:])
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (l *Ledger) begin(id, key, sender string) *Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	run := &Run{ID: id, Key: key, Sender: sender, Began: time.Now()}
	l.runs = append(l.runs, run)
	l.record.Add("sender %s: begins %s key %q", sender, id, key)
	return run
}

func (l *Ledger) outcome(run *Run) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.refuse[run.ID] {
		return http.StatusUnprocessableEntity
	}
	if l.fail[run.ID] > 0 {
		l.fail[run.ID]--
		return http.StatusInternalServerError
	}
	l.seals++
	run.Seal = fmt.Sprintf("%s.%d", run.Sender, l.seals)
	return http.StatusOK
}

func (l *Ledger) end(run *Run, status int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	run.Ended, run.Status = time.Now(), status
	l.record.Add("sender %s: ends %s with %d seal %q", run.Sender, run.ID, status, run.Seal)
}
