// Package yard starts the service as separate processes on loopback addresses, with the commands of the
// deploy file, for the cases of the second review.
package yard

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"yardwharf/internal/tools/standin/platform"
)

// Offsets of the ports of a machine, from the first one. The first five are the internal ports.
const (
	internalPorts = 5
	frontPort     = internalPorts
	readinessPort = internalPorts + 1
	controlPort   = internalPorts + 2
	portCount     = internalPorts + 3
)

// Options describe a small deployment.
type Options struct {
	Edges    int
	Storages int
	GraceS   float64
	StatusS  float64
}

// Yard is a running deployment. Machine i of a class has the address of that class plus i.
type Yard struct {
	Options   Options
	Folder    string
	Platform  *platform.Platform
	Processes []*Process
	Proxies   []io.Closer
	first     int
	commands  map[string][]string
	record    *Record
}

// Process is one role on one machine.
type Process struct {
	Node, Role string
	IP         string
	MemoryMb   int
	command    []string
	settings   string
	log        string

	mutex sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// New returns a deployment whose processes are not started yet.
func New(options Options, record *Record) (*Yard, error) {
	folder, err := os.MkdirTemp("", "yardwharf-review-")
	if err != nil {
		return nil, err
	}
	y := &Yard{Options: options, Folder: folder, record: record}
	openMutex.Lock()
	open = append(open, y)
	openMutex.Unlock()
	if y.commands, err = readCommands("deploy/system.toml"); err != nil {
		return y, err
	}
	if y.Platform, err = platform.Start("127.0.0.1:0"); err != nil {
		return y, err
	}
	if y.first, err = y.freePorts(); err != nil {
		return y, err
	}
	for i := range options.Storages {
		if err := y.addMachine("storage", y.StorageIP(i), i, []string{"store", "control"}); err != nil {
			return y, err
		}
	}
	for i := range options.Edges {
		if err := y.addMachine("edge", y.EdgeIP(i), i, []string{"agent", "dispatcher"}); err != nil {
			return y, err
		}
	}
	return y, nil
}

// readCommands reads the command of each role from the deploy file.
func readCommands(path string) (map[string][]string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	commands, role := map[string][]string{}, ""
	for line := range strings.SplitSeq(string(content), "\n") {
		line = strings.TrimSpace(line)
		if name, found := strings.CutPrefix(line, "[roles."); found {
			role = strings.TrimSuffix(name, "]")
		}
		key, value, _ := strings.Cut(line, "=")
		if role != "" && strings.TrimSpace(key) == "run" {
			commands[role] = strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	return commands, nil
}

// StorageIP and EdgeIP return the addresses of machines.
func (y *Yard) StorageIP(i int) string { return "127.0.7." + strconv.Itoa(10+i) }

// EdgeIP returns the address of an edge machine.
func (y *Yard) EdgeIP(i int) string { return "127.0.7." + strconv.Itoa(40+i) }

func (y *Yard) at(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(y.first+offset))
}

// Front returns the address at which clients reach a dispatcher.
func (y *Yard) Front(i int) string { return y.at(y.EdgeIP(i), frontPort) }

// Control returns the address at which the operator reaches a control member.
func (y *Yard) Control(i int) string { return y.at(y.StorageIP(i), controlPort) }

func (y *Yard) freePorts() (int, error) {
	var addresses []string
	for i := range y.Options.Storages {
		addresses = append(addresses, y.StorageIP(i))
	}
	for i := range y.Options.Edges {
		addresses = append(addresses, y.EdgeIP(i))
	}
	for range 50 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		first := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		if first+portCount < 1<<16 && free(addresses, first) {
			return first, nil
		}
	}
	return 0, errors.New("no ports are free at all addresses")
}

func free(addresses []string, first int) bool {
	for _, address := range addresses {
		for offset := range portCount {
			listener, err := net.Listen("tcp4", net.JoinHostPort(address, strconv.Itoa(first+offset)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// Zone returns the zone of the machine with a number.
func Zone(i int) string { return "zone-" + strconv.Itoa(i%3+1) }

func (y *Yard) addMachine(class, ip string, number int, roles []string) error {
	node := class + "-" + strconv.Itoa(number+1)
	var seeds []string
	for i := range min(3, y.Options.Storages) {
		seeds = append(seeds, y.Control(i))
	}
	for _, role := range roles {
		memory := map[string]int{"agent": 284, "dispatcher": 284, "store": 304, "control": 280}[role]
		settings := map[string]any{
			"node": node, "role": role, "machineClass": class, "ip": ip, "zone": Zone(number), "region": "here",
			"zones":         map[string]string{"zone-1": "here", "zone-2": "here", "zone-3": "here"},
			"internalPorts": []int{y.first, y.first + internalPorts - 1},
			"seeds":         seeds, "bootstrap": true, "countsForQuorum": class == "storage",
			"limits":      map[string]any{"cpuShare": 1, "cores": 1, "memoryMb": memory, "maxFds": 4100, "linkMbps": 1000, "diskMb": 400},
			"dataDir":     nil,
			"discovery":   "cloud_api",
			"entry":       "vip",
			"heartbeatMs": 1200,
			"contracts":   []string{"base", "drain", "config", "cost", "ingest", "recover"},
			"faultTolerance": map[string]int{
				"machines": (min(3, y.Options.Storages) - 1) / 2, "zones": 0, "regions": 0,
			},
			"bounds": map[string]any{
				"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4.5, "drainMs": 3000,
				"graceS": y.Options.GraceS, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000,
				"recoveryS": 12, "finishS": 10, "statusS": y.Options.StatusS, "callbackS": 5, "visibilityMs": 3000, "earlyMs": 100,
				"ceilingWindowS": 5, "ceilingOvershoot": 1.1,
			},
			"cloudApi": map[string]any{"address": y.Platform.Address(), "ratePerS": 44.0, "duties": []string{}, "maxLagMs": 800},
		}
		listen := map[string]string{}
		switch {
		case class == "edge":
			listen["front"], listen["readiness"] = y.at(ip, frontPort), y.at(ip, readinessPort)
		case role == "control":
			listen["control"] = y.at(ip, controlPort)
		}
		settings["listen"] = listen
		if class == "storage" {
			disk := filepath.Join(y.Folder, node+"-disk")
			if err := os.MkdirAll(disk, 0o700); err != nil {
				return err
			}
			settings["dataDir"] = disk
		}
		path := filepath.Join(y.Folder, node+"-"+role+".json")
		if err := writeSettings(path, settings); err != nil {
			return err
		}
		y.Processes = append(y.Processes, &Process{
			Node: node, Role: role, IP: ip, MemoryMb: memory, command: y.commands[role], settings: path, log: filepath.Join(y.Folder, node+"-"+role+".log"),
		})
	}
	return nil
}

func writeSettings(path string, settings map[string]any) error {
	content, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o600)
}

// Start starts all processes that are not running.
func (y *Yard) Start() error {
	for _, p := range y.Processes {
		if err := p.Start(); err != nil {
			return fmt.Errorf("%s/%s: %w", p.Node, p.Role, err)
		}
	}
	return nil
}

// Started rewrites the settings: processes that start from now on find a system that lives.
func (y *Yard) Started() error {
	for _, p := range y.Processes {
		content, err := os.ReadFile(p.settings)
		if err != nil {
			return err
		}
		var settings map[string]any
		if err := json.Unmarshal(content, &settings); err != nil {
			return err
		}
		settings["bootstrap"] = false
		if err := writeSettings(p.settings, settings); err != nil {
			return err
		}
	}
	return nil
}

// Process returns a role on a machine, counted from 0.
func (y *Yard) Process(role string, number int) *Process {
	for _, p := range y.Processes {
		if p.Role == role {
			if number == 0 {
				return p
			}
			number--
		}
	}
	return nil
}

// Close ends all processes that were started, and removes the folder. The logs are kept if the variable KEEP is set.
func (y *Yard) Close() {
	for _, p := range y.Processes {
		p.Kill()
	}
	for _, proxy := range y.Proxies {
		_ = proxy.Close()
	}
	if y.Platform != nil {
		y.Platform.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(y.Folder)
	} else {
		fmt.Println("kept", y.Folder)
	}
}

// AwaitReady waits until all dispatchers call themselves ready.
func (y *Yard) AwaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for i := range y.Options.Edges {
		if err := y.AwaitReadyOf(i, time.Until(deadline)); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReadyOf waits until one dispatcher calls itself ready.
func (y *Yard) AwaitReadyOf(i int, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if y.Ready(i) {
			return nil
		}
	}
	return fmt.Errorf("edge-%d is not ready", i+1)
}

// Ready asks a dispatcher whether it is ready.
func (y *Yard) Ready(i int) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + y.at(y.EdgeIP(i), readinessPort) + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Configure hands a configuration to the control members in turn until one has taken it.
func (y *Yard) Configure(base, revision int64, routes, services []map[string]any) error {
	return y.ConfigureLimits(base, revision, routes, services, Limits())
}

// Limits returns the limits that the pages show.
func Limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// ConfigureLimits hands over a configuration with other limits.
func (y *Yard) ConfigureLimits(base, revision int64, routes, services []map[string]any, limits map[string]any) error {
	content, err := json.Marshal(map[string]any{"revision": revision, "routes": routes, "services": services, "limits": limits})
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 2 * time.Second}
	last := ""
	for i, deadline := 0, time.Now().Add(20*time.Second); time.Now().Before(deadline); i++ {
		request, err := http.NewRequest(http.MethodPost, "http://"+y.Control(i%y.Options.Storages)+"/Config.Replace", bytes.NewReader(content))
		if err != nil {
			return err
		}
		request.Header.Set("X-Base-Version", strconv.FormatInt(base, 10))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				y.record.Add("operator: configuration %d acknowledged by storage-%d", revision, i%y.Options.Storages+1)
				return nil
			}
			last = fmt.Sprint(response.StatusCode, " ", string(body))
		} else {
			last = err.Error()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d is not taken: %s", revision, last)
}

// Start starts the process unless it runs.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), "YARDWHARF_SETTINGS="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		err := cmd.Wait()
		p.mutex.Lock()
		if p.cmd == cmd {
			p.cmd, p.err = nil, err
		}
		p.mutex.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(signal)
	}
}

// Running reports whether the process runs.
func (p *Process) Running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cmd != nil
}

// Wait waits for the end of the process.
func (p *Process) Wait(limit time.Duration) bool {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(5 * time.Second)
}

// Record is the record of a run: what was sent, answered and run.
type Record struct {
	mutex sync.Mutex
	start time.Time
	file  *os.File
}

// NewRecord opens a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file}, nil
}

// Add adds a line.
func (r *Record) Add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// Close closes the record.
func (r *Record) Close() { _ = r.file.Close() }

var (
	openMutex sync.Mutex
	open      []*Yard
)

// CloseAll closes all deployments that are open.
func CloseAll() {
	openMutex.Lock()
	defer openMutex.Unlock()
	for _, y := range open {
		y.Close()
	}
}
