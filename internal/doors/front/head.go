package front

import (
	"bytes"
	"strconv"
	"time"

	"yardwharf"
)

const maxPatience = time.Hour // a client's deadline further off is no deadline

// class is the place of the class that a target begins with; -1 for none.
func (f *Front) class(target []byte) int {
	path, _, _ := bytes.Cut(target, []byte("?"))
	if len(path) == 0 || path[0] != '/' {
		return -1
	}
	name, _, _ := bytes.Cut(path[1:], []byte("/"))
	for i := range f.classes {
		if string(name) == f.classes[i].Name {
			return i
		}
	}
	return -1
}

// tenant is the place of the tenant of that name; -1 where it is none of the site's.
func (f *Front) tenant(name []byte) int {
	for i := range f.tenants {
		if string(name) == f.tenants[i].Name {
			return i
		}
	}
	return -1
}

// labels reads the further figures of a request; what cannot be read is skipped.
func labels(text []byte, in *yardwharf.Request) {
	for len(text) > 0 {
		var label []byte
		label, text, _ = bytes.Cut(text, []byte(","))
		name, value, _ := bytes.Cut(bytes.TrimSpace(label), []byte("="))
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			continue
		}
		switch string(name) {
		case "slots":
			in.Slots = v
		case "memory":
			in.Memory = v
		}
	}
}
