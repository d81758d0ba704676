package jobs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"yardwharf/internal/decide/waiting"
)

// A snapshot hands the jobs that wait to the next start of the same dispatcher. It
// is a header line and one line for each job, JSON. This is no durable store: what
// was submitted since, and a dispatcher that is killed without SIGTERM, are not in it.

const snapshotFormat = 1

// header is the first line.
type header struct {
	Format     int        `json:"yardwharf_jobs"`
	Dispatcher string     `json:"dispatcher"`
	Written    time.Time  `json:"written"`
	Last       waiting.ID `json:"last"`
	Jobs       int        `json:"jobs"`
	Sum        uint64     `json:"sum"` // xxhash64 of all lines below
}

// saved is a job's line.
type saved struct {
	ID        waiting.ID `json:"id"`
	Key       string     `json:"key,omitempty"`
	Digest    uint64     `json:"digest"`
	Class     string     `json:"class"`
	Target    []byte     `json:"target"`
	Body      []byte     `json:"body"`
	Slots     float64    `json:"slots,omitempty"`
	Memory    float64    `json:"memory,omitempty"`
	After     []Link     `json:"after,omitempty"`
	NotBefore int64      `json:"not_before_ns,omitempty"`
	NotAfter  int64      `json:"not_after_ns,omitempty"`
	Held      bool       `json:"held,omitempty"`
	Tries     int        `json:"tries,omitempty"`
	UnderWay  bool       `json:"under_way,omitempty"`
	AgeMS     int64      `json:"age_ms"`
	Ready     bool       `json:"ready,omitempty"`
	ReadyMS   int64      `json:"ready_ms,omitempty"`
}

// Save writes the jobs that have not ended, in place of what was at path. The file
// is whole or not there.
func (r *Runner) Save(path, dispatcher string) (jobs int, err error) {
	list := r.core.Save(r.loop.Now())
	var body bytes.Buffer
	out := json.NewEncoder(&body)
	for i := range list {
		s := &list[i]
		w := s.Spec.Payload.(*work)
		line := saved{ID: s.ID, Key: s.Spec.Key, Digest: s.Spec.Digest, Class: r.classes[s.Spec.Class].Name, Target: w.target, Body: w.body,
			Slots: w.slots, Memory: w.memory, NotBefore: int64(s.Spec.NotBefore), NotAfter: int64(s.Spec.NotAfter), Held: s.Spec.Held,
			Tries: s.Tries, UnderWay: s.WasRunning, AgeMS: s.Age.Milliseconds(), Ready: s.WasReady}
		if s.WasReady {
			line.ReadyMS = s.ReadyFor.Milliseconds()
		}
		for _, e := range s.After {
			l := Link{Job: e.Job.String()}
			if e.Any {
				l.On = "end"
			}
			line.After = append(line.After, l)
		}
		if err := out.Encode(line); err != nil {
			return 0, fmt.Errorf("jobs: snapshot: %w", err)
		}
	}
	head, err := json.Marshal(header{snapshotFormat, dispatcher, r.wall().UTC(), r.core.Last(), len(list), xxhash.Sum64(body.Bytes())})
	if err != nil {
		return 0, fmt.Errorf("jobs: snapshot: %w", err)
	}
	if err := replace(path, append(append(head, '\n'), body.Bytes()...)); err != nil {
		return 0, fmt.Errorf("jobs: snapshot %s: %w", path, err)
	}
	return len(list), nil
}

// replace writes a file beside its place, on the disk, and then moves it there.
func replace(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // in vain once it has been moved
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if shut := f.Close(); err == nil {
		err = shut
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// Load takes in what Save has written, whole or not at all; there need be no file. It
// is moved away first, so that no later start takes it in again: a job in it may have
// run by then.
func (r *Runner) Load(path, dispatcher string) (jobs int, err error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return 0, nil
	}
	fail := func(err error) (int, error) {
		return 0, fmt.Errorf("jobs: snapshot %s cannot be used, move it away to start without: %w", path, err)
	}
	if err != nil {
		return fail(err)
	}
	first, body, whole := bytes.Cut(text, []byte("\n"))
	var h header
	if err := json.Unmarshal(first, &h); err != nil || !whole {
		return fail(fmt.Errorf("its first line is no header (%v)", err))
	}
	switch {
	case h.Format != snapshotFormat:
		return fail(fmt.Errorf("it has format %d, expected %d", h.Format, snapshotFormat))
	case h.Dispatcher != dispatcher:
		return fail(fmt.Errorf("it is of dispatcher %q, not of %q", h.Dispatcher, dispatcher))
	case xxhash.Sum64(body) != h.Sum:
		return fail(fmt.Errorf("it is torn: its sum is not that of its header"))
	}
	list := make([]waiting.Saved, 0, h.Jobs)
	in := bufio.NewScanner(bytes.NewReader(body))
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		one, err := r.restored(in.Bytes())
		if err != nil {
			return fail(fmt.Errorf("line %d: %w", len(list)+2, err))
		}
		list = append(list, one)
	}
	if err := in.Err(); err != nil || len(list) != h.Jobs {
		return fail(fmt.Errorf("it has %d jobs, its header says %d (%v)", len(list), h.Jobs, err))
	}
	if err := os.Rename(path, path+".taken"); err != nil {
		return fail(err)
	}
	if err := r.core.Restore(r.loop.Now(), r.unix(), h.Last, list); err != nil {
		os.Rename(path+".taken", path)
		return fail(err)
	}
	r.Soon()
	return len(list), nil
}

func (r *Runner) restored(line []byte) (out waiting.Saved, err error) {
	var s saved
	if err := json.Unmarshal(line, &s); err != nil {
		return out, err
	}
	out = waiting.Saved{ID: s.ID, Tries: s.Tries, WasRunning: s.UnderWay, Age: time.Duration(s.AgeMS) * time.Millisecond, WasReady: s.Ready,
		ReadyFor: time.Duration(s.ReadyMS) * time.Millisecond}
	out.Spec = waiting.Spec{Key: s.Key, Digest: s.Digest, Class: -1, NotBefore: time.Duration(s.NotBefore), NotAfter: time.Duration(s.NotAfter),
		Held: s.Held, Size: overhead + len(s.Body) + len(s.Target) + len(s.Key),
		Payload: &work{target: s.Target, body: s.Body, slots: s.Slots, memory: s.Memory}}
	for i := range r.classes {
		if r.classes[i].Name == s.Class {
			out.Spec.Class = i
		}
	}
	if out.Spec.Class < 0 {
		return out, fmt.Errorf("the site has no class %q", s.Class)
	}
	edges, err := links(s.After, 0, "after")
	if err != nil {
		return out, err
	}
	for _, e := range edges {
		out.After = append(out.After, e.Edge)
	}
	return out, nil
}
