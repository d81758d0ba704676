package serviceyard

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

var errNotRunning = errors.New("the process does not run")

// Process is one role on one machine. It can be started again after its end.
type Process struct {
	Node, Role string
	command    func() *exec.Cmd

	mutex sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
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
	p.cmd, p.ended = cmd, ended
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

// Hangup tells the process that its settings file has changed.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }
