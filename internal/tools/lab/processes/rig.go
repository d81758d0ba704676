// Package processes plays incidents against several real processes of the dispatcher on
// loopback addresses. Every pair of parties has a link of its own, which can be dark,
// silent, cut or lossy; processes are killed, stopped, continued and started again. It
// shares no code with the dispatcher, and holds it to the rules by what is seen outside.
package processes

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	linksFrom   = 10 // third part of the addresses at which dispatcher 0 reaches senders
	postsFrom   = 60 // the same for other dispatchers
	mostNodes   = 40
	peerPort    = 7946
	slack       = 1500 * time.Millisecond // for an answer past its deadline, on a busy machine
	leftBy      = 3 * time.Second         // after its loss nothing should come to a zone
	noticed     = time.Second             // a front goes on sending to a dead dispatcher for so long
	leavesFront = 300 * time.Millisecond  // the same to one that was told to end
	leavesMost  = 0.2                     // part of the clients that go elsewhere then; the rest stays to the end
	crossesIn   = 40 * time.Millisecond   // a request on a kept connection that ends so soon was not read
)

// Options say with what a scenario is played.
type Options struct {
	Binary string // the dispatcher
	Other  string // another build, for every second dispatcher; empty: the same
	Net    byte   // second part of the loopback addresses
	Dir    string // for configurations and logs
	Seed   uint64
	Lab    string // yardlab, which runs bad builds
}

// Result is what came of a run.
type Result struct {
	Messages, Served, Refused, Failed, Broken int
	Worth, Asked                              float64         // of what was in time, and of all
	Left, Back                                []time.Duration // from the first fault of a zone: when each dispatcher left it; from its heal: when it was back
	Changes                                   int             // phases told by all dispatchers together
	FalseLeaves                               int             // of zones that no fault has touched
	Astray                                    int             // messages that have come to a zone 3 s after its loss
	Hits                                      int             // messages that have reached senders
	Datagrams, Bytes                          int
	State, Held                               string   // of the rolling change, at the end
	New                                       int      // dispatchers that run its version then
	Upgrades                                  int      // and ways back
	Rules                                     []string // broken ones
}

// Service is the part of the worth asked for that was answered in time.
func (r *Result) Service() float64 { return r.Worth / max(1e-9, r.Asked) }

// node is a dispatcher's process.
type node struct {
	number, zone int
	config       string
	binary       string
	cmd          *exec.Cmd
	ready        time.Time // clients come from then on; zero: they do not
	dead         time.Time
	paused       bool
	done         chan struct{}
	ending       time.Time // SIGTERM was sent then; zero before
}

// ended says whether the process is over.
func (n *node) ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

type rig struct {
	s     *Scenario
	o     Options
	began time.Time
	rng   *rand.Rand

	nodes   []*node
	senders []*sender
	links   map[[2]int]*link
	sends   *sends
	post    *post
	change  change
	agents  []*agent

	mu      sync.Mutex
	result  Result
	version int
	changed chan struct{}
	known_  map[string]bool
	runs    map[string]int
	touched map[string]bool // zones that a fault has touched
	fault   time.Time       // the first that makes a zone dark
	healed  time.Time
	left    map[int]time.Time
	back    map[int]time.Time
}

func (r *rig) addr(c, d byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, r.o.Net, c, d}), port)
}

// door is the address of a dispatcher's door for operators.
func (r *rig) door(number int) string { return r.addr(1, byte(number+1), 8081).String() }

// operator is the operator's file of all dispatchers.
func (r *rig) operator() string { return filepath.Join(r.o.Dir, "operator.star") }

func (r *rig) broke(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.result.Rules) < 20 {
		r.result.Rules = append(r.result.Rules, fmt.Sprintf("%.1f s: rule ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
	}
}

// known says whether a client has sent a message of that name.
func (r *rig) known(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known_[id]
}

// ran books that a message begins to run.
func (r *rig) ran(id string, c *class) {
	r.mu.Lock()
	r.runs[id]++
	twice := c.effect == "side_effect" && r.runs[id] > 1
	r.mu.Unlock()
	if twice {
		r.broke("2: %s of class %s, which must not run twice, runs again", id, c.name)
	}
}

// list is what the agent of a dispatcher has been sent, its version, and what tells of the
// next.
func (r *rig) list(number int) (any, int, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []map[string]any
	for i, s := range r.senders {
		s.mu.Lock()
		e := map[string]any{"name": s.name, "address": r.links[[2]int{number, i}].at.String(), "zone": r.s.Zones[s.zone], "type": "plain",
			"group": s.zone, "status": s.status, "weight": 1, "since_ms": 0}
		if !s.since.IsZero() {
			e["since_ms"] = s.since.UnixMilli()
		}
		if s.status != "SERVING" {
			if s.told[number].IsZero() {
				s.told[number] = time.Now()
			}
		} else {
			delete(s.told, number)
		}
		s.mu.Unlock()
		entries = append(entries, e)
	}
	return map[string]any{"index": r.version, "snapshot": true, "endpoints": entries}, r.version, r.changed
}

// publish tells all agents of a new list.
func (r *rig) publish() {
	r.mu.Lock()
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
}

// Run plays a scenario.
func Run(ctx context.Context, s *Scenario, o Options) (Result, error) {
	r := &rig{s: s, o: o, rng: rand.New(rand.NewPCG(o.Seed, 0x666c)), links: map[[2]int]*link{}, sends: newSends(), version: 1, changed: make(chan struct{}),
		known_: map[string]bool{}, runs: map[string]int{}, touched: map[string]bool{}, left: map[int]time.Time{}, back: map[int]time.Time{}}
	defer r.close()
	if err := r.build(); err != nil {
		return r.result, fmt.Errorf("processes: %w", err)
	}
	r.began = time.Now()
	for _, n := range r.nodes {
		if err := r.start(n); err != nil {
			return r.result, fmt.Errorf("processes: %w", err)
		}
	}
	for deadline := time.Now().Add(20 * time.Second); ; {
		up := 0
		for _, n := range r.nodes {
			if r.isReady(n) {
				up++
			}
		}
		if up == len(r.nodes) {
			break
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return r.result, fmt.Errorf("processes: %d of %d dispatchers are ready", up, len(r.nodes))
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.began = time.Now()
	var clients sync.WaitGroup
	steps := slices.Clone(s.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	next := time.Duration(0)
	for i := 0; ; i++ {
		next += time.Duration(r.rng.ExpFloat64() / float64(s.Rate) * float64(time.Second))
		for len(steps) > 0 && steps[0].At <= next {
			time.Sleep(time.Until(r.began.Add(steps[0].At)))
			if err := r.do(steps[0]); err != nil {
				return r.result, fmt.Errorf("processes: %s at %v: %w", steps[0].What, steps[0].At, err)
			}
			steps = steps[1:]
		}
		if next > s.Length || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(r.began.Add(next)))
		c := &classes[r.rng.IntN(len(classes))]
		if n := r.pick(r.rng.IntN(len(s.Zones))); n != nil {
			clients.Add(1)
			go func() { defer clients.Done(); r.ask(n, c, i) }()
		} else {
			r.mu.Lock()
			r.result.Messages++
			r.result.Broken++
			r.result.Asked += c.worth
			r.mu.Unlock()
		}
	}
	clients.Wait()
	if err := r.endChange(); err != nil {
		return r.result, fmt.Errorf("processes: %w", err)
	}
	return r.sum(), ctx.Err()
}

// sum closes the books.
func (r *rig) sum() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.senders {
		s.mu.Lock()
		r.result.Hits += s.hits
		s.mu.Unlock()
	}
	r.post.mu.Lock()
	r.result.Datagrams, r.result.Bytes = r.post.sent, r.post.bytes
	r.post.mu.Unlock()
	for i := range r.nodes {
		if at, left := r.left[i]; left && !r.fault.IsZero() {
			r.result.Left = append(r.result.Left, at.Sub(r.fault))
		}
		if at, back := r.back[i]; back && !r.healed.IsZero() {
			r.result.Back = append(r.result.Back, at.Sub(r.healed))
		}
	}
	slices.Sort(r.result.Left)
	slices.Sort(r.result.Back)
	return r.result
}

// build makes the parties and their links.
func (r *rig) build() error {
	n := r.s.Dispatchers * len(r.s.Zones)
	r.post = &post{rng: rand.New(rand.NewPCG(r.o.Seed, 7)), deaf: map[[2]int]bool{}, conns: map[[2]int]*net.UDPConn{}, late: 10 * time.Millisecond}
	for i := range r.s.Senders * len(r.s.Zones) {
		s := &sender{name: fmt.Sprintf("s-%d", i), zone: i % len(r.s.Zones), at: r.addr(3, byte(i+1), 9000), r: r, status: "SERVING", told: map[int]time.Time{}}
		if err := s.start(); err != nil {
			return err
		}
		r.senders = append(r.senders, s)
	}
	for i := range n {
		node := &node{number: i, zone: i % len(r.s.Zones), binary: r.o.Binary}
		if r.o.Other != "" && i%2 == 1 {
			node.binary = r.o.Other
		}
		r.nodes = append(r.nodes, node)
		for j, s := range r.senders {
			l, err := newLink(r.addr(linksFrom+byte(i), 200, 0), r.addr(linksFrom+byte(i), byte(j+1), 9000), s.at, r.sends)
			if err != nil {
				return err
			}
			r.links[[2]int{i, j}] = l
		}
		a := &agent{r: r, number: i}
		if err := a.start(r.addr(2, byte(i+1), 8500)); err != nil {
			return err
		}
		r.agents = append(r.agents, a)
		r.post.reach = append(r.post.reach, r.addr(1, byte(i+1), peerPort))
		for j := range n {
			if i != j {
				if err := r.post.open(i, j, r.addr(postsFrom+byte(i), byte(j+1), peerPort)); err != nil {
					return err
				}
			}
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				go r.post.serve(i, j)
			}
		}
	}
	if err := os.WriteFile(r.operator(), []byte(r.s.Operator), 0o600); err != nil { // once: a process may be reading it
		return err
	}
	for _, node := range r.nodes {
		if err := r.configure(node); err != nil {
			return err
		}
	}
	return nil
}

// configure writes what a dispatcher is told.
func (r *rig) configure(n *node) error {
	var peers []string
	for j := range r.nodes {
		peers = append(peers, r.addr(postsFrom+byte(n.number), byte(j+1), peerPort).String())
	}
	var told []map[string]any
	var stretch []float64
	for _, c := range classes {
		told = append(told, map[string]any{"Name": c.name, "Aim": c.aim, "Deadline": patience.Milliseconds(), "Effect": c.effect, "Points": c.worth})
		stretch = append(stretch, 2)
	}
	known, _, _ := r.list(n.number)
	config := map[string]any{
		"name": fmt.Sprintf("n%d", n.number), "listen": r.addr(1, byte(n.number+1), 8080).String(), "discovery": r.addr(2, byte(n.number+1), 8500).String(),
		"admin": r.door(n.number), "peer_listen": r.post.reach[n.number].String(), "peers": peers, "seed": fmt.Sprintf("%x", r.o.Seed+uint64(n.number)),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512}, "known": known,
		"settings": map[string]any{
			"Areas": r.s.Zones, "Shapes": []string{"plain"}, "Balancers": len(r.nodes), "Index": n.number, "MyZone": n.zone, "Discovery": "automatic",
			"Classes": told, "Limits": map[string]any{"Cancel": true, "ParallelTries": true, "Peers": r.s.Talk, "Probes": true, "TryLimit": 4, "ConnIdle": 30000,
				"DialTimeout": 250, "OpenCap": 5000},
			"Prices": map[string]any{"CrossZone": 0.1, "Probe": 0.002}, "Report": map[string]any{"Names": []string{"outstanding", "recent_ms", "x0"}, "Source": "on_probe"},
			"Rules": map[string]any{"DrainGrace": grace.Milliseconds(), "OverloadFactor": factor, "OverloadFor": factorFor.Milliseconds(), "StartCapacity": startPart,
				"WarmUp": warmUp.Milliseconds()},
			"Specifics": map[string]any{"ClassStretch": stretch, "TellsStart": true, "ReportX0": "free slots"}}}
	if r.s.Stewards { // which gives each process its own
		delete(config, "admin")
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	n.config = filepath.Join(r.o.Dir, fmt.Sprintf("n%d.json", n.number))
	return os.WriteFile(n.config, text, 0o600)
}

// start starts a dispatcher's process.
func (r *rig) start(n *node) error {
	args := []string{"run"}
	if r.s.Operator != "" {
		args = append(args, "--operator", r.operator())
	}
	if err := r.configure(n); err != nil { // the list as it is now
		return err
	}
	cmd := exec.Command(n.binary, args...)
	folder := filepath.Join(r.o.Dir, fmt.Sprintf("n%d", n.number))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	if r.s.Stewards {
		cmd = r.steward(n, folder)
	}
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+n.config, "TMPDIR="+folder)
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	r.mu.Lock()
	n.cmd, n.dead, n.ending, n.paused, n.ready, n.done = cmd, time.Time{}, time.Time{}, false, time.Time{}, done
	r.mu.Unlock()
	go func() {
		r.read(n, out)
		cmd.Wait()
		close(done)
	}()
	go func() {
		for range 400 {
			q, err := http.Get("http://" + r.addr(1, byte(n.number+1), 8080).String() + "/ready")
			if err == nil {
				q.Body.Close()
				if q.StatusCode == http.StatusOK {
					r.mu.Lock()
					if n.cmd == cmd {
						n.ready = time.Now()
					}
					r.mu.Unlock()
					return
				}
			}
			time.Sleep(25 * time.Millisecond)
		}
	}()
	return nil
}

func (r *rig) isReady(n *node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !n.ready.IsZero()
}

// read keeps a dispatcher's log and takes what it tells of zones.
func (r *rig) read(n *node, out io.Reader) {
	file, err := os.OpenFile(filepath.Join(r.o.Dir, fmt.Sprintf("n%d.log", n.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		io.Copy(io.Discard, out)
		return
	}
	defer file.Close()
	for lines := bufio.NewScanner(out); lines.Scan(); {
		file.Write(append(lines.Bytes(), '\n'))
		var line struct{ Message, Zone, Phase string }
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Message != "zone changed" {
			continue
		}
		r.mu.Lock()
		r.result.Changes++
		switch line.Phase {
		case "left":
			if !r.touched[line.Zone] {
				r.result.FalseLeaves++
			} else if _, already := r.left[n.number]; !already {
				r.left[n.number] = time.Now()
			}
		case "here":
			r.back[n.number] = time.Now()
		}
		r.mu.Unlock()
	}
}

// pick is a dispatcher that the front of a zone sends clients to, one of another zone where
// there is none. Dead ones are noticed after a while.
func (r *rig) pick(zone int) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, all []*node
	for _, n := range r.nodes {
		if n.ready.IsZero() || !n.dead.IsZero() && time.Since(n.dead) > noticed || n.paused {
			continue
		}
		if !n.ending.IsZero() && (n.ended() || time.Since(n.ending) > leavesFront && r.rng.Float64() < leavesMost) { // some clients stay
			continue
		}
		if all = append(all, n); n.zone == zone {
			near = append(near, n)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return nil
	}
	return all[r.rng.IntN(len(all))]
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}

// ask sends a message and books its answer.
func (r *rig) ask(n *node, c *class, number int) {
	id := fmt.Sprintf("%016x", r.o.Seed<<32+uint64(number))
	r.mu.Lock()
	r.known_[id] = true
	r.result.Messages++
	r.result.Asked += c.worth
	r.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), patience+slack)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s/%s/x", r.addr(1, byte(n.number+1), 8080), c.name), strings.NewReader("a job"))
	if err != nil {
		return
	}
	q.Header.Set("X-Txn", id)
	q.Header.Set("X-Remaining", fmt.Sprintf("%.3f", patience.Seconds()))
	began := time.Now()
	var kept bool
	q = q.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { kept = c.Reused }}))
	a, err := client.Do(q)
	// What crosses the end of a connection that rested is sent once more on a new one. One that ends
	// later than that had read the request.
	if kept = kept && time.Since(began) < crossesIn; err != nil && kept && ctx.Err() == nil {
		q.Body, _ = q.GetBody()
		kept = false
		client.CloseIdleConnections()
		a, err = client.Do(q)
	}
	status := 0
	if err == nil {
		var text []byte
		if text, err = io.ReadAll(a.Body); err == nil {
			if status = a.StatusCode; status == http.StatusOK && string(text) != id {
				r.broke("1: message %s was answered with %.40q", id, text)
			}
		}
		a.Body.Close()
	}
	took := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	lives := n.dead.IsZero() && !n.paused
	switch {
	case err != nil:
		r.result.Broken++
		if lives && errors.Is(err, context.DeadlineExceeded) && len(r.result.Rules) < 20 {
			r.result.Rules = append(r.result.Rules, fmt.Sprintf("rule 1: message %s has no answer from dispatcher %d", id, n.number))
		}
		if lives && !n.ending.IsZero() && !kept && !errors.Is(err, syscall.ECONNREFUSED) && len(r.result.Rules) < 20 {
			r.result.Rules = append(r.result.Rules, fmt.Sprintf("rule 1: message %s is lost %v after dispatcher %d was told to end: %v", id,
				time.Since(n.ending).Round(time.Millisecond), n.number, err))
		}
	case status == http.StatusOK:
		r.result.Served++
		if took.Seconds()*1000 <= c.aim+2*c.work.Seconds()*1000 {
			r.result.Worth += c.worth
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.result.Refused++
		if c.effect == "side_effect" && r.runs[id] > 0 && len(r.result.Rules) < 20 {
			r.result.Rules = append(r.result.Rules, fmt.Sprintf("rule 2: message %s has run and is refused as harmless", id))
		}
	default:
		r.result.Failed++
	}
}

// do makes a fault, or heals one.
func (r *rig) do(s Step) error {
	switch s.What {
	case "dark", "silent", "cut", "heal":
		r.setLinks(s)
	case "lossy":
		r.post.mu.Lock()
		r.post.lost, r.post.doubled, r.post.late = s.Part, s.Part/2, 10*time.Millisecond+time.Duration(s.Part*float64(300*time.Millisecond))
		r.post.mu.Unlock()
	case "deaf", "hears":
		r.post.mu.Lock()
		for i := range r.nodes {
			for _, j := range s.Nodes {
				r.post.deaf[[2]int{i, j}], r.post.deaf[[2]int{j, i}] = s.What == "deaf", s.What == "deaf"
			}
		}
		r.post.mu.Unlock()
	case "restart": // the zone's senders, which come back cold
		for _, snd := range r.senders {
			if r.s.Zones[snd.zone] == s.Zone {
				snd.stop()
				snd.mu.Lock()
				snd.since = time.Now()
				snd.mu.Unlock()
				if err := snd.start(); err != nil {
					return err
				}
			}
		}
		r.publish()
	case "drain", "serve":
		for _, snd := range r.senders {
			if snd.name == s.Sender {
				snd.mu.Lock()
				snd.status = map[string]string{"drain": "DRAINING", "serve": "SERVING"}[s.What]
				snd.mu.Unlock()
			}
		}
		r.publish()
	case "leave", "return": // by hand, told to some; the fleet follows
		r.touch(s.Zone, s.What == "leave")
		for _, i := range s.Nodes {
			if out, err := exec.Command(r.nodes[i].binary, "zone", s.What, s.Zone, "--door", r.door(i)).CombinedOutput(); err != nil {
				return fmt.Errorf("%w: %s", err, out)
			}
		}
	case "rollout":
		return r.roll(s)
	case "kill_controller":
		r.killController()
	case "hold", "go", "back":
		if out, err := r.tell(s.What); err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
	case "kill", "stop", "continue", "start", "end", "reload":
		for _, i := range s.Nodes {
			if err := r.signal(r.nodes[i], s.What); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *rig) signal(n *node, what string) error {
	r.mu.Lock()
	cmd := n.cmd
	switch what {
	case "kill":
		n.dead = time.Now()
	case "end":
		if n.ending.IsZero() {
			n.ending = time.Now()
		}
	case "stop":
		n.paused = true
	case "continue":
		n.paused = false
	}
	r.mu.Unlock()
	switch what {
	case "kill":
		return cmd.Process.Kill()
	case "end":
		return cmd.Process.Signal(syscall.SIGTERM)
	case "reload":
		return cmd.Process.Signal(syscall.SIGHUP)
	case "stop":
		return cmd.Process.Signal(syscall.SIGSTOP)
	case "continue":
		return cmd.Process.Signal(syscall.SIGCONT)
	}
	<-n.done
	return r.start(n)
}

// touch books that a zone is lost from now on, or is no longer.
func (r *rig) touch(zone string, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !lost {
		r.healed = time.Now()
		return
	}
	r.touched[zone] = true
	if r.fault.IsZero() {
		r.fault = time.Now()
	}
}

// astray books a message that has come to a zone which all should have left by now.
func (r *rig) astray(zone int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.touched[r.s.Zones[zone]] && r.healed.IsZero() && time.Since(r.fault) > leftBy {
		r.result.Astray++
	}
}

// setLinks changes the links from some dispatchers, or all, to the senders of a zone.
func (r *rig) setLinks(s Step) {
	r.touch(s.Zone, s.What != "heal")
	var wait sync.WaitGroup
	for pair, l := range r.links {
		snd := r.senders[pair[1]]
		if r.s.Zones[snd.zone] != s.Zone || len(s.Nodes) > 0 && !slices.Contains(s.Nodes, pair[0]) || s.Sender != "" && snd.name != s.Sender {
			continue
		}
		wait.Add(1)
		go func() { defer wait.Done(); l.set(states[s.What]) }()
	}
	wait.Wait()
}

// close ends all that the run has started.
func (r *rig) close() {
	r.killController()
	if r.s.Stewards {
		r.endStewards()
	}
	for _, n := range r.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.cmd.Process.Kill()
			<-n.done
		}
	}
	for _, l := range r.links {
		l.close()
	}
	if r.post != nil {
		r.post.close()
	}
	for _, a := range r.agents {
		a.server.Close()
	}
	for _, s := range r.senders {
		s.stop()
	}
	client.CloseIdleConnections()
}
