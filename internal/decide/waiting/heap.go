package waiting

// The heaps that a job may be in, as indexes of Job.heapIndex.
const (
	byVirtualDeadline = iota // ready jobs, by virtual deadline
	byNotBefore              // waiting jobs, by not_before
	byNotAfter               // jobs that have not been released, by not_after
)

// heap is a min-heap of jobs; each job stores its position, so that it can be removed.
type heap struct {
	slot int
	jobs []*Job
	less func(a, b *Job) bool
}

func (h *heap) swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].heapIndex[h.slot], h.jobs[j].heapIndex[h.slot] = int32(i+1), int32(j+1)
}

func (h *heap) up(i int) {
	for ; i > 0 && h.less(h.jobs[i], h.jobs[(i-1)/2]); i = (i - 1) / 2 {
		h.swap(i, (i-1)/2)
	}
}

func (h *heap) down(i int) {
	for {
		c := 2*i + 1
		if c+1 < len(h.jobs) && h.less(h.jobs[c+1], h.jobs[c]) {
			c++
		}
		if c >= len(h.jobs) || !h.less(h.jobs[c], h.jobs[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}

func (h *heap) push(j *Job) {
	if j.heapIndex[h.slot] > 0 {
		return
	}
	h.jobs = append(h.jobs, j)
	j.heapIndex[h.slot] = int32(len(h.jobs))
	h.up(len(h.jobs) - 1)
}

func (h *heap) remove(j *Job) {
	i := int(j.heapIndex[h.slot]) - 1
	if i < 0 {
		return
	}
	last := len(h.jobs) - 1
	h.swap(i, last)
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	j.heapIndex[h.slot] = 0
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *heap) top() *Job {
	if len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0]
}
