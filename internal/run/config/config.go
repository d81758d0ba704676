// Package config reads what a dispatcher is told at its start: the file that
// PROXY_CONFIG names and, for what the file leaves out, the variables beside it.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"

	"yardwharf"
	"yardwharf/internal/carry/inventory"
	"yardwharf/internal/carry/peers"
	"yardwharf/internal/carry/wire"
)

// Limits are the bounds of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// The bounds that hold where the configuration names none.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastSockets    = 32
)

// Config is a checked configuration.
type Config struct {
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Admin     netip.AddrPort // where operators call; not valid: nowhere
	FD        int            // the clients' listening socket, inherited; -1: it is opened here
	Seed      uint64
	Limits    Limits
	Peers     peers.Addresses // not valid to listen at where dispatchers tell each other nothing
	Known     inventory.List
	Settings  yardwharf.Settings
	Text      []byte // all that was read, but for Known
}

// file is the configuration as it is written.
type file struct {
	Name, Listen, Discovery, Admin, Seed string

	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	PeersAll   string   `json:"peers_all"`

	Limits   Limits
	Known    json.RawMessage
	Settings json.RawMessage
}

// Load reads and checks the configuration. An error names the key at fault.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("config: variable PROXY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: PROXY_CONFIG: %w", err)
	}
	return Parse(text, getenv)
}

// Parse reads and checks the text of a configuration.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	c, err := parse(text, getenv)
	if err == nil {
		var keys map[string]json.RawMessage
		err = json.Unmarshal(text, &keys)
		delete(keys, "known") // as long as the fleet, and of then
		if err == nil {
			c.Text, err = json.Marshal(keys)
		}
	}
	return c, err
}

func parse(text []byte, getenv func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("config: PROXY_CONFIG: %w", err)
	}
	for _, v := range []struct {
		at       *string
		variable string
	}{{&f.Name, "PROXY_NAME"}, {&f.Listen, "PROXY_LISTEN"}, {&f.Discovery, "PROXY_DISCOVERY"}, {&f.Admin, "PROXY_ADMIN"}} {
		if *v.at == "" {
			*v.at = getenv(v.variable)
		}
	}
	c := &Config{Name: f.Name, Limits: f.Limits, FD: -1}
	var err error
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("config: key listen: %w", err)
	}
	if c.Discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return nil, fmt.Errorf("config: key discovery: %w", err)
	}
	if f.Admin != "" {
		if c.Admin, err = netip.ParseAddrPort(f.Admin); err != nil {
			return nil, fmt.Errorf("config: key admin: %w", err)
		}
	}
	if v := getenv("PROXY_FD"); v != "" {
		if c.FD, err = strconv.Atoi(v); err != nil || c.FD < 0 {
			return nil, fmt.Errorf("config: variable PROXY_FD: %q is no descriptor's number", v)
		}
	}
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("config: key seed: %w", err)
		}
	}
	if len(f.Known) > 0 {
		if c.Known, err = inventory.ParseList(f.Known); err != nil {
			return nil, fmt.Errorf("config: key known: %w", err)
		}
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("config: key settings is missing")
	}
	if c.Settings, err = wire.Settings(f.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if c.Peers, err = f.addresses(&c.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	// Guards decisions that go by what others tell from waiting for what nobody can.
	c.Settings.Peers = c.Peers.Listen.IsValid()
	return c, c.bounds()
}

// addresses are where the dispatchers tell each other something, where settings allow it.
func (f *file) addresses(s *yardwharf.Settings) (to peers.Addresses, err error) {
	if f.PeerListen == "" || !s.Peers || s.Balancers < 2 {
		return to, nil
	}
	if to.Listen, err = netip.ParseAddrPort(f.PeerListen); err != nil {
		return to, fmt.Errorf("key peer_listen: %w", err)
	}
	if f.PeersAll != "" {
		if to.All, err = netip.ParseAddrPort(f.PeersAll); err != nil {
			return to, fmt.Errorf("key peers_all: %w", err)
		}
	}
	if len(f.Peers) != s.Balancers {
		return to, fmt.Errorf("key peers names %d dispatchers, and key settings.Balancers says %d", len(f.Peers), s.Balancers)
	}
	to.Me = s.Me
	for i, text := range f.Peers {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return to, fmt.Errorf("key peers[%d]: %w", i, err)
		}
		to.Peers = append(to.Peers, a)
	}
	return to, nil
}

// bounds fills in the limits that are not told and checks those that are.
func (c *Config) bounds() error {
	l := &c.Limits
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	switch {
	case l.MemoryMB < 0:
		return fmt.Errorf("config: key limits.memory_mb must be above 0, is %d", l.MemoryMB)
	case l.Sockets < leastSockets:
		return fmt.Errorf("config: key limits.sockets must be %d at least, is %d", leastSockets, l.Sockets)
	}
	return nil
}

// Changes names the keys in which a configuration that is read again differs from this one:
// those that count at once, and those that count for a new process only.
func (c *Config) Changes(again *Config) (live, fixed []string) {
	for _, k := range []struct {
		key          string
		differ, live bool
	}{
		{"name", c.Name != again.Name, false}, {"listen", c.Listen != again.Listen, false},
		{"admin", c.Admin != again.Admin, false}, {"peer_listen", c.Peers.Listen != again.Peers.Listen, false},
		{"discovery", c.Discovery != again.Discovery, true}, {"limits", c.Limits != again.Limits, true},
		{"peers", c.Peers.Listen == again.Peers.Listen && !reflect.DeepEqual(c.Peers, again.Peers), true},
	} {
		if k.differ && k.live {
			live = append(live, k.key)
		} else if k.differ {
			fixed = append(fixed, k.key)
		}
	}
	atOnce, later := c.Settings.Changes(again.Settings)
	for _, name := range atOnce {
		live = append(live, "settings."+name)
	}
	for _, name := range later {
		fixed = append(fixed, "settings."+name)
	}
	return live, fixed
}
