package jobs

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/netutil"

	"yardwharf/internal/carry/loop"
	"yardwharf/internal/decide/waiting"
)

// The bounds of the API.
const (
	ConnsMost    = 64               // of the API, at once
	headMost     = 16 << 10         // bytes of a head
	headTime     = 5 * time.Second  // for a head
	bodyTime     = 30 * time.Second // for a body
	idleTime     = time.Minute
	writeTime    = 10 * time.Second // for one event to a slow reader
	requestMost  = 8 << 20          // bytes of a batch
	pageMost     = 1000
	pageUsual    = 100
	waitMost     = time.Minute // of a long poll
	heartbeat    = 15 * time.Second
	problemTypes = "urn:yardwharf:jobs:"
)

//go:embed openapi.json
var openAPI []byte

// API serves the jobs over HTTP.
type API struct {
	r      *Runner
	server *http.Server
	listen net.Listener
	ended  chan struct{} // closed when the loop takes nothing more
}

// Serve starts to serve at an address.
func Serve(address string, r *Runner) (*API, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("jobs: %w", err)
	}
	a := &API{r: r, listen: l, ended: make(chan struct{})}
	a.server = &http.Server{Handler: http.MaxBytesHandler(a.routes(), requestMost), ReadHeaderTimeout: headTime,
		IdleTimeout: idleTime, MaxHeaderBytes: headMost}
	go a.server.Serve(netutil.LimitListener(l, ConnsMost))
	return a, nil
}

// Addr is where it listens.
func (a *API) Addr() string { return a.listen.Addr().String() }

// Close ends it, with what is under way. It may be called on the loop: it does not
// wait for handlers, which wait for the loop.
func (a *API) Close() {
	close(a.ended)
	a.server.Close()
}

// route is a method and pattern with its handler; the OpenAPI description is held
// against these.
type route struct {
	pattern string
	serve   func(http.ResponseWriter, *http.Request) error
}

func (a *API) table() []route {
	return []route{
		{"POST /v1/jobs", a.submit}, {"GET /v1/jobs", a.list}, {"GET /v1/jobs/{id}", a.show}, {"DELETE /v1/jobs/{id}", a.cancel},
		{"GET /v1/jobs/{id}/wait", a.wait}, {"GET /v1/jobs/{id}/events", a.events}, {"GET /v1/jobs/{id}/graph", a.graph},
		{"POST /v1/jobs/{id}/hold", a.hold(true)}, {"POST /v1/jobs/{id}/release", a.hold(false)}, {"GET /v1/openapi.json", a.describe},
	}
}

func (a *API) routes() http.Handler {
	mux := http.NewServeMux()
	for _, one := range a.table() {
		mux.HandleFunc(one.pattern, func(w http.ResponseWriter, r *http.Request) {
			if err := one.serve(w, r); err != nil {
				refuse(w, err)
			}
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		var allowed []string
		for _, method := range []string{"DELETE", "GET", "POST"} {
			other := r.Clone(r.Context())
			other.Method = method
			if _, pattern := mux.Handler(other); pattern != "/" {
				allowed = append(allowed, method)
			}
		}
		if len(allowed) > 0 {
			w.Header().Set("Allow", strings.Join(allowed, ", "))
			refuse(w, &Problem{Type: "method", Title: "The method does not fit", Status: http.StatusMethodNotAllowed})
			return
		}
		refuse(w, &Problem{Type: "not-found", Title: "There is nothing here", Status: http.StatusNotFound, Detail: "see /v1/openapi.json"})
	})
	return mux
}

// errGone says that the dispatcher is ending.
var errGone = &Problem{Type: "leaving", Title: "The dispatcher is ending", Status: http.StatusServiceUnavailable}

// on runs something on the loop and waits for it, no longer than the client does.
func (a *API) on(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	a.r.loop.Post(loop.Func(func() { done <- f() }))
	select {
	case err := <-done:
		return err
	case <-a.ended:
		return errGone
	case <-ctx.Done():
		return ctx.Err()
	}
}

// refuse answers with a problem.
func refuse(w http.ResponseWriter, err error) {
	p := problem(err)
	if p.Type != "" && p.Type[0] != 'u' {
		p.Type = problemTypes + p.Type
	}
	var f *waiting.SubmitError
	if errors.As(err, &f) && f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((f.RetryAfter+time.Second-1)/time.Second)))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}

// problem words an error.
func problem(err error) Problem {
	var p *Problem
	if errors.As(err, &p) {
		return *p
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return Problem{Type: "too-large", Title: "The request is too large", Status: http.StatusRequestEntityTooLarge,
			Detail: fmt.Sprintf("%d bytes at most", large.Limit)}
	}
	var f *waiting.SubmitError
	if errors.As(err, &f) {
		out := Problem{Detail: err.Error(), Job: f.Ref, Path: f.CyclePath}
		switch f.Kind {
		case waiting.Unknown:
			out.Type, out.Title, out.Status = "unknown-job", "A job is named that there never was", http.StatusUnprocessableEntity
		case waiting.Forgotten:
			out.Type, out.Title, out.Status = "forgotten-job", "A job is named whose end is remembered no longer", http.StatusGone
		case waiting.Cycle:
			out.Type, out.Title, out.Status = "cycle", "Jobs would wait for each other", http.StatusUnprocessableEntity
		case waiting.KeyConflict:
			out.Type, out.Title, out.Status = "key-conflict", "The key belongs to another job", http.StatusConflict
		case waiting.AlreadyStarted:
			out.Type, out.Title, out.Status = "already-started", "A job that is to come after is under way", http.StatusConflict
		case waiting.LimitReached:
			out.Type, out.Title, out.Status = "full", "There is no room now", http.StatusTooManyRequests
		case waiting.TooLarge:
			out.Type, out.Title, out.Status = "over-limit", "More than is held at all", http.StatusUnprocessableEntity
		default:
			out.Type, out.Title, out.Status = "invalid", "The job makes no sense", http.StatusBadRequest
		}
		return out
	}
	return Problem{Type: "invalid", Title: "The request cannot be read", Status: http.StatusBadRequest, Detail: err.Error()}
}

func answer(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return ignore(json.NewEncoder(w).Encode(v))
}

// ignore drops the error of a client that has gone: there is nobody to tell.
func ignore(error) error { return nil }

// submit takes one job, or {"jobs": [...]}: all or none.
func (a *API) submit(w http.ResponseWriter, req *http.Request) error {
	var batch struct {
		Jobs []Submit `json:"jobs"`
		Submit
	}
	// For the body alone: as the server's own bound it would end long polls as well.
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyTime))
	defer control.SetReadDeadline(time.Time{})
	in := json.NewDecoder(req.Body)
	in.DisallowUnknownFields()
	if err := in.Decode(&batch); err != nil {
		return err
	}
	if in.More() {
		return errors.New("something follows the jobs")
	}
	single := batch.Jobs == nil
	if single {
		batch.Jobs = []Submit{batch.Submit}
	} else if batch.Class != "" {
		return errors.New(`expected one job, or "jobs" alone`)
	}
	specs := make([]waiting.Spec, len(batch.Jobs))
	for i := range batch.Jobs {
		ref := i + 1
		if single {
			ref = 0
		}
		var err error
		if specs[i], err = a.r.spec(&batch.Jobs[i], ref); err != nil {
			return err
		}
	}
	var out Page
	status := http.StatusOK
	err := a.on(req.Context(), func() error {
		if a.r.leaving {
			return errGone
		}
		jobs, old, err := a.r.core.Submit(a.r.loop.Now(), a.r.unix(), specs)
		if err != nil {
			return err
		}
		for i, j := range jobs {
			out.Jobs = append(out.Jobs, a.r.show(j))
			if !old[i] {
				status = http.StatusCreated
			}
		}
		a.r.Soon()
		return nil
	})
	if err != nil {
		return err
	}
	if single {
		w.Header().Set("Location", "/v1/jobs/"+out.Jobs[0].ID)
		return answer(w, status, out.Jobs[0])
	}
	return answer(w, status, out)
}

// find runs something with the job that the path names.
func (a *API) find(req *http.Request, f func(*waiting.Job) error) error {
	id := waiting.ParseID(req.PathValue("id"))
	return a.on(req.Context(), func() error {
		j, forgotten := a.r.core.Get(id)
		switch {
		case forgotten:
			return &Problem{Type: "forgotten-job", Title: "The job has ended, and how is remembered no longer", Status: http.StatusGone}
		case j == nil:
			return &Problem{Type: "unknown-job", Title: "There is no such job", Status: http.StatusNotFound}
		}
		return f(j)
	})
}

func (a *API) show(w http.ResponseWriter, req *http.Request) error {
	var out Job
	if err := a.find(req, func(j *waiting.Job) error { out = a.r.show(j); return nil }); err != nil {
		return err
	}
	return answer(w, http.StatusOK, out)
}

// list gives jobs by state, class and key, a page at a time.
func (a *API) list(w http.ResponseWriter, req *http.Request) error {
	q := req.URL.Query()
	most := pageUsual
	if s := q.Get("limit"); s != "" {
		var err error
		if most, err = strconv.Atoi(s); err != nil || most < 1 || most > pageMost {
			return fmt.Errorf("limit: is %.20q, expected 1 to %d", s, pageMost)
		}
	}
	after := waiting.ID(0)
	if s := q.Get("after"); s != "" {
		if after = waiting.ParseID(s); after == 0 {
			return fmt.Errorf("after: %.20q is no job", s)
		}
	}
	state, byState := waiting.ParseState(q.Get("state"))
	if q.Get("state") != "" && !byState {
		return fmt.Errorf("state: unknown %.20q", q.Get("state"))
	}
	class, key := q.Get("class"), q.Get("key")
	out := Page{Jobs: []Job{}}
	err := a.on(req.Context(), func() error {
		jobs, next := a.r.core.List(after, most, func(j *waiting.Job) bool {
			return (!byState || j.State == state) && (class == "" || a.r.classes[j.Spec.Class].Name == class) && (key == "" || j.Spec.Key == key)
		})
		for _, j := range jobs {
			out.Jobs = append(out.Jobs, a.r.show(j))
		}
		if next > 0 {
			out.Next = next.String()
		}
		return nil
	})
	if err != nil {
		return err
	}
	return answer(w, http.StatusOK, out)
}

// cancel ends a job, with subtree=true all that come after it.
func (a *API) cancel(w http.ResponseWriter, req *http.Request) error {
	var out Job
	err := a.find(req, func(j *waiting.Job) error {
		if !a.r.cancel(j.ID, req.URL.Query().Get("subtree") == "true") {
			return &Problem{Type: "ended", Title: "The job has ended", Status: http.StatusConflict, Detail: j.ID.String() + " is " + j.State.String()}
		}
		out = a.r.show(j)
		return nil
	})
	if err != nil {
		return err
	}
	return answer(w, http.StatusOK, out)
}

func (a *API) hold(yes bool) func(http.ResponseWriter, *http.Request) error {
	return func(w http.ResponseWriter, req *http.Request) error {
		var out Job
		err := a.find(req, func(j *waiting.Job) error {
			if !a.r.core.Hold(j.ID, yes) {
				return &Problem{Type: "already-started", Title: "The job waits no longer", Status: http.StatusConflict,
					Detail: j.ID.String() + " is " + j.State.String()}
			}
			out = a.r.show(j)
			a.r.Soon()
			return nil
		})
		if err != nil {
			return err
		}
		return answer(w, http.StatusOK, out)
	}
}

// follow begins to watch a job and says how it stands now.
func (a *API) follow(req *http.Request) (Job, *watcher, error) {
	var now Job
	var w *watcher
	err := a.find(req, func(j *waiting.Job) error {
		a.r.tell() // what has happened is in what is shown
		now, w = a.r.show(j), a.r.watch(j.ID)
		return nil
	})
	if err != nil { // of a client that went away before the loop had its turn
		a.r.loop.Post(loop.Func(func() {
			if w != nil {
				a.r.unwatch(w)
			}
		}))
		return Job{}, nil, err
	}
	return now, w, nil
}

func (a *API) leave(w *watcher) { a.r.loop.Post(loop.Func(func() { a.r.unwatch(w) })) }

func final(state string) bool {
	s, ok := waiting.ParseState(state)
	return ok && s.Final()
}

// wait answers once the job has ended, or with how it stands after timeout.
func (a *API) wait(w http.ResponseWriter, req *http.Request) error {
	most := 30 * time.Second
	if s := req.URL.Query().Get("timeout"); s != "" {
		var err error
		if most, err = time.ParseDuration(s); err != nil || most < 0 || most > waitMost {
			return fmt.Errorf("timeout: is %.20q, expected a time up to %v", s, waitMost)
		}
	}
	now, follow, err := a.follow(req)
	if err != nil {
		return err
	}
	defer a.leave(follow)
	timer := time.NewTimer(most)
	defer timer.Stop()
	for !final(now.State) {
		select {
		case next, ok := <-follow.out:
			if !ok {
				return errGone
			}
			now = next
			continue
		case <-timer.C:
		case <-a.ended:
			return errGone
		case <-req.Context().Done():
			return nil
		}
		break
	}
	return answer(w, http.StatusOK, now)
}

// events streams what becomes of a job (server-sent events, WHATWG HTML section
// 9.2) until it has ended. A reader that is too slow is let go.
func (a *API) events(w http.ResponseWriter, req *http.Request) error {
	now, follow, err := a.follow(req)
	if err != nil {
		return err
	}
	defer a.leave(follow)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	control := http.NewResponseController(w)
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	send := func(text string) bool {
		control.SetWriteDeadline(time.Now().Add(writeTime))
		_, err := w.Write([]byte(text))
		return err == nil && control.Flush() == nil
	}
	event := func(j Job) bool {
		text, err := json.Marshal(j)
		return err == nil && send("event: "+j.State+"\ndata: "+string(text)+"\n\n")
	}
	if !event(now) {
		return nil
	}
	for !final(now.State) {
		select {
		case next, ok := <-follow.out:
			if !ok {
				send("event: lost\ndata: {}\n\n")
				return nil
			}
			if now = next; !event(now) {
				return nil
			}
		case <-beat.C:
			if !send(": alive\n\n") {
				return nil
			}
		case <-a.ended:
			return nil
		case <-req.Context().Done():
			return nil
		}
	}
	return nil
}

const graphMost = 1000

// graph gives a job with all that it comes after and all that comes after it, as far
// as they are known.
func (a *API) graph(w http.ResponseWriter, req *http.Request) error {
	out := Page{Jobs: []Job{}}
	err := a.find(req, func(j *waiting.Job) error {
		seen := map[waiting.ID]bool{j.ID: true}
		list := []*waiting.Job{j}
		add := func(id waiting.ID) {
			if next, _ := a.r.core.Get(id); next != nil && !seen[id] && len(list) < graphMost {
				seen[id] = true
				list = append(list, next)
			}
		}
		for i := 0; i < len(list); i++ {
			for _, e := range list[i].After() {
				add(e.Job)
			}
			for _, c := range list[i].Children() {
				add(c)
			}
		}
		for _, j := range list {
			out.Jobs = append(out.Jobs, a.r.show(j))
		}
		return nil
	})
	if err != nil {
		return err
	}
	return answer(w, http.StatusOK, out)
}

func (a *API) describe(w http.ResponseWriter, _ *http.Request) error {
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write(openAPI)
	return ignore(err)
}
