package zones

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// What cannot be is named.
func TestNew(t *testing.T) {
	good := Config{Dispatchers: 2, Zones: 2, Room: 249}
	for _, change := range []func(*Config){
		func(c *Config) { c.Zones = 0 }, func(c *Config) { c.Zones = Most + 1 }, func(c *Config) { c.Zone = 2 },
		func(c *Config) { c.Me = 2 }, func(c *Config) { c.Dispatchers = 0 }, func(c *Config) { c.Room = 20 },
	} {
		c := good
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}

// A dispatcher accuses a zone only while another answers, and not by what it saw before it
// was stopped; words of before a phase do not end it.
func TestWords(t *testing.T) {
	fresh := func() *Fleet {
		f, err := New(Config{Me: 0, Dispatchers: 3, Zone: 0, Zones: 2, Ramp: time.Second, Start: 0.1, Room: 249})
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	f, now := fresh(), time.Minute
	says := func(what string, want Verdict) {
		t.Helper()
		if got := f.words[0].of(1); got != want {
			t.Errorf("%s: says %d of the zone, want %d", what, got, want)
		}
	}
	f.Turn(now, []Seen{{}, {Silent: 3}})
	says("nothing answers", None)
	f.Turn(now+100*ms, []Seen{{Heard: 1}, {}})
	says("another zone answers", Dark)
	f.Turn(now+200*ms, []Seen{{}, {Heard: 1}})
	says("an answer", Fine)
	if turn := f.Turn(now+300*ms, []Seen{{Silent: 2}, {Silent: 2}}); !turn.Ill || f.words[0].says != 0 {
		t.Errorf("no zone answers: ill %v, says %b", turn.Ill, f.words[0].says)
	}
	f = fresh()
	f.Turn(now, []Seen{{Heard: 1}, {Silent: 3}})
	says("it met with silence", Dark)
	f.Turn(now+2*time.Second, []Seen{{Heard: 1}, {Silent: 5}})
	says("it was stopped", None)

	f = fresh()
	now += 10 * time.Second
	for i := 1; i < 3; i++ { // what others say of before the return
		f.words[i] = word{stamp: 1, says: uint32(Dark) << 2, at: now + 50*ms}
	}
	*f.at(0, 1) = decision{gen: 2, phase: Return, since: now}
	for n := range 8 {
		f.Turn(now+time.Duration(n)*100*ms, nil)
	}
	if p := f.at(0, 1).phase; p != Return {
		t.Errorf("a zone that returns is %v by words of before", p)
	}
}
