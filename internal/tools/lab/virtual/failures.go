package virtual

import (
	"time"

	"yardwharf"
)

// fail lets a failure happen, and end.
func (w *world) fail(f Failure) {
	end := func(do func()) { w.clock.After(f.For, do) }
	var there []*host
	for _, h := range w.hosts {
		if f.Site == "" || w.c.Sites[h.site].Name == f.Site {
			there = append(there, h)
		}
	}
	hosts := pick(w.rng, there, f.Part)
	switch f.Kind {
	case "slow":
		for _, h := range hosts {
			h.Slow(f.Size)
			end(func() { h.Slow(1) })
		}
	case "shared_slow":
		for _, h := range there {
			h.Slow(f.Size)
			end(func() { h.Slow(1) })
		}
	case "hang":
		for _, h := range hosts {
			h.Hang(true)
			end(func() { h.Hang(false) })
		}
	case "site_dark":
		for _, h := range there {
			h.dark = true
			h.Hang(true)
			end(func() { h.dark = false; h.Hang(false) })
		}
	case "drain":
		w.drain(hosts, f.For)
	case "crash":
		for _, d := range pick(w.rng, w.disp, f.Part) {
			if d.b == nil {
				continue
			}
			d.crash()
			end(func() {
				if err := d.start(d.known); err == nil {
					d.noticed = w.clock.Now()
				}
			})
		}
	case "discovery_down":
		w.down = true
		for _, d := range w.disp {
			if d.b != nil && d.watches {
				d.watches = false
				d.tell(yardwharf.ListFailed, nil)
			}
		}
		end(func() { w.down = false })
	}
}

// drain takes hosts out one after the other: told as draining, gone once that has had
// time to arrive, and back, cold, after the rest of the time.
func (w *world) drain(hosts []*host, length time.Duration) {
	for _, h := range hosts {
		h.state = yardwharf.Draining
		w.changed()
		w.clock.After(length/2, func() {
			h.state = yardwharf.Gone
			w.changed()
		})
		w.clock.After(length, func() {
			h.state, h.Spec.Since = yardwharf.Ready, w.clock.Now()
			w.changed()
		})
	}
}
