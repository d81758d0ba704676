// Package buildtools checks that the deploy file names the system packages which
// a clean build needs.
package buildtools

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// families maps the packages of the distribution to those that the deploy file
// names, which bring them along.
var families = regexp.MustCompile(`^(gcc|cpp|binutils|libc6-dev)`)

// TestPackagesOfACleanBuild runs the commands of the build without carrying them out,
// and asks the distribution which packages the programs outside Go belong to.
func TestPackagesOfACleanBuild(t *testing.T) {
	c := qt.New(t)
	deploy, err := os.ReadFile("../../../deploy/system.toml")
	c.Assert(err, qt.IsNil)
	named := regexp.MustCompile(`(?m)^packages = \[(.*)\]$`).FindSubmatch(deploy)
	c.Assert(named, qt.IsNotNil)
	packages := strings.Split(strings.NewReplacer(`"`, "", " ", "").Replace(string(named[1])), ",")

	if _, err := exec.LookPath("dpkg"); err != nil {
		t.Skip("no dpkg: the packages of programs cannot be looked up")
	}
	programs := []string{"/usr/include/stdlib.h"} // for cgo
	for _, tool := range []string{"gcc", "as", "ld", "collect2"} {
		out, err := exec.Command("gcc", "-print-prog-name="+tool).Output()
		c.Assert(err, qt.IsNil)
		path, err := exec.LookPath(strings.TrimSpace(string(out)))
		c.Assert(err, qt.IsNil)
		programs = append(programs, path)
	}
	build := exec.Command("go", "build", "-n", "-a", "-ldflags=-linkmode=external", "./cmd/yardservice")
	build.Dir, build.Env = "../../..", append(os.Environ(), "CGO_ENABLED=1")
	commands, err := build.CombinedOutput()
	c.Assert(err, qt.IsNil)
	outside := regexp.MustCompile(`(?m)^(?:[A-Z_]+=\S+ )*"?([a-z+]+)"? `)
	for _, found := range outside.FindAllStringSubmatch(string(commands), -1) {
		if path, err := exec.LookPath(found[1]); err == nil && found[1] != "go" {
			programs = append(programs, path)
		}
	}
	slices.Sort(programs)
	for _, program := range slices.Compact(programs) {
		real, err := filepath.EvalSymlinks(program)
		c.Assert(err, qt.IsNil)
		owner, err := exec.Command("dpkg", "-S", real).Output()
		if err != nil {
			continue // a program of Go, or one that every system has
		}
		name, _, _ := strings.Cut(string(owner), ":")
		if essential(name) {
			continue
		}
		family := families.FindString(name)
		c.Check(packages, qt.Contains, family, qt.Commentf("%s belongs to %s", real, name))
	}
}

// essential reports whether every system has a package.
func essential(name string) bool {
	out, err := exec.Command("dpkg-query", "-W", "-f", "${Essential}", name).Output()
	return err == nil && strings.Contains(string(out), "yes")
}
