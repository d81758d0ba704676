package yardwharf

import "math"

// This file learns the affinity of classes to kinds of workers. Where speeds differ, jobs of a
// class with little slack are late on slow workers, however idle these are, while other classes
// lose nothing there.

const (
	minAffinityRuns     = 4    // runs of a class on a kind before it counts
	chanceSteepness     = 6    // steepness with which the chance falls as the usual run nears the allowed one
	affinityGain        = 8    // how strongly draws follow what a class gains on a kind
	maxAffinityExponent = 3    // bound of the exponent in a draw's weight
	paceExponent        = 4    // power of the loss of chance on a worker that has become slow
	affinityAlpha       = 0.02 // EWMA weight of one run, after the first ones
)

// kindAffinity is how long a class's jobs run on each kind of worker, and the weights of draws.
type kindAffinity struct {
	meanRun  []float64 // usual run, in seconds at full warmth
	runCount []int
	allowed  float64   // seconds from its start within which a job is in time
	weight   []float64 // of a draw; nil while nothing is known
}

// learn adds the run of a job.
func (k *kindAffinity) learn(kind int, ran float64) {
	if kind < 0 || kind > math.MaxUint8 {
		return
	}
	for len(k.meanRun) <= kind {
		k.meanRun, k.runCount = append(k.meanRun, 0), append(k.runCount, 0)
	}
	k.runCount[kind]++
	k.meanRun[kind] += (ran - k.meanRun[kind]) * max(1/float64(k.runCount[kind]), affinityAlpha)
}

// inTimeChance estimates the chance that a job of a class that starts at once on a kind is in time.
func (k *kindAffinity) inTimeChance(c *Class, kind int) (float64, bool) {
	if kind >= len(k.meanRun) || k.runCount[kind] < minAffinityRuns {
		return 0, false
	}
	best := math.Inf(1)
	for i, ran := range k.meanRun {
		if k.runCount[i] >= minAffinityRuns {
			best = min(best, ran)
		}
	}
	k.allowed = c.Aim.Seconds() + max(1, c.Stretch)*best
	return 1 / (1 + math.Pow(k.meanRun[kind]/k.allowed, chanceSteepness)), true
}

// updateAffinity weighs each kind for each class by what the class gains there beyond the mean gain
// of all classes: what every class gains on a fast worker is no reason to send one of them there.
func (b *Balancer) updateAffinity() {
	worth, kinds := 0.0, 0
	for i := range b.classes {
		worth += b.s.Classes[i].Worth / float64(len(b.classes))
		kinds = max(kinds, len(b.classes[i].affinity.meanRun))
	}
	if worth <= 0 {
		return
	}
	gain := make([][]float64, len(b.classes))
	for i := range b.classes {
		k, mean, n := &b.classes[i].affinity, 0.0, 0.0
		gain[i] = make([]float64, kinds)
		for kind := range kinds {
			if p, known := k.inTimeChance(&b.s.Classes[i], kind); known {
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
		k := &b.classes[i].affinity
		k.weight = make([]float64, kinds)
		for kind := range kinds {
			all := 0.0
			for j := range gain {
				all += gain[j][kind] / float64(len(gain))
			}
			k.weight[kind] = math.Exp(max(-maxAffinityExponent, min(maxAffinityExponent, affinityGain*(gain[i][kind]-all))))
		}
	}
}

// affinityWeight is the weight of a worker in the draws of a class: by its kind, and less if the
// worker has recently been slower than its kind. Guards classes with little slack against a slow
// worker earlier than other classes, which lose nothing there yet.
func (b *Balancer) affinityWeight(class int, w *worker) float64 {
	k := &b.classes[class].affinity
	if w.kind < 0 || w.kind >= len(k.weight) {
		return 1
	}
	weight := k.weight[w.kind]
	if pace := b.pace(w); pace > 1 && k.allowed > 0 && w.kind < len(k.runCount) && k.runCount[w.kind] >= minAffinityRuns {
		r := k.meanRun[w.kind] / k.allowed
		weight *= math.Pow((1+math.Pow(r, chanceSteepness))/(1+math.Pow(r*pace, chanceSteepness)), paceExponent)
	}
	return weight
}
