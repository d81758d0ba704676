// Package lru keeps things in the order of their last use, within the things
// themselves: putting one in or taking it out needs no memory.
package lru

// Spot is a thing's place in a List; it lives in the thing.
type Spot[T any] struct {
	next, prev *Spot[T]
	of         *T
}

// In says whether the thing is in a list.
func (s *Spot[T]) In() bool { return s.next != nil }

// List holds things, the one put in first at its start.
type List[T any] struct{ ends Spot[T] }

// Add puts a thing that is not in a list at the end of this one.
func (l *List[T]) Add(s *Spot[T], of *T) {
	if l.ends.next == nil {
		l.ends.next, l.ends.prev = &l.ends, &l.ends
	}
	s.of, s.prev, s.next = of, l.ends.prev, &l.ends
	s.prev.next, s.next.prev = s, s
}

// Remove takes a thing out of the list, if it is in it.
func (l *List[T]) Remove(s *Spot[T]) {
	if s.next != nil {
		s.prev.next, s.next.prev = s.next, s.prev
		*s = Spot[T]{}
	}
}

// Oldest returns the thing put in first; nil where there is none.
func (l *List[T]) Oldest() *T {
	if l.ends.next == nil {
		return nil
	}
	return l.ends.next.of
}
