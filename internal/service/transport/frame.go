// Package transport carries typed requests and replies between processes as
// gob frames over TCP. One connection serves many calls at once.
package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"yardwharf/internal/service/protocol"
)

// Class is the class of this package's errors.
var Class = errs.Class("transport")

// MaxFrame is the maximum size of a frame in bytes, before and after decompression.
const MaxFrame = 8 << 20

// frameTooLargeError reports a value that does not fit into a frame. Nothing of it was written, and the connection
// can be used further.
type frameTooLargeError struct{ size int }

// Error implements error.
func (e *frameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is over the limit of %d", e.size, MaxFrame)
}

const (
	headerSize        = 4
	compressedFlag    = 1 << 31 // flag bit in the size field of a frame
	restartFlag       = 1 << 30 // flag bit in the size field: the frame begins a new gob stream
	maxRetainedBuffer = 1 << 20 // larger buffers are released after use
	inflateBufferSize = 512
	bufferSize        = 16 << 10
	userTimeout       = 3 * time.Second
	keepAliveInterval = 5 * time.Second
)

// hello is the first frame in each direction of a connection.
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

	unsent error // why the request was not sent; not encoded
}

// frameWriter is the sending half of a connection.
type frameWriter struct {
	out        *bufio.Writer
	frame      frameBuffer
	encoder    *gob.Encoder
	history    *history // nil: frames are not compressed
	compressed bytes.Buffer

	restarted bool // the encoder is new: the next frame begins a new gob stream
}

// frameBuffer collects the encoder's output for one frame.
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

// enableCompression turns on compression for all later frames.
func (w *frameWriter) enableCompression() { w.history = &history{} }

// write encodes one value as a frame. The frame may stay buffered until flush. A value that does not fit into a frame
// results in a frameTooLargeError.
func (w *frameWriter) write(value any) error {
	defer w.dropLargeBuffers()
	w.frame.bytes = w.frame.bytes[:0]
	if err := w.encoder.Encode(value); err != nil {
		return Class.Wrap(err)
	}
	content, flag := w.frame.bytes, uint32(0)
	if len(content) > MaxFrame {
		w.restart()
		return &frameTooLargeError{len(content)}
	}
	if w.history != nil {
		shorter, err := w.history.compress(&w.compressed, content)
		if err != nil {
			return err
		}
		if shorter {
			content, flag = w.compressed.Bytes(), compressedFlag
		}
	}
	if w.restarted {
		w.restarted = false
		flag |= restartFlag
	}
	return Class.Wrap(w.writeFrame(content, flag))
}

// restart begins a new gob stream, because the receiver has not got the type definitions that the encoder has just
// written.
func (w *frameWriter) restart() {
	w.encoder = gob.NewEncoder(&w.frame)
	w.restarted = true
}

func (w *frameWriter) writeFrame(content []byte, flag uint32) error {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(content))|flag)
	if _, err := w.out.Write(header[:]); err != nil {
		return err
	}
	_, err := w.out.Write(content)
	return err
}

// dropLargeBuffers releases the memory that a large frame took.
func (w *frameWriter) dropLargeBuffers() {
	if cap(w.frame.bytes) > maxRetainedBuffer {
		w.frame.bytes = nil
	}
	if w.compressed.Cap() > maxRetainedBuffer {
		w.compressed = bytes.Buffer{}
	}
}

func (w *frameWriter) flush() error { return Class.Wrap(w.out.Flush()) }

// frameReader is the receiving half of a connection.
type frameReader struct {
	in        *bufio.Reader
	remaining int    // bytes of the current frame not yet read from the connection
	content   []byte // rest of the current frame's content; used only if compression is on
	decoder   *gob.Decoder
	history   *history // nil: frames are not compressed
}

func newFrameReader(conn net.Conn) *frameReader {
	r := &frameReader{in: bufio.NewReaderSize(conn, bufferSize)}
	r.decoder = gob.NewDecoder(frameBody{r})
	return r
}

// enableCompression allows compressed frames from the next frame on.
func (r *frameReader) enableCompression() { r.history = &history{} }

// frameBody limits the decoder to the bytes of the current frame.
type frameBody struct{ r *frameReader }

// ReadByte implements io.ByteReader, so that the decoder does not buffer its input.
func (b frameBody) ReadByte() (byte, error) {
	if len(b.r.content) > 0 {
		c := b.r.content[0]
		b.r.content = b.r.content[1:]
		return c, nil
	}
	if b.r.remaining == 0 {
		return 0, Class.New("value runs over the end of its frame")
	}
	c, err := b.r.in.ReadByte()
	if err == nil {
		b.r.remaining--
	}
	return c, err
}

func (b frameBody) Read(p []byte) (int, error) {
	if len(b.r.content) > 0 {
		n := copy(p, b.r.content)
		b.r.content = b.r.content[n:]
		return n, nil
	}
	if b.r.remaining == 0 {
		return 0, Class.New("value runs over the end of its frame")
	}
	n, err := b.r.in.Read(p[:min(len(p), b.r.remaining)])
	b.r.remaining -= n
	return n, err
}

// read decodes the next frame into value.
func (r *frameReader) read(value any) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return err
	}
	word := binary.BigEndian.Uint32(header[:])
	size, compressed := int(word&^(compressedFlag|restartFlag)), word&compressedFlag != 0
	if size == 0 || size > MaxFrame || compressed && r.history == nil {
		return Class.New("frame of %d bytes is outside the limits", size)
	}
	r.remaining = size
	if word&restartFlag != 0 {
		r.decoder = gob.NewDecoder(frameBody{r})
	}
	if r.history != nil {
		if err := r.readContent(compressed); err != nil {
			return err
		}
	}
	if err := r.decoder.Decode(value); err != nil {
		return Class.Wrap(err)
	}
	if r.remaining+len(r.content) != 0 {
		return Class.New("%d bytes follow the value in its frame", r.remaining+len(r.content))
	}
	return nil
}

// readContent reads the whole frame, decompresses it if needed, and adds it to the history.
func (r *frameReader) readContent(compressed bool) (err error) {
	frame := io.LimitReader(r.in, int64(r.remaining))
	if compressed {
		r.content, err = r.history.decompress(bufio.NewReaderSize(frame, inflateBufferSize))
		if err == nil {
			_, err = io.Copy(io.Discard, frame)
		}
	} else if r.content, err = io.ReadAll(frame); err == nil {
		r.history.add(r.content)
	}
	if err == nil && len(r.content) == 0 {
		err = Class.New("frame without content")
	}
	r.remaining = 0
	return err
}

// setTCPTimeouts sets the TCP timeouts that bound how long a connection to an unresponsive host stays open.
func setTCPTimeouts(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAlivePeriod(keepAliveInterval)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}
