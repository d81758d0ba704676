package controller

import (
	"html/template"
	"io"
	"math"

	"yardwharf/internal/decide/rollout"
)

// Report writes a record as one HTML file that needs nothing else: every decision, and for
// those that stand on a comparison its figures and a plot of their intervals.
func Report(w io.Writer, l Log) error { return page.Execute(w, l) }

const (
	plotWide = 420.0
	plotRow  = 22.0
)

// bar is an interval in a plot.
type bar struct {
	Name                   string
	Y, Low, High, Mid, Bar float64
	Worse                  bool
}

// plot is the intervals of a comparison on one scale.
type plot struct {
	High float64 // of the picture
	Zero float64
	Bars []bar
}

func drawn(lines []rollout.Line) plot {
	most := 0.01
	for _, l := range lines {
		most = max(most, math.Abs(l.Low), math.Abs(l.High), l.Bear)
	}
	at := func(v float64) float64 { return plotWide / 2 * (1 + v/most) }
	p := plot{High: plotRow * float64(len(lines)+1), Zero: at(0)}
	for i, l := range lines {
		p.Bars = append(p.Bars, bar{l.Figure, plotRow * (float64(i) + 0.7), at(l.Low), at(l.High), at(l.Mid), at(l.Bear), l.Answer == rollout.Worse})
	}
	return p
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{"drawn": drawn}).Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Status.Change}}</title>
<style>body{font:15px sans-serif;max-width:62em;margin:2em auto}td,th{text-align:left;padding:.2em .8em;vertical-align:top}
tr{border-top:1px solid #ddd}svg text{font:11px sans-serif}.worse{color:#b00}</style>
<h1>Change {{.Status.Change}}: {{.Status.State}}{{with .Status.Held}}, held: {{.}}{{end}}</h1>
<p>{{len .Status.New}} dispatchers run the new version{{with .Status.New}}: {{range .}}{{.}} {{end}}{{end}}.
{{with .Status.NotBack}}<b>Not taken back: {{range .}}{{.}} {{end}}</b>{{end}}</p>
<table><tr><th>#<th>time<th>stage<th>decision<th>dispatcher<th>why</tr>
{{range .List}}<tr><td>{{.Seq}}<td>{{.At.Format "2006-01-02 15:04:05"}}<td>{{.Stage}}<td>{{.Kind}}<td>{{.Dispatcher}}<td>{{.Why}} {{with .Fault}}<span class="worse">{{.}}</span>{{end}}
{{with .Compared}}{{$p := drawn .}}<br><svg width="640" height="{{$p.High}}"><line x1="{{$p.Zero}}" x2="{{$p.Zero}}" y1="0" y2="{{$p.High}}" stroke="#888"/>
{{range $p.Bars}}<line x1="{{.Low}}" x2="{{.High}}" y1="{{.Y}}" y2="{{.Y}}" stroke="{{if .Worse}}#b00{{else}}#36c{{end}}" stroke-width="5"/><circle cx="{{.Mid}}" cy="{{.Y}}" r="4"/>
<line x1="{{.Bar}}" x2="{{.Bar}}" y1="{{.Y}}" y2="{{.Y}}" stroke="#080" stroke-width="9" stroke-dasharray="2"/><text x="440" y="{{.Y}}">{{.Name}}</text>
{{end}}</svg><table>{{range .}}<tr{{if eq .Answer.String "worse"}} class="worse"{{end}}><td>{{.Figure}}<td>{{printf "%+.4f" .Mid}}<td>{{printf "%+.4f to %+.4f" .Low .High}}<td>borne {{printf "%.3f" .Bear}}<td>{{.Answer}}</tr>{{end}}</table>{{end}}</tr>
{{end}}</table>
<h2>The plan</h2><pre>{{.Plan}}</pre>
`))
