package yardwharf

import (
	"math"
	"reflect"
	"slices"
)

// adjusted is s with those parts of another that may change while messages are in hand: what
// classes and tenants are worth and when, and prices.
func (s Settings) adjusted(to Settings) Settings {
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	for i := range min(len(s.Classes), len(to.Classes)) {
		c, t := &s.Classes[i], &to.Classes[i]
		c.Aim, c.Stretch, c.Worth, c.LateWorth = t.Aim, t.Stretch, t.Worth, t.LateWorth
	}
	for i := range min(len(s.Tenants), len(to.Tenants)) {
		s.Tenants[i].Share = to.Tenants[i].Share
	}
	s.OverShareWorth, s.WorstClass, s.CrossZonePrice, s.ProbePrice, s.PeerPrice = to.OverShareWorth, to.WorstClass, to.CrossZonePrice,
		to.ProbePrice, to.PeerPrice
	return s
}

// Changes names the settings in which others differ: those that Adjust takes over, and those
// that count for a new Balancer only.
func (s Settings) Changes(to Settings) (live, fixed []string) {
	differ := func(a, b Settings) (names []string) {
		x, y := reflect.ValueOf(a), reflect.ValueOf(b)
		for i := range x.NumField() {
			if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
				names = append(names, x.Type().Field(i).Name)
			}
		}
		return names
	}
	mid := s.adjusted(to)
	return differ(s, mid), differ(mid, to)
}

// Settings are those that count now.
func (b *Balancer) Settings() Settings { return b.s }

// Adjust takes over what of other settings may change. Settings that make no sense are an
// error, and change nothing.
func (b *Balancer) Adjust(to Settings) error {
	if err := to.check(); err != nil {
		return err
	}
	next := b.s.adjusted(to)
	copy(b.s.Classes, next.Classes) // requests in hand and others hold on to these
	copy(b.s.Tenants, next.Tenants)
	next.Classes, next.Tenants = b.s.Classes, b.s.Tenants
	b.s = next
	b.silence = math.MaxInt64
	for _, c := range b.s.Classes {
		b.silence = min(b.silence, silence(&b.s, c))
	}
	return nil
}
