package yardwharf

import "math"

// This file learns which kinds of workers suit which classes. Where speeds differ a
// class with little slack is late on slow ones however idle they are, while others lose
// nothing there.

const (
	suitFew   = 4    // runs of a class at a kind before it counts
	suitSteep = 6    // how steeply chances fall as the usual run nears what is allowed
	suitKeen  = 8    // how strongly draws follow what a class gains at a kind
	suitMost  = 3    // as a power of e, the most that a draw is moved
	paceKeen  = 4    // how strongly they follow what a host that has turned slow makes of its chances
	suitNew   = 0.02 // weight of one run, once there are many
)

// suits is how long a class's jobs run at each kind, and what draws make of it.
type suits struct {
	runs    []float64 // usual run, in seconds at full warmth
	seen    []int
	allowed float64   // seconds that a job may take from its start
	weight  []float64 // of a draw; nil while nothing is known
}

// learn takes a run of a job.
func (k *suits) learn(kind int, ran float64) {
	if kind < 0 || kind > math.MaxUint8 {
		return
	}
	for len(k.runs) <= kind {
		k.runs, k.seen = append(k.runs, 0), append(k.seen, 0)
	}
	k.seen[kind]++
	k.runs[kind] += (ran - k.runs[kind]) * max(1/float64(k.seen[kind]), suitNew)
}

// chance is about how likely a job of a class is in time at a kind where it starts at once.
func (k *suits) chance(c *Class, kind int) (float64, bool) {
	if kind >= len(k.runs) || k.seen[kind] < suitFew {
		return 0, false
	}
	best := math.Inf(1)
	for i, ran := range k.runs {
		if k.seen[i] >= suitFew {
			best = min(best, ran)
		}
	}
	k.allowed = c.Aim.Seconds() + max(1, c.Stretch)*best
	return 1 / (1 + math.Pow(k.runs[kind]/k.allowed, suitSteep)), true
}

// suit weighs each kind for each class by what the class gains there beyond what all
// gain on the mean: what every class gains by a fast worker is no reason to send a
// certain one there.
func (b *Balancer) suit() {
	worth, kinds := 0.0, 0
	for i := range b.classes {
		worth += b.s.Classes[i].Worth / float64(len(b.classes))
		kinds = max(kinds, len(b.classes[i].suits.runs))
	}
	if worth <= 0 {
		return
	}
	gain := make([][]float64, len(b.classes))
	for i := range b.classes {
		k, mean, n := &b.classes[i].suits, 0.0, 0.0
		gain[i] = make([]float64, kinds)
		for kind := range kinds {
			if p, known := k.chance(&b.s.Classes[i], kind); known {
				gain[i][kind] = p * b.s.Classes[i].Worth / worth
				mean, n = mean+gain[i][kind], n+1
			} else {
				gain[i][kind] = math.NaN()
			}
		}
		for kind := range kinds {
			if gain[i][kind] -= mean / max(1, n); math.IsNaN(gain[i][kind]) {
				gain[i][kind] = 0
			}
		}
	}
	for i := range b.classes {
		k := &b.classes[i].suits
		k.weight = make([]float64, kinds)
		for kind := range kinds {
			all := 0.0
			for j := range gain {
				all += gain[j][kind] / float64(len(gain))
			}
			k.weight[kind] = math.Exp(max(-suitMost, min(suitMost, suitKeen*(gain[i][kind]-all))))
		}
	}
}

// suited is the weight of a draw of a worker for a class: by its kind, and less where it is
// slower of late than its kind. Guards classes with little slack against a slow one sooner
// than the rest, which loses nothing there yet.
func (b *Balancer) suited(class int, w *worker) float64 {
	k := &b.classes[class].suits
	if w.kind < 0 || w.kind >= len(k.weight) {
		return 1
	}
	weight := k.weight[w.kind]
	if pace := b.pace(w); pace > 1 && k.allowed > 0 && w.kind < len(k.seen) && k.seen[w.kind] >= suitFew {
		r := k.runs[w.kind] / k.allowed
		weight *= math.Pow((1+math.Pow(r, suitSteep))/(1+math.Pow(r*pace, suitSteep)), paceKeen)
	}
	return weight
}
