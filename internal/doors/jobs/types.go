package jobs

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"yardwharf/internal/decide/waiting"
)

// Submit is one job as a client submits it.
type Submit struct {
	Key       string     `json:"key,omitempty"`        // the client's own name: submitting again gives the same job
	Class     string     `json:"class"`                // one of the site's
	Target    string     `json:"target,omitempty"`     // what follows the class in the path
	Body      string     `json:"body,omitempty"`       // what the sender is given
	Slots     float64    `json:"slots,omitempty"`      // that the job needs; 0: one
	Memory    float64    `json:"memory,omitempty"`     // the same
	After     []Link     `json:"after,omitempty"`      // jobs that it comes after
	Before    []Link     `json:"before,omitempty"`     // jobs that wait and are to come after it
	NotBefore *time.Time `json:"not_before,omitempty"` // RFC 3339
	NotAfter  *time.Time `json:"not_after,omitempty"`  // RFC 3339; it expires then unless released
	Held      bool       `json:"held,omitempty"`       // it waits until it is let go
}

// Link names another job: one that there is, or one of the same batch by its place,
// counted from 1.
type Link struct {
	Job string `json:"job,omitempty"`
	Ref int    `json:"ref,omitempty"`
	On  string `json:"on,omitempty"` // "success" (the default) or "end"
}

// Job is a job as clients see it.
type Job struct {
	ID        string     `json:"id"`
	Key       string     `json:"key,omitempty"`
	Class     string     `json:"class"`
	State     string     `json:"state"`
	Held      bool       `json:"held,omitempty"`
	Reason    string     `json:"reason,omitempty"`
	Causes    []Cause    `json:"causes,omitempty"` // of its end, the next first
	After     []Link     `json:"after,omitempty"`
	Tries     int        `json:"tries,omitempty"`
	Result    string     `json:"result,omitempty"`
	NotBefore *time.Time `json:"not_before,omitempty"`
	NotAfter  *time.Time `json:"not_after,omitempty"`
	AgeMS     int64      `json:"age_ms"`             // since it was submitted
	ReadyMS   int64      `json:"ready_ms,omitempty"` // since it was ready, of one that is
}

// Cause is a job that another one's end comes from.
type Cause struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// Page is a part of a list.
type Page struct {
	Jobs []Job  `json:"jobs"`
	Next string `json:"next,omitempty"` // given as after, the next part; empty: there is none
}

// Problem is an error body (RFC 9457).
type Problem struct {
	Type   string   `json:"type"`
	Title  string   `json:"title"`
	Status int      `json:"status"`
	Detail string   `json:"detail,omitempty"`
	Job    int      `json:"job,omitempty"` // of the batch, counted from 1
	Path   []string `json:"path,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

const causesMost = 20

// show is a job as clients see it.
func (r *Runner) show(j *waiting.Job) Job {
	out := Job{ID: j.ID.String(), Key: j.Spec.Key, Class: r.classes[j.Spec.Class].Name, State: j.State.String(), Held: j.Spec.Held,
		Reason: j.Reason, Tries: j.Tries, Result: string(j.Result), NotBefore: clock(j.Spec.NotBefore), NotAfter: clock(j.Spec.NotAfter)}
	now := r.loop.Now()
	out.AgeMS = (now - j.Submitted).Milliseconds()
	if j.State == waiting.Ready {
		out.ReadyMS = (now - j.ReadyAt).Milliseconds()
	}
	for _, e := range j.After() {
		l := Link{Job: e.Job.String()}
		if e.Any {
			l.On = "end"
		}
		out.After = append(out.After, l)
	}
	if j.Cause != 0 {
		chain, _ := r.core.CauseChain(j, causesMost+1)
		for _, c := range chain[1:] {
			out.Causes = append(out.Causes, Cause{c.ID.String(), c.State.String(), c.Reason})
		}
	}
	return out
}

func clock(d time.Duration) *time.Time {
	if d == 0 {
		return nil
	}
	t := time.Unix(0, int64(d)).UTC()
	return &t
}

// invalid is what is wrong with a job by itself.
func invalid(ref int, format string, args ...any) error {
	return &waiting.SubmitError{Kind: waiting.Invalid, Ref: ref, Message: fmt.Sprintf(format, args...)}
}

const (
	mostKey    = 256
	mostTarget = 1024
	mostBody   = 64 << 10 // as the platform's protocol has it
	overhead   = 512      // bytes that a job takes beside its own
)

// spec reads a job; ref is its place in the batch.
func (r *Runner) spec(s *Submit, ref int) (out waiting.Spec, err error) {
	out = waiting.Spec{Key: s.Key, Class: -1, Held: s.Held}
	var names []string
	for i := range r.classes {
		names = append(names, r.classes[i].Name)
		if r.classes[i].Name == s.Class {
			out.Class = i
		}
	}
	switch {
	case out.Class < 0:
		return out, invalid(ref, "class: there is no %.80q, expected one of %s", s.Class, strings.Join(names, ", "))
	case len(s.Key) > mostKey:
		return out, invalid(ref, "key: has %d bytes, expected %d at most", len(s.Key), mostKey)
	case len(s.Body) > mostBody:
		return out, invalid(ref, "body: has %d bytes, expected %d at most", len(s.Body), mostBody)
	case len(s.Target) > mostTarget || !visible(s.Target):
		return out, invalid(ref, "target: expected up to %d visible characters", mostTarget)
	case !(s.Slots >= 0 && s.Slots < 1e9) || !(s.Memory >= 0 && s.Memory < 1e9):
		return out, invalid(ref, "slots, memory: expected numbers that are not below 0")
	}
	if s.NotBefore != nil {
		out.NotBefore = time.Duration(s.NotBefore.UnixNano())
	}
	if s.NotAfter != nil {
		out.NotAfter = time.Duration(s.NotAfter.UnixNano())
	}
	if out.After, err = links(s.After, ref, "after"); err != nil {
		return out, err
	}
	if out.Before, err = links(s.Before, ref, "before"); err != nil {
		return out, err
	}
	target := "/" + s.Class
	if s.Target != "" {
		target += "/" + strings.TrimPrefix(s.Target, "/")
	}
	out.Payload = &work{target: []byte(target), body: []byte(s.Body), slots: s.Slots, memory: s.Memory}
	out.Size = overhead + len(s.Body) + len(target) + len(s.Key)
	text, err := json.Marshal(s)
	if err != nil {
		return out, invalid(ref, "%v", err)
	}
	out.Digest = xxhash.Sum64(text)
	return out, nil
}

func visible(s string) bool {
	return strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

func links(list []Link, ref int, key string) (out []waiting.SpecEdge, err error) {
	for i, l := range list {
		e := waiting.SpecEdge{Ref: l.Ref}
		switch l.On {
		case "", "success":
		case "end":
			e.Any = true
		default:
			return nil, invalid(ref, "%s[%d].on: is %.80q, expected \"success\" or \"end\"", key, i, l.On)
		}
		if l.Job != "" {
			if e.Job = waiting.ParseID(l.Job); e.Job == 0 {
				return nil, invalid(ref, "%s[%d].job: %.80q is no job, expected one like \"j17\"", key, i, l.Job)
			}
		}
		if (l.Job == "") == (l.Ref == 0) {
			return nil, invalid(ref, "%s[%d]: expected job or ref", key, i)
		}
		out = append(out, e)
	}
	return out, nil
}
