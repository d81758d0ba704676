package segment

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// FormatVersion is the version of the file format that this package writes.
const FormatVersion = 1

// The layout of a file: a header block, then records one after the other.
//
//	header: magic 8, version 4, segment size 4, generation 8, store id 32, crc32c 4
//	record: payload length 4, kind 1, crc32c 4, payload
//
// The checksum of a record is seeded with the generation, so that records left
// from an earlier use of the file fail it. The records of a file end at zeros,
// at an end record or at the first record that fails its checksum.
const (
	headerSize        = 512
	encodedHeaderSize = 8 + 4 + 4 + 8 + storeIDSize + 4
	storeIDSize       = 32
	recordHeaderSize  = 4 + 1 + 4
	fileSuffix        = ".segment"
	fileNameWidth     = 6
	kindEnd           = 255 // follows the last record of a file that has a successor
)

var (
	magic      = []byte("ywharfSG")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	zeroHeader [encodedHeaderSize]byte
)

// Position is the location of a record. The zero value is not a valid position.
type Position struct {
	Generation uint64
	Offset     uint32
	Size       uint32 // of the payload
}

// Before reports whether a record precedes another in the log. The zero position precedes
// all others.
func (p Position) Before(other Position) bool {
	return p.Generation < other.Generation || p.Generation == other.Generation && p.Offset < other.Offset
}

// fileHeader is the decoded header of a file.
type fileHeader struct {
	size       uint32
	generation uint64
	storeID    string
}

func (h fileHeader) encode() []byte {
	b := make([]byte, 0, headerSize)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, FormatVersion)
	b = binary.LittleEndian.AppendUint32(b, h.size)
	b = binary.LittleEndian.AppendUint64(b, h.generation)
	b = append(b, h.storeID...)
	b = append(b, make([]byte, storeIDSize-len(h.storeID))...)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return append(b, make([]byte, headerSize-len(b))...)
}

// errUnusedFile is returned for a file without a valid header: power was lost
// while it was created or reused, so it holds no acknowledged record.
var errUnusedFile = Class.New("no header")

// decodeHeader rejects files of a later format. For a missing or torn header
// it returns errUnusedFile.
func decodeHeader(b []byte) (fileHeader, error) {
	if len(b) < encodedHeaderSize || bytes.Equal(b[:encodedHeaderSize], zeroHeader[:]) {
		return fileHeader{}, errUnusedFile
	}
	// A torn header may hold only a prefix of the magic.
	if !bytes.HasPrefix(magic, bytes.TrimRight(b[:len(magic)], "\x00")) {
		return fileHeader{}, Class.New("not a segment file")
	}
	if version := binary.LittleEndian.Uint32(b[8:]); version > FormatVersion {
		return fileHeader{}, Class.New("format version %d is newer than the supported version %d", version, FormatVersion)
	}
	body, sum := b[:encodedHeaderSize-4], binary.LittleEndian.Uint32(b[encodedHeaderSize-4:])
	if crc32.Checksum(body, castagnoli) != sum {
		return fileHeader{}, errUnusedFile
	}
	return fileHeader{
		size:       binary.LittleEndian.Uint32(b[12:]),
		generation: binary.LittleEndian.Uint64(b[16:]),
		storeID:    string(bytes.TrimRight(b[24:24+storeIDSize], "\x00")),
	}, nil
}

// checksum computes the checksum of a record over its length, kind and payload.
func checksum(generation uint64, head, payload []byte) uint32 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], generation)
	sum := crc32.Checksum(seed[:], castagnoli)
	sum = crc32.Update(sum, castagnoli, head[:5])
	return crc32.Update(sum, castagnoli, payload)
}

// appendRecord appends an encoded record to a buffer.
func appendRecord(buffer []byte, generation uint64, kind byte, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = append(buffer, kind)
	sum := checksum(generation, buffer[start:], payload)
	buffer = binary.LittleEndian.AppendUint32(buffer, sum)
	return append(buffer, payload...)
}

func fileName(number int) string { return fmt.Sprintf("%0*d%s", fileNameWidth, number, fileSuffix) }

// fileNumber returns the number in a file name, and whether the name is that
// of a segment file.
func fileNumber(name string) (int, bool) {
	digits, ok := strings.CutSuffix(name, fileSuffix)
	if !ok || len(digits) != fileNameWidth {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return number, err == nil && number >= 0
}
