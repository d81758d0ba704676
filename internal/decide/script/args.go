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

// Args reads the arguments of one call. It keeps the first error, which Err returns.
// A method that reads an invalid argument returns an unspecified value.
type Args struct {
	run            *run
	function       string
	pos            syntax.Position           // of the call
	values         map[string]starlark.Value // the arguments by key, positional ones as well
	positionalKeys []string                  // keys of the positional arguments
	readKeys       map[string]bool           // keys that were read: those that the call has
	err            error
}

// Args returns the arguments of a call. keys are those that may be passed by position, in order.
func (c Call) Args(keys ...string) *Args {
	fn := c.name
	a := &Args{run: c.run, function: fn, pos: c.run.thread.CallFrame(1).Pos, values: map[string]starlark.Value{}, positionalKeys: keys, readKeys: map[string]bool{}}
	for i, v := range c.positional {
		if i >= len(keys) {
			a.RecordError(fn, fmt.Sprintf("has %d positional arguments", len(c.positional)), fmt.Sprintf("%d at most", len(keys)))
			break
		}
		a.values[keys[i]] = v
	}
	for _, kv := range c.named {
		key := string(kv[0].(starlark.String))
		if _, duplicate := a.values[key]; duplicate {
			a.RecordError(key, "is given twice", "one value")
		}
		a.values[key] = kv[1]
	}
	return a
}

// Pos returns the position of the call.
func (a *Args) Pos() syntax.Position { return a.pos }

// positionOf returns the position of a key's value if there is one, else that of the call.
func (a *Args) positionOf(key string) syntax.Position {
	for _, call := range a.run.callsByPath[a.pos.Filename()] {
		if call.Lparen != a.pos {
			continue
		}
		for i, arg := range call.Args {
			if b, ok := arg.(*syntax.BinaryExpr); ok && b.Op == syntax.EQ {
				if name, ok := b.X.(*syntax.Ident); ok && name.Name == key {
					start, _ := b.Y.Span()
					return start
				}
			} else if i < len(a.positionalKeys) && a.positionalKeys[i] == key {
				start, _ := arg.Span()
				return start
			}
		}
		start, _ := call.Span()
		return start
	}
	return a.pos
}

// RecordError records what is wrong with a key and what was expected, unless an error was
// recorded before.
func (a *Args) RecordError(key, wrong, want string) {
	if a.err == nil {
		a.err = &Error{Pos: a.positionOf(key), Key: key, Problem: wrong, Expected: want}
	}
}

// Value returns the value of a key; nil if it is omitted or None.
func (a *Args) Value(key string) starlark.Value {
	a.readKeys[key] = true
	if v := a.values[key]; v != starlark.None {
		return v
	}
	return nil
}

// Err returns an error for a key that the call does not have, else the first error
// recorded. Call it after all keys have been read.
func (a *Args) Err() error {
	first := a.err
	keys := slices.Sorted(maps.Keys(a.readKeys))
	for _, key := range slices.Sorted(maps.Keys(a.values)) {
		if !a.readKeys[key] { // reported before a missing key, which this may be, misspelt
			first, a.err = nil, nil
			a.RecordError(key, fmt.Sprintf("is no key of %s()", a.function), "one of "+QuoteNames(keys))
			return a.err
		}
	}
	return first
}

// Required returns the value of a required key.
func (a *Args) Required(key, want string) starlark.Value {
	v := a.Value(key)
	if v == nil {
		a.RecordError(key, "is missing", want)
	}
	return v
}

// StringOr returns a string; def if it is omitted.
func (a *Args) StringOr(key, def string) string {
	v := a.Value(key)
	if v == nil {
		return def
	}
	s, ok := starlark.AsString(v)
	if !ok {
		a.RecordError(key, "is "+v.Type(), "a string")
	}
	return s
}

// RequiredString returns a required string, which must not be empty.
func (a *Args) RequiredString(key string) string {
	if a.Required(key, "a string") == nil {
		return ""
	}
	s := a.StringOr(key, "")
	if s == "" {
		a.RecordError(key, "is empty", "a string")
	}
	return s
}

// Choice returns one of some words; the first one if it is omitted.
func (a *Args) Choice(key string, choices ...string) string {
	s := a.StringOr(key, choices[0])
	if !slices.Contains(choices, s) {
		a.RecordError(key, fmt.Sprintf("is %q", s), "one of "+QuoteNames(choices))
	}
	return s
}

// Bool returns a Boolean; false if it is omitted.
func (a *Args) Bool(key string) bool {
	v := a.Value(key)
	if v == nil {
		return false
	}
	b, ok := v.(starlark.Bool)
	if !ok {
		a.RecordError(key, "is "+v.Type(), "True or False")
	}
	return bool(b)
}

// Int returns an integer from least to most; def if it is omitted.
func (a *Args) Int(key string, def, least, most int) int {
	v := a.Value(key)
	if v == nil {
		return def
	}
	n, err := starlark.AsInt32(v)
	if err != nil || n < least || n > most {
		a.RecordError(key, "is "+FormatValue(v), fmt.Sprintf("a whole number from %d to %d", least, most))
	}
	return n
}

// Duration returns a duration like "15s", from least to most; def if it is omitted.
func (a *Args) Duration(key string, def, least, most time.Duration) time.Duration {
	v := a.Value(key)
	if v == nil {
		return def
	}
	s, _ := starlark.AsString(v)
	d, err := time.ParseDuration(s)
	if err != nil || d < least || d > most {
		a.RecordError(key, "is "+FormatValue(v), fmt.Sprintf("a time from \"%v\" to \"%v\"", least, most))
	}
	return d
}

// List returns a list of any values; nil if it is omitted.
func (a *Args) List(key string) (out []starlark.Value) {
	v := a.Value(key)
	if v == nil {
		return nil
	}
	list, ok := v.(starlark.Iterable)
	if !ok {
		a.RecordError(key, "is "+v.Type(), "a list")
		return nil
	}
	for e := range starlark.Elements(list) {
		out = append(out, e)
	}
	return out
}

// Strings returns a list of distinct, non-empty strings; nil if it is omitted.
func (a *Args) Strings(key string) []string {
	v := a.Value(key)
	if v == nil {
		return nil
	}
	list, ok := v.(starlark.Iterable)
	if _, isString := v.(starlark.String); !ok || isString {
		a.RecordError(key, "is "+v.Type(), "a list of strings")
		return nil
	}
	var out []string
	for e := range starlark.Elements(list) {
		s, ok := starlark.AsString(e)
		if !ok || s == "" {
			a.RecordError(key, "holds "+FormatValue(e), "strings that are not empty")
		} else if slices.Contains(out, s) {
			a.RecordError(key, fmt.Sprintf("holds %q twice", s), "each name once")
		}
		out = append(out, s)
	}
	return out
}

// Addresses returns the IP addresses with ports of a required key, whose value is one
// address or a list of them.
func (a *Args) Addresses(key string) (out []string) {
	const want = `an address like "127.0.0.1:18000", or a list of them`
	v := a.Required(key, want)
	if s, ok := starlark.AsString(v); ok && v != nil {
		out = []string{s}
	} else if v != nil {
		out = a.Strings(key)
		if len(out) == 0 {
			a.RecordError(key, "is empty", want)
		}
	}
	for _, s := range out {
		host, port, err := net.SplitHostPort(s)
		if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 || host == "" {
			a.RecordError(key, fmt.Sprintf("holds %q", s), want)
		} else if _, err := netip.ParseAddr(host); err != nil {
			a.RecordError(key, fmt.Sprintf("holds %q, and names are not looked up", s), want)
		}
	}
	return out
}

// FormatValue formats a value for an error message, in 40 bytes at most.
func FormatValue(v starlark.Value) string {
	s := oneLine(v.String())
	if len(s) > 40 {
		s = s[:37] + "..."
	}
	return s
}
