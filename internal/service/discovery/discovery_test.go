package discovery

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/view"
)

func ids(senders []view.Sender) []string {
	list := []string{}
	for _, sender := range senders {
		list = append(list, sender.ID)
	}
	return list
}

func instance(id, state string) Instance { return Instance{ID: id, Service: "s", State: state} }

func token(value string) *string { return &value }

func TestPagesAreMergedIntoOneList(t *testing.T) {
	c := qt.New(t)
	r := newPageCollector()
	next, err := r.add(Page{Instances: []Instance{instance("b", "draining"), instance("c", "ready")}, NextToken: token("p-2")})
	c.Assert(err, qt.IsNil)
	c.Assert(next, qt.Equals, "p-2")
	next, err = r.add(Page{Instances: []Instance{instance("a", "ready"), instance("b", "ready")}})
	c.Assert(err, qt.IsNil)
	c.Assert(next, qt.Equals, "")
	c.Assert(ids(r.list()), qt.DeepEquals, []string{"a", "b", "c"})
	c.Assert(r.list()[1].Draining, qt.IsTrue, qt.Commentf("it is listed twice and draining in one entry"))
}

func TestEndlessListIsRejected(t *testing.T) {
	c := qt.New(t)
	r := newPageCollector()
	_, err := r.add(Page{NextToken: token("p-1")})
	c.Assert(err, qt.IsNil)
	_, err = r.add(Page{NextToken: token("p-1")})
	c.Assert(err, qt.ErrorMatches, ".*no end.*")
	_, err = newPageCollector().add(Page{Instances: []Instance{{}}})
	c.Assert(err, qt.ErrorMatches, ".*no id.*")
}

func TestUnknownStatesCountAsDraining(t *testing.T) {
	c := qt.New(t)
	c.Assert(instance("a", "ready").sender().Draining, qt.IsFalse)
	c.Assert(instance("a", "stopping").sender().Draining, qt.IsTrue)
	warm := Instance{ID: "a", WarmupLeftMs: 1500}
	c.Assert(warm.sender().WarmupLeft, qt.Equals, 1500*time.Millisecond)
}

func TestSenderMissingBetweenPagesIsKeptOnce(t *testing.T) {
	c := qt.New(t)
	known := []view.Sender{{ID: "a"}, {ID: "b"}}
	list := List{Senders: []view.Sender{{ID: "a"}}, Pages: 2}
	var o omissionFilter
	c.Assert(ids(o.complete(list, known)), qt.DeepEquals, []string{"a", "b"})
	c.Assert(ids(o.complete(list, known)), qt.DeepEquals, []string{"a"})
	o = omissionFilter{}
	list.Pages = 1
	c.Assert(ids(o.complete(list, known)), qt.DeepEquals, []string{"a"}, qt.Commentf("a list of one page is used as it is"))
}

func TestSourceReadsAllPagesOrFails(t *testing.T) {
	c := qt.New(t)
	pages := map[string]string{
		"":    `{"instances":[{"id":"i-1","service":"a","address":"1.2.3.4:5","slots":6,"state":"ready","warmupLeftMs":0}],"nextToken":"p-1"}`,
		"p-1": `{"instances":[{"id":"i-2","state":"draining"}],"nextToken":null}`,
	}
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		c.Check(request.URL.Path, qt.Equals, "/instances")
		key := request.URL.Query().Get("pageToken")
		if key != "" {
			response.WriteHeader(status)
		}
		fmt.Fprint(response, pages[key])
	}))
	defer server.Close()
	source := NewSource(server.Listener.Addr().String())
	list, err := source.Read(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(list.Pages, qt.Equals, 2)
	c.Assert(ids(list.Senders), qt.DeepEquals, []string{"i-1", "i-2"})
	c.Assert(list.Senders[0].Slots, qt.Equals, 6)

	for _, cut := range []string{`{"instances":[{"id":"i-2"`, `{}`, ``} {
		pages["p-1"] = cut
		list, err = source.Read(context.Background())
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s", cut))
		c.Assert(list.Senders, qt.HasLen, 0)
		c.Assert(list.Pages, qt.Equals, 2)
	}
	status = http.StatusTooManyRequests
	_, err = source.Read(context.Background())
	c.Assert(err, qt.ErrorIs, ErrRateLimited)
	status = http.StatusInternalServerError
	_, err = source.Read(context.Background())
	c.Assert(err, qt.ErrorMatches, ".*status 500")
	server.Close()
	_, err = source.Read(context.Background())
	c.Assert(err, qt.IsNotNil)
}

func TestScheduleKeepsWithinRateLimit(t *testing.T) {
	c := qt.New(t)
	s := NewSchedule(ReadInterval, 10)
	c.Assert(s.NextDelay(1, nil, 0), qt.Equals, ReadInterval)
	c.Assert(s.NextDelay(30, nil, 0), qt.Equals, 3*time.Second)
	c.Assert(s.NextDelay(1, ErrRateLimited, 0), qt.Equals, time.Second)
	c.Assert(s.NextDelay(1, ErrRateLimited, 1), qt.Equals, 3*time.Second)
	for range 10 {
		c.Assert(s.NextDelay(1, ErrRateLimited, 0) <= maxThrottleBackoff, qt.IsTrue)
	}
	c.Assert(s.NextDelay(1, nil, 0), qt.Equals, ReadInterval)
	failure := Class.New("refused")
	c.Assert(s.NextDelay(1, failure, 0), qt.Equals, ReadInterval)
	for range 10 {
		c.Assert(s.NextDelay(1, failure, 0) <= maxFailureBackoff, qt.IsTrue)
	}
	sparse := NewSparseSchedule(1500 * time.Millisecond)
	for range 10 {
		sparse.NextDelay(1, failure, 0)
	}
	c.Assert(sparse.NextDelay(1, failure, 0), qt.Equals, maxSparseFailureBackoff)
}

// member is a control member that can read the list, on a fake clock.
type member struct {
	hub    *distribution.Hub
	reader *reader
}

type testCluster struct {
	c   *qt.C
	now time.Time
}

func (s *testCluster) member(publisher string) *member {
	hub := distribution.NewHubWithClock(logr.Discard(), func() time.Time { return s.now })
	return &member{hub: hub, reader: &reader{
		hub: hub, publisher: publisher, log: logr.Discard(), schedule: NewSchedule(ReadInterval, 0),
	}}
}

// simulateRead simulates a successful read by a member at the current time.
func (s *testCluster) simulateRead(m *member, senders ...view.Sender) {
	m.reader.handleRead(List{Senders: senders, Pages: 1, StartedAt: s.now}, nil)
}

// transfer copies newer updates from one hub to another.
func (s *testCluster) transfer(to, from *distribution.Hub) {
	reply, err := from.Pull(context.Background(), distribution.Pull{Vector: to.Vector(nil)})
	s.c.Assert(err, qt.IsNil)
	for _, update := range reply.Updates {
		to.ApplyUpdate(update, s.now)
	}
}

func (s *testCluster) list(hub *distribution.Hub) []string {
	senders, _, _ := distribution.Payload[view.Senders](hub, view.TopicSenders)
	return ids(senders.List)
}

func newTestCluster(c *qt.C) *testCluster { return &testCluster{c: c, now: time.Unix(1000, 0)} }

func TestFailedReadKeepsTheList(t *testing.T) {
	c := qt.New(t)
	s := newTestCluster(c)
	m := s.member("a@1")
	s.simulateRead(m, view.Sender{ID: "i-1"})
	confirmed, _ := m.hub.Confirmed(view.TopicSenders)
	s.now = s.now.Add(time.Second)
	m.reader.handleRead(List{Pages: 2, StartedAt: s.now}, Class.New("page lost"))
	c.Assert(s.list(m.hub), qt.DeepEquals, []string{"i-1"})
	after, _ := m.hub.Confirmed(view.TopicSenders)
	c.Assert(after, qt.Equals, confirmed)
}

func TestUnchangedListIsConfirmedButNotPublished(t *testing.T) {
	c := qt.New(t)
	s := newTestCluster(c)
	m := s.member("a@1")
	s.simulateRead(m, view.Sender{ID: "i-1", WarmupLeft: 2 * time.Second})
	version := m.hub.Vector(nil)[view.TopicSenders]
	s.now = s.now.Add(time.Second)
	s.simulateRead(m, view.Sender{ID: "i-1", WarmupLeft: time.Second})
	c.Assert(m.hub.Vector(nil)[view.TopicSenders], qt.Equals, version)
	confirmed, ok := m.hub.Confirmed(view.TopicSenders)
	c.Assert(ok, qt.IsTrue)
	c.Assert(confirmed, qt.Equals, distribution.Confirmed{At: s.now, Interval: ReadInterval})
	s.simulateRead(m, view.Sender{ID: "i-1", Draining: true})
	c.Assert(m.hub.Vector(nil)[view.TopicSenders].Newer(version), qt.IsTrue)
}

func TestChangedListIsSentWithItsConfirmation(t *testing.T) {
	c := qt.New(t)
	s := newTestCluster(c)
	m := s.member("a@1")
	for _, id := range []string{"i-1", "i-2"} {
		s.now = s.now.Add(time.Second)
		s.simulateRead(m, view.Sender{ID: id})
		reply, err := m.hub.Pull(context.Background(), distribution.Pull{})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Confirmations[view.TopicSenders], qt.Equals, distribution.Confirmation{
			Version: reply.Updates[0].Version, Every: ReadInterval,
		})
	}
}

func TestNewReaderReplacesADeadOne(t *testing.T) {
	c := qt.New(t)
	s := newTestCluster(c)
	a, b, agent := s.member("a@1"), s.member("b@1"), s.member("agent")
	s.simulateRead(a, view.Sender{ID: "i-1"})
	s.transfer(b.hub, a.hub)
	s.transfer(agent.hub, a.hub)
	late, err := a.hub.Pull(context.Background(), distribution.Pull{}) // a delayed reply
	c.Assert(err, qt.IsNil)
	s.now = s.now.Add(2 * time.Second)
	s.simulateRead(b, view.Sender{ID: "i-1"}) // the same list, but under a new epoch
	s.simulateRead(b, view.Sender{ID: "i-2"})
	s.transfer(agent.hub, b.hub)
	c.Assert(s.list(agent.hub), qt.DeepEquals, []string{"i-2"})
	c.Assert(agent.hub.ApplyUpdate(late.Updates[0], s.now), qt.IsFalse)

	// The dead reader returns with its old list and receives the new one.
	s.transfer(a.hub, b.hub)
	c.Assert(a.hub.IsPublisher(view.TopicSenders, "a@1"), qt.IsFalse)
	c.Assert(s.list(a.hub), qt.DeepEquals, []string{"i-2"})
}

func TestPartitionedReadersBothServeAgents(t *testing.T) {
	c := qt.New(t)
	s := newTestCluster(c)
	a, b, agent := s.member("a@1"), s.member("b@1"), s.member("agent")
	for round := range 20 {
		sender := view.Sender{ID: fmt.Sprintf("i-%d", round)}
		s.simulateRead(a, sender)
		s.simulateRead(b, sender)
		s.transfer(agent.hub, a.hub)
		s.transfer(agent.hub, b.hub)
		s.now = s.now.Add(ReadInterval)
	}
	c.Assert(s.list(agent.hub), qt.DeepEquals, []string{"i-19"})
	s.transfer(a.hub, b.hub)
	s.transfer(b.hub, a.hub)
	ownedByA, ownedByB := a.hub.IsPublisher(view.TopicSenders, "a@1"), b.hub.IsPublisher(view.TopicSenders, "b@1")
	c.Assert(ownedByA != ownedByB, qt.IsTrue, qt.Commentf("after the partition heals, exactly one continues"))
}

// An entry that cannot be used is left out; it must not keep the others, and what comes later, from being known.
func TestOneEntryAtFaultDoesNotHideTheOthers(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("x", protocol.MaxNameBytes+1)
	for _, bad := range []string{
		`{"id":""}`, `{"id":7}`, `{"id":"bad","slots":"6"}`, `{"id":"bad","slots":-1}`, `{"id":"bad","slots":1048577}`,
		`{"id":"` + long + `"}`, `{"id":"bad","address":"` + long + `"}`, `[]`,
	} {
		r := newPageCollector()
		page, err := parsePage(http.StatusOK, []byte(`{"instances":[{"id":"i-1"},`+bad+`,{"id":"i-2"}],"nextToken":"p-1"}`))
		c.Assert(err, qt.IsNil)
		_, err = r.add(page)
		c.Assert(err, qt.IsNil)
		page, err = parsePage(http.StatusOK, []byte(`{"instances":[`+bad+`]}`))
		c.Assert(err, qt.IsNil)
		_, err = r.add(page)
		c.Assert(err, qt.IsNil)
		c.Assert(ids(r.list()), qt.DeepEquals, []string{"i-1", "i-2"}, qt.Commentf("%s", bad))
		c.Assert(r.leftOut.count, qt.Equals, 2)
		_, err = newPageCollector().add(page)
		c.Assert(err, qt.ErrorMatches, ".*none of 1 entries.*", qt.Commentf("such a list keeps the old one in place"))
	}
	c.Assert(Instance{ID: "a", WarmupLeftMs: 1e300}.sender().WarmupLeft, qt.Equals, maxWarmup)
	c.Assert(Instance{ID: "a", WarmupLeftMs: -1}.sender().WarmupLeft, qt.Equals, time.Duration(0))
}

// A list is cut where it would no longer fit into a frame.
func TestListFitsIntoAFrame(t *testing.T) {
	c := qt.New(t)
	r := newPageCollector()
	text := strings.Repeat("x", protocol.MaxNameBytes-8)
	total := 2 * maxListBytes / protocol.MaxNameBytes
	for i := range total {
		id := fmt.Sprintf("%s%08d", text, i)
		r.senders[id] = view.Sender{ID: id}
	}
	list := r.list()
	c.Assert(len(list) < total, qt.IsTrue)
	c.Assert(r.leftOut.count, qt.Equals, total-len(list))
	var encoded bytes.Buffer
	c.Assert(gob.NewEncoder(&encoded).Encode(view.Senders{List: list}), qt.IsNil)
	c.Assert(encoded.Len() <= maxListBytes, qt.IsTrue)
}
