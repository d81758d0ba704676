package southside

import (
	"bytes"
	"encoding/json"

	"yardwharf"
)

// answer is what is known of the answer that is coming.
type answer struct {
	stream bool             // it tells of the job line by line
	close  bool             // the connection ends with it
	status yardwharf.Status // how the relay ends with the body, unless a line ends it
	load   []float32
}

// event is a line of the answer that takes a job.
type event struct {
	ID     string          `json:"id"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// headCame takes the answer's head.
func (c *conn) headCame() {
	h := &c.head
	a := answer{stream: h.Status == 200, close: h.Close || c.body.ToClose(), status: yardwharf.Error}
	if v := h.Get("X-Pressure"); v != nil {
		a.load = c.p.report(v)
	}
	switch {
	case h.Status == 200 && c.probe:
		a.status = yardwharf.OK
	case h.Status == 200: // without its last line it has only begun
		a.status = yardwharf.Reset
	case (h.Status == 503 || h.Status == 504) && string(h.Get("X-Turned-Away")) == "1":
		a.status = yardwharf.Full
	case h.Status >= 400 && h.Status < 500: // the message's fault, not the host's
		a.status = yardwharf.Rejected
	}
	c.answer = a
	if c.relay != nil && !a.stream {
		c.over(a.status, nil, a.load)
	}
}

// over ends the relay while its answer goes on. The connection is used again if the rest comes
// soon and is clean. Guards what hangs on the end against answers that never end.
func (c *conn) over(st yardwharf.Status, result []byte, load []float32) {
	c.p.loop.Set(&c.timer, min(c.until, c.p.loop.Now()+c.p.tail))
	c.finish(st, result, load)
}

// content takes a piece of the answer's body.
func (c *conn) content(data []byte) {
	if !c.answer.stream {
		return
	}
	if c.probe {
		c.line = append(c.line, data...)
	}
	for c.relay != nil && len(data) > 0 {
		piece, rest, whole := bytes.Cut(data, []byte("\n"))
		c.line = append(c.line, piece...)
		if data = rest; whole {
			c.event(bytes.TrimSpace(c.line))
			c.line = c.line[:0]
		}
	}
	if !c.closed && (len(c.line) > maxLine || !c.hold()) {
		c.end(yardwharf.Reset)
	}
}

// event takes a line that tells of the job. Guards against answers that are not
// this message's: what cannot be read, or names another, ends the relay as a
// reset, since the job may have run.
func (c *conn) event(line []byte) {
	if len(line) == 0 {
		return
	}
	var e event
	if json.Unmarshal(line, &e) != nil || e.ID != string(c.relay.Message.Payload.ID) {
		c.end(yardwharf.Reset)
		return
	}
	load := c.answer.load
	if len(e.Load) > 0 {
		load = c.p.report(e.Load)
	}
	switch e.State {
	case "started":
		c.relay.Started()
	case "running":
		c.relay.Progress(e.Share)
	case "done":
		result, ok := text(e.Result)
		if !ok {
			c.end(yardwharf.Reset)
			return
		}
		c.over(yardwharf.OK, result, load)
	case "failed":
		c.over(yardwharf.Error, nil, load)
	case "returned":
		c.over(yardwharf.Full, nil, load)
	case "lost":
		c.over(yardwharf.Reset, nil, load)
	}
}

// text is a result's text: a string's own, or the JSON of anything else.
func text(raw json.RawMessage) ([]byte, bool) {
	if len(raw) == 0 || raw[0] != '"' {
		return raw, len(raw) > 0
	}
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return nil, false
	}
	return []byte(s), true
}

// lastLoad is the report that came with an answer that no line has ended.
func (c *conn) lastLoad() []float32 {
	if c.probe && c.answer.status == yardwharf.OK {
		if load := c.p.report(c.line); load != nil {
			return load
		}
	}
	return c.answer.load
}

// report reads a load report: its values in the order of the settings. Site pages
// and settings use two sets of names; both are taken. It is nil where the text is
// no report or holds no value.
func (p *Pool) report(text []byte) []float32 {
	var values map[string]any
	if json.Unmarshal(text, &values) != nil {
		return nil
	}
	load := make([]float32, len(p.names))
	some := false
	for i, name := range p.names {
		v, ok := values[name].(float64)
		if !ok {
			v, ok = values[siteName(name)].(float64)
		}
		load[i], some = float32(v), some || ok
	}
	if !some {
		return nil
	}
	return load
}

// siteName is the name that sites use for a report's value.
func siteName(setting string) string {
	switch setting {
	case "outstanding":
		return "inflight"
	case "backlog":
		return "queue"
	case "utilization":
		return "util"
	case "recent_ms":
		return "latency_ms"
	case "throughput":
		return "qps"
	case "errors_per_s":
		return "eps"
	}
	return setting
}
