package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"yardwharf/internal/service/network"
	"yardwharf/internal/simulation/simnet"
)

const (
	host         = "a.example"
	dialTime     = 500 * time.Millisecond
	deadline     = 1500 * time.Millisecond
	readyEvery   = time.Second
	triesMost    = 3
	orderedKeys  = 12
	sendEvery    = 16 * time.Millisecond // on average
	delayMost    = 800                   // milliseconds
	questionTime = 2 * time.Second
	questions    = 20 // tries to learn a message's state at the end

	recentMessages = 60 // of which one is asked about
	askEvery       = 25 * time.Millisecond
)

// routes of messages, and how often each is drawn.
var routeNames = []string{"plain", "plain", "ordered", "ordered", "ordered", "rated", "callback", "changed"}

func (m *message) path() string { return "/" + m.route + "/" + m.id }

// service is the name that the services of a message's route begin with.
func (m *message) service() string {
	if m.route == "callback" {
		return "plain"
	}
	return m.route
}

// clients send messages and ask for their states.
type clients struct {
	world   *world
	network *simnet.Process

	mutex sync.Mutex
	ready map[string]bool // by edge machine
}

func newClients(w *world) *clients {
	return &clients{world: w, network: w.network.Process(clientMachine), ready: map[string]bool{}}
}

// httpClient returns a client that uses each connection once.
func httpClient(process *simnet.Process, timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:       timeout,
		Transport:     &http.Transport{DialContext: network.Dialer(process, dialTime), DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// watchReadiness asks every dispatcher whether it is ready.
func (c *clients) watchReadiness(ctx context.Context) {
	client := httpClient(c.network, readyEvery)
	for ctx.Err() == nil {
		for i := range machinesEach {
			machine := edgeMachine(i)
			go func() {
				response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", machine, readinessPort))
				ready := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				c.mutex.Lock()
				c.ready[machine] = ready
				c.mutex.Unlock()
			}()
		}
		pause(ctx, readyEvery)
	}
}

// pick returns a dispatcher that is ready, or any.
func (c *clients) pick(random *rand.Rand) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var ready []string
	for i := range machinesEach {
		if machine := edgeMachine(i); c.ready[machine] {
			ready = append(ready, machine)
		}
	}
	if len(ready) == 0 {
		return edgeMachine(random.IntN(machinesEach))
	}
	return ready[random.IntN(len(ready))]
}

// run sends messages for a time and waits for the last answers.
func (c *clients) run(span time.Duration, random *rand.Rand) {
	var sending sync.WaitGroup
	until := time.Now().Add(span)
	routes := c.world.options.routes()
	for number := 0; time.Now().Before(until); number++ {
		route := routes[random.IntN(len(routes))]
		seed := random.Uint64()
		sending.Go(func() { c.send(fmt.Sprintf("m%d", number), route, rand.New(rand.NewPCG(seed, 3))) })
		time.Sleep(time.Duration(random.ExpFloat64() * float64(sendEvery)))
	}
	sending.Wait()
}

// send sends one message; each try is a message of its own.
func (c *clients) send(name, route string, random *rand.Rand) {
	key := ""
	if route == "ordered" {
		key = fmt.Sprintf("key-%d", random.IntN(orderedKeys))
	}
	delay := 0
	if random.IntN(10) == 0 && route == "plain" {
		delay = random.IntN(delayMost)
	}
	until := time.Now().Add(deadline)
	for try := range triesMost {
		left := time.Until(until)
		if left <= 0 {
			return
		}
		m := &message{
			id: fmt.Sprintf("%s-%d", name, try), key: key, route: route, callback: route == "callback",
			body: strings.Repeat(name, 1+random.IntN(40)),
		}
		if again := c.try(m, c.pick(random), left, delay); !again {
			return
		}
		time.Sleep(time.Duration(20+random.IntN(100)) * time.Millisecond)
	}
}

// try sends a message to one dispatcher; it reports whether the client tries again.
func (c *clients) try(m *message, machine string, left time.Duration, delay int) bool {
	j := c.world.journal
	j.with(func() {
		m.sent, m.delay = j.now(), time.Duration(delay)*time.Millisecond
		j.messages[m.id] = m
		j.list = append(j.list, m)
	})
	request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", machine, frontPort, m.path()), strings.NewReader(m.body))
	request.Host = host
	request.Header.Set("X-Request-Id", m.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	if m.key != "" {
		request.Header.Set("X-Ordering-Key", m.key)
	}
	if delay > 0 {
		request.Header.Set("X-Delay-Ms", fmt.Sprint(delay))
	}
	if m.callback {
		request.Header.Set("X-Callback-Url", "http://"+receiverAddress+"/done")
	}
	client := httpClient(c.network, left)
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return false // it may have been taken
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	switch response.StatusCode {
	case http.StatusAccepted:
		j.with(func() { m.accepted = j.now() })
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		j.with(func() { m.refused = true })
		return true
	}
	return false
}

// askAll asks for the state of every accepted message, and for the bytes of
// those that have not completed.
func (c *clients) askAll(random *rand.Rand) {
	j := c.world.journal
	var accepted []*message
	j.with(func() {
		for _, m := range j.list {
			if m.accepted > 0 {
				accepted = append(accepted, m)
			}
		}
	})
	slots := make(chan struct{}, 64)
	var asking sync.WaitGroup
	for _, m := range accepted {
		seed := random.Uint64()
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			c.ask(m, rand.New(rand.NewPCG(seed, 4)))
		})
	}
	asking.Wait()
}

func (c *clients) ask(m *message, random *rand.Rand) {
	var state told
	for range questions {
		status, content := c.get("/message/"+m.id, random)
		m.finalStatus = status
		if status == http.StatusOK && json.Unmarshal(content, &state) == nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	m.finalState = state
	if state.State == "completed" {
		return
	}
	for range questions {
		status, content := c.get("/message-body/"+m.id, random)
		m.bodyStatus, m.finalBody = status, string(content)
		if status == http.StatusOK {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// watchStates asks any dispatcher, in touch or not, for the states of messages
// that were sent.
func (c *clients) watchStates(ctx context.Context, random *rand.Rand) {
	j := c.world.journal
	var asking sync.WaitGroup
	for ctx.Err() == nil {
		var m *message
		j.with(func() {
			if len(j.list) > 0 {
				recent := min(len(j.list), recentMessages)
				m = j.list[len(j.list)-1-random.IntN(recent)]
			}
		})
		machine := edgeMachine(random.IntN(machinesEach))
		if m != nil {
			asking.Go(func() { c.observe(m.id, machine) })
		}
		pause(ctx, time.Duration(random.ExpFloat64()*float64(askEvery)))
	}
	asking.Wait()
}

// observe asks one dispatcher for the state of a message and notes the answer.
func (c *clients) observe(id, machine string) {
	j := c.world.journal
	asked := j.now()
	status, content := c.getFrom(machine, "/message/"+id)
	var state told
	_ = json.Unmarshal(content, &state)
	if rank, tells := rankOfAnswer(status, state.State); tells {
		j.with(func() {
			j.observations = append(j.observations, observation{id, asked, j.now(), rank, state.Stamp, machine})
		})
	}
}

func (c *clients) get(path string, random *rand.Rand) (status int, content []byte) {
	return c.getFrom(c.pick(random), path)
}

func (c *clients) getFrom(machine, path string) (status int, content []byte) {
	client := httpClient(c.network, questionTime)
	request, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", machine, frontPort, path), nil)
	request.Host = host
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// receiver takes call-backs.
type receiver struct {
	world   *world
	network *simnet.Process
}

func newReceiver(w *world) *receiver {
	r := &receiver{world: w, network: w.network.Process(machineOf(receiverAddress))}
	serve(r.network, receiverAddress, r)
	return r
}

func (r *receiver) stop() { r.network.Kill() }

// ServeHTTP takes one call-back.
func (r *receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var body struct {
		ID string `json:"id"`
		told
	}
	content, err := io.ReadAll(request.Body)
	if err != nil || json.NewDecoder(bytes.NewReader(content)).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	j := r.world.journal
	j.mutex.Lock()
	defer j.mutex.Unlock()
	m := j.messages[body.ID]
	if m == nil {
		j.breaks = append(j.breaks, "MIXED call-back for unknown message "+body.ID)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.callbacks = append(m.callbacks, body.told)
	if rank, tells := rankOfAnswer(http.StatusOK, body.State); tells {
		now := j.now()
		j.observations = append(j.observations, observation{body.ID, now, now, rank, body.Stamp, machineOf(request.RemoteAddr)})
	}
}

// pause waits for a time or the context's end.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
