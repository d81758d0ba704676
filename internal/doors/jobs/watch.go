package jobs

import (
	"yardwharf/internal/decide/waiting"
)

// watchMost is how many changes a watcher may be behind. Guards the dispatcher's
// memory against one who reads slowly: it is let go and may come again.
const watchMost = 256

// watcher follows one job, or all of them. Changes go out over a channel that the
// loop never waits for.
type watcher struct {
	job  waiting.ID // 0: all
	out  chan Job
	lost bool // it was too slow
}

// watch follows a job from now on.
func (r *Runner) watch(id waiting.ID) *watcher {
	w := &watcher{job: id, out: make(chan Job, watchMost)}
	r.watchers[w] = struct{}{}
	return w
}

func (r *Runner) unwatch(w *watcher) {
	if _, there := r.watchers[w]; there {
		delete(r.watchers, w)
		close(w.out)
	}
}

// tell passes on what has happened.
func (r *Runner) tell() {
	events := r.core.TakeEvents()
	if len(r.watchers) == 0 {
		return
	}
	for _, e := range events {
		for w := range r.watchers { // each on its own, so in any order
			if w.job != 0 && w.job != e.Job.ID {
				continue
			}
			j := r.show(e.Job)
			j.State = e.State.String()
			select {
			case w.out <- j:
			default:
				w.lost = true
				r.unwatch(w)
			}
		}
	}
}
