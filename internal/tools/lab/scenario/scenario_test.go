package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The committed scenarios come out as they expect, a dozen at least.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../../../lab/scenarios/[^_]*.star")
	if err != nil || len(paths) < 12 {
		t.Fatalf("%d scenarios, %v", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".star"), func(t *testing.T) {
			t.Parallel()
			s, err := Load(path)
			if err != nil {
				t.Fatal(err)
			}
			if s.About == "" {
				t.Error("it does not say what it is about")
			}
			o, err := s.Play(1)
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range o.Faults {
				t.Error(f)
			}
		})
	}
}

// A scenario whose expectations are not met says which.
func TestFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.star")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`site("here", hosts = 3)
traffic(rate = 20)
expect(service = "at least 100%", crossings = "at most 0")
run(length = "10s", seeds = 1)`)
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	o, err := s.Play(1)
	if err != nil || len(o.Faults) != 1 || !strings.Contains(o.Faults[0], "service is 0.") || !strings.Contains(o.Faults[0], "at least 1.000") {
		t.Errorf("%v, %v", o.Faults, err)
	}
	for text, want := range map[string]string{
		``: "has no site", `site("a")`: "expects nothing",
		`failure("flood")`: `kind: is "flood", expected one of`, `failure("slow", site = "x")`: `site: is "x"`,
		`expect(service = "high")`: `service: is "high"`, `expect(fun = "at least 1")`: "fun: is no key of expect()",
	} {
		write(text)
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}
