package yardlab

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yardwharf/internal/tools/standin/mgmt"
)

func call(args ...string) (status int, out, log string) {
	var o, l bytes.Buffer
	status = Main(args, &o, &l)
	return status, o.String(), l.String()
}

// What a server gives is printed and judged, in both modes.
func TestDump(t *testing.T) {
	s := mgmt.New(nil)
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	s.Put(mgmt.Clusters, "3", mgmt.EDS("senders", ""), mgmt.Static("fixed", mgmt.Endpoint{Name: "f1", Address: "127.0.0.1", Port: 9003}))
	s.Put(mgmt.Assignments, "4", mgmt.Assignment("senders", mgmt.Policy{}, mgmt.Endpoint{Name: "s1", Address: "127.0.0.1", Port: 9001, Weight: 3},
		mgmt.Endpoint{Name: "s2", Address: "127.0.0.1", Port: 9002, Health: 3}))
	for _, mode := range []string{"delta", "sotw"} {
		status, out, log := call("xds", "dump", "--server", s.Addr(), "--mode", mode)
		for _, want := range []string{"fixed", "inside", "EDS senders", "s1", "s2", "draining", "would take it"} {
			if !strings.Contains(out, want) {
				t.Errorf("%s: %q is missing in\n%s", mode, want, out)
			}
		}
		if status != 0 || log != "" {
			t.Errorf("%s: status %d, %s", mode, status, log)
		}
		if status, out, _ = call("xds", "dump", "--server", s.Addr(), "--mode", mode, "--json", "--clusters", "fixed"); status != 0 ||
			strings.Contains(out, "s1") || !strings.Contains(out, `"taken": true`) {
			t.Errorf("%s: status %d\n%s", mode, status, out)
		}
	}
	// What a dispatcher would refuse is named.
	s.Put(mgmt.Assignments, "5", mgmt.Assignment("senders", mgmt.Policy{}, mgmt.Endpoint{Name: "s1", Address: "senders.example", Port: 9001}))
	status, out, _ := call("xds", "dump", "--server", s.Addr(), "--wait", "300ms")
	if status != 1 || !strings.Contains(out, "no IP address") || !strings.Contains(out, `of cluster "senders" have not come`) {
		t.Errorf("status %d\n%s", status, out)
	}
}

// A script is played to its end; a fault in it is one line with its place.
func TestScript(t *testing.T) {
	path := filepath.Join(t.TempDir(), "play.star")
	for text, want := range map[string]string{
		`s = serve("127.0.0.1:0")
put(s, type = "cds", version = "1", resources = [cluster("a", eds = "b"), cluster("c", endpoints = [endpoint("127.0.0.1:9001")])])
put(s, version = "1", resources = [assignment("b", [endpoint("127.0.0.1:9001", health = "DRAINING", since = "now")], drop = 5, stale_after = "1m")])
change(s, version = "2", removed = ["b"])
send(s, version = "0", nonce = "odd", resources = [])
cut(s); mute(s); unmute(s); stop(s); start(s); sleep("1ms")
print("played")`: "",
		`serve("127.0.0.1")`:                                                "play.star:1:7: address: ",
		"s = serve(\"127.0.0.1:0\")\nput(s, version = 1)":                   "play.star:2:18: version: is int, expected a string",
		"s = serve(\"127.0.0.1:0\")\nexpect(s, \"nack\", within = \"1ms\")": `play.star:2:11: what: no nack came within 1ms`,
		`put("x", version = "1")`:                                           "play.star:1:5: server: is no server",
		`cluster("a", endpoints = [1])`:                                     "endpoints: holds 1, expected endpoint(...)",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		status, out, log := call("xds", "--once", path)
		if want == "" && (status != 0 || log != "" || !strings.Contains(out, "played")) ||
			want != "" && (status != 1 || !strings.Contains(log, want) || strings.Count(log, "\n") != 1) {
			t.Errorf("%s\nstatus %d, printed %q, logged %q, want %q", text, status, out, log, want)
		}
	}
}

// A scenario passes or fails by what it expects, and a seed replays to the byte.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.star"), filepath.Join(dir, "bad.star")
	os.WriteFile(good, []byte("about(\"a try\")\nsite(\"here\")\ntraffic(rate = 20)\nexpect(service = \"at least 50%\")\nrun(length = \"10s\")"), 0o600)
	status, out, log := call("run", good, "--seeds", "2")
	if status != 0 || log != "" || !strings.Contains(out, "good") {
		t.Errorf("status %d\n%s%s", status, out, log)
	}
	_, first, _ := call("run", good, "--json", "--seed", "7")
	if _, again, _ := call("run", good, "--json", "--seed", "7"); again != first || !strings.Contains(first, `"seed": 7`) {
		t.Errorf("%s, then %s", first, again)
	}
	if status, out, _ := call("list", "--dir", dir); status != 0 || !strings.Contains(out, "a try") {
		t.Errorf("status %d, %s", status, out)
	}
	os.WriteFile(bad, []byte("site(\"here\")\nexpect(service = \"at least 101%\")\nrun(length = \"5s\", seeds = 1)"), 0o600)
	if status, out, _ := call("run", bad); status != 1 || !strings.Contains(out, "not as expected: service is") {
		t.Errorf("status %d\n%s", status, out)
	}
	os.WriteFile(bad, []byte("site(\"here\", hosts = -1)"), 0o600)
	if status, _, log := call("run", bad); status != 1 || !strings.Contains(log, "bad.star:1:22: hosts: is -1") {
		t.Errorf("status %d, %s", status, log)
	}
}

func TestUsage(t *testing.T) {
	for _, args := range []string{"dance", "xds", "xds a b", "xds dump", "xds dump --server x", "xds dump --server 127.0.0.1:1 --mode big", "xds bench --hosts 0", "sender x", "run", "list --dir /nowhere", "order --seeds 0", "load", "load ftp://127.0.0.1/", "load http://10.0.0.1/", "load http://127.0.0.1:1/ --rate 0", "load http://127.0.0.1:1/ -H x"} {
		if status, _, log := call(strings.Fields(args)...); status != 2 || strings.Count(log, "\n") != 1 {
			t.Errorf("yardlab %s: status %d, logged %q", args, status, log)
		}
	}
}

// The logs of a folder are added up, those in its folders too; one without logs is
// an error in one line.
func TestCount(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if status, _, log := call("count", folder); status != 1 || !strings.Contains(log, "no *.log file") || strings.Count(log, "\n") != 1 {
		t.Errorf("status %d, %s", status, log)
	}
	write("n0.log", "yardwharf: config: key listen\n")
	if status, _, log := call("count", folder); status != 1 || !strings.Contains(log, "no log line of a dispatcher") {
		t.Errorf("status %d, %s", status, log)
	}
	os.Mkdir(filepath.Join(folder, "more"), 0o700)
	line := `{"level":"warn","dispatcher":"n1","time":"2026-12-01T10:00:05Z","message":"discovery watch lost"}`
	write("more/n1.log", line+"\n"+line[:30])
	status, out, log := call("count", folder)
	if status != 0 || !strings.Contains(out, "watch lost") || strings.Contains(out, "started") || !strings.Contains(log, "passed over 1 lines") {
		t.Errorf("status %d, %s, %s", status, out, log)
	}
	if status, out, _ := call("count", "--json", folder); status != 0 || !strings.Contains(out, `"unreadable": 1`) {
		t.Errorf("status %d, %s", status, out)
	}
}

// The first command of docs/LAB.md plays the committed scenarios, and passes over what is
// for others to load; alone, such a file is a clear no.
func TestPageCommand(t *testing.T) {
	paths, err := filepath.Glob("../../../lab/scenarios/*.star")
	if err != nil || len(paths) < 13 {
		t.Fatal(paths, err)
	}
	var out, log strings.Builder
	if status := Main(append([]string{"run", "--seeds", "1"}, paths[:6]...), &out, &log); status != 0 || strings.Count(out.String(), "\n") != 4 {
		t.Errorf("status %d: %s%s", status, out.String(), log.String())
	}
	if status := Main([]string{"run", paths[0]}, &out, &log); status != 1 || !strings.Contains(log.String(), "expects nothing") {
		t.Errorf("%s alone: status %d: %s", paths[0], status, log.String())
	}
	if status := Main([]string{"fleet", "list", "--dir", "../../../lab/fleet"}, &out, &log); status != 0 || !strings.Contains(out.String(), "one_cut_off") {
		t.Errorf("fleet list: status %d: %s%s", status, out.String(), log.String())
	}
}
