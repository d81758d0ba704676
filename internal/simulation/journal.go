package simulation

import (
	"sync"
	"time"
)

// attempt is one arrival of a message at a sender that began work on it.
type attempt struct {
	begun      time.Duration
	ended      time.Duration // 0: no answer was given
	status     int
	seal       string
	service    string
	sender     string
	dispatcher string // machine that sent it
}

// message is what clients, senders and receivers have seen of one message.
type message struct {
	id, key, route string
	body           string
	callback       bool
	sent           time.Duration
	delay          time.Duration // that it asked for
	accepted       time.Duration // 0: no 202 came
	refused        bool          // the answer promised that it will not run
	attempts       []attempt
	callbacks      []told
	finalState     told
	finalBody      string
	finalStatus    int // of the question for its state
	bodyStatus     int
}

// told is an end of a message as the system reports it.
type told struct {
	State string `json:"state"`
	Stamp string `json:"stamp"`
}

// order is a configuration that an operator has sent.
type order struct {
	revision, base int64
	content        string
	sent           time.Duration
	acknowledged   time.Duration // 0: never
	refused        bool
	invalid        bool          // refused as no valid order
	answered       time.Duration // with a clear answer; 0: never
}

// trouble is a fault and the time that it lasts.
type trouble struct {
	kind    string
	machine string
	from    time.Duration
	until   time.Duration
}

// journal holds what the parties outside the system have seen.
type journal struct {
	started time.Time

	mutex    sync.Mutex
	messages map[string]*message
	list     []*message
	orders   []*order
	troubles []*trouble
	drained  map[string]time.Duration // by sender: when the list showed it
	arrivals map[string][]time.Duration
	breaks   []string // seen at once by a party

	observations []observation       // what was told of messages
	reads        []configurationRead // that were answered
}

func newJournal() *journal {
	return &journal{
		started: time.Now(), messages: map[string]*message{}, drained: map[string]time.Duration{},
		arrivals: map[string][]time.Duration{},
	}
}

// now is the time since the start of the run.
func (j *journal) now() time.Duration { return time.Since(j.started) }

// with runs a function with the mutex held.
func (j *journal) with(run func()) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	run()
}

// begin notes a fault that lasts until end is called.
func (j *journal) begin(kind, machine string) *trouble {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	t := &trouble{kind: kind, machine: machine, from: j.now(), until: 1 << 62}
	j.troubles = append(j.troubles, t)
	return t
}

func (j *journal) end(t *trouble) {
	j.with(func() { t.until = j.now() })
}
