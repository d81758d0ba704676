package processes

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"yardwharf/internal/tools/standin/listener"
)

// The site that the rig plays: what its dispatchers are told, and what its senders are.
const (
	slots     = 4
	queue     = 24
	startPart = 0.2
	warmUp    = 4 * time.Second
	factor    = 3.0
	factorFor = 2 * time.Second
	grace     = 500 * time.Millisecond
	patience  = 3 * time.Second

	drainSlack = 300 * time.Millisecond // beyond the grace, on a busy machine
)

// class is one of the site's classes.
type class struct {
	name   string
	work   time.Duration
	effect string
	aim    float64 // ms
	worth  float64
}

var classes = []class{{"look", 60 * time.Millisecond, "pure", 300, 2}, {"book", 120 * time.Millisecond, "side_effect", 400, 8}}

// sender is a stand-in south side host with slots, a waiting room and a warm-up.
type sender struct {
	name string
	zone int
	at   netip.AddrPort
	r    *rig

	mu      sync.Mutex
	since   time.Time // zero: long ago
	status  string
	told    map[int]time.Time // by dispatcher: when its drain was told
	free    chan struct{}
	held    int
	doses   []dose
	fallen  bool
	server  *http.Server
	hits    int
	stopped chan struct{}
}

type dose struct {
	at   time.Time
	work float64
}

func (s *sender) start() error {
	l, err := listener.Listen(s.at.String())
	if err != nil {
		return fmt.Errorf("sender: %w", err)
	}
	s.mu.Lock()
	s.free, s.held, s.fallen, s.doses, s.stopped = make(chan struct{}, slots), 0, false, nil, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status/load", s.load)
	mux.HandleFunc("POST /", s.take)
	s.server = &http.Server{Handler: mux}
	server := s.server
	s.mu.Unlock()
	go server.Serve(l)
	return nil
}

func (s *sender) stop() {
	s.mu.Lock()
	server, stopped := s.server, s.stopped
	s.server = nil
	s.mu.Unlock()
	if server == nil { // a run that ends on an error between its stop and its start
		return
	}
	close(stopped)
	server.Close()
}

func (s *sender) warmth(now time.Time) float64 {
	age := now.Sub(s.since)
	if s.since.IsZero() || age >= warmUp {
		return 1
	}
	return startPart + (1-startPart)*float64(age)/float64(warmUp)
}

func (s *sender) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	held := s.held
	s.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{"inflight": held, "latency_ms": 90, "x0": max(0, slots-held)})
}

// press books work that reaches it while it is cold; too much pushes it over for good.
func (s *sender) press(now time.Time, work float64) bool {
	warm := s.warmth(now)
	if s.fallen || warm >= 1 {
		return s.fallen
	}
	s.doses = append(s.doses, dose{now, work})
	sum := 0.0
	for len(s.doses) > 0 && now.Sub(s.doses[0].at) > factorFor {
		s.doses = s.doses[1:]
	}
	for _, d := range s.doses {
		sum += d.work
	}
	s.fallen = sum > factor*warm*slots*factorFor.Seconds()
	if s.fallen {
		s.r.broke("4: cold sender %s was pushed over", s.name)
	}
	return s.fallen
}

func (s *sender) take(w http.ResponseWriter, q *http.Request) {
	now := time.Now()
	io.Copy(io.Discard, io.LimitReader(q.Body, 64<<10))
	name, _, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	c := classOf(name)
	id := q.Header.Get("X-Txn")
	if c == nil || !s.r.known(id) {
		http.Error(w, "no such message", http.StatusBadRequest)
		return
	}
	sent := now
	var from int
	if a, err := netip.ParseAddrPort(q.RemoteAddr); err == nil {
		from = int(a.Addr().As4()[2]) - linksFrom
		sent = s.r.sends.first(a)
	}
	s.r.astray(s.zone)
	s.mu.Lock()
	s.hits++
	if told, yes := s.told[from]; yes && sent.Sub(told) > grace+drainSlack {
		s.r.broke("3: %s was sent a message by dispatcher %d %v after it was told of the drain", s.name, from, sent.Sub(told).Round(time.Millisecond))
	}
	work := c.work.Seconds()
	fell, full := s.press(now, work), s.held >= slots+queue
	if !full {
		s.held++
	}
	stretch, free, stopped := 1/s.warmth(now), s.free, s.stopped
	s.mu.Unlock()
	if fell {
		reset(hijacked(w))
		return
	}
	if full {
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.held--
		s.mu.Unlock()
	}()
	out := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	http.NewResponseController(w).Flush()
	select {
	case free <- struct{}{}:
		defer func() { <-free }()
	case <-q.Context().Done():
		return
	case <-stopped:
		return
	}
	s.r.ran(id, c)
	line := map[string]any{"id": id, "from": s.name, "state": "started"}
	out.Encode(line)
	http.NewResponseController(w).Flush()
	select {
	case <-q.Context().Done():
		return
	case <-stopped:
		return
	case <-time.After(time.Duration(float64(c.work) * stretch)):
	}
	line["state"], line["result"] = "done", id
	out.Encode(line)
}

// hijacked takes a connection from its server.
func hijacked(w http.ResponseWriter) net.Conn {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return c
}

func classOf(name string) *class {
	for i := range classes {
		if classes[i].name == name {
			return &classes[i]
		}
	}
	return nil
}

// agent is the discovery that one dispatcher is told of: it answers at once with what it
// has been sent.
type agent struct {
	r      *rig
	number int
	server *http.Server
}

func (a *agent) start(at netip.AddrPort) error {
	l, err := listener.Listen(at.String())
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", a.endpoints)
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(l)
	return nil
}

func (a *agent) endpoints(w http.ResponseWriter, q *http.Request) {
	out := json.NewEncoder(w)
	list, version, changed := a.r.list(a.number)
	out.Encode(list)
	if q.URL.Query().Get("watch") == "" {
		return
	}
	for beat := time.NewTicker(time.Second); ; {
		http.NewResponseController(w).Flush()
		select {
		case <-q.Context().Done():
			beat.Stop()
			return
		case <-beat.C:
			io.WriteString(w, "\n")
		case <-changed:
			var now int
			if list, now, changed = a.r.list(a.number); now != version {
				version = now
				out.Encode(list)
			}
		}
	}
}
