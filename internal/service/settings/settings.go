// Package settings loads and validates the settings file of a process.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"yardwharf/internal/service/jsontext"
	"yardwharf/internal/service/network"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
)

// PathVariable is the environment variable that holds the path of the file.
const PathVariable = "YARDWHARF_SETTINGS"

// Keys that only some roles require.
const (
	KeyFront     = "listen.front"
	KeyReadiness = "listen.readiness"
	KeyControl   = "listen.control"
	KeyCloudAPI  = "cloudApi.address"
	KeyDataDir   = "dataDir"
)

// Class is the error class of this package.
var Class = errs.Class("settings")

// Settings describes a process's machine and deployment. Unknown fields of the
// file are ignored.
type Settings struct {
	Node            string            `json:"node"`
	Role            string            `json:"role"`
	MachineClass    string            `json:"machineClass"`
	Serves          []string          `json:"serves"`
	IP              string            `json:"ip"`
	Zone            string            `json:"zone"`
	Region          string            `json:"region"`
	Zones           map[string]string `json:"zones"`
	Listen          Listen            `json:"listen"`
	InternalPorts   []int             `json:"internalPorts"`
	Seeds           []string          `json:"seeds"`
	Bootstrap       bool              `json:"bootstrap"`
	CountsForQuorum bool              `json:"countsForQuorum"`
	Limits          Limits            `json:"limits"`
	DataDir         string            `json:"dataDir"`
	HeartbeatMs     int               `json:"heartbeatMs"`
	FaultTolerance  FaultTolerance    `json:"faultTolerance"`
	Bounds          Bounds            `json:"bounds"`
	CloudAPI        CloudAPI          `json:"cloudApi"`

	modifiedAt time.Time // modification time of the file, taken before reading it; zero if there is no file

	// Simulations replace the machine's network, disk and clocks; nil selects the machine's.
	Network        network.Network                 `json:"-"`
	OpenFolder     func(path string) segment.Files `json:"-"`
	MonotonicClock func() time.Duration            `json:"-"`
	WallClock      func() time.Time                `json:"-"`
}

// timeOfDay returns the wall clock time of the machine or simulation.
func (s *Settings) timeOfDay() time.Time {
	if s.WallClock != nil {
		return s.WallClock()
	}
	return time.Now()
}

// Net returns the network that the process uses.
func (s *Settings) Net() network.Network {
	if s.Network != nil {
		return s.Network
	}
	return network.TCP
}

// Files returns access to a folder on the process's disk.
func (s *Settings) Files(path string) segment.Files {
	if s.OpenFolder != nil {
		return s.OpenFolder(path)
	}
	return segment.Folder{Path: path}
}

// Listen holds the addresses on which a role listens.
type Listen struct {
	Front     string `json:"front"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
}

// Limits holds the machine's resource limits.
type Limits struct {
	CPUShare float64 `json:"cpuShare"`
	Cores    int     `json:"cores"`
	MemoryMb int     `json:"memoryMb"`
	MaxFds   int     `json:"maxFds"`
	LinkMbps float64 `json:"linkMbps"`
	DiskMb   int     `json:"diskMb"`
}

// FaultTolerance is the number of simultaneous failures that the deployment must
// tolerate.
type FaultTolerance struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// Bounds holds the time limits and other bounds that the deployment guarantees.
type Bounds struct {
	SeedLagS         float64 `json:"seedLagS"`
	AddrReuseS       float64 `json:"addrReuseS"`
	ContactMs        float64 `json:"contactMs"`
	AckMs            float64 `json:"ackMs"`
	CatchUpS         float64 `json:"catchUpS"`
	DrainMs          float64 `json:"drainMs"`
	GraceS           float64 `json:"graceS"`
	LossSlackMs      float64 `json:"lossSlackMs"`
	ConfigApplyMs    float64 `json:"configApplyMs"`
	RollbackSlackMs  float64 `json:"rollbackSlackMs"`
	MaxSkewMs        float64 `json:"maxSkewMs"`
	RecoveryS        float64 `json:"recoveryS"`
	FinishS          float64 `json:"finishS"`
	StatusS          float64 `json:"statusS"`
	CallbackS        float64 `json:"callbackS"`
	VisibilityMs     float64 `json:"visibilityMs"`
	EarlyMs          float64 `json:"earlyMs"`
	CeilingWindowS   float64 `json:"ceilingWindowS"`
	CeilingOvershoot float64 `json:"ceilingOvershoot"`
}

// CloudAPI configures access to the platform's list of senders.
type CloudAPI struct {
	Address  string  `json:"address"`
	RatePerS float64 `json:"ratePerS"`
	MaxLagMs float64 `json:"maxLagMs"`
}

// Seconds converts a number of seconds to a duration.
func Seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Path returns the path of the settings file, from the environment.
func Path() (string, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return "", Class.New("the environment variable %s is not set", PathVariable)
	}
	return path, nil
}

// Load reads and validates a file. The error has one line per fault, which gives
// the file, the key and the cause.
func Load(path string) (*Settings, error) {
	modifiedAt := modificationTime(path)
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	s, err := Parse(path, content)
	if err != nil {
		return nil, err
	}
	s.modifiedAt = modifiedAt
	return s, nil
}

// Parse decodes and validates the content of a file.
func Parse(path string, content []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(content, s); err != nil {
		return nil, Class.New("%s: %s", path, jsontext.DescribeError(content, err))
	}
	faults := s.faults()
	if len(faults) == 0 {
		return s, nil
	}
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fmt.Sprintf("%s: %s", path, fault)
	}
	return nil, Class.New("%s", strings.Join(lines, "\n"))
}

// faults lists the invalid settings, as "key: cause".
func (s *Settings) faults() []string {
	var faults []string
	require := func(ok bool, key, cause string) {
		if !ok {
			faults = append(faults, key+": "+cause)
		}
	}
	require(s.Node != "", "node", "is empty")
	require(s.Zone != "", "zone", "is empty")
	require(net.ParseIP(s.IP) != nil, "ip", fmt.Sprintf("%q is not an IP address", s.IP))
	require(len(s.InternalPorts) == 2 && s.InternalPorts[0] > 0 && s.InternalPorts[1] <= 65535 &&
		s.InternalPorts[1]-s.InternalPorts[0] >= protocol.ControlPort,
		"internalPorts", fmt.Sprintf("must be a first and a last port, at least %d apart", protocol.ControlPort))
	require(len(s.Seeds) > 0, "seeds", "is empty")
	for _, seed := range s.Seeds {
		_, _, err := net.SplitHostPort(seed)
		require(err == nil, "seeds", fmt.Sprintf("%q is not an address with a port", seed))
	}
	require(s.FaultTolerance.Machines >= 0, "faultTolerance.machines", "is below 0")
	for _, key := range []string{KeyFront, KeyReadiness, KeyControl, KeyCloudAPI} {
		address := s.optionalValue(key)
		_, _, err := net.SplitHostPort(address)
		require(address == "" || err == nil, key, fmt.Sprintf("%q is not an address with a port", address))
	}
	return faults
}

// optionalValue returns the value of a key that only some roles require.
func (s *Settings) optionalValue(key string) string {
	switch key {
	case KeyFront:
		return s.Listen.Front
	case KeyReadiness:
		return s.Listen.Readiness
	case KeyControl:
		return s.Listen.Control
	case KeyCloudAPI:
		return s.CloudAPI.Address
	case KeyDataDir:
		return s.DataDir
	default:
		return ""
	}
}

// Require returns an error with one line for each of the keys that is empty.
func (s *Settings) Require(path string, keys ...string) error {
	var lines []string
	for _, key := range keys {
		if s.optionalValue(key) == "" {
			lines = append(lines, path+": "+key+": is empty, but this role requires it")
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return Class.New("%s", strings.Join(lines, "\n"))
}

// Internal returns the address of an internal listener of this machine, by its
// offset from the first internal port.
func (s *Settings) Internal(offset int) string {
	return protocol.InternalAddress(s.IP, s.InternalPorts[0], offset)
}

// AgentFeed returns the loopback address at which the agent serves the dispatcher.
// If the machine's own address is a loopback address, that one is used, so that
// several such machines can share a host.
func (s *Settings) AgentFeed() string {
	if own := net.ParseIP(s.IP); own != nil && own.IsLoopback() {
		return s.Internal(protocol.AgentFeedPort)
	}
	return protocol.InternalAddress("127.0.0.1", s.InternalPorts[0], protocol.AgentFeedPort)
}

// ControlMembers returns the internal addresses of the control members on the
// seeds' hosts.
func (s *Settings) ControlMembers() []string {
	members := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			members = append(members, protocol.InternalAddress(host, s.InternalPorts[0], protocol.ControlPort))
		}
	}
	return members
}

// Identity returns the identity of a process that starts now on this machine.
// Its incarnation is the current wall clock time.
func (s *Settings) Identity(role string, offset int) protocol.Identity {
	return protocol.Identity{
		Node: s.Node, Role: role, Zone: s.Zone, Address: s.Internal(offset),
		Incarnation: uint64(s.timeOfDay().UnixMicro()),
	}
}
