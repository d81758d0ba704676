package dispatcher

import (
	"container/heap"
	"time"
)

// waitingMessages holds the messages of a service that wait for a sender. Those
// that can still begin within their aim come first, the most urgent one before
// the others; those that are late follow in the order in which they became so.
type waitingMessages struct {
	fresh byAim
	late  []*deliveryState
	count int // of those not withdrawn
}

func (w *waitingMessages) empty() bool { return w.count == 0 }

func (w *waitingMessages) add(state *deliveryState) {
	heap.Push(&w.fresh, state)
	w.count++
}

// withdraw takes a message out.
func (w *waitingMessages) withdraw(state *deliveryState) {
	if !state.withdrawn && !state.sent {
		state.withdrawn = true
		w.count--
	}
}

// next takes the message out that comes first; nil where there is none.
func (w *waitingMessages) next(now time.Duration) *deliveryState {
	for len(w.fresh) > 0 && (w.fresh[0].withdrawn || w.fresh[0].aim < now) {
		if state := heap.Pop(&w.fresh).(*deliveryState); !state.withdrawn {
			w.late = append(w.late, state)
		}
	}
	if len(w.fresh) > 0 {
		w.count--
		return heap.Pop(&w.fresh).(*deliveryState)
	}
	for len(w.late) > 0 {
		state := w.late[0]
		w.late[0] = nil
		w.late = w.late[1:]
		if !state.withdrawn {
			w.count--
			return state
		}
	}
	return nil
}

// byAim is a heap of messages, the one with the earliest aim first.
type byAim []*deliveryState

func (h byAim) Len() int           { return len(h) }
func (h byAim) Less(i, j int) bool { return h[i].aim < h[j].aim }
func (h byAim) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a message; it is called by package heap.
func (h *byAim) Push(value any) { *h = append(*h, value.(*deliveryState)) }

// Pop removes the last message; it is called by package heap.
func (h *byAim) Pop() any {
	last := len(*h) - 1
	state := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return state
}
