package http1

import "bytes"

const (
	maxChunkLine = 256     // a chunk's size with its extensions, or a trailer's line
	maxTrailers  = 64      // lines behind the last chunk
	maxChunk     = 1 << 30 // a chunk's announced size
)

type phase uint8

const (
	atEnd phase = iota
	inLength
	toClose // until the connection ends
	atChunkSize
	inChunk
	afterChunk
	inTrailer
)

// Body follows the framing of a body through the bytes as they come.
type Body struct {
	phase    phase
	left     int64
	trailers int
}

// Request begins the body of a request.
func (d *Body) Request(h *Head) { d.begin(h, atEnd) }

// Response begins the body of a response to anything but HEAD.
func (d *Body) Response(h *Head) {
	if h.Status == 204 || h.Status == 304 || h.Status < 200 {
		*d = Body{}
		return
	}
	d.begin(h, toClose)
}

func (d *Body) begin(h *Head, unframed phase) {
	*d = Body{phase: unframed}
	switch {
	case h.Chunked:
		d.phase = atChunkSize
	case h.Length > 0:
		d.phase, d.left = inLength, h.Length
	case h.Length == 0:
		d.phase = atEnd
	}
}

// Done says whether the body has ended.
func (d *Body) Done() bool { return d.phase == atEnd }

// ToClose says whether the body ends only with the connection.
func (d *Body) ToClose() bool { return d.phase == toClose }

// Next takes what it can from the start of b: n bytes are used up, and data is
// the part of them that is content. It is to be called until it uses nothing.
func (d *Body) Next(b []byte) (data []byte, n int, err error) {
	for len(b) > n && data == nil {
		rest := b[n:]
		switch d.phase {
		case atEnd:
			return data, n, nil
		case toClose:
			return rest, len(b), nil
		case inLength, inChunk:
			k := int(min(d.left, int64(len(rest))))
			data, n = rest[:k], n+k
			if d.left -= int64(k); d.left == 0 {
				if d.phase == inLength {
					d.phase = atEnd
				} else {
					d.phase = afterChunk
				}
			}
		default:
			line, used, err := cutLine(rest)
			if err != nil || used == 0 {
				return nil, n, err
			}
			n += used
			if err := d.line(line); err != nil {
				return nil, n, err
			}
		}
	}
	return data, n, nil
}

// line takes a line of the chunked framing.
func (d *Body) line(line []byte) error {
	switch d.phase {
	case atChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, ok := hex(bytes.TrimRight(size, " \t"))
		if !ok {
			return ErrMalformed
		}
		if d.phase, d.left = inChunk, n; n == 0 {
			d.phase = inTrailer
		}
	case afterChunk:
		if len(line) > 0 {
			return ErrMalformed
		}
		d.phase = atChunkSize
	case inTrailer:
		if d.trailers++; d.trailers > maxTrailers {
			return ErrTooLarge
		}
		if len(line) == 0 {
			d.phase = atEnd
		}
	}
	return nil
}

// cutLine returns the first line of b without its end, and the bytes it takes;
// none where the line is not all there yet.
func cutLine(b []byte) (line []byte, used int, err error) {
	i := bytes.IndexByte(b[:min(len(b), maxChunkLine)], '\n')
	switch {
	case i < 0 && len(b) >= maxChunkLine:
		return nil, 0, ErrMalformed
	case i < 0:
		return nil, 0, nil
	case i == 0 || b[i-1] != '\r':
		return nil, 0, ErrMalformed
	}
	return b[:i-1], i + 1, nil
}

// hex reads a hexadecimal number within the largest chunk size.
func hex(b []byte) (n int64, ok bool) {
	for _, c := range b {
		switch {
		case '0' <= c && c <= '9':
			n = n<<4 | int64(c-'0')
		case 'a' <= lower(c) && lower(c) <= 'f':
			n = n<<4 | int64(lower(c)-'a'+10)
		default:
			return 0, false
		}
		if n > maxChunk {
			return 0, false
		}
	}
	return n, len(b) > 0
}
