package logging

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// logCall matches a call of a logger with a constant message.
var logCall = regexp.MustCompile(`(?:log|logger)(?:\.V\(1\))?\.(?:Info|Error)\((?:[a-zA-Z]+, )?"([^"]+)"`)

// TestEachLogLineIsInTheOnCallPage reads the sources of the service.
func TestEachLogLineIsInTheOnCallPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/ONCALL.md")
	c.Assert(err, qt.IsNil)
	found := 0
	err = filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range logCall.FindAllSubmatch(source, -1) {
			found++
			listed := strings.Contains(string(page), "`"+string(match[1])+"`")
			c.Check(listed, qt.IsTrue, qt.Commentf("%s: %s", path, match[1]))
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	c.Assert(found > 30, qt.IsTrue, qt.Commentf("%d log calls", found))
}
