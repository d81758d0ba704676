package operator

import (
	"time"

	"go.starlark.net/starlark"

	"yardwharf/internal/decide/script"
	"yardwharf/internal/decide/waiting"
)

const (
	usualBound   = 30 * time.Second
	usualReserve = 10 // percent
)

// Jobs sets up the front for jobs that wait.
type Jobs struct {
	Listen   string // ip:port of the API
	Snapshot string // where jobs are handed to the next start; empty: nowhere
	Limits   waiting.Limits
	Ageing   waiting.Ageing
}

func (r *reader) jobs(c script.Call) (starlark.Value, error) {
	a := c.Args("listen")
	if r.file.Jobs != nil {
		a.RecordError("jobs", "is called twice", "one call")
	}
	out := &Jobs{Snapshot: a.StringOr("snapshot", "")}
	if list := a.Addresses("listen"); len(list) == 1 {
		out.Listen = list[0]
	} else if len(list) > 1 {
		a.RecordError("listen", "is a list", "one address")
	}
	if v := a.Value("limits"); v != nil {
		l, ok := v.(script.Value[waiting.Limits])
		if !ok {
			a.RecordError("limits", "is "+v.Type(), "limits(...)")
		}
		out.Limits = l.V
	}
	out.Limits.Retention = a.Duration("hold", 10*time.Minute, time.Second, 7*24*time.Hour)
	out.Limits.MaxResultBytes = a.Int("hold_mb", 16, 1, 1024) << 20
	switch v := a.Value("ageing").(type) {
	case nil:
		out.Ageing = waiting.Ageing{MaxWait: usualBound, Reserve: usualReserve / 100.0}
	case starlark.Bool:
		if out.Ageing.Disabled = !bool(v); bool(v) {
			a.RecordError("ageing", "is True", "ageing(...) or False")
		}
	case script.Value[waiting.Ageing]:
		out.Ageing = v.V
	default:
		a.RecordError("ageing", "is "+v.Type(), "ageing(...) or False")
	}
	r.file.Jobs = out
	return starlark.None, a.Err()
}

func (r *reader) ageing(c script.Call) (starlark.Value, error) {
	a := c.Args("bound")
	out := waiting.Ageing{MaxWait: a.Duration("bound", usualBound, time.Second, 24*time.Hour),
		Reserve: float64(a.Int("reserve_percent", usualReserve, 1, 90)) / 100}
	return script.Value[waiting.Ageing]{V: out, Name: "ageing"}, a.Err()
}

func (r *reader) limits(c script.Call) (starlark.Value, error) {
	a := c.Args()
	const most = 100_000_000
	out := waiting.Limits{
		Jobs: a.Int("jobs", 0, 1, most), PerClass: a.Int("per_class", 0, 1, most), Edges: a.Int("edges", 0, 1, most),
		FanIn: a.Int("fan_in", 0, 1, most), Depth: a.Int("depth", 0, 1, most), Batch: a.Int("batch", 0, 1, 1_000_000),
		MaxRereleases: a.Int("repeats", 0, 1, 1_000_000), Bytes: a.Int("mb", 0, 1, 100_000) << 20,
	}
	return script.Value[waiting.Limits]{V: out, Name: "limits"}, a.Err()
}
