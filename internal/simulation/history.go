package simulation

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the search for an order of one history.
const checkTimeout = 20 * time.Second

// observation is one answer about a message: what was told, and when that was
// asked for and heard.
type observation struct {
	message string
	asked   time.Duration
	heard   time.Duration
	rank    int // how far the message is
	stamp   string
	by      string // the machine that told it
}

// The ranks of what may be told of a message, which never go back.
const (
	rankUnknown = iota
	rankQueued
	rankDead
	rankCompleted
)

// rankOfAnswer returns the rank of an answer, or false where it tells nothing.
func rankOfAnswer(status int, state string) (int, bool) {
	switch {
	case status == http.StatusNotFound:
		return rankUnknown, true
	case status != http.StatusOK:
		return 0, false
	}
	switch state {
	case "queued":
		return rankQueued, true
	case "dead_letter":
		return rankDead, true
	case "completed":
		return rankCompleted, true
	default:
		return 0, false
	}
}

// messageProgress is what has been told of a message so far.
type messageProgress struct {
	rank  int
	stamp string
}

// messageModel is a message's state as a register that only goes on: no answer
// tells less than one that was heard before it was asked for, and the stamp of a
// completed message stays.
func messageModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byMessage := map[string][]porcupine.Operation{}
			for _, operation := range history {
				id := operation.Input.(string)
				byMessage[id] = append(byMessage[id], operation)
			}
			var parts [][]porcupine.Operation
			for _, part := range byMessage {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return messageProgress{} },
		Step: func(state, _, output any) (bool, any) {
			before, told := state.(messageProgress), output.(messageProgress)
			if told.rank < before.rank || before.rank == rankCompleted && told.stamp != before.stamp {
				return false, state
			}
			return true, told
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v: %+v", input, output) },
	}
}

// configurationCall is one order or one read of an operator.
type configurationCall struct {
	base, revision int64
	content        string
	read           bool
	unknown        bool // an order without a clear answer
}

// configurationState is the content of the register.
type configurationState struct {
	revision int64
	content  string
}

// configurationModel is the register of configurations: an order that was
// confirmed replaced the version that it builds on, one that was refused met
// another, and one without a clear answer may have been taken at any later time.
func configurationModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return configurationState{} },
		Step: func(state, input, output any) (bool, any) {
			before, call := state.(configurationState), input.(configurationCall)
			next := configurationState{call.revision, call.content}
			switch {
			case call.read:
				return output.(string) == before.content, before
			case call.unknown && before.revision != call.base:
				return true, before
			case call.unknown:
				return true, next
			case output.(bool):
				return before.revision == call.base, next
			default:
				return before.revision != call.base, before
			}
		},
		DescribeOperation: func(input, output any) string {
			call := input.(configurationCall)
			if call.read {
				return fmt.Sprintf("read %.16s %d", output, len(output.(string)))
			}
			return fmt.Sprintf("replace %d by %d %d: %v, unknown %v", call.base, call.revision, len(call.content), output, call.unknown)
		},
	}
}

// checkHistories judges whether what clients and operators saw can have happened
// one after the other.
func (c *checker) checkHistories() {
	if result := porcupine.CheckOperationsTimeout(messageModel(), c.messageHistory(), checkTimeout); result != porcupine.Ok {
		c.broken("HISTORY", "what was told of messages was taken back: %s%s", result, c.firstTakenBack())
	}
	history := c.configurationHistory()
	if result := porcupine.CheckOperationsTimeout(configurationModel(), history, checkTimeout); result != porcupine.Ok {
		c.broken("HISTORY", "the configurations were changed and read in no order: %s%s", result, firstImpossible(history))
	}
}

// messageHistory is what clients and receivers of call-backs were told, and what
// was accepted.
func (c *checker) messageHistory() []porcupine.Operation {
	var history []porcupine.Operation
	add := func(o observation) {
		history = append(history, porcupine.Operation{
			ClientId: len(history), Input: o.message, Call: int64(o.asked), Return: int64(o.heard),
			Output: messageProgress{rank: o.rank, stamp: o.stamp},
		})
	}
	for _, o := range c.journal.observations {
		add(o)
	}
	for _, m := range c.journal.list {
		if m.accepted > 0 {
			add(observation{message: m.id, asked: m.sent, heard: m.accepted, rank: rankQueued})
		}
	}
	return history
}

// firstTakenBack names a message of which something was taken back.
func (c *checker) firstTakenBack() string {
	for _, a := range c.journal.observations {
		for _, b := range c.journal.observations {
			if a.message == b.message && a.heard < b.asked && (a.rank > b.rank || a.rank == rankCompleted && a.stamp != b.stamp) {
				return fmt.Sprintf(" (%s: rank %d heard at %v, rank %d asked for at %v)%s", a.message, a.rank, a.heard, b.rank, b.asked, c.storyOf(a.message))
			}
		}
	}
	return ""
}

// configurationHistory is what the operators ordered and read.
func (c *checker) configurationHistory() []porcupine.Operation {
	var history []porcupine.Operation
	for i, o := range c.journal.orders {
		call := configurationCall{base: o.base, revision: o.revision, content: o.content}
		operation := porcupine.Operation{ClientId: i, Call: int64(o.sent), Return: int64(o.answered), Output: o.acknowledged > 0}
		switch {
		case o.invalid:
			continue // it was told to be no valid order, which tells nothing of the register
		case o.answered == 0:
			call.unknown = true
			operation.Return = math.MaxInt64
		}
		operation.Input = call
		history = append(history, operation)
	}
	for _, r := range c.journal.reads {
		history = append(history, porcupine.Operation{
			ClientId: len(history), Input: configurationCall{read: true}, Call: int64(r.asked), Return: int64(r.heard), Output: r.content,
		})
	}
	return history
}

// configurationRead is one read of the configuration that was answered.
type configurationRead struct {
	asked, heard time.Duration
	content      string
}

// checkReads judges whether a read told an older version than one that had been
// acknowledged a while before it was sent. That binds every machine, in touch or not.
func (c *checker) checkReads() {
	revisions := map[string]int64{}
	for _, o := range c.journal.orders {
		revisions[o.content] = o.revision
	}
	for _, r := range c.journal.reads {
		for _, o := range c.journal.orders {
			if o.acknowledged > 0 && o.acknowledged+applyTime < r.asked && revisions[r.content] < o.revision {
				c.broken("CONFIG", "a read at %v told revision %d, %d had been acknowledged at %v", r.asked, revisions[r.content], o.revision, o.acknowledged)
				return
			}
		}
	}
}

// firstImpossible describes the calls around the first answer that makes a history
// of configurations impossible, that answer last.
func firstImpossible(history []porcupine.Operation) string {
	const shown = 8
	answered := slices.SortedFunc(slices.Values(history), func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) })
	first := sort.Search(len(answered), func(n int) bool {
		part := upTo(history, answered[n].Return)
		return porcupine.CheckOperationsTimeout(configurationModel(), part, checkTimeout) == porcupine.Illegal
	})
	if first == len(answered) {
		return ""
	}
	part := upTo(history, answered[first].Return)
	slices.SortFunc(part, func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) })
	var text strings.Builder
	for _, operation := range part[max(0, len(part)-shown):] {
		fmt.Fprintf(&text, "\n    %v to %v: %s", time.Duration(operation.Call), time.Duration(operation.Return),
			configurationModel().DescribeOperation(operation.Input, operation.Output))
	}
	return text.String()
}

// upTo returns what had happened at a moment: orders under way are without an answer.
func upTo(history []porcupine.Operation, moment int64) []porcupine.Operation {
	var part []porcupine.Operation
	for _, operation := range history {
		call := operation.Input.(configurationCall)
		switch {
		case operation.Call > moment, operation.Return > moment && call.read:
			continue
		case operation.Return > moment:
			call.unknown = true
			operation.Input, operation.Return = call, math.MaxInt64
		}
		part = append(part, operation)
	}
	return part
}

// storyOf tells all that was seen of a message.
func (c *checker) storyOf(id string) string {
	var text strings.Builder
	if m := c.journal.messages[id]; m != nil {
		fmt.Fprintf(&text, "\n    %s on %s, sent %v, accepted %v", id, m.route, m.sent, m.accepted)
		for _, a := range m.attempts {
			fmt.Fprintf(&text, "\n    attempt at %s by %s, %v to %v: %d %s", a.service, a.dispatcher, a.begun, a.ended, a.status, a.seal)
		}
	}
	for _, o := range c.journal.observations {
		if o.message == id {
			fmt.Fprintf(&text, "\n    %s told rank %d %s, asked %v, heard %v", o.by, o.rank, o.stamp, o.asked, o.heard)
		}
	}
	return text.String()
}
