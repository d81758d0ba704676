package yardwharf

import (
	"math"
	"reflect"
	"slices"
)

// withAdjustable returns s with those settings of to that may change while requests are in
// progress. The rest is fixed, as the state of a Balancer depends on it: the numbers of the
// dispatcher and its peers, the zones, kinds, classes and tenants, and how lists, reports and
// starts are delivered.
func (s Settings) withAdjustable(to Settings) Settings {
	next := to
	next.Me, next.Balancers, next.Zone, next.Zones, next.Kinds = s.Me, s.Balancers, s.Zone, s.Zones, s.Kinds
	next.TellsStart, next.AskDiscovery, next.Hint, next.Peers = s.TellsStart, s.AskDiscovery, s.Hint, s.Peers
	next.ReportFields, next.ReportNames, next.ReportsInReply = s.ReportFields, s.ReportNames, s.ReportsInReply
	sameClass := func(a, b Class) bool { return a.Name == b.Name && a.Kind == b.Kind }
	if next.Classes = s.Classes; slices.EqualFunc(s.Classes, to.Classes, sameClass) {
		next.Classes = slices.Clone(to.Classes)
	}
	sameTenant := func(a, b Tenant) bool { return a.Name == b.Name }
	if next.Tenants = s.Tenants; slices.EqualFunc(s.Tenants, to.Tenants, sameTenant) {
		next.Tenants = slices.Clone(to.Tenants)
	}
	return next
}

// Changes returns the names of the settings that differ in to: those that Adjust applies, and
// those that only a new Balancer takes.
func (s Settings) Changes(to Settings) (adjustable, startupOnly []string) {
	changedFields := func(a, b Settings) (names []string) {
		x, y := reflect.ValueOf(a), reflect.ValueOf(b)
		for i := range x.NumField() {
			if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
				names = append(names, x.Type().Field(i).Name)
			}
		}
		return names
	}
	merged := s.withAdjustable(to)
	return changedFields(s, merged), changedFields(merged, to)
}

// Settings returns the settings in effect.
func (b *Balancer) Settings() Settings { return b.s }

// Adjust applies the adjustable settings of to as if the Balancer had started with them, except
// that requests in progress keep the repetition rules of their class from when they were accepted.
// Invalid settings return an error and change nothing.
func (b *Balancer) Adjust(to Settings) error {
	if err := to.validate(); err != nil {
		return err
	}
	next := b.s.withAdjustable(to)
	for i := range next.Classes { // requests in progress refer to the old classes: their worth changes, their repetition rules do not
		c, t := &b.s.Classes[i], &next.Classes[i]
		c.Aim, c.Stretch, c.Worth, c.LateWorth = t.Aim, t.Stretch, t.Worth, t.LateWorth
	}
	b.s = next
	b.silenceLimit = math.MaxInt64
	for _, c := range b.s.Classes {
		b.silenceLimit = min(b.silenceLimit, silenceLimit(&b.s, c))
	}
	return nil
}
