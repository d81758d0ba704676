package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each way to call the program ends with the status that scripts go by, and with
// one line where it went wrong.
func TestStatuses(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	good, bad := filepath.Join(t.TempDir(), "good.star"), filepath.Join(t.TempDir(), "bad.star")
	os.WriteFile(good, nil, 0o600)
	os.WriteFile(bad, []byte("inventory()"), 0o600)
	for _, c := range []struct {
		args   string
		status int
		out    string // a part of what is printed
		log    string
	}{
		{"", 1, "", "yardwharf: config: variable PROXY_CONFIG is not set\n"},
		{"run", 1, "", "yardwharf: config: variable PROXY_CONFIG is not set\n"},
		{"run --operator " + bad, 1, "", "PROXY_CONFIG"},
		{"run --log-level loud", 2, "", `--log-level: unknown "loud"`},
		{"--log-format xml", 2, "", `--log-format: unknown "xml"`},
		{"run it", 2, "", `unexpected "it"`},
		{"dance", 2, "", `unexpected "dance"`},
		{"run --fast", 2, "", "unknown flag: --fast"},
		{"check", 2, "", "expected one"},
		{"check " + good, 0, "can be used", ""},
		{"check " + bad, 2, "", bad + ":1:1: source: is missing, expected xds(...)\n"},
		{"check " + good + "x", 2, "", "no such file"},
		{"version", 0, "yardwharf", ""},
		{"help", 0, "Examples:", ""},
		{"completion bash", 0, "bash completion", ""},
	} {
		var out, log bytes.Buffer
		status := Main(strings.Fields(c.args), &out, &log)
		if status != c.status || !strings.Contains(out.String(), c.out) || !strings.Contains(log.String(), c.log) ||
			strings.Count(log.String(), "\n") > 1 {
			t.Errorf("yardwharf %s: status %d, want %d; printed %.200q; logged %q", c.args, status, c.status, out.String(), log.String())
		}
	}
}
