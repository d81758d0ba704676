// Package worker is a stand-in for the service's senders: it runs messages and
// writes down when each run began and how it ended.
package worker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"yardwharf/internal/service/discovery"
	"yardwharf/internal/tools/standin/listener"
)

const (
	bodyMost  = 1 << 20
	stateName = "ready"
)

// Run is one run of a message.
type Run struct {
	ID      string
	Key     string // ordering key
	Service string
	Began   time.Time
	Ended   time.Time
	Seal    string // of a success
}

// Ledger holds what all workers have run. Workers of a service share its table
// of ids: a message that succeeded is not run again.
type Ledger struct {
	mutex    sync.Mutex
	runs     []*Run
	arrivals map[string][]time.Time // of requests, by service
	seals    map[string]string      // of successes, by id
	running  map[string]bool
	failOnce map[string]bool
	repeats  []Repeat
}

// Repeat is a request for a message that had succeeded before.
type Repeat struct {
	ID string
	At time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		arrivals: map[string][]time.Time{}, seals: map[string]string{},
		running: map[string]bool{}, failOnce: map[string]bool{},
	}
}

// FailOnce makes the first run of a message fail.
func (l *Ledger) FailOnce(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failOnce[id] = true
}

// Runs returns all runs so far, in the order in which they began.
func (l *Ledger) Runs() []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	runs := make([]Run, len(l.runs))
	for i, run := range l.runs {
		runs[i] = *run
	}
	return runs
}

// Arrivals returns when requests came to a service.
func (l *Ledger) Arrivals(service string) []time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]time.Time(nil), l.arrivals[service]...)
}

// Seal returns the seal of a message's success; empty where there was none.
func (l *Ledger) Seal(id string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.seals[id]
}

// Repeats returns the requests for messages that had succeeded before.
func (l *Ledger) Repeats() []Repeat {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Repeat(nil), l.repeats...)
}

// begin books the start of a run. It returns no run where the message has
// succeeded before, with its seal, or where it runs already.
func (l *Ledger) begin(service string, request *http.Request) (run *Run, seal string) {
	id := request.Header.Get("X-Request-Id")
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.arrivals[service] = append(l.arrivals[service], now)
	if seal := l.seals[id]; seal != "" || l.running[id] {
		if seal != "" {
			l.repeats = append(l.repeats, Repeat{id, now})
		}
		return nil, seal
	}
	l.running[id] = true
	run = &Run{ID: id, Key: request.Header.Get("X-Ordering-Key"), Service: service, Began: now}
	l.runs = append(l.runs, run)
	return run, ""
}

// end books the end of a run and reports whether it succeeded.
func (l *Ledger) end(run *Run, worker string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	run.Ended = time.Now()
	delete(l.running, run.ID)
	if l.failOnce[run.ID] {
		delete(l.failOnce, run.ID)
		return false
	}
	run.Seal = fmt.Sprintf("%s.%d", worker, len(l.seals)+1)
	l.seals[run.ID] = run.Seal
	return true
}

// Worker is one stand-in; Close ends it.
type Worker struct {
	id, service, zone string
	slots             int
	work              time.Duration // of a run
	ledger            *Ledger
	listener          net.Listener
	server            *http.Server
	free              chan struct{}
	silent            atomic.Bool
}

// Options describe a worker.
type Options struct {
	ID, Service, Zone string
	Address           string // loopback; port 0 is any
	Slots             int
	Work              time.Duration
	Ledger            *Ledger
	SecondAnswers     int // one answer in so many is given twice, the second time with the next one on its connection; 0: none
}

// Start starts a worker.
func Start(o Options) (*Worker, error) {
	opened, err := listener.Listen(o.Address)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		id: o.ID, service: o.Service, zone: o.Zone, slots: o.Slots, work: o.Work,
		ledger: o.Ledger, listener: opened, free: make(chan struct{}, o.Slots),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", w.health)
	mux.HandleFunc("/", w.run)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(&repeatingListener{Listener: opened, every: o.SecondAnswers}) }()
	return w, nil
}

// Silence keeps the worker from running and answering anything, or lets it work again.
func (w *Worker) Silence(on bool) { w.silent.Store(on) }

// Close ends the worker.
func (w *Worker) Close() { _ = w.server.Close() }

// Instance returns the worker's entry in the platform's list.
func (w *Worker) Instance() discovery.Instance {
	return discovery.Instance{
		ID: w.id, Service: w.service, Address: w.listener.Addr().String(), Zone: w.zone,
		Revision: "v1", Slots: w.slots, State: stateName,
	}
}

func (w *Worker) health(response http.ResponseWriter, _ *http.Request) {
	response.Header().Set("X-Instance-Id", w.id)
}

// run runs one message.
func (w *Worker) run(response http.ResponseWriter, request *http.Request) {
	response.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	_, err := io.Copy(io.Discard, http.MaxBytesReader(response, request.Body, bodyMost))
	target := request.Header.Get("X-Target-Instance")
	switch {
	case err != nil || request.Header.Get("X-Request-Id") == "":
		notExecuted(response, http.StatusBadRequest)
		return
	case target != "" && target != w.id:
		notExecuted(response, http.StatusMisdirectedRequest)
		return
	}
	if w.silent.Load() {
		<-request.Context().Done()
		return
	}
	select {
	case w.free <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-w.free }()
	run, seal := w.ledger.begin(w.service, request)
	switch {
	case seal != "":
		response.Header().Set("X-Server-Seal", seal)
		return
	case run == nil:
		notExecuted(response, http.StatusConflict)
		return
	}
	timer := time.NewTimer(w.work)
	defer timer.Stop()
	<-timer.C
	if !w.ledger.end(run, w.id) {
		response.WriteHeader(http.StatusInternalServerError)
		return
	}
	response.Header().Set("X-Server-Seal", run.Seal)
}

func notExecuted(response http.ResponseWriter, code int) {
	response.Header().Set("X-Not-Executed", "1")
	response.WriteHeader(code)
}
