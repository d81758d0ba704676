package view

import (
	"bytes"
	"time"
)

// ConfigurationDifference leads to a value of the register with the same configuration of the operator,
// which is most of its bytes: stores and members have changed.
type ConfigurationDifference struct {
	Sequence uint64

	StoresChanged uint64

	Stores  []Node
	Members []Node
}

// Difference returns what leads from an earlier value to this one, or false where the operator's
// configuration has changed.
func (c Configuration) Difference(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(Configuration)
	if !ok || base.Revision != c.Revision || !bytes.Equal(base.Raw, c.Raw) {
		return nil, false
	}
	return ConfigurationDifference{c.Sequence, c.StoresChanged, c.Stores, c.Members}, true
}

// Apply returns the value that follows from an earlier one.
func (d ConfigurationDifference) Apply(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(Configuration)
	if !ok {
		return nil, false
	}
	base.Sequence, base.StoresChanged, base.Stores, base.Members = d.Sequence, d.StoresChanged, d.Stores, d.Members
	return base, true
}
