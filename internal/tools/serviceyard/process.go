package serviceyard

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// beginMost is how long a program takes to its first line.
const beginMost = 100 * time.Millisecond

var errNotRunning = errors.New("the process does not run")

// Process is one role on one machine. It can be started again after its end.
type Process struct {
	Node, Role string
	command    func() *exec.Cmd

	mutex   sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	ended   chan struct{}
}

// Start starts the process.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	cmd := p.command()
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.started = cmd, ended, time.Now()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process by its id.
func (p *Process) signal(signal os.Signal) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd == nil {
		return errNotRunning
	}
	return p.cmd.Process.Signal(signal)
}

// ID returns the id of the process.
func (p *Process) ID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Kill ends the process without a warning and waits for its end.
func (p *Process) Kill() error { return p.endBy(syscall.SIGKILL) }

// Terminate asks the process to end and waits for its end.
func (p *Process) Terminate() error { return p.endBy(syscall.SIGTERM) }

func (p *Process) endBy(signal os.Signal) error {
	err := p.signal(signal)
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended != nil && err == nil {
		<-ended
	}
	return err
}

// Freeze stops the process: its connections stay open and silent, as those of a
// machine that is cut off.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

// Hangup tells the process that its settings file has changed. One that was started just
// now is given the time to begin: until then the signal would end it.
func (p *Process) Hangup() error {
	p.mutex.Lock()
	wait := time.Until(p.started.Add(beginMost))
	p.mutex.Unlock()
	time.Sleep(wait)
	return p.signal(syscall.SIGHUP)
}
