package dispatcher

import (
	"container/heap"
	"time"
)

// waitingMessages holds the messages of a service that wait for a sender. Messages
// that can still start by their target time come first, the most urgent one in
// front; late ones follow in the order in which they became late.
type waitingMessages struct {
	onTime byStartTarget
	late   []*deliveryState
	count  int // without withdrawn messages
}

func (w *waitingMessages) empty() bool { return w.count == 0 }

func (w *waitingMessages) add(state *deliveryState) {
	heap.Push(&w.onTime, state)
	w.count++
}

// withdraw marks a message as withdrawn; next skips it.
func (w *waitingMessages) withdraw(state *deliveryState) {
	if !state.withdrawn && !state.submitted {
		state.withdrawn = true
		w.count--
	}
}

// next removes and returns the first message, or nil if there is none.
func (w *waitingMessages) next(now time.Duration) *deliveryState {
	for len(w.onTime) > 0 && (w.onTime[0].withdrawn || w.onTime[0].startTarget < now) {
		if state := heap.Pop(&w.onTime).(*deliveryState); !state.withdrawn {
			w.late = append(w.late, state)
		}
	}
	if len(w.onTime) > 0 {
		w.count--
		return heap.Pop(&w.onTime).(*deliveryState)
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

// byStartTarget is a heap of messages, the earliest target time first.
type byStartTarget []*deliveryState

func (h byStartTarget) Len() int           { return len(h) }
func (h byStartTarget) Less(i, j int) bool { return h[i].startTarget < h[j].startTarget }
func (h byStartTarget) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a message. It is called by package heap.
func (h *byStartTarget) Push(value any) { *h = append(*h, value.(*deliveryState)) }

// Pop removes the last message. It is called by package heap.
func (h *byStartTarget) Pop() any {
	last := len(*h) - 1
	state := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return state
}
