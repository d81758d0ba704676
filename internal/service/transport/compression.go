package transport

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"

	"yardwharf/internal/service/protocol"
)

// historySize is how much of what a connection has carried helps to compress what follows. Messages repeat
// each other more than themselves.
const historySize = 4 << 10

// history is the end of what has been carried in one direction of a connection. Both ends keep the same.
type history struct{ bytes []byte }

// add appends the content of a frame.
func (h *history) add(content []byte) {
	if len(content) >= historySize {
		h.bytes = append(h.bytes[:0], content[len(content)-historySize:]...)
		return
	}
	if over := len(h.bytes) + len(content) - historySize; over > 0 {
		h.bytes = h.bytes[:copy(h.bytes, h.bytes[over:])]
	}
	h.bytes = append(h.bytes, content...)
}

// compresses reports whether the connection of two processes is compressed: that is worth its processor time
// where bytes are dear, between zones.
func compresses(a, b protocol.Identity) bool { return a.Zone != "" && b.Zone != "" && a.Zone != b.Zone }

// pack compresses the content of a frame into a buffer. It reports whether that made it shorter.
func (h *history) pack(into *bytes.Buffer, content []byte) (shorter bool, err error) {
	into.Reset()
	if err := flate.StatelessDeflate(into, content, true, h.bytes); err != nil {
		return false, Class.Wrap(err)
	}
	h.add(content)
	return into.Len() < len(content), nil
}

// inflaters are kept for reuse: each holds a window of its own.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// unpack returns the content of a compressed frame.
func (h *history) unpack(packed io.Reader) ([]byte, error) {
	inflater := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(inflater)
	if err := inflater.(flate.Resetter).Reset(packed, h.bytes); err != nil {
		return nil, Class.Wrap(err)
	}
	content, err := io.ReadAll(io.LimitReader(inflater, MaxFrame+1))
	switch {
	case err != nil:
		return nil, Class.Wrap(err)
	case len(content) > MaxFrame:
		return nil, Class.New("compressed frame is over the limit of %d bytes", MaxFrame)
	}
	h.add(content)
	return content, nil
}
