package app

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// What the deploy file builds is dynamic against the C library and starts: a program
// that needs none is not seen by what the days at size load into each dispatcher.
func TestDeployBuildsDynamic(t *testing.T) {
	if _, err := exec.LookPath("gcc"); err != nil {
		t.Skip("no C compiler here: what the deploy file builds is not checked")
	}
	text, err := os.ReadFile("../../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	value := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
		if m == nil {
			t.Fatalf("deploy/balancer.toml: key %s is missing", key)
		}
		return string(m[1])
	}
	if run := value("run"); run != "exec bin/yardwharf" {
		t.Errorf("run is %q, want one program by exec", run)
	}
	bin := filepath.Join(t.TempDir(), "bin")
	build := strings.ReplaceAll(strings.ReplaceAll(value("build"), "-o bin/", "-o "+bin+"/"), "mkdir -p bin", "mkdir -p "+bin)
	cmd := exec.Command("/bin/sh", "-c", strings.ReplaceAll(build, "./cmd/...", "./cmd/yardwharf"))
	cmd.Dir = "../../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, out)
	}
	f, err := elf.Open(filepath.Join(bin, "yardwharf"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil || !strings.Contains(strings.Join(libs, " "), "libc.so") {
		t.Errorf("the program needs %v (%v), want the C library", libs, err)
	}
	if out, err := exec.Command(filepath.Join(bin, "yardwharf"), "version").CombinedOutput(); err != nil {
		t.Errorf("it does not start: %v\n%s", err, out)
	}
}
