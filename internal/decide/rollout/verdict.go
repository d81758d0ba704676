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

// Answer is the result of a comparison.
type Answer uint8

// The answers.
const (
	Undecided Answer = iota
	NotWorse
	Worse
)

// MarshalText implements encoding.TextMarshaler.
func (a Answer) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Answer) UnmarshalText(text []byte) error {
	for *a = Undecided; *a <= Worse; *a++ {
		if a.String() == string(text) {
			return nil
		}
	}
	return fmt.Errorf("rollout: unknown answer %q", text)
}

// String returns the answer's name.
func (a Answer) String() string { return [...]string{"not told", "not worse", "worse"}[a] }

// The compared figures. Of each, more is worse. "Relative" is to the old version's figure.
const (
	lostWorth = iota // share of the worth that was not answered in time
	failed           // share of the messages
	delay            // seconds per served message, relative
	attempts         // relays per message, relative
	crossings        // zone crossings per message
	cpu              // seconds per message, relative
	numFigures
)

var figureNames = [numFigures]string{"worth lost", "failed", "delay", "attempts", "crossings", "cpu"}

// tolerance applies to the figures that are not held to the plan's margin. A figure is worse if
// its interval lies above the tolerance, and not worse if it lies below twice that. That of CPU
// is large because CPU per message differs between machines.
var tolerance = [numFigures]float64{delay: 0.05, attempts: 0.05, crossings: 0.03, cpu: 0.25}

const (
	blockLength        = 5 * time.Second
	minBlocks          = 6    // below this, the answer is Undecided
	narrowestAtBlocks  = 24   // number of blocks for which the interval is optimized
	classMargin        = 0.05 // tolerated loss, as a fraction of a class's worth
	minMessagesPerSide = 5    // for a class to be compared in a zone and block
)

// Comparison compares dispatchers on the new version with those on the old one. It may be
// evaluated at any time.
type Comparison struct {
	margin, alpha float64
	series        [numFigures]series
	byClass       map[string]*series
	blockEnd      time.Duration
	byZone        map[string]*zoneCounts
	Messages      float64 // taken by upgraded dispatchers
}

// series holds a figure's differences between new and old, by block.
type series struct {
	values, weights []float64
	minVariance     float64 // sum over blocks of the variance that small message counts could conceal
}

// zoneCounts holds the counts of one zone in the current block; index 0 is old, 1 is new.
type zoneCounts struct {
	counts [2]map[string]*figures.Counts // by class
	cpu    [2]float64
	worth  map[string]float64
}

// NewComparison returns a Comparison that tolerates a loss of worth below margin; alpha is the
// probability of a false alarm.
func NewComparison(margin, alpha float64) *Comparison {
	return &Comparison{margin: margin, alpha: alpha, byClass: map[string]*series{}, byZone: map[string]*zoneCounts{}}
}

// Add adds what a dispatcher of a zone has done since its previous report.
func (c *Comparison) Add(now time.Duration, zone string, isNew bool, done figures.Figures) {
	if c.blockEnd == 0 {
		c.blockEnd = now + blockLength
	}
	if now >= c.blockEnd {
		c.endBlock()
		c.blockEnd = now + blockLength
	}
	s := c.byZone[zone]
	if s == nil {
		s = &zoneCounts{counts: [2]map[string]*figures.Counts{{}, {}}, worth: map[string]float64{}}
		c.byZone[zone] = s
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

// cell is the difference of a figure in one zone, of a class or of all, with its weight and a
// lower bound of its variance.
type cell struct{ diff, weight, minVariance float64 }

// endBlock ends a block. Each zone and class in which both sides had enough messages contributes
// a difference.
func (c *Comparison) endBlock() {
	var cells [numFigures][]cell
	byClass := map[string][]cell{}
	for _, zone := range slices.Sorted(maps.Keys(c.byZone)) { // sorted, as the order affects floating-point sums
		s := c.byZone[zone]
		var all [2]figures.Counts
		for _, name := range slices.Sorted(maps.Keys(s.counts[0])) {
			o, n := s.counts[0][name], s.counts[1][name]
			if n == nil {
				continue
			}
			no, nn := o.Answered(), n.Answered()
			if no < minMessagesPerSide || nn < minMessagesPerSide {
				continue
			}
			weight := no * nn / (no + nn)
			lost := func(k *figures.Counts) float64 { return 1 - k.InTime/k.Answered() }
			// n messages cannot rule out a share of about 1/n.
			minVariance := proportionVariance(lost(o), no) + proportionVariance(lost(n), nn)
			w := max(s.worth[name], 1e-9)
			cells[lostWorth] = append(cells[lostWorth], cell{lost(n) - lost(o), weight * w, minVariance})
			byClass[name] = append(byClass[name], cell{lost(n) - lost(o), weight, minVariance})
			cells[failed] = append(cells[failed], cell{n.Failed/nn - o.Failed/no, weight, proportionVariance(o.Failed/no, no) + proportionVariance(n.Failed/nn, nn)})
			cells[attempts] = append(cells[attempts], relativeCell(n.Relays/nn, o.Relays/no, weight))
			cells[crossings] = append(cells[crossings], cell{n.Crossed/nn - o.Crossed/no, weight, proportionVariance(min(1, o.Crossed/no), no) + proportionVariance(min(1, n.Crossed/nn), nn)})
			if so, sn := o.InTime+o.Late, n.InTime+n.Late; so >= minMessagesPerSide && sn >= minMessagesPerSide {
				cells[delay] = append(cells[delay], relativeCell(n.DelaySum/sn, o.DelaySum/so, weight))
			}
			all[0].Add(*o, 1)
			all[1].Add(*n, 1)
		}
		if no, nn := all[0].Answered(), all[1].Answered(); no >= minMessagesPerSide && nn >= minMessagesPerSide && s.cpu[0] > 0 {
			cells[cpu] = append(cells[cpu], relativeCell(s.cpu[1]/nn, s.cpu[0]/no, no*nn/(no+nn)))
		}
	}
	c.byZone = map[string]*zoneCounts{}
	for i := range cells {
		c.series[i].addBlock(cells[i])
	}
	for name, list := range byClass {
		if c.byClass[name] == nil {
			c.byClass[name] = &series{}
		}
		c.byClass[name].addBlock(list)
	}
}

// proportionVariance returns the variance of a share p observed in n messages, smoothed so that
// it is not 0 for a share of 0 or 1.
func proportionVariance(p, n float64) float64 {
	p = (p*n + 0.5) / (n + 1)
	return p * (1 - p) / n
}

// relativeCell returns a difference relative to the old side's figure.
func relativeCell(new, old, weight float64) cell {
	if old <= 0 {
		return cell{}
	}
	return cell{new/old - 1, weight, 0.01 / max(weight, 1)}
}

// addBlock adds a block: the weighted mean of its cells.
func (s *series) addBlock(list []cell) {
	sum, weight, minVariance := 0.0, 0.0, 0.0
	for _, k := range list {
		sum += k.diff * k.weight
		weight += k.weight
		minVariance += k.minVariance * k.weight * k.weight
	}
	if weight > 0 {
		s.values, s.weights = append(s.values, sum/weight), append(s.weights, weight)
		s.minVariance += minVariance / weight / weight
	}
}

// Interval is a confidence interval of a figure's difference that stays valid under repeated
// evaluation.
type Interval struct {
	Low  float64 `json:"low"`
	Mid  float64 `json:"mid"`
	High float64 `json:"high"`
}

// interval computes an asymptotic confidence sequence (Waudby-Smith et al., 2021). It returns
// false while there are too few blocks.
func (s *series) interval(alpha float64) (Interval, bool) {
	blocks := float64(len(s.values))
	if blocks < minBlocks {
		return Interval{}, false
	}
	mean, variance := stat.MeanVariance(s.values, s.weights)
	if math.IsNaN(variance) || math.IsInf(variance, 0) || variance < 0 {
		variance = 0
	}
	// Blocks of unequal weight count as fewer blocks (Kish's effective sample size).
	sum, squares := 0.0, 0.0
	for _, w := range s.weights {
		sum += w
		squares += w * w
	}
	blocks = sum * sum / squares
	variance = max(stat.Variance(s.values, nil), variance, s.minVariance/float64(len(s.values)))
	rho2 := (-2*math.Log(alpha) + math.Log(-2*math.Log(alpha)+1)) / narrowestAtBlocks
	// The deviation is itself estimated, from few blocks at first. Widen the interval by the
	// ratio of Student's t quantile to the normal one.
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: max(1, blocks-1)}.Quantile(1 - alpha/2)
	inflation := student / distuv.UnitNormal.Quantile(1-alpha/2)
	radius := inflation * math.Sqrt(variance*2*(blocks*rho2+1)/(blocks*blocks*rho2)*math.Log(math.Sqrt(blocks*rho2+1)/alpha))
	return Interval{mean - radius, mean, mean + radius}, true
}

// Line is the result for one figure.
type Line struct {
	Figure string `json:"figure"`
	Interval
	Bear   float64 `json:"bear"`
	Answer Answer  `json:"answer"`
}

// String formats the result in a line.
func (l Line) String() string {
	return fmt.Sprintf("%s %+.4f (%+.4f to %+.4f, borne %.3f): %v", l.Figure, l.Mid, l.Low, l.High, l.Bear, l.Answer)
}

// Verdict returns the overall answer so far and the results of the known figures.
func (c *Comparison) Verdict() (Answer, []Line) {
	alphaEach := c.alpha / float64(numFigures+max(1, len(c.byClass)))
	var lines []Line
	overall := NotWorse
	judge := func(name string, s *series, worseAbove, notWorseBelow float64, required bool) {
		in, known := s.interval(alphaEach)
		l := Line{Figure: name, Interval: in, Bear: notWorseBelow}
		switch {
		case !known:
		case in.High < notWorseBelow:
			l.Answer = NotWorse
		case in.Low > worseAbove:
			l.Answer = Worse
		}
		if known {
			lines = append(lines, l)
		}
		switch {
		case l.Answer == Worse:
			overall = Worse
		case l.Answer == Undecided && required && overall == NotWorse:
			overall = Undecided
		}
	}
	judge(figureNames[lostWorth], &c.series[lostWorth], 0, c.margin, true)
	judge(figureNames[failed], &c.series[failed], 0, c.margin, true)
	for i := delay; i < numFigures; i++ { // these can stop a change, but may be undecided when it passes
		judge(figureNames[i], &c.series[i], tolerance[i], 2*tolerance[i], false)
	}
	for _, name := range slices.Sorted(maps.Keys(c.byClass)) {
		judge("worth lost of "+name, c.byClass[name], 0, classMargin, false)
	}
	return overall, lines
}
