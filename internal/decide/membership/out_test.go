package membership

import (
	"net/netip"
	"testing"
	"time"

	"yardwharf"
)

// A host out by hand gets nothing, whatever the list says of it, until it is put
// back; then it is cold since its start as listed, or since its return where no
// list has told of one.
func TestOutByHand(t *testing.T) {
	const out, back = 100 * time.Second, 200 * time.Second
	entry := func(since time.Duration) Endpoint { return listedAs("s1", Healthy, since) }
	s0, moved := listedAs("s0", Healthy, 0), entry(0)
	moved.Address = netipPort("127.0.0.9:1")
	for _, c := range []struct {
		name   string
		before []Endpoint // listed before it goes out
		during func(f *Fleet)
		ready  bool // once it is back
		cold   time.Duration
	}{
		{"not touched", []Endpoint{entry(0)}, func(*Fleet) {}, true, back},
		{"started before", []Endpoint{entry(99 * time.Second)}, func(*Fleet) {}, true, back},
		{"restarted", []Endpoint{entry(0)}, func(f *Fleet) { f.List(150*time.Second, false, []Endpoint{entry(140 * time.Second)}, nil) }, true, 140 * time.Second},
		{"gone and back", []Endpoint{entry(0)}, func(f *Fleet) {
			f.List(110*time.Second, false, nil, []string{"s1"})
			f.List(150*time.Second, true, []Endpoint{s0, entry(0)}, nil)
		}, true, back},
		{"moved", []Endpoint{entry(0)}, func(f *Fleet) { f.List(150*time.Second, true, []Endpoint{s0, moved}, nil) }, true, back},
		{"listed only then", nil, func(f *Fleet) { f.List(150*time.Second, false, []Endpoint{entry(0)}, nil) }, true, back},
		{"drains", []Endpoint{listedAs("s1", Draining, 0)}, func(*Fleet) {}, false, back},
		{"drain ends meanwhile", []Endpoint{listedAs("s1", Draining, 0)}, func(f *Fleet) { f.List(150*time.Second, false, []Endpoint{entry(0)}, nil) }, true, back},
		{"gone", []Endpoint{entry(0)}, func(f *Fleet) { f.List(150*time.Second, true, []Endpoint{s0}, nil) }, false, 0},
	} {
		f := New(Config{})
		f.List(0, true, append([]Endpoint{s0}, c.before...), nil)
		f.Take(0)
		hands := map[string]time.Duration{"s1": out, "s9": out}
		if changed := f.SetOut(out, hands); changed != (len(c.before) > 0) {
			t.Errorf("%s: changed is %t", c.name, changed)
		}
		look := func(now time.Duration) (last *Host) {
			ch, _ := f.Take(now)
			for i := range ch.Hosts {
				if ch.Hosts[i].Name == "s1" {
					last = &ch.Hosts[i]
				}
			}
			return last
		}
		if h := look(out); h != nil && (h.State != yardwharf.Draining || !h.Out) {
			t.Errorf("%s: taken out it is %+v", c.name, h)
		}
		c.during(f)
		if h := look(150 * time.Second); h != nil && h.State == yardwharf.Ready || f.Usable() != 1 {
			t.Errorf("%s: meanwhile it is %+v, %d are usable", c.name, h, f.Usable())
		}
		f.SetOut(back, map[string]time.Duration{"s9": out})
		h := look(back)
		if n := f.hosts.byName["s1"]; (n != nil && n.State == yardwharf.Ready) != c.ready {
			t.Errorf("%s: put back it is %+v", c.name, n)
		}
		if c.ready && (h == nil || h.Out || h.PutBack != back || h.Started != c.cold) {
			t.Errorf("%s: put back it is told as %+v, want cold since %v", c.name, h, c.cold)
		}
		if f.SetOut(back, map[string]time.Duration{"s9": out}) {
			t.Errorf("%s: a second call back changes something", c.name)
		}
		if c.ready { // a list that comes late tells when it started
			f.List(210*time.Second, false, []Endpoint{entry(160 * time.Second)}, nil)
			if h := look(210 * time.Second); h == nil || h.Started != 160*time.Second {
				t.Errorf("%s: told late of its start it is %+v", c.name, h)
			}
		}
	}
}

// With every host out nothing is usable, and the source's word is still kept apart.
func TestAllOutByHand(t *testing.T) {
	f := New(Config{})
	f.List(0, true, []Endpoint{listedAs("s1", Healthy, 0), listedAs("s2", Healthy, 0)}, nil)
	f.SetOut(1, map[string]time.Duration{"s1": 1, "s2": 1})
	if f.Usable() != 0 || f.Fit() != 2 {
		t.Errorf("%d usable, %d fit", f.Usable(), f.Fit())
	}
	if !f.Knows("s1") || f.Knows("s3") || f.Listings() != 2 || len(f.Names()) != 2 {
		t.Errorf("known: %v", f.Names())
	}
}

func netipPort(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

func listedAs(name string, health Health, since time.Duration) Endpoint {
	return Endpoint{Name: name, Address: netipPort("127.0.0.1:80"), Health: health, Since: since}
}
