package config

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yardwharf"
)

const good = `{"name":"n3","listen":"127.0.0.1:8080","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":128,"sockets":512},
 "known":{"index":41,"snapshot":true,"endpoints":[{"name":"s1","address":"127.0.0.3:80","status":"SERVING"}]},
 "settings":{"Balancers":1,"Index":0,"MyZone":0,"Areas":["a"],"Classes":[{"Name":"job","Aim":200,"Deadline":5000,"Effect":"pure","Points":1}],
 "Limits":{"TryLimit":3,"ConnIdle":15000,"DialTimeout":250},
 "Rules":{"DrainGrace":500,"OverloadFactor":4,"OverloadFor":1500,"StartCapacity":0.3,"WarmUp":8000}}}`

// talking is what a dispatcher is told of where its peers are, fleet a configuration with it.
const talking = `"peer_listen":"127.0.0.1:7946","peers":["127.0.0.2:1","127.0.0.3:1"],"peers_all":"127.0.0.9:7946",`

var fleet = strings.NewReplacer(`"listen"`, talking+`"listen"`, `"Balancers":1`, `"Balancers":2`, `"Limits":{`, `"Limits":{"Peers":true,`).Replace(good)

// Addresses of peers count where the settings let dispatchers talk, and there are some.
func TestPeers(t *testing.T) {
	c, err := load(t, fleet, nil)
	if err != nil || !c.Settings.Peers || len(c.Peers.Peers) != 2 || c.Peers.All.String() != "127.0.0.9:7946" || c.Peers.Listen.Port() != 7946 {
		t.Errorf("%+v, %v", c, err)
	}
	for _, not := range []string{`"Peers":true,`, `"peer_listen":"127.0.0.1:7946",`} {
		if c, err = load(t, strings.Replace(fleet, not, "", 1), nil); err != nil || c.Peers.Listen.IsValid() || c.Settings.Peers {
			t.Errorf("without %s: %+v, %v", not, c, err)
		}
	}
}

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		if name == "PROXY_CONFIG" {
			return path
		}
		return env[name]
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, good, nil)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Limits.Sockets != 512 || c.Known.Index != 41 ||
		c.Admin.IsValid() || c.FD != -1 || c.Settings.Classes[0].Name != "job" || c.Settings.ConnIdle.Seconds() != 15 || c.Settings.Zones[0] != "a" {
		t.Errorf("read as %+v", c)
	}
	c, err = load(t, strings.Replace(strings.Replace(good, `"listen":"127.0.0.1:8080",`, "", 1),
		`"limits":{"cores":1.0,"memory_mb":128,"sockets":512},`, "", 1), map[string]string{"PROXY_LISTEN": "127.0.0.9:1", "PROXY_ADMIN": "127.0.0.9:2", "PROXY_FD": "3"})
	if err != nil || c.Admin.Port() != 2 || c.FD != 3 || c.Listen.String() != "127.0.0.9:1" || c.Limits.MemoryMB != defaultMemoryMB || c.Limits.Sockets != defaultSockets {
		t.Errorf("without listen and limits: %+v, %v", c, err)
	}
}

// An error is one line that names the key at fault.
func TestLoadErrors(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{good, "{", "PROXY_CONFIG"},
		{`"127.0.0.1:8080"`, `"here"`, "key listen"},
		{`"discovery":"127.0.0.2:8500"`, `"discovery":""`, "key discovery"},
		{`8c1f30d27a5be964`, `xyz`, "key seed"},
		{`"sockets":512`, `"sockets":8`, "key limits.sockets"},
		{`"memory_mb":128`, `"memory_mb":-1`, "key limits.memory_mb"},
		{`"SERVING"`, `"HERE"`, "key known"},
		{`"settings"`, `"setting"`, "key settings"},
		{`"MyZone":0,`, ``, "key MyZone"},
		{`"n3",`, `"n3","admin":"door",`, "key admin"},
		{talking, strings.Replace(talking, "127.0.0.1:7946", "here", 1), "key peer_listen"},
		{talking, strings.Replace(talking, "127.0.0.9:7946", "all", 1), "key peers_all"},
		{talking, strings.Replace(talking, `"127.0.0.3:1"`, `"3"`, 1), "key peers[1]"},
		{talking, strings.Replace(talking, `,"127.0.0.3:1"`, "", 1), "key peers names 1"},
	} {
		text := good
		if c.from == talking {
			text = fleet
		}
		_, err := load(t, strings.Replace(text, c.from, c.to, 1), nil)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %.30s: error %v, want one line with %q", c.to, c.from, err, c.want)
		}
	}
	for variable, want := range map[string]string{"PROXY_ADMIN": "key admin", "PROXY_FD": "variable PROXY_FD"} {
		if _, err := load(t, good, map[string]string{variable: "three"}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", variable, err, want)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
		t.Errorf("without a file: error %v", err)
	}
}

// What a configuration that is read again changes is named: at once, or with a new process.
func TestChanges(t *testing.T) {
	c := func() *Config {
		return &Config{Name: "n1", Settings: yardwharf.Settings{Classes: []yardwharf.Class{{Name: "a", Worth: 1}, {Name: "b"}}}}
	}
	for _, d := range []struct {
		change      func(*Config)
		live, fixed string
	}{
		{func(*Config) {}, "[]", "[]"},
		{func(c *Config) { c.Discovery = netip.MustParseAddrPort("127.0.0.1:1") }, "[discovery]", "[]"},
		{func(c *Config) { c.Limits.Sockets, c.Settings.CrossZonePrice = 7, 2 }, "[limits settings.CrossZonePrice]", "[]"},
		{func(c *Config) { c.Settings.Classes[0].Worth = 7 }, "[settings.Classes]", "[]"},
		{func(c *Config) { c.Settings.Classes[1].Effect = yardwharf.Unsafe }, "[settings.Classes]", "[]"},
		{func(c *Config) { c.Settings.Classes[1].Name = "c" }, "[]", "[settings.Classes]"},
		{func(c *Config) { c.Settings.Balancers, c.Name, c.Settings.Classes[1].Aim = 7, "n2", 1 }, "[settings.Classes]", "[name settings.Balancers]"},
	} {
		again := c()
		d.change(again)
		if live, fixed := c().Changes(again); fmt.Sprint(live) != d.live || fmt.Sprint(fixed) != d.fixed {
			t.Errorf("%v at once and %v with a new process, want %s and %s", live, fixed, d.live, d.fixed)
		}
	}
}
