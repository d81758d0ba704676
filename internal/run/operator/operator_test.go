package operator

import (
	"fmt"
	"io/fs"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// The transcripts: a file of the folder is laid out by "file NAME", and "check"
// runs one and says what it asks for or which line is at fault.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		files := map[string]string{}
		read := func(name string) ([]byte, error) {
			if text, there := files[name]; there {
				return []byte(text), nil
			}
			return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				files[d.CmdArgs[0].Key] = d.Input
				return ""
			case "check":
				f, err := Parse("op.star", []byte(d.Input), read)
				if err == nil && len(d.CmdArgs) > 0 {
					err = f.CheckClasses(strings.Split(d.CmdArgs[0].Vals[0], "/"))
				}
				if err != nil {
					return err.Error() + "\n"
				}
				return f.String() + "\n"
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

// The committed file can be used and has everything off.
func TestCommittedFile(t *testing.T) {
	f, err := Load("../../../deploy/operator.star")
	if err != nil || f.Inventory != nil || f.Routes != nil || f.Jobs != nil || f.Zones != nil {
		t.Errorf("%v, %v", f, err)
	}
}

// What the committed file shows as comments can be used, too: its keys exist.
func TestCommittedExample(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/operator.star")
	if err != nil {
		t.Fatal(err)
	}
	var code []string
	for line := range strings.Lines(string(text)) {
		line = strings.TrimPrefix(strings.TrimPrefix(line, "#"), " ")
		if strings.HasPrefix(line, " ") && !strings.Contains(line, "bin/") || strings.HasPrefix(line, "inventory(") || strings.HasPrefix(line, "jobs(") || strings.HasPrefix(line, "zones(") ||
			strings.HasPrefix(line, ")") || strings.HasPrefix(line, "route(") {
			code = append(code, line)
		}
	}
	f, err := Parse("op.star", []byte(strings.Join(code, "")), nil)
	if err != nil || f.Inventory == nil || len(f.Routes) != 1 || f.Inventory.XDS.TLS == nil || f.Jobs == nil || f.Zones == nil {
		t.Errorf("%v, %v\n%s", f, err, strings.Join(code, ""))
	}
}

// Whatever stands in a file, the answer is a File or an error on one line.
func TestAnyText(t *testing.T) {
	words := []string{"inventory(", "xds(", "node(", "route(", ")", ",", "server", "=", `"127.0.0.1:1"`, "[", "]", "id", "class_",
		"clusters", "{", "}", ":", "1", `"a"`, "\n", "def f():", " return", "for x in", "while True:", " pass", "None", "load(", "-", "\t"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(words), 1, 40).Draw(t, "words"), "")
		_, err := Parse("op.star", []byte(text), func(string) ([]byte, error) { return nil, fmt.Errorf("x: %w", fs.ErrNotExist) })
		if err != nil && (strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "op.star:")) {
			t.Errorf("%q: %v", text, err)
		}
	})
}
