package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/view"
	"yardwharf/internal/simulation/simnet"
)

// serviceSender is a scripted sender of one service.
type serviceSender struct {
	mutex    sync.Mutex
	messages []string            // ids, as they came
	deadline []string            // X-Deadline-Ms of each
	answer   func(id string) int // status; nil: success
}

func (s *serviceSender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	s.mutex.Lock()
	s.messages = append(s.messages, id)
	s.deadline = append(s.deadline, r.Header.Get(headerDeadline))
	answer := s.answer
	s.mutex.Unlock()
	status := http.StatusOK
	if answer != nil {
		status = answer(id)
	}
	w.Header().Set(headerRequestID, id)
	w.Header().Set("X-Server-Seal", "seal-"+id)
	w.WriteHeader(status)
}

func (s *serviceSender) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.messages)
}

// Addresses of the two services' senders.
const (
	oldSender = "10.5.0.1:80"
	newSender = "10.5.0.2:80"
)

// routeTo is a configuration with one route for each of the paths, to a service.
func routeTo(revision int, service string, timeoutMs, maxRetries int, paths ...string) view.Configuration {
	var routes []string
	for _, path := range paths {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"hostname":"a.example","pathPrefix":%q,"timeoutMs":%d,"service":%q,"maxRetries":%d,"retentionS":90}`,
			path, path, timeoutMs, service, maxRetries))
	}
	raw := fmt.Sprintf(`{"revision":%d,"routes":[%s],"services":[{"name":"old","maxConns":8},{"name":"new","maxConns":8}],"limits":{}}`,
		revision, strings.Join(routes, ","))
	return view.Configuration{Revision: int64(revision), Raw: []byte(raw)}
}

// reconfigured is a dispatcher between two services, whose senders can be dark.
type reconfigured struct {
	*Dispatcher
	end      func()
	network  *simnet.Network
	old, new serviceSender
	owned    *ownedQueue
}

// newReconfigured returns a dispatcher whose messages go to the old service.
func newReconfigured(c *qt.C) *reconfigured {
	r := &reconfigured{network: millisecondNetwork()}
	var senders []*simnet.Process
	for address, handler := range map[string]http.Handler{oldSender: &r.old, newSender: &r.new} {
		process := r.network.Process(strings.TrimSuffix(address, ":80"))
		senders = append(senders, process)
		listener, err := process.Listen(address)
		c.Assert(err, qt.IsNil)
		go func() { _ = http.Serve(listener, handler) }()
	}
	dispatcher, end := simulated(r.network)
	r.Dispatcher = dispatcher
	pump, stop := context.WithCancel(context.Background())
	go r.runPump(pump)
	r.end = func() {
		stop()
		for _, process := range senders {
			process.Kill()
		}
		end()
	}
	r.takeConfiguration(routeTo(2, "old", 400, 3, "/a/"))
	r.list(oldSender, newSender)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owned = &ownedQueue{Queue: queue.New(r.localQueue, 1), accepting: map[string]chan struct{}{}}
	r.queues[r.localQueue] = r.owned
	return r
}

// list has the platform list these senders.
func (r *reconfigured) list(addresses ...string) {
	services := map[string]string{oldSender: "old", newSender: "new"}
	var list []view.Sender
	for _, address := range addresses {
		list = append(list, view.Sender{ID: address, Service: services[address], Address: address, Zone: "z", Slots: 4})
	}
	r.takeSenders(view.Senders{List: list})
}

// dark cuts a sender off, silently, or joins it again.
func (r *reconfigured) dark(address string, on bool) {
	r.network.Cut(edgeIP, strings.TrimSuffix(address, ":80"), on)
	r.network.Cut(strings.TrimSuffix(address, ":80"), edgeIP, on)
}

// add takes messages in, as if they had been accepted just now.
func (r *reconfigured) add(count int, path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for n := range count {
		r.owned.Add(r.now(), protocol.Head{
			ID: fmt.Sprintf("%s%d", path, n), Method: "POST", Host: "a.example", Target: path, Retention: time.Minute,
		}, nil, nil)
	}
	r.pump(r.owned)
}

// states counts the messages by their state.
func (r *reconfigured) states() map[protocol.State]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := map[protocol.State]int{}
	r.owned.Each(func(entry *queue.Entry) { counts[entry.Head.State]++ })
	return counts
}

// TestBacklogFollowsTheConfiguration has a backlog wait for dark senders while a
// configuration sends its route to another service: that one gets all of it at once, the
// old one nothing more, also when its senders come back.
func TestBacklogFollowsTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newReconfigured(c)
		r.dark(oldSender, true)
		r.add(100, "/a/")
		time.Sleep(5 * time.Second)
		r.takeConfiguration(routeTo(3, "new", 400, 3, "/a/"))
		time.Sleep(3 * time.Second)
		c.Check(r.new.count(), qt.Equals, 100)
		c.Check(r.states(), qt.DeepEquals, map[protocol.State]int{protocol.Completed: 100})
		r.dark(oldSender, false)
		time.Sleep(5 * time.Second)
		c.Check(r.old.count(), qt.Equals, 0)
		c.Check(r.new.count(), qt.Equals, 100)
		c.Check(r.deliveries, qt.HasLen, 0)
		r.end()
	})
}

// TestBacklogOfADroppedRouteEnds drops a route while its messages wait for dark senders.
func TestBacklogOfADroppedRouteEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newReconfigured(c)
		r.takeConfiguration(routeTo(3, "old", 400, 3, "/a/", "/b/"))
		r.dark(oldSender, true)
		r.add(50, "/a/")
		r.add(1, "/b/")
		time.Sleep(5 * time.Second)
		r.takeConfiguration(routeTo(4, "old", 400, 3, "/b/"))
		time.Sleep(3 * time.Second)
		c.Check(r.states(), qt.DeepEquals, map[protocol.State]int{protocol.DeadLetter: 50, protocol.Queued: 1})
		r.dark(oldSender, false)
		time.Sleep(5 * time.Second)
		c.Check(r.old.messages, qt.DeepEquals, []string{"/b/0"})
		c.Check(r.states(), qt.DeepEquals, map[protocol.State]int{protocol.DeadLetter: 50, protocol.Completed: 1})
		r.end()
	})
}
