package yardwharf

import (
	"math"
	"reflect"
	"slices"
)

// adjusted is what counts of other settings while messages are in hand: all but what the parts of
// a dispatcher are built on. These are who it is and with whom, which zones, kinds, classes and
// tenants there are, and how lists, reports and starts are told.
func (s Settings) adjusted(to Settings) Settings {
	next := to
	next.Me, next.Balancers, next.Zone, next.Zones, next.Kinds = s.Me, s.Balancers, s.Zone, s.Zones, s.Kinds
	next.TellsStart, next.AskDiscovery, next.Hint, next.Peers = s.TellsStart, s.AskDiscovery, s.Hint, s.Peers
	next.ReportFields, next.ReportNames, next.ReportsInReply = s.ReportFields, s.ReportNames, s.ReportsInReply
	same := func(a, b Class) bool { return a.Name == b.Name && a.Kind == b.Kind }
	if next.Classes = s.Classes; slices.EqualFunc(s.Classes, to.Classes, same) {
		next.Classes = slices.Clone(to.Classes)
	}
	named := func(a, b Tenant) bool { return a.Name == b.Name }
	if next.Tenants = s.Tenants; slices.EqualFunc(s.Tenants, to.Tenants, named) {
		next.Tenants = slices.Clone(to.Tenants)
	}
	return next
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

// Adjust takes over what of other settings may change, as if it had begun with them, but for
// requests in hand: they may run as often as when they were taken. Settings that make no sense are an
// error, and change nothing.
func (b *Balancer) Adjust(to Settings) error {
	if err := to.check(); err != nil {
		return err
	}
	next := b.s.adjusted(to)
	for i := range next.Classes { // requests in hand hold on to the old ones: what they are worth changes, how often they may run does not
		c, t := &b.s.Classes[i], &next.Classes[i]
		c.Aim, c.Stretch, c.Worth, c.LateWorth = t.Aim, t.Stretch, t.Worth, t.LateWorth
	}
	b.s = next
	b.silence = math.MaxInt64
	for _, c := range b.s.Classes {
		b.silence = min(b.silence, silence(&b.s, c))
	}
	return nil
}
