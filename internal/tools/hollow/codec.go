package hollow

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"yardwharf/internal/service/transport"
)

const frameHeader = 4 // bytes before each frame of package transport

// envelope has the form of the frames of package transport.
type envelope struct {
	Call  uint64
	Reply bool
	Error string
	Body  any
}

// codec encodes messages as package transport does on a connection that has
// been up for a while: descriptions of types were sent before.
type codec struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
	calls   uint64
}

func newCodec() *codec {
	c := &codec{}
	c.encoder, c.decoder = gob.NewEncoder(&c.buffer), gob.NewDecoder(&c.buffer)
	return c
}

// carry encodes a message at one process and decodes it at another. It returns
// what arrives and the bytes that it takes on the wire.
func (c *codec) carry(from, to *Load, message any) (arrived any, size int) {
	c.calls++
	from.work(func() {
		if err := c.encoder.Encode(envelope{Call: c.calls, Body: message}); err != nil {
			panic(fmt.Sprintf("a message of type %T cannot be encoded: %v", message, err))
		}
	})
	size = c.buffer.Len() + frameHeader
	to.work(func() {
		var received envelope
		if err := c.decoder.Decode(&received); err != nil {
			panic(fmt.Sprintf("a message of type %T cannot be decoded: %v", message, err))
		}
		arrived = received.Body
	})
	if c.buffer.Cap() > transport.MaxFrame {
		c.buffer = bytes.Buffer{}
	}
	from.Sent += int64(size)
	to.Received += int64(size)
	return arrived, size
}

// call carries a request and counts it at both ends.
func (c *codec) call(from, to *Load, request any) any {
	from.Calls++
	to.Calls++
	arrived, _ := c.carry(from, to, request)
	return arrived
}

// wireSize returns the bytes of a message on the wire of a connection that has
// carried one like it before.
func wireSize(message any) int {
	c, none := newCodec(), &Load{}
	c.carry(none, none, message)
	_, size := c.carry(none, none, message)
	return size
}
