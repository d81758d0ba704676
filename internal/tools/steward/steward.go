// Package steward keeps the processes of the dispatcher on one machine: it holds the clients'
// listening socket, starts processes on it, and does what a controller asks. What it does is
// decided by internal/decide/keeper.
package steward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"yardwharf/internal/decide/figures"
	"yardwharf/internal/decide/keeper"
	"yardwharf/internal/decide/rollout"
)

const (
	turn     = 100 * time.Millisecond
	bindFor  = 10 * time.Second // the processes of a steward that has died may still hold the address
	askFor   = time.Second
	bodyMost = 64 << 10
	fd       = 3 // of the listening socket in a process
)

// Options say what a steward keeps.
type Options struct {
	Listen  string    // the clients' address
	Doors   [2]string // of the two processes of an upgrade
	At      string    // where the controller calls
	Folder  string    // for what must outlive the steward and its processes
	First   rollout.Version
	Console io.Writer // of its processes
}

// Status is what a steward tells.
type Status struct {
	Change  string          `json:"change,omitempty"`
	Last    string          `json:"last,omitempty"`
	Act     int             `json:"act"`
	Doing   bool            `json:"doing"`
	Fault   string          `json:"fault,omitempty"`
	Fell    bool            `json:"fell,omitempty"`
	Crashes int             `json:"crashes"`
	Serves  bool            `json:"serves"`
	Now     rollout.Version `json:"now"`
	Good    rollout.Version `json:"good"`
	Figures figures.Figures `json:"figures"`
}

// Ask is an act as a controller sends it.
type Ask struct {
	Change string          `json:"change"`
	Act    int             `json:"act"`
	To     rollout.Version `json:"to"`
}

// Release ends a change at a steward.
type Release struct {
	Change string `json:"change"`
	Keep   bool   `json:"keep"`
}

// steward runs a Keeper.
type steward struct {
	o      Options
	log    zerolog.Logger
	began  time.Time
	socket *os.File
	client http.Client
	starts chan func()

	mu      sync.Mutex
	keeper  *keeper.Keeper
	runs    map[int]*exec.Cmd
	unsaved error // why the last state could not be written; nothing new is taken until it can
}

// Run keeps the machine's processes until the context ends, and then until they have.
func Run(ctx context.Context, log zerolog.Logger, o Options) error {
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return fmt.Errorf("steward: %w", err)
	}
	s := &steward{o: o, log: log, began: time.Now(), client: http.Client{Timeout: askFor}, starts: make(chan func()), runs: map[int]*exec.Cmd{}}
	lock, err := s.lock()
	if err != nil {
		return err
	}
	defer lock.Close()
	saved, err := s.load()
	if err != nil {
		return err
	}
	if s.keeper = keeper.New(saved, o.First); s.keeper.State().Target.Build == "" {
		return errors.New("steward: no build is known: name one with --build")
	}
	if err := unbound(s.keeper.State().Target.Config); err != nil {
		return err
	}
	if err := s.bind(ctx); err != nil {
		return err
	}
	defer s.socket.Close()
	at, err := net.Listen("tcp", o.At)
	if err != nil {
		return fmt.Errorf("steward: --at: %w", err)
	}
	server := &http.Server{Handler: s.calls(), ReadTimeout: 5 * time.Second}
	go server.Serve(at)
	defer server.Close()
	go s.starter()
	defer close(s.starts)
	log.Info().Str("listen", o.Listen).Str("build", s.keeper.State().Target.Build).Msg("steward keeps")
	for tick := time.NewTicker(turn); ; <-tick.C {
		s.mu.Lock()
		if ctx.Err() != nil {
			s.carry(s.keeper.End(s.now()))
		}
		s.carry(s.keeper.Tick(s.now()))
		gone := s.keeper.AllExited()
		starting := s.keeper.Starting()
		s.mu.Unlock()
		if gone {
			return nil
		}
		for n, door := range starting {
			go s.look(n, door)
		}
	}
}

func (s *steward) now() time.Duration { return time.Since(s.began) }

// lock refuses a second steward on the same folder.
func (s *steward) lock() (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(s.o.Folder, "steward.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("steward: another one keeps %s", s.o.Folder)
	}
	return f, nil
}

// bind opens the clients' socket.
func (s *steward) bind(ctx context.Context) error {
	for until := time.Now().Add(bindFor); ; {
		l, err := net.Listen("tcp", s.o.Listen)
		if err == nil {
			s.socket, err = l.(*net.TCPListener).File()
			l.Close()
		}
		if err == nil {
			return nil
		}
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("steward: --listen: %w", err)
		}
		time.Sleep(turn)
	}
}

// unbound refuses a configuration that names the door: two processes cannot share it.
func unbound(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("steward: --config: %w", err)
	}
	var c struct{ Admin string }
	if err := json.Unmarshal(text, &c); err != nil {
		return fmt.Errorf("steward: --config: %s: %w", path, err)
	}
	if c.Admin != "" {
		return fmt.Errorf("steward: --config: %s: key admin: is %s, expected none: each process gets one of --doors", path, c.Admin)
	}
	return nil
}

func (s *steward) path() string { return filepath.Join(s.o.Folder, "steward.json") }

// load reads what was saved. What cannot be read is an error: which version is good is not guessed.
func (s *steward) load() (saved keeper.State, err error) {
	text, err := os.ReadFile(s.path())
	if errors.Is(err, os.ErrNotExist) {
		return saved, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &saved)
	}
	if err != nil {
		return saved, fmt.Errorf("steward: %s: %w; remove it to begin with --build", s.path(), err)
	}
	return saved, nil
}

// save writes the state beside its place, down to the disk, and moves it there.
func (s *steward) save() error {
	text, err := json.Marshal(s.keeper.State())
	if err != nil {
		return err
	}
	f, err := os.Create(s.path() + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(s.path()+".new", s.path()); err != nil {
		return err
	}
	folder, err := os.Open(s.o.Folder)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// carry does what the keeper decided, in order. Where the state cannot be written what runs
// goes on, and acts are refused until it can.
func (s *steward) carry(todo []keeper.Action) {
	var err error
	for _, d := range todo {
		switch d.Kind {
		case keeper.Save:
			err = s.save()
			if err != nil && s.unsaved == nil {
				s.log.Error().Err(err).Msg("steward cannot write its state")
			}
			s.unsaved = err
		case keeper.Start:
			if err != nil { // of an act that is not written down: a steward that dies now would not know of it
				go s.exited(d.Process, fmt.Sprintf("not started, as the state cannot be written: %v", err))
				continue
			}
			done := make(chan struct{})
			s.starts <- func() { s.start(d); close(done) }
			<-done
		case keeper.Terminate, keeper.Kill:
			if cmd := s.runs[d.Process]; cmd != nil && cmd.Process != nil {
				signal := syscall.SIGTERM
				if d.Kind == keeper.Kill {
					signal = syscall.SIGKILL
				}
				s.log.Info().Int("process", cmd.Process.Pid).Stringer("signal", signal).Msg("steward ends a process")
				cmd.Process.Signal(signal)
			}
		}
	}
}

// starter starts processes from one thread that lasts as long as the steward: their
// parent-death signal comes when that thread ends.
func (s *steward) starter() {
	runtime.LockOSThread()
	for start := range s.starts {
		start()
	}
}

func (s *steward) start(d keeper.Action) {
	args := []string{"run"}
	if d.Version.Operator != "" {
		args = append(args, "--operator", d.Version.Operator)
	}
	cmd := exec.Command(d.Version.Build, args...)
	cmd.Stdout, cmd.Stderr = s.o.Console, s.o.Console
	cmd.ExtraFiles = []*os.File{s.socket}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+d.Version.Config, fmt.Sprint("PROXY_FD=", fd), "PROXY_ADMIN="+s.o.Doors[d.AdminIndex], "TMPDIR="+s.o.Folder)
	if err := cmd.Start(); err != nil {
		s.log.Error().Err(err).Str("build", d.Version.Build).Msg("steward cannot start a process")
		go s.exited(d.Process, err.Error())
		return
	}
	s.log.Info().Str("build", d.Version.Build).Str("config", d.Version.Config).Int("process", cmd.Process.Pid).Msg("steward starts a process")
	s.runs[d.Process] = cmd
	go func() {
		why := "status 0"
		if err := cmd.Wait(); err != nil {
			why = err.Error()
		}
		s.exited(d.Process, why)
	}()
}

func (s *steward) exited(n int, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Info().Int("number", n).Str("why", why).Msg("a process has ended")
	delete(s.runs, n)
	s.carry(s.keeper.Exited(s.now(), n, why))
}

// look asks a process whether it can serve.
func (s *steward) look(n, door int) {
	a, err := s.client.Get("http://" + s.o.Doors[door] + "/ops/readiness")
	if err != nil {
		return
	}
	a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carry(s.keeper.Ready(s.now(), n))
}

// calls are what a controller can ask for.
func (s *steward) calls() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.status()) })
	mux.HandleFunc("POST /act", func(w http.ResponseWriter, q *http.Request) {
		var ask Ask
		if !read(w, q, &ask) {
			return
		}
		s.mu.Lock()
		var err error
		if s.unsaved != nil {
			if s.unsaved = s.save(); s.unsaved != nil {
				err = fmt.Errorf("the state cannot be written: %w", s.unsaved)
			}
		}
		var todo []keeper.Action
		if err == nil {
			todo, err = s.keeper.RequestVersion(s.now(), ask.Change, ask.Act, ask.To)
			s.carry(todo)
		}
		s.mu.Unlock()
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		if len(todo) > 0 {
			s.log.Warn().Str("change", ask.Change).Int("act", ask.Act).Str("build", ask.To.Build).Msg("steward was asked to run a version")
		}
		answer(w, s.status())
	})
	mux.HandleFunc("POST /release", func(w http.ResponseWriter, q *http.Request) {
		var r Release
		if read(w, q, &r) {
			s.mu.Lock()
			todo, err := s.keeper.Release(r.Change, r.Keep)
			s.carry(todo)
			s.mu.Unlock()
			if err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			answer(w, s.status())
		}
	})
	return mux
}

func read(w http.ResponseWriter, q *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, q.Body, bodyMost)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// status tells of the machine, with the figures of the process that serves.
func (s *steward) status() Status {
	s.mu.Lock()
	v := s.keeper.State()
	n, door, ready := s.keeper.Current()
	st := Status{Change: v.Change, Last: v.LastChange, Act: v.LastAct, Doing: v.InProgress, Fault: v.Fault, Fell: v.FellBack, Crashes: s.keeper.CrashCount(),
		Serves: ready, Now: v.Target, Good: v.LastGood}
	s.mu.Unlock()
	if ready {
		a, err := s.client.Get("http://" + s.o.Doors[door] + "/ops/figures")
		if err == nil {
			defer a.Body.Close()
			if a.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(a.Body, 1<<20)).Decode(&st.Figures) != nil {
				st.Figures = figures.Figures{} // a build without figures, or none now
			} else {
				st.Figures.Process = fmt.Sprint(n, "/", st.Figures.Process)
			}
		}
	}
	return st
}
