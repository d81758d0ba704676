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

// numbers is an incremental payload.
type numbers struct{ Values []int }

// added leads from some numbers to more.
type added struct{ Values []int }

func (n numbers) Difference(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(numbers)
	if !ok || len(base.Values) > len(n.Values) {
		return nil, false
	}
	return added{n.Values[len(base.Values):]}, true
}

func (a added) Apply(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(numbers)
	return numbers{append(slices.Clone(base.Values), a.Values...)}, ok
}

func init() {
	gob.Register(numbers{})
	gob.Register(added{})
}

// clock is a steady clock that tests move.
type clock struct{ at time.Time }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

func (k *clock) now() time.Time                 { return k.at }
func (k *clock) advance(duration time.Duration) { k.at = k.at.Add(duration) }
func (k *clock) hub() *Hub                      { return NewHubWithClock(logr.Discard(), k.now) }

// pull has one hub pull from another, without waiting, over a link that takes
// no time.
func pull(c *qt.C, k *clock, to, from *Hub) PullReply {
	reply, err := from.Pull(context.Background(), Pull{Vector: to.Vector(nil)})
	c.Assert(err, qt.IsNil)
	to.takeReply(reply, k.now(), 0)
	return reply
}

func held(c *qt.C, h *Hub) []int {
	value, _, ok := Payload[numbers](h, numbersTopic)
	c.Assert(ok, qt.IsTrue)
	return value.Values
}

func TestVersionsGrowByEpochThenCounter(t *testing.T) {
	c := qt.New(t)
	ordered := []Version{{}, {0, 5}, {1, 0}, {1, 2}, {2, 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			c.Assert(a.Newer(b), qt.Equals, i > j)
		}
	}
}

func TestTheNextEpochIsAboveAllAndOfItsPublisherOnly(t *testing.T) {
	c := qt.New(t)
	seen := Version{Epoch: 7<<termShift | 1<<termShift - 1, Counter: 900}
	a, b := nextEpoch(seen, "a"), nextEpoch(seen, "b")
	c.Assert(a.Newer(seen), qt.IsTrue)
	c.Assert(b.Newer(seen), qt.IsTrue)
	c.Assert(a, qt.Not(qt.Equals), b)
}

func TestAnOlderUpdateAfterANewerIsRefused(t *testing.T) {
	c := qt.New(t)
	h := newClock().hub()
	c.Assert(h.Publish(numbersTopic, Version{1, 2}, numbers{[]int{2}}), qt.IsTrue)
	c.Assert(h.Publish(numbersTopic, Version{1, 1}, numbers{[]int{1}}), qt.IsFalse)
	c.Assert(h.Publish(numbersTopic, Version{1, 2}, numbers{[]int{3}}), qt.IsFalse)
	c.Assert(held(c, h), qt.DeepEquals, []int{2})
}

func TestADifferenceGoesToThoseWithinTheHistory(t *testing.T) {
	c := qt.New(t)
	k := newClock()
	source, near, far := k.hub(), k.hub(), k.hub()
	source.Publish(numbersTopic, Version{0, 1}, numbers{[]int{1}})
	pull(c, k, near, source)
	pull(c, k, far, source)
	source.Publish(numbersTopic, Version{0, 2}, numbers{[]int{1, 2}})
	reply := pull(c, k, near, source)
	c.Assert(reply.Updates[0].Payload, qt.DeepEquals, any(added{[]int{2}}))
	c.Assert(held(c, near), qt.DeepEquals, []int{1, 2})

	values := []int{1, 2}
	for counter := range uint64(historySize + 1) {
		values = append(slices.Clone(values), int(counter)+3)
		source.Publish(numbersTopic, Version{0, counter + 3}, numbers{values})
	}
	reply = pull(c, k, far, source)
	c.Assert(reply.Updates[0].Base, qt.Equals, Version{}, qt.Commentf("an old vector gets the whole"))
	c.Assert(held(c, far), qt.DeepEquals, values)
}

func TestADifferenceFromAnotherBaseIsRefused(t *testing.T) {
	c := qt.New(t)
	k := newClock()
	h := k.hub()
	h.Publish(numbersTopic, Version{0, 1}, numbers{[]int{1}})
	update := Update{Topic: numbersTopic, Version: Version{0, 4}, Base: Version{0, 2}, Payload: added{[]int{4}}}
	c.Assert(h.Take(update, k.now()), qt.IsFalse)
	update.Base, update.Payload = Version{0, 1}, numbers{[]int{9}}
	c.Assert(h.Take(update, k.now()), qt.IsFalse, qt.Commentf("a payload that is no difference"))
	c.Assert(held(c, h), qt.DeepEquals, []int{1})
}

func TestAPublisherGoesOnAboveWhatItTookFromAnother(t *testing.T) {
	c := qt.New(t)
	h := newClock().hub()
	first := h.Advance(numbersTopic, "a", numbers{[]int{1}})
	second := h.Advance(numbersTopic, "a", numbers{[]int{2}})
	c.Assert(second, qt.Equals, Version{first.Epoch, first.Counter + 1})
	foreign := nextEpoch(second, "b")
	c.Assert(h.Publish(numbersTopic, foreign, numbers{[]int{3}}), qt.IsTrue)
	c.Assert(h.Owned(numbersTopic, "a"), qt.IsFalse)
	c.Assert(h.Advance(numbersTopic, "a", numbers{[]int{4}}).Newer(foreign), qt.IsTrue)
}

func TestAPublisherThatForgotItsVersionsIsHeardAgain(t *testing.T) {
	c := qt.New(t)
	k := newClock()
	before, puller := k.hub(), k.hub()
	for value := range 5 {
		before.Advance(numbersTopic, "a@1", numbers{[]int{value}})
	}
	pull(c, k, puller, before)

	after := k.hub()
	after.Advance(numbersTopic, "a@2", numbers{[]int{50}})
	pull(c, k, puller, after)
	c.Assert(held(c, puller), qt.DeepEquals, []int{50})
	c.Assert(after.Owned(numbersTopic, "a@2"), qt.IsTrue)
}

func TestTwoPublishersOutbidEachOtherSeldom(t *testing.T) {
	c := qt.New(t)
	k := newClock()
	a, b, between := k.hub(), k.hub(), k.hub()
	a.Advance(numbersTopic, "a", numbers{[]int{1}})
	b.Advance(numbersTopic, "b", numbers{[]int{2}})
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

func TestAConfirmationCountsForItsVersionOnly(t *testing.T) {
	c := qt.New(t)
	k := newClock()
	source, puller := k.hub(), k.hub()
	source.Advance(numbersTopic, "a", numbers{[]int{1}})
	pull(c, k, puller, source)
	_, ok := puller.Confirmed(numbersTopic)
	c.Assert(ok, qt.IsFalse)

	source.Confirm(numbersTopic, "another", Confirmed{At: k.now()})
	_, ok = source.Confirmed(numbersTopic)
	c.Assert(ok, qt.IsFalse)
	readAt := k.now()
	source.Confirm(numbersTopic, "a", Confirmed{At: readAt, Every: time.Second})
	k.advance(300 * time.Millisecond)
	reply := pull(c, k, puller, source)
	confirmed, ok := puller.Confirmed(numbersTopic)
	c.Assert(ok, qt.IsTrue)
	c.Assert(confirmed, qt.Equals, Confirmed{At: readAt, Every: time.Second})

	puller.Publish(numbersTopic, Version{1 << 60, 1}, numbers{[]int{2}})
	puller.takeReply(reply, k.now(), 0)
	_, ok = puller.Confirmed(numbersTopic)
	c.Assert(ok, qt.IsFalse)
}

func TestAReplyFromASlowLinkCountsAsOld(t *testing.T) {
	c := qt.New(t)
	k := newClock()
	source, puller := k.hub(), k.hub()
	source.Advance(numbersTopic, "a", numbers{[]int{1}})
	source.Confirm(numbersTopic, "a", Confirmed{At: k.now()})
	left := k.now()
	reply, err := source.Pull(context.Background(), Pull{})
	c.Assert(err, qt.IsNil)
	k.advance(2 * time.Second)
	puller.takeReply(reply, k.now(), 2*time.Second)
	confirmed, _ := puller.Confirmed(numbersTopic)
	c.Assert(confirmed.At, qt.Equals, left)
	_, update, _ := Payload[numbers](puller, numbersTopic)
	c.Assert(update.Age, qt.Equals, 2*time.Second)
}

func TestALongPollEndsWithAChangeOfItsTopics(t *testing.T) {
	c := qt.New(t)
	h := newClock().hub()
	replies := make(chan PullReply, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() {
		reply, err := h.Pull(ctx, Pull{Topics: []string{"numb"}, Wait: waitMost})
		c.Check(err, qt.IsNil)
		replies <- reply
	}()
	h.Publish("other", Version{0, 1}, numbers{})
	h.Publish(numbersTopic, Version{0, 1}, numbers{[]int{1}})
	reply := <-replies
	c.Assert(reply.Updates, qt.HasLen, 1)
	c.Assert(reply.Updates[0].Topic, qt.Equals, numbersTopic)
	c.Assert(h.waiters, qt.HasLen, 0)
}

func TestALongPollEndsWithItsCaller(t *testing.T) {
	c := qt.New(t)
	h := newClock().hub()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := h.Pull(ctx, Pull{Wait: waitMost})
	c.Assert(err, qt.ErrorIs, context.Canceled)
	c.Assert(h.waiters, qt.HasLen, 0)
}

func TestASubscriptionHearsOfItsTopicsOnly(t *testing.T) {
	c := qt.New(t)
	h := newClock().hub()
	changes, cancel := h.Subscribe(numbersTopic)
	h.Publish("other", Version{0, 1}, numbers{})
	c.Assert(changes, qt.HasLen, 0)
	h.Publish(numbersTopic, Version{0, 1}, numbers{})
	h.Publish(numbersTopic, Version{0, 2}, numbers{})
	c.Assert(changes, qt.HasLen, 1)
	cancel()
	c.Assert(h.waiters, qt.HasLen, 0)
}

func TestVectorsOfOthersDoNotFillTheMemory(t *testing.T) {
	c := qt.New(t)
	h := newClock().hub()
	vector := map[string]Version{}
	for i := range 2 * topicsMost {
		vector[string(rune('a'+i%26))+time.Duration(i).String()] = Version{1, 1}
	}
	_, err := h.Pull(context.Background(), Pull{Vector: vector})
	c.Assert(err, qt.IsNil)
	c.Assert(len(h.topics), qt.Equals, topicsMost)
}
