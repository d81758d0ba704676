// Package budget bounds the bytes that buffers of several owners hold together.
package budget

// Budget is what may be taken yet. A nil Budget has no bound.
type Budget struct{ left int }

// New returns a Budget of so many bytes.
func New(bytes int) *Budget { return &Budget{left: bytes} }

// Take takes bytes, all of them or none, and says whether it did.
func (b *Budget) Take(n int) bool {
	if b == nil {
		return true
	}
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

// Give gives back what was taken.
func (b *Budget) Give(n int) {
	if b != nil {
		b.left += n
	}
}
