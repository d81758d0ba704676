// Package transport carries typed requests and replies between processes as
// gob frames over TCP. One connection serves many calls at once.
package transport

import (
	"bufio"
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

// write encodes one value as a frame; it is sent by flush at the latest.
func (w *frameWriter) write(value any) error {
	w.frame.bytes = append(w.frame.bytes[:0], make([]byte, headerSize)...)
	if err := w.encoder.Encode(value); err != nil {
		return Class.Wrap(err)
	}
	size := len(w.frame.bytes) - headerSize
	if size > MaxFrame {
		return Class.New("frame of %d bytes is over the limit of %d", size, MaxFrame)
	}
	binary.BigEndian.PutUint32(w.frame.bytes, uint32(size))
	_, err := w.out.Write(w.frame.bytes)
	if cap(w.frame.bytes) > 1<<20 {
		w.frame.bytes = nil
	}
	return Class.Wrap(err)
}

func (w *frameWriter) flush() error { return Class.Wrap(w.out.Flush()) }

// frameReader is the receiving half of a connection.
type frameReader struct {
	in      *bufio.Reader
	left    int
	decoder *gob.Decoder
}

func newFrameReader(conn net.Conn) *frameReader {
	r := &frameReader{in: bufio.NewReaderSize(conn, bufferSize)}
	r.decoder = gob.NewDecoder(frameBody{r})
	return r
}

// frameBody gives the decoder the bytes of the current frame only.
type frameBody struct{ r *frameReader }

// ReadByte makes the decoder read no further than it needs.
func (b frameBody) ReadByte() (byte, error) {
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
	size := int(binary.BigEndian.Uint32(header[:]))
	if size == 0 || size > MaxFrame {
		return Class.New("frame of %d bytes is outside the limits", size)
	}
	r.left = size
	if err := r.decoder.Decode(value); err != nil {
		return Class.Wrap(err)
	}
	if r.left != 0 {
		return Class.New("%d bytes follow the value in its frame", r.left)
	}
	return nil
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
