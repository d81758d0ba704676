package transport

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"

	"yardwharf/internal/service/protocol"
)

// historySize is the size in bytes of the compression dictionary. It is built from earlier frames, because
// messages resemble each other more than they repeat themselves.
const historySize = 4 << 10

// history holds the last bytes sent in one direction of a connection. Both ends keep identical copies and use
// them as the compression dictionary.
type history struct{ bytes []byte }

// add appends the content of a frame and drops the oldest bytes over historySize.
func (h *history) add(content []byte) {
	if len(content) >= historySize {
		h.bytes = append(h.bytes[:0], content[len(content)-historySize:]...)
		return
	}
	if excess := len(h.bytes) + len(content) - historySize; excess > 0 {
		h.bytes = h.bytes[:copy(h.bytes, h.bytes[excess:])]
	}
	h.bytes = append(h.bytes, content...)
}

// shouldCompress reports whether the connection between two processes is compressed. Compression is worth its CPU
// time only between zones, where traffic is expensive.
func shouldCompress(a, b protocol.Identity) bool {
	return a.Zone != "" && b.Zone != "" && a.Zone != b.Zone
}

// compress compresses the content of a frame into a buffer and adds the content to the history. It reports whether
// the result is shorter.
func (h *history) compress(out *bytes.Buffer, content []byte) (shorter bool, err error) {
	out.Reset()
	if err := flate.StatelessDeflate(out, content, true, h.bytes); err != nil {
		return false, Class.Wrap(err)
	}
	h.add(content)
	return out.Len() < len(content), nil
}

// inflaters pools decompressors, because each one allocates its own window.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// decompress decompresses a frame and adds its content to the history.
func (h *history) decompress(packed io.Reader) ([]byte, error) {
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
