package script

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Args reads the arguments of one call. The first fault is kept and reported by
// Done; readers after it return zero values.
type Args struct {
	run   *run
	fn    string
	pos   syntax.Position // of the call
	named map[string]starlark.Value
	order []string // the keys that may be told by place
	known map[string]bool
	err   error
}

// Args takes a call's arguments; keys are those that may be told by place, in order.
func (c Call) Args(keys ...string) *Args {
	fn := c.name
	a := &Args{run: c.run, fn: fn, pos: c.run.thread.CallFrame(1).Pos, named: map[string]starlark.Value{}, order: keys, known: map[string]bool{}}
	for i, v := range c.positional {
		if i >= len(keys) {
			a.Fault(fn, fmt.Sprintf("has %d values without a key", len(c.positional)), fmt.Sprintf("%d at most", len(keys)))
			break
		}
		a.named[keys[i]] = v
	}
	for _, kv := range c.named {
		key := string(kv[0].(starlark.String))
		if _, twice := a.named[key]; twice {
			a.Fault(key, "is told twice", "one value")
		}
		a.named[key] = kv[1]
	}
	return a
}

// Pos is where the call stands.
func (a *Args) Pos() syntax.Position { return a.pos }

// at is where a key's value stands, else where the call does.
func (a *Args) at(key string) syntax.Position {
	for _, call := range a.run.calls[a.pos.Filename()] {
		if call.Lparen != a.pos {
			continue
		}
		for i, arg := range call.Args {
			if b, ok := arg.(*syntax.BinaryExpr); ok && b.Op == syntax.EQ {
				if name, ok := b.X.(*syntax.Ident); ok && name.Name == key {
					start, _ := b.Y.Span()
					return start
				}
			} else if i < len(a.order) && a.order[i] == key {
				start, _ := arg.Span()
				return start
			}
		}
		start, _ := call.Span()
		return start
	}
	return a.pos
}

// Fault books what is wrong with a key and what was expected, if it is the first.
func (a *Args) Fault(key, wrong, want string) {
	if a.err == nil {
		a.err = &Error{Pos: a.at(key), Key: key, Wrong: wrong, Want: want}
	}
}

// Value is a key's value; nil where it is left out or None.
func (a *Args) Value(key string) starlark.Value {
	a.known[key] = true
	if v := a.named[key]; v != starlark.None {
		return v
	}
	return nil
}

// Done reports the first fault: a bad value, or a key that the call does not have.
func (a *Args) Done() error {
	first := a.err
	keys := slices.Sorted(maps.Keys(a.known))
	for _, key := range slices.Sorted(maps.Keys(a.named)) {
		if !a.known[key] { // before a missing one: it may be that, misspelt
			first, a.err = nil, nil
			a.Fault(key, fmt.Sprintf("is no key of %s()", a.fn), "one of "+Quoted(keys))
			return a.err
		}
	}
	return first
}

// Need is a value that must be told.
func (a *Args) Need(key, want string) starlark.Value {
	v := a.Value(key)
	if v == nil {
		a.Fault(key, "is missing", want)
	}
	return v
}

// Str is a string; def where it is left out.
func (a *Args) Str(key, def string) string {
	v := a.Value(key)
	if v == nil {
		return def
	}
	s, ok := starlark.AsString(v)
	if !ok {
		a.Fault(key, "is "+v.Type(), "a string")
	}
	return s
}

// NeedStr is a string that must be told and not be empty.
func (a *Args) NeedStr(key string) string {
	if a.Need(key, "a string") == nil {
		return ""
	}
	s := a.Str(key, "")
	if s == "" {
		a.Fault(key, "is empty", "a string")
	}
	return s
}

// Choice is one of some words, the first where it is left out.
func (a *Args) Choice(key string, choices ...string) string {
	s := a.Str(key, choices[0])
	if !slices.Contains(choices, s) {
		a.Fault(key, fmt.Sprintf("is %q", s), "one of "+Quoted(choices))
	}
	return s
}

// Yes is True or False, the latter where it is left out.
func (a *Args) Yes(key string) bool {
	v := a.Value(key)
	if v == nil {
		return false
	}
	b, ok := v.(starlark.Bool)
	if !ok {
		a.Fault(key, "is "+v.Type(), "True or False")
	}
	return bool(b)
}

// Number is a whole number from least to most.
func (a *Args) Number(key string, def, least, most int) int {
	v := a.Value(key)
	if v == nil {
		return def
	}
	n, err := starlark.AsInt32(v)
	if err != nil || n < least || n > most {
		a.Fault(key, "is "+Short(v), fmt.Sprintf("a whole number from %d to %d", least, most))
	}
	return n
}

// Span is a time like "15s", from least to most.
func (a *Args) Span(key string, def, least, most time.Duration) time.Duration {
	v := a.Value(key)
	if v == nil {
		return def
	}
	s, _ := starlark.AsString(v)
	d, err := time.ParseDuration(s)
	if err != nil || d < least || d > most {
		a.Fault(key, "is "+Short(v), fmt.Sprintf("a time from \"%v\" to \"%v\"", least, most))
	}
	return d
}

// List is a list of anything; none where it is left out.
func (a *Args) List(key string) (out []starlark.Value) {
	v := a.Value(key)
	if v == nil {
		return nil
	}
	list, ok := v.(starlark.Iterable)
	if !ok {
		a.Fault(key, "is "+v.Type(), "a list")
		return nil
	}
	for e := range starlark.Elements(list) {
		out = append(out, e)
	}
	return out
}

// Strs is a list of strings that are not empty; none is told twice.
func (a *Args) Strs(key string) []string {
	v := a.Value(key)
	if v == nil {
		return nil
	}
	list, ok := v.(starlark.Iterable)
	if _, text := v.(starlark.String); !ok || text {
		a.Fault(key, "is "+v.Type(), "a list of strings")
		return nil
	}
	var out []string
	for e := range starlark.Elements(list) {
		s, ok := starlark.AsString(e)
		if !ok || s == "" {
			a.Fault(key, "holds "+Short(e), "strings that are not empty")
		} else if slices.Contains(out, s) {
			a.Fault(key, fmt.Sprintf("holds %q twice", s), "each name once")
		}
		out = append(out, s)
	}
	return out
}

// Addresses is one loopback or other IP address with a port, or a list of them.
func (a *Args) Addresses(key string) (out []string) {
	const want = `an address like "127.0.0.1:18000", or a list of them`
	v := a.Need(key, want)
	if s, ok := starlark.AsString(v); ok && v != nil {
		out = []string{s}
	} else if v != nil {
		out = a.Strs(key)
		if len(out) == 0 {
			a.Fault(key, "is empty", want)
		}
	}
	for _, s := range out {
		host, port, err := net.SplitHostPort(s)
		if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || host == "" {
			a.Fault(key, fmt.Sprintf("holds %q", s), want)
		} else if _, err := netip.ParseAddr(host); err != nil {
			a.Fault(key, fmt.Sprintf("holds %q, and names are not looked up", s), want)
		}
	}
	return out
}

// Short is a value as an error line shows it.
func Short(v starlark.Value) string {
	s := oneLine(v.String())
	if len(s) > 40 {
		s = s[:37] + "..."
	}
	return s
}
