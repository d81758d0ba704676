// Package wirename registers short gob names for the types that processes exchange. Gob writes the type name of
// each value held in an interface into the frame, and the full names are longer than many messages.
package wirename

import (
	"encoding/gob"
	"strconv"
)

// numberBase is the base of the numbers in registered names.
const numberBase = 36

// Register names the types of values by a prefix, which is unique to each package, and their index in the list.
// A change of the order requires a new protocol version.
func Register(prefix string, values ...any) {
	for i, value := range values {
		gob.RegisterName(prefix+strconv.FormatInt(int64(i), numberBase), value)
	}
}
