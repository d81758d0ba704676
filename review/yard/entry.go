package yard

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	askEvery   = time.Second
	missesMost = 2
)

// Entry is the platform's entry: it asks each dispatcher once a second whether it is ready, and hands out those
// that have not missed twice.
type Entry struct {
	yard  *Yard
	ended chan struct{}

	mutex  sync.Mutex
	misses map[int]int
}

// NewEntry starts an entry; Close ends it.
func NewEntry(y *Yard) *Entry {
	e := &Entry{yard: y, ended: make(chan struct{}), misses: map[int]int{}}
	for number := 1; number <= y.Edges(); number++ {
		e.Add(number)
	}
	return e
}

// Add has the entry ask one more dispatcher, which is out until it is ready.
func (e *Entry) Add(number int) {
	e.mutex.Lock()
	e.misses[number] = missesMost
	if e.yard.Ready(number) {
		e.misses[number] = 0
	}
	e.mutex.Unlock()
	go e.ask(number)
}

// Close ends the entry.
func (e *Entry) Close() { close(e.ended) }

func (e *Entry) ask(number int) {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	for {
		select {
		case <-e.ended:
			return
		case <-ticker.C:
		}
		ready := e.yard.Ready(number)
		e.mutex.Lock()
		if e.misses[number]++; ready {
			e.misses[number] = 0
		}
		e.mutex.Unlock()
	}
}

// Pick returns the address of a dispatcher that is in.
func (e *Entry) Pick() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var in []int
	for number := 1; number <= e.yard.Edges(); number++ {
		if misses, asked := e.misses[number]; asked && misses < missesMost {
			in = append(in, number)
		}
	}
	if len(in) == 0 {
		return e.yard.Front(1 + rand.IntN(e.yard.Edges()))
	}
	return e.yard.Front(in[rand.IntN(len(in))])
}
