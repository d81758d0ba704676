package distribution

import (
	"context"
	"encoding/gob"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

const numbersTopic = "numbers"

// numbersPayload is a payload that can be sent as a difference.
type numbersPayload struct{ Values []int }

// numbersDifference is a difference that appends values.
type numbersDifference struct{ Values []int }

func (n numbersPayload) Difference(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(numbersPayload)
	if !ok || len(base.Values) > len(n.Values) {
		return nil, false
	}
	return numbersDifference{n.Values[len(base.Values):]}, true
}

func (a numbersDifference) Apply(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(numbersPayload)
	return numbersPayload{append(slices.Clone(base.Values), a.Values...)}, ok
}

func init() {
	gob.Register(numbersPayload{})
	gob.Register(numbersDifference{})
}

// fakeClock is a clock that tests advance.
type fakeClock struct{ at time.Time }

func newFakeClock() *fakeClock { return &fakeClock{at: time.Unix(1000, 0)} }

func (k *fakeClock) now() time.Time                 { return k.at }
func (k *fakeClock) advance(duration time.Duration) { k.at = k.at.Add(duration) }
func (k *fakeClock) hub() *Hub                      { return NewHubWithClock(logr.Discard(), k.now) }

// pull pulls from one hub into another, without waiting and without network delay.
func pull(c *qt.C, k *fakeClock, target, source *Hub) PullReply {
	reply, err := source.Pull(context.Background(), Pull{Vector: target.Vector(nil)})
	c.Assert(err, qt.IsNil)
	target.applyReply(reply, k.now(), 0)
	return reply
}

func heldNumbers(c *qt.C, h *Hub) []int {
	value, _, ok := Payload[numbersPayload](h, numbersTopic)
	c.Assert(ok, qt.IsTrue)
	return value.Values
}

func TestVersionsAreOrderedByEpochThenCounter(t *testing.T) {
	c := qt.New(t)
	ordered := []Version{{}, {0, 5}, {1, 0}, {1, 2}, {2, 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			c.Assert(a.Newer(b), qt.Equals, i > j)
		}
	}
}

func TestNextEpochIsNewerThanSeenAndDiffersByPublisher(t *testing.T) {
	c := qt.New(t)
	seen := Version{Epoch: 7<<termShift | 1<<termShift - 1, Counter: 900}
	a, b := nextEpoch(seen, "a"), nextEpoch(seen, "b")
	c.Assert(a.Newer(seen), qt.IsTrue)
	c.Assert(b.Newer(seen), qt.IsTrue)
	c.Assert(a, qt.Not(qt.Equals), b)
}

func TestOlderUpdateIsRejected(t *testing.T) {
	c := qt.New(t)
	h := newFakeClock().hub()
	c.Assert(h.Publish(numbersTopic, Version{1, 2}, numbersPayload{[]int{2}}), qt.IsTrue)
	c.Assert(h.Publish(numbersTopic, Version{1, 1}, numbersPayload{[]int{1}}), qt.IsFalse)
	c.Assert(h.Publish(numbersTopic, Version{1, 2}, numbersPayload{[]int{3}}), qt.IsFalse)
	c.Assert(heldNumbers(c, h), qt.DeepEquals, []int{2})
}

func TestDifferenceIsSentIfTheBaseIsInTheHistory(t *testing.T) {
	c := qt.New(t)
	k := newFakeClock()
	source, near, far := k.hub(), k.hub(), k.hub()
	source.Publish(numbersTopic, Version{0, 1}, numbersPayload{[]int{1}})
	pull(c, k, near, source)
	pull(c, k, far, source)
	source.Publish(numbersTopic, Version{0, 2}, numbersPayload{[]int{1, 2}})
	reply := pull(c, k, near, source)
	c.Assert(reply.Updates[0].Payload, qt.DeepEquals, any(numbersDifference{[]int{2}}))
	c.Assert(heldNumbers(c, near), qt.DeepEquals, []int{1, 2})

	values := []int{1, 2}
	for counter := range uint64(historySize + 1) {
		values = append(slices.Clone(values), int(counter)+3)
		source.Publish(numbersTopic, Version{0, counter + 3}, numbersPayload{values})
	}
	reply = pull(c, k, far, source)
	c.Assert(reply.Updates[0].Base, qt.Equals, Version{}, qt.Commentf("the full payload is sent for an old version"))
	c.Assert(heldNumbers(c, far), qt.DeepEquals, values)
}

func TestDifferenceFromAnotherBaseIsRejected(t *testing.T) {
	c := qt.New(t)
	k := newFakeClock()
	h := k.hub()
	h.Publish(numbersTopic, Version{0, 1}, numbersPayload{[]int{1}})
	update := Update{Topic: numbersTopic, Version: Version{0, 4}, Base: Version{0, 2}, Payload: numbersDifference{[]int{4}}}
	c.Assert(h.ApplyUpdate(update, k.now()), qt.IsFalse)
	update.Base, update.Payload = Version{0, 1}, numbersPayload{[]int{9}}
	c.Assert(h.ApplyUpdate(update, k.now()), qt.IsFalse, qt.Commentf("the payload is not a Difference"))
	c.Assert(heldNumbers(c, h), qt.DeepEquals, []int{1})
}

func TestPublisherAdvancesBeyondVersionsOfOthers(t *testing.T) {
	c := qt.New(t)
	h := newFakeClock().hub()
	first := h.Advance(numbersTopic, "a", numbersPayload{[]int{1}})
	second := h.Advance(numbersTopic, "a", numbersPayload{[]int{2}})
	c.Assert(second, qt.Equals, Version{first.Epoch, first.Counter + 1})
	foreign := nextEpoch(second, "b")
	c.Assert(h.Publish(numbersTopic, foreign, numbersPayload{[]int{3}}), qt.IsTrue)
	c.Assert(h.IsPublisher(numbersTopic, "a"), qt.IsFalse)
	c.Assert(h.Advance(numbersTopic, "a", numbersPayload{[]int{4}}).Newer(foreign), qt.IsTrue)
}

func TestRestartedPublisherSupersedesItsOldVersions(t *testing.T) {
	c := qt.New(t)
	k := newFakeClock()
	before, puller := k.hub(), k.hub()
	for value := range 5 {
		before.Advance(numbersTopic, "a@1", numbersPayload{[]int{value}})
	}
	pull(c, k, puller, before)

	after := k.hub()
	after.Advance(numbersTopic, "a@2", numbersPayload{[]int{50}})
	pull(c, k, puller, after)
	c.Assert(heldNumbers(c, puller), qt.DeepEquals, []int{50})
	c.Assert(after.IsPublisher(numbersTopic, "a@2"), qt.IsTrue)
}

func TestTwoPublishersReassertAtALimitedRate(t *testing.T) {
	c := qt.New(t)
	k := newFakeClock()
	a, b, between := k.hub(), k.hub(), k.hub()
	a.Advance(numbersTopic, "a", numbersPayload{[]int{1}})
	b.Advance(numbersTopic, "b", numbersPayload{[]int{2}})
	changes := 0
	for range 100 { // a second of pulls
		for _, source := range []*Hub{a, b} {
			before := between.Vector(nil)[numbersTopic]
			pull(c, k, between, source)
			if between.Vector(nil)[numbersTopic] != before {
				changes++
			}
		}
		k.advance(10 * time.Millisecond)
	}
	c.Assert(changes <= 10, qt.IsTrue, qt.Commentf("%d changes", changes))
}

func TestConfirmationCountsOnlyForItsVersion(t *testing.T) {
	c := qt.New(t)
	k := newFakeClock()
	source, puller := k.hub(), k.hub()
	source.Advance(numbersTopic, "a", numbersPayload{[]int{1}})
	pull(c, k, puller, source)
	_, ok := puller.Confirmed(numbersTopic)
	c.Assert(ok, qt.IsFalse)

	source.Confirm(numbersTopic, "another", Confirmed{At: k.now()})
	_, ok = source.Confirmed(numbersTopic)
	c.Assert(ok, qt.IsFalse)
	readAt := k.now()
	source.Confirm(numbersTopic, "a", Confirmed{At: readAt, Interval: time.Second})
	k.advance(300 * time.Millisecond)
	reply := pull(c, k, puller, source)
	confirmed, ok := puller.Confirmed(numbersTopic)
	c.Assert(ok, qt.IsTrue)
	c.Assert(confirmed, qt.Equals, Confirmed{At: readAt, Interval: time.Second})

	puller.Publish(numbersTopic, Version{1 << 60, 1}, numbersPayload{[]int{2}})
	puller.applyReply(reply, k.now(), 0)
	_, ok = puller.Confirmed(numbersTopic)
	c.Assert(ok, qt.IsFalse)
}

func TestTransitTimeIsAddedToAges(t *testing.T) {
	c := qt.New(t)
	k := newFakeClock()
	source, puller := k.hub(), k.hub()
	source.Advance(numbersTopic, "a", numbersPayload{[]int{1}})
	source.Confirm(numbersTopic, "a", Confirmed{At: k.now()})
	left := k.now()
	reply, err := source.Pull(context.Background(), Pull{})
	c.Assert(err, qt.IsNil)
	k.advance(2 * time.Second)
	puller.applyReply(reply, k.now(), 2*time.Second)
	confirmed, _ := puller.Confirmed(numbersTopic)
	c.Assert(confirmed.At, qt.Equals, left)
	_, update, _ := Payload[numbersPayload](puller, numbersTopic)
	c.Assert(update.Age, qt.Equals, 2*time.Second)
}

func TestLongPollEndsOnAChangeToItsTopics(t *testing.T) {
	c := qt.New(t)
	h := newFakeClock().hub()
	replies := make(chan PullReply, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() {
		reply, err := h.Pull(ctx, Pull{Topics: []string{"numb"}, Wait: maxWait})
		c.Check(err, qt.IsNil)
		replies <- reply
	}()
	h.Publish("other", Version{0, 1}, numbersPayload{})
	h.Publish(numbersTopic, Version{0, 1}, numbersPayload{[]int{1}})
	reply := <-replies
	c.Assert(reply.Updates, qt.HasLen, 1)
	c.Assert(reply.Updates[0].Topic, qt.Equals, numbersTopic)
	c.Assert(h.waiters, qt.HasLen, 0)
}

func TestLongPollEndsWhenItsContextIsCanceled(t *testing.T) {
	c := qt.New(t)
	h := newFakeClock().hub()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := h.Pull(ctx, Pull{Wait: maxWait})
	c.Assert(err, qt.ErrorIs, context.Canceled)
	c.Assert(h.waiters, qt.HasLen, 0)
}

func TestSubscriptionReceivesOnlyChangesToItsTopics(t *testing.T) {
	c := qt.New(t)
	h := newFakeClock().hub()
	changes, cancel := h.Subscribe(numbersTopic)
	h.Publish("other", Version{0, 1}, numbersPayload{})
	c.Assert(changes, qt.HasLen, 0)
	h.Publish(numbersTopic, Version{0, 1}, numbersPayload{})
	h.Publish(numbersTopic, Version{0, 2}, numbersPayload{})
	c.Assert(changes, qt.HasLen, 1)
	cancel()
	c.Assert(h.waiters, qt.HasLen, 0)
}

func TestTopicsLearnedFromVectorsAreLimited(t *testing.T) {
	c := qt.New(t)
	h := newFakeClock().hub()
	vector := map[string]Version{}
	for i := range 2 * maxTopics {
		vector[string(rune('a'+i%26))+time.Duration(i).String()] = Version{1, 1}
	}
	_, err := h.Pull(context.Background(), Pull{Vector: vector})
	c.Assert(err, qt.IsNil)
	c.Assert(len(h.topics), qt.Equals, maxTopics)
}

// sizedPayload is a payload of a stated size.
type sizedPayload struct{ Bytes int }

func (p sizedPayload) MaxEncodedBytes() int { return p.Bytes }

// Large payloads that exceed a frame together come one after the other: none keeps the others from arriving.
func TestLargeUpdatesComeInSeveralReplies(t *testing.T) {
	c := qt.New(t)
	k := newFakeClock()
	source, target := k.hub(), k.hub()
	for _, size := range []struct {
		name  string
		bytes int
	}{{"a", maxReplyBytes + 1}, {"b", maxReplyBytes / 2}, {"c", maxReplyBytes / 2}, {"d", maxReplyBytes / 2}} {
		source.Publish(size.name, Version{1, 1}, sizedPayload{size.bytes})
	}
	var replies [][]string
	for len(target.Vector(nil)) < 4 && len(replies) < 4 {
		var names []string
		for _, update := range pull(c, k, target, source).Updates {
			names = append(names, update.Topic)
		}
		replies = append(replies, names)
	}
	c.Assert(replies, qt.DeepEquals, [][]string{{"a"}, {"b", "c"}, {"d"}})
}
