// Package budget bounds the bytes that buffers of several owners hold together.
package budget

// Budget is what may be taken yet. A nil Budget has no bound.
type Budget struct{ size, left int }

// New returns a Budget of so many bytes.
func New(bytes int) *Budget { return &Budget{size: bytes, left: bytes} }

// Resize changes the bound to so many bytes. What is taken already stays so, and
// nothing more can be had until it is below.
func (b *Budget) Resize(bytes int) {
	b.left += bytes - b.size
	b.size = bytes
}

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
