package loop

import "time"

// Timer runs its Task at a time. It lives in the object that needs it.
type Timer struct {
	Task Task
	at   time.Duration
	pos  int // its place in the heap, counted from 1; 0 while it is not set
}

// Set makes a timer run at a time, in place of the one it was set to.
func (l *Loop) Set(t *Timer, at time.Duration) {
	if t.pos > 0 {
		l.timers.remove(t)
	}
	t.at = at
	l.timers = append(l.timers, t)
	t.pos = len(l.timers)
	l.timers.up(t.pos - 1)
}

// Clear takes a timer back, set or not.
func (l *Loop) Clear(t *Timer) {
	if t.pos > 0 {
		l.timers.remove(t)
	}
}

// timers is a heap, the earliest first; each timer knows its place.
type timers []*Timer

func (q timers) swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].pos, q[j].pos = i+1, j+1
}

func (q timers) up(i int) {
	for ; i > 0 && q[i].at < q[(i-1)/2].at; i = (i - 1) / 2 {
		q.swap(i, (i-1)/2)
	}
}

func (q timers) down(i int) {
	for {
		c := 2*i + 1
		if c+1 < len(q) && q[c+1].at < q[c].at {
			c++
		}
		if c >= len(q) || q[i].at <= q[c].at {
			return
		}
		q.swap(i, c)
		i = c
	}
}

func (q *timers) remove(t *Timer) {
	i, last := t.pos-1, len(*q)-1
	q.swap(i, last)
	(*q)[last] = nil
	*q = (*q)[:last]
	t.pos = 0
	if i < last {
		q.down(i)
		q.up(i)
	}
}
