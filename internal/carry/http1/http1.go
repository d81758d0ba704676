// Package http1 parses HTTP/1.1 messages in place: heads, bodies of a stated
// length and chunked bodies, out of byte slices that the caller has filled. It
// does no input or output and keeps no copies.
package http1

import (
	"bytes"
	"errors"
)

// MaxHead is the longest head that is taken, in bytes.
const MaxHead = 16 << 10

const maxFields = 64

// What parsing ends with, other than a message.
var (
	ErrShort     = errors.New("http1: the message is not all there yet")
	ErrMalformed = errors.New("http1: malformed message")
	ErrTooLarge  = errors.New("http1: head too large")
)

// Field is one header field.
type Field struct{ Name, Value []byte }

// Head is a parsed head. All slices point into the bytes it was parsed from.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Fields         []Field
	Size           int   // bytes of the head, with the empty line
	Length         int64 // as in Content-Length; -1 where there is none
	Chunked        bool
	Close          bool // the connection ends after this message
}

// Get returns the value of the first field of a name, or nil.
func (h *Head) Get(name string) []byte {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return nil
}

// ParseRequest reads a request's head from the start of b.
func (h *Head) ParseRequest(b []byte) error {
	line, err := h.fields(b)
	if err != nil {
		return err
	}
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !isToken(method) || !IsVisible(target) || !h.version(version) {
		return ErrMalformed
	}
	h.Method, h.Target = method, target
	return nil
}

// ParseResponse reads a response's head from the start of b.
func (h *Head) ParseResponse(b []byte) error {
	line, err := h.fields(b)
	if err != nil {
		return err
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if len(rest) < 3 || len(rest) > 3 && rest[3] != ' ' || !h.version(version) {
		return ErrMalformed
	}
	h.Status = 0
	for _, c := range rest[:3] {
		if c < '0' || c > '9' {
			return ErrMalformed
		}
		h.Status = 10*h.Status + int(c-'0')
	}
	if h.Status < 100 {
		return ErrMalformed
	}
	return nil
}

// version checks the protocol's version; HTTP/1.0 closes unless told otherwise.
func (h *Head) version(v []byte) bool {
	switch string(v) {
	case "HTTP/1.1":
		return true
	case "HTTP/1.0":
		h.Close = h.Close || !equalFold(h.Get("Connection"), "keep-alive")
		return true
	}
	return false
}

// fields finds the end of the head, reads its fields and returns the first line.
func (h *Head) fields(b []byte) ([]byte, error) {
	skipped := 0 // an empty line before a message is no harm
	for skipped < 4 && len(b) >= 2 && b[0] == '\r' && b[1] == '\n' {
		b, skipped = b[2:], skipped+2
	}
	end := bytes.Index(b[:min(len(b), MaxHead)], []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) >= MaxHead {
			return nil, ErrTooLarge
		}
		return nil, ErrShort
	}
	*h = Head{Fields: h.Fields[:0], Size: skipped + end + 4, Length: -1}
	first, rest, _ := bytes.Cut(b[:end+2], []byte("\r\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, found := bytes.Cut(line, []byte(":"))
		value = bytes.Trim(value, " \t")
		if value == nil { // there, and empty: Get tells that from a field that is not
			value = []byte{}
		}
		if !found || !isToken(name) || !isValue(value) {
			return nil, ErrMalformed
		}
		if len(h.Fields) == maxFields {
			return nil, ErrTooLarge
		}
		h.Fields = append(h.Fields, Field{name, value})
		if !h.framing(name, value) {
			return nil, ErrMalformed
		}
	}
	if h.Chunked && h.Length >= 0 { // two framings: not to be guessed at
		return nil, ErrMalformed
	}
	return first, nil
}

// framing takes note of a field that says where the message ends.
func (h *Head) framing(name, value []byte) bool {
	switch {
	case equalFold(name, "Content-Length"):
		n, ok := digits(value)
		if !ok || h.Length >= 0 { // repeated: not to be guessed at
			return false
		}
		h.Length = n
	case equalFold(name, "Transfer-Encoding"):
		if h.Chunked || !equalFold(value, "chunked") {
			return false
		}
		h.Chunked = true
	case equalFold(name, "Connection"):
		for len(value) > 0 {
			var option []byte
			option, value, _ = bytes.Cut(value, []byte(","))
			h.Close = h.Close || equalFold(bytes.Trim(option, " \t"), "close")
		}
	}
	return true
}

// digits reads a decimal number of at most 15 digits.
func digits(b []byte) (n int64, ok bool) {
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = 10*n + int64(c-'0')
	}
	return n, len(b) > 0 && len(b) <= 15
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
			bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0) {
			return false
		}
	}
	return len(b) > 0
}

// IsVisible says whether text is there and all of it is printable ASCII without
// spaces, which every receiver reads alike.
func IsVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0
}

func isValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// equalFold compares with an ASCII name, whatever the case.
func equalFold(b []byte, name string) bool {
	if len(b) != len(name) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(name[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	return c
}
