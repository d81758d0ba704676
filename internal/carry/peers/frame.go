// Package peers carries short messages between the dispatchers of a site as UDP
// datagrams. What they say is their readers' concern; this package sees that nothing
// damaged, foreign, outdated or too long gets through.
package peers

import (
	"encoding/binary"
	"hash/crc32"
)

// Most is how many bytes a datagram may have; the protocol allows no more.
const Most = 256

// A frame is a byte with the version (high four bits) and the kind of what follows,
// the sender's clock in ticks when it was sent (4 bytes), half a CRC-32 of all but
// itself (2 bytes), and the message. The clock orders messages of one process and of
// the one that runs after it; it is compared with its own earlier values only.
const (
	version = 1
	head    = 7
	// Room is how many bytes a message may have.
	Room = Most - head
)

// Kind says what a message is about. Readers pass over kinds that they do not know, so
// that a fleet of several builds can talk.
type Kind uint8

// The kinds, of which a version can have 16.
const (
	Counts  Kind = iota // slots in use, told by a process that takes clients
	Leaving             // the same by one that another takes over from
	Zones               // internal/decide/zones
	kinds
)

// sum is the check of a frame: the low half of a CRC-32 over what is not the check.
func sum(frame []byte) uint16 {
	crc := crc32.ChecksumIEEE(frame[:5])
	return uint16(crc32.Update(crc, crc32.IEEETable, frame[head:]))
}

// appendFrame puts a message into a frame.
func appendFrame(buf []byte, kind Kind, tick uint32, message []byte) []byte {
	buf = append(buf, version<<4|byte(kind)&15)
	buf = binary.LittleEndian.AppendUint32(buf, tick)
	buf = append(buf, 0, 0)
	buf = append(buf, message...)
	binary.LittleEndian.PutUint16(buf[5:], sum(buf))
	return buf
}

// readFrame takes a frame apart; why is empty where it is whole and of this version.
func readFrame(data []byte) (kind Kind, tick uint32, message []byte, why string) {
	switch {
	case len(data) < head, len(data) > Most:
		return 0, 0, nil, "length"
	case data[0]>>4 != version:
		return 0, 0, nil, "version"
	case binary.LittleEndian.Uint16(data[5:]) != sum(data):
		return 0, 0, nil, "damaged"
	}
	return Kind(data[0] & 15), binary.LittleEndian.Uint32(data[1:]), data[head:], ""
}
