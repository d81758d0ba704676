package xdslink

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"yardwharf/internal/carry/loop"
)

// Handler hears on the loop what the helper says.
type Handler interface {
	// Said is called for each line of a helper.
	Said(m *FromHelper)
	// Died says that a helper has ended by itself; another is started.
	Died(err error)
}

const (
	restartFirst = 100 * time.Millisecond // before another helper; doubles
	restartMost  = 5 * time.Second
	steady       = 10 * time.Second // a helper that ran so long did not fail at its start
	queueMost    = 1024             // lines to a helper that does not read
)

// Source runs a helper and keeps one running.
type Source struct {
	loop    *loop.Loop
	command []string
	config  Config
	handler Handler
	lines   chan ToHelper
	stuck   chan struct{}
	done    chan struct{}
	once    sync.Once
	helpers uint64 // started so far
}

// Start starts a helper by its command. It does not fail: a helper that does not
// start is told by Died and tried again.
func Start(l *loop.Loop, command []string, c Config, h Handler) *Source {
	s := &Source{loop: l, command: command, config: c, handler: h, lines: make(chan ToHelper, queueMost), stuck: make(chan struct{}, 1), done: make(chan struct{})}
	go s.keep()
	return s
}

// Send puts a line out; it never waits. A helper that has not read for so long that
// the queue is full has hung: it is ended, as it would wait for the verdict that is
// dropped here, and the next one asks for everything anew.
func (s *Source) Send(m ToHelper) {
	select {
	case s.lines <- m:
	default:
		select {
		case s.stuck <- struct{}{}:
		default:
		}
	}
}

// Close ends the helper; the Handler hears nothing more once the loop has run what
// is under way.
func (s *Source) Close() { s.once.Do(func() { close(s.done) }) }

// tell runs a call on the loop, unless the source has been closed meanwhile.
func (s *Source) tell(f func()) {
	s.loop.Post(loop.Func(func() {
		select {
		case <-s.done:
		default:
			f()
		}
	}))
}

// keep starts one helper after another.
func (s *Source) keep() {
	for pause := restartFirst; ; {
		began := time.Now()
		err := s.run()
		select {
		case <-s.done:
			return
		default:
		}
		s.tell(func() { s.handler.Died(err) })
		if time.Since(began) > steady {
			pause = restartFirst
		}
		select {
		case <-s.done:
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, restartMost)
	}
}

// run runs one helper until it ends or the source is closed.
func (s *Source) run() error {
	cmd := exec.Command(s.command[0], s.command[1:]...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // Ctrl-C is for the dispatcher, which answers first
	in, err := cmd.StdinPipe()
	if err != nil {
		return fmt.Errorf("xds helper: %w", err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("xds helper: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("xds helper: %w", err)
	}
	select {
	case <-s.stuck: // it was the last one that was
	default:
	}
	ended := make(chan struct{})
	s.helpers++
	go s.write(in, ended)
	go func() { // a helper ends by itself when its input does
		select {
		case <-s.done:
			select {
			case <-ended:
			case <-time.After(time.Second):
				cmd.Process.Kill()
			}
		case <-s.stuck:
			cmd.Process.Kill()
		case <-ended:
		}
	}()
	err = s.read(out)
	cmd.Process.Kill() // one that talks nonsense is not asked again
	close(ended)
	return errors.Join(err, cmd.Wait())
}

// write puts lines out until the helper or the source has ended.
func (s *Source) write(in io.WriteCloser, ended chan struct{}) {
	defer in.Close()
	out := json.NewEncoder(in)
	for drained := false; !drained; { // what was meant for the helper before
		select {
		case <-s.lines:
		default:
			drained = true
		}
	}
	// Guards against a verdict on what an earlier helper delivered: it would be
	// taken for one on another update.
	if out.Encode(ToHelper{Config: &s.config, Base: s.helpers << 32}) != nil {
		return
	}
	for {
		select {
		case m := <-s.lines:
			if out.Encode(m) != nil {
				return
			}
		case <-ended:
			return
		case <-s.done:
			return
		}
	}
}

// read reads lines until there are no more. Lines are read here, not on the loop: a
// large list takes tens of milliseconds.
func (s *Source) read(out io.Reader) error {
	in := json.NewDecoder(bufio.NewReaderSize(out, 64<<10))
	for {
		m := &FromHelper{}
		if err := in.Decode(m); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("xds helper: %w", err)
		}
		s.tell(func() { s.handler.Said(m) })
	}
}
