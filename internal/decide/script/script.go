// Package script runs Starlark files that configure something by calls to built-ins,
// such as the operator's file and the scripts of test tools. An error is one line of
// the form FILE:LINE:COL: KEY: PROBLEM, expected EXPECTATION. Its position is that of
// the key's value if there is one, else that of the call.
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

// Error is an error in a script.
type Error struct {
	Pos      syntax.Position
	Key      string // the key or call that has the error
	Problem  string // what is wrong with it
	Expected string // what was expected
}

// Error implements error.
func (e *Error) Error() string {
	pos := fmt.Sprintf("%s:%d:%d", e.Pos.Filename(), e.Pos.Line, e.Pos.Col)
	return fmt.Sprintf("%s: %s: %s, expected %s", pos, e.Key, e.Problem, e.Expected)
}

// Options configure a run.
type Options struct {
	Path     string
	Text     []byte
	ReadFile func(name string) ([]byte, error) // reads a file of the same folder
	MaxSteps uint64                            // limit for all files together; 0: none
	Builtins map[string]Func                   // built-ins that files may call in addition to Starlark's own
	Print    func(line string)                 // output of print(); nil: discarded
}

// Func implements a built-in.
type Func func(c Call) (starlark.Value, error)

// Call holds the name and the arguments of one call of a Func.
type Call struct {
	run        *run
	name       string
	positional starlark.Tuple
	named      []starlark.Tuple
}

// Run runs a file and the files that it loads. It returns an *Error for an error in
// one of the files.
func Run(o Options) error {
	r := &run{dir: filepath.Dir(o.Path), mainFile: filepath.Base(o.Path), read: o.ReadFile, maxSteps: o.MaxSteps,
		modules: map[string]*module{}, callsByPath: map[string][]*syntax.CallExpr{}, builtins: starlark.StringDict{}}
	for name, f := range o.Builtins {
		r.builtins[name] = starlark.NewBuiltin(name, func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
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
	r.modules[r.mainFile] = &module{}
	_, err := r.exec(o.Path, o.Text)
	return err
}

// Value wraps a Go value as an opaque Starlark value, so that the result of one built-in
// can be an argument of another.
type Value[T any] struct {
	V    T
	Name string // its type in scripts
}

// String implements starlark.Value, as the methods below do.
func (v Value[T]) String() string        { return v.Name + "(...)" }
func (v Value[T]) Type() string          { return v.Name }
func (v Value[T]) Freeze()               {}
func (v Value[T]) Truth() starlark.Bool  { return true }
func (v Value[T]) Hash() (uint32, error) { return 0, fmt.Errorf("%s cannot be a key", v.Name) }

// run is one evaluation of a file and of the files that it loads.
type run struct {
	builtins    starlark.StringDict
	thread      *starlark.Thread
	dir         string
	mainFile    string // file name without its folder
	read        func(name string) ([]byte, error)
	modules     map[string]*module            // by file name
	callsByPath map[string][]*syntax.CallExpr // by path, to find the position of a key
	maxSteps    uint64                        // limit, for the error message
}

// module is a loaded file. Its globals are nil while it runs.
type module struct {
	globals starlark.StringDict
	err     error
}

// load implements the load statement. It loads files of the same folder and runs each once.
func (r *run) load(_ *starlark.Thread, name string) (starlark.StringDict, error) {
	fault := func(wrong, want string) error {
		return &Error{Pos: r.thread.CallFrame(0).Pos, Key: "load", Problem: wrong, Expected: want}
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
	names := r.builtins
	tree, program, err := starlark.SourceProgramOptions(options, path, text, names.Has)
	if err != nil {
		return nil, r.scriptError(path, err)
	}
	syntax.Walk(tree, func(n syntax.Node) bool {
		if call, ok := n.(*syntax.CallExpr); ok {
			r.callsByPath[path] = append(r.callsByPath[path], call)
		}
		return true
	})
	globals, err := program.Init(r.thread, names)
	if err != nil {
		return nil, r.scriptError(path, err)
	}
	globals.Freeze()
	return globals, nil
}

// scriptError converts an error of the Starlark library to an Error.
func (r *run) scriptError(path string, err error) error {
	var scriptErr *Error
	if errors.As(err, &scriptErr) {
		return scriptErr
	}
	var syntaxErr syntax.Error
	if errors.As(err, &syntaxErr) {
		return &Error{Pos: syntaxErr.Pos, Key: "file", Problem: oneLine(syntaxErr.Msg), Expected: "Starlark"}
	}
	var resolveErrs resolve.ErrorList
	if errors.As(err, &resolveErrs) && len(resolveErrs) > 0 {
		return &Error{Pos: resolveErrs[0].Pos, Key: "file", Problem: oneLine(resolveErrs[0].Msg), Expected: "names that are defined"}
	}
	var evalErr *starlark.EvalError
	if errors.As(err, &evalErr) {
		e := &Error{Pos: syntax.MakePosition(&path, 1, 1), Key: "file", Problem: oneLine(evalErr.Msg), Expected: "a script that runs to its end"}
		for _, frame := range slices.Backward(evalErr.CallStack) {
			if frame.Pos.Line > 0 { // the innermost frame that is not a built-in
				e.Pos = frame.Pos
				break
			}
		}
		if strings.Contains(evalErr.Msg, "too many steps") {
			e.Problem = fmt.Sprintf("takes more than %d steps", r.maxSteps)
		}
		return e
	}
	return fmt.Errorf("%s: %w", path, err)
}

// oneLine puts a message on one line: those of the library may contain line breaks.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// QuoteNames formats names for an error message.
func QuoteNames(names []string) string {
	var b strings.Builder
	for i, n := range names {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%q", n)
	}
	return b.String()
}
