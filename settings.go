package yardwharf

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// validate returns an error that names the first invalid setting.
func (s *Settings) validate() error {
	positive := func(name string, v float64) error {
		if !(v > 0) || math.IsInf(v, 0) {
			return fmt.Errorf("%s must be above 0, is %v", name, v)
		}
		return nil
	}
	for _, c := range []struct {
		name string
		v    float64
	}{
		{"Balancers", float64(s.Balancers)}, {"MaxAttempts", float64(s.MaxAttempts)},
		{"Classes (their number)", float64(len(s.Classes))}, {"StartCapacity", s.StartCapacity},
		{"OverloadFactor", s.OverloadFactor}, {"OverloadFor", float64(s.OverloadFor)},
	} {
		if err := positive(c.name, c.v); err != nil {
			return err
		}
	}
	if s.Me < 0 {
		return fmt.Errorf("Me must be 0 at least, is %d", s.Me)
	}
	if s.AskDiscovery && s.AskWithin <= 0 {
		return fmt.Errorf("AskWithin must be above 0, is %v", s.AskWithin)
	}
	for i, c := range s.Classes {
		if c.Effect > Unsafe || c.Group > SameCell || c.Aim < 0 || math.IsNaN(c.Worth) || c.Worth < 0 {
			return fmt.Errorf("Classes[%d] has an Effect, Group, Aim or Worth out of range", i)
		}
	}
	return nil
}

// New returns a Balancer, or an error that names the first invalid setting.
func New(s Settings, seed uint64, actions Actions) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("yardwharf: %w", err)
	}
	b := &Balancer{
		s: s, do: actions, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		byID: make(map[WorkerID]*worker), requests: make(map[RequestID]*request),
		silenceLimit: math.MaxInt64, armed: math.MaxInt64,
		limit: math.Inf(1), classes: make([]classStats, len(s.Classes)), tenants: make([]tenant, len(s.Tenants)), abandoned: map[RequestID]abandonedJob{},
		zoneCounts: make([]ZoneCounts, len(s.Zones)), zoneFraction: slices.Repeat([]float64{1}, len(s.Zones)),
		silentFraction: map[int]float64{}, lastZoneProbe: map[int]time.Duration{}, copyRate: 1, processes: 1, util: 1, pools: map[int][]*split{},
	}
	for _, c := range s.Classes {
		b.silenceLimit = min(b.silenceLimit, silenceLimit(&s, c))
		i := slices.IndexFunc(b.splits, func(sp *split) bool { return sp.kind == c.Kind })
		if i < 0 {
			i = len(b.splits)
			b.splits = append(b.splits, newSplit(c.Kind, 0, &s.Split))
		}
		b.splitByClass = append(b.splitByClass, b.splits[i])
	}
	return b, nil
}
