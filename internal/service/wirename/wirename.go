// Package wirename gives the types that travel between processes short names. Gob writes the name of a
// value's type into each frame where it stands in an interface; the full names are longer than many messages.
package wirename

import (
	"encoding/gob"
	"strconv"
)

// base of the numbers in names.
const base = 36

// Register names values after a prefix, which differs from package to package, and their place in the list.
// A change of the order needs another protocol version.
func Register(prefix string, values ...any) {
	for i, value := range values {
		gob.RegisterName(prefix+strconv.FormatInt(int64(i), base), value)
	}
}
