// Package serviceyard runs the whole service on one machine: each role as a
// process of its own, each machine as a loopback address of its own, with
// stand-ins for the senders, the platform's list and a receiver of call-backs.
package serviceyard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/tools/standin/platform"
	"yardwharf/internal/tools/standin/receiver"
	"yardwharf/internal/tools/standin/worker"
)

// The services and the routes of the yard.
const (
	Host           = "yard.example"
	PlainPath      = "/plain/"
	OrderedPath    = "/ordered/"
	RatedPath      = "/rated/"
	plainService   = "mail"
	otherService   = "post" // to which the operator moves the plain route at times
	orderedService = "ledger"
	RatedService   = "bulk"
	RatePerS       = 20
)

// Roles, as yardservice names them.
const (
	RoleDispatcher = "dispatcher"
	RoleAgent      = "agent"
	RoleStore      = "store"
	RoleControl    = "control"
)

const (
	machinesOfAClass = 3
	pollEvery        = 20 * time.Millisecond
	workTime         = 5 * time.Millisecond
	callTimeout      = 2 * time.Second
)

// Options describe how a yard is run.
type Options struct {
	Folder  string                      // for settings, logs and data
	Command func(role string) *exec.Cmd // of a role; the settings' path is added to its environment
	Failing int                         // calls that the receiver fails before it takes any
	Edges   int                         // edge machines; 0: as many as of every class

	SecondAnswers int // of the workers' answers, one in so many is given twice; 0: none
}

// Yard is a running service.
type Yard struct {
	options   Options
	ports     ports
	machines  []*machine
	platform  *platform.Platform
	workers   []*worker.Worker
	byService map[string][]*worker.Worker
	Ledger    *worker.Ledger
	Receiver  *receiver.Receiver
	processes []*Process
}

// machine is one machine: an address and its settings.
type machine struct {
	class    string
	settings settings.Settings
	path     string
}

// classEdge is the class of the machines that clients reach.
const classEdge = "edge"

// count returns how many machines of a class there are.
func (y *Yard) count(class string) int {
	if class == classEdge && y.options.Edges > 0 {
		return y.options.Edges
	}
	return machinesOfAClass
}

// classes tells what runs on the machines of each class.
var classes = []machineClass{
	{name: "core", octet: 10, roles: []string{RoleControl}, disk: true, serves: "control_plane"},
	{name: "storage", octet: 20, roles: []string{RoleStore}, disk: true, serves: "storage"},
	{name: classEdge, octet: 30, roles: []string{RoleAgent, RoleDispatcher}, serves: "edge"},
}

// machineClass is a class of machines.
type machineClass struct {
	name   string
	octet  int // last part of the first machine's address
	roles  []string
	disk   bool
	serves string
}

// address returns the address of a machine, counted from 0.
func (c *machineClass) address(number int) string { return "127.0.1." + strconv.Itoa(c.octet+number) }

// Start starts all stand-ins and roles. Close ends them, also after an error.
func Start(o Options) (*Yard, error) {
	y := &Yard{options: o, Ledger: worker.NewLedger(), byService: map[string][]*worker.Worker{}}
	if err := y.startStandIns(); err != nil {
		return y, err
	}
	if err := y.makeMachines(); err != nil {
		return y, err
	}
	for _, p := range y.processes {
		if err := p.Start(); err != nil {
			return y, fmt.Errorf("%s/%s: %w", p.Node, p.Role, err)
		}
	}
	return y, nil
}

// Close ends everything that the yard has started.
func (y *Yard) Close() {
	for _, p := range y.processes {
		_ = p.Kill()
	}
	for _, w := range y.workers {
		w.Close()
	}
	if y.Receiver != nil {
		y.Receiver.Close()
	}
	if y.platform != nil {
		y.platform.Close()
	}
}

func (y *Yard) startStandIns() error {
	var err error
	if y.platform, err = platform.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if y.Receiver, err = receiver.Start("127.0.0.1:0", y.options.Failing); err != nil {
		return err
	}
	for _, service := range []string{plainService, otherService, orderedService, RatedService} {
		for number := 1; number <= 2; number++ {
			w, err := worker.Start(worker.Options{
				ID: service + "-" + strconv.Itoa(number), Service: service, Zone: zone(number),
				Address: "127.0.0.1:0", Slots: 8, Work: workTime, Ledger: y.Ledger, SecondAnswers: y.options.SecondAnswers,
			})
			if err != nil {
				return err
			}
			y.workers = append(y.workers, w)
			y.byService[service] = append(y.byService[service], w)
		}
	}
	for _, w := range y.workers {
		y.platform.Set(append(y.platform.List(), w.Instance())...)
	}
	return nil
}

// Silence keeps the workers of a service from running and answering anything, or lets them
// work again.
func (y *Yard) Silence(service string, on bool) {
	for _, w := range y.byService[service] {
		w.Silence(on)
	}
}

func zone(number int) string { return "zone-" + strconv.Itoa(number) }

// makeMachines chooses the ports and writes the settings files.
func (y *Yard) makeMachines() error {
	var addresses []string
	for _, class := range classes {
		for number := range y.count(class.name) {
			addresses = append(addresses, class.address(number))
		}
	}
	var err error
	if y.ports, err = freePorts(addresses); err != nil {
		return err
	}
	for _, class := range classes {
		for number := range y.count(class.name) {
			m := y.newMachine(class.name, class.serves, class.disk, number, class.address(number))
			if err := m.write(); err != nil {
				return err
			}
			y.machines = append(y.machines, m)
			for _, role := range class.roles {
				y.processes = append(y.processes, y.newProcess(m, role))
			}
		}
	}
	return nil
}

func (y *Yard) newMachine(class, serves string, disk bool, number int, ip string) *machine {
	node := class + "-" + strconv.Itoa(number+1)
	m := &machine{class: class, path: filepath.Join(y.options.Folder, node+".json")}
	m.settings = settings.Settings{
		Node: node, MachineClass: class, Serves: []string{serves}, IP: ip, Zone: zone(number%machinesOfAClass + 1), Region: "here",
		Zones:         map[string]string{zone(1): "here", zone(2): "here", zone(3): "here"},
		InternalPorts: []int{y.ports.internal, y.ports.internal + protocol.ControlPort},
		Seeds:         y.seeds(), Bootstrap: true, CountsForQuorum: disk,
		Limits:      settings.Limits{CPUShare: 1, Cores: 1, MemoryMb: 256, MaxFds: 1024, DiskMb: 64},
		HeartbeatMs: 500, FaultTolerance: settings.FaultTolerance{Machines: 1},
		Bounds:   settings.Bounds{CatchUpS: 2, GraceS: 4, StatusS: 120, CallbackS: 5, CeilingWindowS: 5, CeilingOvershoot: 1.1},
		CloudAPI: settings.CloudAPI{Address: y.platform.Address(), RatePerS: 100},
	}
	if disk {
		m.settings.DataDir = filepath.Join(y.options.Folder, node)
	}
	switch class {
	case classEdge:
		m.settings.Listen.Front, m.settings.Listen.Readiness = y.ports.front(ip), y.ports.readiness(ip)
	case "core":
		m.settings.Listen.Control = y.ports.control(ip)
	}
	return m
}

// seeds returns the control addresses of all core machines.
func (y *Yard) seeds() []string {
	var seeds []string
	for number := range machinesOfAClass {
		seeds = append(seeds, y.ports.control(classes[0].address(number)))
	}
	return seeds
}

// write writes the settings file, and makes the machine's disk.
func (m *machine) write() error {
	if m.settings.DataDir != "" {
		if err := os.MkdirAll(m.settings.DataDir, 0o700); err != nil {
			return err
		}
	}
	content, err := json.Marshal(m.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(m.path, content, 0o600)
}

func (y *Yard) newProcess(m *machine, role string) *Process {
	log := filepath.Join(y.options.Folder, m.settings.Node+"-"+role+".log")
	return &Process{Node: m.settings.Node, Role: role, command: func() *exec.Cmd {
		cmd := y.options.Command(role)
		cmd.Env = append(cmd.Environ(), settings.PathVariable+"="+m.path)
		if out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			cmd.Stdout, cmd.Stderr = out, out
		}
		return cmd
	}}
}

// Process returns a role of a class's machine, counted from 1.
func (y *Yard) Process(role string, number int) *Process {
	for _, p := range y.processes {
		if p.Role != role {
			continue
		}
		if number--; number == 0 {
			return p
		}
	}
	return nil
}

// Fronts returns where clients reach the dispatchers.
func (y *Yard) Fronts() []string {
	var fronts []string
	for _, m := range y.machines {
		if m.settings.Listen.Front != "" {
			fronts = append(fronts, m.settings.Listen.Front)
		}
	}
	return fronts
}

// InternalAddresses returns where operators ask the processes of a role.
func (y *Yard) InternalAddresses(role string) []string {
	offset := map[string]int{
		RoleDispatcher: protocol.DispatcherPort, RoleAgent: protocol.AgentPort,
		RoleStore: protocol.StorePort, RoleControl: protocol.ControlPort,
	}[role]
	var addresses []string
	for _, p := range y.processes {
		if p.Role == role {
			addresses = append(addresses, y.machineOf(p.Node).settings.Internal(offset))
		}
	}
	return addresses
}

func (y *Yard) machineOf(node string) *machine {
	for _, m := range y.machines {
		if m.settings.Node == node {
			return m
		}
	}
	return nil
}

// Started notes that the first start is over: machines that start from now on
// find a system that lives.
func (y *Yard) Started() error {
	for _, m := range y.machines {
		m.settings.Bootstrap = false
		if err := m.write(); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until all dispatchers call themselves ready.
func (y *Yard) AwaitReady(ctx context.Context) error {
	for _, m := range y.machines {
		if m.settings.Listen.Readiness == "" {
			continue
		}
		address := "http://" + m.settings.Listen.Readiness + "/readiness"
		err := Await(ctx, func() bool {
			response, err := httpClient.Get(address)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
		if err != nil {
			return fmt.Errorf("%s is not ready: %w", m.settings.Node, err)
		}
	}
	return nil
}

// Await waits until a condition holds.
func Await(ctx context.Context, holds func() bool) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// ports are those of all machines. They are alike on each.
type ports struct{ internal int }

// Ports of a machine beside the internal ones, after the first of those.
const (
	frontOffset = protocol.ControlPort + 1 + iota
	readinessOffset
	controlOffset
	portCount
)

func (p ports) at(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(p.internal+offset))
}
func (p ports) front(ip string) string     { return p.at(ip, frontOffset) }
func (p ports) readiness(ip string) string { return p.at(ip, readinessOffset) }
func (p ports) control(ip string) string   { return p.at(ip, controlOffset) }

const portTries = 50

// freePorts finds ports that are free at all addresses.
func freePorts(addresses []string) (ports, error) {
	for range portTries {
		listener, err := net.Listen("tcp4", net.JoinHostPort(addresses[0], "0"))
		if err != nil {
			return ports{}, err
		}
		found := ports{internal: listener.Addr().(*net.TCPAddr).Port}
		_ = listener.Close()
		if found.internal+portCount < 1<<16 && found.free(addresses) {
			return found, nil
		}
	}
	return ports{}, errors.New("no ports are free at all addresses")
}

func (p ports) free(addresses []string) bool {
	for _, address := range addresses {
		for offset := range portCount {
			listener, err := net.Listen("tcp4", p.at(address, offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}
