// Package operator reads the operator's own file: a Starlark script whose calls
// say which subsystems a dispatcher runs and how. Running the script only fills
// in a File; nothing is opened, started or looked up, and the same text always
// gives the same File.
//
// A fault is one line, FILE:LINE:COL: key: what is wrong, expected what. The
// position is that of the key's value where there is one, else of the call.
package operator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// MaxSteps bounds the Starlark steps that a file and all that it loads may take
// together: a loop without end is refused after some tenths of a second.
const MaxSteps = 2_000_000

// File is what an operator's file asks for. The zero File asks for nothing: the
// dispatcher then runs as the platform's configuration alone says.
type File struct {
	Inventory *Inventory // nil: the platform's own discovery
	Routes    []Route
}

// Error is one fault in an operator's file.
type Error struct {
	Pos   syntax.Position
	Key   string // the key or call at fault
	Wrong string // what is wrong with it
	Want  string // what was expected
}

// Error implements error.
func (e *Error) Error() string {
	pos := fmt.Sprintf("%s:%d:%d", e.Pos.Filename(), e.Pos.Line, e.Pos.Col)
	return fmt.Sprintf("%s: %s: %s, expected %s", pos, e.Key, e.Wrong, e.Want)
}

// Load runs the file at path. An error that the file is to blame for is an *Error.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text, func(name string) ([]byte, error) {
		return os.ReadFile(filepath.Join(filepath.Dir(path), name))
	})
}

// Parse runs the text of a file; read gives the text of a file beside it.
func Parse(path string, text []byte, read func(name string) ([]byte, error)) (*File, error) {
	r := &run{dir: filepath.Dir(path), read: read, modules: map[string]*module{}, calls: map[string][]*syntax.CallExpr{}}
	r.thread = &starlark.Thread{Name: path, Load: r.load, Print: func(*starlark.Thread, string) {}}
	r.thread.SetMaxExecutionSteps(MaxSteps)
	r.top = filepath.Base(path)
	r.modules[r.top] = &module{}
	if _, err := r.exec(path, text); err != nil {
		return nil, err
	}
	if err := r.file.check(); err != nil {
		return nil, err
	}
	return &r.file, nil
}

// run is one evaluation of a file and of what it loads.
type run struct {
	file    File
	thread  *starlark.Thread
	dir     string
	top     string // the name of the file itself
	read    func(name string) ([]byte, error)
	modules map[string]*module
	calls   map[string][]*syntax.CallExpr // by file, to find where a key stands
}

// module is a loaded file; its globals are nil while it runs.
type module struct {
	globals starlark.StringDict
	err     error
}

// load implements the load statement: files of the same folder, each run once.
func (r *run) load(_ *starlark.Thread, name string) (starlark.StringDict, error) {
	fault := func(wrong, want string) error {
		return &Error{Pos: r.thread.CallFrame(0).Pos, Key: "load", Wrong: wrong, Want: want}
	}
	if name != filepath.Base(name) || !strings.HasSuffix(name, ".star") {
		return nil, fault(fmt.Sprintf("%q is not a file beside this one", name), "a name like \"sites.star\"")
	}
	if m, known := r.modules[name]; known {
		if m.globals == nil && m.err == nil {
			return nil, fault(fmt.Sprintf("%q is loaded while it is still being read", name), "files that do not load each other in a circle")
		}
		return m.globals, m.err
	}
	text, err := r.read(name)
	if err != nil {
		return nil, fault(fmt.Sprintf("%q cannot be read (%v)", name, errors.Unwrap(err)), "a file that is there")
	}
	m := &module{}
	r.modules[name] = m
	m.globals, m.err = r.exec(filepath.Join(r.dir, name), text)
	return m.globals, m.err
}

// exec runs one file.
func (r *run) exec(path string, text []byte) (starlark.StringDict, error) {
	options := &syntax.FileOptions{Set: true, While: true, TopLevelControl: true, GlobalReassign: true}
	names := r.builtins()
	tree, program, err := starlark.SourceProgramOptions(options, path, text, names.Has)
	if err != nil {
		return nil, plain(path, err)
	}
	syntax.Walk(tree, func(n syntax.Node) bool {
		if call, ok := n.(*syntax.CallExpr); ok {
			r.calls[path] = append(r.calls[path], call)
		}
		return true
	})
	globals, err := program.Init(r.thread, names)
	if err != nil {
		return nil, plain(path, err)
	}
	globals.Freeze()
	return globals, nil
}

// plain turns what Starlark says of a fault into an Error.
func plain(path string, err error) error {
	var own *Error
	if errors.As(err, &own) {
		return own
	}
	var read syntax.Error
	if errors.As(err, &read) {
		return &Error{Pos: read.Pos, Key: "file", Wrong: oneLine(read.Msg), Want: "Starlark"}
	}
	var resolved resolve.ErrorList
	if errors.As(err, &resolved) && len(resolved) > 0 {
		return &Error{Pos: resolved[0].Pos, Key: "file", Wrong: oneLine(resolved[0].Msg), Want: "names that are defined (see docs/OPERATOR.md)"}
	}
	var ran *starlark.EvalError
	if errors.As(err, &ran) {
		e := &Error{Pos: syntax.MakePosition(&path, 1, 1), Key: "file", Wrong: oneLine(ran.Msg), Want: "a script that runs to its end"}
		for _, frame := range slices.Backward(ran.CallStack) {
			if frame.Pos.Line > 0 { // the innermost one that is not built in
				e.Pos = frame.Pos
				break
			}
		}
		if strings.Contains(ran.Msg, "too many steps") {
			e.Wrong = fmt.Sprintf("takes more than %d steps", MaxSteps)
		}
		return e
	}
	return fmt.Errorf("operator's file: %w", err)
}

// oneLine keeps an error on one line, whatever the library puts into it.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// check holds what no single call can see.
func (f *File) check() error {
	if f.Inventory == nil && len(f.Routes) > 0 {
		return &Error{f.Routes[0].Pos, "route", "there is no inventory with clusters", "inventory(xds(...)) in the same file"}
	}
	return nil
}

// Asked are the clusters to ask for: those that the inventory names and those
// that routes name. None means all that there are.
func (f *File) Asked() []string {
	if f.Inventory == nil || len(f.Inventory.XDS.Clusters) == 0 {
		return nil
	}
	names := slices.Clone(f.Inventory.XDS.Clusters)
	for _, r := range f.Routes {
		for _, c := range r.Clusters {
			names = append(names, c.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// CheckClasses holds the routes against the classes of a site.
func (f *File) CheckClasses(classes []string) error {
	for _, r := range f.Routes {
		if !slices.Contains(classes, r.Class) {
			return &Error{r.Pos, "class_", fmt.Sprintf("the site has no class %q", r.Class), "one of " + quoted(classes)}
		}
	}
	return nil
}

func quoted(names []string) string {
	var b strings.Builder
	for i, n := range names {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%q", n)
	}
	return b.String()
}

// String says in one line what the file asks for.
func (f *File) String() string {
	if f.Inventory == nil && len(f.Routes) == 0 {
		return "nothing is set, all is as the platform's configuration says"
	}
	var parts []string
	if f.Inventory != nil {
		x := f.Inventory.XDS
		mode, clusters, link := "state of the world", "all clusters", "plain text"
		if x.Delta {
			mode = "incremental"
		}
		if len(x.Clusters) > 0 {
			clusters = "clusters " + strings.Join(x.Clusters, ", ")
		}
		if x.TLS != nil {
			link = "TLS"
		}
		parts = append(parts, fmt.Sprintf("inventory over xDS from %s (%s, %s, %s)", strings.Join(x.Servers, ", "), mode, clusters, link))
	}
	for _, r := range f.Routes {
		var to []string
		for _, c := range r.Clusters {
			to = append(to, fmt.Sprintf("%s %d", c.Name, c.Weight))
		}
		parts = append(parts, fmt.Sprintf("%s to %s", r.Class, strings.Join(to, ", ")))
	}
	return strings.Join(parts, "; ")
}
