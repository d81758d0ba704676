package queue

// timerHeap orders messages by the moment of their timer.
type timerHeap []*Entry

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].wake != h[j].wake {
		return h[i].wake < h[j].wake
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push appends a message; it is called by package heap.
func (h *timerHeap) Push(value any) {
	entry := value.(*Entry)
	entry.place = len(*h)
	*h = append(*h, entry)
}

// Pop removes the last message; it is called by package heap.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	entry.place = -1
	return entry
}
