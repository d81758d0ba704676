// Package script runs Starlark files whose calls set things up: the operator's
// file, the scripts of stand-ins. A fault is one line, FILE:LINE:COL: key: what is
// wrong, expected what; the place is that of the key's value where there is one,
// else of the call.
package script

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

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

// Options say what is run.
type Options struct {
	Path     string
	Text     []byte
	Read     func(name string) ([]byte, error) // gives the text of a file beside it
	MaxSteps uint64                            // of all files together; 0: as many as they take
	Calls    map[string]Func                   // what the files may call beside Starlark's own
	Print    func(line string)                 // nil: print() says nothing
}

// Func is a call that files may make.
type Func func(c Call) (starlark.Value, error)

// Call is one call of a Func.
type Call struct {
	run        *run
	name       string
	positional starlark.Tuple
	named      []starlark.Tuple
}

// Run runs a file and what it loads. An error that a file is to blame for is an
// *Error.
func Run(o Options) error {
	r := &run{dir: filepath.Dir(o.Path), top: filepath.Base(o.Path), read: o.Read, steps: o.MaxSteps,
		modules: map[string]*module{}, calls: map[string][]*syntax.CallExpr{}, names: starlark.StringDict{}}
	for name, f := range o.Calls {
		r.names[name] = starlark.NewBuiltin(name, func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			return f(Call{r, b.Name(), args, kwargs})
		})
	}
	r.thread = &starlark.Thread{Name: o.Path, Load: r.load, Print: func(_ *starlark.Thread, line string) {
		if o.Print != nil {
			o.Print(line)
		}
	}}
	if o.MaxSteps > 0 {
		r.thread.SetMaxExecutionSteps(o.MaxSteps)
	}
	r.modules[r.top] = &module{}
	_, err := r.exec(o.Path, o.Text)
	return err
}

// Value carries something of the caller's own from one call to another.
type Value[T any] struct {
	V    T
	Name string // as scripts see it
}

// String implements starlark.Value, as the rest.
func (v Value[T]) String() string        { return v.Name + "(...)" }
func (v Value[T]) Type() string          { return v.Name }
func (v Value[T]) Freeze()               {}
func (v Value[T]) Truth() starlark.Bool  { return true }
func (v Value[T]) Hash() (uint32, error) { return 0, fmt.Errorf("%s cannot be a key", v.Name) }

// run is one evaluation of a file and of what it loads.
type run struct {
	names   starlark.StringDict
	thread  *starlark.Thread
	dir     string
	top     string // the name of the file itself
	read    func(name string) ([]byte, error)
	modules map[string]*module
	calls   map[string][]*syntax.CallExpr // by file, to find where a key stands
	steps   uint64
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
	names := r.names
	tree, program, err := starlark.SourceProgramOptions(options, path, text, names.Has)
	if err != nil {
		return nil, r.plain(path, err)
	}
	syntax.Walk(tree, func(n syntax.Node) bool {
		if call, ok := n.(*syntax.CallExpr); ok {
			r.calls[path] = append(r.calls[path], call)
		}
		return true
	})
	globals, err := program.Init(r.thread, names)
	if err != nil {
		return nil, r.plain(path, err)
	}
	globals.Freeze()
	return globals, nil
}

// plain turns what Starlark says of a fault into an Error.
func (r *run) plain(path string, err error) error {
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
		return &Error{Pos: resolved[0].Pos, Key: "file", Wrong: oneLine(resolved[0].Msg), Want: "names that are defined"}
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
			e.Wrong = fmt.Sprintf("takes more than %d steps", r.steps)
		}
		return e
	}
	return fmt.Errorf("%s: %w", path, err)
}

// oneLine keeps an error on one line, whatever the library puts into it.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// Quoted is a list of names as an error line shows it.
func Quoted(names []string) string {
	var b strings.Builder
	for i, n := range names {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%q", n)
	}
	return b.String()
}
