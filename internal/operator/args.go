package operator

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

// args reads the arguments of one call. The first fault is kept and reported by
// done; readers after it return zero values.
type args struct {
	run   *run
	fn    string
	pos   syntax.Position // of the call
	named map[string]starlark.Value
	order []string // the keys that may be told by place
	known map[string]bool
	err   error
}

// args takes a call's arguments; keys are the call's own in the order of places.
func (r *run) args(fn string, positional starlark.Tuple, named []starlark.Tuple, keys ...string) *args {
	a := &args{run: r, fn: fn, pos: r.thread.CallFrame(1).Pos, named: map[string]starlark.Value{}, order: keys, known: map[string]bool{}}
	for i, v := range positional {
		if i >= len(keys) {
			a.fault(fn, fmt.Sprintf("has %d values without a key", len(positional)), fmt.Sprintf("%d at most", len(keys)))
			break
		}
		a.named[keys[i]] = v
	}
	for _, kv := range named {
		key := string(kv[0].(starlark.String))
		if _, twice := a.named[key]; twice {
			a.fault(key, "is told twice", "one value")
		}
		a.named[key] = kv[1]
	}
	return a
}

// at is where a key's value stands, else where the call does.
func (a *args) at(key string) syntax.Position {
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

func (a *args) fault(key, wrong, want string) {
	if a.err == nil {
		a.err = &Error{Pos: a.at(key), Key: key, Wrong: wrong, Want: want}
	}
}

// value is a key's value; nil where it is left out or None.
func (a *args) value(key string) starlark.Value {
	a.known[key] = true
	if v := a.named[key]; v != starlark.None {
		return v
	}
	return nil
}

// done reports the first fault: a bad value, or a key that the call does not have.
func (a *args) done() error {
	first := a.err
	keys := slices.Sorted(maps.Keys(a.known))
	for _, key := range slices.Sorted(maps.Keys(a.named)) {
		if !a.known[key] { // before a missing one: it may be that, misspelt
			first, a.err = nil, nil
			a.fault(key, fmt.Sprintf("is no key of %s()", a.fn), "one of "+quoted(keys))
			return a.err
		}
	}
	return first
}

// need is a value that must be told.
func (a *args) need(key, want string) starlark.Value {
	v := a.value(key)
	if v == nil {
		a.fault(key, "is missing", want)
	}
	return v
}

func (a *args) str(key, def string) string {
	v := a.value(key)
	if v == nil {
		return def
	}
	s, ok := starlark.AsString(v)
	if !ok {
		a.fault(key, "is "+v.Type(), "a string")
	}
	return s
}

// needStr is a string that must be told and not be empty.
func (a *args) needStr(key string) string {
	if a.need(key, "a string") == nil {
		return ""
	}
	s := a.str(key, "")
	if s == "" {
		a.fault(key, "is empty", "a string")
	}
	return s
}

func (a *args) choice(key string, choices ...string) string {
	s := a.str(key, choices[0])
	if !slices.Contains(choices, s) {
		a.fault(key, fmt.Sprintf("is %q", s), "one of "+quoted(choices))
	}
	return s
}

func (a *args) yes(key string) bool {
	v := a.value(key)
	if v == nil {
		return false
	}
	b, ok := v.(starlark.Bool)
	if !ok {
		a.fault(key, "is "+v.Type(), "True or False")
	}
	return bool(b)
}

// number is a whole number from least to most.
func (a *args) number(key string, def, least, most int) int {
	v := a.value(key)
	if v == nil {
		return def
	}
	n, err := starlark.AsInt32(v)
	if err != nil || n < least || n > most {
		a.fault(key, "is "+short(v), fmt.Sprintf("a whole number from %d to %d", least, most))
	}
	return n
}

// span is a time like "15s", from least to most.
func (a *args) span(key string, def, least, most time.Duration) time.Duration {
	v := a.value(key)
	if v == nil {
		return def
	}
	s, _ := starlark.AsString(v)
	d, err := time.ParseDuration(s)
	if err != nil || d < least || d > most {
		a.fault(key, "is "+short(v), fmt.Sprintf("a time from \"%v\" to \"%v\"", least, most))
	}
	return d
}

// strs is a list of strings that are not empty; none is told twice.
func (a *args) strs(key string) []string {
	v := a.value(key)
	if v == nil {
		return nil
	}
	list, ok := v.(starlark.Iterable)
	if _, text := v.(starlark.String); !ok || text {
		a.fault(key, "is "+v.Type(), "a list of strings")
		return nil
	}
	var out []string
	for e := range starlark.Elements(list) {
		s, ok := starlark.AsString(e)
		if !ok || s == "" {
			a.fault(key, "holds "+short(e), "strings that are not empty")
		} else if slices.Contains(out, s) {
			a.fault(key, fmt.Sprintf("holds %q twice", s), "each name once")
		}
		out = append(out, s)
	}
	return out
}

// addresses is one loopback or other IP address with a port, or a list of them.
func (a *args) addresses(key string) (out []string) {
	const want = `an address like "127.0.0.1:18000", or a list of them`
	v := a.need(key, want)
	if s, ok := starlark.AsString(v); ok && v != nil {
		out = []string{s}
	} else if v != nil {
		out = a.strs(key)
		if len(out) == 0 {
			a.fault(key, "is empty", want)
		}
	}
	for _, s := range out {
		host, port, err := net.SplitHostPort(s)
		if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || host == "" {
			a.fault(key, fmt.Sprintf("holds %q", s), want)
		} else if _, err := netip.ParseAddr(host); err != nil {
			a.fault(key, fmt.Sprintf("holds %q, and names are not looked up", s), want)
		}
	}
	return out
}

// short is a value as an error line shows it.
func short(v starlark.Value) string {
	s := oneLine(v.String())
	if len(s) > 40 {
		s = s[:37] + "..."
	}
	return s
}
