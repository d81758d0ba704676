package simulation

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"yardwharf/internal/simulation/simnet"
)

const (
	listLag      = 300 * time.Millisecond // of the platform's list
	crashShown   = time.Second            // a crashed sender stays on the list for so long
	drainBeyond  = 500 * time.Millisecond // a sender serves on after drainMs
	failureShare = 50                     // one attempt in so many fails
	neverShare   = 200                    // one message in so many can never be done
	serviceTime  = 15 * time.Millisecond
	senderSlots  = 8
	idleTime     = 5 * time.Second
)

// instance is an entry of the platform's list.
type instance struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Revision string `json:"revision"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	WarmupMs int    `json:"warmupLeftMs"`
}

// sender is a stand-in for a server that messages are delivered to.
type sender struct {
	world    *world
	instance instance
	network  *simnet.Process
	slots    chan struct{}
	leaving  bool
}

// platform keeps the senders and their list.
type platform struct {
	world   *world
	network *simnet.Process

	mutex   sync.Mutex
	made    int
	senders []*sender      // that run
	silent  map[string]int // services that do not answer, and how many faults want that
	listed  []instance
	shown   []instance // with the list's lag
	free    []string   // addresses that may be used again
}

// services and how many senders each has.
var fleet = []struct {
	service string
	senders int
}{
	{"plain", 3}, {"ordered", 2}, {"rated", 2}, {"changed-0", 1}, {"changed-1", 1}, {"changed-2", 1}, {"changed-3", 1},
}

func newPlatform(w *world) *platform {
	p := &platform{world: w, network: w.network.Process(machineOf(platformAddress)), silent: map[string]int{}}
	for _, entry := range fleet {
		for range entry.senders {
			p.add(entry.service)
		}
	}
	p.shown = append([]instance(nil), p.listed...)
	serve(p.network, platformAddress, http.HandlerFunc(p.list))
	return p
}

// serve answers HTTP calls on a simulated address.
func serve(network *simnet.Process, address string, handler http.Handler) {
	listener, err := network.Listen(address)
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler, IdleTimeout: idleTime}
	go func() { _ = server.Serve(listener) }()
}

func machineOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

func (p *platform) stop() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.network.Kill()
	for _, s := range p.senders {
		s.network.Kill()
	}
}

// list answers GET /instances.
func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	shown := p.shown
	p.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": shown, "nextToken": nil})
}

// publish shows the list as it is now, after the lag. The mutex is held.
func (p *platform) publish() {
	listed := append([]instance(nil), p.listed...)
	time.AfterFunc(listLag, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.shown = listed
		present := map[string]bool{}
		for _, entry := range listed {
			present[entry.ID] = entry.State == "ready"
		}
		j := p.world.journal
		j.with(func() {
			for _, s := range p.senders {
				if _, noted := j.drained[s.instance.ID]; !noted && !present[s.instance.ID] {
					j.drained[s.instance.ID] = j.now()
				}
			}
		})
	})
}

// add starts a sender. The mutex is held, or nobody else is there yet.
func (p *platform) add(service string) {
	p.made++
	address := fmt.Sprintf("10.5.0.%d:8080", p.made)
	if len(p.free) > 0 {
		address, p.free = p.free[0], p.free[1:]
	}
	s := &sender{
		world: p.world, network: p.world.network.Process(machineOf(address)), slots: make(chan struct{}, senderSlots),
		instance: instance{
			ID: fmt.Sprintf("i-%d", p.made), Service: service, Address: address,
			Zone: zoneName(p.made % machinesEach), Revision: "v1", Slots: senderSlots, State: "ready",
		},
	}
	p.senders = append(p.senders, s)
	p.listed = append(p.listed, s.instance)
	serve(s.network, address, s)
}

// replace ends a sender, at once or by draining, and starts another one of its
// service. Its address is used again.
func (p *platform) replace(index int, crash bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.senders[index%len(p.senders)]
	if s.leaving {
		return
	}
	s.leaving = true
	p.add(s.instance.Service)
	span := time.Duration(bounds.DrainMs)*time.Millisecond + listLag + drainBeyond
	if crash {
		s.network.Kill()
		span = crashShown
	} else {
		p.setListed(s.instance.ID, "draining")
	}
	p.publish()
	time.AfterFunc(span, func() { p.remove(s) })
}

// machines returns the machines of a service's senders.
func (p *platform) machines(service string) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var machines []string
	for _, s := range p.senders {
		if s.instance.Service == service {
			machines = append(machines, machineOf(s.instance.Address))
		}
	}
	return machines
}

// silence adds a fault that keeps a service from answering, or takes one away.
func (p *platform) silence(service string, faults int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.silent[service] += faults
}

// isSilent reports whether a service does not answer.
func (p *platform) isSilent(service string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.silent[service] > 0
}

// setListed changes an entry's state; an empty one removes it. The mutex is held.
func (p *platform) setListed(id, state string) {
	var listed []instance
	for _, entry := range p.listed {
		if entry.ID == id {
			if state == "" {
				continue
			}
			entry.State = state
		}
		listed = append(listed, entry)
	}
	p.listed = listed
}

func (p *platform) remove(s *sender) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s.network.Kill()
	for i, other := range p.senders {
		if other == s {
			p.senders = append(p.senders[:i:i], p.senders[i+1:]...)
			break
		}
	}
	p.setListed(s.instance.ID, "")
	p.publish()
	time.AfterFunc(time.Duration(bounds.AddrReuseS*float64(time.Second)), func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.free = append(p.free, s.instance.Address)
	})
}

// ServeHTTP runs a message.
func (s *sender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := s.world.journal
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=5")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.world.platform.isSilent(s.instance.Service) {
		select {
		case <-r.Context().Done():
		case <-time.After(idleTime):
		}
		return
	}
	j.with(func() { j.arrivals[s.instance.Service] = append(j.arrivals[s.instance.Service], j.now()) })
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.instance.ID {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	number := s.begin(r, id, string(body))
	select {
	case <-time.After(serviceTime/2 + time.Duration(hash(id, number)%uint32(serviceTime))):
	case <-r.Context().Done():
		return // it drops a message when its connection closes
	}
	if !s.spoil(w, r, id, number) {
		s.answer(w, id, number)
	}
}

// begin notes that work on a message has begun and returns the attempt's number.
func (s *sender) begin(r *http.Request, id, body string) int {
	j := s.world.journal
	j.mutex.Lock()
	defer j.mutex.Unlock()
	m := j.messages[id]
	if m == nil || m.body != body || r.URL.Path != m.path() {
		j.breaks = append(j.breaks, fmt.Sprintf("UNASKED %s at %s: unknown, or changed on its way", id, s.instance.ID))
		m = &message{id: id}
		j.messages[id] = m
	}
	if m.route != "" && !strings.HasPrefix(s.instance.Service, m.service()) {
		j.breaks = append(j.breaks, fmt.Sprintf("ROUTE %s of %s ran at %s", id, m.route, s.instance.Service))
	}
	m.attempts = append(m.attempts, attempt{
		begun: j.now(), service: s.instance.Service, sender: s.instance.ID, dispatcher: machineOf(r.RemoteAddr),
	})
	return len(m.attempts) - 1
}

// answer ends an attempt.
func (s *sender) answer(w http.ResponseWriter, id string, number int) {
	status, seal := http.StatusOK, fmt.Sprintf("%s.%s.%d", s.instance.ID, id, number)
	switch {
	case hash(id, -1)%neverShare == 0:
		status = http.StatusUnprocessableEntity
	case hash(id, number)%failureShare == 0:
		status = http.StatusInternalServerError
	}
	j := s.world.journal
	j.with(func() {
		a := &j.messages[id].attempts[number]
		a.ended, a.status = j.now(), status
		if status == http.StatusOK {
			a.seal = seal
		}
	})
	if status == http.StatusOK {
		w.Header().Set("X-Server-Seal", seal)
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), senderSlots))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(id))
}

func hash(text string, number int) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", text, number)
	value := h.Sum32()
	value ^= value >> 15
	value *= 0x85ebca6b
	return value ^ value>>13
}
