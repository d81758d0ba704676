package queue

// timerHeap orders messages by when their timer fires, then by arrival.
type timerHeap []*Entry

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].wake != h[j].wake {
		return h[i].wake < h[j].wake
	}
	return h[i].arrival < h[j].arrival
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}

// Push appends a message. Package heap calls it.
func (h *timerHeap) Push(value any) {
	entry := value.(*Entry)
	entry.timerIndex = len(*h)
	*h = append(*h, entry)
}

// Pop removes the last message. Package heap calls it.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	entry.timerIndex = -1
	return entry
}
