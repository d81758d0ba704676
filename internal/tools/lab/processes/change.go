package processes

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"yardwharf/internal/tools/lab/badbuild"
)

const endFor = 8 * time.Second // a steward ends its dispatcher in order before it ends

// change is a rolling change of a run.
type change struct {
	plan  string
	build string // the new one
	cmd   *exec.Cmd
	done  chan struct{}
}

// steward is the command that keeps a dispatcher.
func (r *rig) steward(n *node, folder string) *exec.Cmd {
	args := []string{"steward", "--listen", r.addr(1, byte(n.number+1), 8080).String(), "--doors", r.door(n.number) + "," + r.addr(1, byte(n.number+1), 8082).String(),
		"--at", r.at(n.number), "--folder", folder, "--build", n.binary, "--config", n.config}
	if r.s.Operator != "" {
		args = append(args, "--operator", r.operator())
	}
	return exec.Command(r.o.Binary, args...)
}

// at is where a steward is spoken to.
func (r *rig) at(number int) string { return r.addr(1, byte(number+1), 8090).String() }

// roll begins a change to a bad build, or goes on with it.
func (r *rig) roll(s Step) error {
	c := &r.change
	if c.plan == "" {
		c.plan, c.build = filepath.Join(r.o.Dir, "plan.star"), filepath.Join(r.o.Dir, "new")
		if err := badbuild.Script(c.build, r.o.Lab, s.Build, r.o.Binary); err != nil {
			return err
		}
		var plan strings.Builder
		fmt.Fprintf(&plan, "change(%q, build = %q, listen = %q)\n", r.s.Name, c.build, r.addr(1, 250, 8099))
		for _, percent := range s.Stages {
			fmt.Fprintf(&plan, "stage(percent = %d, least = \"%v\", most = \"%v\", messages = 50)\n", percent, s.Least, s.Most)
		}
		for _, n := range r.nodes {
			fmt.Fprintf(&plan, "dispatcher(\"n%d\", zone = %q, steward = %q)\n", n.number, r.s.Zones[n.zone], r.at(n.number))
		}
		if err := os.WriteFile(c.plan, []byte(plan.String()), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(r.o.Dir, "rollout.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.o.Binary, "rollout", "start", c.plan)
	cmd.Stdout, cmd.Stderr = log, log
	if err := errors.Join(cmd.Start(), log.Close()); err != nil {
		return err
	}
	c.cmd, c.done = cmd, make(chan struct{})
	go func() { cmd.Wait(); close(c.done) }()
	return nil
}

// tell has the command line say something to the controller.
func (r *rig) tell(word string) ([]byte, error) {
	return exec.Command(r.o.Binary, "rollout", word, r.change.plan, "-o", "json").CombinedOutput()
}

// killController kills it between two instructions, whatever it is at.
func (r *rig) killController() {
	if c := &r.change; c.cmd != nil {
		c.cmd.Process.Kill()
		<-c.done
	}
}

// endChange books what came of the change, and ends its controller.
func (r *rig) endChange() error {
	if r.change.plan == "" {
		return nil
	}
	text, err := r.tell("status")
	var st struct {
		State string
		Held  string
		New   []string
	}
	if err == nil {
		err = json.Unmarshal(text, &st)
	}
	if err != nil {
		return fmt.Errorf("rollout status: %w: %s", err, text)
	}
	log, err := r.tell("log")
	if err != nil {
		return fmt.Errorf("rollout log: %w: %s", err, log) // a controller that still runs has the record open
	}
	r.result.State, r.result.Held, r.result.New = st.State, st.Held, len(st.New)
	seen := map[string]int{}
	for line := range strings.Lines(string(log)) {
		var d struct{ Kind, Dispatcher, Fault string }
		if json.Unmarshal([]byte(line), &d) != nil {
			continue
		}
		switch d.Kind {
		case "upgrade", "return":
			r.result.Upgrades++
			seen[d.Kind+d.Dispatcher]++
		}
	}
	for what, times := range seen {
		if times > 1 {
			r.broke("a step was decided twice: %s", what)
		}
	}
	return nil
}

// endStewards ends them in order, so that no dispatcher is left.
func (r *rig) endStewards() {
	for _, n := range r.nodes {
		if n.cmd != nil {
			n.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for until := time.Now().Add(endFor); ; {
		left := 0
		for _, n := range r.nodes {
			select {
			case <-n.done:
			default:
				left++
			}
		}
		if left == 0 || time.Now().After(until) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
