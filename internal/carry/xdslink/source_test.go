package xdslink

import (
	"testing"
	"time"

	"yardwharf/internal/carry/loop"
)

// hearer passes on that a helper has ended.
type hearer struct{ died chan error }

func (h hearer) Said(*FromHelper) {}
func (h hearer) Died(err error)   { h.died <- err }

// A helper that does not read is ended, and so is one that talks nonsense; one that
// cannot be started is told. Another is started each time.
func TestHelperAtFault(t *testing.T) {
	for what, command := range map[string][]string{"deaf": {"sleep", "1000"}, "nonsense": {"echo", "garbage"}, "missing": {"/nowhere/yardxds"}} {
		l, err := loop.New()
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() { defer close(ended); l.Run() }()
		h := hearer{make(chan error, 100)}
		s := Start(l, command, Config{}, h)
		for deaths := 0; deaths < 2; {
			if what == "deaf" {
				for range 1000 {
					s.Send(ToHelper{Verdict: &Verdict{Reason: "a reason of some length that fills the pipe before long"}})
				}
			}
			select {
			case err := <-h.died:
				if deaths++; err == nil {
					t.Errorf("%s: ended without a word", what)
				}
			case <-time.After(time.Millisecond):
			}
		}
		s.Close()
		l.Post(loop.Func(l.Stop))
		<-ended
		l.Close()
	}
}
