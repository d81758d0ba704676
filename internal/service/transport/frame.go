// Package transport carries typed requests and replies between processes as
// gob frames over TCP. One connection serves many calls at once.
package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"yardwharf/internal/service/protocol"
)

// Class is the class of errors that this package makes.
var Class = errs.Class("transport")

// MaxFrame is the size of the largest frame that is read.
const MaxFrame = 8 << 20

const (
	headerSize     = 4
	compressedMark = 1 << 31 // in the size of a frame
	keptBuffer     = 1 << 20 // larger buffers are given back
	smallBuffer    = 512
	bufferSize     = 16 << 10
	userTimeout    = 3 * time.Second
	keepAliveEvery = 5 * time.Second
)

// hello opens a connection in both directions.
type hello struct {
	Version  int
	Identity protocol.Identity
}

// envelope is the content of every other frame.
type envelope struct {
	Call  uint64
	Reply bool
	Error string
	Body  any
}

// frameWriter is the sending half of a connection.
type frameWriter struct {
	out     *bufio.Writer
	frame   frameBuffer
	encoder *gob.Encoder
	history *history // nil: frames are not compressed
	packed  bytes.Buffer
}

// frameBuffer collects what the encoder writes for one frame.
type frameBuffer struct{ bytes []byte }

func (b *frameBuffer) Write(p []byte) (int, error) {
	b.bytes = append(b.bytes, p...)
	return len(p), nil
}

func newFrameWriter(conn net.Conn) *frameWriter {
	w := &frameWriter{out: bufio.NewWriterSize(conn, bufferSize)}
	w.encoder = gob.NewEncoder(&w.frame)
	return w
}

// compress has all later frames compressed.
func (w *frameWriter) compress() { w.history = &history{} }

// write encodes one value as a frame; it is sent by flush at the latest.
func (w *frameWriter) write(value any) error {
	w.frame.bytes = w.frame.bytes[:0]
	if err := w.encoder.Encode(value); err != nil {
		return Class.Wrap(err)
	}
	content, mark := w.frame.bytes, uint32(0)
	if len(content) > MaxFrame {
		return Class.New("frame of %d bytes is over the limit of %d", len(content), MaxFrame)
	}
	if w.history != nil {
		shorter, err := w.history.pack(&w.packed, content)
		if err != nil {
			return err
		}
		if shorter {
			content, mark = w.packed.Bytes(), compressedMark
		}
	}
	err := w.writeFrame(content, mark)
	w.dropLargeBuffers()
	return Class.Wrap(err)
}

func (w *frameWriter) writeFrame(content []byte, mark uint32) error {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(content))|mark)
	if _, err := w.out.Write(header[:]); err != nil {
		return err
	}
	_, err := w.out.Write(content)
	return err
}

// dropLargeBuffers gives the memory of a large frame back.
func (w *frameWriter) dropLargeBuffers() {
	if cap(w.frame.bytes) > keptBuffer {
		w.frame.bytes = nil
	}
	if w.packed.Cap() > keptBuffer {
		w.packed = bytes.Buffer{}
	}
}

func (w *frameWriter) flush() error { return Class.Wrap(w.out.Flush()) }

// frameReader is the receiving half of a connection.
type frameReader struct {
	in      *bufio.Reader
	left    int    // bytes of the current frame that are still in the connection
	content []byte // of the current frame where it is compressed, or all frames may be
	decoder *gob.Decoder
	history *history // nil: frames are not compressed
}

func newFrameReader(conn net.Conn) *frameReader {
	r := &frameReader{in: bufio.NewReaderSize(conn, bufferSize)}
	r.decoder = gob.NewDecoder(frameBody{r})
	return r
}

// compress has all later frames taken for compressed ones.
func (r *frameReader) compress() { r.history = &history{} }

// frameBody gives the decoder the bytes of the current frame only.
type frameBody struct{ r *frameReader }

// ReadByte makes the decoder read no further than it needs.
func (b frameBody) ReadByte() (byte, error) {
	if len(b.r.content) > 0 {
		c := b.r.content[0]
		b.r.content = b.r.content[1:]
		return c, nil
	}
	if b.r.left == 0 {
		return 0, Class.New("value runs over the end of its frame")
	}
	c, err := b.r.in.ReadByte()
	if err == nil {
		b.r.left--
	}
	return c, err
}

func (b frameBody) Read(p []byte) (int, error) {
	if len(b.r.content) > 0 {
		n := copy(p, b.r.content)
		b.r.content = b.r.content[n:]
		return n, nil
	}
	if b.r.left == 0 {
		return 0, Class.New("value runs over the end of its frame")
	}
	n, err := b.r.in.Read(p[:min(len(p), b.r.left)])
	b.r.left -= n
	return n, err
}

// read decodes the next frame into value.
func (r *frameReader) read(value any) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return err
	}
	word := binary.BigEndian.Uint32(header[:])
	size, compressed := int(word&^compressedMark), word&compressedMark != 0
	if size == 0 || size > MaxFrame || compressed && r.history == nil {
		return Class.New("frame of %d bytes is outside the limits", size)
	}
	r.left = size
	if r.history != nil {
		if err := r.readContent(compressed); err != nil {
			return err
		}
	}
	if err := r.decoder.Decode(value); err != nil {
		return Class.Wrap(err)
	}
	if r.left+len(r.content) != 0 {
		return Class.New("%d bytes follow the value in its frame", r.left+len(r.content))
	}
	return nil
}

// readContent reads the whole content of a frame.
func (r *frameReader) readContent(compressed bool) (err error) {
	frame := io.LimitReader(r.in, int64(r.left))
	if compressed {
		r.content, err = r.history.unpack(bufio.NewReaderSize(frame, smallBuffer))
		if err == nil {
			_, err = io.Copy(io.Discard, frame)
		}
	} else if r.content, err = io.ReadAll(frame); err == nil {
		r.history.add(r.content)
	}
	if err == nil && len(r.content) == 0 {
		err = Class.New("frame without content")
	}
	r.left = 0
	return err
}

// tune bounds how long a connection to a silent host stays open.
func tune(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAlivePeriod(keepAliveEvery)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}
