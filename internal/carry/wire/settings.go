package wire

import (
	"encoding/json"
	"fmt"

	cm "yardwharf"
)

// number is a JSON number that knows whether its key was there.
type number struct {
	v   float64
	set bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *number) UnmarshalJSON(b []byte) error {
	n.set = true
	return json.Unmarshal(b, &n.v)
}

type params struct {
	Balancers, Index, MyZone number
	Classes                  []struct {
		Aim, AimStretch, Deadline, KeyTtl, LateWorth, Points number
		Effect, Group, Name                                  string
	}
	Discovery, ValueBy, Weights string
	Areas, Shapes               []string
	Goal                        struct{ WorstClass number }
	Limits                      struct {
		Cancel, ParallelTries, Peers, Probes bool
		MaxRetryAfter, TryLimit              number
		ConnIdle, DialTimeout, OpenCap       number
	}
	OverShareWorth number
	Prices         struct{ CrossZone, Probe, Peer number }
	Realms         []struct {
		Name                string
		QuotaPerS, Fraction number
	}
	Report struct {
		Names  []string
		Source string
	}
	Rules struct {
		DrainGrace, MustAskIn, OverloadFactor, OverloadFor, StartCapacity, WarmUp number
	}
	Specifics struct {
		ClassKind, ClassPriority []int
		ClassStretch             []float64
		TellsStart               bool
		ReportX0                 string
	}
}

// Settings reads the settings of an instance. Unknown keys are skipped.
func Settings(text []byte) (cm.Settings, error) {
	var p params
	if err := json.Unmarshal(text, &p); err != nil {
		return cm.Settings{}, fmt.Errorf("settings: %w", err)
	}
	for _, need := range []struct {
		key string
		n   number
	}{
		{"Balancers", p.Balancers}, {"Index", p.Index}, {"MyZone", p.MyZone},
		{"Limits.TryLimit", p.Limits.TryLimit},
		{"Rules.DrainGrace", p.Rules.DrainGrace},
		{"Rules.OverloadFactor", p.Rules.OverloadFactor}, {"Rules.OverloadFor", p.Rules.OverloadFor},
		{"Rules.StartCapacity", p.Rules.StartCapacity}, {"Rules.WarmUp", p.Rules.WarmUp},
	} {
		if !need.n.set {
			return cm.Settings{}, fmt.Errorf("settings: key %s is missing", need.key)
		}
	}
	s := cm.Settings{
		Me: int(p.Index.v), Balancers: int(p.Balancers.v), Zone: int(p.MyZone.v),
		Zones: p.Areas, Kinds: p.Shapes,
		OverShareWorth: p.OverShareWorth.v, WorthByWork: p.ValueBy == "work",
		TellsStart: p.Specifics.TellsStart, AskDiscovery: p.Discovery == "subscribe",
		ReportsInReply: p.Report.Source == "inline",
		MaxAttempts:    int(p.Limits.TryLimit.v), ParallelTries: p.Limits.ParallelTries,
		Cancel: p.Limits.Cancel, Probes: p.Limits.Probes, Peers: p.Limits.Peers,
		MaxRetryAfter: ms(p.Limits.MaxRetryAfter.v), MaxOpen: int(p.Limits.OpenCap.v),
		DialTimeout: ms(p.Limits.DialTimeout.v), ConnIdle: ms(p.Limits.ConnIdle.v),
		CrossZonePrice: p.Prices.CrossZone.v, ProbePrice: p.Prices.Probe.v, PeerPrice: p.Prices.Peer.v, WorstClass: p.Goal.WorstClass.v,
		DrainGrace: ms(p.Rules.DrainGrace.v), AskWithin: ms(p.Rules.MustAskIn.v),
		StartCapacity: p.Rules.StartCapacity.v, WarmUp: ms(p.Rules.WarmUp.v),
		OverloadFactor: p.Rules.OverloadFactor.v, OverloadFor: ms(p.Rules.OverloadFor.v),
	}
	if s.AskDiscovery && !p.Rules.MustAskIn.set {
		return cm.Settings{}, fmt.Errorf("settings: key Rules.MustAskIn is missing")
	}
	switch p.Weights {
	case "nominal", "rough":
		s.Hint = cm.HintSize
	case "live":
		s.Hint = cm.HintLive
	}
	if len(p.Classes) == 0 {
		return cm.Settings{}, fmt.Errorf("settings: key Classes is missing or empty")
	}
	for i, c := range p.Classes {
		for key, n := range map[string]number{"Aim": c.Aim, "Deadline": c.Deadline, "Points": c.Points} {
			if !n.set {
				return cm.Settings{}, fmt.Errorf("settings: key Classes[%d].%s is missing", i, key)
			}
		}
		out := cm.Class{Name: c.Name, Aim: ms(c.Aim.v), Stretch: c.AimStretch.v, Deadline: ms(c.Deadline.v),
			Worth: c.Points.v, LateWorth: c.LateWorth.v, KeyTTL: ms(c.KeyTtl.v), Kind: -1}
		switch c.Effect {
		case "pure":
			out.Effect = cm.Safe
		case "token":
			out.Effect = cm.Keyed
		case "side_effect":
			out.Effect = cm.Unsafe
		default:
			return cm.Settings{}, fmt.Errorf("settings: Classes[%d].Effect: unknown %q", i, c.Effect)
		}
		switch c.Group {
		case "zone":
			out.Group = cm.SameZone
		case "cell":
			out.Group = cm.SameCell
		}
		if i < len(p.Specifics.ClassKind) {
			out.Kind = p.Specifics.ClassKind[i]
		}
		if i < len(p.Specifics.ClassPriority) {
			out.Priority = p.Specifics.ClassPriority[i]
		}
		if i < len(p.Specifics.ClassStretch) {
			out.Stretch = p.Specifics.ClassStretch[i]
		}
		s.Classes = append(s.Classes, out)
	}
	for _, t := range p.Realms {
		s.Tenants = append(s.Tenants, cm.Tenant{Name: t.Name, Quota: t.QuotaPerS.v, Share: t.Fraction.v})
	}
	if p.Report.Source != "off" {
		for _, name := range p.Report.Names {
			f := cm.FieldOther
			switch name {
			case "outstanding":
				f = cm.FieldInflight
			case "backlog":
				f = cm.FieldQueue
			case "utilization":
				f = cm.FieldUtil
			case "errors_per_s":
				f = cm.FieldErrors
			case "x0":
				if p.Specifics.ReportX0 == "free slots" {
					f = cm.FieldFreeSlots
				}
			}
			s.ReportFields = append(s.ReportFields, f)
			s.ReportNames = append(s.ReportNames, name)
		}
	}
	return s, nil
}
