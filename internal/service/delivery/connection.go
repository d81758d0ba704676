package delivery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/sys/unix"
)

const (
	readerSize       = 4096
	copyBody         = 32 << 10 // smaller bodies are written together with the head
	answerMost       = 1 << 20  // bytes of an answer's body
	interimMost      = 5        // answers 1xx before the final one
	carriedMost      = 256      // messages on one connection
	unackedMost      = 3 * time.Second
	defaultIdle      = 4 * time.Second // where the sender tells no Keep-Alive
	idlePart         = 0.8             // of the time after which the sender closes
	idleMargin       = 50 * time.Millisecond
	longestIdle      = time.Minute
	keepAliveTimeout = "timeout="
)

// dialTCP opens a connection that fails soon when its peer falls silent.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMost.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// connection is a connection to a sender. One goroutine uses it at a time.
type connection struct {
	raw     net.Conn
	address string
	reader  *bufio.Reader
	reused  bool
	carried []uint64 // hashes of the messages that it carried
	// received tells whether bytes have come since it was set to false.
	received bool
	idleFor  time.Duration
	expires  time.Time // when it has been idle for too long
}

func newConnection(raw net.Conn, address string) *connection {
	c := &connection{raw: raw, address: address}
	c.reader = bufio.NewReaderSize(notingReader{c}, readerSize)
	return c
}

// notingReader reads from a connection and notes on it that bytes have come.
type notingReader struct{ connection *connection }

func (r notingReader) Read(buffer []byte) (int, error) {
	n, err := r.connection.raw.Read(buffer)
	r.connection.received = r.connection.received || n > 0
	return n, err
}

func (c *connection) close() { _ = c.raw.Close() }

var hashSeed = maphash.MakeSeed()

// hasCarried reports whether the connection carried a message before: a late
// second answer to that attempt would pass for that to another one.
func (c *connection) hasCarried(id string) bool {
	return slices.Contains(c.carried, maphash.String(hashSeed, id))
}

// noteCarried notes that the connection carries a message.
func (c *connection) noteCarried(id string) {
	c.carried = append(c.carried, maphash.String(hashSeed, id))
}

// quiet reports whether an idle connection is open and nothing came on it.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// writable reports whether the parts of a request can be written as they are.
func (r *Request) writable() bool {
	return r.Head.ID != "" && validToken(r.Head.Method) && r.Head.Target != "" &&
		!strings.ContainsFunc(r.Head.Target, func(c rune) bool { return c <= ' ' || c == 0x7f }) &&
		httpguts.ValidHostHeader(r.Head.Host) &&
		httpguts.ValidHeaderFieldValue(r.Head.ID) &&
		httpguts.ValidHeaderFieldValue(r.Head.OrderingKey) &&
		httpguts.ValidHeaderFieldValue(r.Head.ContentType) &&
		httpguts.ValidHeaderFieldValue(r.Instance)
}

func validToken(s string) bool { return httpguts.ValidHeaderFieldName(s) }

var buffers = sync.Pool{New: func() any { return new([]byte) }}

// write sends the request. It returns how many bytes were written.
func (c *connection) write(request *Request, left time.Duration) (int64, error) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	*buffer = request.appendHead((*buffer)[:0], left)
	if len(request.Body) <= copyBody {
		*buffer = append(*buffer, request.Body...)
		n, err := c.raw.Write(*buffer)
		return int64(n), err
	}
	parts := net.Buffers{*buffer, request.Body}
	return parts.WriteTo(c.raw)
}

// appendHead writes the request's head.
func (r *Request) appendHead(to []byte, left time.Duration) []byte {
	to = append(to, r.Head.Method...)
	to = append(to, ' ')
	to = append(to, r.Head.Target...)
	to = append(to, " HTTP/1.1\r\n"...)
	to = appendHeader(to, "Host", r.Head.Host)
	to = appendHeader(to, headerRequestID, r.Head.ID)
	if r.Head.OrderingKey != "" {
		to = appendHeader(to, headerOrderingKey, r.Head.OrderingKey)
	}
	if r.Head.ContentType != "" {
		to = appendHeader(to, "Content-Type", r.Head.ContentType)
	}
	if r.Instance != "" {
		to = appendHeader(to, headerTargetInstance, r.Instance)
	}
	to = appendNumber(to, headerDeadline, max(1, left.Milliseconds()))
	if len(r.Body) > 0 || r.Head.Method == http.MethodPost || r.Head.Method == http.MethodPut || r.Head.Method == http.MethodPatch {
		to = appendNumber(to, "Content-Length", int64(len(r.Body)))
	}
	return append(to, "\r\n"...)
}

func appendHeader(to []byte, name, value string) []byte {
	to = append(to, name...)
	to = append(to, ": "...)
	to = append(to, value...)
	return append(to, "\r\n"...)
}

func appendNumber(to []byte, name string, value int64) []byte {
	to = append(to, name...)
	to = append(to, ": "...)
	to = strconv.AppendInt(to, value, 10)
	return append(to, "\r\n"...)
}

// read reads the final answer to a request, whole. Second answers to earlier messages
// of the connection may come before it, however late: they are passed over.
func (c *connection) read(request *Request) (*answer, error) {
	var passedOver error
	for {
		response, err := c.readHead(request.Head.Method)
		if err != nil {
			return nil, errors.Join(passedOver, err)
		}
		if response.Header.Get(headerRequestID) == request.Head.ID {
			a := c.readAnswer(response)
			a.reusable = a.reusable && passedOver == nil
			return a, nil
		}
		passedOver = foreign(response)
		if !c.hasCarried(response.Header.Get(headerRequestID)) || readBody(response) != nil {
			return nil, passedOver
		}
	}
}

// readHead reads the head of a final answer.
func (c *connection) readHead(method string) (*http.Response, error) {
	asked := &http.Request{Method: method}
	for range interimMost + 1 {
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil || response.StatusCode/100 != 1 {
			return response, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, ErrUnasked
}

// readAnswer reads the rest of the answer to the message that the connection carries.
func (c *connection) readAnswer(response *http.Response) *answer {
	a := &answer{status: response.StatusCode, header: response.Header}
	if a.err = readBody(response); a.err != nil {
		return a
	}
	a.idleFor = idleTime(response.Header.Get(headerKeepAlive))
	a.reusable = !response.Close && c.reader.Buffered() == 0 && a.idleFor > 0 && len(c.carried) < carriedMost
	return a
}

// readBody reads the body of an answer, which is not used, to its end.
func readBody(response *http.Response) error {
	if !bounded(response) {
		return ErrUnbounded
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, answerMost+1))
	if err == nil && n > answerMost {
		return ErrTooLarge
	}
	return err
}

// foreign is the error for an answer that names another message.
func foreign(response *http.Response) error {
	return fmt.Errorf("%w: %q", ErrForeign, response.Header.Get(headerRequestID))
}

// bounded reports whether an answer tells where its body ends.
func bounded(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Request.Method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

// idleTime is how long a connection is kept, by the Keep-Alive of an answer.
func idleTime(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), keepAliveTimeout)
		if !found {
			continue
		}
		told, err := strconv.ParseFloat(value, 64)
		if err != nil || !(told >= 0) {
			return 0
		}
		told = min(told, longestIdle.Seconds())
		return max(0, time.Duration(told*idlePart*float64(time.Second))-idleMargin)
	}
	return defaultIdle
}
