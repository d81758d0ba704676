// Package app puts the parts of a dispatcher together and runs them: it reads
// the configuration and the operator's file, wires the parts, and does what
// signals ask for.
package app

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"

	"github.com/rs/zerolog"

	"yardwharf"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/run/config"
	"yardwharf/internal/run/operator"
)

const memoryPart = 0.6 // of the machine's memory that the heap may grow to

// Options are what the command line says of a run.
type Options struct {
	Operator string   // the operator's file; empty where there is none
	Helper   []string // the command that speaks xDS; none: yardxds beside this program
	Level    zerolog.Level
	Console  bool // log lines for people, not JSON
	Log      io.Writer
	Getenv   func(string) string
}

// Run runs a dispatcher until it is told to end. An error says what could not be
// read or started.
func Run(o Options) error {
	s, err := read(o)
	if err != nil {
		return err
	}
	signals := catch() // before anything that takes time: an early signal waits
	runtime.GOMAXPROCS(1)
	l, err := loop.New()
	if err != nil {
		return err
	}
	defer l.Close()
	log := o.logger(s.config.Name)
	p, err := build(l, log, s, o)
	if err != nil {
		return err
	}
	log.Info().Stringer("listen", s.config.Listen).Int("known", len(s.config.Known.Endpoints)).Msg("started")
	go p.heed(signals)
	if err := l.Run(); err != nil {
		return err
	}
	log.Info().Msg("stopped")
	return nil
}

// sources are the two files that say how a dispatcher runs.
type sources struct {
	config   *config.Config
	operator *operator.File
}

// read reads and checks both files, the one against the other.
func read(o Options) (sources, error) {
	c, err := config.Load(o.Getenv)
	if err != nil {
		return sources{}, err
	}
	s := sources{config: c, operator: &operator.File{}}
	if o.Operator == "" {
		return s, nil
	}
	if s.operator, err = operator.Load(o.Operator); err != nil {
		return sources{}, err
	}
	if err := s.operator.CheckClasses(s.classes()); err != nil {
		return sources{}, err
	}
	if err := s.operator.CheckPeers(c.Peers.Listen.IsValid()); err != nil {
		return sources{}, err
	}
	return s, s.prepare(o)
}

// classes are the names of the site's classes.
func (s *sources) classes() (names []string) {
	for _, c := range s.config.Settings.Classes {
		names = append(names, c.Name)
	}
	return names
}

// prepare makes what the operator's file says fit for use here: files are beside
// it, and the weights of hosts count.
func (s *sources) prepare(o Options) error {
	if s.config.Settings.Hint == yardwharf.HintNone { // the platform's weights are all 1 then
		s.config.Settings.Hint = yardwharf.HintSize
	}
	inventory := s.operator.Inventory
	if inventory == nil {
		return nil
	}
	x := &inventory.XDS
	x.Clusters = s.operator.Asked()
	if t := x.TLS; t != nil {
		for _, file := range []*string{&t.CA, &t.Cert, &t.Key} {
			if *file != "" && !filepath.IsAbs(*file) {
				*file = filepath.Join(filepath.Dir(o.Operator), *file)
			}
		}
	}
	if _, err := o.helper(); err != nil {
		return err
	}
	return nil
}

// helper is the command that speaks xDS.
func (o Options) helper() ([]string, error) {
	if len(o.Helper) > 0 {
		return o.Helper, nil
	}
	own, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("inventory: xds: looking for the program that speaks it: %w", err)
	}
	path := filepath.Join(filepath.Dir(own), "yardxds")
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("inventory: xds: the program that speaks it is missing beside this one: %w", err)
	}
	return []string{path}, nil
}

func (o Options) logger(name string) zerolog.Logger {
	w := o.Log
	if o.Console {
		w = zerolog.ConsoleWriter{Out: o.Log, TimeFormat: "15:04:05", NoColor: !terminal(o.Log)}
	}
	return zerolog.New(w).Level(o.Level).With().Timestamp().Str("dispatcher", name).Logger()
}

// terminal says whether a person reads along: only then are lines coloured.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// catch takes the signals that the platform sends. Guards against SIGHUP, which
// ends a program that does not ask for it.
func catch() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// heed does on the loop what signals ask for.
func (p *program) heed(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			p.loop.Post(loop.Func(p.reload))
		} else {
			p.loop.Post(loop.Func(p.leave))
		}
	}
}

// Check reads an operator's file alone and says in one line what it asks for.
func Check(path string) (string, error) {
	f, err := operator.Load(path)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s: can be used: %s", path, f), nil
}
