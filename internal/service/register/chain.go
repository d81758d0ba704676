package register

import (
	"crypto/sha256"
	"encoding/binary"
)

// Chain is a hash chain over all configuration changes up to one of them. It proves that a
// list of changes is complete: nothing is missing, nothing was added, and the order is that
// in which the changes were taken.
type Chain string

// Extend returns the chain extended by the next change.
func (c Chain) Extend(entry Entry) Chain {
	hash := sha256.New()
	hash.Write([]byte(c))
	_ = binary.Write(hash, binary.BigEndian, []int64{entry.Revision, entry.Base})
	hash.Write([]byte(entry.Digest))
	return Chain(hash.Sum(nil))
}

// ExtendAll returns the chain extended by the next changes, in order.
func (c Chain) ExtendAll(entries []Entry) Chain {
	for _, entry := range entries {
		c = c.Extend(entry)
	}
	return c
}

// extendAfter returns the chain extended by the changes with a revision above since; older
// ones precede the start of the chain.
func (c Chain) extendAfter(since int64, entries []Entry) Chain {
	for _, entry := range entries {
		if entry.Revision > since {
			c = c.Extend(entry)
		}
	}
	return c
}

// extendedChain returns the value's chain extended by a change, and the revision after which
// the chain begins. A value written before chains existed starts a chain at its own revision.
func (v *Value) extendedChain(entry Entry) (chain Chain, since int64) {
	if v.Chain == "" {
		return Chain("").Extend(entry), v.Revision
	}
	return v.Chain.Extend(entry), v.ChainSince
}
