package fleetcli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What cannot be used ends in one line with its place, and touches nothing.
func TestFaults(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	plan := func(name, to string) string {
		return file(name, `change("c", `+to+`, listen = "127.0.0.1:1")
stage(percent = 100)
dispatcher("a", zone = "z", steward = "127.0.0.1:2")
dispatcher("b", zone = "z", steward = "127.0.0.1:3")
`)
	}
	good := plan("good", `build = "/nowhere"`)
	door := file("door.json", strings.Replace(example(t), `"name": "n0"`, `"name": "n0", "admin": "127.0.0.1:9"`, 1))
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"steward"}, 2, "--doors: is"},
		{[]string{"steward", "--doors", "a,b"}, 2, "--listen is missing"},
		{[]string{"steward", "--doors", "a,b", "--listen", "127.0.0.1:0", "--at", "127.0.0.1:0", "--folder", dir}, 1, "no build is known"},
		{[]string{"rollout", "start"}, 2, "expected one plan"},
		{[]string{"rollout", "start", filepath.Join(dir, "none")}, 2, "no such file"},
		{[]string{"rollout", "start", plan("bad", `build = "new"`)}, 2, `build: is "new"`},
		{[]string{"rollout", "start", plan("config", `config = "`+file("bad.json", "{}")+`"`)}, 2, "bad.json: config: key"},
		{[]string{"rollout", "start", plan("door", `config = "`+door+`"`)}, 2, "door.json: key admin"},
		{[]string{"rollout", "start", plan("operator", `operator = "`+file("o.star", "zones(7)")+`"`)}, 2, "o.star:1"},
		{[]string{"rollout", "status", good}, 1, "record: "},
		{[]string{"rollout", "hold", good}, 1, "the change has not begun"},
		{[]string{"rollout", "log", good, "-o", "xml"}, 2, "--output: unknown"},
	} {
		var out, log strings.Builder
		status := Main(c.args, &out, &log)
		if line := strings.TrimSpace(log.String()); status != c.status || !strings.Contains(line, c.want) || strings.Contains(line, "\n") {
			t.Errorf("%v: status %d, %q; want %d, %q", c.args, status, line, c.status, c.want)
		}
	}
	if _, err := os.Stat(good + ".record"); err == nil {
		t.Error("a record was made")
	}
}

func example(t *testing.T) string {
	text, err := os.ReadFile("../../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
