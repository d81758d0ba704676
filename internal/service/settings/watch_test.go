package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"
)

func TestAFileThatCannotBeUsedIsOneLineAndChangesNothing(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "node.json")
	var lines []string
	log := funcr.New(func(_, arguments string) { lines = append(lines, arguments) }, funcr.Options{})
	var taken []*Settings
	reload := func(s *Settings) { taken = append(taken, s) }

	c.Assert(os.WriteFile(path, []byte(`{"node": "", "ip": "x"}`), 0o600), qt.IsNil)
	Reload(path, reload, log)
	c.Assert(taken, qt.HasLen, 0)
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, "node: is empty")
	c.Assert(strings.Contains(lines[0], "\n"), qt.IsFalse)

	whole := `{"node": "n", "zone": "z", "ip": "127.0.0.1", "internalPorts": [7780, 7795], "seeds": ["127.0.0.9:8064"]}`
	c.Assert(os.WriteFile(path, []byte(whole), 0o600), qt.IsNil)
	Reload(path, reload, log)
	c.Assert(taken, qt.HasLen, 1)
	c.Assert(taken[0].ControlMembers(), qt.DeepEquals, []string{"127.0.0.9:7784"})
	c.Assert(lines, qt.HasLen, 2)
}
