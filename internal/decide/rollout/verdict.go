package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"yardwharf/internal/decide/figures"
)

// Answer is what a comparison tells.
type Answer uint8

// The answers.
const (
	NotTold Answer = iota
	NotWorse
	Worse
)

// MarshalText implements encoding.TextMarshaler.
func (a Answer) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Answer) UnmarshalText(text []byte) error {
	for *a = NotTold; *a <= Worse; *a++ {
		if a.String() == string(text) {
			return nil
		}
	}
	return fmt.Errorf("rollout: no answer %q", text)
}

// String names an answer.
func (a Answer) String() string { return [...]string{"not told", "not worse", "worse"}[a] }

// The figures that are compared. Worse is more of each.
const (
	lostWorth = iota // part of the worth that was not answered in time
	failed           // part of the messages
	delay            // seconds of a served message, against the old ones'
	attempts         // relays a message, against the old ones'
	crossings        // a message
	cpu              // seconds a message, against the old ones'
	figuresN
)

var figureNames = [figuresN]string{"worth lost", "failed", "delay", "attempts", "crossings", "cpu"}

// borne is what of each figure is let pass beside the margin: as a part of the old ones' where
// it is told against theirs. CPU a message differs from machine to machine.
var borne = [figuresN]float64{delay: 0.05, attempts: 0.05, crossings: 0.03, cpu: 0.25}

const (
	block       = 5 * time.Second
	blocksFew   = 6    // under it nothing is told
	blocksBest  = 24   // where the interval is narrowest
	classMargin = 0.05 // of a class's worth
	sideLeast   = 5    // messages on each side, for a class in a zone to be compared in a block
)

// Comparison gathers new against old, and tells at any time what is known.
type Comparison struct {
	margin, alpha float64
	series        [figuresN]series
	byClass       map[string]*series
	until         time.Duration // end of the block
	sides         map[string]*sides
	Messages      float64 // taken by new ones
}

// series is a figure's differences, block by block.
type series struct {
	values, weights []float64
	floor           float64 // variance of a block that so few messages could hide, added up
}

// sides are the counts of a block in a zone.
type sides struct {
	counts [2]map[string]*figures.Counts // old, new; by class
	cpu    [2]float64
	worth  map[string]float64
}

// NewComparison bears a loss of worth under the margin; alpha is the chance of a false alarm.
func NewComparison(margin, alpha float64) *Comparison {
	return &Comparison{margin: margin, alpha: alpha, byClass: map[string]*series{}, sides: map[string]*sides{}}
}

// Add takes what a dispatcher of a zone has done since it was last told of.
func (c *Comparison) Add(now time.Duration, zone string, isNew bool, done figures.Figures) {
	if c.until == 0 {
		c.until = now + block
	}
	if now >= c.until {
		c.close()
		c.until = now + block
	}
	s := c.sides[zone]
	if s == nil {
		s = &sides{counts: [2]map[string]*figures.Counts{{}, {}}, worth: map[string]float64{}}
		c.sides[zone] = s
	}
	side := 0
	if isNew {
		side = 1
	}
	for name, k := range done.Classes {
		if s.counts[side][name] == nil {
			s.counts[side][name] = &figures.Counts{}
		}
		s.counts[side][name].Add(k, 1)
		s.worth[name] = done.Worth[name]
		if isNew {
			c.Messages += k.Taken
		}
	}
	s.cpu[side] += done.CPU
}

// cell is a difference with its weight and the least variance that it has.
type cell struct{ diff, weight, floor float64 }

// close ends a block: each zone and class where both sides had messages gives a difference.
func (c *Comparison) close() {
	var cells [figuresN][]cell
	byClass := map[string][]cell{}
	for _, zone := range slices.Sorted(maps.Keys(c.sides)) { // in order: the same sums for the same seed
		s := c.sides[zone]
		var all [2]figures.Counts
		for _, name := range slices.Sorted(maps.Keys(s.counts[0])) {
			o, n := s.counts[0][name], s.counts[1][name]
			if n == nil {
				continue
			}
			no, nn := o.Ended(), n.Ended()
			if no < sideLeast || nn < sideLeast {
				continue
			}
			weight := no * nn / (no + nn)
			lost := func(k *figures.Counts) float64 { return 1 - k.InTime/k.Ended() }
			// What n messages hide at least: a share that could be 1/n.
			floor := spread(lost(o), no) + spread(lost(n), nn)
			w := max(s.worth[name], 1e-9)
			cells[lostWorth] = append(cells[lostWorth], cell{lost(n) - lost(o), weight * w, floor})
			byClass[name] = append(byClass[name], cell{lost(n) - lost(o), weight, floor})
			cells[failed] = append(cells[failed], cell{n.Failed/nn - o.Failed/no, weight, spread(o.Failed/no, no) + spread(n.Failed/nn, nn)})
			cells[attempts] = append(cells[attempts], relative(n.Relays/nn, o.Relays/no, weight))
			cells[crossings] = append(cells[crossings], cell{n.Crossed/nn - o.Crossed/no, weight, spread(min(1, o.Crossed/no), no) + spread(min(1, n.Crossed/nn), nn)})
			if so, sn := o.InTime+o.Late, n.InTime+n.Late; so >= sideLeast && sn >= sideLeast {
				cells[delay] = append(cells[delay], relative(n.Delay/sn, o.Delay/so, weight))
			}
			all[0].Add(*o, 1)
			all[1].Add(*n, 1)
		}
		if no, nn := all[0].Ended(), all[1].Ended(); no >= sideLeast && nn >= sideLeast && s.cpu[0] > 0 {
			cells[cpu] = append(cells[cpu], relative(s.cpu[1]/nn, s.cpu[0]/no, no*nn/(no+nn)))
		}
	}
	c.sides = map[string]*sides{}
	for i := range cells {
		c.series[i].add(cells[i])
	}
	for name, list := range byClass {
		if c.byClass[name] == nil {
			c.byClass[name] = &series{}
		}
		c.byClass[name].add(list)
	}
}

// spread is the variance of a mean of n yes or no; no fewer than could be hidden.
func spread(p, n float64) float64 {
	p = (p*n + 0.5) / (n + 1)
	return p * (1 - p) / n
}

// relative is a difference as a part of the old side's.
func relative(new, old, weight float64) cell {
	if old <= 0 {
		return cell{}
	}
	return cell{new/old - 1, weight, 0.01 / max(weight, 1)}
}

// add books a block: the mean of its cells by weight.
func (s *series) add(list []cell) {
	sum, weight, floor := 0.0, 0.0, 0.0
	for _, k := range list {
		sum += k.diff * k.weight
		weight += k.weight
		floor += k.floor * k.weight * k.weight
	}
	if weight > 0 {
		s.values, s.weights = append(s.values, sum/weight), append(s.weights, weight)
		s.floor += floor / weight / weight
	}
}

// Interval is what a figure's difference lies in, whenever it is looked at.
type Interval struct {
	Low  float64 `json:"low"`
	Mid  float64 `json:"mid"`
	High float64 `json:"high"`
}

// interval is an asymptotic confidence sequence (Waudby-Smith and others, 2021).
func (s *series) interval(alpha float64) (Interval, bool) {
	t := float64(len(s.values))
	if t < blocksFew {
		return Interval{}, false
	}
	mean, variance := stat.MeanVariance(s.values, s.weights)
	if math.IsNaN(variance) || math.IsInf(variance, 0) || variance < 0 {
		variance = 0
	}
	// The weights of blocks differ: fewer of them count.
	sum, squares := 0.0, 0.0
	for _, w := range s.weights {
		sum += w
		squares += w * w
	}
	t = sum * sum / squares
	variance = max(stat.Variance(s.values, nil), variance, s.floor/float64(len(s.values)))
	rho2 := (-2*math.Log(alpha) + math.Log(-2*math.Log(alpha)+1)) / blocksBest
	// The deviation is itself estimated, from few blocks at first: as much wider as Student's t
	// is than the normal.
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: max(1, t-1)}.Quantile(1 - alpha/2)
	wider := student / distuv.UnitNormal.Quantile(1-alpha/2)
	radius := wider * math.Sqrt(variance*2*(t*rho2+1)/(t*t*rho2)*math.Log(math.Sqrt(t*rho2+1)/alpha))
	return Interval{mean - radius, mean, mean + radius}, true
}

// Line is one figure of a verdict.
type Line struct {
	Figure string `json:"figure"`
	Interval
	Bear   float64 `json:"bear"`
	Answer Answer  `json:"answer"`
}

// String says it in a line.
func (l Line) String() string {
	return fmt.Sprintf("%s %+.4f (%+.4f to %+.4f, borne %.3f): %v", l.Figure, l.Mid, l.Low, l.High, l.Bear, l.Answer)
}

// Verdict says what is known now, and of which figures.
func (c *Comparison) Verdict() (Answer, []Line) {
	each := c.alpha / float64(figuresN+max(1, len(c.byClass)))
	var lines []Line
	whole := NotWorse
	judge := func(name string, s *series, least, margin float64, must bool) {
		in, known := s.interval(each)
		l := Line{Figure: name, Interval: in, Bear: margin}
		switch {
		case !known:
		case in.High < margin:
			l.Answer = NotWorse
		case in.Low > least:
			l.Answer = Worse
		}
		if known {
			lines = append(lines, l)
		}
		switch {
		case l.Answer == Worse:
			whole = Worse
		case l.Answer == NotTold && must && whole == NotWorse:
			whole = NotTold
		}
	}
	judge(figureNames[lostWorth], &c.series[lostWorth], 0, c.margin, true)
	judge(figureNames[failed], &c.series[failed], 0, c.margin, true)
	for i := delay; i < figuresN; i++ { // these can stop a change, and need not be told to let it go on
		judge(figureNames[i], &c.series[i], borne[i], 2*borne[i], false)
	}
	for _, name := range slices.Sorted(maps.Keys(c.byClass)) {
		judge("worth lost of "+name, c.byClass[name], 0, classMargin, false)
	}
	return whole, lines
}
