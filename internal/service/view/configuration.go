package view

import (
	"bytes"
	"time"
)

// ConfigurationDifference is the difference between two configurations with the same operator configuration,
// which makes up most of the bytes. It carries only the stores and members.
type ConfigurationDifference struct {
	Sequence uint64

	StoresChanged uint64

	Stores  []Node
	Members []Node
}

// maxNodeBytes bounds the encoded size of a store or a control member.
const maxNodeBytes = 500

// MaxEncodedBytes returns an upper bound of the configuration's size in a frame.
func (c Configuration) MaxEncodedBytes() int {
	return len(c.Raw) + maxNodeBytes*(len(c.Stores)+len(c.Members))
}

// Difference returns the difference from an earlier value to this one, or false if the operator's
// configuration has changed.
func (c Configuration) Difference(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(Configuration)
	if !ok || base.Revision != c.Revision || !bytes.Equal(base.Raw, c.Raw) {
		return nil, false
	}
	return ConfigurationDifference{c.Sequence, c.StoresChanged, c.Stores, c.Members}, true
}

// Apply returns the result of applying the difference to an earlier value.
func (d ConfigurationDifference) Apply(earlier any, _ time.Duration) (any, bool) {
	base, ok := earlier.(Configuration)
	if !ok {
		return nil, false
	}
	base.Sequence, base.StoresChanged, base.Stores, base.Members = d.Sequence, d.StoresChanged, d.Stores, d.Members
	return base, true
}
