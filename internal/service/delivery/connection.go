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

	"yardwharf/internal/service/protocol"
)

const (
	readBufferSize           = 4096
	maxCombinedBody          = 32 << 10 // bytes; bodies up to this size are written together with the head
	maxResponseHeadBytes     = 2 * protocol.MaxFieldBytes
	maxInformational         = 5   // 1xx responses before the final one
	maxMessagesPerConnection = 256 // a connection remembers every message that it carried
	tcpUserTimeout           = 3 * time.Second
	defaultIdleTimeout       = 4 * time.Second // if the sender sends no Keep-Alive timeout
	idleFraction             = 0.8             // of the time after which the sender closes the connection
	idleMargin               = 50 * time.Millisecond
	maxIdleTimeout           = time.Minute
	keepAliveTimeoutPrefix   = "timeout="
)

// dialTCP opens a connection that fails when sent data stays unacknowledged for tcpUserTimeout.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// connection is a connection to a sender. Only one goroutine at a time may use it.
type connection struct {
	raw     net.Conn
	address string
	reader  *bufio.Reader
	reused  bool
	carried []uint64 // hashes of the messages that it carried
	// received reports whether bytes have arrived since it was last reset.
	received bool
	// headRoom is how many bytes may still be read of the head that is being read.
	headRoom int
	// inHead reports whether a head is being read.
	inHead  bool
	idleFor time.Duration
	expires time.Time // when the idle connection must be closed
}

func newConnection(raw net.Conn, address string) *connection {
	c := &connection{raw: raw, address: address}
	c.reader = bufio.NewReaderSize(trackingReader{c}, readBufferSize)
	return c
}

// trackingReader reads from a connection, marks it when bytes have arrived, and bounds the heads of responses.
type trackingReader struct{ connection *connection }

func (r trackingReader) Read(buffer []byte) (int, error) {
	c := r.connection
	if c.inHead && c.headRoom <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := c.raw.Read(buffer)
	c.headRoom -= n
	c.received = c.received || n > 0
	return n, err
}

func (c *connection) close() { _ = c.raw.Close() }

var hashSeed = maphash.MakeSeed()

// hasCarried reports whether the connection has carried a message before. If it has, a late
// second response to that attempt would be mistaken for the response to another attempt.
func (c *connection) hasCarried(id string) bool {
	return slices.Contains(c.carried, maphash.String(hashSeed, id))
}

// recordCarried records that the connection carries a message.
func (c *connection) recordCarried(id string) {
	c.carried = append(c.carried, maphash.String(hashSeed, id))
}

// usable reports whether an idle connection is still open and has received nothing.
func (c *connection) usable() bool {
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
	usable := false
	err = control.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && usable
}

// writable reports whether the parts of a request can be written without escaping.
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

// write sends the request. It returns the number of bytes written.
func (c *connection) write(request *Request, remaining time.Duration) (int64, error) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	*buffer = request.appendHead((*buffer)[:0], remaining)
	if len(request.Body) <= maxCombinedBody {
		*buffer = append(*buffer, request.Body...)
		n, err := c.raw.Write(*buffer)
		return int64(n), err
	}
	parts := net.Buffers{*buffer, request.Body}
	return parts.WriteTo(c.raw)
}

// appendHead appends the request's head to a buffer.
func (r *Request) appendHead(to []byte, remaining time.Duration) []byte {
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
	to = appendNumber(to, headerDeadline, max(1, remaining.Milliseconds()))
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

// read reads the whole final response to a request. Late second responses to earlier
// messages of the connection may precede it; they are skipped.
func (c *connection) read(request *Request) (*senderResponse, error) {
	var skipped error
	for {
		response, err := c.readHead(request.Head.Method)
		if err != nil {
			return nil, errors.Join(skipped, err)
		}
		if response.Header.Get(headerRequestID) == request.Head.ID {
			a := c.readRest(response)
			a.reusable = a.reusable && skipped == nil
			return a, nil
		}
		skipped = foreignError(response)
		if !c.hasCarried(response.Header.Get(headerRequestID)) || readBody(response) != nil {
			return nil, skipped
		}
	}
}

// readHead reads the head of a final response.
func (c *connection) readHead(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	c.inHead = true
	defer func() { c.inHead = false }()
	for range maxInformational + 1 {
		c.headRoom = maxResponseHeadBytes
		response, err := http.ReadResponse(c.reader, request)
		if err != nil || response.StatusCode/100 != 1 {
			return response, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, ErrUnexpectedResponse
}

// readRest reads the rest of the response to the message that the connection carries.
func (c *connection) readRest(response *http.Response) *senderResponse {
	a := &senderResponse{status: response.StatusCode, header: response.Header}
	if a.err = readBody(response); a.err != nil {
		return a
	}
	a.idleFor = idleTimeout(response.Header.Get(headerKeepAlive))
	a.reusable = !response.Close && c.reader.Buffered() == 0 && a.idleFor > 0 && len(c.carried) < maxMessagesPerConnection
	return a
}

// readBody reads the body of a response to its end and discards it. Nothing of it is kept, so that not its size but the
// deadline of the delivery bounds it: a success whose body is long is a success, and must not run again.
func readBody(response *http.Response) error {
	if !hasKnownLength(response) {
		return ErrUnknownLength
	}
	_, err := io.Copy(io.Discard, response.Body)
	return err
}

// foreignError returns the error for a response that names another message.
func foreignError(response *http.Response) error {
	id := response.Header.Get(headerRequestID)
	return fmt.Errorf("%w: %q", ErrForeign, id[:min(len(id), protocol.MaxNameBytes)])
}

// hasKnownLength reports whether a response says where its body ends.
func hasKnownLength(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Request.Method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

// idleTimeout returns how long a connection may stay idle, given the Keep-Alive header of a
// response.
func idleTimeout(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), keepAliveTimeoutPrefix)
		if !found {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || !(seconds >= 0) {
			return 0
		}
		seconds = min(seconds, maxIdleTimeout.Seconds())
		return max(0, time.Duration(seconds*idleFraction*float64(time.Second))-idleMargin)
	}
	return defaultIdleTimeout
}
